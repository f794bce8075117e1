#include "serving/ServingGateway.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "serving/RequestFingerprint.h"
#include "serving/ServingCall.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Time reserved for the final answer to reach the caller before its deadline.
constexpr Duration ResponseMargin = std::chrono::milliseconds { 30 };
// Interval between placement attempts of a waiting prompt; short against the some 100 ms of one part of a long prefill.
constexpr Duration PlacementRetryPeriod = std::chrono::milliseconds { 10 };
// A short prompt that cannot meet its objective waits for a slot for this multiple of the objective, or for a quarter
// of the request's allowed time if that is shorter.
constexpr int LateShortPromptWaitObjectives = 5;
// Retry-After range for callers without a slot: about the length of an answer, or more.
constexpr Duration MinimumRetryAfter = std::chrono::milliseconds { 800 };
constexpr Duration MaximumRetryAfter = std::chrono::seconds { 3 };
// Logged as the age of a configuration that was never known to be the newest.
constexpr Duration UnknownAge = std::chrono::milliseconds { -1 };
// Retry-After is stated in hundredths of a second.
constexpr Duration RetryAfterPrecision = std::chrono::milliseconds { 10 };

// Keeps a prompt registered as waiting for as long as the entry exists.
class WaitingEntry {
public:
    WaitingEntry(WaitingPrompts& waiting, PromptUrgency urgency)
        : waiting(waiting)
        , entry(waiting.add(urgency))
    {
    }

    ~WaitingEntry()
    {
        this->waiting.remove(this->entry);
    }

    WaitingEntry(const WaitingEntry&) = delete;
    WaitingEntry& operator=(const WaitingEntry&) = delete;

private:
    WaitingPrompts& waiting;
    WaitingPrompts::Entry entry;
};

}

ServingGateway::ServingGateway(const Parts& parts, TargetChooser chooser)
    : parts(parts)
    , advice(parts.clock, parts.view.targets, parts.health, parts.log, parts.metrics)
    , chooser(std::move(chooser))
    , denials(parts.configurationBound)
    , configurationUpdated(parts.context, TimePoint::max())
    , random(std::random_device {}())
    , reservationPrefix(parts.instance + '-' + std::to_string(std::random_device {}()) + '-')
{
    this->parts.memory.setObserver(&this->advice);
    this->parts.view.onConfigurationUpdate([this] { this->configurationUpdated.cancel(); });
    this->createRelayHandler();
}

ServingGateway::~ServingGateway()
{
    this->parts.view.onConfigurationUpdate({});
    this->parts.memory.setObserver(nullptr);
}

void ServingGateway::onPromptPlaced(std::function<void()> notify)
{
    this->notifyPlaced = std::move(notify);
}

void ServingGateway::onTargetCrash(std::function<void()> notify)
{
    this->notifyCrash = std::move(notify);
}

void ServingGateway::onTargetLimitChanged(std::function<void()> notify)
{
    this->advice.onLimitChanged(std::move(notify));
}

void ServingGateway::recordColdTarget(const TargetEntry& target, Duration remaining)
{
    this->advice.recordCold(target, remaining, "registration");
}

void ServingGateway::setConfigurationBound(Duration bound)
{
    this->denials.setConfigurationBound(bound);
}

void ServingGateway::beginShutdown(TimePoint intakeUntil, TimePoint endsAt)
{
    this->intakeUntil = intakeUntil;
    this->endsAt = endsAt;
}

asio::awaitable<void> ServingGateway::handle(HttpExchange& exchange)
{
    Call call { exchange, this->parts.clock.now() };
    call.metadata = this->parts.format.callerMetadata(exchange.request());
    co_await this->process(call);
}

