#include "gateway/ServiceForwarder.h"

#include <algorithm>

#include "gateway/AttemptWriteGate.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Header fields that are not forwarded in either direction: hop-by-hop fields and the caller's credentials.
constexpr http::field UnforwardedFields[] = { http::field::authorization, http::field::connection,
    http::field::keep_alive, http::field::te, http::field::trailer, http::field::transfer_encoding,
    http::field::upgrade, http::field::proxy_authorization, http::field::proxy_authenticate };

HttpRequest makeServiceRequest(const GatewayRequest& request)
{
    auto message = request.exchange.request();
    message.target(request.call->path);
    for (const auto field : UnforwardedFields)
        message.erase(field);
    message.set("X-Request-Id", request.id.value);
    message.prepare_payload();
    return message;
}

HttpResponse responseFrom(const HttpResponseHeader& header, std::string body)
{
    HttpResponse answer { header.base() };
    for (const auto field : UnforwardedFields)
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

ServiceForwarder::ServiceForwarder(HttpClient& client)
    : client(client)
{
}

asio::awaitable<RequestEvent> ServiceForwarder::reserve(GatewayRequest&, unsigned attempt)
{
    co_return PartsReserved { attempt };
}

asio::awaitable<void> ServiceForwarder::send(GatewayRequest& request, unsigned attempt)
{
    const auto target = request.lifecycle().placement().front().target;
    AttemptWriteGate gate { request, attempt };
    auto message = makeServiceRequest(request);
    auto started = co_await this->client.start(
        request.targetAddresses[target], std::move(message), remaining(request), ConnectionReuse::Forbidden, &gate);
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
    request.storedResponse = responseFrom(call.header(), std::move(body).value());
    request.handle(AnswerArrived { attempt });
}

asio::awaitable<void> ServiceForwarder::resume(GatewayRequest& request, ResumeStream command)
{
    request.handle(StreamBroken { command.attempt, false });
    co_return;
}

// Plain services have no cancel operation. An abandoned call is only noticeable to them by its closed connection.
void ServiceForwarder::cancel(GatewayRequest&, const CancelAttempt&) { }

}
