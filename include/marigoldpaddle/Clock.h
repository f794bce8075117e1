#pragma once

#include <chrono>
#include <ctime>

namespace marigoldpaddle {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// The clock of BootTime. Unlike the steady clock, it also counts the time in which the machine was suspended.
struct BootClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): a standard name.
};

// A time for the age of what other processes have stated: they went on while this machine was suspended.
using BootTime = BootClock::time_point;

// The time source of all components whose decisions depend on time. They do not read the system clock directly, so that
// tests can control time.
class Clock {
public:
    virtual ~Clock() = default;

    // Returns the current time. Monotonic: successive calls never return an earlier time.
    virtual TimePoint now() const = 0;

    // Returns the current time since the start of the machine. Monotonic.
    virtual BootTime bootTime() const = 0;
};

// The machine's steady clock, used in production. Tests use ManualClock.
class SteadyClock final : public Clock {
public:
    TimePoint now() const override
    {
        return std::chrono::steady_clock::now();
    }

    BootTime bootTime() const override
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return BootTime { std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec } };
    }
};

// A clock that changes only when it is advanced. Not thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const override
    {
        return this->current;
    }

    BootTime bootTime() const override
    {
        return BootTime { this->current.time_since_epoch() + this->suspended };
    }

    // Advances the time by `step`, which must not be negative.
    void advance(Duration step)
    {
        this->current += step;
    }

    // Suspends the machine for `time`, which must not be negative.
    void suspend(Duration time)
    {
        this->suspended += time;
    }

private:
    TimePoint current { std::chrono::hours { 1 } };
    Duration suspended {};
};

}
