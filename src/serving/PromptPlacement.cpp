#include "serving/PromptPlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

namespace marigoldpaddle {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Maximum number of helpers that engines accept with one request.
constexpr std::size_t MaximumHelpers = 16;
// Share of the gap objective that a pass with a prefill may use; the rest covers the network and outdated load
// information.
constexpr double UsableGapShare = 0.85;
// Share of the time-to-first-token objective that prefill may use; the rest covers queueing and the network.
constexpr double PrefillShareOfObjective = 0.5;
// Short prompts prefer the start of a zone's list of engines: the cost rises by this much over the list. Together with
// FullBatchCostMs an engine is filled to half before the next of seven is used, all to three quarters during a burst.
constexpr double ShortPromptPositionCostMs = 300;
// Long prompts prefer the end of the list by this much, which only decides between otherwise equal engines.
constexpr double LongPromptPositionCostMs = 30;
// Network latency and transfer price of another availability zone.
constexpr double RemoteZoneCostMs = 8;
// Batch cost grows with the fourth power of the engine's occupancy, up to this value for a full batch.
constexpr double FullBatchCostMs = 600;
// Prompts that cannot meet their objective leave the slots above this occupancy to those that can.
constexpr double LatePromptOccupancyLimit = 0.85;
// Cost of sharing the engine with a long prefill, in addition to waiting for it.
constexpr double LongPrefillInterferenceCostMs = 120;
// Cost of an engine with a full batch or memory: the next request waits until a running answer ends.
constexpr double NoCapacityCostMs = 1000;
// Prefill time that adds 1 to the weight of an answer: about the batch share of a typical answer.
constexpr double PrefillMsPerWeight = 200;
// Upper bound of the weight, so that one long prompt never outweighs more than this many short answers.
constexpr double MaximumWeight = 60;
// Cost of an answer that is delayed beyond its gap objective or its time-to-first-token objective, multiplied by its
// weight. Such an answer counts as late as a whole.
constexpr double DelayedAnswerCostMs = 300;
// Cost of an answer that is slowed slightly, within its gap objective; multiplied by its weight.
constexpr double SlowedAnswerCostMs = 5;
// With more than the tolerated number of long prefills on an engine, each of them adds this cost: the older of two
// waits for the newer one, and with more of them it would be postponed repeatedly.
constexpr double ConcurrentPrefillCostMs = 3000;
constexpr unsigned ToleratedConcurrentPrefills = 1;
// Share of an engine's memory for a prompt larger than the memory of one engine; other answers run beside it.
constexpr double UsableMemoryShare = 0.65;
// Each helper adds about one round trip and the remainder of a pass.
constexpr double HelperCostMs = 10;
// A target that limits its requests is spared as a helper while others are free.
constexpr double LimitedHelperCostMs = 100;
// A prompt larger than the memory of one engine is not placed if its first token is expected after more than this share
// of the caller's remaining time: the first share applies if it would delay other answers, the second otherwise. The
// rest of the time is for generating the answer.
constexpr double MaximumPrefillShareDelayingOthers = 0.5;
constexpr double MaximumPrefillShare = 0.75;
// Cost per millisecond of waiting and prefill beyond PrefillShareOfObjective, which puts the prompt's own objective at
// risk.
constexpr double PrefillOverrunCostFactor = 3;
// A prompt that would occupy all engines for more than the first share of the route's objective is bulk. It gets the
// second share of the engines, or as many as it takes to finish prefill within the third share of the caller's
// remaining time.
constexpr double BulkThresholdShareOfObjective = 0.15;
constexpr double BulkShareOfEngines = 0.25;
constexpr double BulkShareOfRemainingTime = 0.6;
// Weight of an answer that misses its objective, relative to one that meets it.
constexpr double LateAnswerWeightShare = 0.25;
// Beyond this share of the objective, the expected time to first token is likely to miss it.
constexpr double AtRiskShareOfObjective = 0.8;

}

// One way to split the prefill of a prompt over engines.
struct PromptPlacement::SplitPlan {
    std::size_t decodeEngine { 0 };
    std::vector<std::size_t> helpers;
    double costMs { std::numeric_limits<double>::infinity() };
    double expectedMs { 0 };
    bool delaysOthers { false };
    double delayedWeight { 0 }; // Of all answers that the prefill would delay beyond their gap objective.
};

PromptPlacement::PromptPlacement(const EngineProfile& profile)
    : profile(profile)
{
}

