#include <algorithm>
#include <functional>
#include <span>

#include "serving/ServingCall.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// Part of ServingGateway: sends requests to targets and relays their answers.
namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// An engine that loses a helper stalls this long before it gives up; a shorter gap is no sign of a failure.
constexpr Duration NormalGapLimit = std::chrono::milliseconds { 1500 };
// Priorities from 0 (highest) to 9: short prompts precede long ones in an engine's queue; 5 is the middle.
constexpr int ShortUrgency = 3;
constexpr int LongUrgency = 6;
constexpr int MissedObjectiveUrgency = 8; // The objective is missed anyway, so others go first.

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

// Pause before a continuation of a silent stream is tried again.
constexpr Duration SuccessorRetryPeriod = std::chrono::milliseconds { 250 };
// A target that has been writing for this long does not end because of the prompt: that happens within a pass or two.
constexpr Duration SoundAnswerTime = std::chrono::milliseconds { 500 };
// A helper that needs this long to decline is not answering the engine that asked it.
constexpr Duration SilentHelperTime = std::chrono::seconds { 1 };

// Makes an attempt known as the successor of another one for as long as it is being opened.
class SuccessorRegistration {
public:
    template <typename Attempt>
    SuccessorRegistration(Attempt*& place, Attempt& successor)
        : clear([&place] { place = nullptr; })
    {
        place = &successor;
    }

    ~SuccessorRegistration()
    {
        this->clear();
    }

    SuccessorRegistration(const SuccessorRegistration&) = delete;
    SuccessorRegistration& operator=(const SuccessorRegistration&) = delete;

private:
    std::function<void()> clear;
};

// Allows the write unless the target began to leave, or asked for a pause, or the prompt was found to end targets,
// while the connection or memory was awaited. Counts the attempts that may be executed: those that were written.
class TargetWriteGate final : public WriteGate {
public:
    TargetWriteGate(std::function<bool()> isOpen, unsigned& runs)
        : isOpen(std::move(isOpen))
        , runs(runs)
    {
    }

    bool mayWrite() override
    {
        this->isWritten = this->isOpen();
        this->isHeldBack = !this->isWritten;
        if (this->isWritten)
            ++this->runs;
        return this->isWritten;
    }

    bool isWritten { false };
    bool isHeldBack { false };

private:
    std::function<bool()> isOpen;
    unsigned& runs;
};

}

Duration ServingGateway::firstByteLimit(const Call& call, const TargetChoice& choice) const
{
    return 2 * choice.expected + call.route->objective;
}

// After a longer gap between events, another target may continue the answer. A target that prefills a long prompt sends
// nothing meanwhile, so its backlog is added.
Duration ServingGateway::gapLimit(const Call& call, const std::string& target) const
{
    const auto load = this->parts.ledger.total(target, this->parts.clock.now());
    const auto reading = std::chrono::duration<double, std::milli> { 2 * load.backlogMs };
    return std::max(NormalGapLimit, 3 * call.route->gapObjective) + std::chrono::duration_cast<Duration>(reading);
}

bool ServingGateway::mayRunElsewhere(const Call& call, unsigned runs) const
{
    return call.route->mayRunAgain() && runs < call.route->maximumAttempts && call.tries < MaximumTries;
}

std::vector<LedgerEntry> ServingGateway::recordWork(const TargetChoice& choice)
{
    const auto now = this->parts.clock.now();
    std::vector<LedgerEntry> work;
    work.reserve(1 + choice.helpers.size());
    work.emplace_back(this->parts.ledger, choice.target.id, choice.work, now);
    for (std::size_t part = 0; part < choice.helpers.size(); ++part) {
        const auto tokens = part < choice.reservations ? choice.tokensPerReservation : 0;
        const TargetWork helperWork { choice.work.prefillMs, tokens, choice.work.isLong, false };
        work.emplace_back(this->parts.ledger, choice.helpers[part].id, helperWork, now);
    }
    if (choice.work.prefillMs > 0 && this->notifyPlaced)
        this->notifyPlaced();
    return work;
}

