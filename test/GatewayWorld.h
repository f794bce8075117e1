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

#include <marigoldpaddle/ConfigurationState.h>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "gateway/Digest.h"
#include "gateway/Gateway.h"
#include "rpc/Conversions.h"
#include "rpc/RpcServer.h"
#include "standins/EngineStandin.h"
#include "standins/ServiceStandin.h"

namespace marigoldpaddle::testing {

// An engine or a service behind a real socket, and a door that can be shut.
struct ServedTarget {
    ServedTarget(boost::asio::io_context& context, HttpHandler& handler)
        : server(std::make_unique<HttpServer>(context, handler))
        , address("127.0.0.1:" + std::to_string(this->server->listen("127.0.0.1:0")))
    {
    }

    std::unique_ptr<HttpServer> server;
    std::string address;
};

// Owns the one cell there is: grants the first engines that the gateway does not exclude, and records what it is told.
class FakeDispatcher final : public RpcHandler {
public:
    explicit FakeDispatcher(boost::asio::io_context& context)
        : server(context, *this)
        , address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
        , configuration(makeConfiguration())
    {
    }

    boost::asio::awaitable<std::optional<wire::Payload>> handle(wire::Payload request) override
    {
        wire::Payload answer;
        if (request.__isset.view) {
            answer.__set_viewAnswer(this->view(request.view));
            boost::asio::steady_timer timer { co_await boost::asio::this_coro::executor,
                std::chrono::milliseconds { 5 } };
            co_await timer.async_wait(boost::asio::use_awaitable);
        } else if (request.__isset.acquire) {
            answer.__set_acquireAnswer(this->acquire(request.acquire));
        } else if (request.__isset.claim) {
            answer.__set_claimAnswer(this->claimAnswer);
        } else {
            this->note(request);
            wire::Acknowledgement acknowledgement;
            acknowledgement.accepted = true;
            answer.__set_acknowledgement(acknowledgement);
        }
        co_return answer;
    }

    std::size_t openPlacements() const
    {
        return this->granted.size();
    }

    static constexpr std::string_view Key = "key-of-drivers";

    RpcServer server;
    std::string address;
    std::vector<std::pair<std::string, std::string>> engines; // Name and address.
    std::vector<std::pair<std::string, std::string>> services;
    std::size_t partsPerGrant { 1 };
    std::optional<wire::RefusalRecord> refusal;
    wire::ClaimAnswer claimAnswer;
    std::vector<wire::ClaimSettlement> settlements;
    std::vector<std::vector<std::string>> exclusions; // As asked for, grant by grant.
    std::size_t announcedHoldings { 0 }; // In the latest announcement.

private:
    static std::string makeConfiguration()
    {
        ConfigurationState state;
        ConfigurationChange edit;
        edit.id = "1";
        edit.preset = "ordinary";
        edit.sections["limits"] = PresetSection { { "default_allowed_ms", "5000" }, { "maximum_allowed_ms", "20000" } };
        edit.sections["class short"] = PresetSection { { "maximum_tokens", "4000" } };
        edit.sections["model m"] = PresetSection { { "version", "1" } };
        edit.sections["service orders"] = PresetSection { { "key_window_ms", "60000" } };
        edit.sections["workspace drivers"] = PresetSection { { "key_sha256", sha256Hex(Key) } };
        state.apply(0, encodeChange(edit));
        ConfigurationChange use;
        use.id = "2";
        use.kind = ConfigurationChangeKind::Use;
        use.preset = "ordinary";
        use.basedOn = 1;
        state.apply(1, encodeChange(use));
        return state.snapshot();
    }

    wire::ViewAnswer view(const wire::ViewRequest& request) const
    {
        Member self;
        self.instance = { "instance-1", 1 };
        self.availabilityZone = "a";
        self.dispatcherAddress = this->address;
        CellDigest digest;
        digest.cell = { "a", "m", 0 };
        digest.liveTargets = static_cast<std::uint32_t>(this->engines.size());
        wire::ViewAnswer answer;
        answer.version = request.knownVersion + 1;
        answer.members.push_back(toWire(self));
        answer.cells.push_back(toWire(digest, self.instance));
        for (const auto& [name, address] : this->services) {
            wire::ServiceTargetRecord record;
            record.name = name;
            record.serviceName = "orders";
            record.address = address;
            record.availabilityZone = "a";
            answer.services.push_back(std::move(record));
        }
        answer.configurationOffset = 2;
        if (request.knownConfigurationOffset < 2)
            answer.__set_configurationSnapshot(this->configuration);
        return answer;
    }

