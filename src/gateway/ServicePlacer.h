#pragma once

#include <map>
#include <random>
#include <string>
#include <utility>

#include "gateway/GatewayRequest.h"
#include "gateway/GatewayView.h"
#include "gateway/ServiceChoice.h"

namespace marigoldpaddle {

// Places calls of plain services by ServiceChoice. No owner is asked: a call counts at its target until it is released.
class ServicePlacer final : public Placer {
public:
    // Everything passed by reference must outlive the placer.
    ServicePlacer(std::string availabilityZone, GatewayView& view, std::mt19937_64& random);

    boost::asio::awaitable<RequestEvent> ask(GatewayRequest& request, unsigned attempt) override;
    void withdraw(GatewayRequest& request, unsigned attempt) override;
    void release(GatewayRequest& request, unsigned attempt) override;
    void noteFirstToken(GatewayRequest& request) override;
    void forget(GatewayRequest& request) override;

private:
    using Call = std::pair<RequestId, unsigned>; // The request and its attempt.

    GatewayView& view;
    std::mt19937_64& random;
    ServiceChoice choice;
    std::map<Call, std::string> targets; // Of the calls under way.
};

}
