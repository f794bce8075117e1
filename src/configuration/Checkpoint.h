#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/ConfigurationState.h>

namespace marigoldpaddle {

// A checkpoint is a snapshot of the state as of an offset, split into records of the same stream. Equal states give
// equal parts, so that a checkpoint can be assembled from parts that different instances wrote.
struct CheckpointPart {
    std::uint64_t asOf { 0 }; // ConfigurationState::nextOffset() of the snapshot.
    std::size_t number { 0 };
    std::size_t count { 1 };
    std::string data;
};

// Whether a record is a part of a checkpoint or its placeholder, rather than a change. Does not parse the record.
bool isCheckpointPart(std::string_view record);

// A short record that replaces a part of a checkpoint for readers that need its offset but not its data.
std::string_view checkpointPlaceholder();

// Encodes a checkpoint of this state. Returns its records in order.
std::vector<std::string> encodeCheckpoint(const ConfigurationState& state);

// Empty if the record is not a part of a checkpoint, is a placeholder, or is damaged.
std::optional<CheckpointPart> decodeCheckpointPart(std::string_view record);

// Assembles checkpoints from their parts. Keeps the parts of the newest few incomplete checkpoints.
class CheckpointAssembler {
public:
    struct Assembled {
        std::uint64_t asOf { 0 };
        std::string snapshot;
    };

    // Adds a record of the stream. Returns the checkpoint that it completes, if any.
    std::optional<Assembled> add(std::string_view record);

private:
    std::map<std::uint64_t, std::vector<std::optional<std::string>>> partsByAsOf;
};

}
