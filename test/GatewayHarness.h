#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "gateway/Gateway.h"
#include "standins/DispatcherStandin.h"
#include "standins/EngineStandin.h"
#include "standins/ServiceStandin.h"

namespace marigoldpaddle::testing {

// A stand-in behind an HTTP server on a loopback port. Resetting `server` closes its listener and idle connections,
// while exchanges in progress continue.
struct ServedTarget {
    ServedTarget(boost::asio::io_context& context, HttpHandler& handler)
        : server(std::make_unique<HttpServer>(context, handler))
        , address("127.0.0.1:" + std::to_string(this->server->listen("127.0.0.1:0")))
    {
    }

    std::unique_ptr<HttpServer> server;
    std::string address;
};

// A complete gateway on loopback with stand-ins for the dispatcher, three engines and an order service, and an HTTP
// client as its caller.
class GatewayHarness {
public:
    explicit GatewayHarness(Duration tokenInterval = std::chrono::milliseconds { 1 })
        : dispatcher(this->context)
        , service(this->context, this->serviceHandler)
        , callerClient(this->context.get_executor())
        , gatewayClient(this->context.get_executor())
        , rpc(this->context.get_executor())
        , view(this->context, this->rpc, this->registry, { "instance-1", 1 }, this->dispatcher.address)
        , gateway(this->context, this->clock, settings(), this->view, this->rpc, this->gatewayClient, this->registry)
        , gatewayServer(this->context, this->gateway, limits())
        , address("127.0.0.1:" + std::to_string(this->gatewayServer.listen("127.0.0.1:0")))
    {
        standins::EngineSettings engine { "m", 1'000'000, 1e9, tokenInterval, true, true };
        for (const auto* name : { "engine-1", "engine-2", "engine-3" }) {
            this->engineHandlers.push_back(std::make_unique<standins::EngineStandin>(this->context, engine));
            this->engines.emplace_back(this->context, *this->engineHandlers.back());
            this->dispatcher.engines.push_back({ name, this->engines.back().address });
        }
        this->dispatcher.services.push_back({ "orders-1", this->service.address });
        this->view.start();
        this->gateway.start();
    }

    // Runs a scenario once the gateway is ready, then waits for its exchanges and background tasks to end. Returns
    // false if that takes longer than `limit`.
    bool run(std::function<boost::asio::awaitable<void>()> scenario, Duration limit = std::chrono::seconds { 10 })
    {
        bool didEnd = false;
        boost::asio::co_spawn(
            this->context,
            [&]() -> boost::asio::awaitable<void> {
                while (this->view.cells().empty() || !this->view.preset())
                    co_await this->view.waitForChange(std::chrono::seconds { 1 });
                co_await scenario();
                while (this->gatewayServer.activeExchanges() > 0)
                    co_await this->sleepFor(std::chrono::milliseconds { 1 });
                co_await this->gateway.finishBackgroundTasks();
                didEnd = true;
                this->context.stop();
            },
            boost::asio::detached);
        this->context.run_for(limit);
        return didEnd;
    }

    boost::asio::awaitable<void> sleepFor(Duration time)
    {
        boost::asio::steady_timer timer { this->context, time };
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    HttpRequest prompt(std::string_view text, std::uint64_t tokens, bool isStreamed) const
    {
        const boost::json::object body { { "model", "m" }, { "prompt", text }, { "max_tokens", tokens },
            { "stream", isStreamed } };
        return this->post("/v1/completions", boost::json::serialize(body));
    }

    HttpRequest post(std::string_view path, std::string body) const
    {
        auto request = makeRequest(boost::beast::http::verb::post, path, std::move(body));
        request.set("Authorization", "Bearer " + std::string { standins::DispatcherStandin::Key });
        return request;
    }

    boost::asio::awaitable<HttpResponse> send(HttpRequest request)
    {
        auto answer = co_await this->callerClient.call(this->address, std::move(request), std::chrono::seconds { 15 });
        co_return answer ? std::move(answer).value() : HttpResponse {};
    }

    boost::asio::awaitable<void> setFaults(std::size_t engine, std::string faults)
    {
        auto request = makeRequest(boost::beast::http::verb::post, "/faults", std::move(faults));
        co_await this->callerClient.call(this->engines[engine].address, std::move(request), std::chrono::seconds { 1 });
    }

    std::uint64_t usedEngineTokens() const
    {
        std::uint64_t used = 0;
        for (const auto& engine : this->engineHandlers)
            used += engine->usedTokens();
        return used;
    }

    std::uint64_t refusals(std::string_view reason)
    {
        const auto label = "reason=\"" + std::string { reason } + "\"";
        return this->registry.counter("marigold_gateway_refusals_total", label).value();
    }

    std::uint64_t retries(std::string_view reason)
    {
        const auto label = "reason=\"" + std::string { reason } + "\"";
        return this->registry.counter("marigold_gateway_retries_total", label).value();
    }

    boost::asio::io_context context { 1 };
    SteadyClock clock;
    MetricsRegistry registry;
    standins::DispatcherStandin dispatcher;
    std::vector<std::unique_ptr<standins::EngineStandin>> engineHandlers;
    std::vector<ServedTarget> engines;
    standins::ServiceStandin serviceHandler;
    ServedTarget service;
    HttpClient callerClient;
    HttpClient gatewayClient;
    RpcClient rpc;
    ClusterView view;
    Gateway gateway;
    HttpServer gatewayServer;
    std::string address;

private:
    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.instance = { "instance-1", 1 };
        settings.availabilityZone = "a";
        return settings;
    }

    static HttpServerLimits limits()
    {
        HttpServerLimits limits;
        limits.bodyBytes = 1024 * 1024;
        limits.receiveTimeout = std::chrono::milliseconds { 200 };
        limits.sendTimeout = std::chrono::milliseconds { 200 };
        return limits;
    }
};

}
