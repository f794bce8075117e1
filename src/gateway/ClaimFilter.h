#pragma once

#include "gateway/BackgroundTasks.h"
#include "gateway/Filter.h"
#include "gateway/GatewayView.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// Claims the idempotency key of a call before anything of it is sent, and records afterwards how the call ended.
class ClaimFilter final : public Filter {
public:
    // Everything passed by reference must outlive the filter.
    ClaimFilter(InstanceId instance, GatewayView& view, RpcClient& rpc, BackgroundTasks& tasks);

    // Leaves the stored answer in the request when the call has been answered before.
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;

    // Records the end of a call whose claim was won: its answer, that it was never sent, or that nobody knows. A claim
    // that did not win and may still land in the log is given back, so that a later call can have the key.
    void settle(const GatewayRequest& request);

private:
    boost::asio::awaitable<std::optional<wire::ClaimAnswer>> claim(GatewayRequest& request);
    wire::ClaimRequest messageFor(const GatewayRequest& request) const;
    boost::asio::awaitable<void> record(wire::ClaimSettlement settlement);
    std::string ownerAddress(std::string_view workspace, std::string_view service, std::string_view key) const;

    InstanceId instance;
    GatewayView& view;
    RpcClient& rpc;
    BackgroundTasks& tasks;
};

}
