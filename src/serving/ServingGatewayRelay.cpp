#include <algorithm>
#include <array>
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

// Priorities from 0 (highest) to 9: short prompts precede long ones in an engine's queue; 5 is the middle.
constexpr int ShortUrgency = 3;
constexpr int LongUrgency = 6;
constexpr int MissedObjectiveUrgency = 8; // The objective is missed anyway, so others go first.

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

// Statuses by which a caller is told that its request was not executed and never will be.
constexpr std::array RefusingStatuses { 408U, 421U, 429U, 503U };

// A helper that needs this long to decline is not answering the engine that asked it.
constexpr Duration SilentHelperTime = std::chrono::seconds { 1 };

// The next attempt excludes the helper instead of the target that was chosen to answer.
void excludeHelper(std::set<std::string>& tried, const TargetEntry& target, const TargetEntry& helper)
{
    tried.erase(target.id);
    tried.insert(helper.id);
}

}

Duration ServingGateway::firstByteLimit(const Call& call, const TargetChoice& choice) const
{
    return 2 * choice.expected + call.route->objective;
}

bool ServingGateway::mayRunElsewhere(const Call& call, unsigned runs) const
{
    return call.route->mayRunAgain() && runs < call.route->maximumAttempts
        && (call.countedTries() < MaximumTries || this->mayRelay(call));
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
    const auto opened = co_await this->openOrReplace(call, attempt);
    if (opened != AttemptResult::Answering)
        co_return opened;
    const auto& header = attempt->answer->header();
    if (this->isStreamAnswer(call, header))
        co_return co_await this->relayStream(call, attempt);
    const auto ended = co_await this->relayWhole(call, *attempt);
    if (ended == AttemptResult::Done && isSuccess(header.result_int()) && isFramed(header))
        this->recordSound(call, *attempt);
    this->recordOutcome(call, attempt->choice.target,
        ended == AttemptResult::Done ? SendOutcome::Answered : SendOutcome::Failed, "whole");
    co_return ended;
}

bool ServingGateway::isStreamAnswer(const Call& call, const HttpResponseHeader& header) const
{
    if (call.hasResponseStarted)
        return mayContinueStream(header);
    return call.route->kind == RouteKind::Stream && isSuccess(header.result_int());
}

// Opens the attempt. If the answer is late and another target may execute the request too, that one is asked as well,
// and `attempt` becomes whichever answers first. The other one is closed.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::openOrReplace(
    Call& call, std::unique_ptr<Attempt>& attempt)
{
    using namespace asio::experimental::awaitable_operators;
    if (attempt->choice.isRelay || !this->mayRunElsewhere(call, call.allRuns() + 1))
        co_return co_await this->openForAnswer(call, *attempt);
    std::unique_ptr<Attempt> successor;
    const auto first
        = co_await (this->openBesideSuccessor(call, *attempt) || this->replaceWhenLate(call, *attempt, successor));
    if (successor) {
        attempt = std::move(successor);
        co_return AttemptResult::Answering;
    }
    const bool isGivenUp = attempt->isSuperseded && !attempt->isWritten;
    co_return first.index() == 0 && !isGivenUp ? std::get<0>(first) : AttemptResult::NotSent;
}

// Opens the attempt. If it fails while a successor is sought, waits until that one answers, which cancels the wait, or
// there is none.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::openBesideSuccessor(Call& call, Attempt& attempt)
{
    const auto opened = co_await this->openForAnswer(call, attempt);
    if (attempt.isSuperseded)
        co_return AttemptResult::MayHaveRun;
    if (opened == AttemptResult::Answering) {
        ++attempt.progress;
        attempt.supersedeSuccessors();
        co_return opened;
    }
    attempt.hasFailed = true;
    if (!attempt.isSeekingSuccessor)
        co_return opened;
    co_await this->leaveToSuccessor(attempt);
    co_return call.runs > 0 ? AttemptResult::MayHaveRun : opened;
}

// Opens the attempt, up to an answer that the caller gets. A failure of the target is read to its end and kept.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::openForAnswer(Call& call, Attempt& attempt)
{
    const auto opened = co_await this->open(call, attempt);
    if (opened != AttemptResult::Answering)
        co_return opened;
    auto& answer = *attempt.answer;
    const auto& header = answer.header();
    const bool isStream = attempt.continuesStream || this->isStreamAnswer(call, header);
    if (call.hasResponseStarted ? mayContinueStream(header) : !isTargetFailure(header.result_int())) {
        if (attempt.isSuccessor && isStream && !co_await this->readFirstEvents(call, attempt))
            co_return AttemptResult::MayHaveRun;
        co_return opened;
    }
    if (call.hasResponseStarted)
        answer.discard();
    else
        co_await this->relayWhole(call, attempt);
    if (!attempt.isSuperseded)
        this->recordOutcome(
            call, attempt.choice.target, SendOutcome::Failed, call.hasResponseStarted ? "no_continuation" : "whole");
    co_return AttemptResult::MayHaveRun;
}

