#include <algorithm>
#include <functional>

#include "serving/ServingCall.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// Part of ServingGateway: relays streams, and lets another target continue one whose target is silent.
namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// An engine that loses a helper stalls this long before it gives up; a shorter gap is no sign of a failure.
constexpr Duration NormalGapLimit = std::chrono::milliseconds { 1500 };

// Makes an attempt known as the successor of another one for as long as it is being opened.
class SuccessorRegistration {
public:
    template <typename Attempt>
    SuccessorRegistration(std::unique_ptr<Attempt>*& place, std::unique_ptr<Attempt>& successor)
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

}

// After a longer gap between events, another target may continue the answer. A target that prefills a long prompt sends
// nothing meanwhile, so its backlog is added.
Duration ServingGateway::gapLimit(const Call& call, const TargetChoice& choice) const
{
    const auto load = this->parts.ledger.total(choice.target.id, this->parts.clock.now());
    const auto reading = std::chrono::duration<double, std::milli> { 2 * load.backlogMs };
    const auto limit
        = std::max(NormalGapLimit, 3 * call.route->gapObjective) + std::chrono::duration_cast<Duration>(reading);
    // A peer replaces a silent target by itself.
    return choice.isRelay ? 2 * limit : limit;
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
    }
}

// Expects the events after the last delivered one.
void ServingGateway::beginEvents(Call& call, Attempt& attempt)
{
    attempt.isStream = true;
    if (call.stream)
        call.stream.emplace(call.stream->lastId(), call.stream->hasFurtherEvents());
    else
        call.stream.emplace(call.metadata.lastEventId);
    attempt.lastIdBefore = call.stream->lastId();
    attempt.progressAt = this->parts.clock.now();
    const auto limit = this->firstByteLimit(call, attempt.choice);
    attempt.nextEventBy
        = attempt.progressAt + (attempt.choice.isRelay ? std::max(limit, this->gapLimit(call, attempt.choice)) : limit);
}

