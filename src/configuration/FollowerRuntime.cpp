#include "configuration/FollowerRuntime.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

namespace marigoldpaddle {

namespace asio = boost::asio;

FollowerRuntime::FollowerRuntime(asio::io_context& context, const Clock& clock, PlatformLog& log,
    ConfigurationPeers& peers, MetricsRegistry& metrics, FollowerSettings settings, std::function<void()> onChange)
    : context(context)
    , clock(clock)
    , log(log)
    , peers(peers)
    , metrics(metrics)
    , onChange(std::move(onChange))
    , follower(settings, std::random_device {}())
    , timer(context)
{
}

void FollowerRuntime::start()
{
    this->execute(this->follower.start(this->clock.now()));
}

void FollowerRuntime::setPeers(std::vector<std::string> peers, std::size_t rank)
{
    this->execute(this->follower.setPeers(std::move(peers), rank, this->clock.now()));
}

void FollowerRuntime::observePeerOffset(std::string_view peer, std::uint64_t offset)
{
    this->execute(this->follower.observePeerOffset(peer, offset, this->clock.now()));
}

const ConfigurationState& FollowerRuntime::state() const
{
    return this->follower.state();
}

bool FollowerRuntime::isReady() const
{
    return this->follower.isReady();
}

ConfigurationUpdate FollowerRuntime::updateSince(std::uint64_t knownOffset)
{
    return this->follower.updateSince(knownOffset, this->clock.now());
}

void FollowerRuntime::execute(FollowerCommands commands)
{
    for (auto& command : commands) {
        if (auto* read = std::get_if<ReadLogCommand>(&command))
            asio::co_spawn(this->context, this->readLog(*read), asio::detached);
        else if (auto* fetch = std::get_if<FetchFromPeerCommand>(&command))
            asio::co_spawn(this->context, this->fetch(std::move(*fetch)), asio::detached);
        else
            asio::co_spawn(this->context, this->appendCheckpoint(std::move(std::get<AppendCheckpointCommand>(command))),
                asio::detached);
    }
    this->armTimer();
    const auto& state = this->follower.state();
    if (state.nextOffset() == this->lastReportedOffset)
        return;
    this->lastReportedOffset = state.nextOffset();
    if (state.nameInForce() != this->lastLoggedPreset) {
        this->lastLoggedPreset = state.nameInForce();
        LOG(INFO) << "preset in force: " << this->lastLoggedPreset << ", offset " << this->lastReportedOffset;
    }
    this->onChange();
}

void FollowerRuntime::armTimer()
{
    const auto deadline = this->follower.nextDeadline();
    if (deadline == TimePoint::max() || deadline == this->timer.expiry())
        return;
    this->timer.expires_at(deadline);
    this->timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure)
            this->execute(this->follower.advance(this->clock.now()));
    });
}

asio::awaitable<void> FollowerRuntime::readLog(ReadLogCommand command)
{
    auto page = co_await this->log.read(command.offset, command.limit, command.wait);
    this->metrics.counter("marigold_configuration_reads_total").increment();
    if (page) {
        this->execute(this->follower.logRead(page.value(), this->clock.now()));
        co_return;
    }
    const auto label = "error=\"" + std::string { name(page.error()) } + "\"";
    this->metrics.counter("marigold_configuration_read_failures_total", label).increment();
    this->execute(this->follower.logReadFailed(page.error(), this->clock.now()));
}

asio::awaitable<void> FollowerRuntime::fetch(FetchFromPeerCommand command)
{
    auto peer = command.peer;
    auto update = co_await this->peers.fetch(std::move(peer), command.knownOffset);
    const auto label = std::string { update ? "result=\"answered\"" : "result=\"failed\"" };
    this->metrics.counter("marigold_configuration_fetches_total", label).increment();
    this->execute(update ? this->follower.peerAnswered(command.peer, *update, this->clock.now())
                         : this->follower.peerFailed(command.peer, this->clock.now()));
}

asio::awaitable<void> FollowerRuntime::appendCheckpoint(AppendCheckpointCommand command)
{
    for (auto& record : command.records) {
        auto result = co_await this->log.append(std::move(record));
        const auto label = std::string { result ? "result=\"appended\"" : "result=\"failed\"" };
        this->metrics.counter("marigold_configuration_checkpoint_records_total", label).increment();
        if (!result)
            co_return; // CheckpointSchedule repeats the write if the checkpoint is not seen in the stream.
    }
}

}
