#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/PlatformLog.h>

namespace marigoldpaddle {

// How long ago the newest checkpoint in the log was taken.
struct CheckpointAge {
    std::uint64_t asOf { 0 };
    Duration age {};
};

// What one reader of the configuration stream sends to another.
struct ConfigurationUpdate {
    std::uint64_t offset { 0 }; // ConfigurationState::nextOffset() of the sender.
    std::vector<LogRecord> records; // From the requested offset on, without a gap; empty if there is a snapshot.
    std::optional<std::string> snapshot;
    std::optional<CheckpointAge> checkpoint; // Empty if the sender has not observed one.
    // Whether the state of the sender was current at some time since its start; see ConfigurationFollower::isReady().
    bool isCurrent { false };
};

// Applies an update to a state. Returns whether the offset of the state advanced. A snapshot that cannot be read leaves
// the state unchanged; a record that cannot be read only advances the offset.
bool applyUpdate(ConfigurationState& state, const ConfigurationUpdate& update);

// Keeps the most recently applied records, for readers that are a few records behind. Bounded in records and bytes.
class ConfigurationTail {
public:
    // Adds the record that was applied last. Parts of checkpoints are stored as placeholders.
    void add(std::uint64_t offset, std::string_view record);

    // Removes all records. Needed after the state was restored from a snapshot, because the records then have a gap.
    void clear();

    // The update that brings a reader that has applied all records before `knownOffset` up to `state`: records if they
    // are still kept, otherwise a snapshot.
    ConfigurationUpdate updateSince(std::uint64_t knownOffset, const ConfigurationState& state);

private:
    std::deque<LogRecord> records;
    std::size_t bytes { 0 };
    std::uint64_t cachedSnapshotOffset { 0 };
    std::string cachedSnapshot;
};

}
