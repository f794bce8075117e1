#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

struct RetryBudgetSettings {
    double ratio { 0.2 }; // Further sends for each first one.
    Duration window { std::chrono::seconds { 10 } };
    double slack { 0 }; // Further sends in a window regardless of the load, for all instances together.
};

// Bounds how often requests are sent once more to a service, over all instances: each spends the ratio of its own first
// sends and its share of the slack. A pure core. Answers a service that fails as a whole, where every request would
// otherwise be sent twice.
class RetryBudget {
public:
    // The slack is shared by at least so many instances, and by twice those that are known: as many may be starting.
    static constexpr std::size_t FewestSharers = 24;

    explicit RetryBudget(RetryBudgetSettings settings = {});

    void setSettings(const RetryBudgetSettings& settings);

    // Takes the number of instances that are known to live. The share of the slack never rises again: an instance that
    // hears of nobody is cut off or has just started, and the others still spend their shares.
    void noteInstances(std::size_t instances);

    void noteFirst(std::string_view service, TimePoint now);

    // Returns whether one more send fits, and spends it.
    bool trySpend(std::string_view service, TimePoint now);

    // Further sends that are left at this moment.
    double left(std::string_view service, TimePoint now);

private:
    struct Window {
        std::deque<TimePoint> firsts;
        std::deque<TimePoint> further;
    };

    void expire(Window& window, TimePoint now) const;

    RetryBudgetSettings settings;
    std::size_t sharers { FewestSharers };
    std::map<std::string, Window, std::less<>> windows;
};

}
