#pragma once

#include <map>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// How a send to a target ended.
enum class SendOutcome {
    Answered, // With a whole answer that is not a failure of the target.
    Failed, // The target answered with a failure, or broke off.
    Unreachable, // No connection, or silence.
    Declined, // It did not run the request: full or leaving.
};

// Judges targets by how recent sends ended; their own health checks stay good while they fail requests. A pure core.
// Answers grey targets (part of the requests fail), crashed ones whose entry lingers, and silent ones.
class TargetHealth {
public:
    void note(std::string_view target, SendOutcome outcome, TimePoint now);

    // The target has just sent something. One that answers others is busy, not gone, when it lets a request wait.
    void noteAlive(std::string_view target, TimePoint now);

    // Whether sends to it are pointless for now. After a pause one request finds out whether it is back.
    bool isEjected(std::string_view target, TimePoint now) const;

    // Recent share of failures, 0 to 1.
    double failureShare(std::string_view target, TimePoint now) const;

    // Forgets targets without news for a minute.
    void expire(TimePoint now);

private:
    struct Record {
        double failureShare { 0 };
        unsigned unreachableInRow { 0 };
        TimePoint ejectedUntil {};
        TimePoint updatedAt {};
        TimePoint aliveAt {};
    };

    std::map<std::string, Record, std::less<>> records;
};

}
