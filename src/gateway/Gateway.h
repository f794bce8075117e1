#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "base/Metrics.h"
#include "gateway/CompletionRequest.h"
#include "gateway/GatewayView.h"
#include "gateway/Problem.h"

namespace marigoldpaddle {

// The caller-facing process: authenticates, admits, obtains a grant, streams from the target to the caller.
class Gateway final : public HttpHandler {
public:
    // Everything that is passed by reference must outlive the gateway.
    Gateway(boost::asio::io_context& context, const Clock& clock, GatewaySettings settings, GatewayView& view,
        RpcClient& rpc, HttpClient& client, MetricsRegistry& metrics);

    // Fails /readyz from now on; requests are served until the listener is closed.
    void beginPlannedStop();

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

private:
    struct Admission;
    boost::asio::awaitable<void> handleCompletion(HttpExchange& exchange, bool isChat);
    boost::asio::awaitable<void> handleService(HttpExchange& exchange);
    boost::asio::awaitable<void> refuse(HttpExchange& exchange, Problem problem);
    std::optional<Problem> admit(const HttpRequest& request, Admission& admission) const;
    HttpResponse healthAnswer(std::string_view target);
    RequestId nextRequestId();

    boost::asio::io_context& context;
    const Clock& clock;
    GatewaySettings settings;
    GatewayView& view;
    RpcClient& rpc;
    HttpClient& client;
    MetricsRegistry& metrics;
    std::uint64_t lastRequest { 0 };
    bool isStopping { false };
};

}
