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
#include "serving/ViewFollower.h"

namespace marigoldpaddle {

struct ServingNodeSettings {
    std::string instance;
    std::string availabilityZone;
    std::string callersAddress; // "IP:port" for callers.
    std::string readyAddress; // "IP:port" where the balancer asks whether this instance is ready.
    std::string metricsAddress; // "IP:port"; empty for none.
    std::string peersAddress; // "IP:port", UDP and TCP, for other instances.
    std::vector<std::string> seeds; // Addresses of other instances, on the same port; may be stale.
    Duration storeTimeout {}; // For the platform to answer a call.
    Duration memoryHold {}; // For engines to keep memory that nobody renews.
    Duration grace {}; // From the stop signal to the kill.
    ViewFollowerSettings follower;
    RetryBudgetSettings retries;
    unsigned logLinesPerSecond { 0 };
};

// What the platform speaks.
struct PlatformParts {
    PlatformStore& store;
    const RecordDecoder& records;
    const CallFormat& format;
    EngineMemory& memory;
};

// Where the listeners of a node are bound; 0 for none.
struct ServingNodePorts {
    std::uint16_t callers { 0 };
    std::uint16_t ready { 0 };
    std::uint16_t metrics { 0 };
};

// The keys of the settings file, for checks and --help.
std::span<const SettingSpecification> servingNodeSpecifications();
ServingNodeSettings servingNodeSettingsFrom(const Settings& values);

// One instance of the system on the users' platform: callers' listener, view of the platform, placement.
class ServingNode {
public:
    // Everything that is passed by reference must outlive the node.
    ServingNode(boost::asio::io_context& context, const Clock& clock, const PlatformParts& platform,
        const ServingNodeSettings& settings);
    ~ServingNode();

    // Binds the listeners and begins to follow the platform. Throws boost::system::system_error when it cannot bind.
    ServingNodePorts start();

    // Takes changed settings. Addresses of listeners need a restart, which is logged.
    void reload(const ServingNodeSettings& settings);

    // Logs that changed settings were not taken; the last good ones stay.
    void reportBadSettings(std::string_view problem);

    // A planned stop: tells the balancer, serves on until it has moved callers away, finishes what runs, and stops the
    // context before the grace is over.
    boost::asio::awaitable<void> stopGracefully();

private:
    struct State;
    std::unique_ptr<State> state;
};

}
