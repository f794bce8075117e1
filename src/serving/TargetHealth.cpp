#include "serving/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace marigoldpaddle {

namespace {

using Seconds = std::chrono::duration<double>;

// Weight of the newest outcome: about the last six sends count.
constexpr double NewestWeight = 0.2;
// Without news, a target's failures are forgotten by half in this time.
constexpr Seconds HalfLife { 4 };
// The first pause after silence; a crashed target's entry lingers for up to three heartbeats.
constexpr Duration FirstEjection = std::chrono::milliseconds { 600 };
constexpr Duration LongestEjection = std::chrono::milliseconds { 4800 };
// Sends that are declined keep others away for this long: a full queue drains within some passes.
constexpr Duration DeclinedPause = std::chrono::milliseconds { 100 };
// A target that has sent something within this time is there: some passes of an engine.
constexpr Duration AliveLifetime = std::chrono::milliseconds { 500 };
constexpr Duration RecordLifetime = std::chrono::minutes { 1 };

}

void TargetHealth::note(std::string_view target, SendOutcome outcome, TimePoint now)
{
    const auto share = this->failureShare(target, now);
    auto& record = this->records[std::string { target }];
    record.updatedAt = now;
    const bool failed = outcome == SendOutcome::Failed || outcome == SendOutcome::Unreachable;
    if (outcome != SendOutcome::Declined)
        record.failureShare = share + NewestWeight * ((failed ? 1.0 : 0.0) - share);
    if (outcome == SendOutcome::Answered)
        record.unreachableInRow = 0;
    if (outcome == SendOutcome::Declined)
        record.ejectedUntil = std::max(record.ejectedUntil, now + DeclinedPause);
    if (outcome == SendOutcome::Unreachable && now - record.aliveAt > AliveLifetime) {
        const auto pause = FirstEjection * (1U << std::min(record.unreachableInRow, 3U));
        record.ejectedUntil = now + std::min<Duration>(pause, LongestEjection);
        ++record.unreachableInRow;
    }
}

void TargetHealth::noteAlive(std::string_view target, TimePoint now)
{
    auto found = this->records.find(target);
    if (found == this->records.end())
        found = this->records.emplace(target, Record {}).first;
    found->second.aliveAt = now;
}

bool TargetHealth::isEjected(std::string_view target, TimePoint now) const
{
    const auto found = this->records.find(target);
    return found != this->records.end() && now < found->second.ejectedUntil;
}

double TargetHealth::failureShare(std::string_view target, TimePoint now) const
{
    const auto found = this->records.find(target);
    if (found == this->records.end())
        return 0;
    const auto halves = Seconds(now - found->second.updatedAt) / HalfLife;
    return found->second.failureShare * std::exp2(-halves);
}

void TargetHealth::expire(TimePoint now)
{
    std::erase_if(this->records,
        [&](const auto& item) { return now - std::max(item.second.updatedAt, item.second.aliveAt) > RecordLifetime; });
}

}
