#include "serving/ServingGateway.h"

#include <algorithm>
#include <random>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// An answer reaches the caller this long before it stops waiting.
constexpr Duration AnswerMargin = std::chrono::milliseconds { 30 };
// Targets that may be tried for one call, counting those that did not run it.
constexpr unsigned MaximumTries = 4;
// When a refused caller may come back if nothing better is known: a full engine has ended an answer by then.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds { 300 };
// Waiting prompts look for a free engine this often; a part of a long read takes some hundred milliseconds.
constexpr Duration PlacementRetryPeriod = std::chrono::milliseconds { 10 };
// A short prompt that is late waits for a place for so many objectives, or a quarter of its time if that is shorter.
constexpr int LatePatienceObjectives = 5;
// Callers that find no place come back after an answer's length or some more.
constexpr Duration ShortestReturn = std::chrono::milliseconds { 800 };
constexpr Duration LongestReturn = std::chrono::seconds { 3 };
// Engines that lose a helper stall for so long before they give up; a shorter silence is no sign of a fault.
constexpr Duration LongestNormalGap = std::chrono::milliseconds { 1500 };
// Short prompts go before long ones in an engine's queue; 5 is the middle.
constexpr int ShortUrgency = 3;
constexpr int LongUrgency = 6;
constexpr int LateUrgency = 8; // Nothing is lost by letting others go first.

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

std::string helperNames(const TargetChoice& choice)
{
    std::string names;
    for (const auto& helper : choice.helpers)
        names += (names.empty() ? "" : ",") + helper.id;
    return names.empty() ? "-" : names;
}

std::string_view outcomeName(SendOutcome outcome)
{
    switch (outcome) {
    case SendOutcome::Answered:
        return "answered";
    case SendOutcome::Failed:
        return "failed";
    case SendOutcome::Unreachable:
        return "unreachable";
    case SendOutcome::Declined:
        return "declined";
    }
    return "invalid";
}

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

class SendNote final : public SendGate {
public:
    bool mayWrite() override
    {
        this->isWritten = true;
        return true;
    }

    bool isWritten { false };
};

}

struct ServingGateway::Call {
    Call(HttpExchange& exchange, TimePoint now)
        : exchange(exchange)
        , receivedAt(now)
    {
    }

    HttpExchange& exchange;
    TimePoint receivedAt;
    TimePoint deadline {};
    CallerTerms terms;
    std::shared_ptr<const ActiveConfiguration> configuration;
    const Route* route { nullptr };
    const ServiceProfile* service { nullptr };
    std::string workspace;
    std::set<std::string> tried;
    unsigned tries { 0 };
    unsigned runs { 0 }; // Attempts that may have run.
    std::optional<Duration> retryAfter; // When a refused caller may come back, if better known than usual.
    std::optional<HttpResponse> targetFailure; // Passed on when nothing better comes.
    std::optional<EventStream> stream; // Once events may reach the caller.
    TimePoint lastEventAt {};
    Duration longestGap {}; // Between two pieces of the answer.
    bool isAnswering { false }; // The caller has bytes of its answer, or is about to.
    bool foundNoPlace { false }; // There are targets, and none could take it in time.
    bool isAbandoned { false }; // The caller has left or its time is over: whatever ends now says nothing of a target.
    bool didFinish { false };
};

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
    if (call.receivedAt >= this->intakeUntil && call.deadline > this->endsAt)
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

// A prompt waits here while it would hold up others or find no place: a long one as long as its own objective allows, a
// short one some objectives longer, as engines queue in the order of arrival and would make all that follow late.
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
        const auto startBy = choice->work.isLong ? longBy - 2 * choice->soonest : shortBy;
        if (now >= startBy && choice->isHopeless) {
            this->noteNotPlaced(call, *choice);
            co_return std::nullopt;
        }
        const bool comesLate = now + choice->expected > call.receivedAt + objective;
        const bool isLost = choice->work.isLong && (comesLate || choice->isHarmful);
        if (now >= (isLost ? lateBy : startBy))
            co_return choice;
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

// A repeatable request leaves time for another target when this one stays silent.
Duration ServingGateway::firstByteTimeout(const Call& call, const TargetChoice& choice) const
{
    if (!this->mayLeave(call))
        return this->remaining(call);
    return std::min(this->remaining(call), 2 * choice.expected + call.route->objective);
}

// Silence ends an answer only while another target can continue it.
// A target that reads a long prompt is silent for as long.
Duration ServingGateway::gapTimeout(const Call& call, const std::string& target) const
{
    if (!this->mayLeave(call))
        return this->remaining(call);
    const auto load = this->parts.ledger.total(target, this->parts.clock.now());
    const auto reading = std::chrono::duration<double, std::milli> { 2 * load.backlogMs };
    return std::max(LongestNormalGap, 3 * call.route->gapObjective) + std::chrono::duration_cast<Duration>(reading);
}

bool ServingGateway::mayLeave(const Call& call) const
{
    return call.route->mayRunAgain() && call.runs + 1 < call.route->maximumAttempts && call.tries < MaximumTries
        && this->parts.budget.left(call.service->name, this->parts.clock.now()) >= 1;
}

