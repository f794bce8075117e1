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

// What one reader of the configuration stream hands to another.
struct ConfigurationUpdate {
    std::uint64_t offset { 0 }; // ConfigurationState::nextOffset() of the sender.
    std::vector<LogRecord> records; // From the offset asked for on, without a gap; empty if there is a snapshot.
    std::optional<std::string> snapshot;
    std::optional<CheckpointAge> checkpoint; // Empty if the sender does not know it.
    bool isCurrent { false }; // Whether the sender itself was current at some time since its start.
};

// Brings a state up to an update. Returns whether the state moved. Anything unreadable in it moves nothing.
bool applyUpdate(ConfigurationState& state, const ConfigurationUpdate& update);

// Keeps the last records that were applied, for readers that are a little behind. Bounded in records and bytes.
class ConfigurationTail {
public:
    // Takes the record that was applied last. Checkpoints are kept as placeholders.
    void add(std::uint64_t offset, std::string_view record);

    // Forgets everything: the state was taken from a snapshot and moved past what the tail holds.
    void clear();

    // What a reader that has applied everything before `known` needs to reach `state`.
    ConfigurationUpdate since(std::uint64_t known, const ConfigurationState& state);

private:
    std::deque<LogRecord> records;
    std::size_t bytes { 0 };
    std::uint64_t snapshotOffset { 0 };
    std::string cachedSnapshot;
};

}
