#pragma once

#include <string>
#include <string_view>

namespace marigoldpaddle::standins {

// Estimates the tokens of a text, four bytes each.
std::uint64_t countTokens(std::string_view text);

// Makes the answer to a prompt, one token after the other. Each token depends on the prompt and on all tokens before
// it, so that a prompt with the first tokens of its answer appended continues with the next one, on whatever engine.
class AnswerGenerator {
public:
    explicit AnswerGenerator(std::string_view prompt);
    ~AnswerGenerator();

    AnswerGenerator(const AnswerGenerator&) = delete;
    AnswerGenerator& operator=(const AnswerGenerator&) = delete;

    std::string nextToken();

private:
    void* state;
};

// Returns the whole answer of `tokens` tokens, for comparison.
std::string wholeAnswer(std::string_view prompt, std::uint64_t tokens);

}