// Sends the request and waits for the header of the answer.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::open(Call& call, Attempt& attempt)
{
    const auto& choice = attempt.choice;
    if (choice.isRelay)
        co_return co_await this->openRelay(call, attempt);
    attempt.work = this->recordWork(choice);
    attempt.permit.emplace(this->parts.health.limits, this->parts.clock, choice.target);
    attempt.begin(call);
    const auto now = this->parts.clock.now();
    this->parts.log.write("sent",
        { { "id", call.metadata.attemptId }, { "try", std::uint64_t { call.tries } }, { "target", choice.target.id },
            { "address", choice.target.address }, { "helpers", helperNames(choice) },
            { "read_ms", choice.work.prefillMs }, { "expected_ms", choice.expected },
            { "left_ms", this->remaining(call) }, { "version", this->parts.view.version() },
            { "targets_age_ms",
                this->parts.view.targets.age(this->parts.clock.bootTime()).value_or(Duration::zero()) } });
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
    if (call.tries == 1 && !(call.relayed && call.relayed->isRetry))
        this->parts.budget.recordFirstSend(call.service->name, now);
    if (call.tries == 1)
        this->parts.health.answers.recordFirstSend(this->probeCost(call));
    if (choice.isProbe)
        this->parts.health.answers.beginProbe(choice.target, this->probeCost(call), now);

    const auto isOpen = [&] {
        attempt.isWritten = !attempt.isSuperseded && !this->hasCallerLeft(call) && this->acceptsRequests(choice.target)
            && !this->findUnavailableHelper(choice) && !this->parts.quarantine.isQuarantined(call.traits)
            && attempt.permit->use();
        return attempt.isWritten;
    };
    TargetWriteGate gate { isOpen, call.runs };
    const auto sentAt = this->parts.clock.now();
    attempt.sentAt = sentAt;
    attempt.changed.cancel();
    // A copy of an earlier refusal has the id of this attempt too, and may arrive on the connection of that refusal.
    const bool mayReuse = call.route->mayRunAgain() && !call.declinedBy.contains(choice.target.id);
    const auto reuse = mayReuse ? ConnectionReuse::Allowed : ConnectionReuse::Forbidden;
    auto request = this->parts.format.makeTargetRequest(call.exchange.request(), forwarding);
    if (call.relayed)
        eraseRelayHeaders(request);
    auto answer = co_await this->parts.client.start(
        choice.target.address, std::move(request), this->remaining(call), reuse, &gate);
    if (answer) {
        this->recordAnswering(choice.target);
        if (this->parts.relay)
            this->parts.relay->links.recordBytes(call.service->name);
        const auto response = this->parts.format.responseMetadata(answer.value().header());
        this->advice.targetAnswered(choice.target, response, call.metadata.attemptId, sentAt);
    }
    if (attempt.isSuperseded)
        co_return AttemptResult::MayHaveRun;
    if (!answer && !gate.isWritten && (call.hasCallerLeft || this->isQuarantined(call)))
        co_return AttemptResult::NotSent;
    if (gate.isHeldBack) {
        const auto* helper = this->findUnavailableHelper(choice);
        if (helper && this->acceptsRequests(choice.target))
            co_return this->recordHeldBackByHelper(call, choice.target, *helper);
        co_return this->recordHeldBack(call, choice.target);
    }
    if (!answer) {
        if (gate.isWritten && answer.error() == HttpError::NoAnswer)
            this->recordEndWithoutAnswer(call, choice.target, sentAt);
        if (!gate.isWritten && this->parts.health.connections.hasFailed(choice.target))
            ++call.failedConnects;
        this->recordOutcome(call, choice.target, SendOutcome::Unreachable, name(answer.error()));
        co_return gate.isWritten ? AttemptResult::MayHaveRun : AttemptResult::NotSent;
    }
    attempt.answer.emplace(std::move(answer).value());
    co_return this->checkAnswer(call, attempt, sentAt);
}

