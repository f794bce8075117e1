#include "gateway/EngineStream.h"

#include <array>

#include <boost/json.hpp>

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::size_t ParseBufferBytes = 2048; // Parsing larger events allocates heap memory.
constexpr std::string_view DataPrefix = "data: ";

std::optional<EngineChunk> parseChunk(std::string_view event)
{
    if (!event.starts_with(DataPrefix))
        return std::nullopt;
    event.remove_prefix(DataPrefix.size());
    try {
        std::array<unsigned char, ParseBufferBytes> buffer;
        json::monotonic_resource memory { buffer.data(), buffer.size() };
        const auto value = json::parse({ event.data(), event.size() }, &memory);
        const auto& object = value.as_object();
        EngineChunk chunk;
        chunk.requestId = json::value_to<std::string>(object.at("request_id"));
        chunk.attempt = json::value_to<std::int64_t>(object.at("attempt"));
        chunk.offset = json::value_to<std::uint64_t>(object.at("offset"));
        const auto* final = object.if_contains("final");
        chunk.isFinal = final && final->as_bool();
        if (!chunk.isFinal)
            chunk.text = json::value_to<std::string>(object.at("text"));
        return chunk;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}

std::vector<EngineChunk> EngineStreamParser::feed(std::string_view piece)
{
    this->buffered += piece;
    std::vector<EngineChunk> chunks;
    std::size_t begin = 0;
    for (auto end = this->buffered.find(EventEnd); end != std::string::npos;
        end = this->buffered.find(EventEnd, begin)) {
        auto chunk = parseChunk(std::string_view { this->buffered }.substr(begin, end - begin));
        begin = end + EventEnd.size();
        if (chunk)
            chunks.push_back(std::move(*chunk));
        else
            ++this->dropped;
    }
    this->buffered.erase(0, begin);
    return chunks;
}

std::uint64_t EngineStreamParser::droppedEvents() const
{
    return this->dropped;
}

}
