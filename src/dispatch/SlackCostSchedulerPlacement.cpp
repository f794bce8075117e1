// Placement part of the SlackCostScheduler: selects the target or span for a request and the time of the grant.
#include "dispatch/SlackCostScheduler.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace marigoldpaddle {

namespace {

constexpr std::size_t WorkspacesConsidered = 3; // Workspaces of a class whose first request is tried in one decision.
constexpr std::chrono::seconds GrantLifetime { 2 };
constexpr double ShortReserveMargin = 2; // Memory kept free for short prompts, relative to their average use.

}

void SlackCostScheduler::dispatch(TimePoint now, SchedulerCommands& commands)
{
    if (this->totals.usable == 0) {
        this->refuseAll(RefusalReason::NoTarget, commands);
        return;
    }
    this->reserveForAgedRequest(now);
    if (this->reservation)
        this->dispatchReserved(now, commands);
    for (std::size_t promptClass = 0; promptClass < this->classes.size(); ++promptClass)
        while (this->dispatchOne(promptClass, now, commands))
            continue;
}

bool SlackCostScheduler::dispatchOne(std::size_t promptClass, TimePoint now, SchedulerCommands& commands)
{
    for (auto* entry : this->classes[promptClass].queue.heads(WorkspacesConsidered)) {
        if (auto placement = this->place(*entry, now)) {
            this->grant(*entry, *placement, now, commands);
            return true;
        }
    }
    return false;
}

void SlackCostScheduler::dispatchReserved(TimePoint now, SchedulerCommands& commands)
{
    auto& entry = *this->queued.find(this->reservation->id.value)->second;
    if (auto placement = this->place(entry, now))
        this->grant(entry, *placement, now, commands);
}

std::optional<SlackCostScheduler::Placement> SlackCostScheduler::place(const QueuedRequest& entry, TimePoint now)
{
    auto width = this->spanWidth(entry.request.promptTokens + entry.request.maximumOutputTokens);
    if (width == 0)
        return std::nullopt;
    if (width == 1)
        return this->placeOnOne(entry, now);
    return this->placeOnSpan(entry, width, now);
}

std::optional<SlackCostScheduler::Placement> SlackCostScheduler::placeOnOne(const QueuedRequest& entry, TimePoint now)
{
    const auto& request = entry.request;
    auto need = request.promptTokens + request.maximumOutputTokens;
    auto priority = this->priorityOf(entry, now);
    std::optional<Placement> best;
    for (auto& [name, target] : this->targets) {
        auto wait = target.prefillWait(priority);
        auto allPrefill = target.prefillTime(entry.work);
        if (wait > this->settings.prefillLookahead + allPrefill || !this->canHold(target, entry, need, now))
            continue;
        auto cached = target.prefixes.cachedTokens(request.prefixBlocks, request.prefixBlockTokens);
        cached = std::min(cached, request.promptTokens);
        auto saved = target.prefillTime(static_cast<double>(cached));
        if (wait > this->settings.prefillLookahead + saved)
            continue;
        auto firstToken = wait + allPrefill - saved;
        // A long prompt delays queued prefill of lower priority too. Counting that prefill as the prompt's own wait
        // steers it to targets where it delays less work.
        if (entry.promptClass > 0)
            firstToken += target.prefillWait(PriorityCount - 1) - wait;
        if (!best || firstToken < best->firstToken)
            best = Placement { { &target }, cached, priority, firstToken };
    }
    return best;
}

std::optional<SlackCostScheduler::Placement> SlackCostScheduler::placeOnSpan(
    const QueuedRequest& entry, std::size_t width, TimePoint now)
{
    auto tokens = this->partTokens(entry.request, width);
    auto priority = this->priorityOf(entry, now);
    std::vector<TargetForecast*> eligible;
    for (auto& [name, target] : this->targets)
        if (this->canHold(target, entry, tokens, now))
            eligible.push_back(&target);
    if (eligible.size() < width)
        return std::nullopt;
    auto wait = [priority](const TargetForecast* target) {
        return target->prefillWait(priority);
    };
    std::ranges::sort(eligible, {}, wait);
    eligible.resize(width);
    auto firstToken = wait(eligible.back()) + eligible.front()->prefillTime(entry.work / static_cast<double>(width));
    std::ranges::sort(eligible, {}, [](const TargetForecast* target) { return target->description().name; });
    return Placement { std::move(eligible), 0, priority, firstToken };
}

