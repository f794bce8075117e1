#include "serving/PromptPlacement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace marigoldpaddle {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Share of a stretched pass that answers in progress tolerate, of the passes' own length. Four passes stay below the
// pauses that any of the routes allows its short answers.
constexpr double BulkPasses = 3;
// Of the objective, what reading may use; the rest is for waiting and for the network.
constexpr double ReadShareOfObjective = 0.35;
// Of the allowed pause, what one read may add to a pass of an engine that writes other answers.
constexpr double ReadShareOfGap = 0.6;
// The most helpers that engines accept with one request.
constexpr std::size_t MaximumHelpers = 16;
// Preference for one end of a zone's engines, from one end to the other; small beside any objective.
constexpr double EndPreferenceMs = 40;
// Network and price of another availability zone.
constexpr double RemoteZoneMs = 8;
// Batch of an engine: the cost of a place rises with the square of its occupancy.
constexpr double FullBatchMs = 100;
// What one answer in progress suffers from a long read on its engine.
constexpr double DisturbedAnswerMs = 120;
// An engine whose batch is full makes the next request wait for one of its answers to end.
constexpr double NoPlaceMs = 1000;

}

PromptPlacement::PromptPlacement(const EngineProfile& profile)
    : profile(profile)
{
}

double PromptPlacement::readMs(std::int64_t tokens) const
{
    const auto count = static_cast<double>(tokens);
    const auto pairs = count * count / 2 / 1e6;
    return count / std::max(1e-6, this->profile.promptTokensPerMs) + pairs * this->profile.msPerMillionPairs;
}

bool PromptPlacement::isBulk(const PromptDemand& demand) const
{
    return this->readMs(demand.size.promptTokens) > BulkPasses * this->passMs(1);
}

double PromptPlacement::passMs(unsigned running) const
{
    const auto step = this->profile.stepMs + this->profile.stepMsPerRequest * running;
    return step * this->profile.stepsPerPass;
}

bool PromptPlacement::hasRoom(const EngineCandidate& candidate, std::int64_t tokens) const
{
    return this->profile.memoryTokens == 0 || candidate.load.memoryTokens + tokens <= this->profile.memoryTokens;
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
    return this->isBulk(demand) ? this->planBulk(demand, candidates) : this->planShort(demand, candidates);
}

std::optional<PromptPlan> PromptPlacement::planShort(
    const PromptDemand& demand, std::span<const EngineCandidate> candidates) const
{
    const auto tokens = demand.size.promptTokens + demand.size.maximumOutputTokens;
    const auto positions = this->zonePositions(candidates);
    std::optional<Ranked> best;
    double bestWait = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const auto occupancy = static_cast<double>(candidate.load.running) / std::max(1U, this->profile.batchSlots);
        const auto wait
            = candidate.load.backlogMs + (candidate.load.running > 0 ? this->passMs(candidate.load.running) : 0);
        auto cost
            = wait + FullBatchMs * occupancy * occupancy + EndPreferenceMs * positions[index] + candidate.penaltyMs;
        cost += candidate.isLocal ? 0 : RemoteZoneMs;
        cost += candidate.load.bulkParts * DisturbedAnswerMs;
        if (occupancy >= 1 || !this->hasRoom(candidate, tokens))
            cost += NoPlaceMs * std::max(1.0, occupancy);
        if (!best || cost < best->costMs) {
            best = Ranked { index, cost };
            bestWait = wait;
        }
    }
    if (!best)
        return std::nullopt;
    const auto read = this->readMs(demand.size.promptTokens);
    return PromptPlan { best->index, {}, read, bestWait + read + this->passMs(1), false };
}

std::optional<PromptPlan> PromptPlacement::planBulk(
    const PromptDemand& demand, std::span<const EngineCandidate> candidates) const
{
    const auto tokens = demand.size.promptTokens + demand.size.maximumOutputTokens;
    const auto positions = this->zonePositions(candidates);
    std::vector<Ranked> ranked;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& load = candidates[index].load;
        const auto disturbed = load.running > load.bulkParts ? load.running - load.bulkParts : 0;
        ranked.push_back({ index,
            load.backlogMs + DisturbedAnswerMs * disturbed + EndPreferenceMs * (1 - positions[index])
                + candidates[index].penaltyMs + (candidates[index].isLocal ? 0 : RemoteZoneMs) });
    }
    std::ranges::sort(ranked, {}, &Ranked::costMs);
    // The answer is written where there is memory for all of it.
    const auto writer
        = std::ranges::find_if(ranked, [&](const Ranked& one) { return this->hasRoom(candidates[one.index], tokens); });
    if (writer == ranked.end())
        return std::nullopt;
    std::rotate(ranked.begin(), writer, writer + 1);

    const auto whole = this->readMs(demand.size.promptTokens);
    const auto bearable = std::min(ReadShareOfObjective * Milliseconds(demand.objective).count(),
        ReadShareOfGap * Milliseconds(demand.gapObjective).count());
    std::size_t best = 1;
    double bestFinish = ranked.front().costMs + whole;
    double slowest = ranked.front().costMs;
    for (std::size_t parts = 2; parts <= std::min(ranked.size(), MaximumHelpers + 1); ++parts) {
        if (whole / static_cast<double>(parts - 1) <= bearable)
            break;
        slowest = std::max(slowest, ranked[parts - 1].costMs);
        const auto finish = slowest + whole / static_cast<double>(parts);
        if (finish < bestFinish) {
            best = parts;
            bestFinish = finish;
        }
    }
    PromptPlan plan { ranked.front().index, {}, whole / static_cast<double>(best), bestFinish + this->passMs(1), true };
    for (std::size_t part = 1; part < best; ++part)
        plan.helpers.push_back(ranked[part].index);
    return plan;
}

}