std::vector<LedgerEntry> ServingGateway::noteWork(const TargetChoice& choice)
{
    const auto now = this->parts.clock.now();
    std::vector<LedgerEntry> work;
    work.reserve(1 + choice.helpers.size());
    work.emplace_back(this->parts.ledger, choice.target.id, choice.work, now);
    for (std::size_t part = 0; part < choice.helpers.size(); ++part) {
        const auto tokens = part < choice.tickets ? choice.tokensPerTicket : 0;
        const TargetWork reading { choice.work.readMs, tokens, choice.work.isLong, false };
        work.emplace_back(this->parts.ledger, choice.helpers[part].id, reading, now);
    }
    if (choice.work.readMs > 0 && this->notifyPlaced)
        this->notifyPlaced();
    return work;
}

asio::awaitable<ServingGateway::Attempt> ServingGateway::send(Call& call, const TargetChoice& choice)
{
    auto work = this->noteWork(choice);
    const auto now = this->parts.clock.now();
    this->parts.log.write("sent",
        { { "id", call.terms.attemptId }, { "try", std::uint64_t { call.tries } }, { "target", choice.target.id },
            { "address", choice.target.address }, { "helpers", helperNames(choice) }, { "read_ms", choice.work.readMs },
            { "expected_ms", choice.expected }, { "left_ms", this->remaining(call) },
            { "version", this->parts.view.version() },
            { "targets_age_ms", this->parts.view.targets.age(now).value_or(Duration::zero()) } });
    SendTerms terms;
    terms.targetId = choice.target.id;
    terms.remaining = this->remaining(call);
    terms.workspace = call.workspace;
    if (call.stream)
        terms.lastEventId = call.stream->lastId();
    if (call.terms.prompt)
        terms.urgency = choice.isLate ? LateUrgency : choice.work.isLong ? LongUrgency : ShortUrgency;
    for (const auto& helper : choice.helpers)
        terms.helpers.push_back({ helper.address, {} });
    MemoryLease lease { { this->parts.context, this->parts.memory, this->parts.log, this->parts.memoryHold },
        call.terms.attemptId };
    if (!co_await this->reserveMemory(call, choice, lease, terms))
        co_return Attempt::NotSent;
    terms.remaining = this->remaining(call);
    if (call.tries == 1)
        this->parts.budget.noteFirst(call.service->name, now);

    SendNote note;
    const auto reuse = call.route->mayRunAgain() ? ConnectionReuse::Allowed : ConnectionReuse::Forbidden;
    auto answer = co_await this->parts.client.start(choice.target.address,
        this->parts.format.requestFor(call.exchange.request(), terms), this->firstByteTimeout(call, choice), reuse,
        &note);
    if (!answer) {
        this->noteOutcome(call, choice, SendOutcome::Unreachable, name(answer.error()));
        co_return note.isWritten ? Attempt::MayHaveRun : Attempt::NotSent;
    }
    auto& received = answer.value();
    const auto said = this->parts.format.answerTerms(received.header());
    if (said.attemptId != call.terms.attemptId) {
        received.discard();
        this->noteOutcome(call, choice, SendOutcome::Failed, "answer_to_other_request");
        co_return Attempt::MayHaveRun;
    }
    if (said.isOtherTarget)
        this->parts.view.targets.markLeaving(choice.target.id);
    if (said.didNotRun) {
        this->noteOutcome(call, choice, SendOutcome::Declined, said.isOtherTarget ? "other_target" : "not_run");
        co_return Attempt::NotRun;
    }
    const auto status = received.header().result_int();
    if (isSuccess(status) && (!said.isSealed || said.isEncoded)) {
        received.discard();
        this->noteOutcome(call, choice, SendOutcome::Failed, "unsealed");
        co_return Attempt::MayHaveRun;
    }
    if (call.route->kind == RouteKind::Stream && isSuccess(status))
        co_return co_await this->relayStream(call, received, choice, work);
    const auto ended = co_await this->relayWhole(call, received, choice.target.id);
    this->noteOutcome(call, choice, ended == Attempt::Done ? SendOutcome::Answered : SendOutcome::Failed, "whole");
    co_return ended;
}

// Sets memory aside at the first helpers and names it in the terms. False when one of them has no room; the lease then
// gives back what the others set aside.
asio::awaitable<bool> ServingGateway::reserveMemory(
    Call& call, const TargetChoice& choice, MemoryLease& lease, SendTerms& terms)
{
    for (std::size_t part = 0; part < choice.tickets; ++part) {
        const auto& engine = choice.helpers[part];
        MemoryTicket ticket { this->ticketPrefix + std::to_string(++this->lastTicket), choice.tokensPerTicket };
        terms.helpers[part].ticket = ticket.id;
        if (co_await lease.add(engine, ticket) == MemoryOutcome::Done)
            continue;
        // The next try leaves out this engine, not the one that was to answer.
        call.tried.erase(choice.target.id);
        call.tried.insert(engine.id);
        co_return false;
    }
    co_return true;
}

