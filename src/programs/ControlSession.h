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

// The state of the configuration at one instance, as its dispatcher reports it.
struct InstanceStatus {
    std::uint64_t offset { 0 };
    std::string presetInForce;
    bool isCurrent { false };
    std::optional<std::uint64_t> gatewayOffset; // Lowest offset of the gateways that poll the dispatcher, if any.
};

// Queries the status of instances.
class StatusSource {
public:
    virtual ~StatusSource() = default;

    // Returns the status; empty if the instance did not respond.
    virtual boost::asio::awaitable<std::optional<InstanceStatus>> status(std::string dispatcherAddress) = 0;
};

// Runs one command of marigoldctl. The constructor's arguments must outlive the session.
class ControlSession {
public:
    // `peers` is called with the RPC addresses of the instances' dispatchers as peer names.
    ControlSession(const ControlOptions& options, PlatformLog& log, InstanceList& instances, StatusSource& statuses,
        ConfigurationPeers& peers, const Clock& clock, std::ostream& out, std::ostream& errors);

    boost::asio::awaitable<ControlExit> run();

    // Returns the id of a new change. Tests can replace it.
    std::function<std::string()> newId;

private:
    // Read-only commands (ControlViews.cpp).
    ControlExit validate();
    ControlExit diff();
    ControlExit show();
    ControlExit list();
    ControlExit history();

    // Commands that publish changes (ControlChanges.cpp).
    boost::asio::awaitable<ControlExit> apply();
    boost::asio::awaitable<ControlExit> publishPresetChange(ConfigurationChangeKind kind);
    boost::asio::awaitable<ControlExit> publish(ConfigurationChange change, boost::json::array& results);

    // Commands about instances and targets (ControlStatus.cpp).
    boost::asio::awaitable<ControlExit> status();
    boost::asio::awaitable<ControlExit> targets();

    // Brings the state up to the end of the log. If the log was trimmed past the records that are needed, the missing
    // state is fetched from the instances first. Prints an error and returns false on failure.
    boost::asio::awaitable<bool> readState();
    boost::asio::awaitable<void> fetchFromInstances();

    // Print errors and return the exit code.
    ControlExit reportUnavailable(std::string_view what, PlatformError error);
    ControlExit reportInvalid(const std::vector<std::string>& problems);

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
