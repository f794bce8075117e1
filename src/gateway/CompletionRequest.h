#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Reasons.h>

namespace marigoldpaddle {

// A parsed request to /v1/completions or /v1/chat/completions.
struct CompletionRequest {
    std::string model;
    std::string prompt;
    std::uint64_t promptTokens { 0 }; // Estimated.
    std::uint64_t maximumTokens { 0 }; // Of the output.
    bool isChat { false };
    bool isStreamed { false };
};

// Why a request body was rejected. `detail` is shown to the caller.
struct CompletionParseError {
    RefusalReason reason { RefusalReason::MalformedRequest };
    std::string detail;
};

// Parses the body of a request to /v1/completions or, if `isChat`, /v1/chat/completions. Fails with a
// CompletionParseError.
boost::leaf::result<CompletionRequest> parseCompletion(std::string_view body, bool isChat);

// Estimates the number of tokens of a text from its size in bytes, rounded up.
std::uint64_t estimateTokens(std::string_view text);

// Serialize an OpenAI-compatible response: the whole body, and the final events of a stream. `tokens` is the number of
// output tokens.
std::string completionBody(
    const CompletionRequest& request, std::string_view id, std::string_view text, std::uint64_t tokens);
std::string finalCompletionEvent(const CompletionRequest& request, std::string_view id);

// Serializes the token events of one streamed response. The JSON before and after the token text is built only once.
class CompletionEventWriter {
public:
    CompletionEventWriter(const CompletionRequest& request, std::string_view id);

    // Appends the event of a token with this text to `output`.
    void append(std::string& output, std::string_view text) const;

private:
    std::string beforeText;
    std::string afterText;
};

}
