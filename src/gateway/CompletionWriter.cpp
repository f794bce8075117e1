#include "gateway/CompletionWriter.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned StatusOk = 200;
constexpr std::string_view RequestIdField = "X-Request-Id";

}

CompletionWriter::CompletionWriter(HttpExchange& exchange, const CompletionRequest& request, const RequestId& id)
    : exchange(exchange)
    , request(request)
    , id(id)
    , eventWriter(request, id.value)
{
}

void CompletionWriter::append(std::string_view text)
{
    if (this->request.isStreamed)
        this->eventWriter.append(this->pending, text);
    else
        this->pending += text;
}

asio::awaitable<bool> CompletionWriter::flush()
{
    if (!this->request.isStreamed || this->pending.empty())
        co_return true;
    if (!this->didBegin && !co_await this->beginStream())
        co_return false;
    const auto sent = co_await this->exchange.write(this->pending);
    this->pending.clear();
    co_return sent;
}

asio::awaitable<bool> CompletionWriter::finish(std::uint64_t tokens)
{
    if (!this->request.isStreamed) {
        auto body = completionBody(this->request, this->id.value, this->pending, tokens);
        auto response = makeResponse(StatusOk, "application/json", std::move(body));
        response.set(RequestIdField, this->id.value);
        co_return co_await this->exchange.respond(std::move(response));
    }
    this->pending += finalCompletionEvent(this->request, this->id.value);
    if (!co_await this->flush())
        co_return false;
    co_return co_await this->exchange.endStream();
}

asio::awaitable<bool> CompletionWriter::refuse(Problem problem)
{
    if (!this->didBegin) {
        auto response = problemResponse(problem);
        response.set(RequestIdField, this->id.value);
        co_return co_await this->exchange.respond(std::move(response));
    }
    const auto event = "data: {\"error\":" + problemJson(problem) + "}\n\n";
    if (!co_await this->exchange.write(event))
        co_return false;
    co_return co_await this->exchange.endStream();
}

asio::awaitable<bool> CompletionWriter::beginStream()
{
    HttpResponseHeader header { http::status::ok, 11 };
    header.set(http::field::content_type, "text/event-stream");
    header.set(http::field::cache_control, "no-store");
    header.set(RequestIdField, this->id.value);
    this->didBegin = true;
    co_return co_await this->exchange.beginStream(std::move(header));
}

}
