#include "serving/ServingGateway.h"

#include <algorithm>
#include <random>

#include "serving/ServingCall.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// An answer reaches the caller this long before it stops waiting.
constexpr Duration AnswerMargin = std::chrono::milliseconds { 30 };
// When a refused caller may come back if nothing better is known: a full engine has ended an answer by then.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds { 300 };
// Waiting prompts look for a free engine this often; a part of a long read takes some hundred milliseconds.
constexpr Duration PlacementRetryPeriod = std::chrono::milliseconds { 10 };
// A short prompt that is late waits for a place for so many objectives, or a quarter of its time if that is shorter.
constexpr int LatePatienceObjectives = 5;
// Callers that find no place come back after an answer's length or some more.
constexpr Duration ShortestReturn = std::chrono::milliseconds { 800 };
constexpr Duration LongestReturn = std::chrono::seconds { 3 };
// Keeps a prompt among those that wait, for as long as it exists.
class WaitingPlace {
public:
    WaitingPlace(WaitingPrompts& waiting, TimePoint startBy)
        : waiting(waiting)
        , entry(waiting.add(startBy))
    {
    }

    ~WaitingPlace()
    {
        this->waiting.remove(this->entry);
    }

    WaitingPlace(const WaitingPlace&) = delete;
    WaitingPlace& operator=(const WaitingPlace&) = delete;

private:
    WaitingPrompts& waiting;
    WaitingPrompts::Entry entry;
};

}

ServingGateway::ServingGateway(const Parts& parts, TargetChooser chooser)
    : parts(parts)
    , chooser(std::move(chooser))
    , random(std::random_device {}())
    , ticketPrefix(parts.instance + '-' + std::to_string(std::random_device {}()) + '-')
{
}

void ServingGateway::onPromptPlaced(std::function<void()> notify)
{
    this->notifyPlaced = std::move(notify);
}

void ServingGateway::beginStop(TimePoint intakeUntil, TimePoint endsAt)
{
    this->intakeUntil = intakeUntil;
    this->endsAt = endsAt;
}

asio::awaitable<void> ServingGateway::handle(HttpExchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    Call call { exchange, this->parts.clock.now() };
    call.terms = this->parts.format.callerTerms(exchange.request());
    call.configuration = this->parts.view.configuration();
    if (!call.configuration)
        co_return co_await this->refuse(call, 503, "no_configuration");
    call.route = call.configuration->routes.find(
        exchange.request()[boost::beast::http::field::host], exchange.request().target());
    if (!call.route)
        co_return co_await this->refuse(call, 404, "no_route");
    if (!this->admit(call))
        co_return co_await this->refuse(call, 401, "unknown_key");
    const auto patience = std::min(call.route->timeout, call.terms.remaining.value_or(call.route->timeout));
    call.deadline = call.receivedAt + patience - AnswerMargin;
    if (this->isPastIntake(call))
        co_return co_await this->refuse(call, 503, "stopping");

    const auto first
        = co_await (this->forward(call) || this->waitUntilCallerIsGone(call) || this->waitUntilDeadline(call));
    if (first.index() == 1)
        this->finish(call, "caller_gone", 0);
    else if (first.index() == 2 && !call.isAnswering)
        co_await this->finishUnserved(call);
    else if (first.index() == 2)
        this->finish(call, "cut_at_deadline", 0);
}

void ServingGateway::endRequests()
{
    for (auto* deadline : this->deadlines)
        deadline->cancel();
}

// Whether the instance stops before the request's time is over, and too late to begin with it.
bool ServingGateway::isPastIntake(const Call& call) const
{
    return this->parts.clock.now() >= this->intakeUntil && call.deadline > this->endsAt;
}

bool ServingGateway::admit(Call& call)
{
    const auto& values = call.configuration->values;
    if (call.route->isPublic || !values.requiresKeys)
        return true;
    const auto workspace = values.workspaceByKey.find(call.terms.apiKey);
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
    Attempt last = Attempt::NotSent;
    while (call.tries == 0 || this->maySendAgain(call, last)) {
        const auto choice = co_await this->chooseInTime(call);
        if (!choice)
            break;
        ++call.tries;
        call.tried.insert(choice->target.id);
        last = co_await this->send(call, *choice);
        if (last == Attempt::Done)
            co_return;
        if (last == Attempt::MayHaveRun)
            ++call.runs;
    }
    co_await this->finishUnserved(call);
}

