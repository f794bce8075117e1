#include "standins/AnswerGenerator.h"

#include <xxhash.h>

namespace marigoldpaddle::standins {

namespace {

constexpr std::uint64_t BytesPerToken = 4;
constexpr std::string_view Syllables[] { " ba", " ce", " di", " fo", " gu", " ha", " ke", " li", " mo", " nu", " pa",
    " re", " si", " to", " vu", " ze" };

}

std::uint64_t countTokens(std::string_view text)
{
    return (text.size() + BytesPerToken - 1) / BytesPerToken;
}

AnswerGenerator::AnswerGenerator(std::string_view prompt)
    : hashState(XXH3_createState())
{
    auto* hash = static_cast<XXH3_state_t*>(this->hashState);
    XXH3_64bits_reset(hash);
    XXH3_64bits_update(hash, prompt.data(), prompt.size());
}

AnswerGenerator::~AnswerGenerator()
{
    XXH3_freeState(static_cast<XXH3_state_t*>(this->hashState));
}

std::string AnswerGenerator::nextToken()
{
    auto* hash = static_cast<XXH3_state_t*>(this->hashState);
    const auto digest = XXH3_64bits_digest(hash);
    std::string token { Syllables[digest % std::size(Syllables)] };
    token += static_cast<char>('a' + (digest >> 8) % 26);
    XXH3_64bits_update(hash, token.data(), token.size());
    return token;
}

std::string generateAnswer(std::string_view prompt, std::uint64_t tokens)
{
    AnswerGenerator generator { prompt };
    std::string answer;
    for (std::uint64_t i = 0; i < tokens; ++i)
        answer += generator.nextToken();
    return answer;
}

}
