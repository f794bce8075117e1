#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

struct RetryBudgetSettings {
    double ratio { 0.2 }; // Retries for each first send.
    Duration window { std::chrono::seconds { 10 } };
    double slack { 0 }; // Retries in a window regardless of the load, shared by all instances.
};

// Limits the retries to each service, over all instances: every instance spends the ratio of its own first sends and
// its share of the slack. Without a limit, a service that fails as a whole would receive every request twice. Pure
// computation, no I/O.
class RetryBudget {
public:
    // The slack is divided by at least this number, and by twice the number of known instances, because as many again
    // may be starting.
    static constexpr std::size_t MinimumSharers = 24;

    explicit RetryBudget(RetryBudgetSettings settings = {});

    void setSettings(const RetryBudgetSettings& settings);

    // Sets the number of live instances. The share of the slack never grows again: an instance without peers is
    // partitioned or has just started, and the others still spend their shares.
    void updateInstanceCount(std::size_t instances);

    void recordFirstSend(std::string_view service, TimePoint now);

    // Spends one retry if the budget allows it. Returns whether it did.
    bool trySpend(std::string_view service, TimePoint now);

    // Retries that the budget allows now.
    double remaining(std::string_view service, TimePoint now);

private:
    struct Window {
        std::deque<TimePoint> firstSends;
        std::deque<TimePoint> retries;
    };

    void expire(Window& window, TimePoint now) const;

    RetryBudgetSettings settings;
    std::size_t slackSharers { MinimumSharers };
    std::map<std::string, Window, std::less<>> windows;
};

}
