#include "dispatch/DrainRate.h"

#include <algorithm>
#include <cmath>

namespace marigoldpaddle {

namespace {

constexpr double MinimumRate = 1; // Tokens per second.
constexpr double LongestTime = 3600; // Seconds.

}

DrainRate::DrainRate(double initialRate, Duration memory)
    : rate(initialRate)
    , memorySeconds(std::chrono::duration<double>(memory).count())
{
}

void DrainRate::advance(TimePoint now, bool isWaiting)
{
    if (now <= this->asOf)
        return;
    if (isWaiting)
        this->rate *= std::exp(-std::chrono::duration<double>(now - this->asOf).count() / this->memorySeconds);
    this->asOf = now;
}

void DrainRate::served(double tokens)
{
    this->rate += tokens / this->memorySeconds;
}

void DrainRate::setMinimum(double tokensPerSecond)
{
    this->minimum = std::max(tokensPerSecond, MinimumRate);
}

double DrainRate::tokensPerSecond() const
{
    return std::max(this->rate, this->minimum);
}

Duration DrainRate::memory() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->memorySeconds));
}

Duration DrainRate::timeFor(double tokens) const
{
    auto seconds = std::min(tokens / this->tokensPerSecond(), LongestTime);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
