#pragma once

// The transition table has more rows than Boost.MPL's preprocessed vectors can hold.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 50
#define BOOST_MPL_LIMIT_LIST_SIZE 50

#include <algorithm>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <marigoldpaddle/RequestLifecycle.h>

// Implementation of RequestLifecycle; included by RequestLifecycle.cpp only.
namespace marigoldpaddle::internal {

inline constexpr std::chrono::seconds DefaultRetryAfter { 1 };

// The deadline has passed or the caller has disconnected.
struct RequestEnded {
    RefusalReason reason { RefusalReason::DeadlineExceeded };
};
struct ChunkAccepted { };
struct FinalChunkAccepted { };

// How to proceed after a failure. Set by the transition into the Deciding state.
enum class FailureDecision {
    Retry,
    Resume,
    Fail,
};

// The Boost.MSM state machine behind RequestLifecycle. Its actions append commands to `commands`.
class RequestMachine : public boost::msm::front::state_machine_def<RequestMachine> {
    using Completion = boost::msm::front::none;

public:
    template <RequestState State> struct StateFor : boost::msm::front::state<> {
        template <typename Event, typename Machine> void on_entry(const Event&, Machine& machine)
        {
            machine.currentState = State;
        }
    };
    using Received = StateFor<RequestState::Received>;
    using Admitted = StateFor<RequestState::Admitted>;
    using Queued = StateFor<RequestState::Queued>;
    using Granted = StateFor<RequestState::Granted>;
    using Sent = StateFor<RequestState::Sent>;
    using Streaming = StateFor<RequestState::Streaming>;
    using Resuming = StateFor<RequestState::Resuming>;
    using Finished = StateFor<RequestState::Finished>;
    using Failed = StateFor<RequestState::Failed>;
    struct Deciding : boost::msm::front::state<> { }; // Transient: left at once, according to `decision`.

    using initial_state = Received;

    RequestMachine(RequestTraits traits, RetryPolicy& retries)
        : traits(std::move(traits))
        , retries(retries)
    {
    }

    bool isOver() const
    {
        return this->currentState == RequestState::Finished || this->currentState == RequestState::Failed;
    }

    bool isAwaitingPlacement() const
    {
        return this->currentState == RequestState::Admitted || this->currentState == RequestState::Queued;
    }

    bool isAwaitingTokens() const
    {
        return this->currentState == RequestState::Sent || this->currentState == RequestState::Streaming
            || this->currentState == RequestState::Resuming;
    }

    RequestTraits traits;
    RetryPolicy& retries;
    RequestState currentState { RequestState::Received };
    RequestCommands commands;
    TimePoint now {};
    unsigned attempt { 0 };
    unsigned placementAttempt { 0 }; // The attempt for which the placement was granted.
    unsigned attemptsSinceProgress { 0 }; // Attempts since the last token arrived.
    std::uint64_t delivered { 0 }; // Tokens delivered to the caller.
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

    bool didGrantExpire(const TimerExpired&)
    {
        return this->now >= this->expiry;
    }

    bool isPlacedOn(const TargetLeaving& event)
    {
        return std::ranges::find(this->placement, event.target, &GrantPart::target) != this->placement.end();
    }

    bool shouldRetry(const Completion&)
    {
        return this->decision == FailureDecision::Retry;
    }

    bool shouldResume(const Completion&)
    {
        return this->decision == FailureDecision::Resume;
    }

    bool shouldFail(const Completion&)
    {
        return this->decision == FailureDecision::Fail;
    }

    // Actions.
    void requestPlacement(const RequestAdmitted&)
    {
        this->retries.recordRequest();
        this->beginPlacement(Duration {});
    }

    void retryPlacement(const Completion&)
    {
        this->commands.push_back(CountRetry { this->retryReason });
        this->beginPlacement(this->delay);
    }

    void resume(const Completion&)
    {
        this->commands.push_back(CountRetry { this->retryReason });
        this->beginAttempt();
        this->didResumeWithoutProgress = true;
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

    void refuseStopped(const ShutdownStarted&)
    {
        this->refuse(RefusalReason::ShuttingDown, internal::DefaultRetryAfter);
    }

    void refuseUnplaced(const PlacementRefused& event)
    {
        this->refuse(event.reason, event.retryAfter);
    }

    void acceptGrant(const PlacementGranted& event)
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
        this->mayHaveExecuted = true;
        this->commands.push_back(WriteRequest { this->attempt, this->delivered });
    }

