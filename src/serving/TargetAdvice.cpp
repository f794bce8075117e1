#include "serving/TargetAdvice.h"

namespace marigoldpaddle {

TargetAdvice::TargetAdvice(const Clock& clock, TargetDirectory& targets, EventLog& log, MetricsRegistry& metrics)
    : clock(clock)
    , targets(targets)
    , log(log)
    , metrics(metrics)
{
}

void TargetAdvice::targetAnswered(
    const TargetEntry& target, const ResponseMetadata& response, std::string_view requestId)
{
    if (!response.isLeaving)
        return;
    if (!response.isMisdirected)
        return this->recordLeaving(target, requestId);
    // Another target uses the address and has answered.
    for (const auto& other : this->targets.atAddress(target.address))
        this->recordLeaving(other, requestId);
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
