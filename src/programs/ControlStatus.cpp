#include <algorithm>
#include <ostream>

#include <boost/json.hpp>

#include "programs/ControlSession.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

json::object toJson(const InstanceDescription& instance, const std::optional<InstanceStatus>& status)
{
    json::object object { { "instance", instance.name }, { "zone", instance.availabilityZone },
        { "leaving", instance.isLeaving }, { "answered", status.has_value() } };
    if (!status)
        return object;
    object["offset"] = status->offset;
    object["ready"] = status->isCurrent;
    object["preset"] = status->presetInForce;
    if (status->gatewayOffset)
        object["gateway_offset"] = *status->gatewayOffset;
    return object;
}

std::string describe(const std::optional<InstanceStatus>& status)
{
    if (!status)
        return "no answer";
    const auto gateway = status->gatewayOffset ? ", gateway at " + std::to_string(*status->gatewayOffset) : "";
    return "offset " + std::to_string(status->offset) + gateway + ", preset " + status->presetInForce
        + (status->isCurrent ? "" : ", not ready");
}

bool hasReached(const std::optional<InstanceStatus>& status, std::uint64_t offset)
{
    return status && status->isCurrent && status->offset >= offset && status->gatewayOffset.value_or(offset) >= offset;
}

}

asio::awaitable<ControlExit> ControlSession::status()
{
    const auto listing = co_await this->instances.list();
    if (!listing)
        co_return this->reportUnavailable("the instance list", listing.error());
    // If the log cannot be read, the instances are compared with the highest offset that one of them reports.
    const auto isLogRead = co_await this->readState();
    auto end = this->state.nextOffset();
    std::vector<std::optional<InstanceStatus>> statuses;
    for (const auto& instance : listing.value().instances) {
        auto status = co_await this->statuses.status(instance.dispatcherAddress);
        end = std::max(end, status ? status->offset : 0);
        statuses.push_back(std::move(status));
    }
    json::array entries;
    auto haveAllReached = true;
    for (std::size_t i = 0; i < statuses.size(); ++i) {
        const auto& instance = listing.value().instances[i];
        haveAllReached = haveAllReached && hasReached(statuses[i], end);
        entries.push_back(toJson(instance, statuses[i]));
        if (!this->options.isJson)
            this->out << instance.name << " (" << instance.availabilityZone << (instance.isLeaving ? ", leaving" : "")
                      << "): " << describe(statuses[i]) << '\n';
    }
    if (this->options.isJson)
        this->print(json::object { { "log_answered", isLogRead }, { "end", end },
            { "preset", this->state.nameInForce() }, { "instances", std::move(entries) } });
    else
        this->out << (isLogRead ? "log" : "log not read; most advanced instance") << " at " << end << '\n';
    co_return haveAllReached ? ControlExit::Success : ControlExit::Different;
}

asio::awaitable<ControlExit> ControlSession::targets()
{
    const auto listing = co_await this->instances.list();
    if (!listing)
        co_return this->reportUnavailable("the instance list", listing.error());
    json::array entries;
    for (const auto& target : listing.value().targets) {
        const auto* kind = target.kind == TargetKind::Engine ? "engine" : "service";
        entries.push_back(json::object { { "target", target.name }, { "kind", kind }, { "serves", target.serves },
            { "zone", target.availabilityZone }, { "address", target.address }, { "leaving", target.isLeaving } });
        if (!this->options.isJson)
            this->out << target.name << " (" << target.availabilityZone << "): " << kind << " of " << target.serves
                      << " at " << target.address << (target.isLeaving ? ", leaving" : "") << '\n';
    }
    if (this->options.isJson)
        this->print(json::object { { "targets", std::move(entries) } });
    co_return ControlExit::Success;
}

}
