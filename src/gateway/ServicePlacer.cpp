#include "gateway/ServicePlacer.h"

#include <algorithm>
#include <vector>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds RetryAfterNoTarget { 1 };

}

ServicePlacer::ServicePlacer(std::string availabilityZone, GatewayView& view, std::mt19937_64& random)
    : availabilityZone(std::move(availabilityZone))
    , view(view)
    , random(random)
{
}

asio::awaitable<RequestEvent> ServicePlacer::ask(GatewayRequest& request, unsigned attempt)
{
    const auto* target = this->choose(request);
    if (!target)
        co_return PlacementRefused { attempt, RefusalReason::NoTarget, RetryAfterNoTarget };
    request.addresses[target->name] = target->address;
    request.placement = { attempt, 0, 0 };
    PlacementGranted granted;
    granted.attempt = attempt;
    granted.parts.push_back({ target->name, 0 });
    granted.expiry = request.deadline;
    co_return granted;
}

const ServiceTarget* ServicePlacer::choose(const GatewayRequest& request)
{
    const auto& excluded = request.lifecycle().excludedTargets();
    std::vector<const ServiceTarget*> own;
    std::vector<const ServiceTarget*> others;
    for (const auto& target : this->view.services()) {
        if (target.service != request.call->service || std::ranges::find(excluded, target.name) != excluded.end())
            continue;
        (target.availabilityZone == this->availabilityZone ? own : others).push_back(&target);
    }
    const auto& candidates = own.empty() ? others : own;
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw { 0, candidates.size() - 1 };
    return candidates[draw(this->random)];
}

void ServicePlacer::withdraw(GatewayRequest&, unsigned) { }

void ServicePlacer::release(GatewayRequest&, unsigned) { }

void ServicePlacer::noteFirstToken(GatewayRequest&) { }

void ServicePlacer::forget(GatewayRequest&) { }

}
