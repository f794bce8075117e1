#include "dispatch/OwnedCell.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Number of engines that may load a version at the same time. They have no capacity meanwhile, a cell has at most 16
// engines, and the weight store is rate-limited.
constexpr std::size_t MaximumConcurrentOrders = 1;

}

struct OwnedCell::PendingAcquire {
    explicit PendingAcquire(asio::io_context& context)
        : done(context, TimePoint::max())
    {
    }

    asio::steady_timer done; // Never expires; cancelled to resume the waiting coroutine.
    std::optional<SchedulerCommand> answer;
    bool isHandedOver { false };
    TimePoint since {};
};

OwnedCell::OwnedCell(asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, CellId id,
    std::unique_ptr<CellScheduler> scheduler, OrphanReclaimer reclaimer)
    : clock(clock)
    , metrics(metrics)
    , cell(std::move(id))
    , scheduler(std::move(scheduler))
    , reclaimer(std::move(reclaimer))
    , orders(MaximumConcurrentOrders)
    , timer(context)
{
}

OwnedCell::~OwnedCell()
{
    this->handOver();
}

const CellId& OwnedCell::id() const
{
    return this->cell;
}

asio::awaitable<std::optional<SchedulerCommand>> OwnedCell::acquire(PlacementRequest request)
{
    auto& context = static_cast<asio::io_context&>(this->timer.get_executor().context());
    auto pending = std::make_shared<PendingAcquire>(context);
    pending->since = this->clock.now();
    if (const auto earlier = this->pendingAcquires.find(request.id); earlier != this->pendingAcquires.end()) {
        earlier->second->isHandedOver = true;
        earlier->second->done.cancel();
    }
    this->pendingAcquires[request.id] = pending;
    this->executeCommands(this->scheduler->submit(request, this->clock.now()));
    boost::system::error_code ignored;
    if (!pending->answer && !pending->isHandedOver)
        co_await pending->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return pending->answer;
}

void OwnedCell::withdraw(const RequestId& id)
{
    this->pendingAcquires.erase(id);
    this->executeCommands(this->scheduler->withdraw(id, this->clock.now()));
}

void OwnedCell::firstToken(const RequestId& id)
{
    this->executeCommands(this->scheduler->firstToken(id, this->clock.now()));
}

void OwnedCell::finish(const RequestId& id, std::uint64_t outputTokens)
{
    this->reclaimer.noteFinished(id);
    this->executeCommands(this->scheduler->finish(id, outputTokens, this->clock.now()));
}

void OwnedCell::noteHoldings(const InstanceId& owner, std::span<const Holding> holdings)
{
    this->reclaimer.noteHoldings(owner, holdings, this->clock.now());
    for (const auto& holding : holdings)
        this->executeCommands(this->scheduler->restoreGrant(holding, this->clock.now()));
}

void OwnedCell::noteConnected()
{
    this->reclaimer.noteConnected(this->clock.now());
}

void OwnedCell::noteReport(const LoadReport& report)
{
    const auto state = this->targetStates.find(report.target);
    if (state == this->targetStates.end())
        return;
    state->second.omitsAllocations = !report.allocations;
    this->applyTargetEvent(report.target, TargetEvent::Answered);
    this->orders.noteReport(report.target, report.version);
    this->reclaimer.noteReport(report, this->clock.now());
    const auto label = "target=\"" + report.target + "\"";
    const auto unaccounted = static_cast<double>(this->reclaimer.unaccountedTokens(report.target));
    this->metrics.gauge("marigold_steward_unaccounted_tokens", label).set(unaccounted);
    this->executeCommands(this->scheduler->reportLoad(report, this->clock.now()));
}

void OwnedCell::noteUnanswered(std::string_view target)
{
    this->applyTargetEvent(std::string { target }, TargetEvent::Unanswered);
}

bool OwnedCell::noteLeaving(std::string_view target)
{
    const auto state = this->targetStates.find(target);
    if (state == this->targetStates.end() || state->second.lifecycle.leavingSince() != TimePoint::max())
        return false;
    this->applyTargetEvent(state->first, TargetEvent::Leaving);
    return true;
}

// Applies an event to a target's lifecycle. On a change of condition, informs the scheduler whether the target accepts
// requests.
void OwnedCell::applyTargetEvent(const std::string& target, TargetEvent event)
{
    const auto state = this->targetStates.find(target);
    if (state == this->targetStates.end() || !state->second.lifecycle.handle(event, this->clock.now()))
        return;
    const auto condition = state->second.lifecycle.condition();
    LOG(INFO) << "target " << target << " is " << name(condition);
    if (condition == TargetCondition::Gone) {
        this->orders.removeTarget(target);
        this->reclaimer.removeTarget(target);
        this->executeCommands(this->scheduler->removeTarget(target, this->clock.now()));
        return;
    }
    auto description = this->descriptions.at(target);
    description.isLeaving = !state->second.lifecycle.acceptsRequests();
    this->executeCommands(this->scheduler->updateTarget(description, this->clock.now()));
}

