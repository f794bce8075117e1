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

// The targets for one attempt.
struct TargetChoice {
    TargetEntry target; // Answers the request.
    std::vector<TargetEntry> helpers; // Read parts of its prompt.
    std::size_t tickets { 0 }; // The first helpers, which also have to set memory aside.
    std::int64_t tokensPerTicket { 0 };
    TargetWork work; // For the answering target; helpers have the same without the memory.
    Duration expected {}; // Until the first byte of the answer.
    Duration soonest {}; // The same if no target had other work.
    bool isHopeless { false }; // To be turned away unless a better choice comes up in time.
    bool isHarmful { false }; // Makes more answers late than it saves.
    bool isLate { false }; // The objective is lost whatever is chosen.
    bool shouldWait { false }; // A better choice will be there shortly.
};

// What the choice is made for.
struct ChoiceDemand {
    const Route& route;
    const ServiceProfile& service;
    std::optional<PromptSize> prompt;
    const std::set<std::string>& excluded; // Targets that were tried already.
    Duration elapsed {}; // Of the objective, while the request waited.
    Duration remaining {}; // Until the caller stops waiting.
};

// Chooses targets from what the view, the ledger and the judgement of targets say. Has no I/O.
class TargetChooser {
public:
    // Everything that is passed by reference must outlive the chooser.
    TargetChooser(const TargetDirectory& targets, const LoadLedger& ledger, const TargetHealth& health,
        std::string availabilityZone, std::mt19937_64 random);

    // Picks a service of the route, by the weights of its shares. Empty when the route has none.
    std::string_view chooseService(const Route& route);

    // Empty when the service has no target that could take the request.
    std::optional<TargetChoice> choose(const ChoiceDemand& demand, TimePoint now);

private:
    std::vector<const TargetEntry*> usable(const ChoiceDemand& demand, TimePoint now) const;
    std::optional<TargetChoice> choosePlain(const ChoiceDemand& demand, TimePoint now);
    std::optional<TargetChoice> chooseEngines(const ChoiceDemand& demand, TimePoint now);
    std::optional<PromptPlan> planNearby(const PromptPlacement& placement, const PromptDemand& prompt,
        std::span<const EngineCandidate> candidates, TimePoint now) const;

    const TargetDirectory& targets;
    const LoadLedger& ledger;
    const TargetHealth& health;
    std::string availabilityZone;
    std::mt19937_64 random;
    std::optional<TimePoint> firstChoiceAt; // Of an engine.
};

}
