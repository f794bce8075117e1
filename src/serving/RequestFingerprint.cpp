#include "serving/RequestFingerprint.h"

#include <array>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

// Tells the hash of a path from that of a path with an empty query.
constexpr XXH64_hash_t WithoutQuerySeed = 1;

std::uint64_t fingerprintOf(
    const HttpRequest& request, std::string_view target, std::string_view caller, XXH64_hash_t seed)
{
    const auto hash = [](std::string_view text) {
        return XXH3_64bits(text.data(), text.size());
    };
    const auto host = request[boost::beast::http::field::host];
    // One hash for each part, so that text cannot move from one part to the next unnoticed.
    const std::array parts { hash(request.method_string()), hash(host), hash(target), hash(caller),
        hash(request.body()) };
    return XXH3_64bits_withSeed(parts.data(), sizeof(parts), seed);
}

}

std::uint64_t requestFingerprint(const HttpRequest& request, std::string_view caller)
{
    return fingerprintOf(request, request.target(), caller, 0);
}

std::optional<std::uint64_t> fingerprintWithoutQuery(const HttpRequest& request, std::string_view caller)
{
    const std::string_view target = request.target();
    const auto query = target.find('?');
    if (query == std::string_view::npos)
        return std::nullopt;
    return fingerprintOf(request, target.substr(0, query), caller, WithoutQuerySeed);
}

}
