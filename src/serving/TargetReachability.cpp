#include "serving/TargetReachability.h"

#include <utility>

namespace marigoldpaddle {

bool TargetReachability::isCutOff() const
{
    return this->isCut;
}

void TargetReachability::recordFailure()
{
    this->isSuspected = true;
}

bool TargetReachability::recordConnected(TimePoint now)
{
    this->lastConnectedAt = now;
    this->isSuspected = false;
    return std::exchange(this->isCut, false);
}

bool TargetReachability::needsRounds() const
{
    return this->isCut || this->isSuspected;
}

std::size_t TargetReachability::startRound(TimePoint now)
{
    const auto interval = this->isCut ? RecoverInterval : ConfirmInterval;
    if (!this->needsRounds() || (this->lastRoundAt && now - *this->lastRoundAt < interval))
        return 0;
    this->lastRoundAt = now;
    return this->isCut ? ProbesToRecover : ProbesToConfirm;
}

bool TargetReachability::recordRound(RoundOutcome outcome, TimePoint startedAt)
{
    const bool isOutdated = this->lastConnectedAt && *this->lastConnectedAt >= startedAt;
    if (outcome != RoundOutcome::AllFailed || isOutdated || this->isCut)
        return false;
    this->isSuspected = false;
    this->isCut = true;
    return true;
}

}
