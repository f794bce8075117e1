#pragma once

#include <cstdint>
#include <string>

#include <marigoldpaddle/ConfigurationState.h>

namespace marigoldpaddle::standins {

// Returns a syntactically valid key digest (64 hexadecimal digits), distinct for each number.
inline std::string makeKeyDigest(std::uint64_t number)
{
    auto text = std::to_string(number);
    return std::string(64 - text.size(), '0') + text;
}

inline PresetSection workspaceSection(std::uint64_t number, std::string weight = "1")
{
    return { { "key_sha256", makeKeyDigest(number) }, { "weight", std::move(weight) } };
}

inline ConfigurationChange makeEdit(
    std::string id, std::string preset, std::uint64_t basedOn, PresetSectionChanges sections)
{
    return { std::move(id), ConfigurationChangeKind::Edit, std::move(preset), basedOn, std::move(sections) };
}

inline ConfigurationChange makeUse(std::string id, std::string preset, std::uint64_t basedOn)
{
    return { std::move(id), ConfigurationChangeKind::Use, std::move(preset), basedOn, {} };
}

inline ConfigurationChange makeDelete(std::string id, std::string preset, std::uint64_t basedOn)
{
    return { std::move(id), ConfigurationChangeKind::Delete, std::move(preset), basedOn, {} };
}

// Encodes a change and applies it at the next offset of `state`.
inline ChangeResult applyNext(ConfigurationState& state, const ConfigurationChange& change)
{
    return state.apply(state.nextOffset(), encodeChange(change));
}

}
