#include "gateway/CellPlacer.h"

#include <algorithm>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RetryAfterNoTarget { 1 };

RefusalReason reasonNamed(std::string_view text)
{
    const auto found = std::ranges::find(AllRefusalReasons, text, [](RefusalReason each) { return name(each); });
    return found == AllRefusalReasons.end() ? RefusalReason::Overloaded : *found;
}

}

CellPlacer::CellPlacer(InstanceId instance, GatewayView& view, RpcClient& rpc, CellChooser& chooser, Holdings& holdings)
    : instance(std::move(instance))
    , view(view)
    , rpc(rpc)
    , chooser(chooser)
    , holdings(holdings)
{
}

asio::awaitable<RequestEvent> CellPlacer::ask(GatewayRequest& request, unsigned attempt)
{
    using namespace asio::experimental::awaitable_operators;
    const CellNeeds needs { request.completion->model,
        request.completion->promptTokens + request.completion->maximumTokens };
    const auto* chosen = this->chooser.choose(this->view.cells(), needs);
    if (!chosen) {
        const auto reason = CellChooser::reasonForNone(this->view.cells(), needs);
        co_return PlacementRefused { attempt, reason, RetryAfterNoTarget };
    }
    const Ticket ticket { chosen->digest.cell, chosen->owner };
    request.tickets[attempt] = ticket;
    request.handle(PlacementAsked { attempt });
    std::optional<RequestEvent> answer;
    co_await (this->acquire(request, attempt, answer) || this->view.waitForOtherOwner(ticket.cell, ticket.owner));
    if (answer)
        co_return std::move(*answer);
    co_return OwnerLost { attempt };
}

asio::awaitable<void> CellPlacer::acquire(GatewayRequest& request, unsigned attempt, std::optional<RequestEvent>& event)
{
    const auto& ticket = request.tickets[attempt];
    wire::Payload message;
    message.__set_acquire(this->messageFor(request, attempt, ticket.cell));
    auto address = this->view.dispatcherAddressOf(ticket.owner);
    auto answer
        = co_await this->rpc.call(std::move(address), std::move(message), request.deadline - request.clock.now());
    if (!answer || !answer.value().__isset.acquireAnswer)
        event = OwnerLost { attempt };
    else
        event = this->take(request, attempt, answer.value().acquireAnswer);
}

wire::AcquireRequest CellPlacer::messageFor(const GatewayRequest& request, unsigned attempt, const CellId& cell) const
{
    wire::AcquireRequest message;
    message.requestId = request.attemptId(attempt).value;
    message.owner = toWire(this->instance);
    message.cell = toWire(cell);
    message.workspace = request.workspace.name;
    message.workspaceWeight = request.workspace.weight;
    const auto delivered = request.lifecycle().deliveredTokens();
    message.promptTokens = static_cast<std::int64_t>(request.completion->promptTokens + delivered);
    message.maximumOutputTokens = static_cast<std::int64_t>(request.completion->maximumTokens - delivered);
    message.remainingMs = remainingMs(request.deadline, request.clock.now());
    message.prefixBlocks.assign(request.prefixBlocks.begin(), request.prefixBlocks.end());
    message.excludedTargets = request.lifecycle().excludedTargets();
    return message;
}

RequestEvent CellPlacer::take(GatewayRequest& request, unsigned attempt, const wire::AcquireAnswer& answer)
{
    if (answer.__isset.refusal)
        return PlacementRefused { attempt, reasonNamed(answer.refusal.reason),
            std::chrono::milliseconds { answer.refusal.retryAfterMs } };
    if (!answer.__isset.grant || answer.grant.parts.empty())
        return OwnerLost { attempt };
    const auto& grant = answer.grant;
    PlacementGranted granted;
    granted.attempt = attempt;
    granted.expiry = pointInTime(grant.expiresInMs, request.clock.now());
    for (const auto& part : grant.parts) {
        granted.parts.push_back({ part.target, static_cast<std::uint64_t>(part.tokens) });
        request.addresses[part.target] = part.address;
    }
    request.placement = { attempt, grant.priority, 0 };
    this->holdings.add(request.tickets[attempt].cell, attempt, grant.parts, request);
    return granted;
}

void CellPlacer::withdraw(GatewayRequest& request, unsigned attempt)
{
    wire::ProgressNotice notice;
    notice.withdrawn = true;
    notice.finished = true; // It may have been granted meanwhile.
    this->notify(request, attempt, notice);
}

void CellPlacer::release(GatewayRequest& request, unsigned attempt)
{
    const auto ticket = request.tickets.find(attempt);
    if (ticket != request.tickets.end())
        this->holdings.remove(ticket->second.cell, request.attemptId(attempt));
    wire::ProgressNotice notice;
    notice.finished = true;
    notice.failedTargets = request.lifecycle().excludedTargets();
    this->notify(request, attempt, notice);
}

void CellPlacer::noteFirstToken(GatewayRequest& request)
{
    wire::ProgressNotice notice;
    notice.firstToken = true;
    this->notify(request, request.placement.attempt, notice);
}

void CellPlacer::forget(GatewayRequest& request)
{
    for (const auto& [attempt, ticket] : request.tickets) {
        if (!this->holdings.remove(ticket.cell, request.attemptId(attempt)))
            continue;
        wire::ProgressNotice notice;
        notice.finished = true;
        this->notify(request, attempt, notice);
    }
}

void CellPlacer::notify(const GatewayRequest& request, unsigned attempt, wire::ProgressNotice notice)
{
    const auto ticket = request.tickets.find(attempt);
    if (ticket == request.tickets.end())
        return;
    notice.requestId = request.attemptId(attempt).value;
    notice.cell = toWire(ticket->second.cell);
    notice.outputTokens = static_cast<std::int64_t>(request.lifecycle().deliveredTokens());
    wire::Payload message;
    message.__set_progress(notice);
    const auto* known = this->view.cell(ticket->second.cell);
    this->holdings.notify(known ? known->owner : ticket->second.owner, std::move(message));
}

}
