#include "gateway/ClaimFilter.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "gateway/Digest.h"
#include "membership/Ownership.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RpcTimeout { 3 };
constexpr std::chrono::milliseconds RetryDelay { 100 };
constexpr std::chrono::seconds RetryAfterUnavailable { 1 };
constexpr std::chrono::milliseconds SettlementRetryDelay { 250 };
constexpr int SettlementAttempts = 10;

asio::awaitable<void> sleepFor(Duration time)
{
    asio::steady_timer timer { co_await asio::this_coro::executor, time };
    co_await timer.async_wait(asio::use_awaitable);
}

std::optional<Problem> problemFrom(const wire::ClaimAnswer& answer)
{
    const std::chrono::milliseconds retryAfter { std::max<std::int64_t>(answer.retryAfterMs, 1000) };
    switch (answer.verdict) {
    case wire::ClaimVerdict::Won:
    case wire::ClaimVerdict::Repeated:
        return std::nullopt;
    case wire::ClaimVerdict::Mismatch:
        return Problem { RefusalReason::KeyReused, ExecutionStatus::No, {},
            "the idempotency key was used before with another body" };
    case wire::ClaimVerdict::InProgress:
        return Problem { RefusalReason::KeyInProgress, ExecutionStatus::Unknown, retryAfter,
            "another call with this idempotency key is in progress" };
    case wire::ClaimVerdict::Unknown:
        return Problem { RefusalReason::OutcomeUnknown, ExecutionStatus::Unknown, retryAfter,
            "the outcome of the call with this idempotency key is unknown" };
    case wire::ClaimVerdict::Unavailable:
        break;
    }
    return Problem { RefusalReason::ClaimsUnavailable, ExecutionStatus::No, retryAfter,
        "the call was not sent; it is unknown whether an earlier call with this idempotency key ran" };
}

// Makes the response that the first call with the key received. A body that was too large to store is replaced by its
// size in bytes.
HttpResponse responseFrom(const wire::CallOutcome& outcome)
{
    const auto status = static_cast<unsigned>(outcome.status);
    auto answer = makeResponse(status, outcome.contentType, outcome.body);
    if (outcome.omittedBodyBytes > 0) {
        const auto size = std::to_string(outcome.omittedBodyBytes);
        answer = makeResponse(status, "application/json",
            "{\"detail\":\"the call ran before and its response body was too large to store\",\"omitted_body_bytes\":"
                + size + "}\n");
        answer.set("Idempotent-Omitted-Body-Bytes", size);
    }
    answer.set("Idempotent-Replayed", "true");
    return answer;
}

}

ClaimFilter::ClaimFilter(InstanceId instance, ClusterView& view, RpcClient& rpc, BackgroundTasks& tasks)
    : instance(std::move(instance))
    , view(view)
    , rpc(rpc)
    , tasks(tasks)
{
}

asio::awaitable<std::optional<Problem>> ClaimFilter::apply(GatewayRequest& request)
{
    if (!request.call || request.call->idempotencyKey.empty() || request.call->isSafe)
        co_return std::nullopt;
    const auto answer = co_await this->claim(request);
    request.mayClaimCommitLater = !answer || answer->mayLand;
    if (!answer)
        co_return Problem { RefusalReason::ClaimsUnavailable, ExecutionStatus::No, RetryAfterUnavailable,
            "the call was not sent because no dispatcher was reachable to claim its idempotency key" };
    if (answer->verdict == wire::ClaimVerdict::Repeated)
        request.storedResponse = responseFrom(answer->outcome);
    request.holdsClaim = answer->verdict == wire::ClaimVerdict::Won;
    co_return problemFrom(*answer);
}

// Retries with the same request id when the dispatcher's answer is lost. This is idempotent: an owner that has already
// recorded the claim answers that it was won.
asio::awaitable<std::optional<wire::ClaimAnswer>> ClaimFilter::claim(GatewayRequest& request)
{
    while (request.clock.now() < request.deadline) {
        wire::Payload message;
        message.__set_claim(this->makeClaimRequest(request));
        auto address = this->ownerAddress(request.workspace.name, request.call->service, request.call->idempotencyKey);
        const auto timeout = std::min<Duration>(request.deadline - request.clock.now(), RpcTimeout);
        auto answer = co_await this->rpc.call(std::move(address), std::move(message), timeout);
        if (answer && answer.value().__isset.claimAnswer)
            co_return std::move(answer.value().claimAnswer);
        request.metrics.countRetry(RetryReason::OwnerChanged);
        co_await sleepFor(RetryDelay);
    }
    co_return std::nullopt;
}

wire::ClaimRequest ClaimFilter::makeClaimRequest(const GatewayRequest& request) const
{
    const auto& message = request.exchange.request();
    const std::string method { message.method_string().data(), message.method_string().size() };
    wire::ClaimRequest claim;
    claim.workspace = request.workspace.name;
    claim.serviceName = request.call->service;
    claim.key = request.call->idempotencyKey;
    claim.bodyDigest = sha256Hex(method + " " + request.call->path + "\n" + message.body());
    claim.requestId = request.id.value;
    claim.holder = toWire(this->instance);
    claim.remainingMs = remainingMs(request.deadline, request.clock.now());
    claim.keyWindowMs = toMs(request.preset->services.at(request.call->service).keyWindow);
    return claim;
}

void ClaimFilter::settle(const GatewayRequest& request)
{
    if (!request.holdsClaim && !request.mayClaimCommitLater)
        return;
    wire::ClaimSettlement settlement;
    settlement.workspace = request.workspace.name;
    settlement.serviceName = request.call->service;
    settlement.key = request.call->idempotencyKey;
    settlement.requestId = request.id.value;
    settlement.notSent = !request.holdsClaim || (request.problem && request.problem->ran == ExecutionStatus::No);
    settlement.unknown = !settlement.notSent && request.problem;
    if (!settlement.notSent && !settlement.unknown && request.storedResponse) {
        const auto& answer = *request.storedResponse;
        const auto type = answer[boost::beast::http::field::content_type];
        wire::CallOutcome outcome;
        outcome.status = static_cast<std::int32_t>(answer.result_int());
        outcome.contentType.assign(type.data(), type.size());
        outcome.body = answer.body();
        settlement.__set_outcome(outcome);
    }
    this->tasks.spawn(this->sendSettlement(std::move(settlement)));
}

asio::awaitable<void> ClaimFilter::sendSettlement(wire::ClaimSettlement settlement)
{
    for (int attempt = 1; attempt <= SettlementAttempts; ++attempt) {
        wire::Payload message;
        message.__set_settle(settlement);
        auto address = this->ownerAddress(settlement.workspace, settlement.serviceName, settlement.key);
        const auto answer = co_await this->rpc.call(std::move(address), std::move(message), RpcTimeout);
        if (answer && answer.value().__isset.acknowledgement && answer.value().acknowledgement.accepted)
            co_return;
        co_await sleepFor(SettlementRetryDelay * attempt);
    }
}

std::string ClaimFilter::ownerAddress(std::string_view workspace, std::string_view service, std::string_view key) const
{
    std::string name { workspace };
    name += "/";
    name += service;
    name += "/";
    name += key;
    const auto* owner = rendezvousOwner(name, this->view.members());
    return owner ? owner->dispatcherAddress : std::string {};
}

}
