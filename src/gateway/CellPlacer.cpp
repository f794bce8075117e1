#include "gateway/CellPlacer.h"

#include <algorithm>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RetryAfterNoTarget { 1 };

RefusalReason parseRefusalReason(std::string_view text)
{
    const auto found = std::ranges::find(AllRefusalReasons, text, [](RefusalReason each) { return name(each); });
    return found == AllRefusalReasons.end() ? RefusalReason::Overloaded : *found;
}

}

CellPlacer::CellPlacer(
    InstanceId instance, ClusterView& view, RpcClient& rpc, CellSelector& cellSelector, HeldPlacements& heldPlacements)
    : instance(std::move(instance))
    , view(view)
    , rpc(rpc)
    , cellSelector(cellSelector)
    , heldPlacements(heldPlacements)
{
}

asio::awaitable<RequestEvent> CellPlacer::requestPlacement(GatewayRequest& request, unsigned attempt)
{
    using namespace asio::experimental::awaitable_operators;
    const CellRequirements requirements { request.completion->model,
        request.completion->promptTokens + request.completion->maximumTokens };
    const auto* chosen = this->cellSelector.select(this->view.cells(), requirements);
    if (!chosen) {
        const auto reason = CellSelector::refusalReason(this->view.cells(), requirements);
        co_return PlacementRefused { attempt, reason, RetryAfterNoTarget };
    }
    const AcquireDestination destination { chosen->digest.cell, chosen->owner };
    request.acquireDestinations[attempt] = destination;
    request.handle(PlacementRequested { attempt });
    std::optional<RequestEvent> answer;
    co_await (
        this->acquire(request, attempt, answer) || this->view.waitForOwnerChange(destination.cell, destination.owner));
    if (answer)
        co_return std::move(*answer);
    co_return OwnerUnavailable { attempt };
}

asio::awaitable<void> CellPlacer::acquire(GatewayRequest& request, unsigned attempt, std::optional<RequestEvent>& event)
{
    const auto& destination = request.acquireDestinations[attempt];
    wire::Payload message;
    message.__set_acquire(this->makeAcquireRequest(request, attempt, destination.cell));
    auto address = this->view.dispatcherAddressOf(destination.owner);
    auto answer
        = co_await this->rpc.call(std::move(address), std::move(message), request.deadline - request.clock.now());
    if (!answer || !answer.value().__isset.acquireAnswer)
        event = OwnerUnavailable { attempt };
    else
        event = this->handleAnswer(request, attempt, answer.value().acquireAnswer);
}

wire::AcquireRequest CellPlacer::makeAcquireRequest(
    const GatewayRequest& request, unsigned attempt, const CellId& cell) const
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

RequestEvent CellPlacer::handleAnswer(GatewayRequest& request, unsigned attempt, const wire::AcquireAnswer& answer)
{
    if (answer.__isset.refusal)
        return PlacementRefused { attempt, parseRefusalReason(answer.refusal.reason),
            std::chrono::milliseconds { answer.refusal.retryAfterMs } };
    if (!answer.__isset.grant || answer.grant.parts.empty())
        return OwnerUnavailable { attempt };
    const auto& grant = answer.grant;
    PlacementGranted granted;
    granted.attempt = attempt;
    granted.expiry = pointInTime(grant.expiresInMs, request.clock.now());
    for (const auto& part : grant.parts) {
        granted.parts.push_back({ part.target, static_cast<std::uint64_t>(part.tokens) });
        request.targetAddresses[part.target] = part.address;
    }
    request.placement = { attempt, grant.priority, 0 };
    this->heldPlacements.add(request.acquireDestinations[attempt].cell, attempt, grant.parts, request);
    return granted;
}

void CellPlacer::withdraw(GatewayRequest& request, unsigned attempt)
{
    wire::ProgressNotice notice;
    notice.withdrawn = true;
    notice.finished = true; // Releases a grant that was issued before this notice arrives.
    this->sendProgress(request, attempt, notice);
}

void CellPlacer::release(GatewayRequest& request, unsigned attempt)
{
    const auto destination = request.acquireDestinations.find(attempt);
    if (destination != request.acquireDestinations.end())
        this->heldPlacements.remove(destination->second.cell, request.attemptId(attempt));
    wire::ProgressNotice notice;
    notice.finished = true;
    notice.failedTargets = request.lifecycle().excludedTargets();
    this->sendProgress(request, attempt, notice);
}

void CellPlacer::reportFirstToken(GatewayRequest& request)
{
    wire::ProgressNotice notice;
    notice.firstToken = true;
    this->sendProgress(request, request.placement.attempt, notice);
}

void CellPlacer::releaseAll(GatewayRequest& request)
{
    for (const auto& [attempt, destination] : request.acquireDestinations) {
        if (!this->heldPlacements.remove(destination.cell, request.attemptId(attempt)))
            continue;
        wire::ProgressNotice notice;
        notice.finished = true;
        this->sendProgress(request, attempt, notice);
    }
}

void CellPlacer::sendProgress(const GatewayRequest& request, unsigned attempt, wire::ProgressNotice notice)
{
    const auto destination = request.acquireDestinations.find(attempt);
    if (destination == request.acquireDestinations.end())
        return;
    notice.requestId = request.attemptId(attempt).value;
    notice.cell = toWire(destination->second.cell);
    notice.outputTokens = static_cast<std::int64_t>(request.lifecycle().deliveredTokens());
    wire::Payload message;
    message.__set_progress(notice);
    const auto* known = this->view.cell(destination->second.cell);
    this->heldPlacements.notify(known ? known->owner : destination->second.owner, std::move(message));
}

}
