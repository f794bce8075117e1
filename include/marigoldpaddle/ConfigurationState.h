#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/ConfigurationChange.h>
#include <marigoldpaddle/Preset.h>

namespace marigoldpaddle {

// The result of applying one record.
struct ChangeResult {
    std::string id;
    bool isAccepted { false };
    std::string explanation; // If refused: the conflicting section or preset and both revisions.
    std::optional<ConfigurationError> error; // Set if the change was refused.
    std::uint64_t offset { 0 }; // Of the change's record; of the first one if the change was appended twice.
};

// One applied change, accepted or refused.
struct HistoryEntry {
    ChangeResult verdict;
    ConfigurationChangeKind kind { ConfigurationChangeKind::Edit };
    std::string preset;
    std::vector<std::string> sections; // The first few sections that the change names.
    std::size_t sectionCount { 0 }; // Number of all sections that it names.
};

// The state that results from the records of the configuration stream. All readers that have applied the records up to
// the same offset have the same state, however the records reached them. Pure: no I/O, no clock.
//
// Changes are applied by compare-and-set on revisions. An edit is refused if a section that it names was changed,
// removed or deleted with its preset at or after the revision on which the edit is based; a use, if another preset was
// put in force since that revision; a delete, if the preset was changed since that revision or is in force. Other
// concurrent changes do not conflict. A change that was appended twice takes effect once: the second record is
// recognized by its id or, if the history no longer contains the id, conflicts with the effect of the first.
class ConfigurationState {
public:
    // Applies the record at `offset`. Records at any offset but nextOffset() are ignored. A malformed record is refused
    // and advances the offset; a checkpoint only advances the offset.
    ChangeResult apply(std::uint64_t offset, std::string_view record);

    // Continues at `offset` after the records before it were trimmed from the log. Their changes are not applied.
    void skipTo(std::uint64_t offset);

    // Returns the offset of the next record to apply, which is the revision of this state. It never falls.
    std::uint64_t nextOffset() const;

    // Returns the preset in force; null if no preset was put in force yet.
    std::shared_ptr<const Preset> presetInForce() const;
    const std::string& nameInForce() const;

    // Returns the offset of the change that put the present preset in force.
    std::uint64_t putInForceAt() const;

    const std::map<std::string, PresetSections, std::less<>>& presets() const;

    // Returns the typed form of a preset; null if there is no preset of this name.
    std::shared_ptr<const Preset> preset(std::string_view name) const;

    // Returns the offset of the last change of a section; empty if the section does not exist.
    std::optional<std::uint64_t> revisionOf(std::string_view preset, std::string_view section) const;

    // Returns the most recent changes, accepted and refused, oldest first.
    const std::deque<HistoryEntry>& history() const;

    // Returns the result of the change with this id; empty if the history does not contain it.
    std::optional<ChangeResult> findResult(std::string_view id) const;

    // Serializes the complete state as one record. Equal states have equal snapshots.
    std::string snapshot() const;

    // Replaces the state by a snapshot. Returns false and changes nothing if the snapshot is older than this state.
    boost::leaf::result<bool> restore(std::string_view snapshot);

private:
    friend class ConfigurationSnapshotCodec;

    struct Revisions {
        std::uint64_t last { 0 }; // Offset of the last change of any section.
        std::map<std::string, std::uint64_t, std::less<>> sections; // Offset of the last change, by section.
    };

    // A removed section or, if the section name is empty, a removed preset.
    struct Removal {
        std::uint64_t offset { 0 };
        std::string preset;
        std::string section;
    };

    static constexpr std::size_t MaximumHistoryEntries = 512;
    static constexpr std::size_t MaximumRemovals = 1024;

    ChangeResult evaluate(std::uint64_t offset, const ConfigurationChange& change);
    ChangeResult evaluateEdit(std::uint64_t offset, const ConfigurationChange& change);
    ChangeResult evaluateUse(std::uint64_t offset, const ConfigurationChange& change);
    ChangeResult evaluateDelete(std::uint64_t offset, const ConfigurationChange& change);
    std::string sectionConflict(const ConfigurationChange& change, std::string_view section) const;
    std::string missingPresetExplanation(std::string_view name) const;
    void applySections(std::uint64_t offset, const ConfigurationChange& change);
    void recordRemoval(Removal removal);
    void appendToHistory(const ConfigurationChange& change, const ChangeResult& verdict);

    std::map<std::string, PresetSections, std::less<>> presetsByName;
    std::map<std::string, Revisions, std::less<>> revisionsByName;
    std::map<std::string, std::shared_ptr<const Preset>, std::less<>> typedPresetsByName;
    std::deque<Removal> removals; // Ascending by offset.
    std::uint64_t removalFloor { 0 }; // Removals before this offset were dropped.
    std::deque<HistoryEntry> historyEntries; // See history().
    std::string inForce;
    std::uint64_t inForceSince { 0 };
    std::uint64_t next { 0 };
};

}
