#pragma once

#include <map>
#include <random>
#include <string>
#include <utility>

#include "gateway/ClusterView.h"
#include "gateway/GatewayRequest.h"
#include "gateway/ServiceTargetSelector.h"

namespace marigoldpaddle {

// Places calls to plain services locally with ServiceTargetSelector, without asking a dispatcher. A call counts as in
// flight at its target until it is released.
class ServicePlacer final : public Placer {
public:
    // Everything passed by reference must outlive the placer.
    ServicePlacer(std::string availabilityZone, ClusterView& view, std::mt19937_64& random);

    boost::asio::awaitable<RequestEvent> requestPlacement(GatewayRequest& request, unsigned attempt) override;
    void withdraw(GatewayRequest& request, unsigned attempt) override;
    void release(GatewayRequest& request, unsigned attempt) override;
    void reportFirstToken(GatewayRequest& request) override;
    void releaseAll(GatewayRequest& request) override;

private:
    using AttemptKey = std::pair<RequestId, unsigned>; // Request id and attempt number.

    ClusterView& view;
    std::mt19937_64& random;
    ServiceTargetSelector selector;
    std::map<AttemptKey, std::string> targetsByAttempt; // Target names of the in-flight calls.
};

}
