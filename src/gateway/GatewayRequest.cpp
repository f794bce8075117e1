#include "gateway/GatewayRequest.h"

#include <marigoldpaddle/Steward.h>

namespace marigoldpaddle {

GatewayRequest::GatewayRequest(HttpExchange& exchange, RequestId id, const Clock& clock, GatewayMetrics& metrics)
    : exchange(exchange)
    , id(std::move(id))
    , clock(clock)
    , metrics(metrics)
    , receivedAt(clock.now())
{
}

void GatewayRequest::start(RetryPolicy& retries)
{
    RequestTraits traits;
    traits.id = this->id;
    traits.isIdempotent = this->completion || this->call->isSafe;
    traits.isResumable = this->completion.has_value();
    traits.deadline = this->deadline;
    this->life.emplace(traits, retries);
    this->handle(RequestAdmitted {});
}

bool GatewayRequest::isOver() const
{
    return this->life && this->life->isOver();
}

const RequestLifecycle& GatewayRequest::lifecycle() const
{
    return *this->life;
}

void GatewayRequest::handle(const RequestEvent& event)
{
    this->deliversChunk = false;
    for (const auto& command : this->life->handle(event, this->clock.now()))
        std::visit([&](const auto& each) { this->carryOut(each); }, command);
}

GatewayRequest::Step GatewayRequest::takeStep()
{
    return std::exchange(this->step, std::monostate {});
}

const GatewayRequest::Step& GatewayRequest::nextStep() const
{
    return this->step;
}

bool GatewayRequest::isToDeliver() const
{
    return this->deliversChunk;
}

bool GatewayRequest::isComplete() const
{
    return this->isWhole;
}

RequestId GatewayRequest::attemptId(unsigned attempt) const
{
    return makeAttemptId(this->id, attempt);
}

void GatewayRequest::carryOut(const AskPlacement& command)
{
    this->step = command;
}

void GatewayRequest::carryOut(const WithdrawPlacement& command)
{
    this->placer->withdraw(*this, command.attempt);
}

void GatewayRequest::carryOut(const ReserveParts& command)
{
    this->step = command;
}

void GatewayRequest::carryOut(const ConnectTarget& command)
{
    this->step = command;
}

void GatewayRequest::carryOut(const WriteRequest& command)
{
    this->step = command;
}

void GatewayRequest::carryOut(const ResumeStream& command)
{
    this->step = command;
}

void GatewayRequest::carryOut(const DeliverChunk&)
{
    this->deliversChunk = true;
}

void GatewayRequest::carryOut(const CancelAttempt& command)
{
    this->carrier->cancel(*this, command);
}

void GatewayRequest::carryOut(const ReleasePlacement& command)
{
    this->placer->release(*this, command.attempt);
}

void GatewayRequest::carryOut(const CompleteAnswer&)
{
    this->isWhole = true;
}

void GatewayRequest::carryOut(const RefuseRequest& command)
{
    this->step = std::monostate {};
    this->problem = Problem { command.reason, command.ran, command.retryAfter, {} };
}

void GatewayRequest::carryOut(const CountRetry& command)
{
    this->metrics.countRetry(command.reason);
}

void GatewayRequest::carryOut(const CountDroppedChunk&)
{
    this->metrics.droppedChunks.increment();
}

}
