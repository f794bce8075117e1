#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "serving/CallFormat.h"
#include "serving/LoadLedger.h"
#include "serving/ServingConfiguration.h"
#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// A prompt that needs engines.
struct PromptDemand {
    PromptSize size;
    Duration objective {}; // To the first token.
    Duration gapObjective {}; // Between events.
};

// An engine that could take it. Candidates stand in the same order at every instance.
struct EngineCandidate {
    const TargetEntry* target { nullptr };
    TargetLoad load;
    double penaltyMs { 0 }; // For recent failures.
    bool isLocal { false }; // In this instance's availability zone.
};

// Where a prompt is read and written. Indexes refer to the candidates.
struct PromptPlan {
    std::size_t writer { 0 };
    std::vector<std::size_t> helpers;
    double readMs { 0 }; // For each part.
    double expectedMs { 0 }; // Until the first token.
    bool isBulk { false };
};

// Chooses engines for prompts whose lengths differ widely. A pure core.
//
// Load patterns it answers: short prompts beside long ones (a long read stretches every pass of its engine beyond the
// gap that short answers may have, so that the two kinds gather at opposite ends of each zone's engines); a crest of
// long prompts (reading is shared by several engines until each part fits the objective); a crest of short ones (the
// border between the two moves with the load, since it is only a preference).
class PromptPlacement {
public:
    explicit PromptPlacement(const EngineProfile& profile);

    // Time for one engine to read a whole prompt, in milliseconds.
    double readMs(std::int64_t tokens) const;

    // Whether reading the prompt stretches a pass by more than short answers tolerate.
    bool isBulk(const PromptDemand& demand) const;

    // Empty when no candidate has room for the prompt.
    std::optional<PromptPlan> plan(const PromptDemand& demand, std::span<const EngineCandidate> candidates) const;

private:
    struct Ranked {
        std::size_t index { 0 };
        double costMs { 0 };
    };

    double passMs(unsigned running) const;
    std::vector<double> zonePositions(std::span<const EngineCandidate> candidates) const;
    std::optional<PromptPlan> planShort(const PromptDemand& demand, std::span<const EngineCandidate> candidates) const;
    std::optional<PromptPlan> planBulk(const PromptDemand& demand, std::span<const EngineCandidate> candidates) const;
    bool hasRoom(const EngineCandidate& candidate, std::int64_t tokens) const;

    EngineProfile profile;
};

}
