#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldpaddle {

// One event of an engine's answer.
struct EngineChunk {
    std::string requestId;
    std::int64_t attempt { 0 };
    std::uint64_t offset { 0 }; // Of this token; of the end, in the final chunk.
    std::string text;
    bool isFinal { false };
};

// Cuts the bytes of an engine's answer into chunks, whatever the pieces in which they arrive.
class EngineStreamParser {
public:
    // Returns the chunks that `piece` completes. Events that are no chunk are counted and dropped.
    std::vector<EngineChunk> feed(std::string_view piece);

    std::uint64_t droppedEvents() const;

private:
    std::string pending;
    std::uint64_t dropped { 0 };
};

}
