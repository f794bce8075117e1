#pragma once

#include <string>
#include <string_view>

namespace marigoldpaddle {

// Returns the SHA-256 digest of `text` in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

}
