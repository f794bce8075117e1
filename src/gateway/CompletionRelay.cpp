#include "gateway/CompletionRelay.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

#include "gateway/Gateway.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr std::chrono::milliseconds CancelTimeout { 1000 };
constexpr std::chrono::seconds RetryAfter { 1 };
constexpr int MaximumOwnerLookups = 5;
constexpr std::chrono::milliseconds OwnerLookupPause { 250 };

}

CompletionRelay::CompletionRelay(Dependencies dependencies, HttpExchange& exchange, CompletionRequest request,
    RequestId id, const WorkspaceSettings& workspace, TimePoint deadline)
    : dependencies(dependencies)
    , exchange(exchange)
    , request(std::move(request))
    , id(std::move(id))
    , workspace(workspace)
    , deadline(deadline)
    , startedAt(dependencies.clock.now())
{
}

asio::awaitable<std::optional<Problem>> CompletionRelay::run()
{
    auto problem = co_await this->acquire();
    if (problem)
        co_return problem;
    problem = co_await this->reserveSpan();
    if (problem)
        co_return problem;
    co_return co_await this->relay();
}

bool CompletionRelay::didStart() const
{
    return this->isStreaming;
}

asio::awaitable<std::optional<Problem>> CompletionRelay::acquire()
{
    for (int lookup = 0; lookup < MaximumOwnerLookups; ++lookup) {
        const auto* chosen = this->chooseCell();
        if (!chosen)
            co_return Problem { RefusalReason::NoTarget, Ran::No, RetryAfter, "no live target serves this model" };
        this->cell = *chosen;
        this->isAcquiring = true;
        wire::Payload payload;
        payload.__set_acquire(this->acquireRequest(*chosen));
        auto address = this->dependencies.view.dispatcherAddressOf(chosen->owner);
        auto answer = co_await this->dependencies.rpc.call(std::move(address), std::move(payload), this->remaining());
        this->isAcquiring = false;
        if (!answer || !answer.value().__isset.acquireAnswer || answer.value().acquireAnswer.moved) {
            const auto label = "reason=\"" + std::string { name(RetryReason::OwnerChanged) } + "\"";
            this->dependencies.metrics.counter("marigold_gateway_retries_total", label).increment();
            co_await this->waitForNewView();
            continue;
        }
        const auto& acquired = answer.value().acquireAnswer;
        if (acquired.__isset.grant) {
            this->grant = acquired.grant;
            co_return std::nullopt;
        }
        const auto reason = std::ranges::find(
            AllRefusalReasons, acquired.refusal.reason, [](RefusalReason each) { return name(each); });
        co_return Problem { reason == AllRefusalReasons.end() ? RefusalReason::Overloaded : *reason, Ran::No,
            std::chrono::milliseconds { acquired.refusal.retryAfterMs }, {} };
    }
    co_return Problem { RefusalReason::NoOwner, Ran::No, RetryAfter, "no dispatcher for this model could be reached" };
}

