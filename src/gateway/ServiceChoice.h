#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/GatewayView.h"

namespace marigoldpaddle {

// Chooses the target of a plain service that a call is sent to: one of this zone if there is any, and among those one
// with the fewest calls that this gateway has under way. Pure but for the random number that settles a tie.
class ServiceChoice {
public:
    explicit ServiceChoice(std::string availabilityZone);

    // Returns the index of the target, or `targets.size()` if none serves `service` and is not excluded.
    std::size_t choose(std::span<const ServiceTarget> targets, std::string_view service,
        std::span<const std::string> excluded, std::mt19937_64& random) const;

    // Count the calls that are under way at a target.
    void begin(const std::string& target);
    void end(const std::string& target);

    std::size_t underWay(std::string_view target) const;

private:
    std::string availabilityZone;
    std::map<std::string, std::size_t, std::less<>> calls; // By target; those without any are left out.
};

}
