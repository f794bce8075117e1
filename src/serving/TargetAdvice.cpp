#include "serving/TargetAdvice.h"

namespace marigoldpaddle {

TargetAdvice::TargetAdvice(
    const Clock& clock, TargetDirectory& targets, TargetPauses& pauses, EventLog& log, MetricsRegistry& metrics)
    : clock(clock)
    , targets(targets)
    , pauses(pauses)
    , log(log)
    , metrics(metrics)
{
}

void TargetAdvice::targetAnswered(
    const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId)
{
    if (response.retryAfter)
        this->recordPause(target, *response.retryAfter, requestId);
    if (response.requestLimit)
        this->log.write("target_states_limit",
            { { "id", requestId }, { "target", target.id }, { "born", target.incarnation },
                { "per_second", *response.requestLimit } });
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
    const auto length = this->pauses.pause(target.id, requested, this->clock.now());
    if (!length)
        return;
    this->log.write("target_paused",
        { { "id", requestId }, { "target", target.id }, { "born", target.incarnation }, { "requested_ms", requested },
            { "pause_ms", *length } });
    this->metrics.counter("marigold_target_pauses_total").increment();
}

void TargetAdvice::recordLeaving(const TargetEntry& target, std::string_view requestId)
{
    if (!this->targets.markLeaving(target, this->clock.now()))
        return;
    this->log.write(
        "target_says_leaving", { { "id", requestId }, { "target", target.id }, { "born", target.incarnation } });
    this->metrics.counter("marigold_targets_leaving_by_answer_total").increment();
}

}
