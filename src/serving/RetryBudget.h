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
    explicit RetryBudget(RetryBudgetSettings settings = {});

    void setSettings(const RetryBudgetSettings& settings);

    // The number of instances that share the slack, counted generously.
    void setInstances(std::size_t instances);

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
    std::size_t instances { 1 };
    std::map<std::string, Window, std::less<>> windows;
};

}