asio::awaitable<void> ServingGateway::process(Call& call)
{
    using namespace asio::experimental::awaitable_operators;
    const auto& exchange = call.exchange;
    std::ranges::transform(call.metadata.sharedParts, std::back_inserter(call.sharedParts), &LoadLedger::hashOf);
    if (!this->parts.view.configuration())
        co_return co_await this->refuse(call, 503, "no_configuration");
    // The caller's time limit counts from its last statement, the route's from the receipt by the first instance.
    if (call.metadata.remaining)
        call.deadline = (call.relayed ? call.arrivedAt : call.receivedAt) + *call.metadata.remaining;
    auto denial = this->lookUp(call);
    if (denial)
        denial = co_await this->lookUpWhenCurrent(call, *denial);
    if (call.isAbandoned)
        co_return this->finish(call, "caller_gone", 0);
    if (denial)
        co_return co_await this->deny(call, *denial);
    call.fingerprint = requestFingerprint(exchange.request(), call.workspace);
    if (const auto withoutQuery = fingerprintWithoutQuery(exchange.request(), call.workspace))
        call.sharedParts.push_back(*withoutQuery);
    call.traits = call.sharedParts;
    call.traits.push_back(call.fingerprint);
    if (call.relayed)
        this->learnEnds(call, call.relayed->ends, "relayed_request");
    call.deadline = std::min(call.deadline, call.receivedAt + call.route->timeout) - ResponseMargin;
    if (this->isIntakeClosedFor(call))
        co_return co_await this->refuse(call, 503, "stopping");
    if (this->hasCallerLeft(call))
        co_return this->finish(call, "caller_gone", 0);

    const auto first
        = co_await (this->forward(call) || this->waitForCallerDisconnect(call) || this->waitUntilDeadline(call));
    if (first.index() != 0)
        this->recordInterruptedAttempts(call, first.index() == 1 ? "caller_gone" : "deadline");
    if (first.index() == 1)
        this->finish(call, "caller_gone", 0);
    else if (first.index() == 2 && !call.hasResponseStarted)
        co_await this->finishWithoutAnswer(call);
    else if (first.index() == 2)
        this->finish(call, "cut_at_deadline", 0);
}

// Finds the route and the workspace of a request in the configuration in force. Empty if it allows the request.
std::optional<ServingGateway::Denial> ServingGateway::lookUp(Call& call) const
{
    const auto& request = call.exchange.request();
    call.configuration = this->parts.view.configuration();
    call.route = call.configuration->routes.find(request[boost::beast::http::field::host], request.target());
    if (!call.route)
        return Denial { 404, "no_route" };
    if (!this->admit(call))
        return Denial { 401, "unknown_key" };
    return std::nullopt;
}

ConfigurationKnowledge ServingGateway::configurationKnowledge() const
{
    const auto& view = this->parts.view;
    return { view.version(), view.newestKnownVersion(), view.configurationAge(this->parts.clock.bootTime()) };
}

// Looks a request up again while the configuration that denies it is not current. Returns the last denial, or nothing
// if a newer configuration allows the request.
asio::awaitable<std::optional<ServingGateway::Denial>> ServingGateway::lookUpWhenCurrent(Call& call, Denial denial)
{
    using namespace asio::experimental::awaitable_operators;
    std::optional<Denial> last { denial };
    const auto since = this->parts.clock.now();
    const auto remaining = this->remaining(call);
    if (this->denials.decide(this->configurationKnowledge(), Duration::zero(), remaining, this->awaitingConfiguration)
        != DenialPolicy::Decision::Wait)
        co_return last;
    auto& gauge = this->parts.metrics.gauge("marigold_requests_awaiting_configuration");
    gauge.set(static_cast<double>(++this->awaitingConfiguration));
    const auto end = since + this->denials.waitLimit(remaining);
    const auto first = co_await (
        this->waitWhileDenied(call, last, since) || this->waitForCallerDisconnect(call) || this->waitUntil(end));
    // The end of the other waits sets it as well.
    call.isAbandoned = first.index() == 1;
    gauge.set(static_cast<double>(--this->awaitingConfiguration));
    const auto known = this->configurationKnowledge();
    const std::string_view outcome = call.isAbandoned ? "caller_gone" : last ? last->reason : "allowed";
    this->parts.log.write("configuration_awaited",
        { { "id", call.metadata.attemptId }, { "denial", denial.reason }, { "outcome", outcome },
            { "waited_ms", this->parts.clock.now() - since },
            { "waiting", static_cast<std::uint64_t>(this->awaitingConfiguration) }, { "version", known.version },
            { "newest_known", known.newestKnown }, { "age_ms", known.age.value_or(UnknownAge) } });
    this->parts.metrics.counter("marigold_configuration_waits_total", "outcome=\"" + std::string { outcome } + "\"")
        .increment();
    co_return last;
}

