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

// One target as the instance list and the target itself describe it.
struct TargetDescription {
    std::string name;
    TargetKind kind { TargetKind::Engine };
    std::string address; // "IP:port"
    std::string availabilityZone;
    std::string serves; // The model of an engine, the service name of a plain service.
    std::uint64_t incarnation { 0 };
    bool isLeaving { false };
    std::uint64_t memoryTokens { 0 }; // KV cache capacity; 0 for plain services.

    bool operator==(const TargetDescription&) const = default;
};

// One allocation of KV cache that an engine reports: a running request, a reservation of a span or an imported cache.
struct Allocation {
    RequestId request;
    std::uint64_t tokens { 0 };
    Duration age {};
};

// An engine's own report of its load. It arrives late; `measuredAt` is the receiver's estimate of when it was true.
struct LoadReport {
    std::string target;
    TimePoint measuredAt {};
    std::uint64_t memoryTokens { 0 };
    std::uint64_t usedTokens { 0 };
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    double prefillTokensPerSecond { 0 };
    std::string version; // Of the model that the engine runs; empty when it does not say.
    std::optional<std::vector<Allocation>> allocations; // Absent when the engine cannot list its streams.
};

// A prefix block that entered or left an engine's prefix cache. Events arrive late and with gaps in `sequence`.
struct CacheEvent {
    std::string target;
    std::uint64_t sequence { 0 };
    std::uint64_t block { 0 }; // XXH3 of the prefix up to the end of the block.
    bool isStored { true };
};

}