    wire::AcquireAnswer acquire(const wire::AcquireRequest& request)
    {
        wire::AcquireAnswer answer;
        if (this->refusal) {
            answer.__set_refusal(*this->refusal);
            return answer;
        }
        this->exclusions.push_back(request.excludedTargets);
        wire::GrantRecord grant;
        grant.expiresInMs = 2000;
        for (const auto& [name, address] : this->engines) {
            const auto& excluded = request.excludedTargets;
            if (std::ranges::find(excluded, name) != excluded.end() || grant.parts.size() == this->partsPerGrant)
                continue;
            wire::GrantPartRecord part;
            part.target = name;
            part.address = address;
            part.tokens = request.promptTokens + request.maximumOutputTokens;
            grant.parts.push_back(std::move(part));
        }
        if (grant.parts.empty()) {
            wire::RefusalRecord none;
            none.reason = "no_target";
            none.retryAfterMs = 1000;
            answer.__set_refusal(none);
            return answer;
        }
        this->granted.insert(request.requestId);
        answer.__set_grant(grant);
        return answer;
    }

    void note(const wire::Payload& message)
    {
        if (message.__isset.progress && (message.progress.finished || message.progress.withdrawn))
            this->granted.erase(message.progress.requestId);
        if (message.__isset.holdings)
            this->announcedHoldings = message.holdings.holdings.size();
        if (message.__isset.settle)
            this->settlements.push_back(message.settle);
    }

    std::string configuration;
    std::set<std::string> granted;
};

// A whole gateway on loopback between a caller, a fake dispatcher, three engines and an order service.
class GatewayWorld {
public:
    GatewayWorld()
        : dispatcher(this->context)
        , service(this->context, this->serviceHandler)
        , client(this->context.get_executor())
        , gatewayClient(this->context.get_executor())
        , rpc(this->context.get_executor())
        , view(this->context, this->rpc, this->registry, { "instance-1", 1 }, this->dispatcher.address)
        , gateway(this->context, this->clock, settings(), this->view, this->rpc, this->gatewayClient, this->registry)
        , front(this->context, this->gateway, limits())
        , address("127.0.0.1:" + std::to_string(this->front.listen("127.0.0.1:0")))
    {
        standins::EngineSettings engine { "m", 1'000'000, 1e9, std::chrono::milliseconds { 1 }, true, true };
        for (const auto* name : { "engine-1", "engine-2", "engine-3" }) {
            this->engineHandlers.push_back(std::make_unique<standins::EngineStandin>(this->context, engine));
            this->engines.emplace_back(this->context, *this->engineHandlers.back());
            this->dispatcher.engines.emplace_back(name, this->engines.back().address);
        }
        this->dispatcher.services.emplace_back("orders-1", this->service.address);
        this->dispatcher.claimAnswer.verdict = wire::ClaimVerdict::Won;
        this->view.start();
        this->gateway.start();
    }

    // Runs a scenario once the gateway is ready, then waits until nothing of it is left in the background. False when
    // it did not end within `limit`.
    bool run(std::function<boost::asio::awaitable<void>()> scenario, Duration limit = std::chrono::seconds { 10 })
    {
        bool didEnd = false;
        boost::asio::co_spawn(
            this->context,
            [&]() -> boost::asio::awaitable<void> {
                while (this->view.cells().empty() || !this->view.preset())
                    co_await this->view.waitForChange(std::chrono::seconds { 1 });
                co_await scenario();
                while (this->front.activeExchanges() > 0)
                    co_await this->pause(std::chrono::milliseconds { 1 });
                co_await this->gateway.finishBackgroundTasks();
                didEnd = true;
                this->context.stop();
            },
            boost::asio::detached);
        this->context.run_for(limit);
        return didEnd;
    }

    boost::asio::awaitable<void> pause(Duration time)
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
        request.set("Authorization", "Bearer " + std::string { FakeDispatcher::Key });
        return request;
    }

    boost::asio::awaitable<HttpResponse> send(HttpRequest request)
    {
        auto answer = co_await this->client.call(this->address, std::move(request), std::chrono::seconds { 15 });
        co_return answer ? std::move(answer).value() : HttpResponse {};
    }

    boost::asio::awaitable<void> setFaults(std::size_t engine, std::string faults)
    {
        auto request = makeRequest(boost::beast::http::verb::post, "/faults", std::move(faults));
        co_await this->client.call(this->engines[engine].address, std::move(request), std::chrono::seconds { 1 });
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
    FakeDispatcher dispatcher;
    std::vector<std::unique_ptr<standins::EngineStandin>> engineHandlers;
    std::vector<ServedTarget> engines;
    standins::ServiceStandin serviceHandler;
    ServedTarget service;
    HttpClient client;
    HttpClient gatewayClient;
    RpcClient rpc;
    GatewayView view;
    Gateway gateway;
    HttpServer front;
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
