#include "serving/TargetAdvice.h"

#include <utility>

namespace marigoldpaddle {

TargetAdvice::TargetAdvice(
    const Clock& clock, TargetDirectory& targets, TargetHealth& health, EventLog& log, MetricsRegistry& metrics)
    : clock(clock)
    , targets(targets)
    , health(health)
    , log(log)
    , metrics(metrics)
{
}

void TargetAdvice::onLimitChanged(std::function<void()> notify)
{
    this->notifyLimit = std::move(notify);
}

void TargetAdvice::targetAnswered(const TargetEntry& target, const ResponseMetadata& response,
    std::string_view requestId, std::optional<TimePoint> sentAt)
{
    if (response.retryAfter)
        this->recordPause(target, *response.retryAfter, requestId);
    this->recordLimit(target, response, requestId, sentAt);
    if (response.coldRemaining && !response.isMisdirected)
        this->recordCold(target, *response.coldRemaining, "answer");
    if (!response.isLeaving)
        return;
    if (!response.isMisdirected)
        return this->recordLeaving(target, requestId);
    // Another target uses the address and has answered.
    for (const auto& other : this->targets.atAddress(target.address))
        this->recordLeaving(other, requestId);
}

void TargetAdvice::recordPause(const TargetEntry& target, Duration requested, std::string_view requestId)
{
    const auto length = this->health.pauses.pause(target.id, requested, this->clock.now());
    if (!length)
        return;
    this->log.write("target_paused",
        { { "id", requestId }, { "target", target.id }, { "born", target.incarnation }, { "requested_ms", requested },
            { "pause_ms", *length } });
    this->metrics.counter("marigold_target_pauses_total").increment();
}

// An answer without a limit counts only if the target itself gave it to this request: an order's answer need not state
// limits, and another process may have answered in place of the target.
void TargetAdvice::recordLimit(const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId,
    std::optional<TimePoint> sentAt)
{
    if (response.isMisdirected)
        return;
    auto& limits = this->health.limits;
    const auto previous = limits.limit(target);
    const bool isOwnAnswer = response.isSealed && response.attemptId == requestId;
    auto change = TargetLimits::Change::None;
    if (response.requestLimit)
        change = limits.recordLimit(target, *response.requestLimit, this->clock.now());
    else if (isOwnAnswer && sentAt)
        change = limits.recordNoLimit(target, *sentAt, this->clock.now());
    if (change == TargetLimits::Change::None)
        return;
    this->log.write("target_states_limit",
        { { "id", requestId }, { "target", target.id }, { "born", target.incarnation },
            { "previous_per_second", previous.value_or(0) }, { "per_second", limits.limit(target).value_or(0) } });
    this->metrics.counter("marigold_target_limit_changes_total").increment();
    if (change != TargetLimits::Change::Raised && this->notifyLimit)
        this->notifyLimit();
}

void TargetAdvice::recordCold(const TargetEntry& target, Duration remaining, std::string_view source)
{
    if (!this->health.limits.cold.record(target, remaining, this->clock.now()))
        return;
    this->log.write("target_cold",
        { { "target", target.id }, { "born", target.incarnation }, { "remaining_ms", remaining },
            { "source", source } });
    this->metrics.counter("marigold_cold_periods_total").increment();
    if (this->notifyLimit)
        this->notifyLimit();
}

void TargetAdvice::recordLeaving(const TargetEntry& target, std::string_view requestId)
{
    if (!this->targets.markLeaving(target, this->clock.bootTime()))
        return;
    this->log.write(
        "target_says_leaving", { { "id", requestId }, { "target", target.id }, { "born", target.incarnation } });
    this->metrics.counter("marigold_targets_leaving_by_answer_total").increment();
}

}
