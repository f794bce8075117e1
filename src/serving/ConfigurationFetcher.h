#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "rpc/RpcClient.h"
#include "serving/ConfigurationTransfer.h"
#include "serving/FetchSources.h"
#include "serving/PeerExchange.h"
#include "serving/ViewFollower.h"

namespace marigoldpaddle {

// Receives newer configurations from peers.
class ConfigurationFetcher {
public:
    struct Parts {
        boost::asio::io_context& context;
        const Clock& clock;
        ServingView& view;
        ViewFollower& follower;
        PeerExchange& exchange;
        RpcClient& client;
        EventLog& log;
        MetricsRegistry& metrics;
        std::function<void()> onInstalled; // Called after each configuration that a peer has sent.
        std::function<bool(std::string_view)> isInUse; // Whether the connection to a peer serves another call.
    };

    // Everything that the parts refer to must outlive the fetcher.
    explicit ConfigurationFetcher(Parts parts);

    // Receives a newer configuration from peers, part by part, each from a peer that is drawn anew, the first one from
    // `source`. While a peer is slow to answer, further ones are asked for the same part. A peer that sends nothing of
    // use in time is not asked again; the parts that have arrived are kept.
    boost::asio::awaitable<void> fetch(std::string source);

    // Forgets the parts that have arrived.
    void reset();

private:
    // What a fetch has cost, for its log line.
    struct Statistics {
        std::uint64_t parts { 0 };
        std::uint64_t bytes { 0 }; // Of the encoded parts.
        std::uint64_t failures { 0 }; // Peers that did not answer.
    };

    struct Fetch;
    boost::asio::awaitable<void> askSources(std::shared_ptr<Fetch> fetch, std::string source);
    boost::asio::awaitable<void> ask(std::shared_ptr<Fetch> fetch, std::string source);
    boost::asio::awaitable<FetchSources::Result> fetchPart(Fetch& fetch, std::string source);
    FetchSources::Result addAnswer(Fetch& fetch, const wire::PlatformRecordsAnswer& answer, std::size_t requestedOffset,
        const std::string& source);
    Duration partTimeout() const;
    void recordException(const std::exception& failure);
    void install(const KeyedRecord& record, const std::string& source);
    void record(std::string_view outcome, TimePoint startedAt, const Statistics& statistics);

    Parts parts;
    ConfigurationDownload download;
    unsigned failedFetches { 0 }; // In a row.
};

}