asio::awaitable<ServingGateway::AttemptResult> ServingGateway::send(Call& call, const TargetChoice& choice)
{
    auto attempt = std::make_unique<Attempt>(this->parts.context, choice);
    const auto opened = co_await this->open(call, *attempt);
    if (opened != AttemptResult::Answering)
        co_return opened;
    const auto& answer = *attempt->answer;
    if (call.route->kind == RouteKind::Stream && isSuccess(answer.header().result_int()))
        co_return co_await this->relayStream(call, attempt);
    const auto& target = attempt->choice.target;
    if (call.hasResponseStarted) {
        attempt->answer->discard();
        this->recordOutcome(call, target, SendOutcome::Failed, "no_continuation");
        co_return AttemptResult::MayHaveRun;
    }
    const auto ended = co_await this->relayWhole(call, *attempt->answer, target.id);
    if (ended == AttemptResult::Done && isSuccess(answer.header().result_int()))
        this->recordSound(call, *attempt);
    this->recordOutcome(
        call, target, ended == AttemptResult::Done ? SendOutcome::Answered : SendOutcome::Failed, "whole");
    co_return ended;
}

// Sends the request and waits for the header of the answer.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::open(Call& call, Attempt& attempt)
{
    const auto& choice = attempt.choice;
    attempt.work = this->recordWork(choice);
    call.currentTarget = choice.target.id;
    const auto now = this->parts.clock.now();
    this->parts.log.write("sent",
        { { "id", call.metadata.attemptId }, { "try", std::uint64_t { call.tries } }, { "target", choice.target.id },
            { "address", choice.target.address }, { "helpers", helperNames(choice) },
            { "read_ms", choice.work.prefillMs }, { "expected_ms", choice.expected },
            { "left_ms", this->remaining(call) }, { "version", this->parts.view.version() },
            { "targets_age_ms", this->parts.view.targets.age(now).value_or(Duration::zero()) } });
    ForwardingMetadata forwarding;
    forwarding.targetId = choice.target.id;
    forwarding.workspace = call.workspace;
    if (call.stream)
        forwarding.lastEventId = call.stream->lastId();
    if (call.metadata.prompt)
        forwarding.urgency = choice.cannotMeetObjective ? MissedObjectiveUrgency
            : choice.work.isLong                        ? LongUrgency
                                                        : ShortUrgency;
    for (const auto& helper : choice.helpers)
        forwarding.helpers.push_back({ helper.address, {} });
    attempt.lease.emplace(MemoryLease::Parts { this->parts.context, this->parts.memory, this->parts.log,
                              this->parts.memoryLeaseDuration },
        call.metadata.attemptId);
    if (!co_await this->reserveMemory(call, choice, *attempt.lease, forwarding))
        co_return AttemptResult::NotSent;
    forwarding.remaining = this->remaining(call);
    if (call.tries == 1)
        this->parts.budget.recordFirstSend(call.service->name, now);

    const auto isOpen = [&] {
        return this->acceptsRequests(choice.target) && !this->parts.quarantine.isQuarantined(call.sharedParts);
    };
    TargetWriteGate gate { isOpen, call.runs };
    const auto sentAt = this->parts.clock.now();
    const auto reuse = call.route->mayRunAgain() ? ConnectionReuse::Allowed : ConnectionReuse::Forbidden;
    auto request = this->parts.format.makeTargetRequest(call.exchange.request(), forwarding);
    auto start
        = this->parts.client.start(choice.target.address, std::move(request), this->remaining(call), reuse, &gate);
    auto answer = co_await this->startUnlessRetried(call, choice, std::move(start));
    if (answer) {
        const auto response = this->parts.format.responseMetadata(answer.value().header());
        this->advice.targetAnswered(choice.target, response, call.metadata.attemptId);
    }
    if (attempt.isSuperseded)
        co_return AttemptResult::MayHaveRun;
    if (!answer && !gate.isWritten && this->isQuarantined(call))
        co_return AttemptResult::NotSent;
    if (gate.isHeldBack)
        co_return this->recordHeldBack(call, choice.target);
    if (!answer) {
        this->recordOutcome(call, choice.target, SendOutcome::Unreachable, name(answer.error()));
        co_return gate.isWritten ? AttemptResult::MayHaveRun : AttemptResult::NotSent;
    }
    attempt.answer.emplace(std::move(answer).value());
    co_return this->checkAnswer(call, attempt, sentAt);
}