// A prompt waits here while it would hold up others or find no place. A long one waits as long as its objective allows,
// and if that is lost, for up to half of its time; if it would then still hold up answers that are worth more, it is
// turned away. A short one whose objective is lost is turned away if its caller can
// come back, and else waits a while.
asio::awaitable<std::optional<TargetChoice>> ServingGateway::chooseInTime(Call& call)
{
    const auto& objective = call.route->objective;
    const auto longBy = std::min(call.receivedAt + objective * 3 / 4, call.deadline);
    const auto shortBy = std::min(
        call.receivedAt + LatePatienceObjectives * objective, call.receivedAt + (call.deadline - call.receivedAt) / 4);
    // A long prompt that is late anyway gives way to those that are not, and is not read by few engines in large parts.
    const auto lateBy = call.receivedAt + (call.deadline - call.receivedAt) / 2;
    std::optional<WaitingPlace> place; // Among the long prompts.
    std::optional<TimePoint> readySince;
    while (true) {
        const auto now = this->parts.clock.now();
        auto choice = this->chooser.choose(
            { *call.route, *call.service, call.terms.prompt, call.tried, now - call.receivedAt, this->remaining(call) },
            now);
        if (!choice)
            co_return choice;
        if (call.tries == 0 && this->isPastIntake(call)) {
            call.isStopped = true;
            co_return std::nullopt;
        }
        const auto startBy = choice->work.isLong ? longBy - 2 * choice->soonest : shortBy;
        if (now >= startBy && choice->isHopeless) {
            this->noteNotPlaced(call, *choice);
            co_return std::nullopt;
        }
        const bool comesLate = now + choice->expected > call.receivedAt + objective;
        const bool isLost = choice->work.isLong && (comesLate || choice->isHarmful);
        if (now >= (isLost ? lateBy : startBy)) {
            if (!choice->work.isLong || !choice->isHarmful || call.runs > 0)
                co_return choice;
            if (this->mayComeBack(call))
                call.retryAfter = this->spreadRetryAfter(call);
            this->noteNotPlaced(call, *choice);
            co_return std::nullopt;
        }
        // Beyond the engines' places nothing is gained by a queue: all who follow would be late as well.
        if (choice->isLate && choice->shouldWait && !choice->work.isLong && this->mayComeBack(call)) {
            call.retryAfter = this->spreadRetryAfter(call);
            this->noteNotPlaced(call, *choice);
            co_return std::nullopt;
        }
        if (!choice->shouldWait) {
            readySince = readySince.value_or(now);
            if (!choice->work.isLong || this->parts.waiting.isNext(isLost ? lateBy : startBy, now)
                || now - *readySince >= WaitingPrompts::Courtesy)
                co_return choice;
        }
        if (isLost)
            place.reset();
        if (choice->work.isLong && !isLost && !place) {
            place.emplace(this->parts.waiting, startBy);
            if (this->notifyPlaced)
                this->notifyPlaced();
        }
        asio::steady_timer timer { this->parts.context, PlacementRetryPeriod };
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Notes why a prompt for which there are targets is turned away.
void ServingGateway::noteNotPlaced(Call& call, const TargetChoice& best)
{
    call.foundNoPlace = true;
    const auto now = this->parts.clock.now();
    this->parts.log.write("not_placed",
        { { "id", call.terms.attemptId }, { "prompt_tokens", call.terms.prompt.value_or(PromptSize {}).promptTokens },
            { "targets", static_cast<std::uint64_t>(this->parts.view.targets.available(call.service->name).size()) },
            { "best_target", best.target.id },
            { "running_there", std::uint64_t { this->parts.ledger.total(best.target.id, now).running } },
            { "expected_ms", best.expected }, { "waited_ms", now - call.receivedAt },
            { "objective_ms", call.route->objective },
            { "retry_after_ms", call.retryAfter.value_or(DefaultRetryAfter) } });
}

// Callers come back within a third of the time that they have left.
bool ServingGateway::mayComeBack(const Call& call) const
{
    return call.runs == 0 && this->remaining(call) / 3 >= ShortestReturn;
}

// Spreads the return of callers that a crest has turned away, so that they do not make another.
Duration ServingGateway::spreadRetryAfter(const Call& call)
{
    const auto longest = std::min(LongestReturn, this->remaining(call) / 3);
    std::uniform_real_distribution<double> share { 0, 1 };
    return ShortestReturn + std::chrono::duration_cast<Duration>((longest - ShortestReturn) * share(this->random));
}

bool ServingGateway::maySendAgain(Call& call, Attempt last)
{
    if (call.tries >= MaximumTries || this->remaining(call) <= Duration::zero())
        return false;
    if (call.runs > 0 && (!call.route->mayRunAgain() || call.runs >= call.route->maximumAttempts))
        return false;
    if (last == Attempt::NotSent)
        return true;
    return this->parts.budget.trySpend(call.service->name, this->parts.clock.now());
}

Duration ServingGateway::remaining(const Call& call) const
{
    return call.deadline - this->parts.clock.now();
}

// The final answer of a call that no target has answered well. 503 promises that the request has not run.
asio::awaitable<void> ServingGateway::finishUnserved(Call& call)
{
    if (call.isAnswering) {
        this->finish(call, "stream_broken", 0);
        co_return;
    }
    if (call.targetFailure) {
        const auto status = call.targetFailure->result_int();
        call.isAnswering = true;
        co_await call.exchange.respond(std::move(*call.targetFailure));
        this->finish(call, "target_failure", status);
        co_return;
    }
    const bool isLate = this->remaining(call) <= Duration::zero();
    if (call.runs > 0 || (call.tries > 0 && isLate))
        co_return co_await this->refuse(call, isLate ? 504 : 502, "may_have_run");
    co_await this->refuse(call, 503,
        call.isStopped          ? "stopping"
            : call.foundNoPlace ? "no_place"
            : call.tries > 0    ? "targets_declined"
                                : "no_target");
}

asio::awaitable<void> ServingGateway::refuse(Call& call, unsigned status, std::string_view reason)
{
    call.isAnswering = true;
    const auto retryAfter
        = status == 503 ? std::optional { call.retryAfter.value_or(DefaultRetryAfter) } : std::nullopt;
    co_await call.exchange.respond(this->parts.format.ownAnswer(status, reason, retryAfter));
    this->parts.metrics.counter("marigold_refusals_total", "reason=\"" + std::string { reason } + "\"").increment();
    this->finish(call, reason, status);
}

asio::awaitable<void> ServingGateway::waitUntilDeadline(Call& call)
{
    asio::steady_timer timer { this->parts.context, call.deadline };
    this->deadlines.insert(&timer);
    boost::system::error_code endedEarly;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, endedEarly));
    this->deadlines.erase(&timer);
    call.isAbandoned = true;
    call.deadline = std::min(call.deadline, this->parts.clock.now());
}