bool SlackCostScheduler::canHold(
    const TargetForecast& target, const QueuedRequest& entry, std::uint64_t tokens, TimePoint now) const
{
    if (!target.isUsable() || target.streams() >= this->settings.maximumStreams)
        return false;
    const auto& excluded = entry.request.excludedTargets;
    if (std::ranges::find(excluded, target.description().name) != excluded.end())
        return false;
    auto reserve = entry.promptClass == 0 ? 0 : this->shortReserve(target);
    return this->unreservedTokens(target, entry, now) >= tokens + reserve;
}

// Returns how much memory of the target long prompts must leave free for short ones: the average use of short prompts
// per target times a margin, within the configured bounds, minus what short prompts already hold on the target.
std::uint64_t SlackCostScheduler::shortReserve(const TargetForecast& target) const
{
    auto capacity = static_cast<double>(target.capacity());
    auto wanted = ShortReserveMargin * this->averageShortTokens / static_cast<double>(this->totals.usable);
    auto bounded = std::clamp(
        wanted, capacity * this->settings.minimumShortReserve, capacity * this->settings.maximumShortReserve);
    auto used = static_cast<double>(target.shortTokens());
    return static_cast<std::uint64_t>(std::max(bounded - used, 0.0));
}

// Returns the target's free memory minus the pending reservation. The reservation does not count for a short request
// that is predicted to end before the reservation can start.
std::uint64_t SlackCostScheduler::unreservedTokens(
    const TargetForecast& target, const QueuedRequest& entry, TimePoint now) const
{
    auto free = target.freeTokens();
    if (!this->reservation || this->reservation->id == entry.request.id)
        return free;
    if (!std::ranges::binary_search(this->reservation->targets, target.description().name))
        return free;
    auto end = now + this->predictedDuration(entry.request);
    if (entry.promptClass == 0 && end <= this->reservation->expectedStart)
        return free;
    return free - std::min(free, this->reservation->tokensPerTarget);
}

// Returns the class as the priority, or the highest priority if little of the request's slack remains.
std::size_t SlackCostScheduler::priorityOf(const QueuedRequest& entry, TimePoint now) const
{
    auto slack = entry.request.deadline - now;
    return slack < 2 * this->predictedDuration(entry.request) ? 0 : entry.promptClass;
}

// Returns the smallest number of targets that together can hold the tokens; 0 if all targets together cannot.
std::size_t SlackCostScheduler::spanWidth(std::uint64_t tokens) const
{
    const auto& capacities = this->totals.capacities;
    for (std::size_t width = 1; width <= capacities.size(); ++width)
        if (static_cast<double>(width) * capacities[width - 1] >= static_cast<double>(tokens))
            return width;
    return 0;
}

std::uint64_t SlackCostScheduler::partTokens(const PlacementRequest& request, std::size_t width) const
{
    return (request.promptTokens + request.maximumOutputTokens + width - 1) / width;
}

// Returns the largest number of tokens that any span of the cell can hold.
std::uint64_t SlackCostScheduler::largestSpan() const
{
    const auto& capacities = this->totals.capacities;
    double longest = 0;
    for (std::size_t width = 1; width <= capacities.size(); ++width)
        longest = std::max(longest, static_cast<double>(width) * capacities[width - 1]);
    return static_cast<std::uint64_t>(longest);
}

void SlackCostScheduler::grant(
    QueuedRequest& entry, const Placement& placement, TimePoint now, SchedulerCommands& commands)
{
    const auto& request = entry.request;
    auto width = placement.targets.size();
    auto memory = this->partTokens(request, width);
    auto prefill = (entry.work - static_cast<double>(placement.cachedTokens)) / static_cast<double>(width);
    TargetShare share { memory, prefill, placement.priority, entry.promptClass > 0 };
    GrantedRequest granted;
    granted.id = request.id;
    granted.maximumOutputTokens = request.maximumOutputTokens;
    granted.expectedEnd = now + placement.firstToken + this->interTokenLatency * request.maximumOutputTokens;
    granted.expiresAt = request.deadline + GrantRetention;
    Grant grant { request.id, {}, static_cast<int>(placement.priority),
        std::min(now + GrantLifetime, request.deadline) };
    for (auto* target : placement.targets) {
        grant.parts.push_back({ target->description().name, memory });
        granted.parts.push_back({ target->description().name, share, false });
        target->prefixes.store(request.prefixBlocks, request.prefixBlockTokens, now);
    }
    auto& kept = this->grantedRequests.emplace(request.id.value, std::move(granted)).first->second;
    this->byExpiry.emplace(kept.expiresAt, request.id.value);
    this->addToForecasts(kept);
    this->refreshTotals();
    commands.push_back(std::move(grant));
    auto& each = this->classes[entry.promptClass];
    each.drain.addServed(entry.work);
    each.queue.charge(entry);
    this->dequeue(RequestId { request.id });
}

