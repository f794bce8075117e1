#pragma once

#include <algorithm>
#include <functional>
#include <vector>

#include "SoakPlan.h"

namespace marigoldpaddle::testing {

// A fault that is or was in force.
struct Disturbance {
    PlannedFault fault;
    TimePoint begin;
    TimePoint end { TimePoint::max() };
};

// When which fault was in force. The checks ask it what excuses an outcome.
class SoakLedger {
public:
    std::size_t begin(const PlannedFault& fault, TimePoint now)
    {
        this->disturbances.push_back({ fault, now });
        return this->disturbances.size() - 1;
    }

    void end(std::size_t disturbance, TimePoint now)
    {
        this->disturbances[disturbance].end = now;
    }

    // Called all the time. A pause between two calls is a stall of the soak, which is noted before anything that was
    // delayed by it is judged.
    void noteAlive(TimePoint now)
    {
        constexpr Duration LongestPause = std::chrono::milliseconds { 250 };
        if (this->aliveAt != TimePoint {} && now - this->aliveAt > LongestPause) {
            this->disturbances.push_back({ { .fault = SoakFault::Stall }, this->aliveAt, now });
            this->stalled += now - this->aliveAt;
        }
        this->aliveAt = now;
    }

    // Total time of the stalls.
    Duration stalledTime() const
    {
        return this->stalled;
    }

    // Whether a fault for which the predicate holds was in force at any moment of the span.
    bool overlaps(TimePoint from, TimePoint until, const std::function<bool(const Disturbance&)>& predicate) const
    {
        return std::ranges::any_of(this->disturbances,
            [&](const Disturbance& each) { return each.begin <= until && each.end >= from && predicate(each); });
    }

    // End of the latest fault for which the predicate holds; TimePoint::max() if one is in force, min() if none was.
    TimePoint lastEnd(const std::function<bool(const Disturbance&)>& predicate) const
    {
        auto last = TimePoint::min();
        for (const auto& each : this->disturbances) {
            if (predicate(each))
                last = std::max(last, each.end);
        }
        return last;
    }

private:
    std::vector<Disturbance> disturbances;
    TimePoint aliveAt {};
    Duration stalled {};
};

}
