#pragma once

#include "gateway/CellChooser.h"
#include "gateway/GatewayRequest.h"
#include "gateway/Holdings.h"

namespace marigoldpaddle {

// Places prompts: asks the dispatcher that owns a cell, and tells it what becomes of the placement.
class CellPlacer final : public Placer {
public:
    // Everything passed by reference must outlive the placer.
    CellPlacer(InstanceId instance, GatewayView& view, RpcClient& rpc, CellChooser& chooser, Holdings& holdings);

    boost::asio::awaitable<RequestEvent> ask(GatewayRequest& request, unsigned attempt) override;
    void withdraw(GatewayRequest& request, unsigned attempt) override;
    void release(GatewayRequest& request, unsigned attempt) override;
    void noteFirstToken(GatewayRequest& request) override;
    void forget(GatewayRequest& request) override;

private:
    wire::AcquireRequest messageFor(const GatewayRequest& request, unsigned attempt, const CellId& cell) const;
    boost::asio::awaitable<void> acquire(GatewayRequest& request, unsigned attempt, std::optional<RequestEvent>& event);
    RequestEvent take(GatewayRequest& request, unsigned attempt, const wire::AcquireAnswer& answer);
    void notify(const GatewayRequest& request, unsigned attempt, wire::ProgressNotice notice);

    InstanceId instance;
    GatewayView& view;
    RpcClient& rpc;
    CellChooser& chooser;
    Holdings& holdings;
};

}
