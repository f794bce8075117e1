#include "gateway/ServicePlacer.h"

#include <algorithm>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RetryAfterNoTarget { 1 };

}

ServicePlacer::ServicePlacer(std::string availabilityZone, ClusterView& view, std::mt19937_64& random)
    : view(view)
    , random(random)
    , selector(std::move(availabilityZone))
{
}

asio::awaitable<RequestEvent> ServicePlacer::requestPlacement(GatewayRequest& request, unsigned attempt)
{
    const auto& services = this->view.services();
    const auto& excluded = request.lifecycle().excludedTargets();
    const auto index = this->selector.select(services, request.call->service, excluded, this->random);
    if (index == services.size())
        co_return PlacementRefused { attempt, RefusalReason::NoTarget, RetryAfterNoTarget };
    const auto& target = services[index];
    if (this->targetsByAttempt.emplace(AttemptKey { request.id, attempt }, target.name).second)
        this->selector.callStarted(target.name);
    request.targetAddresses[target.name] = target.address;
    request.placement = { attempt, 0, 0 };
    PlacementGranted granted;
    granted.attempt = attempt;
    granted.parts.push_back({ target.name, 0 });
    granted.expiry = request.deadline;
    co_return granted;
}

void ServicePlacer::withdraw(GatewayRequest&, unsigned) { }

void ServicePlacer::release(GatewayRequest& request, unsigned attempt)
{
    const auto call = this->targetsByAttempt.extract({ request.id, attempt });
    if (call)
        this->selector.callEnded(call.mapped());
}

void ServicePlacer::reportFirstToken(GatewayRequest&) { }

void ServicePlacer::releaseAll(GatewayRequest& request)
{
    const auto first = this->targetsByAttempt.lower_bound({ request.id, 0 });
    const auto last = std::find_if(
        first, this->targetsByAttempt.end(), [&](const auto& call) { return call.first.first != request.id; });
    std::for_each(first, last, [this](const auto& call) { this->selector.callEnded(call.second); });
    this->targetsByAttempt.erase(first, last);
}

}
