#include "serving/DenialPolicy.h"

#include <algorithm>

namespace marigoldpaddle {

namespace {

// A version that peers have named is fetched in a few round trips. If that fails, the caller is served sooner by
// another instance.
constexpr int WaitPartsOfBound = 8;
// A caller that is refused after its wait has time left for two retries: each Retry-After takes a third of it.
constexpr int WaitPartsOfRemaining = 4;

}

DenialPolicy::DenialPolicy(Duration configurationBound)
    : bound(configurationBound)
{
}

void DenialPolicy::setConfigurationBound(Duration bound)
{
    this->bound = bound;
}

bool DenialPolicy::isCurrent(const ConfigurationKnowledge& known) const
{
    return known.newestKnown <= known.version && known.age && *known.age <= this->bound;
}

Duration DenialPolicy::waitLimit(Duration remaining) const
{
    return std::max(Duration::zero(), std::min(this->bound / WaitPartsOfBound, remaining / WaitPartsOfRemaining));
}

DenialPolicy::Decision DenialPolicy::decide(
    const ConfigurationKnowledge& known, Duration waited, Duration remaining, std::size_t others) const
{
    if (this->isCurrent(known))
        return Decision::Deny;
    // The limit counts from the start of the wait.
    const bool mayWait = waited < this->waitLimit(remaining + waited) && others < MaximumWaiting;
    return mayWait ? Decision::Wait : Decision::Defer;
}

}
