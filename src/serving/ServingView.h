#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <marigoldpaddle/Clock.h>

#include "serving/ServingConfiguration.h"
#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// An active configuration with its route index. A request keeps the configuration that was active when it started.
class ActiveConfiguration {
public:
    explicit ActiveConfiguration(ServingConfiguration values)
        : values(completed(std::move(values)))
        , routes(this->values)
    {
    }

    ActiveConfiguration(const ActiveConfiguration&) = delete;
    ActiveConfiguration& operator=(const ActiveConfiguration&) = delete;

    const ServingConfiguration values;
    const RouteTable routes;

private:
    static ServingConfiguration completed(ServingConfiguration values)
    {
        values.complete();
        return values;
    }
};

// State received from the platform and from peers.
class ServingView {
public:
    // Activates a configuration unless its version is not newer than the active one. Returns whether it did.
    bool install(ServingConfiguration configuration);

    // Null until the first configuration is installed.
    const std::shared_ptr<const ActiveConfiguration>& configuration() const
    {
        return this->active;
    }

    std::uint64_t version() const
    {
        return this->active ? this->active->values.version : 0;
    }

    // Records that the active configuration was the newest one at `at`. Earlier times than the last one are ignored.
    void confirmConfiguration(BootTime at);

    // Time since the active configuration was known to be the newest; empty if it never was.
    std::optional<Duration> configurationAge(BootTime now) const;

    // Records a version that exists, whether or not this instance has it.
    // `at` is when it was named. It no longer counts once the active version is confirmed for a time after it was last
    // named: it then never existed, or the store and all peers have lost it.
    void recordKnownVersion(std::uint64_t version, BootTime at);

    // Higher versions are none.
    static constexpr std::uint64_t MaximumVersion = std::uint64_t { 1 } << 53;

    // The highest version that the platform or a peer has named.
    std::uint64_t newestKnownVersion() const
    {
        return this->knownVersion;
    }

    // `notify` is called after a configuration was installed or confirmed.
    void onConfigurationUpdate(std::function<void()> notify);

    TargetDirectory targets;

private:
    void notifyUpdate() const;

    std::shared_ptr<const ActiveConfiguration> active;
    std::optional<BootTime> confirmedAt;
    std::uint64_t knownVersion { 0 };
    BootTime knownAt {}; // When `knownVersion` was last named.
    std::function<void()> notify;
};

}