// Returns once the configuration in force allows the request, or is current.
asio::awaitable<void> ServingGateway::waitWhileDenied(Call& call, std::optional<Denial>& denial, TimePoint since)
{
    while (denial
        && this->denials.decide(this->configurationKnowledge(), this->parts.clock.now() - since, this->remaining(call),
               this->awaitingConfiguration - 1)
            == DenialPolicy::Decision::Wait) {
        boost::system::error_code cancelled;
        co_await this->configurationUpdated.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        if (call.configuration != this->parts.view.configuration())
            denial = this->lookUp(call);
    }
}

// Returns at the end, or when the shutdown ends the requests in progress.
asio::awaitable<void> ServingGateway::waitUntil(TimePoint end)
{
    asio::steady_timer timer { this->parts.context, end };
    this->deadlines.insert(&timer);
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    this->deadlines.erase(&timer);
}

// Denies a request if the configuration is current. Otherwise its caller is told to retry, at another instance.
asio::awaitable<void> ServingGateway::deny(Call& call, Denial denial)
{
    const auto& request = call.exchange.request();
    const auto known = this->configurationKnowledge();
    const bool isFinal = this->denials.isCurrent(known);
    if (!isFinal && this->callerMayRetry(call))
        call.retryAfter = this->jitteredRetryAfter(call);
    this->parts.log.write(isFinal ? denial.reason : "configuration_outdated",
        { { "id", call.metadata.attemptId }, { "denial", denial.reason },
            { "host", request[boost::beast::http::field::host] }, { "path", request.target() },
            { "version", known.version }, { "newest_known", known.newestKnown },
            { "age_ms", known.age.value_or(UnknownAge) },
            { "retry_after_ms", isFinal ? Duration::zero() : call.retryAfter.value_or(DefaultRetryAfter) } });
    if (isFinal)
        co_return co_await this->refuse(call, denial.status, denial.reason);
    const auto reason = call.relayed ? relay_refusals::Outdated : std::string_view { "configuration_outdated" };
    co_await this->refuse(call, 503, reason);
}

void ServingGateway::finishRequests()
{
    for (auto* deadline : this->deadlines)
        deadline->cancel();
}

// Whether the request arrives too late during shutdown: its deadline is after the end of the process.
bool ServingGateway::isIntakeClosedFor(const Call& call) const
{
    return this->parts.clock.now() >= this->intakeUntil && call.deadline > this->endsAt;
}

bool ServingGateway::admit(Call& call) const
{
    const auto& values = call.configuration->values;
    if (call.route->isPublic || !values.requiresKeys)
        return true;
    const auto workspace = values.workspaceByKey.find(call.metadata.apiKey);
    if (workspace == values.workspaceByKey.end())
        return false;
    call.workspace = workspace->second;
    return true;
}

asio::awaitable<void> ServingGateway::forward(Call& call)
{
    call.service = call.configuration->values.service(this->chooser.chooseService(*call.route));
    if (!call.service)
        co_return co_await this->refuse(call, 503, "no_service");
    AttemptResult last = AttemptResult::NotSent;
    while ((call.tries == 0 && call.triedPeers.empty()) || this->mayRetry(call, last)) {
        const auto choice = co_await this->waitForPlacement(call);
        if (!choice)
            break;
        this->recordTry(call, *choice);
        last = co_await this->send(call, *choice);
        if (last == AttemptResult::Done)
            co_return;
    }
    if (call.hasCallerLeft)
        co_return this->finish(call, "caller_gone", 0);
    co_await this->finishWithoutAnswer(call);
}

