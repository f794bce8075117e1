#pragma once

#include <span>
#include <string>
#include <string_view>

namespace marigoldpaddle {

// Joins lines by newlines, without one at the end.
std::string joinLines(std::span<const std::string> lines);

// Returns the longest beginning of UTF-8 text within `bytes`, at least 4, that does not split a character.
std::string_view truncateUtf8(std::string_view text, std::size_t bytes);

}
