#include "base/Text.h"

#include <numeric>

namespace marigoldpaddle {

std::string joinLines(std::span<const std::string> lines)
{
    return std::accumulate(lines.begin(), lines.end(), std::string {},
        [](std::string text, const std::string& line) { return text.empty() ? line : text + "\n" + line; });
}

std::string_view truncateUtf8(std::string_view text, std::size_t bytes)
{
    const auto isContinuationByte = [](char each) {
        return (static_cast<unsigned char>(each) & 0xc0) == 0x80;
    };
    if (text.size() <= bytes)
        return text;
    while (bytes > 0 && isContinuationByte(text[bytes]))
        --bytes;
    return text.substr(0, bytes);
}

}
