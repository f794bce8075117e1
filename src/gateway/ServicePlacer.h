#pragma once

#include <random>
#include <string>

#include "gateway/GatewayRequest.h"
#include "gateway/GatewayView.h"

namespace marigoldpaddle {

// Places calls of plain services: any live target of the service, those of the own availability zone first. Nothing has
// to be given back.
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
    const ServiceTarget* choose(const GatewayRequest& request);

    std::string availabilityZone;
    GatewayView& view;
    std::mt19937_64& random;
};

}
