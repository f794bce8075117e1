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

// A request to place one prompt on the targets of a cell.
struct PlacementRequest {
    RequestId id;
    InstanceId owner; // The gateway instance that handles the request.
    std::string workspace;
    double workspaceWeight { 1 };
    std::uint64_t promptTokens { 0 };
    std::uint64_t maximumOutputTokens { 0 };
    TimePoint deadline {};
    std::vector<std::string> excludedTargets; // Failed an earlier attempt. Ignored if no other target is usable.
    std::vector<std::uint64_t> prefixBlocks; // XXH3 hash of the prompt's prefix up to each block boundary, in order.
    std::uint64_t prefixBlockTokens { 256 }; // Block size in tokens.
};

// The KV cache tokens of a placement that one target allocates. The target of a grant's first part streams the answer.
struct GrantPart {
    std::string target;
    std::uint64_t tokens { 0 };
};

// Permits a gateway to send one request to a single target or to a span: several targets that jointly hold the KV cache
// of a prompt too large for one of them. Parts after the first are sorted by target name, and gateways reserve them in
// that order.
struct Grant {
    RequestId id;
    std::vector<GrantPart> parts;
    int priority { 0 }; // Passed to the engine, which serves lower numbers first.
    TimePoint expiry {}; // The gateway must have sent the request by this time.
};

// Rejects a request. No target has executed any part of it.
struct Refusal {
    RequestId id;
    RefusalReason reason { RefusalReason::Overloaded };
    Duration retryAfter {}; // Suggested wait before the caller tries again.
};

using SchedulerCommand = std::variant<Grant, Refusal>;
using SchedulerCommands = std::vector<SchedulerCommand>;

// A granted request that a gateway has in flight. Gateways announce their holdings to the owner of the cell, so that a
// new owner can rebuild its state from them.
struct Holding {
    RequestId id;
    InstanceId owner;
    std::string workspace;
    std::vector<GrantPart> parts;
    std::uint64_t promptTokens { 0 };
    std::uint64_t outputTokens { 0 }; // Output tokens generated so far.
    std::uint64_t maximumOutputTokens { 0 };
    bool isPrefilling { false };
    TimePoint deadline {};
};

// Load summary of a cell. Gateways choose between cells by their digests instead of querying each owner.
struct CellDigest {
    CellId cell;
    std::uint32_t liveTargets { 0 };
    std::uint32_t queued { 0 }; // Number of queued requests.
    std::uint64_t freeTokens { 0 }; // Free KV cache tokens, summed over all usable targets.
    std::uint64_t largestSpanTokens { 0 }; // Largest prompt plus output, in tokens, that the idle cell can hold.
    Duration expectedWait {}; // Predicted queue time of a short prompt that is submitted now.
};

// Schedules the requests of one cell: queue order, placement on a target or span, refusals and their retry delays. A
// deterministic state machine without I/O: every method takes an event and the current time and returns the resulting
// commands. Every method ignores unknown request ids and target names, because messages may arrive late or twice. Not
// thread-safe.
class CellScheduler {
public:
    virtual ~CellScheduler() = default;

    // Queues a request. Exactly one Grant or Refusal for it is returned, by this call or by a later call of any method,
    // unless it is withdrawn or drained first. Submitting an id that is already queued or granted has no effect.
    virtual SchedulerCommands submit(const PlacementRequest& request, TimePoint now) = 0;

    // Removes a queued request whose caller has disconnected or whose deadline has passed. No command for this request
    // follows.
    virtual SchedulerCommands withdraw(const RequestId& id, TimePoint now) = 0;

    // Reports that a granted request has produced its first token, so its prefill is complete.
    virtual SchedulerCommands firstToken(const RequestId& id, TimePoint now) = 0;

    // Reports that a granted request has ended, successfully or not, and that its allocations are free.
    virtual SchedulerCommands finish(const RequestId& id, std::uint64_t outputTokens, TimePoint now) = 0;

    // Adds a target or replaces its description. A leaving target receives no new grants. An incarnation lower than the
    // present one is ignored; a higher one discards the grants on the target.
    virtual SchedulerCommands updateTarget(const TargetDescription& target, TimePoint now) = 0;

    // Removes a target and the grants placed on it alone. A span keeps its parts on other targets.
    virtual SchedulerCommands removeTarget(std::string_view name, TimePoint now) = 0;

    virtual SchedulerCommands reportLoad(const LoadReport& report, TimePoint now) = 0;
    virtual SchedulerCommands reportCache(std::span<const CacheEvent> events, TimePoint now) = 0;

    // Adds a request that an earlier owner of the cell granted. If the request is queued here, it is answered with that
    // earlier placement.
    virtual SchedulerCommands restoreGrant(const Holding& holding, TimePoint now) = 0;

    // Processes the passage of time: refuses requests that can no longer meet their deadline, drops expired grants and
    // dispatches aged requests.
    virtual SchedulerCommands tick(TimePoint now) = 0;

    // Returns when `tick` should be called next; TimePoint::max() if no request is queued or granted.
    virtual TimePoint nextTick() const = 0;

    virtual CellDigest digest(TimePoint now) const = 0;

    // Empties the queue and returns its requests in order of arrival, for a graceful shutdown or a change of owner.
    virtual std::vector<PlacementRequest> drainQueue() = 0;
};

// Tuning parameters of a cell's scheduler. The defaults suit engines with a KV cache of a few hundred thousand tokens.
struct CellSchedulerSettings {
    CellId cell;
    // Upper bounds of the prompt classes in prompt tokens, ascending. One more class holds prompts above the last
    // bound.
    std::vector<std::uint64_t> classBounds { 8'000, 64'000 };
    double prefillTokensPerSecond { 10'000 }; // Assumed for a target until its first load report.
    Duration interTokenLatency { std::chrono::milliseconds { 50 } }; // Assumed until answers are observed.
    Duration prefillLookahead { std::chrono::milliseconds { 150 } }; // Prefill work queued on a target in advance.
    Duration shortWaitLimit { std::chrono::milliseconds { 1'000 } }; // Load is shed above this short-prompt queue time.
    double agingFactor { 16 }; // Queues are ordered by arrival plus this multiple of a request's own prefill time.
    double minimumShortReserve { 0.05 }; // Lower and upper bound of the share of a target's memory
    double maximumShortReserve { 0.4 }; // that long prompts must leave free for short ones.
    std::uint32_t maximumStreams { 64 }; // Concurrent requests per target.
};

// Creates the scheduler that dispatchers use.
std::unique_ptr<CellScheduler> makeCellScheduler(const CellSchedulerSettings& settings);

}
