#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/Settings.h"
#include "serving/CallFormat.h"
#include "serving/EngineMemory.h"
#include "serving/PlatformStore.h"
#include "serving/RetryBudget.h"
#include "serving/TargetPauses.h"
#include "serving/ViewFollower.h"

namespace marigoldpaddle {

struct ServingNodeSettings {
    std::string instance;
    std::string availabilityZone;
    std::string callersAddress; // "IP:port" for callers.
    std::string readyAddress; // "IP:port" of the readiness checks of the load balancer.
    std::string metricsAddress; // "IP:port"; empty for none.
    std::string relaysAddress; // "IP:port" for requests of other instances' callers; empty for none.
    std::string peersAddress; // "IP:port", UDP and TCP, for other instances.
    std::vector<std::string> seeds; // Addresses of other instances, on the same port; may be outdated.
    Duration storeTimeout {}; // Timeout of a call to the platform's store.
    Duration memoryLeaseDuration {}; // How long an engine keeps a reservation that is not renewed.
    Duration longestTargetPause { TargetPauses::DefaultLongestPause }; // Limit of a target's Retry-After.
    Duration grace {}; // Time from the stop signal until the process is killed.
    double coldOverage { 0 }; // Factor on the requests a second that cold targets tolerate; 0 for no bound.
    ViewFollowerSettings follower;
    RetryBudgetSettings retries;
    std::size_t requestMemory { 0 }; // Bytes that the requests of callers and peers may take together; 0 for no bound.
    std::size_t callerConnections { 0 }; // Maximum; 0 for the default of HttpServerLimits.
    unsigned logLinesPerSecond { 0 };
};

// Adapters for the platform's interfaces.
struct PlatformParts {
    PlatformStore& store;
    const RecordDecoder& records;
    const CallFormat& format;
    EngineMemory& memory;
};

// Bound ports of the listeners; 0 for none.
struct ServingNodePorts {
    std::uint16_t callers { 0 };
    std::uint16_t ready { 0 };
    std::uint16_t metrics { 0 };
    std::uint16_t relays { 0 };
};

// Keys of the settings file, for validation and --help.
std::span<const SettingSpecification> servingNodeSpecifications();
ServingNodeSettings servingNodeSettingsFrom(const Settings& values);

// One instance of the system on the users' platform: caller listener, view of the platform, placement.
class ServingNode {
public:
    // Everything that is passed by reference must outlive the node.
    ServingNode(boost::asio::io_context& context, const Clock& clock, const PlatformParts& platform,
        const ServingNodeSettings& settings);
    ~ServingNode();

    // Binds the listeners and starts following the platform. Throws boost::system::system_error when it cannot bind.
    ServingNodePorts start();

    // Applies changed settings. Changed listener addresses need a restart, which is logged.
    void reload(const ServingNodeSettings& settings);

    // Logs that changed settings were rejected; the last valid ones stay in force.
    void logRejectedSettings(std::string_view problem);

    // Graceful shutdown: fails the readiness check, serves until the load balancer has moved callers away, finishes the
    // requests in progress, and stops the context before the grace period ends.
    boost::asio::awaitable<void> stopGracefully();

private:
    struct State;
    std::unique_ptr<State> state;
};

}
