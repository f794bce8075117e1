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
    if (crash.at + this->duration <= now || std::ranges::any_of(this->crashes, isSame)
        || this->isQuarantined(crash.parts))
        return false;
    crash.parts.resize(std::min(crash.parts.size(), MaximumParts));
    for (const auto part : crash.parts) {
        if (this->isSound(part, crash.at))
            this->recordCleared(part, now);
    }
    std::erase_if(crash.parts, [&](std::uint64_t part) { return this->isSound(part, crash.at); });
    if (crash.parts.empty())
        return false;
    if (this->crashes.size() >= MaximumCrashes)
        this->crashes.erase(this->crashes.begin());
    this->crashes.push_back({ std::move(crash), now });
    this->update();
    return true;
}

void PromptQuarantine::recordSound(std::span<const std::uint64_t> parts, TimePoint at)
{
    bool isChanged = false;
    for (const auto part : parts) {
        if (this->soundAt.size() >= MaximumSoundParts && !this->soundAt.contains(part))
            this->soundAt.erase(this->soundAt.begin());
        this->soundAt[part] = std::max(this->soundAt[part], at);
        bool isCleared = false;
        for (auto& known : this->crashes) {
            if (this->isSound(part, known.crash.at))
                isCleared |= std::erase(known.crash.parts, part) > 0;
        }
        if (isCleared)
            this->recordCleared(part, at);
        isChanged |= isCleared;
    }
    if (isChanged)
        this->update();
}

bool PromptQuarantine::isSound(std::uint64_t part, TimePoint crashedAt) const
{
    const auto sound = this->soundAt.find(part);
    return sound != this->soundAt.end() && sound->second + SoundLifetime >= crashedAt;
}

void PromptQuarantine::recordCleared(std::uint64_t part, TimePoint now)
{
    std::erase_if(this->cleared, [&](const ClearedPart& one) { return one.sound.part == part; });
    if (this->cleared.size() >= MaximumCrashes)
        this->cleared.erase(this->cleared.begin());
    this->cleared.push_back({ { part, this->soundAt[part] }, now });
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
        if (known.learnedAt >= since && !known.crash.parts.empty())
            learned.push_back(known.crash);
    }
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
    std::erase_if(this->soundAt, [&](const auto& item) { return item.second + SoundLifetime <= now; });
    std::erase_if(this->cleared, [&](const ClearedPart& one) { return one.clearedAt + this->duration <= now; });
    const auto erased
        = std::erase_if(this->crashes, [&](const KnownCrash& known) { return known.crash.at + this->duration <= now; });
    if (erased > 0)
        this->update();
}

// Whether enough targets ended. One that came back in between counts again.
bool PromptQuarantine::isSuspected(const CrashSet& crashSet) const
{
    std::map<std::uint64_t, std::vector<TimePoint>> endsByTarget;
    std::set<std::uint64_t> requests;
    for (const auto index : crashSet) {
        const auto& crash = this->crashes[index].crash;
        endsByTarget[crash.target].push_back(crash.at);
        requests.insert(crash.request);
    }
    std::size_t ended = 0;
    for (auto& [target, ends] : endsByTarget) {
        std::ranges::sort(ends);
        auto last = TimePoint::min();
        for (const auto at : ends) {
            if (last != TimePoint::min() && at - last < ReturnTime)
                continue;
            last = at;
            ++ended;
        }
    }
    // One target alone may be at fault itself.
    return ended >= SuspectedTargets && endsByTarget.size() > 1 && requests.size() >= SuspectedRequests;
}

// The crashes that each part may be at fault for.
std::map<std::uint64_t, PromptQuarantine::CrashSet> PromptQuarantine::crashesByPart() const
{
    std::map<std::uint64_t, CrashSet> byPart;
    for (std::size_t index = 0; index < this->crashes.size(); ++index) {
        for (const auto part : this->crashes[index].crash.parts)
            byPart[part].insert(index);
    }
    return byPart;
}

std::set<std::uint64_t> PromptQuarantine::targetsOf(const CrashSet& crashSet) const
{
    std::set<std::uint64_t> targets;
    for (const auto index : crashSet)
        targets.insert(this->crashes[index].crash.target);
    return targets;
}

// Whether the part with the crashes `others` is present when nearly all of the targets of `crashSet` end. A target ends
// under one prompt and takes others with it, which tell nothing.
bool PromptQuarantine::occursWith(const CrashSet& crashSet, const CrashSet& others) const
{
    const auto targets = this->targetsOf(crashSet);
    const auto explained = this->targetsOf(others);
    const auto unexplained
        = std::ranges::count_if(targets, [&](std::uint64_t target) { return !explained.contains(target); });
    const auto needed = targets.size() >= ManyTargets ? 1 : DistinguishingTargets;
    return static_cast<std::size_t>(unexplained) < needed;
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
            if (this->occursWith(crashSet, otherCrashes))
                together.insert(other);
        }
        this->quarantined.push_back(std::move(together));
    }
}

}
