#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Reasons.h>

namespace marigoldpaddle {

// A prompt as its caller sent it, whichever of the two paths it came by.
struct CompletionRequest {
    std::string model;
    std::string prompt;
    std::uint64_t promptTokens { 0 }; // Estimated.
    std::uint64_t maximumTokens { 0 };
    bool isChat { false };
    bool isStreamed { false };
};

// What is wrong with a request, in a sentence for its caller.
struct RequestProblem {
    RefusalReason reason { RefusalReason::MalformedRequest };
    std::string detail;
};

// Reads the body of /v1/completions or /v1/chat/completions. Fails with a RequestProblem.
boost::leaf::result<CompletionRequest> parseCompletion(std::string_view body, bool isChat);

// Estimates the tokens of a text, rounding up.
std::uint64_t estimateTokens(std::string_view text);

// Writes the OpenAI-compatible answers.
std::string wholeCompletion(
    const CompletionRequest& request, std::string_view id, std::string_view text, std::uint64_t tokens);
std::string finalCompletionEvent(const CompletionRequest& request, std::string_view id);

// Writes the events of one streamed answer; what they have in common is made once.
class CompletionEvents {
public:
    CompletionEvents(const CompletionRequest& request, std::string_view id);

    // Appends the event of a token to `out`.
    void append(std::string& out, std::string_view text) const;

private:
    std::string beforeText;
    std::string afterText;
};

}
