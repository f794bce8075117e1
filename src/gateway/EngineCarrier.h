#pragma once

#include <optional>

#include "base/HttpClient.h"
#include "gateway/BackgroundTasks.h"
#include "gateway/EngineStream.h"
#include "gateway/GatewayRequest.h"

namespace marigoldpaddle {

// Carries prompts to model engines and their tokens back to the callers.
class EngineCarrier final : public Carrier {
public:
    // Everything passed by reference must outlive the carrier.
    EngineCarrier(HttpClient& client, BackgroundTasks& tasks);

    boost::asio::awaitable<RequestEvent> reserve(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> send(GatewayRequest& request, unsigned attempt) override;
    boost::asio::awaitable<void> resume(GatewayRequest& request, ResumeStream command) override;
    void cancel(GatewayRequest& request, const CancelAttempt& command) override;

private:
    boost::asio::awaitable<void> take(GatewayRequest& request, unsigned attempt, HttpResult<HttpCall> started);
    boost::asio::awaitable<void> relay(GatewayRequest& request, unsigned attempt, HttpCall call);
    boost::asio::awaitable<void> cancelAt(std::string address, std::string body, GatewayMetrics& metrics);
    boost::asio::awaitable<void> readRest(HttpCall call, GatewayMetrics& metrics);

    HttpClient& client;
    BackgroundTasks& tasks;
};

}
