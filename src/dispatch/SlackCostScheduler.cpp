#include "dispatch/SlackCostScheduler.h"

#include <algorithm>
#include <ranges>

namespace marigoldpaddle {

namespace {

constexpr double InitialDrainShare = 0.5; // Share of the default prefill rate that a new target adds to each class.
constexpr std::chrono::seconds ShortDrainTimeConstant { 1 };
constexpr std::chrono::seconds LongDrainTimeConstant { 20 };
constexpr std::chrono::milliseconds MinimumTickDelay { 5 };
constexpr std::chrono::milliseconds MaximumTickDelay { 50 };
constexpr double InterTokenLatencySmoothingWeight = 0.05; // Weight of one answer in the moving average.

}

std::unique_ptr<CellScheduler> makeCellScheduler(const CellSchedulerSettings& settings)
{
    return std::make_unique<SlackCostScheduler>(settings);
}

SlackCostScheduler::SlackCostScheduler(const CellSchedulerSettings& settings)
    : settings(settings)
    , interTokenLatency(settings.interTokenLatency)
{
    this->settings.classBounds.resize(std::min(settings.classBounds.size(), PriorityCount - 1));
    for (std::size_t i = 0; i <= this->settings.classBounds.size(); ++i)
        this->classes.push_back({ {}, DrainRate { 0, i == 0 ? ShortDrainTimeConstant : LongDrainTimeConstant }, 0 });
}

SchedulerCommands SlackCostScheduler::submit(const PlacementRequest& request, TimePoint now)
{
    SchedulerCommands commands;
    if (this->queued.contains(request.id.value) || this->grantedRequests.contains(request.id.value))
        return commands;
    this->advance(now);
    auto& entry = this->enqueue(this->withEffectiveExclusions(request), now);
    if (auto reason = this->reasonToRefuse(entry, now)) {
        this->refuse(request.id, *reason, commands);
        return commands;
    }
    auto promptClass = entry.promptClass;
    this->dispatch(now, commands);
    this->shed(promptClass, commands);
    return commands;
}

// Clears the exclusions if they cover every usable target: another attempt on a target that has failed one is better
// than none.
PlacementRequest SlackCostScheduler::withEffectiveExclusions(const PlacementRequest& request) const
{
    auto admitted = request;
    auto isCandidate = [&](const auto& each) {
        return each.second.isUsable()
            && std::ranges::find(request.excludedTargets, each.first) == request.excludedTargets.end();
    };
    if (std::ranges::none_of(this->targets, isCandidate))
        admitted.excludedTargets.clear();
    return admitted;
}

SchedulerCommands SlackCostScheduler::withdraw(const RequestId& id, TimePoint now)
{
    SchedulerCommands commands;
    if (!this->dequeue(id))
        return commands;
    this->advance(now);
    this->dispatch(now, commands);
    return commands;
}

SchedulerCommands SlackCostScheduler::firstToken(const RequestId& id, TimePoint now)
{
    SchedulerCommands commands;
    auto found = this->grantedRequests.find(id.value);
    if (found == this->grantedRequests.end() || !found->second.isPrefilling)
        return commands;
    this->advance(now);
    auto& granted = found->second;
    granted.isPrefilling = false;
    granted.firstTokenAt = now;
    granted.expectedEnd = now + this->interTokenLatency * granted.maximumOutputTokens;
    for (auto& part : granted.parts)
        if (part.isInForecast)
            this->targets.find(part.target)->second.endPrefill(part.share);
    this->dispatch(now, commands);
    return commands;
}

SchedulerCommands SlackCostScheduler::finish(const RequestId& id, std::uint64_t outputTokens, TimePoint now)
{
    SchedulerCommands commands;
    auto found = this->grantedRequests.find(id.value);
    if (found == this->grantedRequests.end())
        return commands;
    this->advance(now);
    auto& granted = found->second;
    if (!granted.isPrefilling && outputTokens > 1) {
        auto observed = (now - granted.firstTokenAt) / static_cast<Duration::rep>(outputTokens - 1);
        this->interTokenLatency += std::chrono::duration_cast<Duration>(
            InterTokenLatencySmoothingWeight * (observed - this->interTokenLatency));
    }
    this->releaseGrant(granted);
    this->dispatch(now, commands);
    return commands;
}

SchedulerCommands SlackCostScheduler::updateTarget(const TargetDescription& target, TimePoint now)
{
    SchedulerCommands commands;
    if (target.kind != TargetKind::Engine)
        return commands;
    auto known = this->targets.find(target.name);
    if (known != this->targets.end() && target.incarnation < known->second.description().incarnation)
        return commands;
    if (known != this->targets.end() && target.incarnation > known->second.description().incarnation)
        this->eraseTarget(target.name);
    this->advance(now);
    auto [found, isNew] = this->targets.try_emplace(target.name, this->settings.prefillTokensPerSecond);
    found->second.describe(target);
    if (isNew) {
        found->second.advance(now);
        for (auto& [id, granted] : this->grantedRequests)
            this->addToForecasts(granted);
        auto initialDrain = InitialDrainShare * this->settings.prefillTokensPerSecond;
        for (auto& each : this->classes)
            each.drain.addServed(initialDrain * std::chrono::duration<double>(each.drain.timeConstant()).count());
    }
    this->refreshTotals();
    this->dispatch(now, commands);
    return commands;
}

SchedulerCommands SlackCostScheduler::removeTarget(std::string_view name, TimePoint now)
{
    SchedulerCommands commands;
    this->advance(now);
    this->eraseTarget(name);
    this->refreshTotals();
    this->dispatch(now, commands);
    return commands;
}

SchedulerCommands SlackCostScheduler::reportLoad(const LoadReport& report, TimePoint now)
{
    SchedulerCommands commands;
    auto found = this->targets.find(report.target);
    if (found == this->targets.end())
        return commands;
    this->advance(now);
    found->second.report(report);
    this->refreshTotals();
    this->dispatch(now, commands);
    return commands;
}

SchedulerCommands SlackCostScheduler::reportCache(std::span<const CacheEvent> events, TimePoint now)
{
    for (const auto& event : events) {
        auto found = this->targets.find(event.target);
        if (found != this->targets.end())
            found->second.prefixes.apply(event, now);
    }
    return {};
}

SchedulerCommands SlackCostScheduler::restoreGrant(const Holding& holding, TimePoint now)
{
    SchedulerCommands commands;
    if (this->grantedRequests.contains(holding.id.value) || holding.parts.empty())
        return commands;
    this->advance(now);
    auto promptClass = this->classOf(holding.promptTokens);
    GrantedRequest granted { holding.id, {}, holding.isPrefilling, holding.maximumOutputTokens, now, holding.deadline,
        holding.deadline + GrantRetention };
    auto prefill = static_cast<double>(holding.promptTokens) / static_cast<double>(holding.parts.size());
    for (const auto& part : holding.parts)
        granted.parts.push_back({ part.target, { part.tokens, prefill, promptClass, promptClass > 0 }, false });
    auto& kept = this->grantedRequests.emplace(holding.id.value, std::move(granted)).first->second;
    this->byExpiry.emplace(kept.expiresAt, holding.id.value);
    this->addToForecasts(kept);
    if (this->dequeue(holding.id))
        commands.push_back(Grant { holding.id, holding.parts, static_cast<int>(promptClass), holding.deadline });
    return commands;
}

SchedulerCommands SlackCostScheduler::tick(TimePoint now)
{
    SchedulerCommands commands;
    this->advance(now);
    this->releaseExpiredGrants(now);
    this->refuseLate(now, commands);
    this->dispatch(now, commands);
    return commands;
}

TimePoint SlackCostScheduler::nextTick() const
{
    auto next = TimePoint::max();
    if (!this->byExpiry.empty())
        next = this->byExpiry.begin()->first;
    if (this->queued.empty())
        return next;
    next = std::min(next, std::get<TimePoint>(*this->byLatestStart.begin()));
    Duration untilCapacity = MaximumTickDelay;
    for (const auto& [name, target] : this->targets)
        if (target.isUsable())
            untilCapacity = std::min(untilCapacity, target.prefillWait(0) - this->settings.prefillLookahead);
    return std::min(next, this->now + std::max<Duration>(untilCapacity, MinimumTickDelay));
}

CellDigest SlackCostScheduler::digest(TimePoint) const
{
    CellDigest digest;
    digest.cell = this->settings.cell;
    digest.liveTargets = static_cast<std::uint32_t>(this->totals.usable);
    digest.queued = static_cast<std::uint32_t>(this->queued.size());
    digest.largestSpanTokens = this->largestSpan();
    Duration shortest = std::chrono::hours { 1 };
    for (const auto& [name, target] : this->targets) {
        if (!target.isUsable())
            continue;
        digest.freeTokens += target.freeTokens();
        shortest = std::min(shortest, target.prefillWait(0));
    }
    const auto& first = this->classes.front();
    digest.expectedWait = shortest + first.drain.timeFor(first.queue.work());
    return digest;
}

std::vector<PlacementRequest> SlackCostScheduler::drainQueue()
{
    std::vector<const QueuedRequest*> entries(this->queued.size());
    std::ranges::transform(this->queued, entries.begin(), [](const auto& each) { return each.second.get(); });
    std::ranges::sort(entries, {}, &QueuedRequest::sequence);
    std::vector<PlacementRequest> requests(entries.size());
    std::ranges::transform(entries, requests.begin(),
        [this](const auto* entry) { return std::move(this->dequeue(entry->request.id)->request); });
    return requests;
}

}
