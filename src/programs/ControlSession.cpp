#include "programs/ControlSession.h"

#include <ostream>
#include <random>
#include <sstream>

#include <boost/json.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

std::string randomId()
{
    std::random_device source;
    std::ostringstream id;
    id << std::hex;
    for (int i = 0; i < 4; ++i)
        id << source();
    return id.str();
}

}

ControlSession::ControlSession(const ControlOptions& options, PlatformLog& log, InstanceList& instances,
    StatusSource& statuses, ConfigurationPeers& peers, const Clock& clock, std::ostream& out, std::ostream& errors)
    : newId(randomId)
    , options(options)
    , log(log)
    , instances(instances)
    , statuses(statuses)
    , peers(peers)
    , out(out)
    , errors(errors)
    , publisher(log, clock, PublicationSettings { options.allowedTime })
{
}

asio::awaitable<ControlExit> ControlSession::run()
{
    const auto& command = this->options.command;
    if (command == "validate")
        co_return this->validate();
    if (command == "status")
        co_return co_await this->status();
    if (command == "targets")
        co_return co_await this->targets();
    if (!co_await this->readState())
        co_return ControlExit::Unavailable;
    if (command == "diff")
        co_return this->diff();
    if (command == "apply")
        co_return co_await this->apply();
    if (command == "use")
        co_return co_await this->publishPresetChange(ConfigurationChangeKind::Use);
    if (command == "delete")
        co_return co_await this->publishPresetChange(ConfigurationChangeKind::Delete);
    if (command == "show")
        co_return this->show();
    if (command == "list")
        co_return this->list();
    co_return this->history();
}

asio::awaitable<bool> ControlSession::readState()
{
    auto result = co_await this->publisher.readToEnd(this->state);
    if (!result && result.error() == PlatformError::Trimmed) {
        co_await this->fetchFromInstances();
        result = co_await this->publisher.readToEnd(this->state);
    }
    if (result)
        co_return true;
    this->reportUnavailable("the log", result.error());
    if (result.error() == PlatformError::Trimmed)
        this->errors << "marigoldctl: neither the log nor an instance has enough records to restore the presets\n";
    co_return false;
}

asio::awaitable<void> ControlSession::fetchFromInstances()
{
    const auto listing = co_await this->instances.list();
    if (!listing)
        co_return;
    for (const auto& instance : listing.value().instances) {
        const auto update = co_await this->peers.fetch(instance.dispatcherAddress, this->state.nextOffset());
        if (update && update->isCurrent)
            applyUpdate(this->state, *update);
    }
}

ControlExit ControlSession::reportUnavailable(std::string_view what, PlatformError error)
{
    this->errors << "marigoldctl: " << what << " at " << this->options.platform << " cannot be read: " << name(error)
                 << '\n';
    return ControlExit::Unavailable;
}

ControlExit ControlSession::reportInvalid(const std::vector<std::string>& problems)
{
    for (const auto& each : problems)
        this->errors << each << '\n';
    return ControlExit::Invalid;
}

void ControlSession::print(const boost::json::value& value)
{
    this->out << boost::json::serialize(value) << '\n';
}

}
