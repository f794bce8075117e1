#include "serving/TargetChooser.h"

#include <algorithm>
#include <limits>
#include <span>

#include "serving/PeerExchange.h"

namespace marigoldpaddle {

namespace {

// A target that failed all recent sends is as bad as one whose places are all taken twice over.
constexpr double FailureWeight = 2;
// Another availability zone costs as much as a tenth of the places in use.
constexpr double RemoteZoneWeight = 0.1;
// What a target that fails everything costs a prompt, in milliseconds: an attempt in vain.
constexpr double FailurePenaltyMs = 600;
// Candidates this close are chosen by chance, so that instances with the same knowledge spread out.
constexpr double RandomWeight = 0.05;
constexpr double RandomMs = 15; // About one short prompt's reading.
// Right after a start without the peers' loads, as when all instances were killed, every instance would fill the same
// engines: the choice is left to chance, which outweighs every preference. Peers are heard within a second.
constexpr double StartRandomMs = 1500;
constexpr Duration StartPeriod = std::chrono::seconds { 2 };
// A zone whose engines have this share of their places taken has room for prompts of others; beyond it their own would
// soon have to go elsewhere.
constexpr double RoomyOccupancy = 0.8;

Duration durationFrom(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli> { milliseconds });
}

}

TargetChooser::TargetChooser(const TargetDirectory& targets, const LoadLedger& ledger, const TargetHealth& health,
    std::string availabilityZone, std::mt19937_64 random)
    : targets(targets)
    , ledger(ledger)
    , health(health)
    , availabilityZone(std::move(availabilityZone))
    , random(random)
{
}

std::string_view TargetChooser::chooseService(const Route& route)
{
    if (route.shares.empty())
        return {};
    std::vector<double> weights;
    std::ranges::transform(route.shares, std::back_inserter(weights), &ServiceShare::weight);
    std::discrete_distribution<std::size_t> shares { weights.begin(), weights.end() };
    return route.shares[shares(this->random)].service;
}

std::optional<TargetChoice> TargetChooser::choose(const ChoiceDemand& demand, TimePoint now)
{
    return demand.service.engine && demand.prompt ? this->chooseEngines(demand, now) : this->choosePlain(demand, now);
}

std::vector<const TargetEntry*> TargetChooser::usable(const ChoiceDemand& demand, TimePoint now) const
{
    auto targets = this->targets.available(demand.service.name);
    std::erase_if(targets, [&](const TargetEntry* target) { return demand.excluded.contains(target->id); });
    const auto isEjected = [&](const TargetEntry* target) {
        return this->health.isEjected(target->id, now);
    };
    // When all are ejected, a send finds out whether one is back.
    if (!std::ranges::all_of(targets, isEjected))
        std::erase_if(targets, isEjected);
    return targets;
}

std::optional<TargetChoice> TargetChooser::choosePlain(const ChoiceDemand& demand, TimePoint now)
{
    const TargetEntry* best = nullptr;
    auto bestCost = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> chance { 0, RandomWeight };
    for (const auto* target : this->usable(demand, now)) {
        const auto running = static_cast<double>(this->ledger.total(target->id, now).running);
        const auto cost = running / target->slots + FailureWeight * this->health.failureShare(target->id, now)
            + (target->availabilityZone == this->availabilityZone ? 0 : RemoteZoneWeight) + chance(this->random);
        if (cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    TargetChoice choice;
    choice.target = *best;
    choice.expected = demand.route.objective;
    return choice;
}

// Once notices do not reach all peers, the loads of other zones' engines are known in part only. These are used where
// the own zone has no place, and one of the others says that it has.
std::optional<PromptPlan> TargetChooser::planNearby(const PromptPlacement& placement, const PromptDemand& prompt,
    std::span<const EngineCandidate> candidates, TimePoint now) const
{
    const auto planIn = [&](std::string_view zone) {
        std::vector<std::size_t> indexes;
        std::vector<EngineCandidate> engines;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (candidates[index].target->availabilityZone != zone)
                continue;
            indexes.push_back(index);
            engines.push_back(candidates[index]);
        }
        auto plan = placement.plan(prompt, engines);
        if (plan) {
            plan->writer = indexes[plan->writer];
            std::ranges::transform(
                plan->helpers, plan->helpers.begin(), [&](std::size_t helper) { return indexes[helper]; });
        }
        return plan;
    };
    auto near = planIn(this->availabilityZone);
    // Long reads take many engines, whose loads have to be known.
    if (near && (near->isLong || !near->shouldWait))
        return near;
    std::string_view emptiest;
    auto least = RoomyOccupancy;
    for (const auto& candidate : candidates) {
        const std::string_view zone = candidate.target->availabilityZone;
        const auto occupancy = this->ledger.zoneOccupancy(zone, now);
        if (zone == this->availabilityZone || occupancy.value_or(1) >= least)
            continue;
        least = *occupancy;
        emptiest = zone;
    }
    auto far = emptiest.empty() ? std::nullopt : planIn(emptiest);
    if (far && !far->shouldWait)
        return far;
    return near ? near : placement.plan(prompt, candidates);
}

std::optional<TargetChoice> TargetChooser::chooseEngines(const ChoiceDemand& demand, TimePoint now)
{
    std::vector<EngineCandidate> candidates;
    this->firstChoiceAt = this->firstChoiceAt.value_or(now);
    const auto peers = this->ledger.knownPeers(now);
    const bool isStarting = now - *this->firstChoiceAt < StartPeriod && peers == 0;
    std::uniform_real_distribution<double> chance { 0, isStarting ? StartRandomMs : RandomMs };
    for (const auto* target : this->usable(demand, now)) {
        candidates.push_back({ target, this->ledger.total(target->id, now),
            FailurePenaltyMs * this->health.failureShare(target->id, now) + chance(this->random),
            target->availabilityZone == this->availabilityZone });
    }
    const PromptPlacement placement { *demand.service.engine };
    PromptDemand prompt;
    prompt.size = *demand.prompt;
    prompt.objective = std::max(Duration::zero(), demand.route.objective - demand.elapsed);
    prompt.routeObjective = demand.route.objective;
    prompt.remaining = demand.remaining;
    prompt.tightestGap = demand.service.tightestGap;
    auto plan = peers > PeerExchange::Fanout ? this->planNearby(placement, prompt, candidates, now)
                                             : placement.plan(prompt, candidates);
    if (!plan)
        return std::nullopt;
    TargetChoice choice;
    choice.target = *candidates[plan->writer].target;
    choice.work = { plan->readMs, plan->writerTokens, plan->isLong, true, demand.route.gapObjective, plan->weight };
    choice.tickets = plan->tickets;
    choice.tokensPerTicket = plan->tokensPerTicket;
    choice.expected = durationFrom(plan->expectedMs);
    choice.soonest = durationFrom(plan->soonestMs);
    choice.isHopeless = plan->isHopeless;
    choice.isHarmful = plan->isHarmful;
    choice.isLate = plan->isLate;
    choice.shouldWait = plan->shouldWait;
    for (const auto index : plan->helpers)
        choice.helpers.push_back(*candidates[index].target);
    return choice;
}

}
