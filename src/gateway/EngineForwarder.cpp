#include "gateway/EngineForwarder.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

#include "gateway/AttemptWriteGate.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned FirstServerError = 500;
constexpr unsigned StatusUnavailable = 503;
constexpr std::chrono::seconds ResumeTimeout { 2 };
constexpr std::chrono::seconds ReserveTimeout { 2 };
constexpr std::chrono::seconds CancelTimeout { 1 };
constexpr std::chrono::milliseconds CancelRetryDelay { 200 };
constexpr int CancelAttempts = 8;
constexpr std::chrono::seconds DrainTimeout { 1 };
constexpr std::chrono::seconds MaximumTokenGap { 5 };
constexpr std::uint64_t MinimumPrefillTokensPerSecond = 1000;

std::string engineRequestId(const GatewayRequest& request)
{
    return request.attemptId(request.placement.attempt).value;
}

json::object commonBody(const GatewayRequest& request, unsigned attempt)
{
    const auto& completion = *request.completion;
    return { { "model", completion.model }, { "stream", true }, { "request_id", engineRequestId(request) },
        { "attempt", attempt }, { "priority", request.placement.priority } };
}

std::string promptBody(const GatewayRequest& request, unsigned attempt)
{
    const auto& parts = request.lifecycle().placement();
    auto body = commonBody(request, attempt);
    body["prompt"] = request.completion->prompt + request.deliveredText;
    body["max_tokens"] = request.completion->maximumTokens - request.lifecycle().deliveredTokens();
    if (parts.size() > 1) {
        body["memory_tokens"] = parts.front().tokens;
        body["parts"] = parts.size();
    }
    return json::serialize(body);
}

std::string resumeBody(const GatewayRequest& request, const ResumeStream& command)
{
    auto body = commonBody(request, command.attempt);
    body["resume_from"] = command.offset - request.placement.baseOffset;
    return json::serialize(body);
}

std::string requestIdBody(std::string_view id)
{
    return json::serialize(json::object { { "request_id", id } });
}

Duration remaining(const GatewayRequest& request)
{
    return std::max(request.deadline - request.clock.now(), Duration::zero());
}

// Returns the time without response bytes after which the stream counts as broken. Before the first token, the time to
// prefill the prompt at the minimum rate is added to the maximum gap between tokens.
Duration readTimeout(const GatewayRequest& request)
{
    const auto isPrefilling = request.lifecycle().deliveredTokens() == request.placement.baseOffset;
    const std::chrono::seconds prefill { isPrefilling ? request.completion->promptTokens / MinimumPrefillTokensPerSecond
                                                      : 0 };
    return std::min<Duration>(remaining(request), MaximumTokenGap + prefill);
}

bool isDeclined(unsigned status)
{
    return status != StatusOk && (status < FirstServerError || status == StatusUnavailable);
}

asio::awaitable<void> sleepFor(Duration time)
{
    asio::steady_timer timer { co_await asio::this_coro::executor, time };
    co_await timer.async_wait(asio::use_awaitable);
}

}

EngineForwarder::EngineForwarder(HttpClient& client, BackgroundTasks& tasks)
    : client(client)
    , tasks(tasks)
{
}

asio::awaitable<RequestEvent> EngineForwarder::reserve(GatewayRequest& request, unsigned attempt)
{
    const auto parts = request.lifecycle().placement();
    for (const auto& part : parts | std::views::drop(1)) {
        const auto body
            = json::serialize(json::object { { "request_id", engineRequestId(request) }, { "tokens", part.tokens } });
        auto message = makeRequest(http::verb::post, "/v1/reserve", body);
        const auto timeout = std::min<Duration>(remaining(request), ReserveTimeout);
        auto answer = co_await this->client.call(request.targetAddresses[part.target], std::move(message), timeout);
        if (!answer)
            co_return TargetUnreachable { attempt, part.target };
        if (answer.value().result_int() != StatusOk)
            co_return TargetDeclined { attempt, part.target };
    }
    co_return PartsReserved { attempt };
}

asio::awaitable<void> EngineForwarder::send(GatewayRequest& request, unsigned attempt)
{
    const auto target = request.lifecycle().placement().front().target;
    request.placement.baseOffset = request.lifecycle().deliveredTokens();
    auto message = makeRequest(http::verb::post, "/v1/completions", promptBody(request, attempt));
    AttemptWriteGate gate { request, attempt };
    auto started = co_await this->client.start(
        request.targetAddresses[target], std::move(message), readTimeout(request), ConnectionReuse::Allowed, &gate);
    co_await this->handleResponse(request, attempt, std::move(started));
}

