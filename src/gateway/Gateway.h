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
#include "gateway/CellPlacer.h"
#include "gateway/CellSelector.h"
#include "gateway/ClaimFilter.h"
#include "gateway/ClusterView.h"
#include "gateway/EngineForwarder.h"
#include "gateway/Filter.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/HeldPlacements.h"
#include "gateway/ServiceForwarder.h"
#include "gateway/ServicePlacer.h"

namespace marigoldpaddle {

// HTTP handler of the gateway process: passes each caller request through the filters, forwards it to a target, and
// sends the response back. Also serves /healthz, /readyz and /metrics.
class Gateway final : public HttpHandler {
public:
    // Everything passed by reference must outlive the gateway.
    Gateway(boost::asio::io_context& context, const Clock& clock, GatewaySettings settings, ClusterView& view,
        RpcClient& rpc, HttpClient& client, MetricsRegistry& metrics);
    ~Gateway() override;

    // Starts announcing the held placements to the cell owners.
    void start();

    // Starts a graceful shutdown: /readyz fails from now on, while requests are served until the listener is closed.
    void beginGracefulShutdown();

    // Returns once the cancellations, notices and claim settlements of ended requests are done.
    boost::asio::awaitable<void> finishBackgroundTasks();

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse makeFaultResponse(HttpFault fault) override;

private:
    boost::asio::awaitable<void> serve(GatewayRequest& request);
    boost::asio::awaitable<std::optional<Problem>> admit(GatewayRequest& request);
    boost::asio::awaitable<void> forward(GatewayRequest& request);
    boost::asio::awaitable<void> runFilters(GatewayRequest& request);
    boost::asio::awaitable<void> watchDeadline(GatewayRequest& request);
    boost::asio::awaitable<void> watchCallerConnection(GatewayRequest& request);
    boost::asio::awaitable<void> respond(GatewayRequest& request);
    boost::asio::awaitable<void> sendProblem(GatewayRequest& request);
    HttpResponse operatorResponse(std::string_view target);
    bool isReady() const;
    RequestId nextRequestId();

    boost::asio::io_context& context;
    const Clock& clock;
    GatewaySettings settings;
    ClusterView& view;
    MetricsRegistry& registry;
    GatewayMetrics metrics;
    std::mt19937_64 random;
    RetryPolicy retryPolicy;
    BackgroundTasks tasks;
    HeldPlacements heldPlacements;
    CellSelector cellSelector;
    CellPlacer cellPlacer;
    EngineForwarder engineForwarder;
    ServicePlacer servicePlacer;
    ServiceForwarder serviceForwarder;
    ClaimFilter claimFilter;
    std::vector<std::unique_ptr<Filter>> admissionFilters;
    std::vector<std::unique_ptr<Filter>> forwardingFilters;
    std::uint64_t lastRequestSequence { 0 };
    bool isStopping { false };
};

}
