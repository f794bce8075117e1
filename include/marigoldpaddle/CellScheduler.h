#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/Reasons.h>
#include <marigoldpaddle/Target.h>

namespace marigoldpaddle {

// A prompt that asks for a place on the targets of a cell.
struct PlacementRequest {
    RequestId id;
    InstanceId owner; // The gateway instance that answers for the request.
    std::string workspace;
    double workspaceWeight { 1 };
    std::uint64_t promptTokens { 0 };
    std::uint64_t maximumOutputTokens { 0 };
    TimePoint deadline {};
    std::vector<std::string> excludedTargets; // Failed earlier attempts; ignored when no other target is left.
    std::vector<std::uint64_t> prefixBlocks; // XXH3 of the prompt's prefix at each block boundary, shortest first.
    std::uint64_t prefixBlockTokens { 256 }; // Tokens between two boundaries.
};

// The share of a placement that one target carries. The first part of a grant streams the answer.
struct GrantPart {
    std::string target;
    std::uint64_t tokens { 0 };
};

// Permits a gateway to send one request to a target, or to a span of targets. Parts after the first are in ascending
// order of target name, the order in which they are reserved.
struct Grant {
    RequestId id;
    std::vector<GrantPart> parts;
    int priority { 0 }; // Handed to the engine; a lower number is served first.
    TimePoint expiry {}; // The gateway must have sent the request by then.
};

// Turns a request away. Nothing of it has run.
struct Refusal {
    RequestId id;
    RefusalReason reason { RefusalReason::Overloaded };
    Duration retryAfter {};
};

using SchedulerCommand = std::variant<Grant, Refusal>;
using SchedulerCommands = std::vector<SchedulerCommand>;

// A granted request that a gateway holds; announced to a new owner of the cell so that it can rebuild its state.
struct Holding {
    RequestId id;
    InstanceId owner;
    std::string workspace;
    std::vector<GrantPart> parts;
    std::uint64_t promptTokens { 0 };
    std::uint64_t outputTokens { 0 }; // Generated so far.
    std::uint64_t maximumOutputTokens { 0 };
    bool isPrefilling { false };
    TimePoint deadline {};
};

// What gateways need to choose between cells without asking each of them.
struct CellDigest {
    CellId cell;
    std::uint32_t liveTargets { 0 };
    std::uint32_t queued { 0 };
    std::uint64_t freeTokens { 0 };
    std::uint64_t largestSpanTokens { 0 }; // The largest prompt that the cell can hold at all.
    Duration expectedWait {}; // Predicted queue time of a short prompt that arrives now.
};

// Decides the order of a cell's queue, which target or span gets what, what is refused and when to come back.
// A pure state machine: events and `now` in, commands out. Not thread-safe. Unknown request ids and target names are
// ignored by every event, since their messages may be late or doubled.
class CellScheduler {
public:
    virtual ~CellScheduler() = default;

    // Adds a request. Its answer is among the commands of this call or of a later one, exactly once.
    // An id that is already queued or granted is answered by its first submission.
    virtual SchedulerCommands submit(const PlacementRequest& request, TimePoint now) = 0;

    // Takes a queued request back (its caller left or its deadline passed). No command follows for it.
    virtual SchedulerCommands withdraw(const RequestId& id, TimePoint now) = 0;

    // A granted request has delivered its first token: its prefill is over.
    virtual SchedulerCommands firstToken(const RequestId& id, TimePoint now) = 0;

    // A granted request has ended, however it ended, and its allocations are free.
    virtual SchedulerCommands finish(const RequestId& id, std::uint64_t outputTokens, TimePoint now) = 0;

    // Adds a target or replaces its description. A leaving target gets no new grants.
    virtual SchedulerCommands updateTarget(const TargetDescription& target, TimePoint now) = 0;

    // Forgets a target and whatever was granted on it alone.
    virtual SchedulerCommands removeTarget(std::string_view name, TimePoint now) = 0;

    virtual SchedulerCommands reportLoad(const LoadReport& report, TimePoint now) = 0;
    virtual SchedulerCommands reportCache(std::span<const CacheEvent> events, TimePoint now) = 0;

    // Takes over a request that was granted by an earlier owner of the cell.
    virtual SchedulerCommands adopt(const Holding& holding, TimePoint now) = 0;

    // Lets time pass: expires deadlines and grants, ages waiting requests.
    virtual SchedulerCommands tick(TimePoint now) = 0;

    // Returns the earliest time at which `tick` has something to do; TimePoint::max() if nothing is waiting.
    virtual TimePoint nextTick() const = 0;

    virtual CellDigest digest(TimePoint now) const = 0;

    // Hands back everything that is still queued, for a planned stop or a change of owner. The queue is empty
    // afterwards.
    virtual std::vector<PlacementRequest> drainQueue() = 0;
};

// What the scheduling of a cell may be adjusted by. The defaults suit engines of a few hundred thousand tokens.
struct CellSchedulerSettings {
    CellId cell;
    std::vector<std::uint64_t> classBounds { 8'000, 64'000 }; // Ascending; a class above the last bound takes the rest.
    double prefillTokensPerSecond { 10'000 }; // Of a target that has not reported yet.
    Duration tokenGap { std::chrono::milliseconds { 50 } }; // Between output tokens, until answers have been observed.
    Duration prefillLookahead { std::chrono::milliseconds { 150 } }; // Prefill work handed to a target ahead of need.
    Duration shortWaitLimit { std::chrono::milliseconds { 1'000 } }; // Queue time beyond which short prompts are shed.
    double agingFactor { 16 }; // Waiting time, in multiples of its own cost, after which a request goes first.
    double minimumShortReserve { 0.05 }; // Share of a target's memory that long prompts leave free, at least and
    double maximumShortReserve { 0.4 }; // at most.
    std::uint32_t maximumStreams { 64 }; // Requests on one target at a time.
};

// Makes the scheduler that dispatchers use.
std::unique_ptr<CellScheduler> makeCellScheduler(const CellSchedulerSettings& settings);

}
