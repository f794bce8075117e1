#include "serving/RequestFingerprint.h"

#include <array>

#include <xxhash.h>

namespace marigoldpaddle {

std::uint64_t requestFingerprint(const HttpRequest& request, std::string_view caller)
{
    const auto hash = [](std::string_view text) {
        return XXH3_64bits(text.data(), text.size());
    };
    const auto host = request[boost::beast::http::field::host];
    // One hash for each part, so that text cannot move from one part to the next unnoticed.
    const std::array parts { hash(request.method_string()), hash(host), hash(request.target()), hash(caller),
        hash(request.body()) };
    return XXH3_64bits(parts.data(), sizeof(parts));
}

}