void OwnedCell::setTargets(std::span<const TargetDescription> current)
{
    const auto isListed = [&](const std::string& name) {
        return std::ranges::find(current, name, &TargetDescription::name) != current.end();
    };
    std::vector<std::string> removed;
    std::ranges::copy_if(this->descriptions | std::views::keys, std::back_inserter(removed), std::not_fn(isListed));
    for (const auto& name : removed) {
        this->applyTargetEvent(name, TargetEvent::Removed);
        this->descriptions.erase(name);
        this->targetStates.erase(name);
    }
    for (const auto& description : current) {
        auto& known = this->descriptions[description.name];
        if (known == description)
            continue;
        const auto isNewIncarnation
            = known.incarnation != description.incarnation || known.address != description.address;
        known = description;
        if (isNewIncarnation) {
            this->reclaimer.removeTarget(description.name);
            this->targetStates[description.name] = TargetState {};
            this->executeCommands(this->scheduler->removeTarget(description.name, this->clock.now()));
            this->executeCommands(this->scheduler->updateTarget(description, this->clock.now()));
        }
        if (description.isLeaving)
            this->applyTargetEvent(description.name, TargetEvent::Leaving);
    }
}

const std::map<std::string, TargetDescription, std::less<>>& OwnedCell::targets() const
{
    return this->descriptions;
}

std::vector<CancelAllocation> OwnedCell::takeCancels()
{
    auto cancels = this->reclaimer.decide(this->clock.now());
    this->metrics.counter("marigold_steward_cancels_total").increment(cancels.size());
    return cancels;
}

void OwnedCell::noteCancelled(const CancelAllocation& cancelled)
{
    this->reclaimer.noteCancelled(cancelled);
    this->executeCommands(this->scheduler->finish(cancelled.id, 0, this->clock.now()));
}

void OwnedCell::setIntent(const EngineIntent& intent)
{
    this->orders.setIntent(intent);
}

std::vector<EngineOrder> OwnedCell::takeOrders()
{
    return this->orders.decide(this->clock.now());
}

void OwnedCell::noteOrderOutcome(const EngineOrder& order, OrderOutcome outcome)
{
    this->orders.noteOutcome(order, outcome, this->clock.now());
}

bool OwnedCell::omitsAllocations(std::string_view target) const
{
    const auto state = this->targetStates.find(target);
    return state != this->targetStates.end() && state->second.omitsAllocations;
}

CellDigest OwnedCell::digest() const
{
    auto digest = this->scheduler->digest(this->clock.now());
    digest.cell = this->cell;
    return digest;
}

void OwnedCell::handOver()
{
    this->scheduler->drainQueue();
    for (auto& [id, pending] : this->pendingAcquires) {
        pending->isHandedOver = true;
        pending->done.cancel();
    }
    this->pendingAcquires.clear();
}

void OwnedCell::executeCommands(const SchedulerCommands& commands)
{
    for (const auto& command : commands)
        std::visit([&](const auto& each) { this->deliver(each.id, command); }, command);
    this->armTimer();
}

void OwnedCell::deliver(const RequestId& id, const SchedulerCommand& command)
{
    const auto found = this->pendingAcquires.find(id);
    if (const auto* refusal = std::get_if<Refusal>(&command)) {
        const auto label = "reason=\"" + std::string { name(refusal->reason) } + "\"";
        this->metrics.counter("marigold_dispatcher_refusals_total", label).increment();
    } else if (found == this->pendingAcquires.end()) {
        // The request was withdrawn: no gateway is waiting for this grant.
        this->finish(id, 0);
        return;
    }
    if (found == this->pendingAcquires.end())
        return;
    auto pending = found->second;
    this->pendingAcquires.erase(found);
    this->metrics.histogram("marigold_dispatcher_queue_seconds").record(this->clock.now() - pending->since);
    if (const auto* grant = std::get_if<Grant>(&command))
        this->reclaimer.noteGrant(grant->id, grant->parts, grant->expiry, this->clock.now());
    pending->answer = command;
    pending->done.cancel();
}

void OwnedCell::armTimer()
{
    const auto next = this->scheduler->nextTick();
    if (next == this->armedFor)
        return;
    this->armedFor = next;
    this->timer.expires_at(next);
    this->timer.async_wait([this](const boost::system::error_code& failure) {
        if (failure)
            return;
        this->armedFor = TimePoint::max();
        this->executeCommands(this->scheduler->tick(this->clock.now()));
    });
}

}
