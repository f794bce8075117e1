#pragma once

#include <array>
#include <string_view>

namespace marigoldpaddle {

// Whether a target may have executed any part of a request that was refused or failed.
enum class ExecutionStatus {
    No, // No target executed any part of it.
    Unknown, // A target may have executed it.
};

// Returns the value used in responses: `no` or `unknown`.
constexpr std::string_view name(ExecutionStatus ran)
{
    return ran == ExecutionStatus::No ? "no" : "unknown";
}

// Why a request was refused or failed. Each reason has its own counter.
enum class RefusalReason {
    MalformedRequest,
    RequestTooLarge,
    RequestTimeout, // The caller sent its request too slowly.
    Unauthenticated,
    UnknownModel,
    UnknownService,
    InvalidAllowedTime,
    PromptTooLong, // Larger than any span of the model's targets can hold.
    Overloaded, // The request would not finish within its allowed time.
    WorkspaceOverShare, // The system is overloaded and the request's workspace exceeds its share.
    NoTarget, // No live target serves the model or service.
    NoOwner, // No owner of a suitable cell could be reached.
    DeadlineExceeded,
    TargetFailed, // The attempt failed and could not be resumed or retried.
    KeyReused, // The idempotency key was used before with a different body.
    KeyInProgress, // Another call with the same idempotency key is still in progress.
    ClaimsUnavailable, // The claim on the idempotency key could not be recorded, so the call was not sent.
    OutcomeUnknown, // The holder of the idempotency key's claim has failed; the target may have executed the call.
    NotReady, // The instance has no configuration yet.
    ShuttingDown,
    CallerDisconnected, // The caller disconnected.
};

inline constexpr std::array AllRefusalReasons {
    RefusalReason::MalformedRequest,
    RefusalReason::RequestTooLarge,
    RefusalReason::RequestTimeout,
    RefusalReason::Unauthenticated,
    RefusalReason::UnknownModel,
    RefusalReason::UnknownService,
    RefusalReason::InvalidAllowedTime,
    RefusalReason::PromptTooLong,
    RefusalReason::Overloaded,
    RefusalReason::WorkspaceOverShare,
    RefusalReason::NoTarget,
    RefusalReason::NoOwner,
    RefusalReason::DeadlineExceeded,
    RefusalReason::TargetFailed,
    RefusalReason::KeyReused,
    RefusalReason::KeyInProgress,
    RefusalReason::ClaimsUnavailable,
    RefusalReason::OutcomeUnknown,
    RefusalReason::NotReady,
    RefusalReason::ShuttingDown,
    RefusalReason::CallerDisconnected,
};

// Returns the name of the reason in responses, metrics and docs/OPERATING.md, such as `overloaded`.
std::string_view name(RefusalReason reason);

// Returns the HTTP status that a refusal with this reason is sent with.
unsigned httpStatus(RefusalReason reason);

// Why a request was attempted again. Each reason has its own counter.
enum class RetryReason {
    ConnectFailed, // The target could not be reached. Nothing was written to it.
    StreamResumed, // The stream was resumed on the same target at a token offset.
    StreamMoved, // The stream continues on another target, with the delivered tokens appended to the prompt.
    GrantExpired,
    OwnerChanged, // The cell's owner left, was replaced or could not be reached before it answered.
    TargetBusy, // The target's own admission control rejected the attempt.
};

inline constexpr std::array AllRetryReasons {
    RetryReason::ConnectFailed,
    RetryReason::StreamResumed,
    RetryReason::StreamMoved,
    RetryReason::GrantExpired,
    RetryReason::OwnerChanged,
    RetryReason::TargetBusy,
};

// Returns the name of the reason in metrics, such as `stream_resumed`.
std::string_view name(RetryReason reason);

}
