#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "rpc/RpcServer.h"

namespace marigoldpaddle::standins {

// Stands in for the dispatcher that owns the one cell there is: grants the first engines that the gateway does not
// exclude, and records what it is told.
class DispatcherStandin final : public RpcHandler {
public:
    static constexpr std::string_view Key = "key-of-drivers"; // Bearer key of its only workspace.
    static constexpr std::string_view Model = "m";
    static constexpr std::string_view Service = "orders";

    struct Target {
        std::string name;
        std::string address;
    };

    explicit DispatcherStandin(boost::asio::io_context& context);

    boost::asio::awaitable<std::optional<wire::Payload>> handle(wire::Payload request) override;

    // Placements that were granted and not given back.
    std::size_t openPlacements() const;

    RpcServer server;
    std::string address;
    std::string instance { "instance-1" }; // The owner that it says it is.
    std::vector<Target> engines;
    std::vector<Target> services;
    std::vector<std::string> leaving; // Targets that its view marks so; it grants them all the same.
    std::size_t partsPerGrant { 1 };
    bool isSilent { false }; // Gives no answer to the acquires that arrive meanwhile.
    std::size_t acquires { 0 };
    std::optional<wire::RefusalRecord> refusal; // Answers every acquire.
    wire::ClaimAnswer claimAnswer;
    std::vector<wire::ClaimSettlement> settlements;
    std::vector<std::vector<std::string>> exclusions; // As asked for, acquire by acquire.
    std::optional<std::size_t> announcedHoldings; // In the latest announcement.

private:
    wire::ViewAnswer view(const wire::ViewRequest& request) const;
    wire::AcquireAnswer acquire(const wire::AcquireRequest& request);
    std::vector<wire::GrantPartRecord> partsFor(const wire::AcquireRequest& request) const;
    void note(const wire::Payload& message);

    std::string configuration;
    std::set<std::string> granted;
};

}
