#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Metrics.h"
#include "configuration/ConfigurationFollower.h"
#include "configuration/ConfigurationPeers.h"

namespace marigoldpaddle {

// Executes the commands of a ConfigurationFollower. Everything passed by reference must outlive the run of the
// io_context.
class FollowerRuntime {
public:
    // `onChange` is called whenever the offset of the state has advanced.
    FollowerRuntime(boost::asio::io_context& context, const Clock& clock, PlatformLog& log, ConfigurationPeers& peers,
        MetricsRegistry& metrics, FollowerSettings settings, std::function<void()> onChange);

    void start();

    // Sets the live peers, named as for ConfigurationPeers and without this instance, and the rank of this instance
    // among those that write checkpoints.
    void setPeers(std::vector<std::string> peers, std::size_t rank);

    // Reports that a peer has reached an offset.
    void observePeerOffset(std::string_view peer, std::uint64_t offset);

    const ConfigurationState& state() const;
    bool isReady() const;

    // The update for a reader that has applied all records before `knownOffset`.
    ConfigurationUpdate updateSince(std::uint64_t knownOffset);

private:
    void execute(FollowerCommands commands);
    void armTimer();
    boost::asio::awaitable<void> readLog(ReadLogCommand command);
    boost::asio::awaitable<void> fetch(FetchFromPeerCommand command);
    boost::asio::awaitable<void> appendCheckpoint(AppendCheckpointCommand command);

    boost::asio::io_context& context;
    const Clock& clock;
    PlatformLog& log;
    ConfigurationPeers& peers;
    MetricsRegistry& metrics;
    std::function<void()> onChange;
    ConfigurationFollower follower;
    boost::asio::steady_timer timer;
    std::uint64_t lastReportedOffset { 0 };
    std::string lastLoggedPreset;
};

}
