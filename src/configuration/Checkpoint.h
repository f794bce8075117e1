#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/ConfigurationState.h>

namespace marigoldpaddle {

// A checkpoint is the snapshot of the state as of an offset, cut into records of the same stream. Equal states give
// equal parts, so that parts of one checkpoint may come from different writers.
struct CheckpointPart {
    std::uint64_t asOf { 0 }; // ConfigurationState::nextOffset() of the snapshot.
    std::size_t number { 0 };
    std::size_t count { 1 };
    std::string data;
};

// Tells a part of a checkpoint from a change, without parsing it.
bool isCheckpointPart(std::string_view record);

// A record that stands for a part of a checkpoint towards readers that follow the stream and need no checkpoint.
std::string_view checkpointPlaceholder();

// The records of a checkpoint of this state, in order.
std::vector<std::string> checkpointOf(const ConfigurationState& state);

// Empty if the record is no part of a checkpoint, a placeholder, or damaged.
std::optional<CheckpointPart> decodeCheckpointPart(std::string_view record);

// Puts the parts of checkpoints together. Keeps the parts of the newest few only.
class CheckpointAssembler {
public:
    struct Assembled {
        std::uint64_t asOf { 0 };
        std::string snapshot;
    };

    // Takes a record of the stream. Returns the checkpoint that it completes.
    std::optional<Assembled> add(std::string_view record);

private:
    std::map<std::uint64_t, std::vector<std::optional<std::string>>> partsByOffset;
};

}
