#include "serving/PromptPlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

namespace marigoldpaddle {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// The most helpers that engines accept with one request.
constexpr std::size_t MaximumHelpers = 16;
// Of a gap objective, what a pass and a read beside it may take; the rest is for the network and for late knowledge.
constexpr double UsableShareOfGap = 0.85;
// Of the objective to the first token, what reading may use; the rest is for waiting and the network.
constexpr double ReadShareOfObjective = 0.5;
// Preference of short answers for one end of a zone's engines, from one end to the other. Beside FullBatchMs it fills
// an engine to half before the next of seven is begun, and all of them to three quarters at a crest.
constexpr double ShortEndMs = 300;
// Preference of long prompts for the other end: decides between engines that are equally good.
constexpr double LongEndMs = 30;
// Network and price of another availability zone.
constexpr double RemoteZoneMs = 8;
// The cost of a place rises with the fourth power of the engine's occupancy, up to this for a full batch.
constexpr double FullBatchMs = 600;
// Prompts that are late already leave the rest of a batch to those that are not.
constexpr double LateOccupancy = 0.85;
// What a short prompt suffers from a long read on its engine, besides waiting for it.
constexpr double BesideLongReadMs = 120;
// An engine whose batch or memory is full makes the next request wait for one of its answers to end.
constexpr double NoPlaceMs = 1000;
// Reading time that weighs as much as the rest of an answer: about that of a typical answer's batch share.
constexpr double WeightReadMs = 200;
// One caller is never worth more than so many with short prompts, however long its own is.
constexpr double MostWeight = 60;
// An answer that is held up beyond its gap, or comes after its objective, is late as a whole. Times its weight.
constexpr double HeldUpAnswerMs = 300;
// Any other answer on the engine is slowed a little.
constexpr double SlowedAnswerMs = 5;
// The older of two long reads waits for the newer one. With more of them it would be put off again and again.
constexpr double StackedReadMs = 3000;
constexpr unsigned BearableStack = 1;
// Of an engine's memory, what a prompt that needs several engines takes: other answers go on beside it.
constexpr double UsableShareOfMemory = 0.65;
// Each further engine has to be reached and waited for: about one round trip and the rest of a pass.
constexpr double PerHelperMs = 10;
// A prompt of several engines' memory whose reading alone takes more than this share of its time is not placed where it
// holds up others, and with the second share nowhere: the rest is for writing the answer.
constexpr double HopelessShareOfTime = 0.5;
constexpr double HopelessShareOnFreeEngines = 0.75;
// Reading beyond its share of the objective puts the prompt itself at risk.
constexpr double LateReadWeight = 3;
// Reading that would take all engines for more than this share of the objective is bulk: it gets this share of the
// engines, or as many as it takes to be done within this share of the caller's time.
constexpr double BulkShareOfObjective = 0.15;
constexpr double BulkShareOfEngines = 0.25;
constexpr double BulkShareOfTime = 0.6;
// What an answer is worth after its objective, of what it would have been worth before.
constexpr double LateWorth = 0.25;
// Expected longer than this share of the objective, the prompt is late.
constexpr double LateShareOfObjective = 0.8;

}

// One way to read a prompt.
struct PromptPlacement::SplitRead {
    std::size_t writer { 0 };
    std::vector<std::size_t> helpers;
    double costMs { std::numeric_limits<double>::infinity() };
    double expectedMs { 0 };
    bool disturbsOthers { false };
    double heldUpWeight { 0 }; // Of all answers that the reading holds up beyond their gap.
};

PromptPlacement::PromptPlacement(const EngineProfile& profile)
    : profile(profile)
{
}

double PromptPlacement::readMs(std::int64_t tokens) const
{
    const auto count = static_cast<double>(tokens);
    const auto millionPairs = count * count / 2 / 1e6;
    return count / std::max(1e-6, this->profile.promptTokensPerMs) + millionPairs * this->profile.msPerMillionPairs;
}

double PromptPlacement::weight(std::int64_t tokens) const
{
    return std::min(MostWeight, 1 + this->readMs(tokens) / WeightReadMs);
}

bool PromptPlacement::isLong(const PromptDemand& demand) const
{
    const auto usable = UsableShareOfGap * Milliseconds(demand.tightestGap).count();
    return this->passMs({}) + this->readMs(demand.size.promptTokens) > usable;
}

double PromptPlacement::passMs(const TargetLoad& load) const
{
    const auto step = this->profile.stepMs + this->profile.stepMsPerRequest * load.answers
        + this->profile.stepMsPerThousandContextTokens * static_cast<double>(load.memoryTokens) / 1000;
    return step * this->profile.stepsPerPass;
}

bool PromptPlacement::hasRoom(const EngineCandidate& candidate, std::int64_t tokens) const
{
    return this->profile.memoryTokens == 0 || candidate.load.memoryTokens + tokens <= this->profile.memoryTokens;
}

bool PromptPlacement::holdsUpAnswers(const EngineCandidate& candidate, double partMs) const
{
    if (candidate.load.answers == 0)
        return false;
    const auto usable = UsableShareOfGap * Milliseconds(candidate.load.tightestGap).count();
    return this->passMs(candidate.load) + partMs > usable;
}

