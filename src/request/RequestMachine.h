#pragma once

// MSM's transition table of a request has more rows than MPL's preprocessed vectors hold.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 50
#define BOOST_MPL_LIMIT_LIST_SIZE 50

#include <algorithm>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <marigoldpaddle/RequestLifecycle.h>

// Included by RequestLifecycle.cpp alone.
namespace marigoldpaddle::internal {

inline constexpr std::chrono::seconds DefaultRetryAfter { 1 };

// The request has run out of time or of its caller.
struct RequestEnded {
    RefusalReason reason { RefusalReason::DeadlineExceeded };
};
struct ChunkFitted { };
struct LastChunkFitted { };

// What a fault leads to; decided before the state is left.
enum class Verdict {
    AskAgain,
    Resume,
    Fail,
};

// The transitions of a request and the commands that each of them gives.
class RequestMachine : public boost::msm::front::state_machine_def<RequestMachine> {
    using Completion = boost::msm::front::none;

public:
    template <RequestState State> struct In : boost::msm::front::state<> {
        template <typename Event, typename Machine> void on_entry(const Event&, Machine& machine)
        {
            machine.current = State;
        }
    };
    using Received = In<RequestState::Received>;
    using Admitted = In<RequestState::Admitted>;
    using Queued = In<RequestState::Queued>;
    using Granted = In<RequestState::Granted>;
    using Sent = In<RequestState::Sent>;
    using Streaming = In<RequestState::Streaming>;
    using Resuming = In<RequestState::Resuming>;
    using Finished = In<RequestState::Finished>;
    using Failed = In<RequestState::Failed>;
    struct Deciding : boost::msm::front::state<> { }; // Left at once, by the verdict.

    using initial_state = Received;

    RequestMachine(RequestTraits traits, RetryPolicy& retries)
        : traits(std::move(traits))
        , retries(retries)
    {
    }

    bool isOver() const
    {
        return this->current == RequestState::Finished || this->current == RequestState::Failed;
    }

    bool isAwaitingPlacement() const
    {
        return this->current == RequestState::Admitted || this->current == RequestState::Queued;
    }

    bool isAwaitingTokens() const
    {
        return this->current == RequestState::Sent || this->current == RequestState::Streaming
            || this->current == RequestState::Resuming;
    }

    RequestTraits traits;
    RetryPolicy& retries;
    RequestState current { RequestState::Received };
    RequestCommands commands;
    TimePoint now {};
    unsigned attempt { 0 };
    unsigned placementAttempt { 0 }; // The attempt that was granted the placement.
    unsigned attemptsSinceProgress { 0 };
    std::uint64_t delivered { 0 };
    std::vector<GrantPart> placement;
    std::vector<std::string> excluded;
    TimePoint expiry { TimePoint::max() };

private:
    // Guards.
    bool isGrantInTime(const TargetConnected&)
    {
        return this->now < this->expiry;
    }

    bool isGrantLate(const TargetConnected&)
    {
        return this->now >= this->expiry;
    }

    bool didGrantExpire(const TimePassed&)
    {
        return this->now >= this->expiry;
    }

    bool isPlacedOn(const TargetLeaving& event)
    {
        return std::ranges::find(this->placement, event.target, &GrantPart::target) != this->placement.end();
    }

    bool isToAskAgain(const Completion&)
    {
        return this->verdict == Verdict::AskAgain;
    }

    bool isToResume(const Completion&)
    {
        return this->verdict == Verdict::Resume;
    }

    bool isToFail(const Completion&)
    {
        return this->verdict == Verdict::Fail;
    }

    // Actions.
    void ask(const RequestAdmitted&)
    {
        this->retries.noteRequest();
        this->beginPlacement(Duration {});
    }

    void askAgain(const Completion&)
    {
        this->commands.push_back(CountRetry { this->retryReason });
        this->beginPlacement(this->delay);
    }

    void resume(const Completion&)
    {
        this->commands.push_back(CountRetry { this->retryReason });
        this->beginAttempt();
        this->didResumeInVain = true;
        this->commands.push_back(
            ResumeStream { this->attempt, this->placement.front().target, this->delivered, this->delay });
    }

    void fail(const Completion&)
    {
        this->abandonPlacement();
        this->refuse(this->failure, internal::DefaultRetryAfter);
    }

    void refuseUnadmitted(const RequestRefused& event)
    {
        this->refuse(event.reason, event.retryAfter);
    }

    void refuseStopped(const StopBegun&)
    {
        this->refuse(RefusalReason::ShuttingDown, internal::DefaultRetryAfter);
    }

