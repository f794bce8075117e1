#include "serving/ServingConfiguration.h"

#include <algorithm>

#include <boost/algorithm/string/case_conv.hpp>

namespace marigoldpaddle {

const ServiceProfile* ServingConfiguration::service(std::string_view name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

unsigned ServingConfiguration::rank(const Route& route, const std::string& workspace) const
{
    const auto found = this->rankByWorkspace.find(workspace);
    return found == this->rankByWorkspace.end() ? route.rank : found->second;
}

void ServingConfiguration::complete()
{
    for (const auto& route : this->routes) {
        if (route.kind != RouteKind::Stream)
            continue;
        for (const auto& share : route.shares) {
            if (const auto service = this->services.find(share.service); service != this->services.end())
                service->second.tightestGap = std::min(service->second.tightestGap, route.gapObjective);
        }
    }
}

RouteTable::RouteTable(const ServingConfiguration& configuration)
{
    for (const auto& route : configuration.routes)
        this->byHost[route.host].push_back(&route);
    for (auto& [host, routes] : this->byHost)
        std::ranges::sort(routes, std::ranges::greater {}, [](const Route* route) { return route->pathPrefix.size(); });
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const
{
    const auto routes
        = this->byHost.find(boost::algorithm::to_lower_copy(std::string { host.substr(0, host.find(':')) }));
    if (routes == this->byHost.end())
        return nullptr;
    const auto path = target.substr(0, target.find_first_of("?#"));
    const auto found
        = std::ranges::find_if(routes->second, [&](const Route* route) { return path.starts_with(route->pathPrefix); });
    return found == routes->second.end() ? nullptr : *found;
}

}
