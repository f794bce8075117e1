#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "SoakProxy.h"

namespace marigoldpaddle::testing {

enum class SoakFault {
    // Planned work, which must cut off nothing.
    StopNode, // SIGTERM; the node starts again `length` after its end.
    ReloadNode, // SIGHUP.
    Configure, // A new version of the configuration, with another route.
    OddRequests, // Requests in chunks whose trailers are beyond the limits, at each address of a node.
    DrainEngine, // Registered as draining for `length`, then restarted when it is idle.
    // Signals.
    KillNode, // SIGKILL; the node starts again after `length`.
    FreezeNode, // SIGSTOP, SIGCONT after `length`.
    KillEngine,
    FreezeEngine,
    FreezeStore,
    // Faults of the stand-ins.
    SilentEngine, // Accepts connections and does not answer new requests.
    DecliningEngine,
    LimitedEngine, // States how many requests a second it takes.
    FailingEngine, // Fails a few prompts with 500 after their execution has started.
    BrokenStream, // Breaks the next stream in the middle of an event.
    LateOrders, // Orders get no answer and are executed later.
    SlowEngine,
    StoreDown,
    StoreSilent,
    StoreSlow,
    LostAnswers, // Orders take effect and get no answer.
    LostOrders, // Orders take no effect and get no answer.
    TruncatedAnswers,
    OddTrailers, // Answers end with a trailer field that is beyond the limits.
    FrozenOrders, // Orders wait.
    // Faults of a proxy.
    EngineLink, // Between all nodes and one engine.
    StoreLink, // Between one node and the store.
    // Not planned: the soak itself did not run, and with it its proxies and callers.
    Stall,
};

std::string_view name(SoakFault fault);

// Whether the fault is planned work, which excuses nothing.
bool isPlannedWork(SoakFault fault);

// What a fault occupies: no two faults of the same subject overlap, but those of a process and of its links do.
enum class SoakPart { Node, Engine, Store, Service, EngineLink, StoreLink, Configuration };

SoakPart partOf(SoakFault fault);

struct PlannedFault {
    Duration at {}; // After the start of the load.
    SoakFault fault {};
    std::size_t subject { 0 }; // Index of the node, engine or order service.
    Duration length {};
    LinkFault link { LinkFault::None };
    std::uint64_t amount { 0 }; // Counter, event id, factor or delay in milliseconds, as the fault needs it.

    std::string description() const;
};

struct SoakSize {
    std::size_t nodes { 3 };
    std::size_t engines { 3 };
    std::size_t services { 2 };
    std::size_t callers { 14 };
};

// The faults of a run, in order. Depends on the arguments alone. The run alternates between planned work only, single
// faults and overlapping faults; the last seconds have none, so that recovery can be checked.
std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length, const SoakSize& size);

// Time without new faults at the end of a run.
inline constexpr Duration SoakCalmPeriod = std::chrono::seconds { 12 };

}
