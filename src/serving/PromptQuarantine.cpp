#include "serving/PromptQuarantine.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <ranges>
#include <utility>

namespace marigoldpaddle {

namespace {

// Ends at different moments that count as much as attempts in a row are that many more.
constexpr std::size_t FurtherMoments = PromptQuarantine::ManyTargets - PromptQuarantine::SuspectedTargets;

// Counts ends of targets. One that ends again was back in between, unless that is too soon.
class EndCounter {
public:
    bool counts(const TargetCrash& crash)
    {
        const auto [last, isFirst] = this->lastEnds.try_emplace(crash.target, crash.at);
        if (!isFirst && crash.at - last->second < PromptQuarantine::ReturnTime)
            return false;
        last->second = crash.at;
        ++this->count;
        return true;
    }

    std::size_t count { 0 };

private:
    std::map<std::uint64_t, TimePoint> lastEnds;
};

bool hasPart(const TargetCrash& crash, std::uint64_t part)
{
    return std::ranges::binary_search(crash.parts, part);
}

// Puts the parts in order and leaves out what exceeds the limit.
void arrangeParts(std::vector<std::uint64_t>& parts)
{
    std::ranges::sort(parts);
    const auto repeated = std::ranges::unique(parts);
    parts.erase(repeated.begin(), repeated.end());
    if (parts.size() <= PromptQuarantine::MaximumParts)
        return;
    parts.resize(PromptQuarantine::MaximumParts);
    parts.back() = PromptQuarantine::UnknownPart;
    std::ranges::sort(parts);
}

}

PromptQuarantine::PromptQuarantine(Duration duration)
    : duration(duration)
{
}

bool PromptQuarantine::recordCrash(TargetCrash crash, TimePoint now)
{
    if (crash.at + this->duration <= now)
        return false;
    arrangeParts(crash.parts);
    const auto known = std::ranges::find_if(this->crashes,
        [&](const KnownCrash& one) { return one.crash.target == crash.target && one.crash.request == crash.request; });
    if (known != this->crashes.end())
        return this->recordKnownParts(*known, std::move(crash), now);
    auto traits = crash.parts;
    if (crash.fingerprint != 0)
        traits.push_back(crash.fingerprint);
    // It explains the ends of other requests at the target, which would be blamed without it.
    const bool wasQuarantined = this->isQuarantined(traits);
    KnownCrash added { std::move(crash), now };
    this->countParts(added);
    this->clearSoundParts(added, now);
    if (added.crash.parts.empty() && (added.crash.fingerprint == 0 || added.isFingerprintCleared))
        return false;
    this->crashes.push_back(std::move(added));
    while (this->crashes.size() > MaximumCrashes || this->partsOfCrashes > MaximumPartsOfCrashes)
        this->dropOldestCrash();
    this->update(now);
    return !wasQuarantined;
}

// A crash is passed on without some parts while it has too many. Those of a later notice are all that are left.
bool PromptQuarantine::recordKnownParts(KnownCrash& known, TargetCrash crash, TimePoint now)
{
    if (known.crash.ran == Duration::zero())
        known.crash.ran = crash.ran;
    if (!hasPart(known.crash, UnknownPart) || hasPart(crash, UnknownPart))
        return false;
    this->uncountParts(known);
    known.crash.parts = std::move(crash.parts);
    known.excused.clear();
    known.newsAt = now;
    this->countParts(known);
    this->clearSoundParts(known, now);
    this->update(now);
    return true;
}

// Drops the oldest crash, if possible one that nothing is blamed for any more, or that causes no quarantine.
void PromptQuarantine::dropOldestCrash()
{
    const auto isExplained = [](const KnownCrash& known) {
        return known.crash.parts.empty() && (known.crash.fingerprint == 0 || known.isFingerprintCleared);
    };
    auto dropped = std::ranges::find_if(this->crashes, isExplained);
    if (dropped == this->crashes.end())
        dropped = std::ranges::find(this->crashes, false, &KnownCrash::causesQuarantine);
    if (dropped == this->crashes.end())
        dropped = this->crashes.begin();
    this->uncountParts(*dropped);
    this->crashes.erase(dropped);
}

void PromptQuarantine::countParts(const KnownCrash& known)
{
    for (const auto part : known.crash.parts)
        ++this->crashesWith[part];
    if (known.crash.fingerprint != 0 && !known.isFingerprintCleared)
        ++this->crashesWith[known.crash.fingerprint];
    this->partsOfCrashes += known.crash.parts.size();
}

void PromptQuarantine::uncount(std::uint64_t part)
{
    const auto counted = this->crashesWith.find(part);
    if (--counted->second == 0)
        this->crashesWith.erase(counted);
}

void PromptQuarantine::uncountParts(const KnownCrash& known)
{
    for (const auto part : known.crash.parts)
        this->uncount(part);
    if (known.crash.fingerprint != 0 && !known.isFingerprintCleared)
        this->uncount(known.crash.fingerprint);
    this->partsOfCrashes -= known.crash.parts.size();
}

// Excuses and clears the parts that were in sound answers. Returns whether any of it is new.
bool PromptQuarantine::clearSoundParts(KnownCrash& known, TimePoint now)
{
    const auto excusedBefore = known.excused.size();
    const auto sizeBefore = known.crash.parts.size();
    std::erase_if(known.crash.parts, [&](std::uint64_t part) {
        if (this->clearIfSound(known, part, now) != Clearing::Cleared)
            return false;
        this->uncount(part);
        known.excused.erase(part);
        return true;
    });
    this->partsOfCrashes -= sizeBefore - known.crash.parts.size();
    if (sizeBefore > MaximumPartsOfNews && known.crash.parts.size() <= MaximumPartsOfNews)
        known.newsAt = now;
    const auto fingerprint = known.crash.fingerprint;
    const bool isCleared = fingerprint != 0 && !known.isFingerprintCleared
        && this->clearIfSound(known, fingerprint, now) == Clearing::Cleared;
    if (isCleared) {
        this->uncount(fingerprint);
        known.isFingerprintCleared = true;
    }
    return isCleared || known.crash.parts.size() != sizeBefore || known.excused.size() != excusedBefore;
}

PromptQuarantine::Clearing PromptQuarantine::clearIfSound(KnownCrash& known, std::uint64_t part, TimePoint now)
{
    const auto sound = this->soundParts.find(part);
    const auto crashedAt = known.crash.at;
    if (sound == this->soundParts.end() || sound->at + SoundLifetime < crashedAt)
        return Clearing::None;
    const bool isCleared = sound->at >= crashedAt;
    if (isCleared || known.excused.insert(part).second)
        this->recordCleared(part, now);
    return isCleared ? Clearing::Cleared : Clearing::Excused;
}

void PromptQuarantine::recordSound(std::span<const std::uint64_t> parts, TimePoint at)
{
    std::vector<std::uint64_t> relevant;
    for (const auto part : parts) {
        if (part == UnknownPart)
            continue;
        const auto found = this->soundParts.find(part);
        if (found != this->soundParts.end())
            this->soundParts.modify(found, [&](SoundPart& sound) { sound.at = std::max(sound.at, at); });
        else
            this->soundParts.insert({ part, at });
        if (this->crashesWith.contains(part))
            relevant.push_back(part);
    }
    auto& oldest = this->soundParts.get<1>();
    while (oldest.size() > MaximumSoundParts)
        oldest.erase(oldest.begin());
    if (relevant.empty())
        return;
    bool isChanged = false;
    for (auto& known : this->crashes) {
        const auto isAffected = [&](std::uint64_t part) {
            return hasPart(known.crash, part) || known.crash.fingerprint == part;
        };
        if (std::ranges::any_of(relevant, isAffected))
            isChanged |= this->clearSoundParts(known, at);
    }
    if (isChanged)
        this->update(at);
}

void PromptQuarantine::recordCleared(std::uint64_t part, TimePoint now)
{
    std::erase_if(this->cleared, [&](const ClearedPart& one) { return one.sound.part == part; });
    if (this->cleared.size() >= MaximumCrashes)
        this->cleared.erase(this->cleared.begin());
    this->cleared.push_back({ *this->soundParts.find(part), now });
}

bool PromptQuarantine::isQuarantined(std::span<const std::uint64_t> parts) const
{
    if (this->quarantined.empty())
        return false;
    std::vector<std::uint64_t> inOrder { parts.begin(), parts.end() };
    std::ranges::sort(inOrder);
    return std::ranges::any_of(
        this->quarantined, [&](const Quarantine& one) { return std::ranges::includes(inOrder, one.parts); });
}

Duration PromptQuarantine::remaining(TimePoint now) const
{
    if (this->quarantined.empty())
        return Duration::zero();
    const auto first = std::ranges::min(this->quarantined, {}, &Quarantine::until).until;
    return std::max<Duration>(Duration::zero(), first - now);
}

std::vector<PromptQuarantine::CrashNews> PromptQuarantine::newsSince(TimePoint since) const
{
    std::vector<CrashNews> news;
    for (const auto& known : this->crashes) {
        if (known.newsAt < since)
            continue;
        CrashNews one { known.crash };
        const auto isExcused = [&](std::uint64_t part) {
            return known.excused.contains(part);
        };
        std::erase_if(one.crash.parts, isExcused);
        std::ranges::copy_if(known.crash.parts, std::back_inserter(one.crash.parts), isExcused);
        one.excused = static_cast<std::size_t>(std::ranges::count_if(known.crash.parts, isExcused));
        if (known.isFingerprintCleared)
            one.crash.fingerprint = 0;
        if (!one.crash.parts.empty() || one.crash.fingerprint != 0)
            news.push_back(std::move(one));
    }
    return news;
}

std::vector<TargetCrash> PromptQuarantine::crashesLearnedSince(TimePoint since) const
{
    std::vector<TargetCrash> learned;
    std::ranges::transform(this->newsSince(since), std::back_inserter(learned), &CrashNews::crash);
    return learned;
}

std::vector<SoundPart> PromptQuarantine::partsClearedSince(TimePoint since) const
{
    std::vector<SoundPart> sound;
    for (const auto& one : this->cleared) {
        if (one.clearedAt >= since)
            sound.push_back(one.sound);
    }
    return sound;
}

std::size_t PromptQuarantine::size() const
{
    return this->quarantined.size();
}

void PromptQuarantine::expire(TimePoint now)
{
    auto& oldest = this->soundParts.get<1>();
    oldest.erase(oldest.begin(), oldest.upper_bound(now - SoundLifetime));
    std::erase_if(this->cleared, [&](const ClearedPart& one) { return one.clearedAt + this->duration <= now; });
    std::erase_if(this->crashes, [&](const KnownCrash& known) {
        const bool isOver = known.crash.at + this->duration <= now;
        if (isOver)
            this->uncountParts(known);
        return isOver;
    });
    if (!this->quarantined.empty())
        this->update(now);
}

// Whether so many targets ended that the group may be at fault.
bool PromptQuarantine::isSuspected(const Group& group) const
{
    if (group.wasSound)
        return this->isSuspectedAfterSoundAnswer(group.crashes);
    // The repetitions of a request may come together. Nothing else has all of their traits.
    if (group.fingerprint != 0)
        return this->endsOf(this->inOrderOfEnds(group.crashes)) >= SuspectedTargets && this->hasSeveral(group.crashes);
    return this->endsInARow(group.crashes);
}

// Whether the crashes are so many, one after the other, that the parts which they have in common may be at fault.
bool PromptQuarantine::endsInARow(const CrashSet& crashSet) const
{
    if (crashSet.size() < SuspectedTargets || !this->hasSeveral(crashSet))
        return false;
    const auto ends = this->inOrderOfEnds(crashSet);
    const auto unrelated = this->unrelatedTargets(ends);
    const auto needed = std::min(SuspectedTargets + unrelated / UnrelatedTargetsPerAttempt, ManyTargets);
    // Where most targets end, a request may be sent from one to the next while all of them do.
    const bool areMostUnrelated = unrelated > this->targetsOf(crashSet).size();
    const auto apart = areMostUnrelated ? SimultaneityBound : Duration::zero();
    return this->attemptsInARow(ends, apart).size() >= needed || this->momentsOf(ends) >= needed + FurtherMoments;
}

// The same for a part that was sound shortly before. It is popular, and its prompts are sent from target to target
// while all of them end for another reason.
bool PromptQuarantine::isSuspectedAfterSoundAnswer(const CrashSet& crashSet) const
{
    return crashSet.size() >= ManyTargets
        && this->attemptsInARow(this->inOrderOfEnds(crashSet), SimultaneityBound).size() >= ManyTargets
        && this->hasSeveral(crashSet);
}

// Whether more than one request and more than one target ended. One alone may be at fault itself.
bool PromptQuarantine::hasSeveral(const CrashSet& crashSet) const
{
    PartSet requests;
    for (const auto index : crashSet)
        requests.insert(this->crashes[index].crash.request);
    return requests.size() >= SuspectedRequests && this->targetsOf(crashSet).size() > 1;
}

// The number of ends of targets.
std::size_t PromptQuarantine::endsOf(const CrashSet& endsInOrder) const
{
    EndCounter counter;
    for (const auto index : endsInOrder)
        counter.counts(this->crashes[index].crash);
    return counter.count;
}

PromptQuarantine::CrashSet PromptQuarantine::inOrderOfEnds(CrashSet crashSet) const
{
    std::ranges::sort(
        crashSet, {}, [&](std::size_t index) { return std::pair { this->crashes[index].crash.at, index }; });
    return crashSet;
}

// The targets of the longest series of attempts of which each was sent after the end of the one before, and ended some
// time later.
std::vector<std::uint64_t> PromptQuarantine::attemptsInARow(const CrashSet& endsInOrder, Duration apart) const
{
    EndCounter counter;
    std::vector<std::uint64_t> targets;
    std::optional<TimePoint> last;
    for (const auto index : endsInOrder) {
        const auto& crash = this->crashes[index].crash;
        const bool isNext = !last || (crash.at - crash.ran >= *last && crash.at - *last >= apart);
        if (!isNext || !counter.counts(crash))
            continue;
        last = crash.at;
        targets.push_back(crash.target);
    }
    return targets;
}

// The number of ends that were not simultaneous.
std::size_t PromptQuarantine::momentsOf(const CrashSet& endsInOrder) const
{
    EndCounter counter;
    std::optional<TimePoint> last;
    for (const auto index : endsInOrder) {
        const auto& crash = this->crashes[index].crash;
        if ((!last || crash.at - *last >= SimultaneityBound) && counter.counts(crash))
            last = crash.at;
    }
    return counter.count;
}

// The number of targets that ended meanwhile under other requests only.
std::size_t PromptQuarantine::unrelatedTargets(const CrashSet& endsInOrder) const
{
    const auto& first = this->crashes[endsInOrder.front()].crash;
    const auto& last = this->crashes[endsInOrder.back()].crash;
    const auto related = this->targetsOf(endsInOrder);
    PartSet unrelated;
    for (const auto& known : this->crashes) {
        const auto& crash = known.crash;
        if (crash.at >= first.at - first.ran && crash.at <= last.at && !related.contains(crash.target))
            unrelated.insert(crash.target);
    }
    return unrelated.size();
}

// The parts that may be at fault, with their crashes. Crashes that a part is excused from count once they are many: if
// it were sound, some answer with it would have cleared them.
std::vector<PromptQuarantine::Group> PromptQuarantine::groups() const
{
    std::map<std::uint64_t, CrashSet> crashesByPart;
    std::map<std::uint64_t, CrashSet> excusedByPart;
    PartSet fingerprints;
    for (std::size_t index = 0; index < this->crashes.size(); ++index) {
        const auto& known = this->crashes[index];
        const auto add = [&](std::uint64_t part) {
            crashesByPart[part].push_back(index);
            if (known.excused.contains(part))
                excusedByPart[part].push_back(index);
        };
        std::ranges::for_each(known.crash.parts, add);
        if (known.crash.fingerprint == 0 || known.isFingerprintCleared)
            continue;
        add(known.crash.fingerprint);
        fingerprints.insert(known.crash.fingerprint);
    }
    for (const auto& [part, excused] : excusedByPart) {
        if (this->targetsOf(excused).size() >= ManyTargets)
            continue;
        std::erase_if(
            crashesByPart[part], [&](std::size_t index) { return std::ranges::binary_search(excused, index); });
    }
    std::map<std::pair<CrashSet, bool>, std::vector<std::uint64_t>> partsByCrashes;
    for (auto& [part, crashSet] : crashesByPart) {
        if (!crashSet.empty())
            partsByCrashes[{ std::move(crashSet), excusedByPart.contains(part) }].push_back(part);
    }
    std::vector<Group> groups;
    for (auto& [key, parts] : partsByCrashes) {
        Group group { key.first, key.second, std::move(parts), this->targetsOf(key.first) };
        const auto fingerprint
            = std::ranges::find_if(group.parts, [&](std::uint64_t part) { return fingerprints.contains(part); });
        if (fingerprint != group.parts.end())
            group.fingerprint = *fingerprint;
        groups.push_back(std::move(group));
    }
    return groups;
}

PromptQuarantine::PartSet PromptQuarantine::targetsOf(const CrashSet& crashSet) const
{
    PartSet targets;
    for (const auto index : crashSet)
        targets.insert(this->crashes[index].crash.target);
    return targets;
}

// Whether the other group is present when nearly all of the targets of the group end. A target ends under one prompt
// and takes others with it, which tell nothing.
bool PromptQuarantine::occursWith(const Group& group, const Group& other) const
{
    if (group.wasSound)
        return this->isExplainedBy(group, other);
    const auto needed = group.targets.size() >= ManyTargets ? 1 : DistinguishingTargets;
    if (group.targets.size() >= other.targets.size() + needed)
        return false;
    const auto isWithoutOther = [&](std::uint64_t target) {
        return !other.targets.contains(target);
    };
    auto remaining = group.targets | std::views::filter(isWithoutOther) | std::views::take(needed);
    return static_cast<std::size_t>(std::ranges::distance(remaining)) < needed;
}

// Whether the group, whose parts were sound shortly before, would not be suspected without the other one's targets.
bool PromptQuarantine::isExplainedBy(const Group& soundGroup, const Group& other) const
{
    const auto others = std::ranges::count_if(
        soundGroup.targetsInARow, [&](std::uint64_t target) { return !other.targets.contains(target); });
    if (static_cast<std::size_t>(others) >= ManyTargets)
        return false;
    CrashSet remaining;
    std::ranges::copy_if(soundGroup.crashes, std::back_inserter(remaining),
        [&](std::size_t index) { return !other.targets.contains(this->crashes[index].crash.target); });
    return !this->isSuspectedAfterSoundAnswer(remaining);
}

// A part under which few targets ended may not be at fault, which shows only if it is sent again. Another crash makes
// sure of it.
TimePoint PromptQuarantine::endOfQuarantine(const Group& group, Blame blame) const
{
    const auto ends
        = group.crashes | std::views::transform([&](std::size_t index) { return this->crashes[index].crash.at; });
    if (blame == Blame::Ambiguous || (group.wasSound && group.targetsInARow.size() <= ManyTargets))
        return std::ranges::max(ends) + AmbiguousDuration;
    if (group.fingerprint == 0 && group.targets.size() < ManyTargets)
        return std::ranges::max(ends) + FewTargetsDuration;
    return std::ranges::min(ends) + this->duration;
}

// Whether the group's request, rather than another suspected one, ended its targets. A victim's targets all ended under
// the request at fault, which also ended others.
PromptQuarantine::Blame PromptQuarantine::blameFor(
    const Group& group, std::span<const Group* const> suspectedFingerprints) const
{
    auto blame = Blame::Full;
    for (const auto* other : suspectedFingerprints) {
        if (other == &group || !std::ranges::includes(other->targets, group.targets))
            continue;
        if (other->targets.size() > group.targets.size())
            return Blame::None;
        blame = Blame::Ambiguous;
    }
    return blame;
}

bool PromptQuarantine::mayEndTargets(std::uint64_t fingerprint) const
{
    PartSet targets;
    for (const auto& known : this->crashes) {
        if (known.crash.fingerprint == fingerprint)
            targets.insert(known.crash.target);
    }
    return targets.size() + 1 >= SuspectedTargets;
}

std::vector<TargetCrash> PromptQuarantine::crashesOf(std::uint64_t fingerprint) const
{
    std::vector<TargetCrash> crashes;
    for (const auto& known : this->crashes) {
        if (fingerprint != 0 && known.crash.fingerprint == fingerprint && !known.isFingerprintCleared)
            crashes.push_back(known.crash);
    }
    return crashes;
}

std::set<std::uint64_t> PromptQuarantine::targetsEndedBy(std::uint64_t fingerprint, TimePoint now) const
{
    PartSet targets;
    for (const auto& crash : this->crashesOf(fingerprint)) {
        if (now - crash.at < ReturnTime)
            targets.insert(crash.target);
    }
    return targets;
}

bool PromptQuarantine::hasEndedTarget(std::uint64_t fingerprint) const
{
    return std::ranges::any_of(
        this->crashes, [&](const KnownCrash& known) { return known.crash.fingerprint == fingerprint; });
}

void PromptQuarantine::update(TimePoint now)
{
    auto groups = this->groups();
    std::vector<const Group*> suspected;
    std::vector<const Group*> suspectedFingerprints;
    for (auto& group : groups) {
        if (!this->isSuspected(group))
            continue;
        if (group.wasSound)
            group.targetsInARow = this->attemptsInARow(this->inOrderOfEnds(group.crashes), SimultaneityBound);
        suspected.push_back(&group);
        if (group.fingerprint != 0)
            suspectedFingerprints.push_back(&group);
    }
    this->quarantined.clear();
    for (auto& known : this->crashes)
        known.causesQuarantine = false;
    for (const auto* group : suspected) {
        const auto blame = group->fingerprint != 0 ? this->blameFor(*group, suspectedFingerprints) : Blame::Full;
        const auto until = this->endOfQuarantine(*group, blame);
        if (blame == Blame::None || until <= now)
            continue;
        PartSet together;
        for (const auto& other : groups) {
            if (&other != group && !this->occursWith(*group, other))
                continue;
            // No request has two fingerprints.
            const bool areApart = &other != group && group->fingerprint != 0 && other.fingerprint != 0;
            std::ranges::copy_if(other.parts, std::inserter(together, together.end()),
                [&](std::uint64_t part) { return !areApart || part != other.fingerprint; });
        }
        this->quarantined.push_back({ { together.begin(), together.end() }, until });
        for (const auto index : group->crashes)
            this->crashes[index].causesQuarantine = true;
    }
}

}