asio::awaitable<ServingGateway::AttemptResult> ServingGateway::relayEvents(Call& call, Attempt& attempt)
{
    const auto& target = attempt.choice.target;
    auto& answer = *attempt.answer;
    auto& stream = *call.stream;
    const bool hasFrame = isFramed(answer.header());
    while (true) {
        HttpResult<std::string> piece { std::string {} };
        if (attempt.unread)
            piece = *std::exchange(attempt.unread, std::nullopt);
        else
            piece = co_await answer.readSome(this->remaining(call));
        if (attempt.isSuperseded)
            co_return AttemptResult::MayHaveRun;
        if (!piece) {
            if (piece.error() == HttpError::Truncated)
                this->recordCutAnswer(call, attempt);
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
        if (this->parts.relay && !attempt.choice.isRelay)
            this->parts.relay->links.recordBytes(call.service->name);
        const auto events = stream.feed(piece.value());
        // Only whole events count as progress: a target that sends a byte now and then is stalled.
        if (!events.empty())
            this->recordProgress(call, attempt, now);
        const bool hasEndedAtOnce = isEnd && !hasFrame && stream.lastId() == attempt.lastIdBefore;
        const bool hasEndedEarly = hasEndedAtOnce || (isEnd && stream.hasFurtherEvents());
        if (!call.hasResponseStarted
            && (!events.empty() || (isEnd && !stream.isBroken() && !stream.hasPartialEvent() && !hasEndedEarly))) {
            call.hasResponseStarted = true;
            if (!co_await call.exchange.beginStream(this->forwardedHeader(call, answer, target)))
                break;
        }
        // Whole events before the failure are delivered: the next attempt continues after them.
        if (!events.empty() && !co_await call.exchange.write(events))
            break;
        if (!events.empty())
            attempt.nextEventBy = this->parts.clock.now() + this->gapLimit(call, attempt.choice);
        if (stream.isBroken() || (isEnd && stream.hasPartialEvent()) || hasEndedEarly) {
            answer.discard();
            if (isEnd && !hasFrame)
                this->recordCutAnswer(call, attempt);
            attempt.hasFailed = true;
            this->recordOutcome(call, target, SendOutcome::Failed, "broken_events");
            co_return co_await this->leaveToSuccessor(attempt);
        }
        if (!isEnd)
            continue;
        this->endSilence(attempt, now);
        // A target that continues an answer may be through before the event at which it would end.
        const bool isFromStart = !attempt.lastIdBefore;
        if (attempt.hasEvents && hasFrame && isFromStart)
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
    if (!std::exchange(attempt.hasEvents, true))
        this->recordFirstEvents(call, attempt);
    this->endSilence(attempt, now);
}

// The attempt goes on or has ended well. A successor that is being opened is no longer needed.
void ServingGateway::endSilence(Attempt& attempt, TimePoint now)
{
    attempt.progressAt = now;
    ++attempt.progress;
    // The time that a slow caller takes to read the events is not the target's.
    attempt.nextEventBy = TimePoint::max();
    attempt.supersedeSuccessors();
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
        attempt.changed.cancel();
        if (attempt.progress == seen)
            attempt.nextEventBy = this->parts.clock.now() + RetryCheckPeriod;
    }
}

asio::awaitable<void> ServingGateway::waitForProgress(Attempt& attempt, std::uint64_t seen)
{
    while (attempt.progress == seen) {
        boost::system::error_code cancelled;
        co_await attempt.changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

// Sends the request to another target while the current one is late or silent. `successor` stays empty if no target
// answers in its place.
asio::awaitable<void> ServingGateway::openSuccessor(Call& call, Attempt& attempt, std::unique_ptr<Attempt>& successor)
{
    if (!this->mayRunElsewhere(call, call.allRuns())
        || (!call.hasSpentRetry && this->parts.budget.remaining(call.service->name, this->parts.clock.now()) < 1))
        co_return;
    const auto seen = attempt.progress;
    auto choice = co_await this->waitForPlacement(call);
    if (!choice || attempt.progress != seen || !this->mayRetry(call, AttemptResult::MayHaveRun))
        co_return;
    this->recordTry(call, *choice);
    auto next = std::make_unique<Attempt>(this->parts.context, std::move(*choice));
    next->isSuccessor = true;
    next->continuesStream = attempt.isStream || attempt.continuesStream;
    const SuccessorRegistration registration { attempt.successor, next };
    const auto opened = co_await this->openOrReplace(call, next);
    if (next->isSuperseded)
        co_return;
    // The retry was not used.
    if (opened == AttemptResult::NotSent || opened == AttemptResult::NotRun)
        call.hasSpentRetry = true;
    if (opened == AttemptResult::Answering)
        successor = std::move(next);
}

// Reads ahead until the answer has a whole event or is complete. False if it is no continuation of the stream.
asio::awaitable<bool> ServingGateway::readFirstEvents(Call& call, Attempt& attempt)
{
    EventStream stream = call.stream ? EventStream { call.stream->lastId(), call.stream->hasFurtherEvents() }
                                     : EventStream { call.metadata.lastEventId };
    std::string bytes;
    const auto& header = attempt.answer->header();
    bool isContinued = call.hasResponseStarted ? mayContinueStream(header) : isSuccess(header.result_int());
    while (isContinued) {
        auto piece = co_await attempt.answer->readSome(this->remaining(call));
        if (attempt.isSuperseded)
            co_return false;
        const bool isEnd = piece && piece.value().empty();
        if (!piece || (isEnd && (stream.hasPartialEvent() || stream.hasFurtherEvents() || !isFramed(header)))) {
            if (isEnd ? !isFramed(header) : piece.error() == HttpError::Truncated)
                this->recordCutAnswer(call, attempt);
            isContinued = false;
            break;
        }
        bytes += piece.value();
        const auto events = stream.feed(piece.value());
        isContinued = !stream.isBroken();
        if (isContinued && (!events.empty() || isEnd)) {
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

void ServingGateway::recordSilence(const Call& call, const Attempt& attempt)
{
    const auto now = this->parts.clock.now();
    const auto& target = attempt.choice.target.id;
    if (this->parts.relay && !attempt.choice.isRelay)
        this->parts.relay->links.recordSilence(call.service->name);
    this->parts.log.write("stream_silent",
        { { "id", call.metadata.attemptId }, { "target", target }, { "silent_ms", now - attempt.progressAt },
            { "limit_ms", attempt.nextEventBy - attempt.progressAt },
            { "backlog_ms", this->parts.ledger.total(target, now).backlogMs },
            { "budget_left", this->parts.budget.remaining(call.service->name, now) } });
}

}
