#pragma once

#include <string>
#include <string_view>

namespace marigoldpaddle::standins {

// Estimates the number of tokens of a text at four bytes per token, rounded up.
std::uint64_t countTokens(std::string_view text);

// Generates the answer to a prompt token by token. Each token is derived from a hash of the prompt and all previous
// tokens. A prompt with the first tokens of its answer appended therefore yields the rest of the same answer, on any
// engine.
class AnswerGenerator {
public:
    explicit AnswerGenerator(std::string_view prompt);
    ~AnswerGenerator();

    AnswerGenerator(const AnswerGenerator&) = delete;
    AnswerGenerator& operator=(const AnswerGenerator&) = delete;

    std::string nextToken();

private:
    void* hashState; // XXH3_state_t, owned.
};

// Returns the complete answer of `tokens` tokens, to compare with a received one.
std::string generateAnswer(std::string_view prompt, std::uint64_t tokens);

}