double PromptPlacement::stackingCost(const EngineCandidate& candidate, double partMs) const
{
    if (candidate.load.longReads == 0)
        return 0;
    return candidate.load.longReads <= BearableStack ? partMs : StackedReadMs * candidate.load.longReads;
}

// Returns each candidate's place among those of its availability zone, from 0 to 1.
std::vector<double> PromptPlacement::zonePositions(std::span<const EngineCandidate> candidates) const
{
    std::map<std::string_view, std::vector<std::size_t>> zones;
    for (std::size_t index = 0; index < candidates.size(); ++index)
        zones[candidates[index].target->availabilityZone].push_back(index);
    std::vector<double> positions(candidates.size(), 0);
    for (const auto& [zone, members] : zones) {
        for (std::size_t place = 0; place < members.size(); ++place)
            positions[members[place]] = static_cast<double>(place) / static_cast<double>(members.size());
    }
    return positions;
}

std::optional<PromptPlan> PromptPlacement::plan(
    const PromptDemand& demand, std::span<const EngineCandidate> candidates) const
{
    const auto tokens = demand.size.promptTokens + demand.size.maximumOutputTokens;
    if (candidates.empty() || this->holdersFor(tokens) > std::min(candidates.size(), MaximumHelpers + 1))
        return std::nullopt;
    return this->isLong(demand) ? this->planLong(demand, candidates) : this->planShort(demand, candidates);
}

std::optional<PromptPlan> PromptPlacement::planShort(
    const PromptDemand& demand, std::span<const EngineCandidate> candidates) const
{
    const auto tokens = demand.size.promptTokens + demand.size.maximumOutputTokens;
    const auto read = this->readMs(demand.size.promptTokens);
    const auto positions = this->zonePositions(candidates);
    std::size_t best = 0;
    auto bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const auto occupancy = static_cast<double>(candidate.load.running) / std::max(1U, this->profile.batchSlots);
        auto cost = candidate.load.backlogMs + FullBatchMs * std::pow(occupancy, 4) + ShortEndMs * positions[index]
            + candidate.penaltyMs + (candidate.isLocal ? 0 : RemoteZoneMs)
            + candidate.load.longReads * BesideLongReadMs;
        // Short prompts that arrive within one pass are read one after the other before the next tokens are written.
        if (this->holdsUpAnswers(candidate, candidate.load.backlogMs + read))
            cost += HeldUpAnswerMs * candidate.load.answerWeight;
        if (occupancy >= 1 || !this->hasRoom(candidate, tokens))
            cost += NoPlaceMs * std::max(1.0, occupancy);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    const auto& load = candidates[best].load;
    PromptPlan plan;
    plan.writer = best;
    plan.readMs = read;
    plan.writerTokens = tokens;
    plan.weight = this->weight(demand.size.promptTokens);
    plan.expectedMs = load.backlogMs + plan.readMs + 2 * this->passMs(load);
    plan.soonestMs = plan.readMs + 2 * this->passMs({});
    plan.isLate = plan.soonestMs > Milliseconds(demand.objective).count();
    const auto occupancy = static_cast<double>(load.running) / std::max(1U, this->profile.batchSlots);
    plan.shouldWait = occupancy >= (plan.isLate ? LateOccupancy : 1);
    return plan;
}

// Returns the engines that have to keep a part of a prompt in memory.
std::size_t PromptPlacement::holdersFor(std::int64_t tokens) const
{
    if (this->profile.memoryTokens == 0 || tokens <= this->profile.memoryTokens)
        return 1;
    const auto usable = UsableShareOfMemory * static_cast<double>(this->profile.memoryTokens);
    return static_cast<std::size_t>(std::ceil(static_cast<double>(tokens) / usable));
}

