#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "serving/CallFormat.h"
#include "serving/TargetDirectory.h"
#include "serving/TargetHealth.h"

namespace marigoldpaddle {

// Receives the metadata of every answer of a target.
class TargetAnswerObserver {
public:
    virtual ~TargetAnswerObserver() = default;

    // `requestId` is the id of the answered request, or of the memory reservation of an order. `sentAt` is when a
    // request was sent; empty for an order.
    virtual void targetAnswered(const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId,
        std::optional<TimePoint> sentAt)
        = 0;
};

// Applies what targets say of themselves in their answers: that they leave, want nothing from this instance for some
// time, or take only so many requests a second from all instances, or are cold. Logs and counts every change.
class TargetAdvice final : public TargetAnswerObserver {
public:
    // Everything that is passed by reference must outlive the object.
    TargetAdvice(
        const Clock& clock, TargetDirectory& targets, TargetHealth& health, EventLog& log, MetricsRegistry& metrics);

    // `notify` is called when a target has a limit that is new or lower, or no longer has one, or is cold, so that
    // peers learn of it before they send to the target.
    void onLimitChanged(std::function<void()> notify);

    void targetAnswered(const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId,
        std::optional<TimePoint> sentAt) override;

    // Records that a target is cold, as its answer or its registration says. `source` is logged.
    void recordCold(const TargetEntry& target, Duration remaining, std::string_view source);

private:
    void recordPause(const TargetEntry& target, Duration requested, std::string_view requestId);
    void recordLimit(const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId,
        std::optional<TimePoint> sentAt);
    void recordLeaving(const TargetEntry& target, std::string_view requestId);

    const Clock& clock;
    TargetDirectory& targets;
    TargetHealth& health;
    EventLog& log;
    MetricsRegistry& metrics;
    std::function<void()> notifyLimit;
};

}