double PromptPlacement::prefillMs(std::int64_t tokens) const
{
    const auto count = static_cast<double>(tokens);
    const auto millionPairs = count * count / 2 / 1e6;
    return count / std::max(1e-6, this->profile.promptTokensPerMs) + millionPairs * this->profile.msPerMillionPairs;
}

double PromptPlacement::weight(std::int64_t tokens) const
{
    return std::min(MaximumWeight, 1 + this->prefillMs(tokens) / PrefillMsPerWeight);
}

bool PromptPlacement::isLong(const PromptPlacementRequest& request) const
{
    const auto usable = UsableGapShare * Milliseconds(request.tightestGap).count();
    return this->passMs({}) + this->prefillMs(request.size.promptTokens) > usable;
}

double PromptPlacement::passMs(const TargetLoad& load) const
{
    const auto step = this->profile.stepMs + this->profile.stepMsPerRequest * load.answers
        + this->profile.stepMsPerThousandContextTokens * static_cast<double>(load.memoryTokens) / 1000;
    return step * this->profile.stepsPerPass;
}

bool PromptPlacement::hasMemory(const EngineCandidate& candidate, std::int64_t tokens) const
{
    return this->profile.memoryTokens == 0 || candidate.load.memoryTokens + tokens <= this->profile.memoryTokens;
}

bool PromptPlacement::wouldExceedGap(const EngineCandidate& candidate, double partMs) const
{
    if (candidate.load.answers == 0)
        return false;
    const auto usable = UsableGapShare * Milliseconds(candidate.load.tightestGap).count();
    return this->passMs(candidate.load) + partMs > usable;
}

double PromptPlacement::concurrentPrefillCost(const EngineCandidate& candidate, double partMs) const
{
    if (candidate.load.longPrefills == 0)
        return 0;
    return candidate.load.longPrefills <= ToleratedConcurrentPrefills
        ? partMs
        : ConcurrentPrefillCostMs * candidate.load.longPrefills;
}

// Returns the position of each candidate among those of its availability zone, from 0 to 1.
std::vector<double> PromptPlacement::zonePositions(std::span<const EngineCandidate> candidates) const
{
    std::map<std::string_view, std::vector<std::size_t>> zones;
    for (std::size_t index = 0; index < candidates.size(); ++index)
        zones[candidates[index].target->availabilityZone].push_back(index);
    std::vector<double> positions(candidates.size(), 0);
    for (const auto& [zone, members] : zones) {
        for (std::size_t position = 0; position < members.size(); ++position)
            positions[members[position]] = static_cast<double>(position) / static_cast<double>(members.size());
    }
    return positions;
}

std::optional<PromptPlan> PromptPlacement::plan(
    const PromptPlacementRequest& request, std::span<const EngineCandidate> candidates) const
{
    const auto tokens = request.size.promptTokens + request.size.maximumOutputTokens;
    if (std::ranges::none_of(candidates, &EngineCandidate::takesRequest)
        || this->memoryEnginesFor(tokens) > std::min(candidates.size(), MaximumHelpers + 1))
        return std::nullopt;
    return this->isLong(request) ? this->planLong(request, candidates) : this->planShort(request, candidates);
}

// Expected time to the first token of a short prompt: it waits for the prefills before it and for the pass in progress,
// and its first token comes with the end of a pass.
double PromptPlacement::expectedShortMs(const TargetLoad& load, double promptMs) const
{
    return load.backlogMs + promptMs + 2 * this->passMs(load);
}

// Cost of a first token that is expected late in what remains of the objective. None once the objective is missed.
double PromptPlacement::overrunCost(const PromptPlacementRequest& request, double expectedMs) const
{
    const auto usable = PrefillShareOfObjective * Milliseconds(request.objective).count();
    return usable > 0 ? PrefillOverrunCostFactor * std::max(0.0, expectedMs - usable) : 0;
}

