#include <algorithm>

#include "serving/ServingCall.h"

// Attempts at targets: sending a request, and bringing back its answer.
namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

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

}
