#include "dispatch/DrainRate.h"

#include <algorithm>
#include <cmath>

namespace marigoldpaddle {

namespace {

constexpr double LowestMinimumTokensPerSecond = 1;
constexpr double MaximumDrainSeconds = 3600;

}

DrainRate::DrainRate(double initialRate, Duration timeConstant)
    : rate(initialRate)
    , timeConstantSeconds(std::chrono::duration<double>(timeConstant).count())
{
}

void DrainRate::advance(TimePoint now, bool hasQueue)
{
    if (now <= this->advancedTo)
        return;
    if (hasQueue)
        this->rate
            *= std::exp(-std::chrono::duration<double>(now - this->advancedTo).count() / this->timeConstantSeconds);
    this->advancedTo = now;
}

void DrainRate::addServed(double tokens)
{
    this->rate += tokens / this->timeConstantSeconds;
}

void DrainRate::setMinimum(double tokensPerSecond)
{
    this->minimumRate = std::max(tokensPerSecond, LowestMinimumTokensPerSecond);
}

double DrainRate::tokensPerSecond() const
{
    return std::max(this->rate, this->minimumRate);
}

Duration DrainRate::timeConstant() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->timeConstantSeconds));
}

Duration DrainRate::timeFor(double tokens) const
{
    auto seconds = std::min(tokens / this->tokensPerSecond(), MaximumDrainSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}
