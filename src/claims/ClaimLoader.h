#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include <marigoldpaddle/ClaimLedger.h>
#include <marigoldpaddle/PlatformLog.h>

namespace marigoldpaddle {

// Finds in a stream whose beginning was trimmed the checkpoints that a ledger can start from: for each shard the newest
// whole one whose later records are all still kept. Pure. The records are read a second time by the ledger.
class ClaimLoader {
public:
    // Scans from `firstKept` up to, not including, `end`.
    ClaimLoader(std::uint64_t firstKept, std::uint64_t end);

    void scan(const LogPage& page);

    // The offset to read next.
    std::uint64_t nextOffset() const;
    bool isDone() const;

    // Returns a ledger that starts from what was found at `readAt`. Shards without a checkpoint are incomplete.
    ClaimLedger makeLedger(TimePoint readAt);

private:
    void collect(std::uint64_t offset, ClaimCheckpoint part);

    std::uint64_t firstKept;
    std::uint64_t end;
    std::uint64_t next;
    std::map<std::uint64_t, ClaimCheckpoint> partial; // By id; `part` is the number of the last part found.
    std::map<std::uint32_t, ClaimCheckpoint> newest; // By shard.
};

}