// Reads the prompt in a number of parts on the engines that bear them best.
PromptPlacement::SplitRead PromptPlacement::split(const PromptDemand& demand,
    std::span<const EngineCandidate> candidates, std::span<const double> positions, std::size_t parts) const
{
    const auto wholeTokens = demand.size.promptTokens + demand.size.maximumOutputTokens;
    const auto holders = this->holdersFor(wholeTokens);
    const auto tokens = wholeTokens / static_cast<std::int64_t>(holders);
    const auto partMs = this->readMs(demand.size.promptTokens) / static_cast<double>(parts);
    std::vector<double> costs(candidates.size());
    std::vector<double> writerCosts(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const bool holdsUp = this->holdsUpAnswers(candidate, partMs + candidate.load.backlogMs);
        const auto perAnswer = holdsUp ? HeldUpAnswerMs : SlowedAnswerMs;
        costs[index] = perAnswer * candidate.load.answerWeight + this->stackingCost(candidate, partMs)
            + candidate.load.backlogMs + LongEndMs * (1 - positions[index]) + candidate.penaltyMs
            + (candidate.isLocal ? 0 : RemoteZoneMs);
        // Its answer shares the engine with whatever is read or answered there.
        writerCosts[index] = costs[index] + this->passMs(candidate.load)
            + (this->hasRoom(candidate, tokens) ? 0 : NoPlaceMs + StackedReadMs);
    }
    SplitRead read;
    read.writer = static_cast<std::size_t>(std::ranges::min_element(writerCosts) - writerCosts.begin());
    costs[read.writer] = std::numeric_limits<double>::infinity();
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    // Those that keep a part of the prompt come first.
    const auto keepsNone = [&](std::size_t index) {
        return index == read.writer || (holders > 1 && !this->hasRoom(candidates[index], tokens));
    };
    std::ranges::sort(order, {}, [&](std::size_t index) { return std::pair { keepsNone(index), costs[index] }; });
    read.helpers.assign(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(parts - 1));

    read.costMs = writerCosts[read.writer];
    read.expectedMs = candidates[read.writer].load.backlogMs;
    read.disturbsOthers = writerCosts[read.writer] >= HeldUpAnswerMs;
    const auto heldUp = [&](std::size_t index) {
        const auto& candidate = candidates[index];
        const bool holdsUp = this->holdsUpAnswers(candidate, partMs + candidate.load.backlogMs);
        return holdsUp ? candidate.load.answerWeight : 0;
    };
    read.heldUpWeight = heldUp(read.writer);
    for (const auto helper : read.helpers) {
        read.heldUpWeight += heldUp(helper);
        read.costMs += costs[helper] + PerHelperMs;
        read.expectedMs = std::max(read.expectedMs, candidates[helper].load.backlogMs);
        read.disturbsOthers |= costs[helper] >= HeldUpAnswerMs;
    }
    read.expectedMs += partMs;
    const auto usable = ReadShareOfObjective * Milliseconds(demand.objective).count();
    read.costMs += partMs;
    if (usable > 0)
        read.costMs += LateReadWeight * std::max(0.0, read.expectedMs - usable);
    if (read.expectedMs > LateShareOfObjective * Milliseconds(demand.objective).count())
        read.costMs += HeldUpAnswerMs * this->weight(demand.size.promptTokens);
    return read;
}

// A prompt whose reading would take all engines for a good part of its objective makes most of what comes meanwhile
// late. It gets a few of them, for longer.
std::size_t PromptPlacement::mostParts(const PromptDemand& demand, std::size_t engines) const
{
    const auto most = std::min(engines, MaximumHelpers + 1);
    const auto whole = this->readMs(demand.size.promptTokens);
    if (whole / static_cast<double>(engines) <= BulkShareOfObjective * Milliseconds(demand.routeObjective).count())
        return most;
    const auto few = std::ceil(BulkShareOfEngines * static_cast<double>(engines));
    const auto needed = std::ceil(whole / (BulkShareOfTime * std::max(1.0, Milliseconds(demand.remaining).count())));
    return std::min(most, static_cast<std::size_t>(std::max(few, needed)));
}

std::optional<PromptPlan> PromptPlacement::planLong(
    const PromptDemand& demand, std::span<const EngineCandidate> candidates) const
{
    const auto positions = this->zonePositions(candidates);
    SplitRead best;
    const auto tokens = demand.size.promptTokens + demand.size.maximumOutputTokens;
    const auto holders = this->holdersFor(tokens);
    const auto mostParts = this->mostParts(demand, candidates.size());
    for (std::size_t parts = holders; parts <= std::max(holders, mostParts); ++parts) {
        auto read = this->split(demand, candidates, positions, parts);
        if (read.costMs < best.costMs)
            best = std::move(read);
    }
    const auto whole = this->readMs(demand.size.promptTokens);
    PromptPlan plan;
    plan.writer = best.writer;
    plan.helpers = best.helpers;
    plan.tickets = holders - 1;
    plan.tokensPerTicket = holders > 1 ? tokens / static_cast<std::int64_t>(holders) + 1 : 0;
    plan.writerTokens = tokens - plan.tokensPerTicket * static_cast<std::int64_t>(plan.tickets);
    plan.readMs = whole / static_cast<double>(best.helpers.size() + 1);
    plan.weight = this->weight(demand.size.promptTokens);
    plan.expectedMs = best.expectedMs + 2 * this->passMs(candidates[best.writer].load);
    plan.soonestMs = whole / static_cast<double>(mostParts) + 2 * this->passMs({});
    plan.isLong = true;
    plan.isLate = plan.soonestMs > Milliseconds(demand.objective).count();
    const bool comesLate = plan.expectedMs > Milliseconds(demand.objective).count();
    plan.isHarmful = best.heldUpWeight > (comesLate ? LateWorth : 1) * plan.weight;
    const auto bearableShare = best.disturbsOthers ? HopelessShareOfTime : HopelessShareOnFreeEngines;
    plan.isHopeless = holders > 1 && plan.expectedMs > bearableShare * Milliseconds(demand.remaining).count();
    const bool mayBeInTime
        = !plan.isLate && plan.expectedMs > LateShareOfObjective * Milliseconds(demand.objective).count();
    plan.shouldWait = plan.isHopeless || best.disturbsOthers || mayBeInTime;
    return plan;
}

}
