#pragma once

#include <map>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

#include "serving/TargetAnswers.h"
#include "serving/TargetConnections.h"
#include "serving/TargetLimits.h"
#include "serving/TargetPauses.h"

namespace marigoldpaddle {

// Outcome of a send to a target.
enum class SendOutcome {
    Answered, // A complete answer that is not a failure of the target.
    Failed, // The target answered with a failure, or the answer was cut off.
    Unreachable, // No connection, or no answer.
    Declined, // The target did not execute the request: it is full or leaving.
};

// Tracks target health from the outcomes of recent sends (outlier ejection), since the health checks of a target may
// pass while its requests fail. Covers grey failures (part of the requests fail), crashed targets whose registration
// lingers, and targets that do not answer. Pure computation, no I/O.
class TargetHealth {
public:
    void recordOutcome(std::string_view target, SendOutcome outcome, TimePoint now);

    // Records that the target has sent data. A target that answers other requests is busy rather than gone when one
    // request gets no answer.
    void recordActivity(std::string_view target, TimePoint now);

    // Drops the outcomes of a target. While an instance has no path to it, they say nothing about it.
    void forgetOutcomes(std::string_view target);

    // Whether the target is ejected. After the ejection period it gets requests again, which show if it has recovered.
    bool isEjected(std::string_view target, TimePoint now) const;

    // Recent failure rate, 0 to 1.
    double failureRate(std::string_view target, TimePoint now) const;

    // Drops records without an update for a minute, pauses that have ended, and limits that are too old.
    void expire(TimePoint now);

    // Which targets accept connections. Fed by TargetLinks.
    TargetConnections connections;

    // Which targets answer requests, over all instances.
    TargetAnswers answers;

    // What targets ask for themselves, independent of outcomes.
    TargetPauses pauses;
    TargetLimits limits;

private:
    struct Record {
        double failureRate { 0 };
        unsigned consecutiveUnreachable { 0 };
        TimePoint ejectedUntil {};
        TimePoint updatedAt {};
        TimePoint lastActivityAt {};
    };

    std::map<std::string, Record, std::less<>> records;
};

}
