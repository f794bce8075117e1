#pragma once

#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/CallFormat.h"
#include "serving/LoadLedger.h"
#include "serving/PromptPlacement.h"
#include "serving/ServingConfiguration.h"
#include "serving/TargetDirectory.h"
#include "serving/TargetHealth.h"

namespace marigoldpaddle {

// Targets chosen for one attempt.
struct TargetChoice {
    TargetEntry target; // Executes the request and answers it. A peer if `isRelay` is set.
    bool isRelay { false }; // A peer chooses the targets; the other fields have no meaning.
    bool isProbe { false }; // The target may not answer; see TargetAnswers.
    std::vector<TargetEntry> helpers; // Prefill parts of its prompt.
    std::size_t reservations { 0 }; // Number of helpers, from the first on, that also have to reserve memory.
    std::int64_t tokensPerReservation { 0 };
    TargetWork work; // Work of `target`. A helper prefills as long, with its reserved memory only.
    Duration expected {}; // Expected time to the first byte of the answer.
    Duration expectedUnloaded {}; // Expected time to the first byte if the targets had no other work.
    bool wouldMissDeadline { false }; // Rejected unless a better choice becomes available in time.
    bool isNetLoss { false }; // Delays answers that together weigh more than this one.
    bool cannotMeetObjective { false }; // No target could meet the objective, even when idle.
    bool shouldWait { false }; // A better choice is likely to become available shortly.
};

// The request that targets are chosen for.
struct ChoiceRequest {
    const Route& route;
    const ServiceProfile& service;
    std::optional<PromptSize> prompt;
    const std::set<std::string>& excluded; // Ids of targets that were already tried.
    Duration elapsed {}; // Since the request was received; counts towards the objective.
    Duration remaining {}; // Until the caller's deadline.
    std::optional<TargetAnswers::ProbeCost> probeCost {}; // Empty if the request is not used to probe a target.
};

// Chooses targets from the target directory, the load ledger and the target health. No I/O.
class TargetChooser {
public:
    // Everything that is passed by reference must outlive the chooser.
    TargetChooser(const TargetDirectory& targets, const LoadLedger& ledger, const TargetHealth& health,
        std::string availabilityZone, std::mt19937_64 random);

    // Picks a service of the route at random, by the weights of its shares. Empty when the route has none.
    std::string_view chooseService(const Route& route);

    // Empty when no target of the service can take the request.
    std::optional<TargetChoice> choose(const ChoiceRequest& request, TimePoint now);

private:
    using Targets = std::span<const TargetEntry* const>;

    // Looked up once for each choice.
    struct ServiceTargets {
        std::vector<const TargetEntry*> all; // Those that accept work, ordered by id.
        std::vector<double> doubts; // See TargetAnswers::doubts().
    };

    ServiceTargets targetsOf(std::string_view service, TimePoint now) const;
    // Includes targets at their limits, which may still help with a prompt.
    std::vector<const TargetEntry*> eligibleTargets(
        const ChoiceRequest& request, const ServiceTargets& service, TimePoint now) const;
    std::vector<const TargetEntry*> preferredTargets(
        std::vector<const TargetEntry*> targets, const ServiceTargets& service, TimePoint now) const;
    double downShare(const ServiceTargets& service, TimePoint now) const;
    static std::vector<double> doubtsOf(Targets eligible, const ServiceTargets& service);
    std::optional<TargetChoice> chooseProbe(
        const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now);
    std::optional<TargetChoice> chooseAmong(
        const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now);
    std::optional<TargetChoice> choosePlain(
        const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now);
    double startupJitterMs(TimePoint now);
    std::optional<TargetChoice> chooseEngines(
        const ChoiceRequest& request, Targets eligible, const ServiceTargets& service, TimePoint now);
    struct ZoneOccupancy {
        std::string_view zone; // Empty for none.
        double occupancy { 0 }; // Share of the batch slots in use, 0 to 1.
    };

    ZoneOccupancy leastOccupiedZone(std::span<const EngineCandidate> candidates, TimePoint now) const;
    double localOccupancy(const EngineProfile& profile, std::span<const EngineCandidate> candidates) const;
    std::optional<PromptPlan> planInZone(const PromptPlacement& placement, const PromptPlacementRequest& prompt,
        std::span<const EngineCandidate> candidates, std::string_view zone);
    std::optional<PromptPlan> planByZone(const PromptPlacement& placement, const EngineProfile& profile,
        const PromptPlacementRequest& prompt, std::span<const EngineCandidate> candidates, TimePoint now);

    const TargetDirectory& targets;
    const LoadLedger& ledger;
    const TargetHealth& health;
    std::string availabilityZone;
    std::mt19937_64 random;
    std::optional<TimePoint> firstChoiceAt; // First call that chose among engines.
    bool startedWithoutKnownWork { false }; // No peer reported work then.
};

}
