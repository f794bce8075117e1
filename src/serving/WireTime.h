#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

#include <marigoldpaddle/Clock.h>

// Durations in messages between instances, in milliseconds.
namespace marigoldpaddle {

inline std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline std::int64_t toMilliseconds(Duration age)
{
    return age == Duration::max() ? std::numeric_limits<std::int32_t>::max() : milliseconds(age);
}

// The longest time that is taken from a peer, about 25 days, so that no sum with a point in time overflows.
constexpr std::int64_t MaximumWireMilliseconds = std::numeric_limits<std::int32_t>::max();

// A time from the wire, cut to 0 and the longest one.
inline Duration toDuration(std::int64_t ms)
{
    return std::chrono::milliseconds { std::clamp<std::int64_t>(ms, 0, MaximumWireMilliseconds) };
}

// The largest number on the wire stands for no view.
inline Duration toAge(std::int64_t ms)
{
    return ms >= std::numeric_limits<std::int32_t>::max()
        ? Duration::max()
        : Duration { std::chrono::milliseconds { std::max<std::int64_t>(0, ms) } };
}

}