    void refuseUnplaced(const PlacementRefused& event)
    {
        this->refuse(event.reason, event.retryAfter);
    }

    void take(const PlacementGranted& event)
    {
        this->placement = event.parts;
        this->placementAttempt = event.attempt;
        this->expiry = event.expiry;
        if (this->placement.size() > 1)
            this->commands.push_back(ReserveParts { this->attempt });
        else
            this->commands.push_back(ConnectTarget { this->attempt });
    }

    void connect(const PartsReserved&)
    {
        this->commands.push_back(ConnectTarget { this->attempt });
    }

    void write(const TargetConnected&)
    {
        this->mayHaveRun = true;
        this->commands.push_back(WriteRequest { this->attempt, this->delivered });
    }

    void complete(const LastChunkFitted&)
    {
        this->finish();
    }

    void completeWhole(const AnswerArrived&)
    {
        this->finish();
    }

    void considerOwner(const OwnerLost&)
    {
        this->commands.push_back(WithdrawPlacement { this->attempt });
        this->consider(RetryReason::OwnerChanged, RefusalReason::NoOwner);
    }

    void considerUnreachable(const TargetUnreachable& event)
    {
        this->exclude(event.target);
        this->abandonPlacement();
        this->consider(RetryReason::ConnectFailed, RefusalReason::TargetFailed);
    }

    void considerDeclined(const TargetDeclined& event)
    {
        this->mayHaveRun = this->mayHaveRunBefore;
        this->exclude(event.target);
        this->abandonPlacement();
        this->consider(RetryReason::TargetBusy, RefusalReason::Overloaded);
    }

    void considerLateConnection(const TargetConnected&)
    {
        this->considerExpiredGrant();
    }

    void considerExpiry(const TimePassed&)
    {
        this->considerExpiredGrant();
    }

    void considerLeaving(const TargetLeaving& event)
    {
        this->exclude(event.target);
        this->considerExpiredGrant();
    }

    void considerBroken(const StreamBroken& event)
    {
        if (this->traits.isResumable && event.isKnownToTarget && !this->didResumeInVain) {
            this->consider(RetryReason::StreamResumed, RefusalReason::TargetFailed);
            return;
        }
        this->considerMove();
    }

    void considerLostTarget(const TargetUnreachable&)
    {
        this->considerMove();
    }

    void considerDeclinedResume(const TargetDeclined&)
    {
        this->considerMove();
    }

    void end(const RequestEnded& event)
    {
        if (this->isAwaitingPlacement())
            this->commands.push_back(WithdrawPlacement { this->attempt });
        this->abandonPlacement();
        this->refuse(event.reason, internal::DefaultRetryAfter);
    }

    // Steps that the actions share.
    void beginAttempt()
    {
        ++this->attempt;
        ++this->attemptsSinceProgress;
        this->mayHaveRunBefore = this->mayHaveRun;
    }

    void beginPlacement(Duration delay)
    {
        this->beginAttempt();
        this->didResumeInVain = false;
        this->commands.push_back(AskPlacement { this->attempt, delay });
    }

    void considerExpiredGrant()
    {
        this->abandonPlacement();
        this->consider(RetryReason::GrantExpired, RefusalReason::Overloaded);
    }

    void considerMove()
    {
        this->exclude(this->placement.front().target);
        this->abandonPlacement();
        this->consider(RetryReason::StreamMoved, RefusalReason::TargetFailed);
    }

    void consider(RetryReason reason, RefusalReason otherwise)
    {
        RetryCandidate candidate;
        candidate.reason = reason;
        candidate.attemptsMade = this->attemptsSinceProgress;
        candidate.isIdempotent = this->traits.isIdempotent;
        candidate.mayHaveRun = this->mayHaveRun;
        candidate.deadline = this->traits.deadline;
        const auto permitted = this->retries.permit(candidate, this->now);
        this->retryReason = reason;
        this->failure = otherwise;
        this->delay = permitted.value_or(Duration {});
        if (!permitted)
            this->verdict = Verdict::Fail;
        else
            this->verdict = reason == RetryReason::StreamResumed ? Verdict::Resume : Verdict::AskAgain;
    }

    void exclude(const std::string& target)
    {
        if (std::ranges::find(this->excluded, target) == this->excluded.end())
            this->excluded.push_back(target);
    }

    // Gives the placement back. Reservations of a span exist before anything is written; a single target holds nothing
    // before that.
    void abandonPlacement()
    {
        if (this->placement.empty())
            return;
        if (this->isAwaitingTokens() || this->placement.size() > 1)
            this->commands.push_back(CancelAttempt { this->attempt, this->placement });
        this->releasePlacement();
    }

