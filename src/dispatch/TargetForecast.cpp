#include "dispatch/TargetForecast.h"

#include <algorithm>
#include <numeric>

namespace marigoldpaddle {

namespace {

constexpr std::chrono::seconds MemorySampleRetention { 6 };
constexpr std::chrono::milliseconds MemorySamplePeriod { 250 };
constexpr std::chrono::milliseconds ReportUncertainty { 500 }; // Of LoadReport::measuredAt.
constexpr double RateSmoothingWeight = 0.3; // Weight of one report in the moving average.
constexpr double MinimumTokensPerSecond = 100;

}

TargetForecast::TargetForecast(double prefillTokensPerSecond)
    : rate(std::max(prefillTokensPerSecond, MinimumTokensPerSecond))
{
}

void TargetForecast::describe(const TargetDescription& description)
{
    this->target = description;
    this->prefixes.setCapacity(description.memoryTokens);
}

const TargetDescription& TargetForecast::description() const
{
    return this->target;
}

void TargetForecast::advance(TimePoint now)
{
    if (now <= this->advancedTo)
        return;
    auto done = this->rate * std::chrono::duration<double>(now - this->advancedTo).count();
    for (auto& waiting : this->backlog) {
        auto step = std::min(waiting, done);
        waiting -= step;
        done -= step;
    }
    this->advancedTo = now;
    this->sampleMemory(now);
}

void TargetForecast::add(const TargetShare& share)
{
    this->granted += share.memoryTokens;
    this->grantedShort += share.isLong ? 0 : share.memoryTokens;
    this->backlog[share.priority] += share.prefillTokens;
    ++this->prefilling[share.priority];
    ++this->requests;
    this->prefixes.setCapacity(this->freeTokens());
    this->sampleMemory(this->advancedTo);
}

void TargetForecast::endPrefill(const TargetShare& share)
{
    --this->prefilling[share.priority];
    if (this->prefilling[share.priority] == 0)
        this->backlog[share.priority] = 0;
}

void TargetForecast::remove(const TargetShare& share, bool isPrefilling)
{
    if (isPrefilling)
        this->endPrefill(share);
    this->granted -= share.memoryTokens;
    this->grantedShort -= share.isLong ? 0 : share.memoryTokens;
    --this->requests;
    this->prefixes.setCapacity(this->freeTokens());
}

void TargetForecast::report(const LoadReport& report)
{
    if (report.memoryTokens > 0)
        this->target.memoryTokens = report.memoryTokens;
    if (report.prefillTokensPerSecond > MinimumTokensPerSecond) {
        const auto weight = this->hasReportedRate ? RateSmoothingWeight : 1.0;
        this->rate += weight * (report.prefillTokensPerSecond - this->rate);
        this->hasReportedRate = true;
    }
    auto accounted = this->maximumGrantedNear(report.measuredAt);
    this->unaccounted = report.usedTokens > accounted ? report.usedTokens - accounted : 0;
}

Duration TargetForecast::prefillWait(std::size_t priority) const
{
    auto end = this->backlog.begin() + static_cast<std::ptrdiff_t>(priority) + 1;
    return this->prefillTime(std::accumulate(this->backlog.begin(), end, 0.0));
}

Duration TargetForecast::prefillTime(double tokens) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(tokens / this->rate));
}

bool TargetForecast::isUsable() const
{
    return !this->target.isLeaving && this->target.memoryTokens > 0;
}

std::uint64_t TargetForecast::capacity() const
{
    return this->target.memoryTokens;
}

std::uint64_t TargetForecast::freeTokens() const
{
    auto used = this->granted + this->unaccounted;
    return used < this->target.memoryTokens ? this->target.memoryTokens - used : 0;
}

std::uint64_t TargetForecast::shortTokens() const
{
    return this->grantedShort;
}

std::uint32_t TargetForecast::streams() const
{
    return this->requests;
}

double TargetForecast::prefillRate() const
{
    return this->rate;
}

void TargetForecast::sampleMemory(TimePoint now)
{
    if (!this->samples.empty() && now - this->samples.back().at < MemorySamplePeriod) {
        this->samples.back().granted = std::max(this->samples.back().granted, this->granted);
        return;
    }
    this->samples.push_back({ now, this->granted });
    while (now - this->samples.front().at > MemorySampleRetention)
        this->samples.pop_front();
}

// Returns the largest amount granted around or after a measurement. Grants take effect and are freed on the target with
// a delay, so any amount granted around the time of the measurement may have been in use.
std::uint64_t TargetForecast::maximumGrantedNear(TimePoint at) const
{
    auto most = this->granted;
    for (const auto& sample : this->samples)
        if (sample.at >= at - ReportUncertainty - MemorySamplePeriod)
            most = std::max(most, sample.granted);
    return most;
}

}
