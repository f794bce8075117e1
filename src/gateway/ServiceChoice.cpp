#include "gateway/ServiceChoice.h"

#include <algorithm>
#include <utility>

namespace marigoldpaddle {

ServiceChoice::ServiceChoice(std::string availabilityZone)
    : availabilityZone(std::move(availabilityZone))
{
}

std::size_t ServiceChoice::choose(std::span<const ServiceTarget> targets, std::string_view service,
    std::span<const std::string> excluded, std::mt19937_64& random) const
{
    using Cost = std::pair<bool, std::size_t>; // In another zone, and calls under way.
    Cost lowest { true, SIZE_MAX };
    std::vector<std::size_t> best;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const auto& target = targets[index];
        if (target.service != service || std::ranges::find(excluded, target.name) != excluded.end())
            continue;
        const Cost cost { target.availabilityZone != this->availabilityZone, this->underWay(target.name) };
        if (cost < lowest)
            best.clear();
        lowest = std::min(lowest, cost);
        if (cost == lowest)
            best.push_back(index);
    }
    if (best.empty())
        return targets.size();
    std::uniform_int_distribution<std::size_t> draw { 0, best.size() - 1 };
    return best[draw(random)];
}

void ServiceChoice::begin(const std::string& target)
{
    ++this->calls[target];
}

void ServiceChoice::end(const std::string& target)
{
    const auto found = this->calls.find(target);
    if (found != this->calls.end() && --found->second == 0)
        this->calls.erase(found);
}

std::size_t ServiceChoice::underWay(std::string_view target) const
{
    const auto found = this->calls.find(target);
    return found == this->calls.end() ? 0 : found->second;
}

}
