#pragma once

#include "gateway/CellSelector.h"
#include "gateway/GatewayRequest.h"
#include "gateway/HeldPlacements.h"

namespace marigoldpaddle {

// Obtains placements for prompts from the dispatcher that owns the selected cell, and reports the progress of each
// placement to it.
class CellPlacer final : public Placer {
public:
    // Everything passed by reference must outlive the placer.
    CellPlacer(InstanceId instance, ClusterView& view, RpcClient& rpc, CellSelector& cellSelector,
        HeldPlacements& heldPlacements);

    boost::asio::awaitable<RequestEvent> requestPlacement(GatewayRequest& request, unsigned attempt) override;
    void withdraw(GatewayRequest& request, unsigned attempt) override;
    void release(GatewayRequest& request, unsigned attempt) override;
    void reportFirstToken(GatewayRequest& request) override;
    void releaseAll(GatewayRequest& request) override;

private:
    wire::AcquireRequest makeAcquireRequest(const GatewayRequest& request, unsigned attempt, const CellId& cell) const;
    boost::asio::awaitable<void> acquire(GatewayRequest& request, unsigned attempt, std::optional<RequestEvent>& event);
    RequestEvent handleAnswer(GatewayRequest& request, unsigned attempt, const wire::AcquireAnswer& answer);
    void sendProgress(const GatewayRequest& request, unsigned attempt, wire::ProgressNotice notice);

    InstanceId instance;
    ClusterView& view;
    RpcClient& rpc;
    CellSelector& cellSelector;
    HeldPlacements& heldPlacements;
};

}