// Reserves memory for the long request that reached its reservation time first, on the targets that are predicted to
// have enough free memory soonest.
void SlackCostScheduler::reserveForAgedRequest(TimePoint now)
{
    if (this->reservation || this->byReservationTime.empty()
        || std::get<TimePoint>(*this->byReservationTime.begin()) > now)
        return;
    const auto& entry = *std::get<QueuedRequest*>(*this->byReservationTime.begin());
    auto width = this->spanWidth(entry.request.promptTokens + entry.request.maximumOutputTokens);
    auto tokens = this->partTokens(entry.request, std::max<std::size_t>(width, 1));
    std::vector<std::pair<TimePoint, std::string>> byRelease;
    for (const auto& [name, target] : this->targets)
        if (target.isUsable())
            byRelease.emplace_back(this->expectedRelease(name, tokens, now), name);
    if (width == 0 || byRelease.size() < width)
        return;
    std::ranges::sort(byRelease);
    byRelease.resize(width);
    this->reservation = Reservation { entry.request.id, {}, tokens, byRelease.back().first };
    for (auto& [release, name] : byRelease)
        this->reservation->targets.push_back(std::move(name));
    std::ranges::sort(this->reservation->targets);
}

// Returns when the target is predicted to have `tokens` of free memory, given the expected ends of its grants.
TimePoint SlackCostScheduler::expectedRelease(const std::string& name, std::uint64_t tokens, TimePoint now) const
{
    std::vector<std::pair<TimePoint, std::uint64_t>> releases;
    for (const auto& [id, granted] : this->grantedRequests)
        for (const auto& part : granted.parts)
            if (part.isInForecast && part.target == name)
                releases.emplace_back(granted.expectedEnd, part.share.memoryTokens);
    std::ranges::sort(releases);
    auto free = this->targets.find(name)->second.freeTokens();
    auto release = now;
    for (const auto& [at, freed] : releases) {
        if (free >= tokens)
            break;
        free += freed;
        release = std::max(release, at);
    }
    return release;
}

void SlackCostScheduler::addToForecasts(GrantedRequest& granted)
{
    for (auto& part : granted.parts) {
        auto found = this->targets.find(part.target);
        if (part.isInForecast || found == this->targets.end())
            continue;
        part.isInForecast = true;
        found->second.add(part.share);
        if (!granted.isPrefilling)
            found->second.endPrefill(part.share);
    }
}

void SlackCostScheduler::releaseGrant(GrantedRequest& granted)
{
    for (const auto& part : granted.parts)
        if (part.isInForecast)
            this->targets.find(part.target)->second.remove(part.share, granted.isPrefilling);
    this->byExpiry.erase({ granted.expiresAt, granted.id.value });
    this->grantedRequests.erase(std::string { granted.id.value });
}

void SlackCostScheduler::releaseExpiredGrants(TimePoint now)
{
    while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= now)
        this->releaseGrant(this->grantedRequests.find(this->byExpiry.begin()->second)->second);
}

// Erases a target, its forecast and its grants. A span keeps its parts on other targets.
void SlackCostScheduler::eraseTarget(std::string_view name)
{
    auto found = this->targets.find(name);
    if (found == this->targets.end())
        return;
    std::vector<std::string> endedIds;
    for (auto& [id, granted] : this->grantedRequests) {
        std::erase_if(granted.parts, [name](const GrantedPart& part) { return part.target == name; });
        if (granted.parts.empty())
            endedIds.push_back(id);
    }
    for (const auto& id : endedIds)
        this->releaseGrant(this->grantedRequests.find(id)->second);
    this->targets.erase(found);
    if (this->reservation && std::ranges::binary_search(this->reservation->targets, name))
        this->reservation.reset();
}

void SlackCostScheduler::refreshTotals()
{
    auto usableShare = 1 - this->settings.minimumShortReserve;
    this->totals = Totals { 0, std::move(this->totals.capacities) };
    this->totals.capacities.clear();
    for (const auto& [name, target] : this->targets) {
        this->totals.shortTokens += static_cast<double>(target.shortTokens());
        if (!target.isUsable())
            continue;
        ++this->totals.usable;
        this->totals.capacities.push_back(usableShare * static_cast<double>(target.capacity()));
        this->totals.prefillRate += target.prefillRate();
    }
    std::ranges::sort(this->totals.capacities, std::ranges::greater {});
}

}
