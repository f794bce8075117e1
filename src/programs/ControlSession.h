#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <marigoldpaddle/PlatformLog.h>

#include "configuration/ConfigurationPeers.h"
#include "configuration/ConfigurationPublisher.h"
#include "programs/ControlOptions.h"

namespace marigoldpaddle {

// What an instance says of its configuration.
struct InstanceStatus {
    std::uint64_t offset { 0 };
    std::string presetInForce;
    bool isCurrent { false };
    std::optional<std::uint64_t> gatewayOffset; // The lowest of the gateways that follow the instance's dispatcher.
};

// Asks instances for their status.
class StatusSource {
public:
    virtual ~StatusSource() = default;

    // Empty if the instance gave no answer.
    virtual boost::asio::awaitable<std::optional<InstanceStatus>> status(std::string dispatcherAddress) = 0;
};

// Runs one command of marigoldctl. What it is made from must outlive it.
class ControlSession {
public:
    // `peers` takes the RPC addresses of the instances' dispatchers.
    ControlSession(const ControlOptions& options, PlatformLog& log, InstanceList& instances, StatusSource& statuses,
        ConfigurationPeers& peers, const Clock& clock, std::ostream& out, std::ostream& errors);

    boost::asio::awaitable<ControlExit> run();

    // Makes the id of a new change; replaced by tests.
    std::function<std::string()> newId;

private:
    // Commands that change nothing (ControlViews.cpp).
    ControlExit validate();
    ControlExit diff();
    ControlExit show();
    ControlExit list();
    ControlExit history();

    // Commands that publish changes (ControlChanges.cpp).
    boost::asio::awaitable<ControlExit> apply();
    boost::asio::awaitable<ControlExit> choose(ConfigurationChangeKind kind);
    boost::asio::awaitable<ControlExit> publish(ConfigurationChange change, boost::json::array& results);

    // Commands about instances and targets (ControlStatus.cpp).
    boost::asio::awaitable<ControlExit> status();
    boost::asio::awaitable<ControlExit> targets();

    // Reads the log to its end, with the help of the instances if it no longer keeps enough.
    boost::asio::awaitable<bool> readState();
    boost::asio::awaitable<void> readFromInstances();
    ControlExit unavailable(std::string_view what, PlatformError error);
    ControlExit invalid(const std::vector<std::string>& faults);
    void print(const boost::json::value& value);

    const ControlOptions& options;
    PlatformLog& log;
    InstanceList& instances;
    StatusSource& statuses;
    ConfigurationPeers& peers;
    std::ostream& out;
    std::ostream& errors;
    ConfigurationPublisher publisher;
    ConfigurationState state;
};

}
