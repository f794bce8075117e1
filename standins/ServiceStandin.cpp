#include "standins/ServiceStandin.h"

#include <sstream>

#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

#include "platform/Names.h"

namespace marigoldpaddle::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusCreated = 201;
constexpr unsigned StatusUnavailable = 503;
constexpr std::chrono::milliseconds FrozenPollPeriod { 5 };
// Exceeds the limits of headers, and the size of a field that HTTP libraries store.
constexpr std::size_t OddFieldBytes = 70'000;

// Returns a body as one chunk, followed by a trailer with an overlong field.
std::string chunksWithTrailer(std::string_view body)
{
    std::ostringstream chunks;
    chunks << std::hex << body.size() << "\r\n"
           << body << "\r\n0\r\nX-Odd: " << std::string(OddFieldBytes, 'o') << "\r\n\r\n";
    return std::move(chunks).str();
}

std::string fieldOf(const HttpRequest& request, std::string_view name)
{
    const auto field = request.find(name);
    return field == request.end() ? std::string {} : std::string { field->value() };
}

json::object toJson(const std::map<std::string, std::uint64_t, std::less<>>& counts)
{
    json::object object;
    for (const auto& [name, count] : counts)
        object.emplace(name, count);
    return object;
}

}

ServiceStandin::ServiceStandin(std::string id)
    : id(std::move(id))
{
}

asio::awaitable<void> ServiceStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = parseRequestTarget({ request.target().data(), request.target().size() });
    const auto resource = path.segments.empty() ? std::string {} : path.segments.back();
    if (resource == "faults") {
        auto response = this->setFaults(request.body());
        co_await exchange.respond(std::move(response));
    } else if (resource == "counts") {
        auto response = this->counts();
        co_await exchange.respond(std::move(response));
    } else if (this->expectsOtherInstance(request)) {
        auto response = jsonResponse(421, json::object {});
        response.set(platform::NotExecutedHeader, "1");
        co_await exchange.respond(std::move(response));
    } else {
        co_await this->handleOrder(exchange);
    }
}

// Returning without a response closes the connection.
asio::awaitable<void> ServiceStandin::handleOrder(HttpExchange& exchange)
{
    ++this->received;
    co_await pause(std::chrono::milliseconds { this->faults.delayMs });
    co_await this->waitWhileFrozen();
    if (this->faults.isDown || consumeFault(this->faults.dropRequests))
        co_return;
    auto response = this->answerOrder(exchange.request());
    if (consumeFault(this->faults.dropAnswers))
        co_return;
    if (consumeFault(this->faults.truncateAnswers)) {
        HttpResponseHeader header { response.base() };
        header.erase(http::field::content_length);
        if (co_await exchange.beginStream(std::move(header)))
            co_await exchange.write(std::string_view { response.body() }.substr(0, response.body().size() / 2));
        co_return;
    }
    if (consumeFault(this->faults.oddTrailers)) {
        HttpResponseHeader header { response.base() };
        header.chunked(true);
        if (co_await exchange.beginStreamWithoutLength(std::move(header))
            && co_await exchange.write(chunksWithTrailer(response.body())))
            co_await exchange.endStream();
        co_return;
    }
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> ServiceStandin::waitWhileFrozen()
{
    while (this->faults.isFrozen)
        co_await pause(FrozenPollPeriod);
}

HttpResponse ServiceStandin::makeFaultResponse(HttpFault fault)
{
    return faultResponse(fault);
}

std::uint64_t ServiceStandin::receivedCount() const
{
    return this->received;
}

std::uint64_t ServiceStandin::runsOf(std::string_view request) const
{
    const auto found = this->runsByRequest.find(request);
    return found == this->runsByRequest.end() ? 0 : found->second;
}

HttpResponse ServiceStandin::answerOrder(const HttpRequest& request)
{
    if (this->faults.isDeclining) {
        auto response = jsonResponse(StatusUnavailable, json::object {});
        response.set(platform::NotExecutedHeader, "1");
        if (!this->faults.retryAfter.empty())
            response.set(http::field::retry_after, this->faults.retryAfter);
        this->addPlatformHeaders(response, request);
        return response;
    }
    const auto isOrder = request.method() == http::verb::post;
    auto response = isOrder ? this->createOrder(request)
                            : jsonResponse(StatusOk, json::object { { "orders", this->orders.size() } });
    this->addPlatformHeaders(response, request);
    return response;
}

HttpResponse ServiceStandin::createOrder(const HttpRequest& request)
{
    ++this->runsByKey[fieldOf(request, "Idempotency-Key")];
    const auto attempt = fieldOf(request, platform::AttemptIdHeader);
    ++this->runsByRequest[attempt.empty() ? fieldOf(request, "X-Request-Id") : attempt];
    this->orders.push_back(request.body());
    return jsonResponse(StatusCreated, json::object { { "order", this->orders.size() }, { "state", "booked" } });
}

bool ServiceStandin::expectsOtherInstance(const HttpRequest& request) const
{
    const auto expected = fieldOf(request, platform::ExpectInstanceHeader);
    return !expected.empty() && expected != this->id;
}

void ServiceStandin::addPlatformHeaders(HttpResponse& response, const HttpRequest& request) const
{
    if (this->faults.isLeaving)
        response.set(platform::LeavingHeader, "1");
    if (!this->faults.requestLimit.empty())
        response.set(platform::LimitHeader, this->faults.requestLimit);
    const auto attempt = fieldOf(request, platform::AttemptIdHeader);
    if (attempt.empty())
        return;
    response.set(platform::AttemptIdHeader, attempt);
    response.set(platform::SealHeader, this->id);
}

HttpResponse ServiceStandin::counts() const
{
    return jsonResponse(StatusOk,
        json::object { { "received", this->received }, { "orders", this->orders.size() },
            { "by_key", toJson(this->runsByKey) }, { "by_request", toJson(this->runsByRequest) } });
}

HttpResponse ServiceStandin::setFaults(std::string_view body)
{
    const auto object = parseObject(body);
    readField(object, "delay_ms", this->faults.delayMs);
    readField(object, "drop_answers", this->faults.dropAnswers);
    readField(object, "drop_requests", this->faults.dropRequests);
    readField(object, "truncate_answers", this->faults.truncateAnswers);
    readField(object, "odd_trailers", this->faults.oddTrailers);
    readField(object, "frozen", this->faults.isFrozen);
    readField(object, "leaving", this->faults.isLeaving);
    readField(object, "declining", this->faults.isDeclining);
    readField(object, "retry_after", this->faults.retryAfter);
    readField(object, "limit", this->faults.requestLimit);
    readField(object, "down", this->faults.isDown);
    return jsonResponse(StatusOk, json::object {});
}

}
