#include "gateway/ServiceCarrier.h"

#include <algorithm>

#include "gateway/SendPermit.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Fields that concern one connection only, and those that are the system's own business.
constexpr http::field PrivateFields[] = { http::field::authorization, http::field::connection, http::field::keep_alive,
    http::field::te, http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
    http::field::proxy_authorization, http::field::proxy_authenticate };

HttpRequest messageFor(const GatewayRequest& request)
{
    auto message = request.exchange.request();
    message.target(request.call->path);
    for (const auto field : PrivateFields)
        message.erase(field);
    message.set("X-Request-Id", request.id.value);
    message.prepare_payload();
    return message;
}

HttpResponse answerFrom(const HttpResponseHeader& header, std::string body)
{
    HttpResponse answer { header.base() };
    for (const auto field : PrivateFields)
        answer.erase(field);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

Duration remaining(const GatewayRequest& request)
{
    return std::max(request.deadline - request.clock.now(), Duration::zero());
}

}

ServiceCarrier::ServiceCarrier(HttpClient& client)
    : client(client)
{
}

asio::awaitable<RequestEvent> ServiceCarrier::reserve(GatewayRequest&, unsigned attempt)
{
    co_return PartsReserved { attempt };
}

asio::awaitable<void> ServiceCarrier::send(GatewayRequest& request, unsigned attempt)
{
    const auto target = request.lifecycle().placement().front().target;
    SendPermit permit { request, attempt };
    auto message = messageFor(request);
    auto started = co_await this->client.start(
        request.addresses[target], std::move(message), remaining(request), ConnectionReuse::Forbidden, &permit);
    if (!started && started.error() == HttpError::ConnectFailed) {
        request.handle(TargetUnreachable { attempt, target });
        co_return;
    }
    if (!started) {
        request.handle(StreamBroken { attempt, false });
        co_return;
    }
    auto call = std::move(started).value();
    auto body = co_await call.readAll(remaining(request));
    if (!body) {
        request.handle(StreamBroken { attempt, false });
        co_return;
    }
    request.storedAnswer = answerFrom(call.header(), std::move(body).value());
    request.handle(AnswerArrived { attempt });
}

asio::awaitable<void> ServiceCarrier::resume(GatewayRequest& request, ResumeStream command)
{
    request.handle(StreamBroken { command.attempt, false });
    co_return;
}

// Closing the connection is all that a plain service can be told.
void ServiceCarrier::cancel(GatewayRequest&, const CancelAttempt&) { }

}
