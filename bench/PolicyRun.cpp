#include "PolicyRun.h"

#include <algorithm>
#include <charconv>
#include <ranges>

#include "dispatch/CellChoice.h"

namespace marigoldpaddle {

namespace {

constexpr std::chrono::seconds DrainTime { 400 }; // Simulated time after the last arrival.
constexpr double LowLoad = 0.7;
constexpr double HighLoad = 0.95;
constexpr std::size_t FailingEngineCount = 2;

}

std::string_view name(Scenario scenario)
{
    switch (scenario) {
    case Scenario::Steady70:
        return "steady-70";
    case Scenario::Steady95:
        return "steady-95";
    case Scenario::Swing:
        return "swing";
    case Scenario::Flood:
        return "flood";
    case Scenario::EngineFailures:
        return "deaths";
    case Scenario::StaleReports:
        return "stale-reports";
    case Scenario::ManyDispatchers:
        return "many-dispatchers";
    case Scenario::OwnerChanges:
        return "owner-changes";
    }
    return "unknown";
}

PolicyRun::PolicyRun(const PolicyParameters& parameters, const RunSettings& settings)
    : parameters(parameters)
    , settings(settings)
    , start(this->clock.now())
    , random(settings.seed)
{
}

RunResult PolicyRun::run()
{
    this->profile = this->makeProfile();
    this->items
        = WorkloadGenerator { this->parameters, this->settings.workload, this->settings.seed }.make(this->profile);
    if (this->settings.isShortOnly)
        std::erase_if(this->items, [](const WorkItem& item) { return item.band > 0; });
    this->requests.resize(this->items.size());
    this->result.outcomes.resize(this->items.size());
    this->result.peakStart = this->profile.peakStart;
    this->result.peakEnd = this->profile.peakEnd;
    this->makeCells();
    for (std::uint64_t number = 0; number < this->items.size(); ++number)
        this->scheduleAfter(this->items[number].arrival, [this, number] { this->arrive(number); });
    this->schedulePeriodically(this->parameters.messages.reportPeriod, [this] { this->report(); });
    this->schedulePeriodically(this->parameters.messages.digestPeriod, [this] { this->refreshDigests(); });
    this->scheduleFaults();
    auto end = this->start + this->profile.end + DrainTime;
    while (!this->events.empty() && this->events.top().at < end) {
        auto event = this->events.top();
        this->events.pop();
        this->clock.advance(event.at - this->clock.now());
        event.action();
    }
    this->result.idleMemory
        = this->idleMemorySamples > 0 ? this->idleMemorySum / static_cast<double>(this->idleMemorySamples) : 0;
    return std::move(this->result);
}

void PolicyRun::scheduleAfter(Duration delay, std::function<void()> action)
{
    this->events.push({ this->clock.now() + delay, this->nextOrder++, std::move(action) });
}

// Repeats `action` until all requests have arrived and are over.
void PolicyRun::schedulePeriodically(Duration period, const std::function<void()>& action)
{
    this->scheduleAfter(period, [this, period, action] {
        action();
        auto isLate = this->clock.now() - this->start > this->profile.end;
        if (!isLate || std::ranges::any_of(this->requests, [](const Request& each) { return !each.isOver; }))
            this->schedulePeriodically(period, action);
    });
}

LoadProfile PolicyRun::makeProfile() const
{
    const auto& run = this->parameters.run;
    LoadProfile profile;
    profile.end = run.warmup + run.measuredTime;
    profile.floodStart = run.warmup;
    auto isSwing = this->settings.scenario == Scenario::Swing || this->settings.scenario == Scenario::EngineFailures;
    auto isLow = this->settings.scenario == Scenario::Steady70 || this->settings.scenario == Scenario::Flood;
    profile.baseLoad = isSwing ? run.swingBaseLoad : isLow ? LowLoad : HighLoad;
    if (this->settings.scenario == Scenario::Flood)
        profile.floodLoad = run.floodLoad;
    if (isSwing) {
        profile.peakFactor = run.swingFactor;
        profile.riseTime = run.peakRiseTime;
        profile.peakStart = run.warmup + run.measuredTime / 3;
        profile.peakEnd = profile.peakStart + run.peakDuration + 2 * run.peakRiseTime;
    }
    return profile;
}

void PolicyRun::makeCells()
{
    const auto& run = this->parameters.run;
    auto isMany
        = this->settings.scenario == Scenario::ManyDispatchers || this->settings.scenario == Scenario::OwnerChanges;
    auto count = isMany ? run.manyDispatchers : run.dispatchers;
    for (std::size_t number = 0; number < count; ++number) {
        Cell cell;
        cell.id = { "zone-" + std::to_string(number % run.zones), "model", static_cast<std::uint32_t>(number) };
        this->cells.push_back(std::move(cell));
    }
    for (std::size_t number = 0; number < run.engines; ++number) {
        auto cell = number % count;
        TargetDescription description;
        description.name = "engine-" + std::to_string(100 + number);
        description.availabilityZone = this->cells[cell].id.availabilityZone;
        description.serves = "model";
        description.memoryTokens = this->parameters.engine.memoryTokens;
        this->engines.push_back({ description, FakeEngine { this->parameters.engine }, cell });
        this->engines.back().iterationStart = this->start;
        this->cells[cell].engines.push_back(number);
    }
    for (std::size_t number = 0; number < count; ++number)
        this->installOwner(number);
    this->refreshDigests();
}

void PolicyRun::scheduleFaults()
{
    if (this->settings.scenario == Scenario::EngineFailures) {
        auto at = this->profile.peakStart + this->profile.riseTime + this->parameters.run.peakDuration / 3;
        for (std::size_t engine = 0; engine < FailingEngineCount; ++engine)
            this->scheduleAfter(at, [this, engine] { this->failEngine(engine); });
    }
    if (this->settings.scenario != Scenario::OwnerChanges)
        return;
    auto period = this->parameters.run.ownershipPeriod;
    for (std::size_t cell = 0; cell < this->cells.size(); ++cell) {
        auto count = this->profile.end / period;
        for (Duration::rep change = 0; change < count; ++change) {
            auto at = period * change
                + period * static_cast<Duration::rep>(cell) / static_cast<Duration::rep>(this->cells.size());
            auto isPlanned = (change + static_cast<Duration::rep>(cell)) % 2 == 0;
            this->scheduleAfter(at, [this, cell, isPlanned] { this->changeOwner(cell, isPlanned); });
        }
    }
}

void PolicyRun::arrive(std::uint64_t number)
{
    const auto& item = this->items[number];
    auto& request = this->requests[number];
    auto& outcome = this->result.outcomes[number];
    request.item = &item;
    request.deadline = this->clock.now() + item.allowedTime;
    if (!outcome.refused) {
        outcome.band = item.band;
        outcome.workspace = item.workspace;
        outcome.isFlood = item.isFlood;
        outcome.arrival = item.arrival;
        outcome.tokens = item.promptTokens + item.outputTokens;
    }
    this->scheduleAfter(item.allowedTime, [this, number, deadline = request.deadline] {
        if (this->requests[number].deadline == deadline)
            this->expire(number);
    });
    this->submit(number);
}

void PolicyRun::submit(std::uint64_t number)
{
    auto& request = this->requests[number];
    std::vector<CellDigest> digests;
    std::ranges::transform(this->cells, std::back_inserter(digests), &Cell::digest);
    auto zone = "zone-" + std::to_string(request.item->zone);
    CellQuery query { zone, request.item->promptTokens + request.item->maximumOutputTokens, request.item->prefixBlocks,
        request.item->prefixBlockTokens };
    auto cell = chooseCell(digests, query, this->random);
    if (!cell) {
        this->receiveRefusal(number, { this->idOf(number), RefusalReason::PromptTooLong, std::chrono::seconds { 60 } });
        return;
    }
    request.cell = *cell;
    request.isWaiting = true;
    ++request.attempt;
    ++this->result.outcomes[number].attempts;
    auto isFirst = request.attempt == 1;
    if (isFirst && this->isMeasured(request.item->arrival))
        this->result.reusableTokens += request.item->reusableTokens;
    this->scheduleAfter(this->parameters.messages.hopDelay, [this, number, cell = *cell, id = this->idOf(number)] {
        if (this->idOf(number) != id || this->requests[number].isOver)
            return;
        if (!this->cells[cell].scheduler) {
            this->cells[cell].awaitingOwner.push_back(number);
            return;
        }
        this->call(cell,
            [&](CellScheduler& scheduler) { return scheduler.submit(this->placementOf(number), this->clock.now()); });
    });
}

PlacementRequest PolicyRun::placementOf(std::uint64_t number) const
{
    const auto& request = this->requests[number];
    PlacementRequest placement;
    placement.id = this->idOf(number);
    placement.owner.name = "gateway";
    placement.workspace = "workspace-" + std::to_string(request.item->workspace);
    placement.workspaceWeight = WorkloadGenerator::weightOf(request.item->workspace);
    placement.promptTokens = request.item->promptTokens + request.deliveredTokens;
    placement.maximumOutputTokens = request.item->maximumOutputTokens - request.deliveredTokens;
    placement.deadline = request.deadline;
    placement.prefixBlocks = request.item->prefixBlocks;
    placement.prefixBlockTokens = request.item->prefixBlockTokens;
    return placement;
}

void PolicyRun::receiveGrant(std::uint64_t number, const Grant& grant)
{
    auto& request = this->requests[number];
    request.isWaiting = false;
    if (request.isOver || this->idOf(number) != grant.id) {
        this->call(
            request.cell, [&](CellScheduler& scheduler) { return scheduler.finish(grant.id, 0, this->clock.now()); });
        return;
    }
    request.parts = grant.parts;
    request.priority = grant.priority;
    request.allocatedParts = 0;
    request.prefilledParts = 0;
    request.streamedTokens = 0;
    this->sendPart(number, 0);
}

void PolicyRun::receiveRefusal(std::uint64_t number, const Refusal& refusal)
{
    auto& request = this->requests[number];
    auto& outcome = this->result.outcomes[number];
    request.isWaiting = false;
    if (request.isOver)
        return;
    request.isOver = true;
    if (outcome.refused || outcome.firstToken)
        return;
    outcome.refused = this->clock.now() - this->start - outcome.arrival;
    outcome.reason = refusal.reason;
    std::uniform_real_distribution<double> unit;
    if (refusal.reason == RefusalReason::PromptTooLong || unit(this->random) >= this->parameters.run.returningShare)
        return;
    outcome.retriedAfterRefusal = true;
    this->scheduleAfter(refusal.retryAfter, [this, number] {
        auto attempt = this->requests[number].attempt;
        this->requests[number] = Request {};
        this->requests[number].attempt = attempt;
        this->arrive(number);
    });
}

void PolicyRun::sendPart(std::uint64_t number, std::size_t part)
{
    const auto& request = this->requests[number];
    EngineTask task;
    task.request = number;
    task.attempt = request.attempt;
    task.priority = request.priority;
    task.memoryTokens = request.parts[part].tokens;
    task.promptTokens = request.item->promptTokens + request.deliveredTokens;
    task.outputTokens = request.item->outputTokens - request.deliveredTokens;
    task.spanWidth = request.parts.size();
    task.isLeader = part == 0;
    task.isShort = request.item->band == 0;
    task.prefixBlocks = request.item->prefixBlocks;
    task.prefixBlockTokens = request.item->prefixBlockTokens;
    this->scheduleAfter(
        this->parameters.messages.hopDelay, [this, task, number, engine = this->engineOf(request.parts[part].target)] {
            if (this->requests[number].attempt != task.attempt || this->requests[number].isOver)
                return;
            if (!this->engines[engine].isAlive)
                return;
            this->engines[engine].fake.submit(task);
            this->wake(engine);
        });
}

void PolicyRun::expire(std::uint64_t number)
{
    auto& request = this->requests[number];
    if (request.isOver)
        return;
    request.isOver = true;
    if (!request.parts.empty()) {
        this->cancelParts(request, number);
        this->endAttempt(number, 0);
        return;
    }
    auto& outcome = this->result.outcomes[number];
    if (!outcome.refused && !outcome.firstToken)
        outcome.refused = this->clock.now() - this->start - outcome.arrival;
    this->call(request.cell,
        [&](CellScheduler& scheduler) { return scheduler.withdraw(this->idOf(number), this->clock.now()); });
}

void PolicyRun::finish(std::uint64_t number)
{
    auto& request = this->requests[number];
    auto& outcome = this->result.outcomes[number];
    request.isOver = true;
    this->cancelParts(request, number);
    outcome.isInTime = true;
    outcome.servedAfterRefusal = outcome.retriedAfterRefusal;
    outcome.finished = this->clock.now() - this->start - outcome.arrival;
    this->endAttempt(number, request.item->outputTokens - request.deliveredTokens);
}

void PolicyRun::endAttempt(std::uint64_t number, std::uint64_t outputTokens)
{
    auto& request = this->requests[number];
    request.parts.clear();
    this->scheduleAfter(
        this->parameters.messages.hopDelay, [this, cell = request.cell, id = this->idOf(number), outputTokens] {
            this->call(
                cell, [&](CellScheduler& scheduler) { return scheduler.finish(id, outputTokens, this->clock.now()); });
        });
}

void PolicyRun::cancelParts(const Request& request, std::uint64_t number)
{
    for (const auto& part : request.parts) {
        auto& engine = this->engines[this->engineOf(part.target)];
        if (engine.isAlive)
            engine.fake.cancel(number);
    }
}

// Submits a request whose engine failed again, within the retry budget.
void PolicyRun::retry(std::uint64_t number)
{
    auto& request = this->requests[number];
    this->cancelParts(request, number);
    this->endAttempt(number, request.streamedTokens);
    auto budget = this->parameters.run.retryBudget * static_cast<double>(this->items.size());
    if (static_cast<double>(this->retries) >= budget) {
        request.isOver = true;
        return;
    }
    ++this->retries;
    request.deliveredTokens
        = std::min(request.deliveredTokens + request.streamedTokens, request.item->outputTokens - 1);
    this->scheduleAfter(this->parameters.messages.hopDelay, [this, number] { this->submit(number); });
}

RequestId PolicyRun::idOf(std::uint64_t number) const
{
    return { std::to_string(number) + "." + std::to_string(this->requests[number].attempt) };
}

std::uint64_t PolicyRun::numberOf(const RequestId& id) const
{
    std::uint64_t number = 0;
    std::from_chars(id.value.data(), id.value.data() + id.value.size(), number);
    return number;
}

std::size_t PolicyRun::engineOf(const std::string& target) const
{
    auto digits = std::string_view { target }.substr(std::string_view { "engine-" }.size());
    std::size_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number - 100;
}

bool PolicyRun::isInPeak() const
{
    auto at = this->clock.now() - this->start;
    return at >= this->profile.peakStart + this->profile.riseTime
        && at < this->profile.peakEnd - this->profile.riseTime;
}

bool PolicyRun::isMeasured(Duration arrival) const
{
    return arrival >= this->parameters.run.warmup;
}

}
