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

// A request for engines to prefill one prompt and generate its answer.
struct PromptPlacementRequest {
    PromptSize size;
    Duration objective {}; // Time to the first token that remains of the route's objective.
    Duration routeObjective {}; // The full time-to-first-token objective of the route.
    Duration remaining {}; // Until the caller's deadline.
    Duration tightestGap {}; // Smallest gap objective of any answer on these engines.
};

// A candidate engine. All instances list the candidates in the same order.
struct EngineCandidate {
    const TargetEntry* target { nullptr };
    TargetLoad load;
    double extraCostMs { 0 }; // For recent failures, and random jitter.
    bool isLocal { false }; // In this instance's availability zone.
    bool isLimited { false }; // It limits the requests that it takes. Helping is no request, but reserving memory is.
    bool takesRequest { true }; // Within its limit.
};

// Engines chosen for a prompt, as indexes into the candidates. The decode engine generates the answer; helpers prefill
// parts of the prompt for it.
struct PromptPlan {
    std::size_t decodeEngine { 0 };
    std::vector<std::size_t> helpers;
    std::int64_t tokensPerReservation { 0 }; // Memory that each of the first `reservations` helpers has to reserve.
    std::size_t reservations { 0 };
    std::int64_t decodeTokens { 0 }; // Memory that the decode engine needs.
    double prefillMs { 0 }; // Prefill time of each part.
    double weight { 1 }; // Of the answer, relative to other answers.
    double expectedMs { 0 }; // Expected time to first token.
    double expectedUnloadedMs { 0 }; // Expected time to first token if the engines had no other work.
    bool isLong { false };
    bool isNetLoss { false }; // Delays answers that together weigh more than this one.
    bool wouldMissDeadline { false }; // Prefill leaves too little of the caller's time for the answer.
    bool cannotMeetObjective { false }; // Even on idle engines the first token would miss the objective.
    bool shouldWait { false }; // Would delay others, risk its objective or lacks a slot; retry shortly.
};

// Chooses engines for prompts whose lengths differ widely. Pure computation: no I/O, no state besides the profile.
//
// Engine model: a pass generates some tokens of every running answer and also prefills queued prompts, the most recent
// part first. A long prefill therefore delays every answer on its engine, and of two long prefills on one engine the
// older one finishes last. Load patterns that the placement handles:
// - Short prompts mixed with long ones: short answers are packed at one end of each availability zone's engine list and
//   long prefills at the other, and a long prefill avoids engines where it would exceed the gap objective of the
//   answers.
// - A burst of long prompts: each is split over as many engines as it takes to keep within the gap objectives, few long
//   prefills share an engine, and a prompt waits at its instance while no engine is free enough.
// - Prompts larger than the memory of one engine during a burst: one takes as much prefill time as dozens of others, so
//   it is only placed while enough time remains to generate its answer, and rejected otherwise.
// - A burst of short prompts: they spread over all engines, since the two ends are only preferences. When all batch
//   slots are taken they wait at their instance, and those that can no longer meet their objective leave the last slots
//   to those that still can.
class PromptPlacement {
public:
    explicit PromptPlacement(const EngineProfile& profile);

    // Time for one engine to prefill a whole prompt, in milliseconds.
    double prefillMs(std::int64_t tokens) const;

    // Weight of the answer to a prompt of this length. It grows with the prefill time, all of which is wasted when the
    // answer is late.
    double weight(std::int64_t tokens) const;

    // Whether prefilling the prompt on one engine would exceed the tightest gap objective of short answers.
    bool isLong(const PromptPlacementRequest& request) const;

    // Empty without candidates, or when all of them together lack the memory for the prompt. A prompt larger than the
    // memory of one engine is held by several.
    std::optional<PromptPlan> plan(
        const PromptPlacementRequest& request, std::span<const EngineCandidate> candidates) const;

private:
    struct SplitPlan;

    double passMs(const TargetLoad& load) const;
    bool hasMemory(const EngineCandidate& candidate, std::int64_t tokens) const;
    bool wouldExceedGap(const EngineCandidate& candidate, double partMs) const;
    double concurrentPrefillCost(const EngineCandidate& candidate, double partMs) const;
    double expectedShortMs(const TargetLoad& load, double promptMs) const;
    double overrunCost(const PromptPlacementRequest& request, double expectedMs) const;
    std::vector<double> zonePositions(std::span<const EngineCandidate> candidates) const;
    std::optional<PromptPlan> planShort(
        const PromptPlacementRequest& request, std::span<const EngineCandidate> candidates) const;
    std::optional<PromptPlan> planLong(
        const PromptPlacementRequest& request, std::span<const EngineCandidate> candidates) const;
    std::size_t memoryEnginesFor(std::int64_t tokens) const;
    std::size_t maximumParts(const PromptPlacementRequest& request, std::size_t engines) const;
    SplitPlan planSplit(const PromptPlacementRequest& request, std::span<const EngineCandidate> candidates,
        std::span<const double> positions, std::size_t parts) const;

    EngineProfile profile;
};

}
