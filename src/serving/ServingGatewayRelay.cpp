#include <algorithm>

#include "serving/ServingCall.h"

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

// A helper that needs this long to decline is not answering the engine that asked it.
constexpr Duration SilentHelperTime = std::chrono::seconds { 1 };

// Allows the write unless the target began to leave while the connection or memory was awaited. Records whether the
// request was written: from then on it may be executed.
class TargetWriteGate final : public WriteGate {
public:
    TargetWriteGate(const TargetDirectory& targets, const TargetEntry& target)
        : targets(targets)
        , target(target)
    {
    }

    bool mayWrite() override
    {
        this->isWritten = this->targets.acceptsWork(this->target);
        return this->isWritten;
    }

    bool isWritten { false };

private:
    const TargetDirectory& targets;
    const TargetEntry& target;
};

}

// Limits the wait of a request that may be sent again, so that time is left for another target.
Duration ServingGateway::firstByteTimeout(const Call& call, const TargetChoice& choice) const
{
    if (!this->mayFailOver(call))
        return this->remaining(call);
    return std::min(this->remaining(call), 2 * choice.expected + call.route->objective);
}

// A gap between events ends an attempt only while another target can continue the answer. A target that prefills a long
// prompt sends nothing meanwhile, so its backlog is added.
Duration ServingGateway::gapTimeout(const Call& call, const std::string& target) const
{
    if (!this->mayFailOver(call))
        return this->remaining(call);
    const auto load = this->parts.ledger.total(target, this->parts.clock.now());
    const auto reading = std::chrono::duration<double, std::milli> { 2 * load.backlogMs };
    return std::max(NormalGapLimit, 3 * call.route->gapObjective) + std::chrono::duration_cast<Duration>(reading);
}