asio::awaitable<void> ServingGateway::waitUntilCallerIsGone(Call& call)
{
    co_await call.exchange.waitUntilCallerIsGone();
    call.isAbandoned = true;
}

void ServingGateway::finish(Call& call, std::string_view outcome, unsigned status)
{
    if (call.didFinish)
        return;
    call.didFinish = true;
    const auto took = this->parts.clock.now() - call.receivedAt;
    const auto route = call.route ? std::string_view { call.route->name } : std::string_view { "-" };
    this->parts.log.write("finished",
        { { "id", call.terms.attemptId }, { "route", route }, { "workspace", call.workspace }, { "outcome", outcome },
            { "status", std::uint64_t { status } }, { "tries", std::uint64_t { call.tries } },
            { "runs", std::uint64_t { call.runs } }, { "longest_gap_ms", call.longestGap }, { "took_ms", took } });
    this->parts.metrics.counter("marigold_requests_total", "outcome=\"" + std::string { outcome } + "\"").increment();
    this->parts.metrics.histogram("marigold_request_seconds").record(took);
    if (call.stream)
        this->parts.metrics.histogram("marigold_longest_gap_seconds").record(call.longestGap);
}

HttpResponse ServingGateway::describeFault(HttpFault fault)
{
    switch (fault) {
    case HttpFault::Malformed:
        return this->parts.format.ownAnswer(400, "malformed_request", std::nullopt);
    case HttpFault::HeaderTooLarge:
        return this->parts.format.ownAnswer(431, "header_too_large", std::nullopt);
    case HttpFault::BodyTooLarge:
        return this->parts.format.ownAnswer(413, "body_too_large", std::nullopt);
    case HttpFault::TooSlow:
        return this->parts.format.ownAnswer(408, "request_too_slow", std::nullopt);
    case HttpFault::TooManyConnections:
        return this->parts.format.ownAnswer(503, "too_many_connections", DefaultRetryAfter);
    }
    return this->parts.format.ownAnswer(500, "internal", std::nullopt);
}

}