// Waits for the header of the answer. If another target may execute the request too, the wait ends once the answer is
// late and a retry has been spent for it: without a retry, a late answer is better than none.
asio::awaitable<HttpResult<HttpCall>> ServingGateway::startUnlessRetried(
    Call& call, const TargetChoice& choice, asio::awaitable<HttpResult<HttpCall>> start)
{
    using namespace asio::experimental::awaitable_operators;
    if (!this->mayRunElsewhere(call, call.runs + 1))
        co_return co_await std::move(start);
    auto first = co_await (std::move(start) || this->waitForRetry(call, this->firstByteLimit(call, choice)));
    if (first.index() == 0)
        co_return std::get<0>(std::move(first));
    co_return HttpError::Timeout;
}

// Returns after `delay`, once a retry has been spent for the call and a target could execute it.
asio::awaitable<void> ServingGateway::waitForRetry(Call& call, Duration delay)
{
    asio::steady_timer timer { this->parts.context, delay };
    while (true) {
        co_await timer.async_wait(asio::use_awaitable);
        timer.expires_after(SuccessorRetryPeriod);
        const auto now = this->parts.clock.now();
        const auto choice = this->chooser.choose({ *call.route, *call.service, call.metadata.prompt, call.tried,
                                                     now - call.receivedAt, this->remaining(call) },
            now);
        if (!choice || choice->wouldMissDeadline || this->isQuarantined(call))
            continue;
        call.hasSpentRetry = call.hasSpentRetry || this->parts.budget.trySpend(call.service->name, now);
        if (call.hasSpentRetry)
            co_return;
    }
}

// Whether the answer belongs to the request and may be forwarded.
ServingGateway::AttemptResult ServingGateway::checkAnswer(Call& call, Attempt& attempt, TimePoint sentAt)
{
    const auto& choice = attempt.choice;
    auto& answer = *attempt.answer;
    const auto response = this->parts.format.responseMetadata(answer.header());
    if (response.attemptId != call.metadata.attemptId) {
        answer.discard();
        this->recordOutcome(call, choice.target, SendOutcome::Failed, "answer_to_other_request");
        return AttemptResult::MayHaveRun;
    }
    if (response.wasNotExecuted) {
        --call.runs;
        return this->recordDeclined(call, choice, response, sentAt);
    }
    if (isSuccess(answer.header().result_int()) && (!response.isSealed || response.hasContentEncoding)) {
        answer.discard();
        this->recordOutcome(call, choice.target, SendOutcome::Failed, "unsealed");
        return AttemptResult::MayHaveRun;
    }
    return AttemptResult::Answering;
}

// Whether the target takes new requests and reservations of this instance at this moment.
bool ServingGateway::acceptsRequests(const TargetEntry& target) const
{
    return this->parts.view.targets.acceptsWork(target)
        && !this->parts.health.pauses.isPaused(target.id, this->parts.clock.now());
}

// Records that nothing was sent because the target no longer takes requests. It says nothing about its health.
ServingGateway::AttemptResult ServingGateway::recordHeldBack(Call& call, const TargetEntry& target)
{
    call.currentTarget.clear();
    const auto now = this->parts.clock.now();
    const auto pauseEnd = this->parts.health.pauses.end(target.id, now);
    this->parts.log.write("held_back",
        { { "id", call.metadata.attemptId }, { "target", target.id }, { "born", target.incarnation },
            { "reason", pauseEnd ? "paused" : "left" }, { "pause_left_ms", pauseEnd.value_or(now) - now } });
    this->parts.metrics.counter("marigold_held_back_requests_total").increment();
    return AttemptResult::NotSent;
}

