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

// Stand-in for the dispatcher that owns the only cell of a small system: grants the first engines that a gateway does
// not exclude, and records the messages that tests check.
class DispatcherStandin final : public RpcHandler {
public:
    static constexpr std::string_view Key = "key-of-drivers"; // API key of the only workspace.
    static constexpr std::string_view Model = "m";
    static constexpr std::string_view Service = "orders";

    struct Target {
        std::string name;
        std::string address;
    };

    explicit DispatcherStandin(boost::asio::io_context& context);

    boost::asio::awaitable<std::optional<wire::Payload>> handle(
        wire::Payload request, std::shared_ptr<void>& untilWritten) override;

    // Returns the number of granted placements that were neither finished nor withdrawn.
    std::size_t openPlacements() const;

    RpcServer server;
    std::string address;
    std::string instance { "instance-1" }; // The name of the cell's owner in the view.
    std::vector<Target> engines;
    std::vector<Target> services;
    std::vector<std::string> leavingTargets; // Targets marked as leaving in the view. They are granted nevertheless.
    std::size_t partsPerGrant { 1 }; // Engines in each grant.
    bool isSilent { false }; // Acquire requests get no answer.
    std::size_t acquireCount { 0 }; // Acquire requests received.
    std::optional<wire::RefusalRecord> refusal; // If set, the answer to every acquire request.
    wire::ClaimAnswer claimAnswer; // The answer to every claim; by default it is won.
    std::vector<wire::ClaimSettlement> settlements;
    // The excluded targets of each acquire request that reached target selection.
    std::vector<std::vector<std::string>> excludedTargetsByAcquire;
    std::optional<std::size_t> announcedHoldingCount; // Number of holdings in the latest announcement.

private:
    wire::ViewAnswer makeView(const wire::ViewRequest& request) const;
    wire::AcquireAnswer handleAcquire(const wire::AcquireRequest& request);
    std::vector<wire::GrantPartRecord> makeGrantParts(const wire::AcquireRequest& request) const;
    void recordMessage(const wire::Payload& message);

    std::string configurationSnapshot;
    std::set<std::string> grantedRequests;
};

}
