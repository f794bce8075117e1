#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldpaddle {

// One event of an engine's response stream.
struct EngineChunk {
    std::string requestId;
    std::int64_t attempt { 0 };
    std::uint64_t offset { 0 }; // Index of the token in the response; in the final chunk, the number of tokens.
    std::string text;
    bool isFinal { false };
};

// Incremental parser for the response stream of an engine. Input may be split at any byte.
class EngineStreamParser {
public:
    // Returns the chunks completed by `piece`. Malformed events are counted and dropped.
    std::vector<EngineChunk> feed(std::string_view piece);

    std::uint64_t droppedEvents() const;

private:
    std::string buffered;
    std::uint64_t dropped { 0 };
};

}
