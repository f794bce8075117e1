#pragma once

#include <memory>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Whether a target can be given new requests.
enum class TargetCondition {
    Live,
    Suspected, // Failed several probes in a row: receives no new requests until it answers one.
    Draining, // Leaving: receives no new requests, completes those in flight.
    Gone, // Failed, removed or replaced: its allocations are lost. Final.
};

std::string_view name(TargetCondition condition);

// Events that change the condition of a target. Sources are the instance list, probes, requests and other instances.
enum class TargetEvent {
    Answered, // It answered a probe or a request.
    Unanswered, // A probe or a request received no answer.
    Leaving, // Any source reports that it is leaving. The first such report counts.
    Removed, // It is no longer in the instance list.
};

// State machine for one incarnation of a target. A target that is leaving never becomes live again, so a source with
// out-of-date information cannot undo it. Pure: no I/O, no clock.
class TargetLifecycle {
public:
    TargetLifecycle();
    ~TargetLifecycle();
    TargetLifecycle(TargetLifecycle&&) noexcept;
    TargetLifecycle& operator=(TargetLifecycle&&) noexcept;

    // Processes an event. Returns whether the condition has changed.
    bool handle(TargetEvent event, TimePoint now);

    TargetCondition condition() const;

    // Whether new requests may be sent to the target.
    bool acceptsRequests() const;

    // Time of the first Leaving event; TimePoint::max() if there was none.
    TimePoint leavingSince() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

}
