#include "gateway/ServiceTargetSelector.h"

#include <algorithm>
#include <utility>

namespace marigoldpaddle {

ServiceTargetSelector::ServiceTargetSelector(std::string availabilityZone)
    : availabilityZone(std::move(availabilityZone))
{
}

std::size_t ServiceTargetSelector::select(std::span<const ServiceTarget> targets, std::string_view service,
    std::span<const std::string> excluded, std::mt19937_64& random) const
{
    using Cost = std::pair<bool, std::size_t>; // Whether the target is in another zone, then its in-flight calls.
    Cost lowest { true, SIZE_MAX };
    std::vector<std::size_t> best;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto& target = targets[index];
        if (target.service != service || std::ranges::find(excluded, target.name) != excluded.end())
            continue;
        const Cost cost { target.availabilityZone != this->availabilityZone, this->inFlight(target.name) };
        if (cost < lowest)
            best.clear();
        lowest = std::min(lowest, cost);
        if (cost == lowest)
            best.push_back(index);
    }
    if (best.empty())
        return targets.size();
    std::uniform_int_distribution<std::size_t> distribution { 0, best.size() - 1 };
    return best[distribution(random)];
}

void ServiceTargetSelector::callStarted(const std::string& target)
{
    ++this->inFlightCalls[target];
}

void ServiceTargetSelector::callEnded(const std::string& target)
{
    const auto found = this->inFlightCalls.find(target);
    if (found != this->inFlightCalls.end() && --found->second == 0)
        this->inFlightCalls.erase(found);
}

std::size_t ServiceTargetSelector::inFlight(std::string_view target) const
{
    const auto found = this->inFlightCalls.find(target);
    return found == this->inFlightCalls.end() ? 0 : found->second;
}

}
