#pragma once

#include <memory>
#include <optional>
#include <string>

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

    TargetDirectory targets;

private:
    std::shared_ptr<const ActiveConfiguration> active;
};

}
