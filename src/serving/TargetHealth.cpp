#include "serving/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace marigoldpaddle {

namespace {

using Seconds = std::chrono::duration<double>;

// Weight of the newest outcome in the moving average: about the last six sends count.
constexpr double SmoothingFactor = 0.2;
// The failure rate halves in this time without further sends.
constexpr Seconds HalfLife { 4 };
// First ejection period, doubled on each repetition: a crashed target stays registered for up to three heartbeats.
constexpr Duration FirstEjection = std::chrono::milliseconds { 600 };
constexpr Duration LongestEjection = std::chrono::milliseconds { 4800 };
// Ejection period after a declined send: a full queue drains within some passes of the engine.
constexpr Duration DeclinedEjection = std::chrono::milliseconds { 100 };
// A target that sent data within this time counts as alive: some passes of an engine.
constexpr Duration ActivityLifetime = std::chrono::milliseconds { 500 };
constexpr Duration RecordLifetime = std::chrono::minutes { 1 };

}

void TargetHealth::recordOutcome(std::string_view target, SendOutcome outcome, TimePoint now)
{
    const auto previousRate = this->failureRate(target, now);
    auto& record = this->records[std::string { target }];
    record.updatedAt = now;
    const bool failed = outcome == SendOutcome::Failed || outcome == SendOutcome::Unreachable;
    if (outcome != SendOutcome::Declined)
        record.failureRate = previousRate + SmoothingFactor * ((failed ? 1.0 : 0.0) - previousRate);
    if (outcome == SendOutcome::Answered)
        record.consecutiveUnreachable = 0;
    if (outcome == SendOutcome::Declined)
        record.ejectedUntil = std::max(record.ejectedUntil, now + DeclinedEjection);
    if (outcome == SendOutcome::Unreachable && now - record.lastActivityAt > ActivityLifetime) {
        const auto ejection = FirstEjection * (1U << std::min(record.consecutiveUnreachable, 3U));
        record.ejectedUntil = now + std::min<Duration>(ejection, LongestEjection);
        ++record.consecutiveUnreachable;
    }
}

void TargetHealth::recordActivity(std::string_view target, TimePoint now)
{
    auto found = this->records.find(target);
    if (found == this->records.end())
        found = this->records.emplace(target, Record {}).first;
    found->second.lastActivityAt = now;
}

void TargetHealth::forgetOutcomes(std::string_view target)
{
    if (const auto found = this->records.find(target); found != this->records.end())
        this->records.erase(found);
}

bool TargetHealth::isEjected(std::string_view target, TimePoint now) const
{
    const auto found = this->records.find(target);
    return found != this->records.end() && now < found->second.ejectedUntil;
}

double TargetHealth::failureRate(std::string_view target, TimePoint now) const
{
    const auto found = this->records.find(target);
    if (found == this->records.end())
        return 0;
    const auto halfLives = Seconds(now - found->second.updatedAt) / HalfLife;
    return found->second.failureRate * std::exp2(-halfLives);
}

void TargetHealth::expire(TimePoint now)
{
    this->connections.expire(now);
    this->answers.expire(now);
    this->pauses.expire(now);
    this->limits.expire(now);
    std::erase_if(this->records, [&](const auto& item) {
        return now - std::max(item.second.updatedAt, item.second.lastActivityAt) > RecordLifetime;
    });
}

}
