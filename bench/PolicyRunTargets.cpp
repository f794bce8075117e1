// Engines and dispatchers of a policy run.
#include <algorithm>
#include <ranges>

#include "PolicyRun.h"

namespace marigoldpaddle {

namespace {

constexpr std::chrono::seconds OwnerFailoverDelay { 1 }; // Until a cell has a new owner after an unplanned loss.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration duration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}

void PolicyRun::wake(std::size_t number)
{
    auto& engine = this->engines[number];
    if (engine.isIterating || !engine.isAlive || engine.fake.isIdle())
        return;
    this->recordIdleCapacity(engine);
    this->iterate(number);
}

void PolicyRun::iterate(std::size_t number)
{
    auto& engine = this->engines[number];
    engine.isIterating = true;
    engine.iterationStart = this->clock.now();
    auto iteration = engine.fake.iterate();
    this->recordIteration(iteration);
    this->scheduleAfter(duration(iteration.seconds), [this, number, events = std::move(iteration.events)] {
        auto& engine = this->engines[number];
        engine.isIterating = false;
        engine.iterationStart = this->clock.now();
        if (!engine.isAlive)
            return;
        for (const auto& event : events)
            this->apply(event);
        if (!engine.fake.isIdle())
            this->iterate(number);
    });
}

void PolicyRun::apply(const EngineEvent& event)
{
    auto number = event.request;
    const auto& request = this->requests[number];
    if (request.attempt != event.attempt || request.isOver || request.parts.empty())
        return;
    switch (event.kind) {
    case EngineEventKind::Admitted:
        this->partAllocated(number);
        break;
    case EngineEventKind::Prefilled:
        this->partPrefilled(number, event.cachedTokens);
        break;
    case EngineEventKind::FirstToken:
        this->scheduleAfter(this->parameters.messages.hopDelay,
            [this, number, id = this->idOf(number)] { this->receiveFirstToken(number, id); });
        break;
    case EngineEventKind::Finished:
        this->scheduleAfter(this->parameters.messages.hopDelay, [this, number, attempt = request.attempt] {
            if (this->requests[number].attempt == attempt && !this->requests[number].isOver)
                this->finish(number);
        });
        break;
    }
}

// Sends the next part of a span, or starts the prefill when the memory of all parts is allocated.
void PolicyRun::partAllocated(std::uint64_t number)
{
    auto& request = this->requests[number];
    if (request.parts.size() == 1)
        return;
    if (++request.allocatedParts < request.parts.size()) {
        auto part = request.allocatedParts;
        this->scheduleAfter(this->parameters.messages.hopDelay, [this, number, part, attempt = request.attempt] {
            const auto& request = this->requests[number];
            if (request.attempt == attempt && !request.parts.empty())
                this->sendPart(number, part);
        });
        return;
    }
    for (const auto& part : request.parts) {
        this->engines[this->engineOf(part.target)].fake.startSpan(number);
        this->wake(this->engineOf(part.target));
    }
}

void PolicyRun::partPrefilled(std::uint64_t number, std::uint64_t cachedTokens)
{
    auto& request = this->requests[number];
    if (this->isMeasured(request.item->arrival) && request.prefilledParts == 0 && request.deliveredTokens == 0)
        this->result.cachedTokens += std::min(cachedTokens, request.item->reusableTokens);
    if (++request.prefilledParts < request.parts.size() || request.parts.size() == 1)
        return;
    auto leader = this->engineOf(request.parts.front().target);
    this->engines[leader].fake.startDecoding(number);
    this->wake(leader);
}

void PolicyRun::receiveFirstToken(std::uint64_t number, const RequestId& id)
{
    auto& outcome = this->result.outcomes[number];
    if (!outcome.firstToken && !outcome.refused)
        outcome.firstToken = this->clock.now() - this->start - outcome.arrival;
    this->call(this->requests[number].cell,
        [&](CellScheduler& scheduler) { return scheduler.firstToken(id, this->clock.now()); });
}

void PolicyRun::recordIteration(const IterationResult& iteration)
{
    auto bin = std::min<std::size_t>(GapBins - 1, static_cast<std::size_t>(iteration.seconds * 1e3));
    if (this->isMeasured(this->clock.now() - this->start)) {
        this->result.shortGaps[bin] += iteration.shortStreams;
        this->result.otherGaps[bin] += iteration.otherStreams;
    }
    if (!this->isInPeak())
        return;
    this->result.peakCapacitySeconds += this->parameters.engine.prefillBudgetSeconds;
    for (const auto& [number, prefillSeconds] : iteration.prefillSecondsByRequest)
        this->result.outcomes[number].peakPrefillSeconds += prefillSeconds;
}

// Adds the prefill time that an idle engine had available since its last iteration to the capacity in the load peak.
void PolicyRun::recordIdleCapacity(const Engine& engine)
{
    if (!this->isInPeak())
        return;
    const auto& parameters = this->parameters.engine;
    auto peakStart = this->start + this->profile.peakStart + this->profile.riseTime;
    auto idle = seconds(this->clock.now() - std::max(engine.iterationStart, peakStart));
    auto share = parameters.prefillBudgetSeconds / (parameters.prefillBudgetSeconds + parameters.iterationBaseSeconds);
    this->result.peakCapacitySeconds += idle * share;
}

void PolicyRun::report()
{
    for (const auto& cell : this->cells)
        this->sampleIdleMemory(cell);
    for (auto& engine : this->engines) {
        if (!engine.isAlive)
            continue;
        this->reportLoad(engine);
        this->reportCache(engine);
    }
}

void PolicyRun::sampleIdleMemory(const Cell& cell)
{
    auto isWaiting = cell.digest.queued > 0;
    double free = 0;
    for (auto number : cell.engines) {
        const auto& engine = this->engines[number];
        isWaiting = isWaiting || engine.fake.waitingCount() > 0;
        auto used = static_cast<double>(engine.fake.usedTokens());
        free += engine.isAlive ? 1 - used / static_cast<double>(this->parameters.engine.memoryTokens) : 0;
    }
    if (!isWaiting)
        return;
    this->idleMemorySum += free / static_cast<double>(cell.engines.size());
    ++this->idleMemorySamples;
}

void PolicyRun::reportLoad(const Engine& engine)
{
    const auto& messages = this->parameters.messages;
    auto isStale = this->settings.scenario == Scenario::StaleReports;
    LoadReport load { engine.description.name, this->clock.now(), engine.description.memoryTokens,
        engine.fake.usedTokens(), engine.fake.runningCount(), engine.fake.waitingCount(),
        engine.fake.prefillTokensPerSecond(), {}, std::nullopt };
    this->scheduleAfter(isStale ? messages.staleReportLag : messages.reportLag, [this, load, cell = engine.cell] {
        this->call(cell, [&](CellScheduler& scheduler) { return scheduler.reportLoad(load, this->clock.now()); });
    });
}

void PolicyRun::reportCache(Engine& engine)
{
    const auto& messages = this->parameters.messages;
    auto events = engine.fake.cache().takeEvents();
    for (auto& event : events) {
        event.target = engine.description.name;
        event.sequence = ++engine.cacheSequence;
    }
    std::uniform_real_distribution<double> unit;
    std::erase_if(events, [&](const CacheEvent&) { return unit(this->random) < messages.cacheEventLossShare; });
    this->scheduleAfter(messages.cacheLag, [this, events = std::move(events), cell = engine.cell] {
        this->call(cell, [&](CellScheduler& scheduler) { return scheduler.reportCache(events, this->clock.now()); });
    });
}

// Stops an engine. After the detection delay its cell removes the target and the requests on it are retried.
void PolicyRun::failEngine(std::size_t number)
{
    this->engines[number].isAlive = false;
    this->scheduleAfter(this->parameters.messages.detectionDelay, [this, number] {
        const auto& engine = this->engines[number];
        const auto& target = engine.description.name;
        this->call(
            engine.cell, [&](CellScheduler& scheduler) { return scheduler.removeTarget(target, this->clock.now()); });
        auto isOn = [&](const GrantPart& part) {
            return part.target == target;
        };
        for (std::uint64_t request = 0; request < this->requests.size(); ++request)
            if (std::ranges::any_of(this->requests[request].parts, isOn))
                this->retry(request);
    });
}

void PolicyRun::call(std::size_t number, const Call& call)
{
    auto& cell = this->cells[number];
    if (!cell.scheduler)
        return;
    this->execute(call(*cell.scheduler));
    this->scheduleTick(number);
}

void PolicyRun::execute(const SchedulerCommands& commands)
{
    auto hopDelay = this->parameters.messages.hopDelay;
    for (const auto& command : commands) {
        if (const auto* grant = std::get_if<Grant>(&command)) {
            auto number = this->numberOf(grant->id);
            this->scheduleAfter(hopDelay, [this, number, grant = *grant] { this->receiveGrant(number, grant); });
        } else {
            const auto& refusal = std::get<Refusal>(command);
            auto number = this->numberOf(refusal.id);
            this->scheduleAfter(hopDelay, [this, number, refusal] {
                if (this->idOf(number) == refusal.id)
                    this->receiveRefusal(number, refusal);
            });
        }
    }
}

void PolicyRun::scheduleTick(std::size_t number)
{
    auto& cell = this->cells[number];
    auto next = cell.scheduler->nextTick();
    if (next == TimePoint::max() || (next >= cell.tickAt && cell.tickAt > this->clock.now()))
        return;
    cell.tickAt = std::max(next, this->clock.now());
    this->scheduleAfter(cell.tickAt - this->clock.now(), [this, number, at = cell.tickAt] {
        if (this->cells[number].tickAt != at)
            return;
        this->cells[number].tickAt = TimePoint::max();
        this->call(number, [&](CellScheduler& scheduler) { return scheduler.tick(this->clock.now()); });
    });
}

void PolicyRun::refreshDigests()
{
    for (auto& cell : this->cells)
        if (cell.scheduler)
            cell.digest = cell.scheduler->digest(this->clock.now());
}

void PolicyRun::changeOwner(std::size_t number, bool isPlanned)
{
    auto& cell = this->cells[number];
    if (!cell.scheduler)
        return;
    cell.scheduler.reset();
    cell.tickAt = TimePoint::max();
    for (std::uint64_t request = 0; request < this->requests.size(); ++request) {
        const auto& each = this->requests[request];
        if (each.isWaiting && each.cell == number && !each.isOver)
            cell.awaitingOwner.push_back(request);
    }
    auto delay = isPlanned ? 2 * this->parameters.messages.hopDelay : Duration { OwnerFailoverDelay };
    this->scheduleAfter(delay, [this, number] { this->installOwner(number); });
}

// Creates the scheduler of a new owner and passes on the targets of the cell, the grants that gateways hold and the
// requests that still wait for a grant.
void PolicyRun::installOwner(std::size_t number)
{
    auto& cell = this->cells[number];
    CellSchedulerSettings settings;
    settings.cell = cell.id;
    cell.scheduler = makeScheduler(this->settings.policy, settings);
    for (auto engine : cell.engines)
        if (this->engines[engine].isAlive)
            cell.scheduler->updateTarget(this->engines[engine].description, this->clock.now());
    for (std::uint64_t request = 0; request < this->requests.size(); ++request) {
        const auto& each = this->requests[request];
        if (each.cell != number || each.parts.empty() || each.isOver)
            continue;
        Holding holding { this->idOf(request), { "gateway", 0 }, "workspace-" + std::to_string(each.item->workspace),
            each.parts, each.item->promptTokens, 0, each.item->maximumOutputTokens,
            !this->result.outcomes[request].firstToken, each.deadline };
        this->call(
            number, [&](CellScheduler& scheduler) { return scheduler.restoreGrant(holding, this->clock.now()); });
    }
    for (auto request : std::exchange(cell.awaitingOwner, {}))
        if (!this->requests[request].isOver && this->requests[request].isWaiting)
            this->call(number, [&](CellScheduler& scheduler) {
                return scheduler.submit(this->placementOf(request), this->clock.now());
            });
}

}
