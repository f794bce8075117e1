#pragma once

#include <optional>

#include "base/HttpClient.h"
#include "gateway/BackgroundTasks.h"
#include "gateway/EngineStream.h"
#include "gateway/GatewayRequest.h"

namespace marigoldpaddle {

// Forwards prompts to model engines and relays the generated tokens to the callers.
class EngineForwarder final : public RequestForwarder {
public:
    // Everything passed by reference must outlive the forwarder.
    EngineForwarder(HttpClient& client, BackgroundTasks& tasks);

    boost::asio::awaitable<RequestEvent> reserve(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> send(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> resume(GatewayRequest& request, ResumeStream command) override;
    void cancel(GatewayRequest& request, const CancelAttempt& command) override;

private:
    boost::asio::awaitable<void> handleResponse(
        GatewayRequest& request, unsigned attempt, HttpResult<HttpCall> started);
    boost::asio::awaitable<void> relayStream(GatewayRequest& request, unsigned attempt, HttpCall call);
    boost::asio::awaitable<void> cancelOnTarget(std::string address, std::string body, GatewayMetrics& metrics);
    boost::asio::awaitable<void> drainResponse(HttpCall call, GatewayMetrics& metrics);

    HttpClient& client;
    BackgroundTasks& tasks;
};

}
