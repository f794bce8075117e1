#pragma once

#include <string_view>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "serving/CallFormat.h"
#include "serving/TargetDirectory.h"
#include "serving/TargetPauses.h"

namespace marigoldpaddle {

// Receives the metadata of every answer of a target.
class TargetAnswerObserver {
public:
    virtual ~TargetAnswerObserver() = default;

    // `requestId` is the id of the answered request, or of the memory reservation of an order.
    virtual void targetAnswered(const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId)
        = 0;
};

// Applies what targets say of themselves in their answers: that they leave, or want nothing from this instance for some
// time. Logs and counts every change.
class TargetAdvice final : public TargetAnswerObserver {
public:
    // Everything that is passed by reference must outlive the object.
    TargetAdvice(
        const Clock& clock, TargetDirectory& targets, TargetPauses& pauses, EventLog& log, MetricsRegistry& metrics);

    void targetAnswered(
        const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId) override;

private:
    void recordPause(const TargetEntry& target, Duration requested, std::string_view requestId);
    void recordLeaving(const TargetEntry& target, std::string_view requestId);

    const Clock& clock;
    TargetDirectory& targets;
    TargetPauses& pauses;
    EventLog& log;
    MetricsRegistry& metrics;
};

}