// Records that the target, or a helper that it names, has not executed the request. The next attempt avoids whoever is
// at fault.
ServingGateway::AttemptResult ServingGateway::recordDeclined(
    Call& call, const TargetChoice& choice, const ResponseMetadata& response, TimePoint sentAt)
{
    const auto isAtFault = [&](const TargetEntry& helper) {
        return helper.address == response.faultyTarget || helper.id == response.faultyTarget;
    };
    const auto helper = std::ranges::find_if(choice.helpers, isAtFault);
    const bool isHelper = helper != choice.helpers.end();
    const auto& target = isHelper ? *helper : choice.target;
    if (response.isMisdirected)
        this->parts.view.targets.markLeaving(target, this->parts.clock.now());
    const bool isSilent = isHelper && this->parts.clock.now() - sentAt >= SilentHelperTime;
    this->recordOutcome(call, target, isSilent ? SendOutcome::Unreachable : SendOutcome::Declined,
        response.isMisdirected ? "other_target"
            : isHelper         ? "helper_declined"
                               : "not_run");
    if (isHelper) {
        call.tried.erase(choice.target.id);
        call.tried.insert(target.id);
    }
    return AttemptResult::NotRun;
}

// Reserves memory on the first `choice.reservations` helpers and adds the ids to `forwarding`. False when one fails;
// the lease then releases the other reservations.
asio::awaitable<bool> ServingGateway::reserveMemory(
    Call& call, const TargetChoice& choice, MemoryLease& lease, ForwardingMetadata& forwarding)
{
    for (std::size_t part = 0; part < choice.reservations; ++part) {
        const auto& engine = choice.helpers[part];
        MemoryReservation reservation { this->reservationPrefix + std::to_string(++this->lastReservation),
            choice.tokensPerReservation };
        forwarding.helpers[part].reservationId = reservation.id;
        if (!this->acceptsRequests(engine))
            this->recordHeldBack(call, engine);
        else if (co_await lease.add(engine, reservation) == MemoryOutcome::Done)
            continue;
        // The next attempt excludes this engine instead of the one chosen to answer.
        call.tried.erase(choice.target.id);
        call.tried.insert(engine.id);
        co_return false;
    }
    co_return true;
}

asio::awaitable<ServingGateway::AttemptResult> ServingGateway::relayWhole(
    Call& call, HttpCall& answer, const std::string& target)
{
    auto body = co_await answer.readAll(this->remaining(call));
    if (!body && body.error() == HttpError::Truncated)
        this->recordCutBeforeEvents(call, target);
    if (!body) {
        this->parts.log.write("answer_broken",
            { { "id", call.metadata.attemptId }, { "target", target }, { "detail", name(body.error()) } });
        co_return AttemptResult::MayHaveRun;
    }
    HttpResponse response { this->parts.format.makeCallerHeader(answer.header()).base() };
    response.body() = std::move(body).value();
    response.prepare_payload();
    const auto status = response.result_int();
    if (status >= 500) {
        call.targetFailure = std::move(response);
        co_return AttemptResult::MayHaveRun;
    }
    call.hasResponseStarted = true;
    const bool isDelivered = co_await call.exchange.respond(std::move(response));
    this->finish(call, isDelivered ? "answered" : "caller_gone", status);
    co_return AttemptResult::Done;
}

// Relays a stream. A target that is silent for too long is replaced once another one has begun to continue the stream,
// and not before: it may be sound and go on.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::relayStream(
    Call& call, std::unique_ptr<Attempt>& attempt)
{
    using namespace asio::experimental::awaitable_operators;
    while (true) {
        this->beginEvents(call, *attempt);
        std::unique_ptr<Attempt> successor;
        const auto first
            = co_await (this->relayEvents(call, *attempt) || this->replaceWhenSilent(call, *attempt, successor));
        if (first.index() == 0)
            co_return std::get<0>(first);
        if (!attempt->hasFailed)
            this->recordOutcome(call, attempt->choice.target, SendOutcome::Failed, name(HttpError::Timeout));
        attempt = std::move(successor);
        call.currentTarget = attempt->choice.target.id;
    }
}

