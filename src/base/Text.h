#pragma once

#include <span>
#include <string>
#include <string_view>

namespace marigoldpaddle {

// Joins lines with newlines, without a trailing newline.
std::string joinLines(std::span<const std::string> lines);

// Returns the longest prefix of UTF-8 text of at most `bytes` bytes that does not split a character. `bytes` must be at
// least 4, the length of the longest character.
std::string_view truncateUtf8(std::string_view text, std::size_t bytes);

}
