#include "serving/LoadLedger.h"

#include <algorithm>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// An overdue prefill keeps this share of its estimate as backlog until the first token arrives.
constexpr double OverdueBacklogShare = 0.25;
// Older reports are not used: a burst fills a zone within about a second.
constexpr Duration ZoneOccupancyLifetime = std::chrono::milliseconds { 1500 };

}

TargetLoad& TargetLoad::operator+=(const TargetLoad& other)
{
    this->backlogMs += other.backlogMs;
    this->running += other.running;
    this->answers += other.answers;
    this->answerWeight += other.answerWeight;
    this->longPrefills += other.longPrefills;
    this->memoryTokens += other.memoryTokens;
    this->tightestGap = std::min(this->tightestGap, other.tightestGap);
    return *this;
}

TargetLoad LoadLedger::Entry::load(TimePoint now) const
{
    TargetLoad load;
    load.running = 1;
    load.answers = this->work.isAnswer ? 1 : 0;
    load.answerWeight = this->work.isAnswer ? this->work.weight : 0;
    load.memoryTokens = this->work.memoryTokens;
    load.tightestGap = this->work.gapObjective;
    if (this->isPrefilled)
        return load;
    load.longPrefills = this->work.isLong ? 1 : 0;
    const auto remainingMs = Milliseconds(this->expectedPrefilledAt - now).count();
    load.backlogMs = std::clamp(remainingMs, this->work.prefillMs * OverdueBacklogShare, this->work.prefillMs);
    return load;
}

LoadLedger::Handle LoadLedger::begin(std::string_view target, const TargetWork& work, TimePoint now)
{
    const auto hash = hashOf(target);
    const auto wait = Milliseconds { this->totalOf(hash, now).backlogMs + work.prefillMs };
    const auto handle = ++this->lastHandle;
    this->entries.emplace(handle, Entry { hash, work, now + std::chrono::duration_cast<Duration>(wait), false });
    this->byTarget[hash].push_back(handle);
    this->changedTargets.insert(hash);
    return handle;
}

void LoadLedger::markPrefilled(Handle handle)
{
    if (const auto found = this->entries.find(handle); found != this->entries.end())
        found->second.isPrefilled = true;
}

void LoadLedger::end(Handle handle)
{
    const auto found = this->entries.find(handle);
    if (found == this->entries.end())
        return;
    const auto handles = this->byTarget.find(found->second.target);
    std::erase(handles->second, handle);
    if (handles->second.empty())
        this->byTarget.erase(handles);
    this->entries.erase(found);
}

void LoadLedger::updatePeer(std::string_view peer, const std::unordered_map<std::uint64_t, TargetLoad>& loads,
    TimePoint now, Duration validity, ReportScope scope)
{
    std::erase_if(this->peers, [&](const auto& item) { return now >= item.second.validUntil; });
    auto& known = this->peers[std::string { peer }];
    if (scope == ReportScope::Complete)
        known.loads.clear();
    for (const auto& [target, load] : loads)
        known.loads.insert_or_assign(target, ReportedLoad { load, now });
    known.validUntil = now + validity;
}

TargetLoad LoadLedger::total(std::string_view target, TimePoint now) const
{
    return this->totalOf(hashOf(target), now);
}

TargetLoad LoadLedger::localLoad(std::uint64_t target, TimePoint now) const
{
    TargetLoad sum;
    if (const auto handles = this->byTarget.find(target); handles != this->byTarget.end()) {
        for (const auto handle : handles->second)
            sum += this->entries.at(handle).load(now);
    }
    return sum;
}

TargetLoad LoadLedger::totalOf(std::uint64_t target, TimePoint now) const
{
    auto sum = this->localLoad(target, now);
    for (const auto& [name, peer] : this->peers) {
        const auto found = peer.loads.find(target);
        if (found == peer.loads.end() || now >= peer.validUntil)
            continue;
        auto load = found->second.load;
        load.backlogMs = std::max(0.0, load.backlogMs - Milliseconds(now - found->second.receivedAt).count());
        sum += load;
    }
    return sum;
}

void LoadLedger::updateZoneOccupancy(std::string_view availabilityZone, double occupancy, TimePoint now)
{
    this->zones.insert_or_assign(std::string { availabilityZone }, Zone { occupancy, now });
}

std::optional<double> LoadLedger::zoneOccupancy(std::string_view availabilityZone, TimePoint now) const
{
    const auto found = this->zones.find(availabilityZone);
    if (found == this->zones.end() || now - found->second.receivedAt > ZoneOccupancyLifetime)
        return std::nullopt;
    return found->second.occupancy;
}

std::size_t LoadLedger::knownPeerCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->peers, [&](const auto& item) { return now < item.second.validUntil; }));
}

bool LoadLedger::hasPeerLoads(TimePoint now) const
{
    return std::ranges::any_of(
        this->peers, [&](const auto& item) { return now < item.second.validUntil && !item.second.loads.empty(); });
}

std::unordered_map<std::uint64_t, TargetLoad> LoadLedger::localLoads(TimePoint now) const
{
    std::unordered_map<std::uint64_t, TargetLoad> loads;
    for (const auto& [handle, entry] : this->entries)
        loads[entry.target] += entry.load(now);
    return loads;
}

std::unordered_map<std::uint64_t, TargetLoad> LoadLedger::takeChangedLoads(TimePoint now)
{
    std::unordered_map<std::uint64_t, TargetLoad> loads;
    for (const auto target : std::exchange(this->changedTargets, {}))
        loads.emplace(target, this->localLoad(target, now));
    return loads;
}

std::uint64_t LoadLedger::hashOf(std::string_view target)
{
    return XXH3_64bits(target.data(), target.size());
}

}