// Expects the events after the last delivered one.
void ServingGateway::beginEvents(Call& call, Attempt& attempt)
{
    if (call.stream)
        call.stream.emplace(call.stream->lastId());
    else
        call.stream.emplace(call.metadata.lastEventId);
    attempt.progressAt = this->parts.clock.now();
    attempt.nextEventBy = attempt.progressAt + this->firstByteLimit(call, attempt.choice);
}

asio::awaitable<ServingGateway::AttemptResult> ServingGateway::relayEvents(Call& call, Attempt& attempt)
{
    const auto& target = attempt.choice.target;
    auto& answer = *attempt.answer;
    auto& stream = *call.stream;
    // Otherwise the answer ends with its connection, which may also end because the target does.
    const bool isFramed = answer.header().chunked() || answer.header().has_content_length();
    while (true) {
        HttpResult<std::string> piece { std::string {} };
        if (attempt.unread)
            piece = *std::exchange(attempt.unread, std::nullopt);
        else
            piece = co_await answer.readSome(this->remaining(call));
        if (attempt.isSuperseded)
            co_return AttemptResult::MayHaveRun;
        if (!piece) {
            if (piece.error() == HttpError::Truncated && !attempt.hasEvents)
                this->recordCutBeforeEvents(call, target.id);
            attempt.hasFailed = true;
            this->recordOutcome(call, target, SendOutcome::Failed, name(piece.error()));
            co_return co_await this->leaveToSuccessor(attempt);
        }
        const bool isEnd = piece.value().empty();
        const auto now = this->parts.clock.now();
        if (call.hasResponseStarted && !isEnd)
            call.longestGap = std::max(call.longestGap, now - call.lastEventAt);
        call.lastEventAt = now;
        this->parts.health.recordActivity(target.id, now);
        const auto events = stream.feed(piece.value());
        // Only whole events count as progress: a target that sends a byte now and then is stalled.
        if (!events.empty())
            this->recordProgress(call, attempt, now);
        const bool hasEndedAtOnce = isEnd && !isFramed && !stream.lastId();
        if (!call.hasResponseStarted
            && (!events.empty() || (isEnd && !stream.isBroken() && !stream.hasPartialEvent() && !hasEndedAtOnce))) {
            call.hasResponseStarted = true;
            if (!co_await call.exchange.beginStream(this->parts.format.makeCallerHeader(answer.header())))
                break;
        }
        // Whole events before the failure are delivered: the next attempt continues after them.
        if (!events.empty() && !co_await call.exchange.write(events))
            break;
        if (!events.empty())
            attempt.nextEventBy = this->parts.clock.now() + this->gapLimit(call, target.id);
        if (stream.isBroken() || (isEnd && stream.hasPartialEvent()) || hasEndedAtOnce) {
            answer.discard();
            if (isEnd && !attempt.hasEvents)
                this->recordCutBeforeEvents(call, target.id);
            attempt.hasFailed = true;
            this->recordOutcome(call, target, SendOutcome::Failed, "broken_events");
            co_return co_await this->leaveToSuccessor(attempt);
        }
        if (!isEnd)
            continue;
        this->endSilence(call, attempt, now);
        if (attempt.hasEvents && isFramed)
            this->recordSound(call, attempt);
        const bool isDelivered = co_await call.exchange.endStream();
        this->recordOutcome(call, target, SendOutcome::Answered, "stream");
        this->finish(call, isDelivered ? "answered" : "caller_gone", answer.header().result_int());
        co_return AttemptResult::Done;
    }
    this->finish(call, "caller_gone", 0);
    co_return AttemptResult::Done;
}

// Records whole events. A successor that is being opened is no longer needed.
void ServingGateway::recordProgress(Call& call, Attempt& attempt, TimePoint now)
{
    if (!std::exchange(attempt.hasEvents, true)) {
        attempt.firstEventAt = now;
        this->recordFirstEvents(call, attempt);
    }
    if (now - attempt.firstEventAt >= SoundAnswerTime)
        this->recordSound(call, attempt);
    this->endSilence(call, attempt, now);
}

