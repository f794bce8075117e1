// The engines' and the dispatchers' part of a policy run.
#include <algorithm>
#include <ranges>

#include "PolicyRun.h"

namespace marigoldpaddle {

namespace {

constexpr std::chrono::seconds OwnerLoss { 1 }; // Until a cell whose owner died has a new one.

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
    this->recordIdle(engine);
    this->iterate(number);
}

void PolicyRun::iterate(std::size_t number)
{
    auto& engine = this->engines[number];
    engine.isIterating = true;
    engine.iterationStart = this->clock.now();
    auto iteration = engine.fake.iterate();
    this->recordIteration(iteration);
    this->after(duration(iteration.seconds), [this, number, events = std::move(iteration.events)] {
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
        this->after(this->parameters.messages.hop,
            [this, number, id = this->idOf(number)] { this->receiveFirstToken(number, id); });
        break;
    case EngineEventKind::Finished:
        this->after(this->parameters.messages.hop, [this, number, attempt = request.attempt] {
            if (this->requests[number].attempt == attempt && !this->requests[number].isOver)
                this->finish(number);
        });
        break;
    }
}

// Reserves the next part of a span, or begins the prefill once all are reserved.
void PolicyRun::partAllocated(std::uint64_t number)
{
    auto& request = this->requests[number];
    if (request.parts.size() == 1)
        return;
    if (++request.allocatedParts < request.parts.size()) {
        auto part = request.allocatedParts;
        this->after(this->parameters.messages.hop, [this, number, part, attempt = request.attempt] {
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
    if (this->isMeasured(request.item->arrival) && request.prefilledParts == 0 && request.delivered == 0)
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
    if (!this->isInCrest())
        return;
    this->result.crestCapacity += this->parameters.engine.prefillBudgetSeconds;
    for (const auto& [number, work] : iteration.work)
        this->result.outcomes[number].crestWork += work;
}

// Counts what an idle engine could have done since its last iteration.
void PolicyRun::recordIdle(const Engine& engine)
{
    if (!this->isInCrest())
        return;
    const auto& parameters = this->parameters.engine;
    auto crestStart = this->start + this->profile.crestStart + this->profile.rise;
    auto idle = seconds(this->clock.now() - std::max(engine.iterationStart, crestStart));
    auto share = parameters.prefillBudgetSeconds / (parameters.prefillBudgetSeconds + parameters.iterationBaseSeconds);
    this->result.crestCapacity += idle * share;
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
    this->idleSum += free / static_cast<double>(cell.engines.size());
    ++this->idleSamples;
}

void PolicyRun::reportLoad(const Engine& engine)
{
    const auto& messages = this->parameters.messages;
    auto isStale = this->settings.scenario == Scenario::StaleReports;
    LoadReport load { engine.description.name, this->clock.now(), engine.description.memoryTokens,
        engine.fake.usedTokens(), engine.fake.runningCount(), engine.fake.waitingCount(),
        engine.fake.prefillTokensPerSecond(), {}, std::nullopt };
    this->after(isStale ? messages.staleReportLag : messages.reportLag, [this, load, cell = engine.cell] {
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
    std::erase_if(events, [&](const CacheEvent&) { return unit(this->random) < messages.cacheGap; });
    this->after(messages.cacheLag, [this, events = std::move(events), cell = engine.cell] {
        this->call(cell, [&](CellScheduler& scheduler) { return scheduler.reportCache(events, this->clock.now()); });
    });
}

// An engine dies; its streams break and its cell hears of it when that is noticed.
void PolicyRun::kill(std::size_t number)
{
    this->engines[number].isAlive = false;
    this->after(this->parameters.messages.detection, [this, number] {
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
    this->obey(call(*cell.scheduler));
    this->armTick(number);
}

void PolicyRun::obey(const SchedulerCommands& commands)
{
    auto hop = this->parameters.messages.hop;
    for (const auto& command : commands) {
        if (const auto* grant = std::get_if<Grant>(&command)) {
            auto number = this->numberOf(grant->id);
            this->after(hop, [this, number, grant = *grant] { this->receiveGrant(number, grant); });
        } else {
            const auto& refusal = std::get<Refusal>(command);
            auto number = this->numberOf(refusal.id);
            this->after(hop, [this, number, refusal] {
                if (this->idOf(number) == refusal.id)
                    this->receiveRefusal(number, refusal);
            });
        }
    }
}

void PolicyRun::armTick(std::size_t number)
{
    auto& cell = this->cells[number];
    auto next = cell.scheduler->nextTick();
    if (next == TimePoint::max() || (next >= cell.tickAt && cell.tickAt > this->clock.now()))
        return;
    cell.tickAt = std::max(next, this->clock.now());
    this->after(cell.tickAt - this->clock.now(), [this, number, at = cell.tickAt] {
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
            cell.unsent.push_back(request);
    }
    auto delay = isPlanned ? 2 * this->parameters.messages.hop : Duration { OwnerLoss };
    this->after(delay, [this, number] { this->takeOver(number); });
}

// A new owner learns the cell's targets, what gateways hold and what they still wait for.
void PolicyRun::takeOver(std::size_t number)
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
        this->call(number, [&](CellScheduler& scheduler) { return scheduler.adopt(holding, this->clock.now()); });
    }
    for (auto request : std::exchange(cell.unsent, {}))
        if (!this->requests[request].isOver && this->requests[request].isWaiting)
            this->call(number, [&](CellScheduler& scheduler) {
                return scheduler.submit(this->placementOf(request), this->clock.now());
            });
}

}
