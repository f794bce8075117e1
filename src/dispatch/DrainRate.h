#pragma once

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Measures how fast a queue drains while something waits in it: an exponentially decayed rate, in tokens per second.
class DrainRate {
public:
    // Observations older than a few `memory` no longer count.
    DrainRate(double initialRate, Duration memory);

    // Lets time pass; only time in which something waits counts.
    void advance(TimePoint now, bool isWaiting);
    void served(double tokens);

    // Sets the rate, in tokens per second, that is assumed at least.
    void setMinimum(double tokensPerSecond);

    double tokensPerSecond() const;
    Duration memory() const;
    Duration timeFor(double tokens) const;

private:
    double rate { 0 };
    double minimum { 1 };
    double memorySeconds { 1 };
    TimePoint asOf {};
};

}