asio::awaitable<void> CompletionRelay::waitForNewView()
{
    asio::steady_timer timer { co_await asio::this_coro::executor, OwnerLookupPause };
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

const CellView* CompletionRelay::chooseCell() const
{
    const auto& cells = this->dependencies.view.cells();
    const auto serves = [&](const CellView& each) {
        return each.digest.cell.model == this->request.model;
    };
    const auto isOwnZone = [&](const CellView& each) {
        return serves(each) && each.digest.cell.availabilityZone == this->dependencies.settings.availabilityZone;
    };
    auto found = std::ranges::find_if(cells, isOwnZone);
    if (found == cells.end())
        found = std::ranges::find_if(cells, serves);
    return found == cells.end() ? nullptr : &*found;
}

wire::AcquireRequest CompletionRelay::acquireRequest(const CellView& chosen) const
{
    wire::AcquireRequest message;
    message.requestId = this->id.value;
    message.owner = toWire(this->dependencies.settings.instance);
    message.cell = toWire(chosen.digest.cell);
    message.workspace = this->workspace.name;
    message.workspaceWeight = this->workspace.weight;
    message.promptTokens = static_cast<std::int64_t>(this->request.promptTokens);
    message.maximumOutputTokens = static_cast<std::int64_t>(this->request.maximumTokens);
    message.remainingMs = remainingMs(this->deadline, this->dependencies.clock.now());
    return message;
}

asio::awaitable<std::optional<Problem>> CompletionRelay::reserveSpan()
{
    for (const auto& part : this->grant->parts | std::views::drop(1)) {
        const auto body = json::serialize(json::object { { "request_id", this->id.value }, { "tokens", part.tokens } });
        auto reservation = makeRequest(http::verb::post, "/v1/reserve", body);
        auto answer = co_await this->dependencies.client.call(part.address, std::move(reservation), this->remaining());
        if (!answer || answer.value().result_int() != StatusOk)
            co_return Problem { RefusalReason::TargetFailed, Ran::No, RetryAfter,
                "a target of the span was not available" };
    }
    co_return std::nullopt;
}

std::string CompletionRelay::engineBody() const
{
    const auto& parts = this->grant->parts;
    json::object body { { "model", this->request.model }, { "prompt", this->request.prompt },
        { "max_tokens", this->request.maximumTokens }, { "stream", true }, { "request_id", this->id.value },
        { "attempt", 1 }, { "priority", this->grant->priority } };
    if (parts.size() > 1) {
        body["memory_tokens"] = parts.front().tokens;
        body["parts"] = parts.size();
    }
    return json::serialize(body);
}

asio::awaitable<std::optional<Problem>> CompletionRelay::relay()
{
    auto message = makeRequest(http::verb::post, "/v1/completions", this->engineBody());
    this->didSend = true;
    const auto address = this->grant->parts.front().address;
    auto call = co_await this->dependencies.client.start(address, std::move(message), this->remaining());
    if (!call)
        co_return Problem { RefusalReason::TargetFailed,
            call.error() == HttpError::ConnectFailed ? Ran::No : Ran::Unknown, RetryAfter, {} };
    if (call.value().header().result_int() != StatusOk)
        co_return Problem { RefusalReason::TargetFailed, Ran::No, RetryAfter, "the target turned the request away" };
    EngineStreamParser parser;
    while (!this->isComplete) {
        auto piece = co_await call.value().readSome(this->remaining());
        if (!piece || piece.value().empty())
            co_return Problem { RefusalReason::TargetFailed, Ran::Unknown, RetryAfter, "the answer broke off" };
        for (const auto& chunk : parser.feed(piece.value())) {
            if (!co_await this->deliver(chunk))
                co_return Problem { RefusalReason::CallerGone, Ran::Unknown, {}, {} };
        }
    }
    const auto rest = co_await call.value().readAll(CancelTimeout);
    if (!rest)
        this->dependencies.metrics.counter("marigold_gateway_answers_not_closed_total").increment();
    if (!co_await this->finish())
        co_return Problem { RefusalReason::CallerGone, Ran::Unknown, {}, {} };
    co_return std::nullopt;
}

asio::awaitable<bool> CompletionRelay::deliver(const EngineChunk& chunk)
{
    if (chunk.requestId != this->id.value || chunk.offset != this->delivered) {
        this->dependencies.metrics.counter("marigold_gateway_chunks_dropped_total").increment();
        co_return true;
    }
    if (chunk.isFinal) {
        this->isComplete = true;
        co_return true;
    }
    ++this->delivered;
    if (this->delivered == 1) {
        const auto elapsed = this->dependencies.clock.now() - this->startedAt;
        this->dependencies.metrics.histogram("marigold_time_to_first_token_seconds").record(elapsed);
        co_await this->notifyOwner(true, false, false);
    }
    if (!this->request.isStreamed) {
        this->text += chunk.text;
        co_return true;
    }
    if (!this->isStreaming) {
        HttpResponseHeader header { http::status::ok, 11 };
        header.set(http::field::content_type, "text/event-stream");
        header.set("X-Request-Id", this->id.value);
        this->isStreaming = true;
        if (!co_await this->exchange.beginStream(std::move(header)))
            co_return false;
    }
    const auto event = completionEvent(this->request, this->id.value, chunk.text);
    co_return co_await this->exchange.write(event);
}

asio::awaitable<bool> CompletionRelay::finish()
{
    if (this->isStreaming) {
        const auto event = finalCompletionEvent(this->request, this->id.value);
        if (!co_await this->exchange.write(event))
            co_return false;
        co_return co_await this->exchange.endStream();
    }
    auto response = makeResponse(
        StatusOk, "application/json", wholeCompletion(this->request, this->id.value, this->text, this->delivered));
    response.set("X-Request-Id", this->id.value);
    co_return co_await this->exchange.respond(std::move(response));
}

asio::awaitable<void> CompletionRelay::cleanUp()
{
    if (this->isAcquiring)
        co_await this->notifyOwner(false, false, true);
    if (!this->grant)
        co_return;
    const auto body = json::serialize(json::object { { "request_id", this->id.value } });
    for (const auto& [index, part] : std::views::iota(std::size_t { 0 }, this->grant->parts.size())
            | std::views::transform([&](std::size_t each) { return std::pair { each, this->grant->parts[each] }; })) {
        if (index == 0 && (this->isComplete || !this->didSend))
            continue;
        auto cancel = makeRequest(http::verb::post, "/v1/cancel", body);
        auto answer = co_await this->dependencies.client.call(part.address, std::move(cancel), CancelTimeout);
        if (!answer)
            this->dependencies.metrics.counter("marigold_gateway_cancel_failures_total").increment();
    }
    co_await this->notifyOwner(false, true, false);
}

asio::awaitable<void> CompletionRelay::notifyOwner(bool firstToken, bool finished, bool withdrawn)
{
    wire::ProgressNotice notice;
    notice.requestId = this->id.value;
    notice.cell = toWire(this->cell->digest.cell);
    notice.firstToken = firstToken;
    notice.finished = finished;
    notice.withdrawn = withdrawn;
    notice.outputTokens = static_cast<std::int64_t>(this->delivered);
    wire::Payload payload;
    payload.__set_progress(notice);
    auto address = this->dependencies.view.dispatcherAddressOf(this->cell->owner);
    auto sent = co_await this->dependencies.rpc.notify(std::move(address), std::move(payload));
    if (!sent)
        this->dependencies.metrics.counter("marigold_gateway_notices_lost_total").increment();
}

Duration CompletionRelay::remaining() const
{
    return std::max(this->deadline - this->dependencies.clock.now(), Duration::zero());
}

}
