#pragma once

#include "gateway/ClusterView.h"
#include "gateway/Filter.h"

namespace marigoldpaddle {

// Obtains a placement and, if it spans several targets, the memory reservations on them. Returns once there is a target
// to connect to or the request is over.
class AcquireFilter final : public Filter {
public:
    // `view` must outlive the filter.
    explicit AcquireFilter(const ClusterView& view);

    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;

private:
    boost::asio::awaitable<void> requestPlacement(GatewayRequest& request, RequestPlacement command);
    void releaseIfTargetIsLeaving(GatewayRequest& request) const;

    const ClusterView& view;
};

// Sends the request to its target and relays the response, resuming interrupted streams. Returns once another placement
// is needed or the request is over.
class RelayFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

}
