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

// Carries out what a ConfigurationFollower decides. Everything passed by reference must outlive the io_context's run.
class FollowerRuntime {
public:
    // `onChange` is called whenever the offset has risen.
    FollowerRuntime(boost::asio::io_context& context, const Clock& clock, PlatformLog& log, ConfigurationPeers& peers,
        MetricsRegistry& metrics, FollowerSettings settings, std::function<void()> onChange);

    void start();

    // The live peers by the names that ConfigurationPeers takes, without this instance, and this instance's rank.
    void setPeers(std::vector<std::string> peers, std::size_t rank);

    // A peer is known to have reached an offset.
    void peerReached(std::string_view peer, std::uint64_t offset);

    const ConfigurationState& state() const;
    bool isReady() const;

    // What a reader that has applied everything before `known` needs.
    ConfigurationUpdate updateSince(std::uint64_t known);

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
    std::uint64_t announcedOffset { 0 };
    std::string announcedPreset;
};

}