asio::awaitable<ServingGateway::Attempt> ServingGateway::relayWhole(
    Call& call, HttpCall& answer, const std::string& target)
{
    auto body = co_await answer.readAll(this->remaining(call));
    if (!body) {
        this->parts.log.write("answer_broken",
            { { "id", call.terms.attemptId }, { "target", target }, { "detail", name(body.error()) } });
        co_return Attempt::MayHaveRun;
    }
    HttpResponse response { this->parts.format.headerForCaller(answer.header()).base() };
    response.body() = std::move(body).value();
    response.prepare_payload();
    const auto status = response.result_int();
    if (status >= 500) {
        call.targetFailure = std::move(response);
        co_return Attempt::MayHaveRun;
    }
    call.isAnswering = true;
    const bool isDelivered = co_await call.exchange.respond(std::move(response));
    this->finish(call, isDelivered ? "answered" : "caller_gone", status);
    co_return Attempt::Done;
}

asio::awaitable<ServingGateway::Attempt> ServingGateway::relayStream(
    Call& call, HttpCall& answer, const TargetChoice& choice, std::vector<LedgerEntry>& work)
{
    const bool isFirst = !call.stream;
    if (isFirst)
        call.stream.emplace(call.terms.lastEventId);
    else
        call.stream.emplace(call.stream->lastId());
    auto& stream = *call.stream;
    auto timeout = this->firstByteTimeout(call, choice);
    bool didBegin = false; // This attempt has brought events.
    while (true) {
        auto piece = co_await answer.readSome(std::min(timeout, this->remaining(call)));
        timeout = this->gapTimeout(call, choice.target.id);
        if (!piece) {
            this->noteOutcome(call, choice, SendOutcome::Failed, name(piece.error()));
            co_return Attempt::MayHaveRun;
        }
        const bool isEnd = piece.value().empty();
        const auto now = this->parts.clock.now();
        if (call.isAnswering && !isEnd)
            call.longestGap = std::max(call.longestGap, now - call.lastEventAt);
        call.lastEventAt = now;
        this->parts.health.noteAlive(choice.target.id, now);
        const auto events = stream.take(piece.value());
        if (!events.empty() && !didBegin) {
            didBegin = true;
            this->noteFirstEvents(call, choice, work);
        }
        if (!call.isAnswering && (!events.empty() || (isEnd && !stream.isBroken() && !stream.isInsideEvent()))) {
            call.isAnswering = true;
            if (!co_await call.exchange.beginStream(this->parts.format.headerForCaller(answer.header())))
                break;
        }
        // Whole events before a break are delivered: the next attempt continues after them.
        if (!events.empty() && !co_await call.exchange.write(events))
            break;
        if (stream.isBroken() || (isEnd && stream.isInsideEvent())) {
            answer.discard();
            this->noteOutcome(call, choice, SendOutcome::Failed, "broken_events");
            co_return Attempt::MayHaveRun;
        }
        if (!isEnd)
            continue;
        const bool isDelivered = co_await call.exchange.endStream();
        this->noteOutcome(call, choice, SendOutcome::Answered, "stream");
        this->finish(call, isDelivered ? "answered" : "caller_gone", answer.header().result_int());
        co_return Attempt::Done;
    }
    this->finish(call, "caller_gone", 0);
    co_return Attempt::Done;
}

// The prompt has been read: its helpers are free again, unless they keep a part of it.
void ServingGateway::noteFirstEvents(Call& call, const TargetChoice& choice, std::vector<LedgerEntry>& work)
{
    std::ranges::for_each(work, &LedgerEntry::noteRead);
    while (work.size() > 1 + choice.tickets)
        work.pop_back();
    const auto now = this->parts.clock.now();
    if (!call.isAnswering)
        this->parts.metrics.histogram("marigold_first_event_seconds").record(now - call.receivedAt);
    this->parts.log.write("first_event",
        { { "id", call.terms.attemptId }, { "target", choice.target.id }, { "after_ms", now - call.receivedAt },
            { "prompt_tokens", call.terms.prompt.value_or(PromptSize {}).promptTokens } });
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
        call.foundNoPlace    ? "no_place"
            : call.tries > 0 ? "targets_declined"
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
    co_await timer.async_wait(asio::use_awaitable);
    call.isAbandoned = true;
}

asio::awaitable<void> ServingGateway::waitUntilCallerIsGone(Call& call)
{
    co_await call.exchange.waitUntilCallerIsGone();
    call.isAbandoned = true;
}

void ServingGateway::noteOutcome(Call& call, const TargetChoice& choice, SendOutcome outcome, std::string_view detail)
{
    if (call.isAbandoned)
        return;
    const auto now = this->parts.clock.now();
    this->parts.health.note(choice.target.id, outcome, now);
    if (outcome == SendOutcome::Answered)
        return;
    this->parts.log.write("attempt_ended",
        { { "id", call.terms.attemptId }, { "target", choice.target.id }, { "outcome", outcomeName(outcome) },
            { "detail", detail }, { "after_ms", now - call.receivedAt } });
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
