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
    Duration objective {}; // What is left of it, to the first token.
    Duration routeObjective {}; // The same when the request came.
    Duration remaining {}; // Until the caller stops waiting.
    Duration tightestGap {}; // The shortest pause that any answer on these engines may have.
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
    std::int64_t tokensPerTicket { 0 }; // Memory that each of the first `tickets` helpers has to set aside.
    std::size_t tickets { 0 };
    std::int64_t writerTokens { 0 }; // What is left for the writer to hold.
    double readMs { 0 }; // For each part.
    double weight { 1 }; // Of the answer, against those of others.
    double expectedMs { 0 }; // Until the first token.
    double soonestMs { 0 }; // The same if all engines were free.
    bool isLong { false };
    bool isHarmful { false }; // Holds up answers that are worth more than this one.
    bool isHopeless { false }; // Would take the engines from many others and come late all the same.
    bool isLate { false }; // Even the soonest first token comes after the objective.
    bool shouldWait {
        false
    }; // The plan disturbs others, or there is no free engine; a better one may come up shortly.
};

// Chooses engines for prompts whose lengths differ widely. A pure core.
//
// What engines do: a pass writes some tokens of every answer and reads whatever prompts wait, newest part first.
// Reading a long prompt therefore holds up all answers of its engine, and an engine with two long reads finishes the
// older one last. Load patterns that the placement answers:
// - Short prompts beside long ones: short answers gather at one end of each availability zone's engines, long reads at
//   the other, and a long read avoids engines whose answers it would hold up beyond the gap that they may have.
// - A crest of long prompts: each is read by as many engines as it takes to hold up nobody, an engine has
//   few at a time, and a prompt waits at its instance while none is free enough.
// - Prompts of several engines' memory at a crest: one takes as much reading as dozens of others, so it is only placed
//   while that leaves time for its answer, and turned away otherwise.
// - A crest of short prompts: these spread over all engines, as the ends are only preferences. Beyond the engines'
// places
//   they wait at their instance, and those that are late already leave the last places to those that are not.
class PromptPlacement {
public:
    explicit PromptPlacement(const EngineProfile& profile);

    // Time for one engine to read a whole prompt, in milliseconds.
    double readMs(std::int64_t tokens) const;

    // What an answer to the prompt is worth: it grows with the time that engines spend on it, all of which is wasted
    // when the answer comes late.
    double weight(std::int64_t tokens) const;

    // Whether reading the prompt in one piece holds up short answers for longer than they may pause.
    bool isLong(const PromptDemand& demand) const;

    // Empty when all engines together do not have the memory for the prompt, or there is none. A prompt that is larger
    // than the memory of one engine is kept by several.
    std::optional<PromptPlan> plan(const PromptDemand& demand, std::span<const EngineCandidate> candidates) const;

private:
    struct SplitRead;

    double passMs(const TargetLoad& load) const;
    bool hasRoom(const EngineCandidate& candidate, std::int64_t tokens) const;
    bool holdsUpAnswers(const EngineCandidate& candidate, double partMs) const;
    double stackingCost(const EngineCandidate& candidate, double partMs) const;
    std::vector<double> zonePositions(std::span<const EngineCandidate> candidates) const;
    std::optional<PromptPlan> planShort(const PromptDemand& demand, std::span<const EngineCandidate> candidates) const;
    std::optional<PromptPlan> planLong(const PromptDemand& demand, std::span<const EngineCandidate> candidates) const;
    std::size_t holdersFor(std::int64_t tokens) const;
    std::size_t mostParts(const PromptDemand& demand, std::size_t engines) const;
    SplitRead split(const PromptDemand& demand, std::span<const EngineCandidate> candidates,
        std::span<const double> positions, std::size_t parts) const;

    EngineProfile profile;
};

}
