#pragma once

#include <memory>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// The states of a target, as far as new work is concerned.
enum class TargetCondition {
    Live,
    Suspected, // Does not answer: gets no new work until it does.
    Draining, // Leaving: gets no new work, finishes what it has.
    Gone, // Dead, removed or replaced: whatever it held is lost.
};

std::string_view name(TargetCondition condition);

// What can be heard of a target, from the instance list, from its own reports and answers, and from other instances.
enum class TargetEvent {
    Answered, // It answered a probe or a request.
    Missed, // It did not.
    Leaving, // Any source says that it is leaving; the earliest counts.
    Removed, // The instance list holds it no more.
};

// The life of one incarnation of a target. Leaving is final: a source that lags behind cannot bring it back to live.
// Pure.
class TargetLifecycle {
public:
    TargetLifecycle();
    ~TargetLifecycle();
    TargetLifecycle(TargetLifecycle&&) noexcept;
    TargetLifecycle& operator=(TargetLifecycle&&) noexcept;

    // Returns whether the condition has changed.
    bool handle(TargetEvent event, TimePoint now);

    TargetCondition condition() const;

    // Whether new work may be sent to it.
    bool takesWork() const;

    // When its leaving was first heard of; TimePoint::max() while it is not leaving.
    TimePoint leavingSince() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

}
