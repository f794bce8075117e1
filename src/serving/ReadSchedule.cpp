#include "serving/ReadSchedule.h"

#include <algorithm>
#include <array>

namespace marigoldpaddle {

namespace {

// Age at which an instance reads, as a share of the bound, by rank. The distance between two of them leaves time for a
// read and for passing it on.
constexpr std::array<double, ReadSchedule::Ranks> DueShares { 0.25, 0.4, 0.5, 0.6 };
// Instances of all other ranks read at an age between these shares, so that they do not burst on the store.
constexpr double EarliestLastResortShare = 0.65;
constexpr double LatestLastResortShare = 0.8;
// Longest delay between failed reads, as a share of the bound.
constexpr double LongestRankedRetryShare = 0.25;
constexpr double LongestRetryShare = 1.0;
// The delay is varied by this share, so that instances that failed together do not retry together.
constexpr double RetryVariation = 0.25;
constexpr unsigned MaximumDoublings = 8;

Duration shareOf(Duration duration, double share)
{
    return std::chrono::duration_cast<Duration>(duration * share);
}

}

ReadSchedule::ReadSchedule(ReadScheduleSettings settings, std::mt19937_64 random)
    : settings(settings)
    , random(random)
    , lastResortShare(this->randomShare(EarliestLastResortShare, LatestLastResortShare))
{
}

void ReadSchedule::setSettings(const ReadScheduleSettings& settings)
{
    this->settings = settings;
}

double ReadSchedule::randomShare(double from, double to)
{
    return std::uniform_real_distribution<double> { from, to }(this->random);
}

Duration ReadSchedule::dueAge(std::size_t rank) const
{
    if (rank == 0 && this->settings.pollWait > Duration::zero())
        return Duration::zero();
    return this->settings.pollWait
        + shareOf(this->settings.bound, rank < Ranks ? DueShares[rank] : this->lastResortShare);
}

Duration ReadSchedule::timeUntilDue(std::size_t rank, Duration age, TimePoint now) const
{
    const auto untilOld = age == Duration::max() ? Duration::zero() : this->dueAge(rank) - age;
    return std::max({ Duration::zero(), untilOld, this->notBefore - now });
}

void ReadSchedule::recordSuccess()
{
    this->failures = 0;
    this->notBefore = {};
    this->lastResortShare = this->randomShare(EarliestLastResortShare, LatestLastResortShare);
}

void ReadSchedule::recordFailure(std::size_t rank, TimePoint now)
{
    const auto doublings = std::min(this->failures, MaximumDoublings);
    ++this->failures;
    const auto longest = shareOf(this->settings.bound, rank < Ranks ? LongestRankedRetryShare : LongestRetryShare);
    const auto delay = std::min<Duration>(this->settings.retryDelay * (1U << doublings), longest);
    this->notBefore = now + shareOf(delay, this->randomShare(1 - RetryVariation, 1 + RetryVariation));
}

bool ReadSchedule::isFailing() const
{
    return this->failures > 0;
}

}
