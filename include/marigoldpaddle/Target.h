#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>

namespace marigoldpaddle {

enum class TargetKind {
    Engine,
    Service,
};

// Description of one target, from the instance list and the target's own reports.
struct TargetDescription {
    std::string name;
    TargetKind kind { TargetKind::Engine };
    std::string address; // "IP:port"
    std::string availabilityZone;
    std::string serves; // The model of an engine, or the name of a plain service.
    std::uint64_t incarnation { 0 }; // Rises with each restart or replacement under the same name.
    bool isLeaving { false };
    std::uint64_t memoryTokens { 0 }; // KV cache capacity in tokens; 0 for plain services.

    bool operator==(const TargetDescription&) const = default;
};

// One KV cache allocation in an engine's report: a running request, the reservation of a span part or an imported
// cache.
struct Allocation {
    RequestId request;
    std::uint64_t tokens { 0 };
    Duration age {}; // Time since the engine made the allocation.
};

// Load report of an engine. Reports arrive with a delay; `measuredAt` is the receiver's estimate of when the engine
// measured the values, on the receiver's clock.
struct LoadReport {
    std::string target;
    TimePoint measuredAt {};
    std::uint64_t memoryTokens { 0 }; // KV cache capacity.
    std::uint64_t usedTokens { 0 }; // Allocated KV cache.
    std::uint32_t running { 0 }; // Requests being processed.
    std::uint32_t waiting { 0 }; // Requests in the engine's own queue.
    double prefillTokensPerSecond { 0 };
    std::string version; // Model version that the engine runs; empty if not reported.
    std::optional<std::vector<Allocation>> allocations; // Absent if the engine cannot list its allocations.
};

// A prefix block that was stored in or evicted from an engine's prefix cache. Events arrive with a delay, and some are
// lost: `sequence` then has a gap.
struct CacheEvent {
    std::string target;
    std::uint64_t sequence { 0 };
    std::uint64_t block { 0 }; // XXH3 hash of the prefix up to the end of the block.
    bool isStored { true }; // False: the block was evicted.
};

}
