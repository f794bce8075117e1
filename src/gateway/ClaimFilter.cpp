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

constexpr std::chrono::seconds AnswerTimeout { 3 };
constexpr std::chrono::milliseconds RetryPause { 100 };
constexpr std::chrono::seconds RetryAfterUnavailable { 1 };
constexpr std::chrono::milliseconds SettlementPause { 250 };
constexpr int SettlementAttempts = 10;

asio::awaitable<void> pause(Duration time)
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
        return Problem { RefusalReason::KeyReused, Ran::No, {}, "the key was used with another body" };
    case wire::ClaimVerdict::InProgress:
        return Problem { RefusalReason::KeyInProgress, Ran::Unknown, retryAfter, "a call with this key is running" };
    case wire::ClaimVerdict::Unknown:
        return Problem { RefusalReason::OutcomeUnknown, Ran::Unknown, retryAfter, "how the call ended is not known" };
    case wire::ClaimVerdict::Unavailable:
        break;
    }
    return Problem { RefusalReason::ClaimsUnavailable, Ran::No, retryAfter,
        "the call was not sent; whether an earlier call with the key ran is not known" };
}

// The answer that the first call with the key got. A body that was too large to keep is replaced by its size.
HttpResponse answerFrom(const wire::CallOutcome& outcome)
{
    const auto status = static_cast<unsigned>(outcome.status);
    auto answer = makeResponse(status, outcome.contentType, outcome.body);
    if (outcome.omittedBodyBytes > 0) {
        const auto size = std::to_string(outcome.omittedBodyBytes);
        answer = makeResponse(status, "application/json",
            "{\"detail\":\"the call ran before and its answer is not kept\",\"omitted_body_bytes\":" + size + "}\n");
        answer.set("Idempotent-Omitted-Body-Bytes", size);
    }
    answer.set("Idempotent-Replayed", "true");
    return answer;
}

}

ClaimFilter::ClaimFilter(InstanceId instance, GatewayView& view, RpcClient& rpc, BackgroundTasks& tasks)
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
    request.mayClaimLand = !answer || answer->mayLand;
    if (!answer)
        co_return Problem { RefusalReason::ClaimsUnavailable, Ran::No, RetryAfterUnavailable,
            "the call was not sent, since no dispatcher could be reached to claim its key" };
    if (answer->verdict == wire::ClaimVerdict::Repeated)
        request.storedAnswer = answerFrom(answer->outcome);
    request.didClaim = answer->verdict == wire::ClaimVerdict::Won;
    co_return problemFrom(*answer);
}

// A claim is asked for again, under the same request id, when its answer is lost: an owner that has recorded it already
// answers that it was won.
asio::awaitable<std::optional<wire::ClaimAnswer>> ClaimFilter::claim(GatewayRequest& request)
{
    while (request.clock.now() < request.deadline) {
        wire::Payload message;
        message.__set_claim(this->messageFor(request));
        auto address = this->ownerAddress(request.workspace.name, request.call->service, request.call->idempotencyKey);
        const auto timeout = std::min<Duration>(request.deadline - request.clock.now(), AnswerTimeout);
        auto answer = co_await this->rpc.call(std::move(address), std::move(message), timeout);
        if (answer && answer.value().__isset.claimAnswer)
            co_return std::move(answer.value().claimAnswer);
        request.metrics.countRetry(RetryReason::OwnerChanged);
        co_await pause(RetryPause);
    }
    co_return std::nullopt;
}

wire::ClaimRequest ClaimFilter::messageFor(const GatewayRequest& request) const
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
    if (!request.didClaim && !request.mayClaimLand)
        return;
    wire::ClaimSettlement settlement;
    settlement.workspace = request.workspace.name;
    settlement.serviceName = request.call->service;
    settlement.key = request.call->idempotencyKey;
    settlement.requestId = request.id.value;
    settlement.notSent = !request.didClaim || (request.problem && request.problem->ran == Ran::No);
    settlement.unknown = !settlement.notSent && request.problem;
    if (!settlement.notSent && !settlement.unknown && request.storedAnswer) {
        const auto& answer = *request.storedAnswer;
        const auto type = answer[boost::beast::http::field::content_type];
        wire::CallOutcome outcome;
        outcome.status = static_cast<std::int32_t>(answer.result_int());
        outcome.contentType.assign(type.data(), type.size());
        outcome.body = answer.body();
        settlement.__set_outcome(outcome);
    }
    this->tasks.spawn(this->record(std::move(settlement)));
}

asio::awaitable<void> ClaimFilter::record(wire::ClaimSettlement settlement)
{
    for (int attempt = 1; attempt <= SettlementAttempts; ++attempt) {
        wire::Payload message;
        message.__set_settle(settlement);
        auto address = this->ownerAddress(settlement.workspace, settlement.serviceName, settlement.key);
        const auto answer = co_await this->rpc.call(std::move(address), std::move(message), AnswerTimeout);
        if (answer && answer.value().__isset.acknowledgement && answer.value().acknowledgement.accepted)
            co_return;
        co_await pause(SettlementPause * attempt);
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