asio::awaitable<void> EngineForwarder::resume(GatewayRequest& request, ResumeStream command)
{
    co_await sleepFor(command.delay);
    auto message = makeRequest(http::verb::post, "/v1/completions", resumeBody(request, command));
    const auto timeout = std::min<Duration>(remaining(request), ResumeTimeout);
    auto started = co_await this->client.start(request.targetAddresses[command.target], std::move(message), timeout);
    co_await this->handleResponse(request, command.attempt, std::move(started));
}

asio::awaitable<void> EngineForwarder::handleResponse(
    GatewayRequest& request, unsigned attempt, HttpResult<HttpCall> started)
{
    if (request.lifecycle().attempt() != attempt || request.isOver())
        co_return;
    const auto target = request.lifecycle().placement().front().target;
    if (!started) {
        if (started.error() == HttpError::ConnectFailed)
            request.handle(TargetUnreachable { attempt, target });
        else
            request.handle(StreamBroken { attempt, true });
        co_return;
    }
    const auto status = started.value().header().result_int();
    if (status == StatusOk) {
        co_await this->relayStream(request, attempt, std::move(started).value());
        co_return;
    }
    const auto isResuming = request.lifecycle().state() == RequestState::Resuming;
    if (isResuming && status == StatusNotFound)
        request.handle(StreamBroken { attempt, false });
    else if (isDeclined(status))
        request.handle(TargetDeclined { attempt, target });
    else
        request.handle(StreamBroken { attempt, false });
}

asio::awaitable<void> EngineForwarder::relayStream(GatewayRequest& request, unsigned attempt, HttpCall call)
{
    const auto expectedId = engineRequestId(request);
    EngineStreamParser parser;
    auto lastTokenAt = request.clock.now();
    while (request.lifecycle().attempt() == attempt && !request.isOver()) {
        auto piece = co_await call.readSome(readTimeout(request));
        if (!piece || piece.value().empty()) {
            request.handle(StreamBroken { attempt, true });
            co_return;
        }
        for (const auto& chunk : parser.feed(piece.value())) {
            const auto deliveredBefore = request.lifecycle().deliveredTokens();
            request.handle(ChunkArrived { chunk.requestId == expectedId ? request.id : RequestId { chunk.requestId },
                static_cast<unsigned>(chunk.attempt), request.placement.baseOffset + chunk.offset,
                chunk.isFinal ? 0u : 1u, chunk.isFinal });
            if (!request.shouldDeliverChunk() || chunk.isFinal)
                continue;
            const auto now = request.clock.now();
            if (deliveredBefore == 0) {
                request.metrics.recordFirstToken(request.promptClass, now - request.receivedAt);
                request.placer->reportFirstToken(request);
            } else {
                request.metrics.tokenGap.record(now - lastTokenAt);
            }
            lastTokenAt = now;
            request.metrics.relayedTokens.increment();
            request.deliveredText += chunk.text;
            request.completionWriter->append(chunk.text);
        }
        if (!request.isComplete() && !co_await request.completionWriter->flush()) {
            request.handle(CallerDisconnected {});
            co_return;
        }
    }
    if (request.isComplete())
        this->tasks.spawn(this->drainResponse(std::move(call), request.metrics));
}

void EngineForwarder::cancel(GatewayRequest& request, const CancelAttempt& command)
{
    for (const auto& part : command.parts)
        this->tasks.spawn(this->cancelOnTarget(
            request.targetAddresses[part.target], requestIdBody(engineRequestId(request)), request.metrics));
}

// Cancelling is idempotent, so it is retried with increasing delays until the engine confirms it, up to CancelAttempts
// times.
asio::awaitable<void> EngineForwarder::cancelOnTarget(std::string address, std::string body, GatewayMetrics& metrics)
{
    for (int attempt = 1; attempt <= CancelAttempts; ++attempt) {
        auto message = makeRequest(http::verb::post, "/v1/cancel", body);
        auto answer = co_await this->client.call(address, std::move(message), CancelTimeout);
        if (answer && answer.value().result_int() == StatusOk)
            co_return;
        co_await sleepFor(CancelRetryDelay * attempt);
    }
    metrics.failedCancels.increment();
}

// Reads the remaining bytes of a response whose tokens are complete, so that its connection can be reused.
asio::awaitable<void> EngineForwarder::drainResponse(HttpCall call, GatewayMetrics& metrics)
{
    const auto rest = co_await call.readAll(DrainTimeout);
    if (!rest)
        metrics.closedConnections.increment();
}

}