std::optional<PromptPlan> PromptPlacement::planShort(
    const PromptPlacementRequest& request, std::span<const EngineCandidate> candidates) const
{
    const auto tokens = request.size.promptTokens + request.size.maximumOutputTokens;
    const auto promptMs = this->prefillMs(request.size.promptTokens);
    const auto positions = this->zonePositions(candidates);
    std::size_t best = 0;
    auto bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (!candidate.takesRequest)
            continue;
        const auto occupancy = static_cast<double>(candidate.load.running) / std::max(1U, this->profile.batchSlots);
        auto cost = candidate.load.backlogMs + FullBatchCostMs * std::pow(occupancy, 4)
            + ShortPromptPositionCostMs * positions[index] + candidate.extraCostMs
            + (candidate.isLocal ? 0 : RemoteZoneCostMs) + candidate.load.longPrefills * LongPrefillInterferenceCostMs;
        cost += this->overrunCost(request, this->expectedShortMs(candidate.load, promptMs));
        // Short prompts that arrive within one pass are prefilled one after the other before the next tokens are
        // generated.
        if (this->wouldExceedGap(candidate, candidate.load.backlogMs + promptMs))
            cost += DelayedAnswerCostMs * candidate.load.answerWeight;
        if (occupancy >= 1 || !this->hasMemory(candidate, tokens))
            cost += NoCapacityCostMs * std::max(1.0, occupancy);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    const auto& load = candidates[best].load;
    PromptPlan plan;
    plan.decodeEngine = best;
    plan.prefillMs = promptMs;
    plan.decodeTokens = tokens;
    plan.weight = this->weight(request.size.promptTokens);
    plan.expectedMs = this->expectedShortMs(load, promptMs);
    plan.expectedUnloadedMs = this->expectedShortMs({}, promptMs);
    plan.cannotMeetObjective = plan.expectedUnloadedMs > Milliseconds(request.objective).count();
    const auto occupancy = static_cast<double>(load.running) / std::max(1U, this->profile.batchSlots);
    plan.shouldWait = occupancy >= (plan.cannotMeetObjective ? LatePromptOccupancyLimit : 1);
    return plan;
}

// Returns the number of engines that have to hold a part of a prompt in memory.
std::size_t PromptPlacement::memoryEnginesFor(std::int64_t tokens) const
{
    if (this->profile.memoryTokens == 0 || tokens <= this->profile.memoryTokens)
        return 1;
    const auto usable = UsableMemoryShare * static_cast<double>(this->profile.memoryTokens);
    return static_cast<std::size_t>(std::ceil(static_cast<double>(tokens) / usable));
}

// Splits the prefill into `parts` parts on the engines with the lowest cost.
PromptPlacement::SplitPlan PromptPlacement::planSplit(const PromptPlacementRequest& request,
    std::span<const EngineCandidate> candidates, std::span<const double> positions, std::size_t parts) const
{
    const auto wholeTokens = request.size.promptTokens + request.size.maximumOutputTokens;
    const auto memoryEngines = this->memoryEnginesFor(wholeTokens);
    const auto tokens = wholeTokens / static_cast<std::int64_t>(memoryEngines);
    const auto partMs = this->prefillMs(request.size.promptTokens) / static_cast<double>(parts);
    std::vector<double> costs(candidates.size());
    std::vector<double> decodeCosts(candidates.size());
    std::vector<double> helperCosts(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const bool exceedsGap = this->wouldExceedGap(candidate, partMs + candidate.load.backlogMs);
        const auto perAnswer = exceedsGap ? DelayedAnswerCostMs : SlowedAnswerCostMs;
        costs[index] = perAnswer * candidate.load.answerWeight + this->concurrentPrefillCost(candidate, partMs)
            + candidate.load.backlogMs + LongPromptPositionCostMs * (1 - positions[index]) + candidate.extraCostMs
            + (candidate.isLocal ? 0 : RemoteZoneCostMs);
        // The answer is generated in passes that the decode engine shares with its other prefills and answers.
        decodeCosts[index] = costs[index] + this->passMs(candidate.load)
            + (this->hasMemory(candidate, tokens) ? 0 : NoCapacityCostMs + ConcurrentPrefillCostMs);
        if (!candidate.takesRequest)
            decodeCosts[index] = std::numeric_limits<double>::infinity();
        helperCosts[index] = costs[index] + HelperCostMs + (candidate.isLimited ? LimitedHelperCostMs : 0);
    }
    SplitPlan split;
    split.decodeEngine = static_cast<std::size_t>(std::ranges::min_element(decodeCosts) - decodeCosts.begin());
    helperCosts[split.decodeEngine] = std::numeric_limits<double>::infinity();
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    // Engines with free memory for a part of the prompt come first; the decode engine is no helper and comes last.
    const auto holdsNoMemory = [&](std::size_t index) {
        const bool canReserve = this->hasMemory(candidates[index], tokens) && !candidates[index].isLimited;
        return index == split.decodeEngine || (memoryEngines > 1 && !canReserve);
    };
    std::ranges::sort(
        order, {}, [&](std::size_t index) { return std::pair { holdsNoMemory(index), helperCosts[index] }; });
    split.helpers.assign(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(parts - 1));

    split.costMs = decodeCosts[split.decodeEngine];
    split.expectedMs = candidates[split.decodeEngine].load.backlogMs;
    split.delaysOthers = decodeCosts[split.decodeEngine] >= DelayedAnswerCostMs;
    const auto delayedWeightOn = [&](std::size_t index) {
        const auto& candidate = candidates[index];
        const bool exceedsGap = this->wouldExceedGap(candidate, partMs + candidate.load.backlogMs);
        return exceedsGap ? candidate.load.answerWeight : 0;
    };
    split.delayedWeight = delayedWeightOn(split.decodeEngine);
    for (const auto helper : split.helpers) {
        split.delayedWeight += delayedWeightOn(helper);
        split.costMs += helperCosts[helper];
        split.expectedMs = std::max(split.expectedMs, candidates[helper].load.backlogMs);
        split.delaysOthers |= costs[helper] >= DelayedAnswerCostMs;
    }
    split.expectedMs += partMs;
    split.costMs += partMs + this->overrunCost(request, split.expectedMs);
    if (split.expectedMs > AtRiskShareOfObjective * Milliseconds(request.objective).count())
        split.costMs += DelayedAnswerCostMs * this->weight(request.size.promptTokens);
    return split;
}

