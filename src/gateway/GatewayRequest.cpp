#include "gateway/GatewayRequest.h"

#include <marigoldpaddle/OrphanReclaimer.h>

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
    this->requestLifecycle.emplace(traits, retries);
    this->handle(RequestAdmitted {});
}

bool GatewayRequest::isOver() const
{
    return this->requestLifecycle && this->requestLifecycle->isOver();
}

const RequestLifecycle& GatewayRequest::lifecycle() const
{
    return *this->requestLifecycle;
}

void GatewayRequest::handle(const RequestEvent& event)
{
    this->mustDeliverChunk = false;
    for (const auto& command : this->requestLifecycle->handle(event, this->clock.now()))
        std::visit([&](const auto& each) { this->execute(each); }, command);
}

GatewayRequest::PendingCommand GatewayRequest::takePendingCommand()
{
    return std::exchange(this->pending, std::monostate {});
}

const GatewayRequest::PendingCommand& GatewayRequest::pendingCommand() const
{
    return this->pending;
}

bool GatewayRequest::shouldDeliverChunk() const
{
    return this->mustDeliverChunk;
}

bool GatewayRequest::isComplete() const
{
    return this->isAnswerComplete;
}

RequestId GatewayRequest::attemptId(unsigned attempt) const
{
    return makeAttemptId(this->id, attempt);
}

void GatewayRequest::execute(const RequestPlacement& command)
{
    this->pending = command;
}

void GatewayRequest::execute(const WithdrawPlacement& command)
{
    this->placer->withdraw(*this, command.attempt);
}

void GatewayRequest::execute(const ReserveParts& command)
{
    this->pending = command;
}

void GatewayRequest::execute(const ConnectTarget& command)
{
    this->pending = command;
}

void GatewayRequest::execute(const WriteRequest& command)
{
    this->pending = command;
}

void GatewayRequest::execute(const ResumeStream& command)
{
    this->pending = command;
}

void GatewayRequest::execute(const DeliverChunk&)
{
    this->mustDeliverChunk = true;
}

void GatewayRequest::execute(const CancelAttempt& command)
{
    this->forwarder->cancel(*this, command);
}

void GatewayRequest::execute(const ReleasePlacement& command)
{
    this->placer->release(*this, command.attempt);
}

void GatewayRequest::execute(const CompleteAnswer&)
{
    this->isAnswerComplete = true;
}

void GatewayRequest::execute(const RefuseRequest& command)
{
    this->pending = std::monostate {};
    this->problem = Problem { command.reason, command.ran, command.retryAfter, {} };
}

void GatewayRequest::execute(const CountRetry& command)
{
    this->metrics.countRetry(command.reason);
}

void GatewayRequest::execute(const CountDroppedChunk&)
{
    this->metrics.droppedChunks.increment();
}

}
