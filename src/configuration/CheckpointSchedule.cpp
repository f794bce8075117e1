#include "configuration/CheckpointSchedule.h"

#include <algorithm>
#include <ranges>

namespace marigoldpaddle {

namespace {

constexpr std::size_t SamplesPerRetention = 128;
constexpr std::uint64_t NearTrimDivisor = 4; // A checkpoint in the oldest quarter of the log is near trimming.
constexpr std::size_t MaximumRank = 31; // Higher ranks have the same delay.

}

CheckpointSchedule::CheckpointSchedule(CheckpointSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
{
    this->setRank(0);
}

void CheckpointSchedule::setRank(std::size_t rank)
{
    this->rank = std::min(rank, MaximumRank);
    std::uniform_int_distribution<Duration::rep> distribution { 0, this->settings.rankDelay.count() / 2 };
    this->jitter = Duration { distribution(this->random) };
}

void CheckpointSchedule::observeOwnOffset(std::uint64_t offset, TimePoint now)
{
    const auto interval = this->settings.retention / SamplesPerRetention;
    if (!this->samples.empty() && now - this->samples.back().at < interval)
        return;
    this->samples.push_back({ offset, now });
    if (this->samples.size() > SamplesPerRetention)
        this->samples.pop_front();
}

void CheckpointSchedule::observeRecord(std::string_view record, TimePoint now)
{
    const auto checkpoint = this->assembler.add(record);
    if (!checkpoint)
        return;
    ConfigurationState probe;
    if (!probe.restore(checkpoint->snapshot) || probe.nextOffset() != checkpoint->asOf)
        return;
    const auto sample = std::ranges::find_if(
        std::views::reverse(this->samples), [&](const auto& each) { return each.offset <= checkpoint->asOf; });
    if (sample != this->samples.rend())
        this->updateNewest({ checkpoint->asOf, std::min(sample->at, now) });
}

void CheckpointSchedule::observeLogBounds(std::uint64_t firstKept, std::uint64_t next, TimePoint now)
{
    const auto isNearTrim = this->newest && firstKept > 0 && next > firstKept
        && this->newest->asOf < firstKept + (next - firstKept) / NearTrimDivisor;
    if (!isNearTrim)
        this->nearTrimSince.reset();
    else if (!this->nearTrimSince)
        this->nearTrimSince = now;
}

void CheckpointSchedule::observePeerCheckpoint(const CheckpointAge& checkpoint, TimePoint now)
{
    this->updateNewest({ checkpoint.asOf, now - checkpoint.age });
}

void CheckpointSchedule::updateNewest(const ObservedCheckpoint& observed)
{
    if (this->newest && observed.takenAt <= this->newest->takenAt)
        return;
    this->newest = observed;
    this->nearTrimSince.reset();
    this->retryNotBefore.reset();
}

void CheckpointSchedule::recordWrite(TimePoint now)
{
    this->retryNotBefore = now + this->settings.retryDelay;
}

std::optional<CheckpointAge> CheckpointSchedule::newestCheckpoint(TimePoint now) const
{
    if (!this->newest)
        return std::nullopt;
    return CheckpointAge { this->newest->asOf, now - this->newest->takenAt };
}

TimePoint CheckpointSchedule::staggeredTime(TimePoint since) const
{
    const auto staggered = since + this->settings.rankDelay * static_cast<Duration::rep>(this->rank + 1) + this->jitter;
    return this->retryNotBefore ? std::max(staggered, *this->retryNotBefore) : staggered;
}

TimePoint CheckpointSchedule::nextWriteTime(TimePoint readySince) const
{
    const auto refreshAge
        = std::chrono::duration_cast<Duration>(this->settings.retention * this->settings.refreshShare);
    auto base = this->newest ? this->newest->takenAt + refreshAge : readySince;
    if (this->nearTrimSince)
        base = std::min(base, *this->nearTrimSince);
    // The delay by rank also applies to an instance that has just become ready while the refresh is long overdue.
    return this->staggeredTime(std::max(base, readySince));
}

}
