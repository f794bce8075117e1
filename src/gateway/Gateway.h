#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/RetryPolicy.h>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "gateway/BackgroundTasks.h"
#include "gateway/CellChooser.h"
#include "gateway/CellPlacer.h"
#include "gateway/ClaimFilter.h"
#include "gateway/EngineCarrier.h"
#include "gateway/Filter.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/GatewayView.h"
#include "gateway/Holdings.h"
#include "gateway/ServiceCarrier.h"
#include "gateway/ServicePlacer.h"

namespace marigoldpaddle {

// The caller-facing process: takes requests through its filters, from the caller's bytes to the target's and back.
class Gateway final : public HttpHandler {
public:
    // Everything that is passed by reference must outlive the gateway.
    Gateway(boost::asio::io_context& context, const Clock& clock, GatewaySettings settings, GatewayView& view,
        RpcClient& rpc, HttpClient& client, MetricsRegistry& metrics);
    ~Gateway() override;

    // Starts to announce what the gateway holds.
    void start();

    // Fails /readyz from now on; requests are served until the listener is closed.
    void beginPlannedStop();

    // Returns when the cancels, notices and settlements of ended requests are done.
    boost::asio::awaitable<void> finishBackgroundTasks();

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

private:
    boost::asio::awaitable<void> serve(GatewayRequest& request);
    boost::asio::awaitable<std::optional<Problem>> takeIn(GatewayRequest& request);
    boost::asio::awaitable<void> carryThrough(GatewayRequest& request);
    boost::asio::awaitable<void> run(GatewayRequest& request);
    boost::asio::awaitable<void> watchDeadline(GatewayRequest& request);
    boost::asio::awaitable<void> watchCaller(GatewayRequest& request);
    boost::asio::awaitable<void> settle(GatewayRequest& request);
    boost::asio::awaitable<void> refuse(GatewayRequest& request);
    HttpResponse operatorAnswer(std::string_view target);
    bool isReady() const;
    RequestId nextRequestId();

    boost::asio::io_context& context;
    const Clock& clock;
    GatewaySettings settings;
    GatewayView& view;
    MetricsRegistry& registry;
    GatewayMetrics metrics;
    std::mt19937_64 random;
    RetryPolicy retries;
    BackgroundTasks tasks;
    Holdings holdings;
    CellChooser chooser;
    CellPlacer cellPlacer;
    EngineCarrier engineCarrier;
    ServicePlacer servicePlacer;
    ServiceCarrier serviceCarrier;
    ClaimFilter claims;
    std::vector<std::unique_ptr<Filter>> intake;
    std::vector<std::unique_ptr<Filter>> passage;
    std::uint64_t lastRequest { 0 };
    bool isStopping { false };
};

}
