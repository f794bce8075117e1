#pragma once

#include "gateway/Filter.h"
#include "gateway/GatewayView.h"

namespace marigoldpaddle {

// Obtains a placement, and the reservations of a span. Returns when there is a target to connect to, or the request is
// over.
class AcquireFilter final : public Filter {
public:
    // `view` must outlive the filter.
    explicit AcquireFilter(const GatewayView& view);

    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;

private:
    boost::asio::awaitable<void> ask(GatewayRequest& request, AskPlacement command);
    void giveBackIfLeaving(GatewayRequest& request) const;

    const GatewayView& view;
};

// Sends the request and relays its answer, resuming it where it broke. Returns when another placement is needed, or the
// request is over.
class RelayFilter final : public Filter {
public:
    boost::asio::awaitable<std::optional<Problem>> apply(GatewayRequest& request) override;
};

}