bool ServingGateway::mayFailOver(const Call& call) const
{
    return call.route->mayRunAgain() && call.runs + 1 < call.route->maximumAttempts && call.tries < MaximumTries
        && this->parts.budget.remaining(call.service->name, this->parts.clock.now()) >= 1;
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
    auto work = this->recordWork(choice);
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
    forwarding.remaining = this->remaining(call);
    forwarding.workspace = call.workspace;
    if (call.stream)
        forwarding.lastEventId = call.stream->lastId();
    if (call.metadata.prompt)
        forwarding.urgency = choice.cannotMeetObjective ? MissedObjectiveUrgency
            : choice.work.isLong                        ? LongUrgency
                                                        : ShortUrgency;
    for (const auto& helper : choice.helpers)
        forwarding.helpers.push_back({ helper.address, {} });
    MemoryLease lease { { this->parts.context, this->parts.memory, this->parts.log, this->parts.memoryLeaseDuration },
        call.metadata.attemptId };
    if (!co_await this->reserveMemory(call, choice, lease, forwarding))
        co_return AttemptResult::NotSent;
    forwarding.remaining = this->remaining(call);
    if (call.tries == 1)
        this->parts.budget.recordFirstSend(call.service->name, now);

    TargetWriteGate gate { this->parts.view.targets, choice.target };
    const auto sentAt = this->parts.clock.now();
    const auto reuse = call.route->mayRunAgain() ? ConnectionReuse::Allowed : ConnectionReuse::Forbidden;
    auto answer = co_await this->parts.client.start(choice.target.address,
        this->parts.format.makeTargetRequest(call.exchange.request(), forwarding), this->firstByteTimeout(call, choice),
        reuse, &gate);
    if (!answer) {
        this->recordOutcome(call, choice.target, SendOutcome::Unreachable, name(answer.error()));
        co_return gate.isWritten ? AttemptResult::MayHaveRun : AttemptResult::NotSent;
    }
    auto& received = answer.value();
    const auto response = this->parts.format.responseMetadata(received.header());
    if (response.attemptId != call.metadata.attemptId) {
        received.discard();
        this->recordOutcome(call, choice.target, SendOutcome::Failed, "answer_to_other_request");
        co_return AttemptResult::MayHaveRun;
    }
    if (response.wasNotExecuted)
        co_return this->recordDeclined(call, choice, response, sentAt);
    const auto status = received.header().result_int();
    if (isSuccess(status) && (!response.isSealed || response.hasContentEncoding)) {
        received.discard();
        this->recordOutcome(call, choice.target, SendOutcome::Failed, "unsealed");
        co_return AttemptResult::MayHaveRun;
    }
    if (call.route->kind == RouteKind::Stream && isSuccess(status))
        co_return co_await this->relayStream(call, received, choice, work);
    const auto ended = co_await this->relayWhole(call, received, choice.target.id);
    this->recordOutcome(
        call, choice.target, ended == AttemptResult::Done ? SendOutcome::Answered : SendOutcome::Failed, "whole");
    co_return ended;
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
        this->parts.view.targets.markLeaving(target.id);
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
        if (co_await lease.add(engine, reservation) == MemoryOutcome::Done)
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

asio::awaitable<ServingGateway::AttemptResult> ServingGateway::relayStream(
    Call& call, HttpCall& answer, const TargetChoice& choice, std::vector<LedgerEntry>& work)
{
    const bool isFirst = !call.stream;
    if (isFirst)
        call.stream.emplace(call.metadata.lastEventId);
    else
        call.stream.emplace(call.stream->lastId());
    auto& stream = *call.stream;
    // Only whole events count as progress: a target that sends a byte now and then is stalled.
    auto progressAt = this->parts.clock.now();
    auto nextEventBy = progressAt + this->firstByteTimeout(call, choice);
    bool hasFirstEvents = false; // This attempt has delivered events.
    while (true) {
        const auto timeout = std::max<Duration>(Duration::zero(), nextEventBy - this->parts.clock.now());
        auto piece = co_await answer.readSome(std::min(timeout, this->remaining(call)));
        if (!piece && piece.error() == HttpError::Timeout)
            this->recordSilence(call, choice.target.id, progressAt, nextEventBy);
        if (!piece) {
            this->recordOutcome(call, choice.target, SendOutcome::Failed, name(piece.error()));
            co_return AttemptResult::MayHaveRun;
        }
        const bool isEnd = piece.value().empty();
        const auto now = this->parts.clock.now();
        if (call.hasResponseStarted && !isEnd)
            call.longestGap = std::max(call.longestGap, now - call.lastEventAt);
        call.lastEventAt = now;
        this->parts.health.recordActivity(choice.target.id, now);
        const auto events = stream.feed(piece.value());
        if (!events.empty()) {
            progressAt = now;
            nextEventBy = now + this->gapTimeout(call, choice.target.id);
        }
        if (!events.empty() && !hasFirstEvents) {
            hasFirstEvents = true;
            this->recordFirstEvents(call, choice, work);
        }
        if (!call.hasResponseStarted
            && (!events.empty() || (isEnd && !stream.isBroken() && !stream.hasPartialEvent()))) {
            call.hasResponseStarted = true;
            if (!co_await call.exchange.beginStream(this->parts.format.makeCallerHeader(answer.header())))
                break;
        }
        // Whole events before the failure are delivered: the next attempt continues after them.
        if (!events.empty() && !co_await call.exchange.write(events))
            break;
        if (stream.isBroken() || (isEnd && stream.hasPartialEvent())) {
            answer.discard();
            this->recordOutcome(call, choice.target, SendOutcome::Failed, "broken_events");
            co_return AttemptResult::MayHaveRun;
        }
        if (!isEnd)
            continue;
        const bool isDelivered = co_await call.exchange.endStream();
        this->recordOutcome(call, choice.target, SendOutcome::Answered, "stream");
        this->finish(call, isDelivered ? "answered" : "caller_gone", answer.header().result_int());
        co_return AttemptResult::Done;
    }
    this->finish(call, "caller_gone", 0);
    co_return AttemptResult::Done;
}

// The prefill is finished: helpers are free again unless they hold a part of the prompt in memory.
void ServingGateway::recordFirstEvents(Call& call, const TargetChoice& choice, std::vector<LedgerEntry>& work)
{
    std::ranges::for_each(work, &LedgerEntry::markPrefilled);
    while (work.size() > 1 + choice.reservations)
        work.pop_back();
    const auto now = this->parts.clock.now();
    if (!call.hasResponseStarted)
        this->parts.metrics.histogram("marigold_first_event_seconds").record(now - call.receivedAt);
    this->parts.log.write("first_event",
        { { "id", call.metadata.attemptId }, { "target", choice.target.id }, { "after_ms", now - call.receivedAt },
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

// Logs a stream without whole events since `progressAt`, whose limit expired at `expiredAt`.
void ServingGateway::recordSilence(
    const Call& call, const std::string& target, TimePoint progressAt, TimePoint expiredAt)
{
    const auto now = this->parts.clock.now();
    this->parts.log.write("stream_silent",
        { { "id", call.metadata.attemptId }, { "target", target }, { "silent_ms", now - progressAt },
            { "limit_ms", expiredAt - progressAt }, { "backlog_ms", this->parts.ledger.total(target, now).backlogMs },
            { "budget_left", this->parts.budget.remaining(call.service->name, now) } });
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