// The attempt goes on or has ended well. A successor that is being opened is no longer needed.
void ServingGateway::endSilence(Call& call, Attempt& attempt, TimePoint now)
{
    attempt.progressAt = now;
    ++attempt.progress;
    // The time that a slow caller takes to read the events is not the target's.
    attempt.nextEventBy = TimePoint::max();
    if (attempt.successor)
        attempt.successor->isSuperseded = true;
    call.currentTarget = attempt.choice.target.id;
    attempt.changed.cancel();
}

// The attempt has failed. If a successor is sought, waits until it answers, which cancels the wait, or there is none.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::leaveToSuccessor(Attempt& attempt)
{
    while (attempt.isSeekingSuccessor && !attempt.isSuperseded) {
        boost::system::error_code cancelled;
        co_await attempt.changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    co_return AttemptResult::MayHaveRun;
}

// Returns once `successor` has events in place of the silent attempt.
asio::awaitable<void> ServingGateway::replaceWhenSilent(
    Call& call, Attempt& attempt, std::unique_ptr<Attempt>& successor)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer { this->parts.context };
    std::optional<std::uint64_t> recordedSilence;
    while (true) {
        const auto now = this->parts.clock.now();
        timer.expires_at(std::min(attempt.nextEventBy, now + NormalGapLimit));
        co_await timer.async_wait(asio::use_awaitable);
        if (this->parts.clock.now() < attempt.nextEventBy)
            continue;
        const auto seen = attempt.progress;
        if (std::exchange(recordedSilence, seen) != seen)
            this->recordSilence(call, attempt);
        attempt.isSeekingSuccessor = true;
        co_await (this->openSuccessor(call, attempt, successor) || this->waitForProgress(attempt, seen));
        attempt.isSeekingSuccessor = false;
        if (successor && attempt.progress == seen) {
            attempt.isSuperseded = true;
            co_return;
        }
        successor.reset();
        call.currentTarget = attempt.choice.target.id;
        attempt.changed.cancel();
        if (attempt.progress == seen)
            attempt.nextEventBy = this->parts.clock.now() + SuccessorRetryPeriod;
    }
}

