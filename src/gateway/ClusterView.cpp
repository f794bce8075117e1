#include "gateway/ClusterView.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include "configuration/ConfigurationPeers.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds LongPollWait { 500 };
constexpr std::chrono::milliseconds PollTimeout { 1500 };
constexpr std::chrono::milliseconds RetryDelay { 100 };

CellView cellFrom(const wire::CellDigestRecord& record)
{
    return { fromWire(record), fromWire(record.owner) };
}

ServiceTarget serviceFrom(const wire::ServiceTargetRecord& record)
{
    return { record.name, record.serviceName, record.address, record.availabilityZone };
}

}

ClusterView::ClusterView(asio::io_context& context, RpcClient& rpc, MetricsRegistry& metrics, InstanceId instance,
    std::string dispatcherAddress)
    : context(context)
    , rpc(rpc)
    , metrics(metrics)
    , instance(std::move(instance))
    , localDispatcherAddress(std::move(dispatcherAddress))
    , changeSignal(context, TimePoint::max())
{
}

void ClusterView::start()
{
    asio::co_spawn(this->context, this->pollLoop(), asio::detached);
}

asio::awaitable<void> ClusterView::pollLoop()
{
    while (true) {
        if (co_await this->pollOnce(this->nextDispatcherAddress())) {
            this->consecutiveFailures = 0;
            continue;
        }
        ++this->consecutiveFailures;
        this->metrics.counter("marigold_gateway_view_failures_total").increment();
        asio::steady_timer timer { this->context, RetryDelay };
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> ClusterView::pollOnce(std::string address)
{
    wire::ViewRequest request;
    request.requester = toWire(this->instance);
    request.knownConfigurationOffset = static_cast<std::int64_t>(this->configuration.nextOffset());
    request.waitMs = LongPollWait.count();
    request.knownVersion = address == this->versionAddress ? this->version : 0;
    wire::Payload payload;
    payload.__set_view(request);
    auto answer = co_await this->rpc.call(address, std::move(payload), PollTimeout);
    if (!answer || !answer.value().__isset.viewAnswer)
        co_return false;
    this->versionAddress = address;
    this->applyAnswer(answer.value().viewAnswer);
    co_return true;
}

std::string ClusterView::nextDispatcherAddress()
{
    // After consecutive failures, polls alternate between the local dispatcher and the other known members in turn.
    if (this->consecutiveFailures % 2 == 0 || this->knownMembers.empty())
        return this->localDispatcherAddress;
    return this->knownMembers[(this->consecutiveFailures / 2) % this->knownMembers.size()].dispatcherAddress;
}

void ClusterView::applyAnswer(const wire::ViewAnswer& answer)
{
    this->version = answer.version;
    this->knownMembers.clear();
    std::ranges::transform(answer.members, std::back_inserter(this->knownMembers),
        [](const wire::MemberRecord& record) { return fromWire(record); });
    this->knownCells.clear();
    std::ranges::transform(answer.cells, std::back_inserter(this->knownCells), cellFrom);
    this->leavingTargets.clear();
    for (const auto& mark : answer.leavingTargets) {
        if (mark.leaving)
            this->leavingTargets.insert(mark.target);
    }
    this->knownServices.clear();
    std::ranges::transform(answer.services, std::back_inserter(this->knownServices), serviceFrom);
    this->changeSignal.cancel();
    ConfigurationUpdate update;
    update.records = recordsFrom(answer.configurationRecords);
    if (answer.__isset.configurationSnapshot)
        update.snapshot = answer.configurationSnapshot;
    const auto previousPreset = this->configuration.nameInForce();
    applyUpdate(this->configuration, update);
    if (this->configuration.nextOffset() < static_cast<std::uint64_t>(answer.configurationOffset))
        this->metrics.counter("marigold_gateway_snapshots_refused_total").increment();
    if (this->configuration.nameInForce() != previousPreset)
        LOG(INFO) << "preset in force: " << this->configuration.nameInForce();
}

std::shared_ptr<const Preset> ClusterView::preset() const
{
    return this->configuration.presetInForce();
}

std::uint64_t ClusterView::configurationOffset() const
{
    return this->configuration.nextOffset();
}

const std::vector<CellView>& ClusterView::cells() const
{
    return this->knownCells;
}

const std::vector<ServiceTarget>& ClusterView::services() const
{
    return this->knownServices;
}

bool ClusterView::isLeaving(std::string_view target) const
{
    return this->leavingTargets.contains(target);
}

const std::vector<Member>& ClusterView::members() const
{
    return this->knownMembers;
}

const CellView* ClusterView::cell(const CellId& id) const
{
    const auto found
        = std::ranges::find_if(this->knownCells, [&](const CellView& each) { return each.digest.cell == id; });
    return found == this->knownCells.end() ? nullptr : &*found;
}

asio::awaitable<void> ClusterView::waitForChange(Duration time)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer { this->context, time };
    boost::system::error_code ignored;
    co_await (this->changeSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored))
        || timer.async_wait(asio::use_awaitable));
}

asio::awaitable<void> ClusterView::waitForOwnerChange(CellId id, InstanceId owner)
{
    boost::system::error_code failure;
    while (true) {
        const auto* known = this->cell(id);
        if (known && known->owner != owner)
            co_return;
        co_await this->changeSignal.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none)
            co_return;
    }
}

std::string ClusterView::dispatcherAddressOf(const InstanceId& instance) const
{
    const auto found = std::ranges::find_if(
        this->knownMembers, [&](const Member& member) { return member.instance.name == instance.name; });
    return found == this->knownMembers.end() ? std::string {} : found->dispatcherAddress;
}

}
