#include "dispatch/OwnedCell.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Of a cell of sixteen: a load takes an engine's capacity away, and the weight store is rate-limited.
constexpr std::size_t EnginesOrderedAtOnce = 1;

}

struct OwnedCell::Waiting {
    explicit Waiting(asio::io_context& context)
        : done(context, TimePoint::max())
    {
    }

    asio::steady_timer done; // Cancelled by the answer.
    std::optional<SchedulerCommand> answer;
    bool isHandedOver { false };
    TimePoint since {};
};

OwnedCell::OwnedCell(asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, CellId id,
    std::unique_ptr<CellScheduler> scheduler, Steward steward)
    : clock(clock)
    , metrics(metrics)
    , cell(std::move(id))
    , scheduler(std::move(scheduler))
    , steward(std::move(steward))
    , orders(EnginesOrderedAtOnce)
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
    auto mine = std::make_shared<Waiting>(context);
    mine->since = this->clock.now();
    if (const auto earlier = this->waiting.find(request.id); earlier != this->waiting.end()) {
        earlier->second->isHandedOver = true;
        earlier->second->done.cancel();
    }
    this->waiting[request.id] = mine;
    this->carryOut(this->scheduler->submit(request, this->clock.now()));
    boost::system::error_code ignored;
    if (!mine->answer && !mine->isHandedOver)
        co_await mine->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return mine->answer;
}

void OwnedCell::withdraw(const RequestId& id)
{
    this->waiting.erase(id);
    this->carryOut(this->scheduler->withdraw(id, this->clock.now()));
}

void OwnedCell::firstToken(const RequestId& id)
{
    this->carryOut(this->scheduler->firstToken(id, this->clock.now()));
}

void OwnedCell::finish(const RequestId& id, std::uint64_t outputTokens)
{
    this->steward.noteFinished(id);
    this->carryOut(this->scheduler->finish(id, outputTokens, this->clock.now()));
}

void OwnedCell::noteHoldings(const InstanceId& owner, std::span<const Holding> holdings)
{
    this->steward.noteHoldings(owner, holdings, this->clock.now());
    for (const auto& holding : holdings)
        this->carryOut(this->scheduler->adopt(holding, this->clock.now()));
}

void OwnedCell::noteConnected()
{
    this->steward.noteConnected(this->clock.now());
}

void OwnedCell::noteReport(const LoadReport& report)
{
    const auto life = this->lives.find(report.target);
    if (life == this->lives.end())
        return;
    life->second.hidesAllocations = !report.allocations;
    this->observe(report.target, TargetEvent::Answered);
    this->orders.noteReport(report.target, report.version);
    this->steward.noteReport(report, this->clock.now());
    const auto label = "target=\"" + report.target + "\"";
    const auto unaccounted = static_cast<double>(this->steward.unaccountedTokens(report.target));
    this->metrics.gauge("marigold_steward_unaccounted_tokens", label).set(unaccounted);
    this->carryOut(this->scheduler->reportLoad(report, this->clock.now()));
}

void OwnedCell::noteMissed(std::string_view target)
{
    this->observe(std::string { target }, TargetEvent::Missed);
}

bool OwnedCell::noteLeaving(std::string_view target)
{
    const auto life = this->lives.find(target);
    if (life == this->lives.end() || life->second.lifecycle.leavingSince() != TimePoint::max())
        return false;
    this->observe(life->first, TargetEvent::Leaving);
    return true;
}

// Tells the scheduler whether a target takes work, whenever that changes.
void OwnedCell::observe(const std::string& target, TargetEvent event)
{
    const auto life = this->lives.find(target);
    if (life == this->lives.end() || !life->second.lifecycle.handle(event, this->clock.now()))
        return;
    const auto condition = life->second.lifecycle.condition();
    LOG(INFO) << "target " << target << " is " << name(condition);
    if (condition == TargetCondition::Gone) {
        this->orders.forgetTarget(target);
        this->steward.forgetTarget(target);
        this->carryOut(this->scheduler->removeTarget(target, this->clock.now()));
        return;
    }
    auto description = this->descriptions.at(target);
    description.isLeaving = !life->second.lifecycle.takesWork();
    this->carryOut(this->scheduler->updateTarget(description, this->clock.now()));
}

