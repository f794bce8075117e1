#include "standins/EngineStandin.h"

#include <algorithm>
#include <numeric>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "standins/AnswerGenerator.h"

namespace marigoldpaddle::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusBusy = 429;
constexpr std::uint64_t DefaultMaximumTokens = 16;

std::string textOf(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? json::value_to<std::string>(*value) : std::string {};
}

std::uint64_t numberOf(const json::object& object, std::string_view key, std::uint64_t fallback)
{
    const auto* value = object.if_contains(key);
    return value && value->is_int64() && value->as_int64() >= 0 ? static_cast<std::uint64_t>(value->as_int64())
                                                                : fallback;
}

HttpResponse errorResponse(unsigned status, std::string_view error)
{
    return jsonResponse(status, json::object { { "error", error } });
}

std::string serverSentEvent(const json::value& data)
{
    return "data: " + json::serialize(data) + "\n\n";
}

Duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { seconds });
}

}

EngineStandin::EngineStandin(asio::io_context& context, EngineSettings settings)
    : context(context)
    , settings(std::move(settings))
{
}

asio::awaitable<void> EngineStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = parseRequestTarget({ request.target().data(), request.target().size() });
    const auto resource = path.segments.empty() ? std::string {} : path.segments.back();
    if (resource == "faults") {
        auto response = this->setFaults(request.body());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    while (this->faults.isFrozen)
        co_await pause(std::chrono::milliseconds { 10 });
    if (this->faults.delayMs > 0)
        co_await pause(std::chrono::milliseconds { this->faults.delayMs });
    if (resource == "completions") {
        co_await this->handleCompletion(exchange);
        co_return;
    }
    auto response = errorResponse(StatusNotFound, "no such path");
    if (resource == "reserve")
        response = this->reserve(request.body());
    else if (resource == "cancel")
        response = this->cancel(request.body());
    else if (resource == "load")
        response = this->load();
    else if (resource == "orders")
        response = this->handleOrder(request.body());
    else if (resource == "records")
        response = this->executionCounts();
    if (resource == "cancel" && this->faults.dropsCancelAnswers)
        co_return;
    co_await exchange.respond(std::move(response));
}

HttpResponse EngineStandin::makeFaultResponse(HttpFault fault)
{
    return faultResponse(fault);
}