    void complete(const FinalChunkAccepted&)
    {
        this->finish();
    }

    void completeUnstreamed(const AnswerArrived&)
    {
        this->finish();
    }

    void decideAfterOwnerUnavailable(const OwnerUnavailable&)
    {
        this->commands.push_back(WithdrawPlacement { this->attempt });
        this->decide(RetryReason::OwnerChanged, RefusalReason::NoOwner);
    }

    void decideAfterUnreachable(const TargetUnreachable& event)
    {
        this->exclude(event.target);
        this->abandonPlacement();
        this->decide(RetryReason::ConnectFailed, RefusalReason::TargetFailed);
    }

    void decideAfterDeclined(const TargetDeclined& event)
    {
        this->mayHaveExecuted = this->mayHaveExecutedBefore;
        this->exclude(event.target);
        this->abandonPlacement();
        this->decide(RetryReason::TargetBusy, RefusalReason::Overloaded);
    }

    void decideAfterLateConnection(const TargetConnected&)
    {
        this->abandonExpiredGrant();
    }

    void decideAfterExpiry(const TimerExpired&)
    {
        this->abandonExpiredGrant();
    }

    void decideAfterTargetLeaving(const TargetLeaving& event)
    {
        this->exclude(event.target);
        this->abandonExpiredGrant();
    }

    void decideAfterBrokenStream(const StreamBroken& event)
    {
        if (this->traits.isResumable && event.isHeldByTarget && !this->didResumeWithoutProgress) {
            this->decide(RetryReason::StreamResumed, RefusalReason::TargetFailed);
            return;
        }
        this->moveToAnotherTarget();
    }

    void decideAfterUnreachableResume(const TargetUnreachable&)
    {
        this->moveToAnotherTarget();
    }

    void decideAfterDeclinedResume(const TargetDeclined&)
    {
        this->moveToAnotherTarget();
    }

    void end(const RequestEnded& event)
    {
        if (this->isAwaitingPlacement())
            this->commands.push_back(WithdrawPlacement { this->attempt });
        this->abandonPlacement();
        this->refuse(event.reason, internal::DefaultRetryAfter);
    }

    // Helpers shared by the actions.
    void beginAttempt()
    {
        ++this->attempt;
        ++this->attemptsSinceProgress;
        this->mayHaveExecutedBefore = this->mayHaveExecuted;
    }

    void beginPlacement(Duration delay)
    {
        this->beginAttempt();
        this->didResumeWithoutProgress = false;
        this->commands.push_back(RequestPlacement { this->attempt, delay });
    }

    void abandonExpiredGrant()
    {
        this->abandonPlacement();
        this->decide(RetryReason::GrantExpired, RefusalReason::Overloaded);
    }

    void moveToAnotherTarget()
    {
        this->exclude(this->placement.front().target);
        this->abandonPlacement();
        this->decide(RetryReason::StreamMoved, RefusalReason::TargetFailed);
    }

    void decide(RetryReason reason, RefusalReason reasonIfRefused)
    {
        RetryCandidate candidate;
        candidate.reason = reason;
        candidate.attemptsMade = this->attemptsSinceProgress;
        candidate.isIdempotent = this->traits.isIdempotent;
        candidate.mayHaveExecuted = this->mayHaveExecuted;
        candidate.deadline = this->traits.deadline;
        const auto permitted = this->retries.permit(candidate, this->now);
        this->retryReason = reason;
        this->failure = reasonIfRefused;
        this->delay = permitted.value_or(Duration {});
        if (!permitted)
            this->decision = FailureDecision::Fail;
        else
            this->decision = reason == RetryReason::StreamResumed ? FailureDecision::Resume : FailureDecision::Retry;
    }

    void exclude(const std::string& target)
    {
        if (std::ranges::find(this->excluded, target) == this->excluded.end())
            this->excluded.push_back(target);
    }

    // Cancels allocations on the targets and releases the placement. A span may hold reservations before anything is
    // written; a single target holds no allocation until then.
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

    // The streaming target frees its own allocation. The gateway must cancel the reservations of a span's other parts.
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
        const auto ran = this->mayHaveExecuted ? ExecutionStatus::Unknown : ExecutionStatus::No;
        this->commands.push_back(RefuseRequest { reason, ran, retryAfter });
    }

