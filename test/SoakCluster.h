#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include "ProcessHarness.h"
#include "SoakLedger.h"
#include "SoakProxy.h"
#include "SoakReport.h"
#include "base/HttpClient.h"

namespace marigoldpaddle::testing {

// A configuration version that the store has accepted.
struct AcceptedVersion {
    std::uint64_t version { 0 };
    TimePoint at;
};

// The processes of a run, their proxies, and the operator and fault injector that act on them.
class SoakCluster {
public:
    struct Node {
        std::string name;
        std::string host; // An address of its own: all peers listen on the same port.
        std::string program { "marigold-node" }; // Of the next start.
        std::unique_ptr<Process> process;
        std::unique_ptr<SoakProxy> store;
        bool isRunning { false }; // Between the start and the next signal that ends it, including a planned stop.
        bool isReady { false }; // As the load balancer sees it.
        bool isBusy { false }; // A fault acts on its process.
        unsigned incarnation { 0 };
        TimePoint startedAt;
    };

    struct Target {
        std::string name;
        std::string program;
        std::string service;
        std::unique_ptr<Process> process;
        std::unique_ptr<SoakProxy> proxy;
        unsigned incarnation { 0 };
        TimePoint drainedAt { TimePoint::max() }; // When the store accepted that it is draining.
        bool isBusy { false }; // A fault acts on its process.
    };

    SoakCluster(boost::asio::io_context& context, std::string folder, const SoakSize& size, SoakReport& report);

    // Lets all nodes run another program until their first restart, as at the beginning of an upgrade.
    void setFirstProgram(const std::string& program);

    // Starts everything; completes when all nodes are ready. Throws std::runtime_error after 20 s.
    boost::asio::awaitable<void> start();

    // Injects a fault and ends it. Completes when it has ended and restarted processes run again.
    boost::asio::awaitable<void> inject(PlannedFault fault);

    // Kills all processes and waits for them.
    void endProcesses();

    // Reports processes that ended without being told to.
    void checkProcesses();

    // A stand-in's state: `/standin/counts`, `/counts` or `/api/report`. Empty if it does not answer.
    boost::asio::awaitable<std::optional<boost::json::object>> query(const Target& target, std::string path);

    // Name in the host header and key of all requests.
    static constexpr std::string_view Host = "rounds.example";
    static constexpr std::string_view Authorization = "Token drivers-key";

    // Settings of the nodes that bound the checks.
    static constexpr Duration Grace = std::chrono::seconds { 8 };
    static constexpr Duration ConfigurationBound = std::chrono::seconds { 2 };
    static constexpr Duration DrainBound = std::chrono::seconds { 2 };
    static constexpr Duration MemoryFreeBound = std::chrono::seconds { 4 };

    std::vector<Node> nodes;
    std::vector<Target> engines;
    std::vector<Target> services;
    std::vector<AcceptedVersion> versions;
    SoakLedger ledger;

private:
    bool* busyMark(const PlannedFault& fault);
    boost::asio::awaitable<void> pause(Duration time);
    boost::asio::awaitable<bool> post(std::string address, std::string path, std::string body);
    boost::asio::awaitable<void> putRecord(std::string topic, std::string key, std::string value);
    boost::asio::awaitable<void> startTarget(Target& target);
    boost::asio::awaitable<void> registerTarget(const Target& target, std::string state);
    boost::asio::awaitable<void> configure();
    boost::asio::awaitable<void> startNode(Node& node);
    boost::asio::awaitable<void> watchReadiness(Node& node);
    boost::asio::awaitable<void> stopNode(Node& node);
    boost::asio::awaitable<void> injectIntoNode(Node& node, PlannedFault fault);
    boost::asio::awaitable<void> sendOddRequest(std::string address);
    boost::asio::awaitable<void> injectIntoEngine(Target& engine, PlannedFault fault);
    boost::asio::awaitable<void> drainAndRestart(Target& engine, Duration length);
    boost::asio::awaitable<void> injectIntoService(Target& service, PlannedFault fault);
    boost::asio::awaitable<void> injectIntoStore(PlannedFault fault);
    boost::asio::awaitable<void> freeze(const Process& process, Duration length);
    std::string nodeSettings(const Node& node) const;

    boost::asio::io_context& context;
    std::string folder;
    SoakReport& report;
    HttpClient client;
    std::unique_ptr<Process> store;
    bool isConfiguring { false };
};

}
