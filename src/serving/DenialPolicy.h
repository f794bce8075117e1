#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// What an instance knows of the configuration in force.
struct ConfigurationKnowledge {
    std::uint64_t version { 0 };
    std::uint64_t newestKnown { 0 }; // The highest version that the store or a peer has named.
    std::optional<Duration> age; // Since `version` was known to be the newest; empty if it never was.
};

// Decides what becomes of a request that the configuration in force does not allow. Callers do not retry after a
// denial (404, 401), so an instance denies only by a configuration that is current.
class DenialPolicy {
public:
    enum class Decision {
        Deny, // Final.
        Wait, // Look the request up again once the configuration changes or is confirmed.
        Defer, // Refuse it as not executed, so that the caller retries elsewhere.
    };

    // Requests that wait at the same time. Each holds its body, and all are looked up again after a change.
    static constexpr std::size_t MaximumWaiting = 256;

    // `configurationBound` is the time within which a change of the configuration must take effect.
    explicit DenialPolicy(Duration configurationBound);

    void setConfigurationBound(Duration bound);

    // Whether no newer version is known, and none can have been in force for longer than the bound.
    bool isCurrent(const ConfigurationKnowledge& known) const;

    // How long a request waits for a current configuration. `remaining` is the time that its caller has left.
    Duration waitLimit(Duration remaining) const;

    // `waited` is the time that the request has waited so far, `others` the number of other requests that wait.
    Decision decide(const ConfigurationKnowledge& known, Duration waited, Duration remaining, std::size_t others) const;

private:
    Duration bound;
};

}
