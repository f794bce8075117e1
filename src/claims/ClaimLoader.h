#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include <marigoldpaddle/ClaimLedger.h>
#include <marigoldpaddle/PlatformLog.h>

namespace marigoldpaddle {

// Finds the checkpoints from which a ledger can start if the beginning of the stream was trimmed: for each shard, the
// newest complete checkpoint whose subsequent records are all retained. Pure: no I/O. The ledger then reads the records
// again.
class ClaimLoader {
public:
    // Scans from `firstKept` up to, not including, `end`.
    ClaimLoader(std::uint64_t firstKept, std::uint64_t end);

    // Scans the next records. Records that were scanned before are ignored.
    void scan(const LogPage& page);

    // The offset to read next.
    std::uint64_t nextOffset() const;
    bool isDone() const;

    // Returns a ledger that starts from the checkpoints found; `readAt` is the time at which they were read. Shards
    // without a checkpoint are incomplete. To be called once.
    ClaimLedger makeLedger(TimePoint readAt);

private:
    void addPart(std::uint64_t offset, ClaimCheckpoint part);

    std::uint64_t firstKept;
    std::uint64_t end;
    std::uint64_t next;
    std::map<std::uint64_t, ClaimCheckpoint> incompleteCheckpoints; // By id; `part` is the last part found.
    std::map<std::uint32_t, ClaimCheckpoint> newestCheckpoints; // By shard.
};

}