asio::awaitable<void> EngineStandin::handleCompletion(HttpExchange& exchange)
{
    const auto body = parseObject(exchange.request().body());
    const auto id = textOf(body, "request_id");
    const auto attempt = static_cast<std::int64_t>(numberOf(body, "attempt", 1));
    const auto resumeFrom = numberOf(body, "resume_from", 0);
    auto stream = this->streams.contains(id) && !this->streams[id]->isReservation ? this->streams[id] : nullptr;
    if (body.contains("resume_from") && !stream) {
        auto response = errorResponse(StatusNotFound, "no such stream");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (id.empty() || textOf(body, "model") != this->settings.model) {
        auto response = errorResponse(StatusBadRequest, "request_id and a served model are required");
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (!stream) {
        auto prompt = textOf(body, "prompt");
        const auto promptTokens = countTokens(prompt);
        const auto maximumTokens = numberOf(body, "max_tokens", DefaultMaximumTokens);
        stream = this->startStream(id, numberOf(body, "memory_tokens", promptTokens + maximumTokens));
        if (!stream) {
            auto response = errorResponse(StatusBusy, "not enough memory");
            co_await exchange.respond(std::move(response));
            co_return;
        }
        stream->promptTokens = promptTokens;
        stream->maximumTokens = maximumTokens;
        ++this->executionsById[id];
        auto generating = this->generate(stream, std::move(prompt), numberOf(body, "parts", 1));
        asio::co_spawn(this->context, std::move(generating), asio::detached);
    }
    co_await this->streamTokens(exchange, stream, resumeFrom, attempt);
}

std::shared_ptr<EngineStandin::Stream> EngineStandin::startStream(const std::string& id, std::uint64_t memoryTokens)
{
    if (this->usedTokens() + memoryTokens > this->settings.memoryTokens)
        return nullptr;
    auto stream = std::make_shared<Stream>(this->context);
    stream->id = id;
    stream->memoryTokens = memoryTokens;
    stream->startedAt = std::chrono::steady_clock::now();
    this->streams[id] = stream;
    return stream;
}

asio::awaitable<void> EngineStandin::generate(std::shared_ptr<Stream> stream, std::string prompt, std::uint64_t parts)
{
    const auto rate = this->settings.prefillTokensPerSecond * static_cast<double>(std::max<std::uint64_t>(parts, 1));
    co_await pause(secondsOf(static_cast<double>(stream->promptTokens) / rate));
    AnswerGenerator generator { prompt };
    while (!stream->isFinished()) {
        stream->tokens.push_back(generator.nextToken());
        stream->changeSignal.cancel();
        if (!stream->isFinished())
            co_await pause(this->settings.tokenInterval);
    }
    this->release(stream->id);
}

asio::awaitable<void> EngineStandin::streamTokens(
    HttpExchange& exchange, std::shared_ptr<Stream> stream, std::uint64_t from, std::int64_t attempt)
{
    HttpResponseHeader header { http::status::ok, 11 };
    header.set(http::field::content_type, "text/event-stream");
    if (!co_await exchange.beginStream(std::move(header)))
        co_return;
    boost::system::error_code ignored;
    for (auto offset = from; offset < stream->maximumTokens; ++offset) {
        while (stream->tokens.size() <= offset && !stream->isCancelled)
            co_await stream->changeSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (stream->isCancelled || (this->faults.cutAfterTokens > 0 && offset >= this->faults.cutAfterTokens)) {
            this->faults.cutAfterTokens = 0;
            co_return;
        }
        const auto event = serverSentEvent(json::object { { "request_id", stream->id }, { "attempt", attempt },
            { "offset", offset }, { "text", stream->tokens[offset] } });
        if (!co_await exchange.write(event))
            co_return;
    }
    const auto last = serverSentEvent(json::object { { "request_id", stream->id }, { "attempt", attempt },
        { "offset", stream->maximumTokens }, { "final", true }, { "finish_reason", "length" } });
    if (co_await exchange.write(last))
        co_await exchange.endStream();
}

HttpResponse EngineStandin::reserve(std::string_view body)
{
    const auto object = parseObject(body);
    const auto id = textOf(object, "request_id");
    if (id.empty())
        return errorResponse(StatusBadRequest, "request_id is required");
    if (this->streams.contains(id))
        return jsonResponse(StatusOk, json::object { { "reserved", true } });
    auto stream = this->startStream(id, numberOf(object, "tokens", 0));
    if (!stream)
        return errorResponse(StatusBusy, "not enough memory");
    stream->isReservation = true;
    return jsonResponse(StatusOk, json::object { { "reserved", true } });
}

HttpResponse EngineStandin::cancel(std::string_view body)
{
    const auto id = textOf(parseObject(body), "request_id");
    const auto isKnown = this->streams.contains(id);
    this->release(id);
    return jsonResponse(
        StatusOk, json::object { { "cancelled", isKnown }, { "executed", this->executionsById.contains(id) } });
}

void EngineStandin::release(const std::string& id)
{
    const auto found = this->streams.find(id);
    if (found == this->streams.end())
        return;
    auto stream = found->second;
    this->streams.erase(found);
    stream->isCancelled = stream->tokens.size() < stream->maximumTokens;
    stream->changeSignal.cancel();
}

std::uint64_t EngineStandin::usedTokens() const
{
    const auto sizes = this->streams | std::views::values
        | std::views::transform([](const auto& stream) { return stream->memoryTokens; });
    return std::accumulate(sizes.begin(), sizes.end(), std::uint64_t { 0 });
}

HttpResponse EngineStandin::load() const
{
    const auto now = std::chrono::steady_clock::now();
    json::object body { { "model", this->settings.model }, { "version", this->version },
        { "memory_tokens", this->settings.memoryTokens }, { "used_tokens", this->usedTokens() },
        { "running", this->streams.size() }, { "waiting", 0 },
        { "prefill_tokens_per_second", this->settings.prefillTokensPerSecond } };
    if (!this->settings.canListAllocations)
        return jsonResponse(StatusOk, body);
    json::array allocations;
    for (const auto& [id, stream] : this->streams) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - stream->startedAt);
        allocations.push_back(
            json::object { { "request_id", id }, { "tokens", stream->memoryTokens }, { "age_ms", age.count() } });
    }
    body["allocations"] = std::move(allocations);
    return jsonResponse(StatusOk, body);
}

HttpResponse EngineStandin::handleOrder(std::string_view body)
{
    const auto object = parseObject(body);
    const auto fence = numberOf(object, "fence", 0);
    if (this->settings.checksFencing && fence < this->highestFence)
        return errorResponse(StatusConflict, "fencing number is lower than that of an executed order");
    this->highestFence = std::max(this->highestFence, fence);
    this->version = textOf(object, "version");
    return jsonResponse(StatusOk, json::object { { "version", this->version } });
}

HttpResponse EngineStandin::executionCounts() const
{
    json::object counts;
    for (const auto& [id, count] : this->executionsById)
        counts.emplace(id, count);
    return jsonResponse(StatusOk, json::object { { "executions", std::move(counts) } });
}

HttpResponse EngineStandin::setFaults(std::string_view body)
{
    const auto object = parseObject(body);
    const auto flag = [&](std::string_view key, bool& field) {
        if (const auto* value = object.if_contains(key); value && value->is_bool())
            field = value->as_bool();
    };
    flag("frozen", this->faults.isFrozen);
    flag("drops_cancel_answers", this->faults.dropsCancelAnswers);
    flag("lists_allocations", this->settings.canListAllocations);
    this->faults.cutAfterTokens = numberOf(object, "cut_after_tokens", this->faults.cutAfterTokens);
    this->faults.delayMs = numberOf(object, "delay_ms", this->faults.delayMs);
    return jsonResponse(StatusOk, json::object {});
}

}
