#pragma once

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Measures how fast a non-empty queue drains: an exponentially weighted moving rate, in tokens per second.
class DrainRate {
public:
    // `initialRate` is in tokens per second. `timeConstant` is that of the exponential decay.
    DrainRate(double initialRate, Duration timeConstant);

    // Advances the measurement to `now`. The rate decays only if the queue is not empty, so idle time does not lower
    // it.
    void advance(TimePoint now, bool hasQueue);

    // Records that `tokens` left the queue.
    void addServed(double tokens);

    // Sets a lower bound of the rate. Bounds below 1 token per second are raised to that.
    void setMinimum(double tokensPerSecond);

    double tokensPerSecond() const;

    // Returns the time constant.
    Duration timeConstant() const;

    // Returns the predicted time until `tokens` have left the queue; at most one hour.
    Duration timeFor(double tokens) const;

private:
    double rate { 0 };
    double minimumRate { 1 };
    double timeConstantSeconds { 1 };
    TimePoint advancedTo {};
};

}
