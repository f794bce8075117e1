#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "configuration/ConfigurationTail.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// Fetches configuration updates from other instances.
class ConfigurationPeers {
public:
    virtual ~ConfigurationPeers() = default;

    // The update of `peer` for a reader that has applied all records before `knownOffset`. Empty if the peer did not
    // answer.
    virtual boost::asio::awaitable<std::optional<ConfigurationUpdate>> fetch(
        std::string peer, std::uint64_t knownOffset)
        = 0;
};

// Fetches from the dispatchers of other instances. A peer is named by the RPC address of its dispatcher.
class RpcConfigurationPeers final : public ConfigurationPeers {
public:
    // `client` must outlive the peers.
    RpcConfigurationPeers(RpcClient& client, Duration timeout);

    boost::asio::awaitable<std::optional<ConfigurationUpdate>> fetch(
        std::string peer, std::uint64_t knownOffset) override;

private:
    RpcClient& client;
    Duration timeout;
};

std::vector<wire::ConfigurationRecord> wireRecordsFrom(const std::vector<LogRecord>& records);
std::vector<LogRecord> recordsFrom(const std::vector<wire::ConfigurationRecord>& records);

// Conversions to and from the answer of a dispatcher to wire::ConfigurationRequest.
wire::ConfigurationAnswer toWire(const ConfigurationUpdate& update);
ConfigurationUpdate updateFrom(const wire::ConfigurationAnswer& answer);

}
