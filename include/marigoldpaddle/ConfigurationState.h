#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
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

// One record of the configuration stream.
struct ConfigurationChange {
    std::string id; // Unique; a change that is found under its id was appended.
    ConfigurationChangeKind kind { ConfigurationChangeKind::Edit };
    std::string preset;
    std::uint64_t basedOn { 0 }; // The offset up to which its author had read.
    std::map<std::string, std::optional<PresetSection>, std::less<>>
        sections; // Without a value: the section is removed.
};

std::string encodeChange(const ConfigurationChange& change);
boost::leaf::result<ConfigurationChange> decodeChange(std::string_view record);

// What the fold made of one record.
struct ChangeVerdict {
    std::string id;
    bool isAccepted { false };
    std::string explanation; // Why it was turned away: the section or preset and both revisions.
};

// Folds the configuration stream. Every reader that has applied the same offsets holds the same state, whatever path
// the records took to it. Pure: no I/O, no clock.
class ConfigurationState {
public:
    // Applies the record at `offset`. An offset that was applied before is ignored; a record that cannot be read is
    // turned away and still moves the offset.
    ChangeVerdict apply(std::uint64_t offset, std::string_view record);

    // The offset that the next record must have. Only ever rises.
    std::uint64_t nextOffset() const;

    // The preset in force; null until one was put in force.
    std::shared_ptr<const Preset> presetInForce() const;
    const std::string& nameInForce() const;

    const std::map<std::string, PresetSections, std::less<>>& presets() const;

    // Writes the whole state as one record, and takes it over from one. A snapshot that is older than this state is
    // ignored and gives false.
    std::string snapshot() const;
    boost::leaf::result<bool> restore(std::string_view snapshot);

private:
    ChangeVerdict applyEdit(std::uint64_t offset, const ConfigurationChange& change);
    ChangeVerdict applyUse(std::uint64_t offset, const ConfigurationChange& change);
    ChangeVerdict applyDelete(std::uint64_t offset, const ConfigurationChange& change);
    void refreshPresetInForce();

    std::map<std::string, PresetSections, std::less<>> presetsByName;
    std::map<std::string, std::uint64_t, std::less<>>
        revisions; // Offset of the last change, by "preset" or "preset/section".
    std::string inForce;
    std::uint64_t inForceSince { 0 };
    std::uint64_t next { 0 };
    std::shared_ptr<const Preset> preset;
};

}
