#include "serving/PromptQuarantine.h"

#include <algorithm>
#include <ranges>

namespace marigoldpaddle {

PromptQuarantine::PromptQuarantine(Duration duration)
    : duration(duration)
{
}

bool PromptQuarantine::recordCrash(TargetCrash crash, TimePoint now)
{
    const auto isSame = [&](const KnownCrash& known) {
        return known.crash.target == crash.target && known.crash.request == crash.request;
    };
    if (crash.parts.empty() || crash.at + this->duration <= now || this->crashes.size() >= MaximumCrashes
        || std::ranges::any_of(this->crashes, isSame) || this->isQuarantined(crash.parts))
        return false;
    this->crashes.push_back({ std::move(crash), now });
    this->update();
    return true;
}

void PromptQuarantine::recordSound(std::span<const std::uint64_t> parts, TimePoint at)
{
    for (const auto part : parts) {
        if (this->soundAt.size() < MaximumSoundParts || this->soundAt.contains(part))
            this->soundAt[part] = std::max(this->soundAt[part], at);
    }
    const auto isAffected = [&](const KnownCrash& known) {
        return std::ranges::find_first_of(known.crash.parts, parts) != known.crash.parts.end();
    };
    if (std::ranges::any_of(this->crashes, isAffected))
        this->update();
}

bool PromptQuarantine::isQuarantined(std::span<const std::uint64_t> parts) const
{
    const auto isPresent = [&](std::uint64_t part) {
        return std::ranges::find(parts, part) != parts.end();
    };
    return std::ranges::any_of(
        this->quarantined, [&](const PartSet& together) { return std::ranges::all_of(together, isPresent); });
}

Duration PromptQuarantine::remaining(TimePoint now) const
{
    if (this->quarantined.empty())
        return Duration::zero();
    const auto oldest
        = std::ranges::min(this->crashes, {}, [](const KnownCrash& known) { return known.crash.at; }).crash.at;
    return std::max<Duration>(Duration::zero(), oldest + this->duration - now);
}

std::vector<TargetCrash> PromptQuarantine::crashesLearnedSince(TimePoint since) const
{
    std::vector<TargetCrash> learned;
    for (const auto& known : this->crashes) {
        if (known.learnedAt >= since)
            learned.push_back(known.crash);
    }
    return learned;
}

std::vector<SoundPart> PromptQuarantine::soundParts() const
{
    PartSet parts;
    for (const auto& known : this->crashes)
        parts.insert(known.crash.parts.begin(), known.crash.parts.end());
    std::vector<SoundPart> sound;
    for (const auto part : parts) {
        if (const auto found = this->soundAt.find(part); found != this->soundAt.end())
            sound.push_back({ part, found->second });
    }
    return sound;
}

std::size_t PromptQuarantine::size() const
{
    return this->quarantined.size();
}

void PromptQuarantine::expire(TimePoint now)
{
    std::erase_if(this->soundAt, [&](const auto& item) { return item.second + SoundLifetime <= now; });
    const auto erased
        = std::erase_if(this->crashes, [&](const KnownCrash& known) { return known.crash.at + this->duration <= now; });
    if (erased > 0)
        this->update();
}

bool PromptQuarantine::isSuspected(const CrashSet& crashSet) const
{
    std::set<std::uint64_t> targets;
    std::set<std::uint64_t> requests;
    for (const auto index : crashSet) {
        targets.insert(this->crashes[index].crash.target);
        requests.insert(this->crashes[index].crash.request);
    }
    return targets.size() >= SuspectedTargets && requests.size() >= SuspectedRequests;
}

// The crashes that each part may be at fault for.
std::map<std::uint64_t, PromptQuarantine::CrashSet> PromptQuarantine::crashesByPart() const
{
    std::map<std::uint64_t, CrashSet> byPart;
    for (std::size_t index = 0; index < this->crashes.size(); ++index) {
        const auto& crash = this->crashes[index].crash;
        for (const auto part : crash.parts) {
            const auto sound = this->soundAt.find(part);
            if (sound == this->soundAt.end() || sound->second + SoundLifetime < crash.at)
                byPart[part].insert(index);
        }
    }
    return byPart;
}

// Number of targets that ended in the crashes of `crashSet` which are not among `others`.
std::size_t PromptQuarantine::targetsWithout(const CrashSet& crashSet, const CrashSet& others) const
{
    std::set<std::uint64_t> targets;
    for (const auto index : crashSet) {
        if (!others.contains(index))
            targets.insert(this->crashes[index].crash.target);
    }
    return targets.size();
}

void PromptQuarantine::update()
{
    const auto byPart = this->crashesByPart();
    this->quarantined.clear();
    for (const auto& [part, crashSet] : byPart) {
        if (!this->isSuspected(crashSet))
            continue;
        PartSet together { part };
        for (const auto& [other, otherCrashes] : byPart) {
            if (this->targetsWithout(crashSet, otherCrashes) < DistinguishingCrashes)
                together.insert(other);
        }
        this->quarantined.push_back(std::move(together));
    }
}

}
