#pragma once

#include <chrono>

namespace marigoldpaddle {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// The time source of all components whose decisions depend on time. They do not read the system clock directly, so that
// tests can control time.
class Clock {
public:
    virtual ~Clock() = default;

    // Returns the current time. Monotonic: successive calls never return an earlier time.
    virtual TimePoint now() const = 0;
};

// The machine's steady clock, used in production. Tests use ManualClock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }
};

// A clock that changes only when it is advanced. Not thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const override
    {
        return this->current;
    }

    // Advances the time by `step`, which must not be negative.
    void advance(Duration step)
    {
        this->current += step;
    }

private:
    TimePoint current { std::chrono::hours { 1 } };
};

}
