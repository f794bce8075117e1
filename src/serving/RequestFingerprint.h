#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/Http.h"

namespace marigoldpaddle {

// Identifies a request that comes again: hash of its method, host, path with query, caller and body. The ids of its
// attempts and other headers do not count. `caller` may be empty.
std::uint64_t requestFingerprint(const HttpRequest& request, std::string_view caller);

// Identifies a request that comes again with other queries. Differs from all fingerprints with a query. Empty if the
// request has none.
std::optional<std::uint64_t> fingerprintWithoutQuery(const HttpRequest& request, std::string_view caller);

}