void OwnedCell::setTargets(std::span<const TargetDescription> wanted)
{
    const auto isWanted = [&](const std::string& name) {
        return std::ranges::find(wanted, name, &TargetDescription::name) != wanted.end();
    };
    std::vector<std::string> removed;
    std::ranges::copy_if(this->descriptions | std::views::keys, std::back_inserter(removed), std::not_fn(isWanted));
    for (const auto& name : removed) {
        this->observe(name, TargetEvent::Removed);
        this->descriptions.erase(name);
        this->lives.erase(name);
    }
    for (const auto& description : wanted) {
        auto& known = this->descriptions[description.name];
        if (known == description)
            continue;
        const auto isNewRun = known.incarnation != description.incarnation || known.address != description.address;
        known = description;
        if (isNewRun) {
            this->steward.forgetTarget(description.name);
            this->lives[description.name] = Target {};
            this->carryOut(this->scheduler->removeTarget(description.name, this->clock.now()));
            this->carryOut(this->scheduler->updateTarget(description, this->clock.now()));
        }
        if (description.isLeaving)
            this->observe(description.name, TargetEvent::Leaving);
    }
}

const std::map<std::string, TargetDescription, std::less<>>& OwnedCell::targets() const
{
    return this->descriptions;
}

std::vector<CancelAllocation> OwnedCell::takeCancels()
{
    auto cancels = this->steward.decide(this->clock.now());
    this->metrics.counter("marigold_steward_cancels_total").increment(cancels.size());
    return cancels;
}

void OwnedCell::noteCancelled(const CancelAllocation& cancelled)
{
    this->steward.noteCancelled(cancelled);
    this->carryOut(this->scheduler->finish(cancelled.id, 0, this->clock.now()));
}

void OwnedCell::setIntent(const EngineIntent& intent)
{
    this->orders.setIntent(intent);
}

std::vector<EngineOrder> OwnedCell::takeOrders()
{
    return this->orders.decide(this->clock.now());
}

void OwnedCell::noteOrderAnswer(const EngineOrder& order, OrderAnswer answer)
{
    this->orders.noteAnswer(order, answer, this->clock.now());
}

bool OwnedCell::hidesAllocations(std::string_view target) const
{
    const auto life = this->lives.find(target);
    return life != this->lives.end() && life->second.hidesAllocations;
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
    for (auto& [id, waiting] : this->waiting) {
        waiting->isHandedOver = true;
        waiting->done.cancel();
    }
    this->waiting.clear();
}

void OwnedCell::carryOut(const SchedulerCommands& commands)
{
    for (const auto& command : commands)
        std::visit([&](const auto& each) { this->answer(each.id, command); }, command);
    this->armTimer();
}

void OwnedCell::answer(const RequestId& id, const SchedulerCommand& command)
{
    const auto found = this->waiting.find(id);
    if (const auto* refusal = std::get_if<Refusal>(&command)) {
        const auto label = "reason=\"" + std::string { name(refusal->reason) } + "\"";
        this->metrics.counter("marigold_dispatcher_refusals_total", label).increment();
    } else if (found == this->waiting.end()) {
        // Nobody waits for this grant any more.
        this->finish(id, 0);
        return;
    }
    if (found == this->waiting.end())
        return;
    auto waiting = found->second;
    this->waiting.erase(found);
    this->metrics.histogram("marigold_dispatcher_queue_seconds").record(this->clock.now() - waiting->since);
    if (const auto* grant = std::get_if<Grant>(&command))
        this->steward.noteGrant(grant->id, grant->parts, grant->expiry, this->clock.now());
    waiting->answer = command;
    waiting->done.cancel();
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
        this->carryOut(this->scheduler->tick(this->clock.now()));
    });
}

}