// Waits while the prompt would delay other answers or find no free slot. A long prompt waits as long as its objective
// allows, or up to half of its allowed time if it misses the objective or would delay answers of more total weight. If
// it then still would delay them, or would miss its deadline, it is refused. A short prompt that cannot meet its
// objective is refused if its caller has time to retry, and otherwise waits for a while.
asio::awaitable<std::optional<TargetChoice>> ServingGateway::waitForPlacement(Call& call)
{
    const auto& objective = call.route->objective;
    const auto longStartBy = std::min(call.receivedAt + objective * 3 / 4, call.deadline);
    const auto shortStartBy = std::min(call.receivedAt + LateShortPromptWaitObjectives * objective,
        call.receivedAt + (call.deadline - call.receivedAt) / 4);
    // A long prompt that misses its objective anyway yields to those that can meet theirs, and is not prefilled in
    // large parts on few engines.
    const auto lateStartBy = call.receivedAt + (call.deadline - call.receivedAt) / 2;
    const auto rank = call.configuration->values.rank(*call.route, call.workspace);
    std::optional<WaitingEntry> waitingEntry; // Entry among the waiting long prompts.
    std::optional<TimePoint> placeableSince;
    call.isCutOff = false;
    call.hasNoCapacity = false;
    while (true) {
        if (this->isQuarantined(call))
            co_return std::nullopt;
        if (this->isCutOff(call)) {
            auto relay = this->chooseRelay(call);
            if (relay)
                co_return relay;
            // Open connections may live on while new ones are refused, also by targets that are all full.
            const bool mayTryTargets = !call.relayed && call.countedTries() < MaximumTries;
            if (!mayTryTargets || !this->hasUsableTarget(call)) {
                this->recordCutOff(call);
                co_return std::nullopt;
            }
        }
        const auto now = this->parts.clock.now();
        auto choice = this->chooseTarget(call, now);
        if (!choice && !this->mayAwaitTarget(call, now))
            co_return choice;
        if (!choice) {
            asio::steady_timer timer { this->parts.context, PlacementRetryPeriod };
            co_await timer.async_wait(asio::use_awaitable);
            continue;
        }
        if (call.runs == 0 && !call.hasResponseStarted && this->isIntakeClosedFor(call)) {
            call.isRefusedByShutdown = true;
            co_return std::nullopt;
        }
        const auto startBy = choice->work.isLong ? longStartBy - 2 * choice->expectedUnloaded : shortStartBy;
        if (now >= startBy && choice->wouldMissDeadline) {
            this->recordNotPlaced(call, *choice);
            co_return std::nullopt;
        }
        const bool exceedsObjective = now + choice->expected > call.receivedAt + objective;
        const bool isLateOrNetLoss = choice->work.isLong && (exceedsObjective || choice->isNetLoss);
        if (now >= (isLateOrNetLoss ? lateStartBy : startBy)) {
            if (!choice->work.isLong || !choice->isNetLoss || call.runs > 0)
                co_return choice;
            if (this->callerMayRetry(call))
                call.retryAfter = this->jitteredRetryAfter(call);
            this->recordNotPlaced(call, *choice);
            co_return std::nullopt;
        }
        // With all batch slots taken, queueing would only make the following requests late as well.
        if (choice->cannotMeetObjective && choice->shouldWait && !choice->work.isLong && this->callerMayRetry(call)) {
            call.retryAfter = this->jitteredRetryAfter(call);
            this->recordNotPlaced(call, *choice);
            co_return std::nullopt;
        }
        if (!choice->shouldWait) {
            placeableSince = placeableSince.value_or(now);
            if (!choice->work.isLong
                || this->parts.waiting.isMostUrgent({ rank, isLateOrNetLoss ? lateStartBy : startBy }, now)
                || now - *placeableSince >= WaitingPrompts::PeerPriorityWindow)
                co_return choice;
        }
        if (isLateOrNetLoss)
            waitingEntry.reset();
        if (choice->work.isLong && !isLateOrNetLoss && !waitingEntry) {
            waitingEntry.emplace(this->parts.waiting, PromptUrgency { rank, startBy });
            if (this->notifyPlaced)
                this->notifyPlaced();
        }
        asio::steady_timer timer { this->parts.context, PlacementRetryPeriod };
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Whether a target may take the request although the instance is cut off.
bool ServingGateway::hasUsableTarget(const Call& call) const
{
    if (this->parts.relay->links.hasRecentBytes(call.service->name))
        return true;
    const auto now = this->parts.clock.now();
    return std::ranges::any_of(this->parts.view.targets.available(call.service->name), [&](const TargetEntry* target) {
        return !this->parts.health.connections.isDown(*target, now) && !call.tried.contains(target->id);
    });
}

void ServingGateway::recordTry(Call& call, const TargetChoice& choice)
{
    if (choice.isRelay) {
        call.triedPeers.insert(choice.target.address);
        return;
    }
    ++call.tries;
    call.tried.insert(choice.target.id);
}

// When a target that is paused or at its limit takes a request of this instance again. Empty if it does so now.
std::optional<TimePoint> ServingGateway::nextRequestAt(const TargetEntry& target, TimePoint now) const
{
    const auto pauseEnd = this->parts.health.pauses.end(target.id, now).value_or(now);
    const auto at = std::max(pauseEnd, this->parts.health.limits.nextAt(target, now));
    return at > now ? std::optional { at } : std::nullopt;
}

// Empty unless all targets of the service are paused or at their limits.
std::vector<TimePoint> ServingGateway::nextRequestTimes(const Call& call, TimePoint now) const
{
    std::vector<TimePoint> returns;
    for (const auto* target : this->parts.view.targets.available(call.service->name)) {
        const auto at = this->nextRequestAt(*target, now);
        if (!at)
            return {};
        returns.push_back(*at);
    }
    return returns;
}

// A stream that has begun cannot be refused. It waits for a target that can continue it in time.
bool ServingGateway::mayAwaitTarget(const Call& call, TimePoint now) const
{
    if (!call.hasResponseStarted)
        return false;
    const auto mayContinue = [&](const TargetEntry* target) {
        const auto at = this->nextRequestAt(*target, now);
        return at && *at < call.deadline && !call.tried.contains(target->id);
    };
    return std::ranges::any_of(this->parts.view.targets.available(call.service->name), mayContinue);
}

// Returns the reason for a refusal if all targets of the service are paused or at their limits, and sets Retry-After to
// a time from the first return of a target on. The callers are spread up to the last return, and over some time after a
// single one: the first target that is free again could not serve all of them. A caller waits for a third of its
// remaining time at most, so a spread beyond that would bring the callers back together.
std::string_view ServingGateway::recordThrottledTargets(Call& call)
{
    const auto now = this->parts.clock.now();
    const auto returns = this->nextRequestTimes(call, now);
    if (returns.empty())
        return {};
    const auto [earliest, latest] = std::ranges::minmax(returns);
    const auto first = earliest - now + RetryAfterPrecision;
    const auto last = std::min(std::max(first + MinimumRetryAfter, latest - now), this->remaining(call) / 3);
    std::uniform_real_distribution<double> share { 0, 1 };
    const auto spread = std::max(Duration::zero(), last - first) * share(this->random);
    call.retryAfter = first + std::chrono::duration_cast<Duration>(spread);
    const auto isPaused = [&](const TargetEntry* target) {
        return this->parts.health.pauses.isPaused(target->id, now);
    };
    const auto paused = std::ranges::count_if(this->parts.view.targets.available(call.service->name), isPaused);
    this->parts.log.write("targets_paused",
        { { "id", call.metadata.attemptId }, { "service", call.service->name },
            { "targets", static_cast<std::uint64_t>(returns.size()) }, { "paused", static_cast<std::uint64_t>(paused) },
            { "first_end_ms", earliest - now }, { "last_end_ms", latest - now },
            { "retry_after_ms", *call.retryAfter } });
    return static_cast<std::size_t>(paused) == returns.size() ? "targets_paused" : "targets_limited";
}

// Logs why a prompt was refused although there are targets.
void ServingGateway::recordNotPlaced(Call& call, const TargetChoice& best)
{
    call.hasNoCapacity = true;
    const auto now = this->parts.clock.now();
    this->parts.log.write("not_placed",
        { { "id", call.metadata.attemptId },
            { "prompt_tokens", call.metadata.prompt.value_or(PromptSize {}).promptTokens },
            { "targets", static_cast<std::uint64_t>(this->parts.view.targets.available(call.service->name).size()) },
            { "best_target", best.target.id },
            { "running_there", std::uint64_t { this->parts.ledger.total(best.target.id, now).running } },
            { "expected_ms", best.expected }, { "waited_ms", now - call.receivedAt },
            { "rank", std::uint64_t { call.configuration->values.rank(*call.route, call.workspace) } },
            { "read_ms", best.work.prefillMs }, { "left_ms", this->remaining(call) },
            { "objective_ms", call.route->objective },
            { "retry_after_ms", call.retryAfter.value_or(DefaultRetryAfter) } });
}

// Whether the caller has time to retry: Retry-After takes up to a third of its remaining time.
bool ServingGateway::callerMayRetry(const Call& call) const
{
    return call.runs == 0 && this->remaining(call) / 3 >= MinimumRetryAfter;
}

// Spreads the retries of refused callers at random, so that they do not arrive as another burst.
Duration ServingGateway::jitteredRetryAfter(const Call& call)
{
    const auto longest = std::min(MaximumRetryAfter, this->remaining(call) / 3);
    std::uniform_real_distribution<double> share { 0, 1 };
    return MinimumRetryAfter
        + std::chrono::duration_cast<Duration>((longest - MinimumRetryAfter) * share(this->random));
}

bool ServingGateway::mayRetry(Call& call, AttemptResult last)
{
    if (call.isAbandoned)
        return false;
    const auto obstacle = this->retryObstacle(call, last);
    if (obstacle.empty())
        return true;
    this->parts.log.write("retry_denied",
        { { "id", call.metadata.attemptId }, { "reason", obstacle }, { "tries", std::uint64_t { call.tries } },
            { "runs", std::uint64_t { call.runs } }, { "left_ms", this->remaining(call) },
            { "budget_left", this->parts.budget.remaining(call.service->name, this->parts.clock.now()) } });
    this->parts.metrics.counter("marigold_denied_retries_total", "reason=\"" + std::string { obstacle } + "\"")
        .increment();
    return false;
}

// Why the request may not be sent again; empty if it may. Then the retry has been spent.
std::string_view ServingGateway::retryObstacle(Call& call, AttemptResult last)
{
    if (call.peerRefusal)
        return "refused_by_peer";
    if (call.countedTries() >= MaximumTries && !this->mayRelay(call))
        return "tries";
    if (this->remaining(call) <= Duration::zero())
        return "deadline";
    if (call.runs > 0 && !call.route->mayRunAgain())
        return "not_repeatable";
    if (call.hasResponseStarted && call.stream && call.stream->hasUnnumberedEvents())
        return "not_resumable";
    if (call.allRuns() >= call.route->maximumAttempts)
        return "attempts";
    if (this->isQuarantined(call))
        return "quarantined";
    if (last == AttemptResult::MayHaveRun && this->parts.quarantine.mayEndTargets(call.fingerprint))
        return "ended_targets";
    if (last == AttemptResult::NotSent || std::exchange(call.hasSpentRetry, false)
        || this->parts.budget.trySpend(call.service->name, this->parts.clock.now()))
        return {};
    return "budget";
}

Duration ServingGateway::remaining(const Call& call) const
{
    return call.deadline - this->parts.clock.now();
}

// Whether all targets of the service are in evacuated zones. Their callers return spread over time, as all of them are
// refused at once.
bool ServingGateway::isEvacuated(Call& call)
{
    const auto& targets = this->parts.view.targets;
    if (!targets.available(call.service->name).empty() || !targets.hasEvacuatedTargets(call.service->name))
        return false;
    if (this->callerMayRetry(call))
        call.retryAfter = this->jitteredRetryAfter(call);
    return true;
}

// Sends the final answer of a call without a successful attempt. Status 503 guarantees that the request was not
// executed.
asio::awaitable<void> ServingGateway::finishWithoutAnswer(Call& call)
{
    if (call.hasResponseStarted) {
        // The instance that relayed the request gets only whole events. The begun one tells it that others follow.
        if (call.relayed && call.stream && call.stream->hasFurtherEvents())
            co_await call.exchange.write("id:");
        this->finish(call, "stream_broken", 0);
        co_return;
    }
    if (call.targetFailure) {
        const auto status = call.targetFailure->result_int();
        call.hasResponseStarted = true;
        co_await call.exchange.respond(std::move(*call.targetFailure));
        this->finish(call, "target_failure", status);
        co_return;
    }
    const bool isPastDeadline = this->remaining(call) <= Duration::zero();
    if (call.runs > 0 || (call.tries > 0 && isPastDeadline))
        co_return co_await this->refuse(call, isPastDeadline ? 504 : 502, "may_have_run");
    if (call.peerRefusal)
        co_return co_await this->refuse(call, call.peerRefusal->status, call.peerRefusal->reason);
    if (call.isCutOff)
        co_return co_await this->refuse(
            call, 503, call.relayed ? relay_refusals::CutOff : std::string_view { "cut_off" });
    const bool mayBeThrottled = !call.isQuarantined && !call.isRefusedByShutdown;
    const auto throttled = mayBeThrottled ? this->recordThrottledTargets(call) : std::string_view {};
    co_await this->refuse(call, 503,
        call.isQuarantined             ? "quarantined"
            : call.isRefusedByShutdown ? "stopping"
            : !throttled.empty()       ? throttled
            : call.hasNoCapacity       ? "no_place"
            : call.tries > 0           ? "targets_declined"
            : this->isEvacuated(call)  ? "zones_evacuated"
                                       : "no_target");
}

asio::awaitable<void> ServingGateway::refuse(Call& call, unsigned status, std::string_view reason)
{
    call.hasResponseStarted = true;
    const auto retryAfter
        = status == 503 ? std::optional { call.retryAfter.value_or(DefaultRetryAfter) } : std::nullopt;
    auto response = this->parts.format.makeOwnResponse(status, reason, retryAfter);
    if (call.relayed)
        addRelayRefusal(response, { reason, call.runs, this->parts.view.version(), this->knownEnds(call) });
    co_await call.exchange.respond(std::move(response));
    this->parts.metrics.counter("marigold_refusals_total", "reason=\"" + std::string { reason } + "\"").increment();
    this->finish(call, reason, status);
}

asio::awaitable<void> ServingGateway::waitUntilDeadline(Call& call)
{
    asio::steady_timer timer { this->parts.context, call.deadline };
    this->deadlines.insert(&timer);
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    this->deadlines.erase(&timer);
    call.isAbandoned = true;
    call.deadline = std::min(call.deadline, this->parts.clock.now());
}

asio::awaitable<void> ServingGateway::waitForCallerDisconnect(Call& call)
{
    co_await call.exchange.waitForCallerDisconnect();
    call.isAbandoned = true;
}

// Whether the caller has left at this moment. After a time in which the process did not run, the closes of many callers
// are found one after the other, while requests that were not read or that waited could be sent at once.
bool ServingGateway::hasCallerLeft(Call& call) const
{
    call.hasCallerLeft = call.hasCallerLeft || call.exchange.hasCallerLeft();
    call.isAbandoned = call.isAbandoned || call.hasCallerLeft;
    return call.hasCallerLeft;
}

void ServingGateway::finish(Call& call, std::string_view outcome, unsigned status)
{
    if (call.isFinished)
        return;
    call.isFinished = true;
    const auto took = this->parts.clock.now() - call.receivedAt;
    const auto route = call.route ? std::string_view { call.route->name } : std::string_view { "-" };
    this->parts.log.write("finished",
        { { "id", call.metadata.attemptId }, { "route", route },
            { "workspace", call.workspace.empty() ? "-" : std::string_view { call.workspace } }, { "outcome", outcome },
            { "status", std::uint64_t { status } }, { "tries", std::uint64_t { call.tries } },
            { "runs", std::uint64_t { call.runs } }, { "longest_gap_ms", call.longestGap }, { "took_ms", took } });
    this->parts.metrics.counter("marigold_requests_total", "outcome=\"" + std::string { outcome } + "\"").increment();
    this->parts.metrics.histogram("marigold_request_seconds").record(took);
    if (call.stream)
        this->parts.metrics.histogram("marigold_longest_gap_seconds").record(call.longestGap);
}

// Denies a request that is larger than the limits of the configuration in force allow, if that is current. Otherwise
// the limits may be lower than the newest ones, or the defaults, and the caller is told to retry.
HttpResponse ServingGateway::makeSizeDenial(unsigned status, std::string_view denial)
{
    const auto known = this->configurationKnowledge();
    const bool isFinal = this->denials.isCurrent(known);
    const std::string_view outdated = known.version == 0 ? "no_configuration" : "configuration_outdated";
    const auto reason = isFinal ? denial : outdated;
    // The time that the caller has left is not known.
    std::uniform_real_distribution<double> share { 0, 1 };
    const auto spread
        = std::chrono::duration_cast<Duration>((MaximumRetryAfter - MinimumRetryAfter) * share(this->random));
    const auto retryAfter = isFinal ? std::nullopt : std::optional<Duration> { MinimumRetryAfter + spread };
    this->parts.log.write("size_denied",
        { { "denial", denial }, { "outcome", reason }, { "version", known.version },
            { "newest_known", known.newestKnown }, { "age_ms", known.age.value_or(UnknownAge) },
            { "retry_after_ms", retryAfter.value_or(Duration::zero()) } });
    this->parts.metrics.counter("marigold_refusals_total", "reason=\"" + std::string { reason } + "\"").increment();
    return this->parts.format.makeOwnResponse(isFinal ? status : 503, reason, retryAfter);
}

// Refuses a request that was not read to its end for lack of memory. The time that the caller has left is not known.
HttpResponse ServingGateway::makeMemoryRefusal()
{
    std::uniform_real_distribution<double> share { 0, 1 };
    const auto spread
        = std::chrono::duration_cast<Duration>((MaximumRetryAfter - MinimumRetryAfter) * share(this->random));
    this->parts.metrics.counter("marigold_refusals_total", "reason=\"no_memory\"").increment();
    return this->parts.format.makeOwnResponse(503, "no_memory", MinimumRetryAfter + spread);
}

HttpResponse ServingGateway::makeFaultResponse(HttpFault fault)
{
    switch (fault) {
    case HttpFault::Malformed:
        return this->parts.format.makeOwnResponse(400, "malformed_request", std::nullopt);
    case HttpFault::HeaderTooLarge:
        return this->makeSizeDenial(431, "header_too_large");
    case HttpFault::BodyTooLarge:
        return this->makeSizeDenial(413, "body_too_large");
    case HttpFault::TooSlow:
        return this->parts.format.makeOwnResponse(408, "request_too_slow", std::nullopt);
    case HttpFault::TooManyConnections:
        return this->parts.format.makeOwnResponse(503, "too_many_connections", DefaultRetryAfter);
    case HttpFault::NoMemory:
        return this->makeMemoryRefusal();
    }
    return this->parts.format.makeOwnResponse(500, "internal", std::nullopt);
}

}