    void releasePlacement()
    {
        this->commands.push_back(ReleasePlacement { this->placementAttempt });
        this->placement.clear();
        this->expiry = TimePoint::max();
    }

    // The streaming target frees what it held by itself; the reservations of a span are the gateway's to free.
    void finish()
    {
        this->commands.push_back(CompleteAnswer {});
        if (this->placement.size() > 1)
            this->commands.push_back(
                CancelAttempt { this->attempt, { std::next(this->placement.begin()), this->placement.end() } });
        this->releasePlacement();
    }

    void refuse(RefusalReason reason, Duration retryAfter)
    {
        const auto ran = this->mayHaveRun ? Ran::Unknown : Ran::No;
        this->commands.push_back(RefuseRequest { reason, ran, retryAfter });
    }

    bool mayHaveRun { false };
    bool mayHaveRunBefore { false }; // As it stood before the current attempt.
    Verdict verdict { Verdict::Fail };
    RetryReason retryReason { RetryReason::ConnectFailed };
    RefusalReason failure { RefusalReason::TargetFailed };
    Duration delay {};

    using M = RequestMachine;

public:
    bool didResumeInVain { false }; // The stream was resumed and no token has come since.

    // Late and doubled events have no transition; they change nothing.
    template <typename Event, typename Machine> void no_transition(const Event&, Machine&, int) { }

    // clang-format off
    struct TransitionTable : boost::mpl::vector<
        a_row<Received, RequestAdmitted, Admitted, &M::ask>,
        a_row<Received, RequestRefused, Failed, &M::refuseUnadmitted>,
        a_row<Received, StopBegun, Failed, &M::refuseStopped>,
        a_row<Received, RequestEnded, Failed, &M::end>,

        _row<Admitted, PlacementAsked, Queued>,
        a_row<Admitted, PlacementGranted, Granted, &M::take>,
        a_row<Admitted, PlacementRefused, Failed, &M::refuseUnplaced>,
        a_row<Admitted, OwnerLost, Deciding, &M::considerOwner>,
        a_row<Admitted, RequestEnded, Failed, &M::end>,

        a_row<Queued, PlacementGranted, Granted, &M::take>,
        a_row<Queued, PlacementRefused, Failed, &M::refuseUnplaced>,
        a_row<Queued, OwnerLost, Deciding, &M::considerOwner>,
        a_row<Queued, RequestEnded, Failed, &M::end>,

        a_irow<Granted, PartsReserved, &M::connect>,
        row<Granted, TargetConnected, Sent, &M::write, &M::isGrantInTime>,
        row<Granted, TargetConnected, Deciding, &M::considerLateConnection, &M::isGrantLate>,
        row<Granted, TimePassed, Deciding, &M::considerExpiry, &M::didGrantExpire>,
        row<Granted, TargetLeaving, Deciding, &M::considerLeaving, &M::isPlacedOn>,
        a_row<Granted, TargetUnreachable, Deciding, &M::considerUnreachable>,
        a_row<Granted, TargetDeclined, Deciding, &M::considerDeclined>,
        a_row<Granted, RequestEnded, Failed, &M::end>,

        _row<Sent, ChunkFitted, Streaming>,
        a_row<Sent, LastChunkFitted, Finished, &M::complete>,
        a_row<Sent, AnswerArrived, Finished, &M::completeWhole>,
        a_row<Sent, TargetDeclined, Deciding, &M::considerDeclined>,
        a_row<Sent, StreamBroken, Deciding, &M::considerBroken>,
        a_row<Sent, RequestEnded, Failed, &M::end>,

        a_row<Streaming, LastChunkFitted, Finished, &M::complete>,
        a_row<Streaming, StreamBroken, Deciding, &M::considerBroken>,
        a_row<Streaming, RequestEnded, Failed, &M::end>,

        _row<Resuming, ChunkFitted, Streaming>,
        a_row<Resuming, LastChunkFitted, Finished, &M::complete>,
        a_row<Resuming, StreamBroken, Deciding, &M::considerBroken>,
        a_row<Resuming, TargetUnreachable, Deciding, &M::considerLostTarget>,
        a_row<Resuming, TargetDeclined, Deciding, &M::considerDeclinedResume>,
        a_row<Resuming, RequestEnded, Failed, &M::end>,

        row<Deciding, Completion, Admitted, &M::askAgain, &M::isToAskAgain>,
        row<Deciding, Completion, Resuming, &M::resume, &M::isToResume>,
        row<Deciding, Completion, Failed, &M::fail, &M::isToFail>
    > { };
    // clang-format on
    using transition_table = TransitionTable; // The name that MSM looks for.
};

}
