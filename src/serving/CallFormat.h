#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "base/Http.h"
#include "serving/ServingConfiguration.h"
#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// Size of a prompt as stated by the caller.
struct PromptSize {
    std::int64_t promptTokens { 0 };
    std::int64_t maximumOutputTokens { 0 };
};

// Metadata of a caller's request.
struct CallerMetadata {
    std::string attemptId;
    std::optional<Duration> remaining; // Time to the caller's deadline.
    std::string apiKey; // Empty if the request has none.
    std::optional<PromptSize> prompt;
    std::optional<std::int64_t> outputEstimate; // Tokens; accurate in the median, often far off.
    std::optional<std::uint64_t> lastEventId; // Resumes the stream after this event.
    std::vector<std::string> sharedParts; // Ids of the parts of the prompt that other prompts may have too, in order.
};

// A target that prefills a part of the prompt of another target.
struct HelperAssignment {
    std::string address;
    std::string reservationId; // Memory reserved on the helper; empty when it only computes.
};

// Metadata of a request forwarded to a target.
struct ForwardingMetadata {
    std::string targetId; // Any other target declines the request.
    Duration remaining {};
    std::string workspace; // Empty on public routes.
    std::optional<int> urgency; // Priority, 0 (highest) to 9.
    std::optional<std::uint64_t> lastEventId;
    std::vector<HelperAssignment> helpers;
};

// Longer times in answers of targets are decoded as this one.
inline constexpr Duration LongestRetryAfter = std::chrono::hours { 24 };

// Metadata of a target's answer, besides its status and body.
struct ResponseMetadata {
    std::string attemptId;
    bool isSealed { false }; // Carries the target's seal: not altered on the way.
    bool wasNotExecuted { false }; // The target states that it has not executed the request.
    bool isMisdirected { false }; // Another target now uses this address.
    std::string faultyTarget; // Id or address of the helper that is at fault; empty if the answering target is.
    bool isLeaving { false }; // The target states that it leaves. A connection that it closes does not say so.
    // For how long the target wants nothing from this instance. Only of a 503; at most LongestRetryAfter.
    std::optional<Duration> retryAfter;
    // Requests a second that the target takes from all instances together, for as long as it says so.
    std::optional<double> requestLimit;
    // For how long the target states to be cold; at most LongestRetryAfter.
    std::optional<Duration> coldRemaining;
    bool hasContentEncoding { false }; // The body has a content encoding, so it is not as the target sent it.
};

// Translates between HTTP messages and the metadata above. Stateless.
class CallFormat {
public:
    virtual ~CallFormat() = default;

    virtual CallerMetadata callerMetadata(const HttpRequest& request) const = 0;

    // Makes the request for a target from the caller's. Method, path, query, body and end-to-end headers stay
    // unchanged.
    virtual HttpRequest makeTargetRequest(const HttpRequest& request, const ForwardingMetadata& metadata) const = 0;

    // Makes the request for another instance, which serves it as if the caller had sent it there: with the caller's
    // key. `lastEventId` replaces the caller's, if it is set.
    virtual HttpRequest makeRelayRequest(
        const HttpRequest& request, Duration remaining, std::optional<std::uint64_t> lastEventId) const
        = 0;

    virtual ResponseMetadata responseMetadata(const HttpResponseHeader& header) const = 0;

    // Returns the response header for the caller: the target's without the hop-by-hop headers.
    virtual HttpResponseHeader makeCallerHeader(const HttpResponseHeader& header) const = 0;

    // Makes a response of this instance, as opposed to one of a target.
    virtual HttpResponse makeOwnResponse(
        unsigned status, std::string_view reason, std::optional<Duration> retryAfter) const
        = 0;
};

}
