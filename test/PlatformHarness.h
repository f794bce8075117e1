#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "platform/HeaderFormat.h"
#include "platform/OrderClient.h"
#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "serving/ServingNode.h"
#include "standins/PlatformEngineStandin.h"
#include "standins/ServiceStandin.h"
#include "standins/StoreStandin.h"

namespace marigoldpaddle::testing {

// The answer as received by a caller.
struct PlatformAnswer {
    unsigned status { 0 };
    std::string body;
    std::map<std::string, std::string> headers; // Names in lower case.
    bool isWhole { false };

    // Ids of the events of a stream, in order.
    std::vector<std::uint64_t> eventIds() const;
};

// An instance of the system with stand-ins of the platform: store, engines, an order service. One thread, over
// loopback.
class PlatformHarness {
public:
    PlatformHarness();
    ~PlatformHarness();

    // Adds an engine of the configured service and registers it. `change` may modify the default settings.
    standins::PlatformEngineStandin& addEngine(
        const std::string& id, const std::function<void(standins::PlatformEngineSettings&)>& change = {});
    standins::ServiceStandin& addOrderService(const std::string& id);

    // Writes the registration of a target, e.g. registerTarget("engine-1", "model", "draining").
    void registerTarget(const std::string& id, const std::string& service, const std::string& state);

    // Writes the configuration. `extraRoutes` is appended to the list of routes, e.g. `,{"name":...}`.
    void configure(std::uint64_t version, const std::string& extraRoutes = {});

    // Starts the instance and waits until it is ready.
    void startNode();
    ServingNode& node();

    // Sends a prompt on the route `/ask/` and waits for the answer.
    PlatformAnswer sendPrompt(std::int64_t promptTokens, std::int64_t outputTokens = 100);
    PlatformAnswer sendOrder(const std::string& attemptId, const std::string& remainingMs = "5000");
    PlatformAnswer call(const std::string& method, const std::string& target,
        const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body = {});

    // Sends raw bytes and returns everything received until the connection closes or `until` was received.
    std::string sendRaw(const std::string& bytes, const std::string& until);

    // Runs the event loop until the condition holds. False after a timeout of 60 s.
    bool runUntil(const std::function<bool()>& condition);

    // Runs the event loop for a time.
    void pause(Duration time);

    // Runs an operation to its end.
    template <typename Value> Value run(boost::asio::awaitable<Value> operation);

    std::vector<std::pair<std::string, std::string>> promptHeaders(
        std::int64_t promptTokens, std::int64_t outputTokens = 100);
    void beginPrompt(PlatformAnswer& answer, std::int64_t promptTokens, std::int64_t outputTokens);

    // Sends a prompt as an instance that reaches no target does for its caller.
    void beginRelayedPrompt(PlatformAnswer& answer, std::int64_t promptTokens, std::int64_t outputTokens);
    std::int64_t memoryUsed() const;
    std::uint64_t runsOf(const std::string& engineId);

    // Sends `faults` to the engine's `/standin/faults` and returns the status.
    unsigned setEngineFaults(const std::string& engineId, const std::string& faults);

    boost::asio::io_context context { 1 };
    standins::StoreStandin store { this->context, 1000 };

private:
    // A stand-in and the server that it is reached at.
    template <typename Standin> struct Served {
        std::unique_ptr<Standin> standin;
        std::unique_ptr<HttpServer> server;
        std::string address;
    };

    boost::asio::awaitable<void> send(HttpRequest request, PlatformAnswer& answer);
    boost::asio::awaitable<void> send(HttpRequest request, PlatformAnswer& answer, std::uint16_t port);
    HttpRequest request(const std::string& method, const std::string& target,
        const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body);

    SteadyClock clock;
    HttpServer storeServer;
    std::string storeAddress;
    HttpClient client;
    HttpClient platformClient;
    std::map<std::string, Served<standins::PlatformEngineStandin>> engines;
    std::map<std::string, Served<standins::ServiceStandin>> services;
    std::unique_ptr<platform::StoreClient> storeClient;
    platform::HeaderFormat format;
    platform::RecordFormat records;
    std::unique_ptr<platform::OrderClient> orders;
    std::unique_ptr<ServingNode> instance;
    ServingNodePorts ports;
    std::uint64_t attempts { 0 };
};

}
