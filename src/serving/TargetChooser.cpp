#include "serving/TargetChooser.h"

#include <algorithm>
#include <limits>
#include <span>

#include "serving/PeerExchange.h"

namespace marigoldpaddle {

namespace {

// A target whose recent sends all failed costs as much as one loaded to twice its slots.
constexpr double FailureWeight = 2;
// Another availability zone costs as much as a tenth of the slots in use.
constexpr double RemoteZoneWeight = 0.1;
// Cost of a target with a failure rate of 1 for a prompt, in milliseconds: one wasted attempt.
constexpr double FailurePenaltyMs = 600;
// Cost of a target that does not accept the connection: as much as all slots in use, so that requests do not wait for
// it while others have free ones. For a prompt in milliseconds: the time limit of a connection.
constexpr double DownWeight = 1;
constexpr double DownPenaltyMs = 400;
// Random jitter up to this cost decides between similar targets, so that instances with equal information spread out.
constexpr double JitterWeight = 0.05;
constexpr double JitterMs = 15; // About the prefill time of one short prompt.
// After a start in which no peer reports any work, as when all instances lost power at once, the engines may still be
// busy with answers that nobody knows of, and every instance would fill the same engines. Jitter that at first
// outweighs every preference decides then, and less and less over this period, in which short answers end.
constexpr double StartupJitterMs = 1500;
constexpr Duration StartupPeriod = std::chrono::seconds { 2 };
// Prompts are sent to another zone only below this share of occupied batch slots there; above it the prompts of that
// zone would soon have to go elsewhere.
constexpr double RemoteZoneOccupancyLimit = 0.8;
// Difference between the occupancies of two zones up to which no prompt crosses: reports are up to 1.5 s old.
constexpr double ToleratedOccupancyDifference = 0.15;
// Random cost on the engines of another zone, so that prompts from several zones spread over them.
constexpr double RemoteZoneSpreadMs = 300;

// Below this probability that an untried target answers no request, it is used like others.
constexpr double ToleratedDoubt = 0.5;

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

std::optional<TargetChoice> TargetChooser::choose(const ChoiceRequest& request, TimePoint now)
{
    const auto service = this->targetsOf(request.service.name, now);
    const auto eligible = this->eligibleTargets(request, service, now);
    if (auto probe = this->chooseProbe(request, eligible, service, now))
        return probe;
    return this->chooseAmong(request, this->preferredTargets(eligible, service, now), service, now);
}

TargetChooser::ServiceTargets TargetChooser::targetsOf(std::string_view service, TimePoint now) const
{
    ServiceTargets targets { this->targets.available(service), {} };
    targets.doubts = this->health.answers.doubts(targets.all, now);
    return targets;
}

std::optional<TargetChoice> TargetChooser::chooseAmong(
    const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now)
{
    return request.service.engine && request.prompt ? this->chooseEngines(request, eligible, service, now)
                                                    : this->choosePlain(request, eligible, service, now);
}

// Chooses a target that may not answer, if the request is to probe one and loses nothing by it if the target answers.
std::optional<TargetChoice> TargetChooser::chooseProbe(
    const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now)
{
    if (!request.probeCost)
        return std::nullopt;
    const auto* target = this->health.answers.drawProbe(eligible, *request.probeCost, now, this->random);
    if (!target || !this->health.limits.mayTake(*target, now))
        return std::nullopt;
    auto choice = this->chooseAmong(request, Targets { &target, 1 }, service, now);
    if (!choice || choice->wouldMissDeadline || choice->shouldWait || choice->work.isLong)
        return std::nullopt;
    choice->isProbe = true;
    return choice;
}

std::vector<const TargetEntry*> TargetChooser::eligibleTargets(
    const ChoiceRequest& request, const ServiceTargets& service, TimePoint now) const
{
    auto targets = service.all;
    std::erase_if(targets, [&](const TargetEntry* target) {
        return request.excluded.contains(target->id) || this->health.pauses.isPaused(target->id, now)
            || this->health.connections.isDown(*target, now);
    });
    return targets;
}

// Leaves out targets that may not answer while there are others, also if these take no further request now.
std::vector<const TargetEntry*> TargetChooser::preferredTargets(
    std::vector<const TargetEntry*> targets, const ServiceTargets& service, TimePoint now) const
{
    const auto isMute = [&](const TargetEntry* target) {
        return this->health.answers.isMute(*target, now);
    };
    if (!service.doubts.empty() && !std::ranges::all_of(targets, isMute))
        std::erase_if(targets, isMute);
    const auto isEjected = [&](const TargetEntry* target) {
        return this->health.isEjected(target->id, now);
    };
    const auto takesNothing = [&](const TargetEntry* target) {
        return isEjected(target) || !this->health.limits.mayTake(*target, now);
    };
    // If no other target takes the request, the ejected ones stay eligible: a send tests whether one has recovered.
    if (!std::ranges::all_of(targets, takesNothing))
        std::erase_if(targets, isEjected);
    return targets;
}

// The probability that a target with which no connection was tried is down.
double TargetChooser::downShare(const ServiceTargets& service, TimePoint now) const
{
    return this->health.connections.downShare(service.all, now);
}

// Probability, 0 to 1, that each of the eligible targets answers no request, judged by all targets of the service. Both
// lists have the same order.
std::vector<double> TargetChooser::doubtsOf(Targets eligible, const ServiceTargets& service)
{
    std::vector<double> doubts(eligible.size(), 0);
    std::size_t position = 0;
    for (std::size_t index = 0; index < service.doubts.size() && position < eligible.size(); ++index) {
        if (service.all[index] != eligible[position])
            continue;
        doubts[position] = service.doubts[index] < ToleratedDoubt ? 0 : service.doubts[index];
        ++position;
    }
    return doubts;
}

std::optional<TargetChoice> TargetChooser::choosePlain(
    const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now)
{
    const TargetEntry* best = nullptr;
    auto bestCost = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> jitter { 0, JitterWeight };
    const auto downShare = this->downShare(service, now);
    const auto doubts = TargetChooser::doubtsOf(eligible, service);
    for (std::size_t index = 0; index < eligible.size(); ++index) {
        const auto* target = eligible[index];
        if (!this->health.limits.mayTake(*target, now))
            continue;
        const auto running = static_cast<double>(this->ledger.total(target->id, now).running);
        const auto cost = running / target->slots + FailureWeight * this->health.failureRate(target->id, now)
            + (target->availabilityZone == this->availabilityZone ? 0 : RemoteZoneWeight)
            + (this->health.connections.isProven(*target) ? 0 : DownWeight * downShare) + DownWeight * doubts[index]
            + jitter(this->random);
        if (cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    if (!best)
        return std::nullopt;
    TargetChoice choice;
    choice.target = *best;
    choice.expected = request.route.objective;
    return choice;
}

std::optional<PromptPlan> TargetChooser::planInZone(const PromptPlacement& placement,
    const PromptPlacementRequest& prompt, std::span<const EngineCandidate> candidates, std::string_view zone)
{
    // The loads in other zones are known in part, so that the preferred end of their lists may be full.
    const double spread = zone == this->availabilityZone ? 0 : RemoteZoneSpreadMs;
    std::uniform_real_distribution<double> extraCost { 0, spread };
    std::vector<std::size_t> indexes;
    std::vector<EngineCandidate> engines;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates[index].target->availabilityZone != zone)
            continue;
        indexes.push_back(index);
        engines.push_back(candidates[index]);
        engines.back().extraCostMs += extraCost(this->random);
    }
    auto plan = placement.plan(prompt, engines);
    if (plan) {
        plan->decodeEngine = indexes[plan->decodeEngine];
        std::ranges::transform(
            plan->helpers, plan->helpers.begin(), [&](std::size_t helper) { return indexes[helper]; });
    }
    return plan;
}

// Returns the zone with the lowest reported occupancy of its batch slots, if that is below the limit.
TargetChooser::ZoneOccupancy TargetChooser::leastOccupiedZone(
    std::span<const EngineCandidate> candidates, TimePoint now) const
{
    ZoneOccupancy least { {}, RemoteZoneOccupancyLimit };
    for (const auto& candidate : candidates) {
        const std::string_view zone = candidate.target->availabilityZone;
        const auto occupancy = this->ledger.zoneOccupancy(zone, now);
        if (zone != this->availabilityZone && occupancy.value_or(1) < least.occupancy)
            least = { zone, *occupancy };
    }
    return least;
}

double TargetChooser::localOccupancy(const EngineProfile& profile, std::span<const EngineCandidate> candidates) const
{
    double running = 0;
    double slots = 0;
    for (const auto& candidate : candidates) {
        if (candidate.target->availabilityZone != this->availabilityZone)
            continue;
        running += candidate.load.running;
        slots += profile.batchSlots;
    }
    return slots > 0 ? running / slots : 1;
}

// With more peers than notices reach, the loads of engines in other zones are only partly known, and prompts stay in
// the local zone. Short prompts leave it for the zone that reports the lowest occupancy: all of them while the local
// zone has no free slot, and otherwise the share that evens out the two zones. All of them at once would overload the
// other zone before its next report.
std::optional<PromptPlan> TargetChooser::planByZone(const PromptPlacement& placement, const EngineProfile& profile,
    const PromptPlacementRequest& prompt, std::span<const EngineCandidate> candidates, TimePoint now)
{
    auto localPlan = this->planInZone(placement, prompt, candidates, this->availabilityZone);
    // Long prefills take many engines, whose loads have to be known.
    if (localPlan && localPlan->isLong)
        return localPlan;
    const auto other = this->leastOccupiedZone(candidates, now);
    if (localPlan && !localPlan->shouldWait) {
        const auto local = this->localOccupancy(profile, candidates);
        const auto share = (local - other.occupancy - ToleratedOccupancyDifference) / 2 / std::max(local, 0.01);
        std::uniform_real_distribution<double> draw { 0, 1 };
        if (other.zone.empty() || draw(this->random) >= share)
            return localPlan;
    }
    auto remotePlan = other.zone.empty() ? std::nullopt : this->planInZone(placement, prompt, candidates, other.zone);
    if (remotePlan && !remotePlan->shouldWait)
        return remotePlan;
    return localPlan ? localPlan : placement.plan(prompt, candidates);
}

double TargetChooser::startupJitterMs(TimePoint now)
{
    if (!this->firstChoiceAt) {
        this->firstChoiceAt = now;
        this->startedWithoutKnownWork = !this->ledger.hasPeerLoads(now);
    }
    if (!this->startedWithoutKnownWork)
        return 0;
    const std::chrono::duration<double> elapsed = now - *this->firstChoiceAt;
    return StartupJitterMs * (1 - elapsed / StartupPeriod);
}

std::optional<TargetChoice> TargetChooser::chooseEngines(
    const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now)
{
    std::vector<EngineCandidate> candidates;
    const auto peers = this->ledger.knownPeerCount(now);
    std::uniform_real_distribution<double> jitter { 0, std::max(JitterMs, this->startupJitterMs(now)) };
    const auto downPenaltyMs = DownPenaltyMs * this->downShare(service, now);
    const auto doubts = TargetChooser::doubtsOf(eligible, service);
    for (std::size_t index = 0; index < eligible.size(); ++index) {
        const auto* target = eligible[index];
        candidates.push_back({ target, this->ledger.total(target->id, now),
            FailurePenaltyMs * this->health.failureRate(target->id, now)
                + (this->health.connections.isProven(*target) ? 0 : downPenaltyMs) + DownPenaltyMs * doubts[index]
                + jitter(this->random),
            target->availabilityZone == this->availabilityZone, this->health.limits.limit(*target).has_value(),
            this->health.limits.mayTake(*target, now) });
    }
    const PromptPlacement placement { *request.service.engine };
    PromptPlacementRequest prompt;
    prompt.size = *request.prompt;
    prompt.objective = std::max(Duration::zero(), request.route.objective - request.elapsed);
    prompt.routeObjective = request.route.objective;
    prompt.remaining = request.remaining;
    prompt.tightestGap = request.service.tightestGap;
    auto plan = peers > PeerExchange::Fanout
        ? this->planByZone(placement, *request.service.engine, prompt, candidates, now)
        : placement.plan(prompt, candidates);
    if (!plan)
        return std::nullopt;
    TargetChoice choice;
    choice.target = *candidates[plan->decodeEngine].target;
    choice.work = { plan->prefillMs, plan->decodeTokens, plan->isLong, true, request.route.gapObjective, plan->weight };
    choice.reservations = plan->reservations;
    choice.tokensPerReservation = plan->tokensPerReservation;
    choice.expected = durationFrom(plan->expectedMs);
    choice.expectedUnloaded = durationFrom(plan->expectedUnloadedMs);
    choice.wouldMissDeadline = plan->wouldMissDeadline;
    choice.isNetLoss = plan->isNetLoss;
    choice.cannotMeetObjective = plan->cannotMeetObjective;
    choice.shouldWait = plan->shouldWait;
    for (const auto index : plan->helpers)
        choice.helpers.push_back(*candidates[index].target);
    return choice;
}

}
