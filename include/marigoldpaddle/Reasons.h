#pragma once

#include <array>
#include <string_view>

namespace marigoldpaddle {

// Says whether a request that was refused or has failed may have been executed by a target.
enum class Ran {
    No, // No target executed any part of it.
    Unknown, // A target may have executed it.
};

// Returns the word used on the wire: `no` or `unknown`.
constexpr std::string_view name(Ran ran)
{
    return ran == Ran::No ? "no" : "unknown";
}

// Why a request was refused or has failed. One counter stands behind each of them.
enum class RefusalReason {
    MalformedRequest,
    RequestTooLarge,
    RequestTimeout, // The caller sent its request too slowly.
    Unauthenticated,
    UnknownModel,
    UnknownService,
    InvalidAllowedTime,
    PromptTooLong, // Larger than any span of the model's targets can hold.
    Overloaded, // It would miss its allowed time.
    WorkspaceOverShare, // Its workspace is the most over its share while the system is overloaded.
    NoTarget, // No live target serves the model or service.
    NoOwner, // No dispatcher that owns a suitable cell could be reached.
    DeadlineExceeded,
    TargetFailed, // The attempt broke and could not be resumed or repeated.
    KeyReused, // The idempotency key was used before with another body.
    KeyInProgress, // Another attempt with the same idempotency key is still running.
    ClaimsUnavailable, // The claim could not be recorded, so the call was not sent.
    OutcomeUnknown, // The idempotency key was claimed by a holder that is gone.
    NotReady, // The instance holds no configuration yet.
    ShuttingDown,
    CallerGone,
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
    RefusalReason::CallerGone,
};

// Returns the reason as callers, counters and docs/OPERATING.md spell it, e.g. `overloaded`.
std::string_view name(RefusalReason reason);

// Returns the HTTP status that a refusal with this reason is sent with.
unsigned httpStatus(RefusalReason reason);

// Why an attempt was made again. One counter stands behind each of them.
enum class RetryReason {
    ConnectFailed, // Nothing had been written to the target.
    StreamResumed, // Continued on the same target by stream offset.
    StreamMoved, // Continued on another target with the delivered tokens appended to the prompt.
    GrantExpired,
    OwnerChanged, // The cell's owner left or was replaced before it answered.
    TargetBusy, // The target's own admission turned the attempt away.
};

inline constexpr std::array AllRetryReasons {
    RetryReason::ConnectFailed,
    RetryReason::StreamResumed,
    RetryReason::StreamMoved,
    RetryReason::GrantExpired,
    RetryReason::OwnerChanged,
    RetryReason::TargetBusy,
};

// Returns the reason as counters spell it, e.g. `stream_resumed`.
std::string_view name(RetryReason reason);

}
