#include "configuration/Checkpoint.h"

#include <algorithm>

#include <boost/json.hpp>

#include "base/Text.h"

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

constexpr std::string_view PartPrefix = R"({"kind":"checkpoint")";
constexpr std::string_view PlaceholderRecord = R"({"kind":"checkpoint"})";
constexpr std::size_t MaximumPartBytes = ConfigurationLimits::RecordBytes / 4; // Leaves room for JSON escapes.
constexpr std::size_t MaximumParts = 1024;
constexpr std::size_t MaximumIncompleteCheckpoints = 4;

// Splits text into pieces of at most MaximumPartBytes, at UTF-8 character boundaries.
std::vector<std::string_view> splitIntoParts(std::string_view text)
{
    std::vector<std::string_view> pieces;
    while (text.size() > MaximumPartBytes) {
        pieces.push_back(truncateUtf8(text, MaximumPartBytes));
        text.remove_prefix(pieces.back().size());
    }
    pieces.push_back(text);
    return pieces;
}

}

bool isCheckpointPart(std::string_view record)
{
    return record.starts_with(PartPrefix);
}

std::string_view checkpointPlaceholder()
{
    return PlaceholderRecord;
}

std::vector<std::string> encodeCheckpoint(const ConfigurationState& state)
{
    const auto snapshot = state.snapshot();
    const auto pieces = splitIntoParts(snapshot);
    std::vector<std::string> records;
    records.reserve(pieces.size());
    for (std::size_t i = 0; i < pieces.size(); ++i)
        records.push_back(json::serialize(json::object { { "kind", "checkpoint" }, { "as_of", state.nextOffset() },
            { "part", i }, { "parts", pieces.size() }, { "data", pieces[i] } }));
    return records;
}

std::optional<CheckpointPart> decodeCheckpointPart(std::string_view record)
{
    if (!isCheckpointPart(record) || record.size() > ConfigurationLimits::RecordBytes)
        return std::nullopt;
    try {
        const auto value = json::parse({ record.data(), record.size() });
        CheckpointPart part;
        part.asOf = json::value_to<std::uint64_t>(value.at("as_of"));
        part.number = json::value_to<std::size_t>(value.at("part"));
        part.count = json::value_to<std::size_t>(value.at("parts"));
        part.data = json::value_to<std::string>(value.at("data"));
        if (part.count > MaximumParts || part.number >= part.count)
            return std::nullopt;
        return part;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<CheckpointAssembler::Assembled> CheckpointAssembler::add(std::string_view record)
{
    auto part = decodeCheckpointPart(record);
    if (!part)
        return std::nullopt;
    auto& parts = this->partsByAsOf[part->asOf];
    if (parts.size() != part->count)
        parts.assign(part->count, std::nullopt);
    parts[part->number] = std::move(part->data);
    const auto isComplete = std::ranges::all_of(parts, [](const auto& each) { return each.has_value(); });
    if (isComplete) {
        Assembled assembled { part->asOf, {} };
        for (const auto& each : parts)
            assembled.snapshot += *each;
        this->partsByAsOf.erase(part->asOf);
        return assembled;
    }
    if (this->partsByAsOf.size() > MaximumIncompleteCheckpoints)
        this->partsByAsOf.erase(this->partsByAsOf.begin());
    return std::nullopt;
}

}
