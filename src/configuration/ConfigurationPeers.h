#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "configuration/ConfigurationTail.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// Asks other instances for what they have of the configuration.
class ConfigurationPeers {
public:
    virtual ~ConfigurationPeers() = default;

    // Empty if the peer gave no answer.
    virtual boost::asio::awaitable<std::optional<ConfigurationUpdate>> fetch(
        std::string peer, std::uint64_t knownOffset)
        = 0;
};

// Asks the dispatchers of other instances; a peer's name is the RPC address of its dispatcher.
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

// The answer of a dispatcher to wire::ConfigurationRequest, and back.
wire::ConfigurationAnswer wireFrom(const ConfigurationUpdate& update);
ConfigurationUpdate updateFrom(const wire::ConfigurationAnswer& answer);

}
