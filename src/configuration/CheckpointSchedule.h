#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string_view>

#include <marigoldpaddle/Clock.h>

#include "configuration/Checkpoint.h"
#include "configuration/ConfigurationTail.h"

namespace marigoldpaddle {

struct CheckpointSettings {
    Duration retention { std::chrono::hours { 24 } }; // How long the log keeps a record.
    double refreshShare { 0.4 }; // Of the retention: age at which a checkpoint is replaced.
    Duration rankDelay { std::chrono::seconds { 5 } }; // Delay between the writers of consecutive ranks.
    Duration retryDelay { std::chrono::seconds { 10 } }; // After a write that failed or was not seen in the stream.
};

// Decides when this instance writes a checkpoint. Every instance may write one, with a delay that grows with its rank.
// A checkpoint that appears in the stream during the delay postpones the write, so that usually only one instance
// writes; duplicate checkpoints are harmless. Does no I/O and reads no clock.
class CheckpointSchedule {
public:
    CheckpointSchedule(CheckpointSettings settings, std::uint64_t seed);

    // The position of this instance among those that may write, from 0.
    void setRank(std::size_t rank);

    // Records that this instance has reached an offset. The age of a checkpoint is estimated from these samples.
    void observeOwnOffset(std::uint64_t offset, TimePoint now);

    // Processes a record of the stream. A valid checkpoint that it completes postpones the next write.
    void observeRecord(std::string_view record, TimePoint now);

    // Processes the bounds of the log that a read returned. A checkpoint that is about to be trimmed is replaced early,
    // because the log may keep records for less than `retention`.
    void observeLogBounds(std::uint64_t firstKept, std::uint64_t next, TimePoint now);

    // Processes the newest checkpoint that a peer reports.
    void observePeerCheckpoint(const CheckpointAge& checkpoint, TimePoint now);

    // Records that a write was started. The retry delay applies until a newer checkpoint is observed.
    void recordWrite(TimePoint now);

    // The newest checkpoint that was observed in the stream or reported by a peer.
    std::optional<CheckpointAge> newestCheckpoint(TimePoint now) const;

    // `since` plus the delay of this instance by rank and jitter, to stagger a write that became due for all instances
    // at `since`; later if the retry delay of an earlier write has not passed by then.
    TimePoint staggeredTime(TimePoint since) const;

    // When this instance writes the next checkpoint. `readySince` is when it became ready to write; no write is due
    // before then.
    TimePoint nextWriteTime(TimePoint readySince) const;

private:
    struct Sample {
        std::uint64_t offset { 0 };
        TimePoint at {};
    };
    struct ObservedCheckpoint {
        std::uint64_t asOf { 0 };
        TimePoint takenAt {};
    };

    void updateNewest(const ObservedCheckpoint& observed);

    CheckpointSettings settings;
    std::mt19937_64 random;
    std::size_t rank { 0 };
    Duration jitter {};
    std::deque<Sample> samples;
    CheckpointAssembler assembler;
    std::optional<ObservedCheckpoint> newest;
    std::optional<TimePoint> nearTrimSince; // Since when the newest checkpoint is among the oldest records of the log.
    std::optional<TimePoint> retryNotBefore;
};

}
