#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Preset.h>

namespace marigoldpaddle {

enum class ConfigurationChangeKind {
    Edit, // Replaces or removes sections of a preset, and creates the preset when it does not exist.
    Use, // Puts a preset in force.
    Delete, // Removes a preset that is not in force.
};

std::string_view name(ConfigurationChangeKind kind);

// Limits of one change. A record that exceeds them is malformed.
struct ConfigurationLimits {
    static constexpr std::size_t RecordBytes = 256 * 1024; // The platform's log accepts no larger records.
    static constexpr std::size_t NameBytes = 200; // Of a change id or the name of a preset, a section or a key.
    static constexpr std::size_t ValueBytes = 64 * 1024;
};

// One record of the configuration stream.
struct ConfigurationChange {
    std::string id; // Unique. The writer of a change finds out by its id whether the change was appended.
    ConfigurationChangeKind kind { ConfigurationChangeKind::Edit };
    std::string preset;
    std::uint64_t basedOn { 0 }; // The revision that its author had read; see ConfigurationState::nextOffset().
    PresetSectionChanges sections; // For edits only.
};

std::string encodeChange(const ConfigurationChange& change);

// Fails with ConfigurationError::MalformedRecord.
boost::leaf::result<ConfigurationChange> decodeChange(std::string_view record);

}
