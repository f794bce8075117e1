#pragma once

#include <chrono>

namespace marigoldpaddle {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Tells the time to everything that decides by it. Decisions never read a clock of their own.
class Clock {
public:
    virtual ~Clock() = default;

    // Returns the current time. Successive calls never go backwards.
    virtual TimePoint now() const = 0;
};

// Reads the machine's steady clock. Programs use it; tests use ManualClock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }
};

// Stands still until it is advanced. Not thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const override
    {
        return this->current;
    }

    // Moves the time forward by `step`, which must not be negative.
    void advance(Duration step)
    {
        this->current += step;
    }

private:
    TimePoint current { std::chrono::hours { 1 } };
};

}
