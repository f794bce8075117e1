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

// Size of a prompt as the caller states it.
struct PromptSize {
    std::int64_t promptTokens { 0 };
    std::int64_t maximumOutputTokens { 0 };
};

// What a caller says about its request.
struct CallerTerms {
    std::string attemptId;
    std::optional<Duration> remaining; // How long the caller will wait.
    std::string apiKey; // Empty without one.
    std::optional<PromptSize> prompt;
    std::optional<std::int64_t> outputEstimate; // Tokens; right at the median, often far off.
    std::optional<std::uint64_t> lastEventId; // The stream is to continue after this event.
};

// A target that reads a part of a prompt for another one.
struct HelperTerms {
    std::string address;
    std::string ticket; // Reserved memory there; empty when it only lends its time.
};

// How one request is sent to one target.
struct SendTerms {
    std::string targetId; // Any other target declines the request.
    Duration remaining {};
    std::string workspace; // Empty on public routes.
    std::optional<int> urgency; // 0 (first) to 9.
    std::optional<std::uint64_t> lastEventId;
    std::vector<HelperTerms> helpers;
};

// What a target's answer says besides its status and body.
struct AnswerTerms {
    std::string attemptId;
    bool isSealed { false }; // Comes from a target, unaltered.
    bool didNotRun { false }; // The target states that it has not run the request.
    bool isOtherTarget { false }; // Another target has this address now.
    bool isLeaving { false }; // The target is about to leave, or closes this connection.
    bool isEncoded { false }; // The body is not the target's own.
};

// Translates between requests on the wire and the terms above. Has no state and decides nothing.
class CallFormat {
public:
    virtual ~CallFormat() = default;

    virtual CallerTerms callerTerms(const HttpRequest& request) const = 0;

    // Makes the request for a target from the caller's: method, path, query, body and end-to-end headers unchanged.
    virtual HttpRequest requestFor(const HttpRequest& request, const SendTerms& terms) const = 0;

    virtual AnswerTerms answerTerms(const HttpResponseHeader& header) const = 0;

    // Returns the header for the caller: the target's without those that concern one connection only.
    virtual HttpResponseHeader headerForCaller(const HttpResponseHeader& header) const = 0;

    // Makes an answer of this instance's own.
    virtual HttpResponse ownAnswer(unsigned status, std::string_view reason, std::optional<Duration> retryAfter) const
        = 0;
};

}