// Limits a bulk prompt to few engines for a longer time: on all engines it would make most other requests late.
std::size_t PromptPlacement::maximumParts(const PromptPlacementRequest& request, std::size_t engines) const
{
    const auto partLimit = std::min(engines, MaximumHelpers + 1);
    const auto wholeMs = this->prefillMs(request.size.promptTokens);
    if (wholeMs / static_cast<double>(engines)
        <= BulkThresholdShareOfObjective * Milliseconds(request.routeObjective).count())
        return partLimit;
    const auto bulkParts = std::ceil(BulkShareOfEngines * static_cast<double>(engines));
    const auto needed
        = std::ceil(wholeMs / (BulkShareOfRemainingTime * std::max(1.0, Milliseconds(request.remaining).count())));
    return std::min(partLimit, static_cast<std::size_t>(std::max(bulkParts, needed)));
}

std::optional<PromptPlan> PromptPlacement::planLong(
    const PromptPlacementRequest& request, std::span<const EngineCandidate> candidates) const
{
    const auto positions = this->zonePositions(candidates);
    SplitPlan best;
    const auto tokens = request.size.promptTokens + request.size.maximumOutputTokens;
    const auto memoryEngines = this->memoryEnginesFor(tokens);
    const auto maximumParts = this->maximumParts(request, candidates.size());
    for (std::size_t parts = memoryEngines; parts <= std::max(memoryEngines, maximumParts); ++parts) {
        auto split = this->planSplit(request, candidates, positions, parts);
        if (split.costMs < best.costMs)
            best = std::move(split);
    }
    const auto wholeMs = this->prefillMs(request.size.promptTokens);
    PromptPlan plan;
    plan.decodeEngine = best.decodeEngine;
    plan.helpers = best.helpers;
    plan.reservations = memoryEngines - 1;
    plan.tokensPerReservation = memoryEngines > 1 ? tokens / static_cast<std::int64_t>(memoryEngines) + 1 : 0;
    plan.decodeTokens = tokens - plan.tokensPerReservation * static_cast<std::int64_t>(plan.reservations);
    plan.prefillMs = wholeMs / static_cast<double>(best.helpers.size() + 1);
    plan.weight = this->weight(request.size.promptTokens);
    plan.expectedMs = best.expectedMs + 2 * this->passMs(candidates[best.decodeEngine].load);
    plan.expectedUnloadedMs = wholeMs / static_cast<double>(maximumParts) + 2 * this->passMs({});
    plan.isLong = true;
    plan.cannotMeetObjective = plan.expectedUnloadedMs > Milliseconds(request.objective).count();
    const bool exceedsObjective = plan.expectedMs > Milliseconds(request.objective).count();
    plan.isNetLoss = best.delayedWeight > (exceedsObjective ? LateAnswerWeightShare : 1) * plan.weight;
    const auto maximumPrefillShare = best.delaysOthers ? MaximumPrefillShareDelayingOthers : MaximumPrefillShare;
    plan.wouldMissDeadline
        = memoryEngines > 1 && plan.expectedMs > maximumPrefillShare * Milliseconds(request.remaining).count();
    const bool mayStillMeetObjective = !plan.cannotMeetObjective
        && plan.expectedMs > AtRiskShareOfObjective * Milliseconds(request.objective).count();
    plan.shouldWait = plan.wouldMissDeadline || best.delaysOthers || mayStillMeetObjective;
    return plan;
}

}