    bool mayHaveExecuted { false };
    bool mayHaveExecutedBefore { false }; // Value of `mayHaveExecuted` before the current attempt.
    FailureDecision decision { FailureDecision::Fail };
    RetryReason retryReason { RetryReason::ConnectFailed };
    RefusalReason failure { RefusalReason::TargetFailed };
    Duration delay {};

    using M = RequestMachine;

public:
    bool didResumeWithoutProgress { false }; // The stream was resumed and no token has arrived since.

    // Late and duplicate events match no transition and have no effect.
    template <typename Event, typename Machine> void no_transition(const Event&, Machine&, int) { }

    // clang-format off
    struct TransitionTable : boost::mpl::vector<
        a_row<Received, RequestAdmitted, Admitted, &M::requestPlacement>,
        a_row<Received, RequestRefused, Failed, &M::refuseUnadmitted>,
        a_row<Received, ShutdownStarted, Failed, &M::refuseStopped>,
        a_row<Received, RequestEnded, Failed, &M::end>,

        _row<Admitted, PlacementRequested, Queued>,
        a_row<Admitted, PlacementGranted, Granted, &M::acceptGrant>,
        a_row<Admitted, PlacementRefused, Failed, &M::refuseUnplaced>,
        a_row<Admitted, OwnerUnavailable, Deciding, &M::decideAfterOwnerUnavailable>,
        a_row<Admitted, RequestEnded, Failed, &M::end>,

        a_row<Queued, PlacementGranted, Granted, &M::acceptGrant>,
        a_row<Queued, PlacementRefused, Failed, &M::refuseUnplaced>,
        a_row<Queued, OwnerUnavailable, Deciding, &M::decideAfterOwnerUnavailable>,
        a_row<Queued, RequestEnded, Failed, &M::end>,

        a_irow<Granted, PartsReserved, &M::connect>,
        row<Granted, TargetConnected, Sent, &M::write, &M::isGrantInTime>,
        row<Granted, TargetConnected, Deciding, &M::decideAfterLateConnection, &M::isGrantLate>,
        row<Granted, TimerExpired, Deciding, &M::decideAfterExpiry, &M::didGrantExpire>,
        row<Granted, TargetLeaving, Deciding, &M::decideAfterTargetLeaving, &M::isPlacedOn>,
        a_row<Granted, TargetUnreachable, Deciding, &M::decideAfterUnreachable>,
        a_row<Granted, TargetDeclined, Deciding, &M::decideAfterDeclined>,
        a_row<Granted, RequestEnded, Failed, &M::end>,

        _row<Sent, ChunkAccepted, Streaming>,
        a_row<Sent, FinalChunkAccepted, Finished, &M::complete>,
        a_row<Sent, AnswerArrived, Finished, &M::completeUnstreamed>,
        a_row<Sent, TargetDeclined, Deciding, &M::decideAfterDeclined>,
        a_row<Sent, StreamBroken, Deciding, &M::decideAfterBrokenStream>,
        a_row<Sent, RequestEnded, Failed, &M::end>,

        a_row<Streaming, FinalChunkAccepted, Finished, &M::complete>,
        a_row<Streaming, StreamBroken, Deciding, &M::decideAfterBrokenStream>,
        a_row<Streaming, RequestEnded, Failed, &M::end>,

        _row<Resuming, ChunkAccepted, Streaming>,
        a_row<Resuming, FinalChunkAccepted, Finished, &M::complete>,
        a_row<Resuming, StreamBroken, Deciding, &M::decideAfterBrokenStream>,
        a_row<Resuming, TargetUnreachable, Deciding, &M::decideAfterUnreachableResume>,
        a_row<Resuming, TargetDeclined, Deciding, &M::decideAfterDeclinedResume>,
        a_row<Resuming, RequestEnded, Failed, &M::end>,

        row<Deciding, Completion, Admitted, &M::retryPlacement, &M::shouldRetry>,
        row<Deciding, Completion, Resuming, &M::resume, &M::shouldResume>,
        row<Deciding, Completion, Failed, &M::fail, &M::shouldFail>
    > { };
    // clang-format on
    using transition_table = TransitionTable; // Name required by Boost.MSM.
};

}
