// Queue part of the SlackCostScheduler: queue order, refusals and their retry delays.
#include "dispatch/SlackCostScheduler.h"

#include <algorithm>

namespace marigoldpaddle {

namespace {

constexpr std::size_t MaximumPrefixBlocks = 32; // Stored with a queued request.
constexpr std::chrono::milliseconds MinimumRetryAfter { 250 };
constexpr std::chrono::seconds NoTargetRetryAfter { 2 };
constexpr double MinimumDrainShare = 0.05; // Lower bound of each class's rate, as a share of all targets' prefill rate.
constexpr double DurationMargin = 1.1;
constexpr double ReservationAge = 0.15; // Share of its slack that a long request waits before memory is reserved.
constexpr std::chrono::duration<double> ShortTokensTimeConstant { 5 };

TimePoint reservationTime(const QueuedRequest& entry)
{
    auto slack = std::max(entry.latestStart - entry.arrival, Duration::zero());
    return entry.arrival + std::chrono::duration_cast<Duration>(ReservationAge * slack);
}

// Merges pairs of adjacent prefix blocks until at most MaximumPrefixBlocks remain.
void coarsenPrefixBlocks(PlacementRequest& request)
{
    while (request.prefixBlocks.size() > MaximumPrefixBlocks) {
        auto& blocks = request.prefixBlocks;
        for (std::size_t i = 0; 2 * i + 1 < blocks.size(); ++i)
            blocks[i] = blocks[2 * i + 1];
        blocks.resize(blocks.size() / 2);
        request.prefixBlockTokens *= 2;
    }
    request.prefixBlocks.shrink_to_fit();
}

}

QueuedRequest& SlackCostScheduler::enqueue(const PlacementRequest& request, TimePoint now)
{
    auto entry = std::make_unique<QueuedRequest>();
    entry->request = request;
    coarsenPrefixBlocks(entry->request);
    entry->promptClass = this->classOf(request.promptTokens);
    entry->work = static_cast<double>(std::max<std::uint64_t>(request.promptTokens, 1));
    entry->arrival = now;
    entry->latestStart = request.deadline - this->predictedDuration(request);
    auto cost = std::chrono::duration<double>(entry->work / this->meanPrefillRate());
    auto aged = now + std::chrono::duration_cast<Duration>(this->settings.agingFactor * cost);
    entry->orderKey = std::min(aged, entry->latestStart);
    entry->sequence = this->nextSequence++;
    auto& kept = *this->queued.emplace(request.id.value, std::move(entry)).first->second;
    this->classes[kept.promptClass].queue.insert(kept);
    this->byLatestStart.emplace(kept.latestStart, kept.sequence, &kept);
    if (kept.promptClass > 0)
        this->byReservationTime.emplace(reservationTime(kept), kept.sequence, &kept);
    return kept;
}

std::unique_ptr<QueuedRequest> SlackCostScheduler::dequeue(const RequestId& id)
{
    auto found = this->queued.find(id.value);
    if (found == this->queued.end())
        return nullptr;
    auto entry = std::move(found->second);
    this->queued.erase(found);
    this->classes[entry->promptClass].queue.remove(*entry);
    this->byLatestStart.erase({ entry->latestStart, entry->sequence, entry.get() });
    this->byReservationTime.erase({ reservationTime(*entry), entry->sequence, entry.get() });
    if (this->reservation && this->reservation->id == id)
        this->reservation.reset();
    return entry;
}

std::optional<RefusalReason> SlackCostScheduler::reasonToRefuse(const QueuedRequest& entry, TimePoint now) const
{
    const auto& request = entry.request;
    if (this->totals.usable == 0)
        return RefusalReason::NoTarget;
    if (request.promptTokens + request.maximumOutputTokens > this->largestSpan())
        return RefusalReason::PromptTooLong;
    if (request.deadline <= now)
        return RefusalReason::DeadlineExceeded;
    auto wait = this->predictedWait(entry);
    if (now + wait <= entry.latestStart)
        return std::nullopt;
    const auto& queue = this->classes[entry.promptClass].queue;
    return queue.isOverShare(request.workspace) ? RefusalReason::WorkspaceOverShare : RefusalReason::Overloaded;
}

void SlackCostScheduler::refuse(const RequestId& id, RefusalReason reason, SchedulerCommands& commands)
{
    auto entry = this->dequeue(id);
    commands.push_back(Refusal { id, reason, this->retryAfter(*entry, reason) });
    this->classes[entry->promptClass].refusedWork += entry->work;
}

void SlackCostScheduler::refuseAll(RefusalReason reason, SchedulerCommands& commands)
{
    while (!this->byLatestStart.empty())
        this->refuse(
            RequestId { std::get<QueuedRequest*>(*this->byLatestStart.begin())->request.id }, reason, commands);
}

// Refuses queued requests that can no longer finish before their deadline.
void SlackCostScheduler::refuseLate(TimePoint now, SchedulerCommands& commands)
{
    while (!this->byLatestStart.empty() && std::get<TimePoint>(*this->byLatestStart.begin()) <= now) {
        auto id = std::get<QueuedRequest*>(*this->byLatestStart.begin())->request.id;
        this->refuse(id, RefusalReason::Overloaded, commands);
    }
}

// Sheds load until the predicted queue time of short prompts is within its limit. Each step refuses the last queued
// request of the workspace with the most queued work relative to its weight.
void SlackCostScheduler::shed(std::size_t promptClass, SchedulerCommands& commands)
{
    if (promptClass != 0)
        return;
    auto& [queue, drain, refusedWork] = this->classes[promptClass];
    while (queue.size() > 1 && drain.timeFor(queue.work()) > this->settings.shortWaitLimit) {
        auto* candidate = queue.mostOverShare();
        auto isOverShare = queue.isOverShare(candidate->request.workspace);
        auto reason = isOverShare ? RefusalReason::WorkspaceOverShare : RefusalReason::Overloaded;
        this->refuse(RequestId { candidate->request.id }, reason, commands);
    }
}

Duration SlackCostScheduler::retryAfter(const QueuedRequest& entry, RefusalReason reason) const
{
    if (reason == RefusalReason::NoTarget)
        return NoTargetRetryAfter;
    const auto& [queue, drain, refusedWork] = this->classes[entry.promptClass];
    return std::max<Duration>(MinimumRetryAfter, drain.timeFor(queue.work() + refusedWork));
}

// Returns the predicted queue time of an entry that has just been inserted.
Duration SlackCostScheduler::predictedWait(const QueuedRequest& entry) const
{
    const auto& [queue, drain, refusedWork] = this->classes[entry.promptClass];
    auto ahead = queue.workAhead(entry.request.workspace, entry.request.workspaceWeight) - entry.work;
    return drain.timeFor(std::max(ahead, 0.0));
}

std::size_t SlackCostScheduler::classOf(std::uint64_t promptTokens) const
{
    auto bound = std::ranges::lower_bound(this->settings.classBounds, promptTokens);
    return static_cast<std::size_t>(bound - this->settings.classBounds.begin());
}

// Returns the predicted time from the grant to the last token of an answer of maximum length, plus a margin.
Duration SlackCostScheduler::predictedDuration(const PlacementRequest& request) const
{
    auto width = std::max<std::size_t>(1, this->spanWidth(request.promptTokens + request.maximumOutputTokens));
    auto rate = this->meanPrefillRate() * static_cast<double>(width);
    std::chrono::duration<double> prefill { static_cast<double>(request.promptTokens) / rate };
    std::chrono::duration<double> decode { this->interTokenLatency * request.maximumOutputTokens };
    return std::chrono::duration_cast<Duration>(DurationMargin * (prefill + decode));
}

void SlackCostScheduler::advance(TimePoint now)
{
    auto elapsed = std::chrono::duration<double>(std::max(now - this->now, Duration::zero())).count();
    this->now = std::max(this->now, now);
    for (auto& [name, target] : this->targets)
        target.advance(this->now);
    this->refreshTotals();
    auto weight = std::min(1.0, elapsed / ShortTokensTimeConstant.count());
    this->averageShortTokens += weight * (this->totals.shortTokens - this->averageShortTokens);
    for (auto& [queue, drain, refusedWork] : this->classes) {
        drain.setMinimum(MinimumDrainShare * this->totals.prefillRate);
        drain.advance(this->now, queue.size() > 0);
        refusedWork = std::max(0.0, refusedWork - elapsed * drain.tokensPerSecond());
    }
}

double SlackCostScheduler::meanPrefillRate() const
{
    auto usable = this->totals.usable;
    return usable == 0 ? this->settings.prefillTokensPerSecond : this->totals.prefillRate / static_cast<double>(usable);
}

}
