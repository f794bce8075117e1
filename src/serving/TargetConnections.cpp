#include "serving/TargetConnections.h"

#include <algorithm>
#include <iterator>

namespace marigoldpaddle {

namespace {

// Doublings of the interval between probes.
constexpr unsigned MaximumDoublings = 5;
// Targets that never accepted a connection wait this much longer for their turn among those whose probe is due.
constexpr Duration NeverConnectedDelay = std::chrono::minutes { 10 };
constexpr Duration RecordLifetime = std::chrono::minutes { 10 };

}

const TargetConnections::Record* TargetConnections::find(const TargetEntry& target) const
{
    const auto found = this->records.find(target.address);
    const bool isKnown = found != this->records.end() && target.incarnation <= found->second.incarnation;
    return isKnown ? &found->second : nullptr;
}

TargetConnections::Record& TargetConnections::recordOf(std::string_view address)
{
    const auto found = this->records.find(address);
    return found != this->records.end() ? found->second : this->records[std::string { address }];
}

bool TargetConnections::recordConnected(std::string_view address, std::uint64_t incarnation, TimePoint now)
{
    auto& record = this->recordOf(address);
    const bool wasDown = record.failures > 0;
    record.incarnation = incarnation;
    record.failures = 0;
    record.isTested = true;
    record.connectedAt = now;
    return wasDown;
}

void TargetConnections::recordFailure(std::string_view address, std::uint64_t incarnation, TimePoint now)
{
    auto& record = this->recordOf(address);
    if (record.failures == 0 || record.incarnation < incarnation) {
        record.downSince = now;
        record.failures = 0;
    }
    record.incarnation = incarnation;
    record.isTested = true;
    const auto delay = FirstProbeDelay * (1U << std::min(record.failures, MaximumDoublings));
    record.nextProbeAt = now + std::min<Duration>(delay, LongestProbeDelay);
    ++record.failures;
}

void TargetConnections::recordBytes(std::string_view address, TimePoint now)
{
    if (const auto found = this->records.find(address); found != this->records.end())
        found->second.lastBytesAt = now;
}

bool TargetConnections::isDown(const TargetEntry& target, TimePoint now) const
{
    const auto* record = this->find(target);
    return record && record->failures > 0 && now - record->lastBytesAt >= ActivityLifetime;
}

bool TargetConnections::isProven(const TargetEntry& target) const
{
    const auto* record = this->find(target);
    return record && record->failures == 0 && record->connectedAt != TimePoint {};
}

bool TargetConnections::hasFailed(const TargetEntry& target) const
{
    const auto* record = this->find(target);
    return record && record->failures > 0;
}

double TargetConnections::downShare(Targets targets, TimePoint now) const
{
    std::size_t down = 0;
    std::size_t proven = 0;
    for (const auto* target : targets) {
        if (this->isDown(*target, now))
            ++down;
        else if (this->isProven(*target))
            ++proven;
    }
    return down == 0 ? 0 : static_cast<double>(down) / static_cast<double>(down + proven);
}

void TargetConnections::retestSince(Targets targets, TimePoint since)
{
    for (const auto* target : targets) {
        const auto found = this->records.find(target->address);
        if (found != this->records.end() && found->second.failures > 0 && found->second.downSince >= since)
            found->second.isTested = false;
    }
}

std::vector<const TargetEntry*> TargetConnections::drawRound(Targets targets, ProbePurpose purpose, std::size_t count,
    TimePoint lostAt, TimePoint now, std::mt19937_64& random) const
{
    const auto rank = [&](const TargetEntry* target) {
        const auto* record = this->find(*target);
        if (purpose == ProbePurpose::Confirm)
            return this->isDown(*target, now) ? 2 : this->isProven(*target) ? 0 : 1;
        const bool wasLost
            = record && record->connectedAt != TimePoint {} && (record->failures == 0 || record->downSince >= lostAt);
        return wasLost ? 0 : 1;
    };
    std::vector<const TargetEntry*> drawn { targets.begin(), targets.end() };
    std::ranges::shuffle(drawn, random);
    // One probe of a round goes to any target: those that were lost with the path may be gone meanwhile.
    const auto first = purpose == ProbePurpose::Recover && drawn.size() > 1 ? drawn.begin() + 1 : drawn.begin();
    std::ranges::sort(first, drawn.end(), {}, rank);
    drawn.resize(std::min(count, drawn.size()));
    return drawn;
}

std::vector<const TargetEntry*> TargetConnections::drawUntested(
    Targets targets, Untested kind, std::size_t count, std::mt19937_64& random)
{
    const auto isUntested = [&](const TargetEntry* target) {
        const auto* record = this->find(*target);
        if (!record)
            return kind == Untested::Any;
        return !record->isTested && (kind == Untested::Any || record->failures > 0);
    };
    std::vector<const TargetEntry*> untested;
    std::ranges::copy_if(targets, std::back_inserter(untested), isUntested);
    std::vector<const TargetEntry*> drawn;
    std::ranges::sample(untested, std::back_inserter(drawn), static_cast<std::ptrdiff_t>(count), random);
    for (const auto* target : drawn) {
        auto& record = this->recordOf(target->address);
        if (record.incarnation < target->incarnation)
            record = {};
        record.incarnation = target->incarnation;
        record.isTested = true;
    }
    return drawn;
}

std::vector<const TargetEntry*> TargetConnections::drawDown(Targets targets, std::size_t count, TimePoint now)
{
    std::vector<std::pair<Record*, const TargetEntry*>> due;
    for (const auto* target : targets) {
        const auto found = this->records.find(target->address);
        if (found != this->records.end() && this->find(*target) && found->second.failures > 0
            && found->second.nextProbeAt <= now)
            due.emplace_back(&found->second, target);
    }
    const auto turn = [](const auto& item) {
        const auto& record = *item.first;
        return record.nextProbeAt + (record.connectedAt == TimePoint {} ? NeverConnectedDelay : Duration::zero());
    };
    const auto size = std::min(count, due.size());
    std::ranges::partial_sort(due, due.begin() + static_cast<std::ptrdiff_t>(size), {}, turn);
    std::vector<const TargetEntry*> drawn;
    for (const auto& [record, target] : std::span { due }.first(size)) {
        record->nextProbeAt = now + LongestProbeDelay;
        drawn.push_back(target);
    }
    return drawn;
}

bool TargetConnections::hasDown(Targets targets) const
{
    return std::ranges::any_of(targets, [&](const TargetEntry* target) { return this->hasFailed(*target); });
}

void TargetConnections::expire(TimePoint now)
{
    std::erase_if(this->records, [&](const auto& item) {
        const auto& record = item.second;
        const auto updatedAt = std::max({ record.connectedAt, record.nextProbeAt, record.lastBytesAt });
        return now - updatedAt > RecordLifetime;
    });
}

}
