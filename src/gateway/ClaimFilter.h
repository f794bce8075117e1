#pragma once

#include "gateway/BackgroundTasks.h"
#include "gateway/ClusterView.h"
#include "gateway/Filter.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// Claims the idempotency key of a call before any byte of the call is sent to its target, and records the outcome of
// the call afterwards.
class ClaimFilter final : public Filter {
public:
    // Everything passed by reference must outlive the filter.
    ClaimFilter(InstanceId instance, ClusterView& view, RpcClient& rpc, BackgroundTasks& tasks);

    // Sets `storedResponse` of the request if an earlier call with the same key was answered. Requests without a key,
    // and those with a safe method, pass unclaimed.
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;

    // Records the outcome of a call whose claim was won: its response, not sent, or unknown. Releases a claim that was
    // not won but may still be appended to the claim log, so that a later call can claim the key. Runs in the
    // background.
    void settle(const GatewayRequest& request);

private:
    boost::asio::awaitable<std::optional<wire::ClaimAnswer>> claim(GatewayRequest& request);
    wire::ClaimRequest makeClaimRequest(const GatewayRequest& request) const;
    boost::asio::awaitable<void> sendSettlement(wire::ClaimSettlement settlement);
    std::string ownerAddress(std::string_view workspace, std::string_view service, std::string_view key) const;

    InstanceId instance;
    ClusterView& view;
    RpcClient& rpc;
    BackgroundTasks& tasks;
};

}