asio::awaitable<void> ServingGateway::waitForProgress(Attempt& attempt, std::uint64_t seen)
{
    while (attempt.progress == seen) {
        boost::system::error_code cancelled;
        co_await attempt.changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

// Sends the request to another target while the current one is silent. `successor` stays empty if no target continues
// the stream.
asio::awaitable<void> ServingGateway::openSuccessor(Call& call, Attempt& attempt, std::unique_ptr<Attempt>& successor)
{
    if (!this->mayRunElsewhere(call, call.runs)
        || (!call.hasSpentRetry && this->parts.budget.remaining(call.service->name, this->parts.clock.now()) < 1))
        co_return;
    const auto seen = attempt.progress;
    auto choice = co_await this->waitForPlacement(call);
    if (!choice || attempt.progress != seen || !this->mayRetry(call, AttemptResult::MayHaveRun))
        co_return;
    ++call.tries;
    call.tried.insert(choice->target.id);
    auto next = std::make_unique<Attempt>(this->parts.context, std::move(*choice));
    const SuccessorRegistration registration { attempt.successor, *next };
    const auto opened = co_await this->open(call, *next);
    if (next->isSuperseded)
        co_return;
    // The retry was not used.
    if (opened == AttemptResult::NotSent)
        call.hasSpentRetry = true;
    if (opened == AttemptResult::Answering && co_await this->readFirstEvents(call, *next))
        successor = std::move(next);
}

// Reads ahead until the answer has a whole event or is complete. False if it is no continuation of the stream.
asio::awaitable<bool> ServingGateway::readFirstEvents(Call& call, Attempt& attempt)
{
    EventStream stream { call.stream->lastId() };
    std::string bytes;
    bool isContinued = isSuccess(attempt.answer->header().result_int());
    while (isContinued) {
        auto piece = co_await attempt.answer->readSome(this->remaining(call));
        if (attempt.isSuperseded)
            co_return false;
        if (!piece || (piece.value().empty() && stream.hasPartialEvent())) {
            isContinued = false;
            break;
        }
        bytes += piece.value();
        const auto events = stream.feed(piece.value());
        isContinued = !stream.isBroken();
        if (isContinued && (!events.empty() || piece.value().empty())) {
            attempt.unread = std::move(bytes);
            co_return true;
        }
    }
    this->recordOutcome(call, attempt.choice.target, SendOutcome::Failed, "no_continuation");
    co_return false;
}

// The prefill is finished: helpers are free again unless they hold a part of the prompt in memory.
void ServingGateway::recordFirstEvents(Call& call, Attempt& attempt)
{
    auto& work = attempt.work;
    std::ranges::for_each(work, &LedgerEntry::markPrefilled);
    while (work.size() > 1 + attempt.choice.reservations)
        work.pop_back();
    const auto now = this->parts.clock.now();
    if (!call.hasResponseStarted)
        this->parts.metrics.histogram("marigold_first_event_seconds").record(now - call.receivedAt);
    this->parts.log.write("first_event",
        { { "id", call.metadata.attemptId }, { "target", attempt.choice.target.id },
            { "after_ms", now - call.receivedAt },
            { "prompt_tokens", call.metadata.prompt.value_or(PromptSize {}).promptTokens } });
}

void ServingGateway::recordOutcome(Call& call, const TargetEntry& target, SendOutcome outcome, std::string_view detail)
{
    if (call.isAbandoned)
        return;
    call.currentTarget.clear();
    const auto now = this->parts.clock.now();
    this->parts.health.recordOutcome(target.id, outcome, now);
    if (outcome == SendOutcome::Answered)
        return;
    this->parts.log.write("attempt_ended",
        { { "id", call.metadata.attemptId }, { "target", target.id }, { "outcome", outcomeName(outcome) },
            { "detail", detail }, { "after_ms", now - call.receivedAt } });
}

void ServingGateway::recordSilence(const Call& call, const Attempt& attempt)
{
    const auto now = this->parts.clock.now();
    const auto& target = attempt.choice.target.id;
    this->parts.log.write("stream_silent",
        { { "id", call.metadata.attemptId }, { "target", target }, { "silent_ms", now - attempt.progressAt },
            { "limit_ms", attempt.nextEventBy - attempt.progressAt },
            { "backlog_ms", this->parts.ledger.total(target, now).backlogMs },
            { "budget_left", this->parts.budget.remaining(call.service->name, now) } });
}

void ServingGateway::recordSound(const Call& call, Attempt& attempt)
{
    if (!std::exchange(attempt.isSound, true))
        this->parts.quarantine.recordSound(call.sharedParts, this->parts.clock.now());
}

// Records an answer that ended between its header and its first event: the target may have ended because of the prompt.
void ServingGateway::recordCutBeforeEvents(const Call& call, const std::string& target)
{
    // A target that wrote events of the answer did not end under the prompt, so that no later one does.
    if (call.isAbandoned || call.hasResponseStarted || call.sharedParts.empty())
        return;
    const auto now = this->parts.clock.now();
    const bool isNew = this->parts.quarantine.recordCrash(
        { LoadLedger::hashOf(target), LoadLedger::hashOf(call.metadata.attemptId), call.sharedParts, now }, now);
    std::string parts;
    for (const auto& part : call.metadata.sharedParts)
        parts += (parts.empty() ? "" : ",") + part;
    this->parts.log.write("cut_before_events",
        { { "id", call.metadata.attemptId }, { "target", target },
            { "workspace", call.workspace.empty() ? "-" : std::string_view { call.workspace } }, { "parts", parts },
            { "suspected_parts", std::uint64_t { this->parts.quarantine.size() } } });
    if (isNew && this->notifyCrash)
        this->notifyCrash();
}

// Logs an attempt that was cut off while its target had the request. It says nothing about the target's health.
void ServingGateway::recordInterruptedAttempt(Call& call, std::string_view detail)
{
    if (call.currentTarget.empty())
        return;
    this->parts.log.write("attempt_ended",
        { { "id", call.metadata.attemptId }, { "target", call.currentTarget }, { "outcome", "interrupted" },
            { "detail", detail }, { "after_ms", this->parts.clock.now() - call.receivedAt } });
}

}
