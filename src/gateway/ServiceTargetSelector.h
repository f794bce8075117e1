#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/ClusterView.h"

namespace marigoldpaddle {

// Selects the target for a call to a plain service: targets in the gateway's own availability zone first, and among
// those the one with the fewest in-flight calls from this gateway. Ties are broken at random.
class ServiceTargetSelector {
public:
    explicit ServiceTargetSelector(std::string availabilityZone);

    // Returns an index into `targets`, or `targets.size()` if no target that is not excluded serves `service`.
    std::size_t select(std::span<const ServiceTarget> targets, std::string_view service,
        std::span<const std::string> excluded, std::mt19937_64& random) const;

    // Update the number of in-flight calls to a target. `callEnded` ignores targets without in-flight calls.
    void callStarted(const std::string& target);
    void callEnded(const std::string& target);

    std::size_t inFlight(std::string_view target) const;

private:
    std::string availabilityZone;
    std::map<std::string, std::size_t, std::less<>> inFlightCalls; // By target; no entry for targets without calls.
};

}