// Returns once `successor` answers in place of the late attempt, which goes on until then: a late answer is better than
// none. An attempt that was not written is given up at once, without a successor.
asio::awaitable<void> ServingGateway::replaceWhenLate(Call& call, Attempt& attempt, std::unique_ptr<Attempt>& successor)
{
    while (attempt.sentAt == TimePoint {}) {
        boost::system::error_code cancelled;
        co_await attempt.changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    const auto due = attempt.sentAt + this->firstByteLimit(call, attempt.choice);
    while (true) {
        co_await this->waitForRetry(call, attempt, due);
        if (!attempt.isWritten)
            co_return this->recordGivenUp(call, attempt);
        this->recordLate(call, attempt);
        const auto seen = attempt.progress;
        attempt.isSeekingSuccessor = true;
        co_await this->openSuccessor(call, attempt, successor);
        attempt.isSeekingSuccessor = false;
        if (successor && attempt.progress == seen)
            co_return this->recordGivenUp(call, attempt);
        successor.reset();
        attempt.changed.cancel();
    }
}

// Records that the target has the request, but is late. It counts as unreachable unless it sent data a moment ago.
void ServingGateway::recordLate(const Call& call, Attempt& attempt)
{
    if (std::exchange(attempt.isLate, true))
        return;
    const auto now = this->parts.clock.now();
    const auto& target = attempt.choice.target.id;
    this->parts.health.recordOutcome(target, SendOutcome::Unreachable, now);
    this->parts.log.write("answer_late",
        { { "id", call.metadata.attemptId }, { "target", target }, { "waited_ms", now - attempt.sentAt },
            { "limit_ms", this->firstByteLimit(call, attempt.choice) } });
}

// Records that the late attempt is ended, for another target.
void ServingGateway::recordGivenUp(Call& call, Attempt& attempt)
{
    const auto& target = attempt.choice.target;
    attempt.isSuperseded = true;
    if (!attempt.isWritten && this->parts.health.connections.hasFailed(target))
        ++call.failedConnects;
    if (attempt.hasFailed)
        return;
    if (attempt.isLate)
        this->recordEnd(call, target, SendOutcome::Unreachable, name(HttpError::Timeout));
    else
        this->recordOutcome(call, target, SendOutcome::Unreachable, name(HttpError::Timeout));
}

// Returns once the answer is due, a retry has been spent for the call and another target could execute it.
asio::awaitable<void> ServingGateway::waitForRetry(Call& call, const Attempt& attempt, TimePoint due)
{
    asio::steady_timer timer { this->parts.context };
    while (true) {
        timer.expires_at(std::min(due, this->parts.clock.now() + RetryCheckPeriod));
        if (this->parts.clock.now() >= due)
            timer.expires_after(RetryCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = this->parts.clock.now();
        if (!this->mayRunElsewhere(call, call.allRuns() + (attempt.isWritten ? 0 : 1)))
            continue;
        if (this->isCutOff(call)) {
            // Open connections may live on: an answer may come until it is due.
            if ((now < due && this->parts.relay->links.hasRecentBytes(call.service->name)) || !this->chooseRelay(call)
                || this->isQuarantined(call))
                continue;
            call.hasSpentRetry = call.hasSpentRetry || this->parts.budget.trySpend(call.service->name, now);
            if (call.hasSpentRetry)
                co_return;
            continue;
        }
        if (now < due)
            continue;
        if (this->parts.relay)
            this->parts.relay->links.recordSilence(call.service->name);
        const auto choice = this->chooseTarget(call, now);
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
    const auto status = answer.header().result_int();
    // The target does not state what its status would promise to the caller.
    if (std::ranges::find(RefusingStatuses, status) != RefusingStatuses.end()) {
        answer.discard();
        this->recordOutcome(call, choice.target, SendOutcome::Failed, "refusal_without_statement");
        return AttemptResult::MayHaveRun;
    }
    if (isSuccess(status) && (!response.isSealed || response.hasContentEncoding)) {
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

// Returns a helper that began to leave or asked for a pause since it was chosen; null if there is none. The target
// would learn of it only after it has read its own part.
const TargetEntry* ServingGateway::findUnavailableHelper(const TargetChoice& choice) const
{
    const auto isUnavailable = [&](const TargetEntry& helper) {
        return !this->acceptsRequests(helper);
    };
    const auto found = std::ranges::find_if(choice.helpers, isUnavailable);
    return found != choice.helpers.end() ? &*found : nullptr;
}

ServingGateway::AttemptResult ServingGateway::recordHeldBackByHelper(
    Call& call, const TargetEntry& target, const TargetEntry& helper)
{
    excludeHelper(call.tried, target, helper);
    return this->recordHeldBack(call, helper);
}

// Records that nothing was sent because the target no longer takes requests. It says nothing about its health.
ServingGateway::AttemptResult ServingGateway::recordHeldBack(Call& call, const TargetEntry& target)
{
    const auto now = this->parts.clock.now();
    const auto pauseEnd = this->parts.health.pauses.end(target.id, now);
    const auto& targets = this->parts.view.targets;
    const bool isEvacuated = targets.isEvacuated(target);
    const bool hasLeft = !targets.acceptsWork(target);
    this->parts.log.write("held_back",
        { { "id", call.metadata.attemptId }, { "target", target.id }, { "born", target.incarnation },
            { "reason",
                isEvacuated    ? "evacuated"
                    : hasLeft  ? "left"
                    : pauseEnd ? "paused"
                               : "limited" },
            { "pause_left_ms", pauseEnd.value_or(now) - now },
            { "limit_per_second", this->parts.health.limits.limit(target).value_or(0) } });
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
    call.declinedBy.insert(choice.target.id);
    const auto helper = std::ranges::find_if(choice.helpers, isAtFault);
    const bool isHelper = helper != choice.helpers.end();
    const auto& target = isHelper ? *helper : choice.target;
    if (response.isMisdirected)
        this->parts.view.targets.markLeaving(target, this->parts.clock.bootTime());
    const bool isSilent = isHelper && this->parts.clock.now() - sentAt >= SilentHelperTime;
    this->recordOutcome(call, target, isSilent ? SendOutcome::Unreachable : SendOutcome::Declined,
        response.isMisdirected ? "other_target"
            : isHelper         ? "helper_declined"
                               : "not_run");
    if (isHelper)
        excludeHelper(call.tried, choice.target, target);
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
        // A reservation counts as a request.
        const bool isAccepted
            = this->acceptsRequests(engine) && this->parts.health.limits.tryTake(engine, this->parts.clock.now());
        if (isAccepted && co_await lease.add(engine, reservation) == MemoryOutcome::Done)
            continue;
        if (!isAccepted)
            this->recordHeldBack(call, engine);
        excludeHelper(call.tried, choice.target, engine);
        co_return false;
    }
    co_return true;
}

asio::awaitable<ServingGateway::AttemptResult> ServingGateway::relayWhole(Call& call, Attempt& attempt)
{
    auto& answer = *attempt.answer;
    const auto& target = attempt.choice.target;
    auto body = co_await answer.readAll(this->remaining(call));
    if (attempt.isSuperseded)
        co_return AttemptResult::MayHaveRun;
    if (!body && body.error() == HttpError::Truncated)
        this->recordCutAnswer(call, attempt);
    if (!body) {
        this->parts.log.write("answer_broken",
            { { "id", call.metadata.attemptId }, { "target", target.id }, { "detail", name(body.error()) } });
        co_return AttemptResult::MayHaveRun;
    }
    HttpResponse response { this->forwardedHeader(call, answer, target).base() };
    response.body() = std::move(body).value();
    response.prepare_payload();
    const auto status = response.result_int();
    if (isTargetFailure(status)) {
        call.targetFailure = std::move(response);
        co_return AttemptResult::MayHaveRun;
    }
    call.hasResponseStarted = true;
    const bool isDelivered = co_await call.exchange.respond(std::move(response));
    this->finish(call, isDelivered ? "answered" : "caller_gone", status);
    co_return AttemptResult::Done;
}

void ServingGateway::recordOutcome(Call& call, const TargetEntry& target, SendOutcome outcome, std::string_view detail)
{
    if (call.isAbandoned)
        return;
    this->parts.health.recordOutcome(target.id, outcome, this->parts.clock.now());
    this->recordEnd(call, target, outcome, detail);
}

void ServingGateway::recordEnd(Call& call, const TargetEntry& target, SendOutcome outcome, std::string_view detail)
{
    call.currentTargets.erase(target.id);
    if (outcome == SendOutcome::Answered)
        return;
    this->parts.log.write("attempt_ended",
        { { "id", call.metadata.attemptId }, { "target", target.id }, { "outcome", outcomeName(outcome) },
            { "detail", detail }, { "after_ms", this->parts.clock.now() - call.receivedAt } });
}

// Logs the attempts that were cut off while their targets had the request. It says nothing about the targets' health.
void ServingGateway::recordInterruptedAttempts(Call& call, std::string_view detail)
{
    for (const auto& target : call.currentTargets)
        this->parts.log.write("attempt_ended",
            { { "id", call.metadata.attemptId }, { "target", target }, { "outcome", "interrupted" },
                { "detail", detail }, { "after_ms", this->parts.clock.now() - call.receivedAt } });
}

}
