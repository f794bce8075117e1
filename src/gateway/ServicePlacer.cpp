#include "gateway/ServicePlacer.h"

#include <algorithm>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RetryAfterNoTarget { 1 };

}

ServicePlacer::ServicePlacer(std::string availabilityZone, GatewayView& view, std::mt19937_64& random)
    : view(view)
    , random(random)
    , choice(std::move(availabilityZone))
{
}

asio::awaitable<RequestEvent> ServicePlacer::ask(GatewayRequest& request, unsigned attempt)
{
    const auto& services = this->view.services();
    const auto& excluded = request.lifecycle().excludedTargets();
    const auto index = this->choice.choose(services, request.call->service, excluded, this->random);
    if (index == services.size())
        co_return PlacementRefused { attempt, RefusalReason::NoTarget, RetryAfterNoTarget };
    const auto& target = services[index];
    if (this->targets.emplace(Call { request.id, attempt }, target.name).second)
        this->choice.begin(target.name);
    request.addresses[target.name] = target.address;
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
    const auto call = this->targets.extract({ request.id, attempt });
    if (call)
        this->choice.end(call.mapped());
}

void ServicePlacer::noteFirstToken(GatewayRequest&) { }

void ServicePlacer::forget(GatewayRequest& request)
{
    const auto first = this->targets.lower_bound({ request.id, 0 });
    const auto last
        = std::find_if(first, this->targets.end(), [&](const auto& call) { return call.first.first != request.id; });
    std::for_each(first, last, [this](const auto& call) { this->choice.end(call.second); });
    this->targets.erase(first, last);
}

}
