#include <marigoldpaddle/PlatformLog.h>
#include <marigoldpaddle/Reasons.h>

namespace marigoldpaddle {

std::string_view name(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MalformedRequest:
        return "malformed_request";
    case RefusalReason::RequestTooLarge:
        return "request_too_large";
    case RefusalReason::RequestTimeout:
        return "request_timeout";
    case RefusalReason::Unauthenticated:
        return "unauthenticated";
    case RefusalReason::UnknownModel:
        return "unknown_model";
    case RefusalReason::UnknownService:
        return "unknown_service";
    case RefusalReason::InvalidAllowedTime:
        return "invalid_allowed_time";
    case RefusalReason::PromptTooLong:
        return "prompt_too_long";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::WorkspaceOverShare:
        return "workspace_over_share";
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::NoOwner:
        return "no_owner";
    case RefusalReason::DeadlineExceeded:
        return "deadline_exceeded";
    case RefusalReason::TargetFailed:
        return "target_failed";
    case RefusalReason::KeyReused:
        return "key_reused";
    case RefusalReason::KeyInProgress:
        return "key_in_progress";
    case RefusalReason::ClaimsUnavailable:
        return "claims_unavailable";
    case RefusalReason::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalReason::NotReady:
        return "not_ready";
    case RefusalReason::ShuttingDown:
        return "shutting_down";
    case RefusalReason::CallerDisconnected:
        return "caller_gone";
    }
    return "invalid";
}

unsigned httpStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::MalformedRequest:
    case RefusalReason::InvalidAllowedTime:
        return 400;
    case RefusalReason::Unauthenticated:
        return 401;
    case RefusalReason::UnknownModel:
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::RequestTimeout:
        return 408;
    case RefusalReason::KeyInProgress:
    case RefusalReason::OutcomeUnknown:
        return 409;
    case RefusalReason::RequestTooLarge:
    case RefusalReason::PromptTooLong:
        return 413;
    case RefusalReason::KeyReused:
        return 422;
    case RefusalReason::WorkspaceOverShare:
        return 429;
    case RefusalReason::CallerDisconnected:
        return 499;
    case RefusalReason::TargetFailed:
        return 502;
    case RefusalReason::Overloaded:
    case RefusalReason::NoTarget:
    case RefusalReason::NoOwner:
    case RefusalReason::ClaimsUnavailable:
    case RefusalReason::NotReady:
    case RefusalReason::ShuttingDown:
        return 503;
    case RefusalReason::DeadlineExceeded:
        return 504;
    }
    return 500;
}

std::string_view name(RetryReason reason)
{
    switch (reason) {
    case RetryReason::ConnectFailed:
        return "connect_failed";
    case RetryReason::StreamResumed:
        return "stream_resumed";
    case RetryReason::StreamMoved:
        return "stream_moved";
    case RetryReason::GrantExpired:
        return "grant_expired";
    case RetryReason::OwnerChanged:
        return "owner_changed";
    case RetryReason::TargetBusy:
        return "target_busy";
    }
    return "invalid";
}

std::string_view name(PlatformError error)
{
    switch (error) {
    case PlatformError::Unreachable:
        return "unreachable";
    case PlatformError::NoAnswer:
        return "no_answer";
    case PlatformError::Rejected:
        return "rejected";
    case PlatformError::Trimmed:
        return "trimmed";
    case PlatformError::Malformed:
        return "malformed";
    }
    return "invalid";
}

}
