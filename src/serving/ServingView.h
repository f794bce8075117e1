#pragma once

#include <memory>
#include <optional>
#include <string>

#include "serving/ServingConfiguration.h"
#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// A configuration in force with its index of routes. Requests keep the one that they began with.
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

// What this instance knows from the platform and its peers.
class ServingView {
public:
    // Puts a configuration in force unless a newer one is. Returns whether it did.
    bool install(ServingConfiguration configuration);

    // Null until the first configuration is known.
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
