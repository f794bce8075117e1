#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>

namespace marigoldpaddle {

// The first 16 bytes of a SHA-256 digest of an idempotency key, a body or a request id.
using ClaimDigest = std::array<std::uint8_t, 16>;

// Digests a list of texts. The boundaries between the texts are part of the input, so { "ab", "c" } and { "a", "bc" }
// have different digests.
ClaimDigest claimDigest(std::initializer_list<std::string_view> texts);

// Hash function for containers. Returns bytes of the digest, which are already uniformly distributed.
struct ClaimDigestHash {
    std::size_t operator()(const ClaimDigest& digest) const;
};

// Errors of the claims layer.
enum class ClaimError {
    MalformedRecord, // The record's checksum, encoding or a digest's length is wrong.
};

std::string_view name(ClaimError error);

// The response to a claimed call. A body larger than MaximumOutcomeBodyBytes is omitted.
struct CallOutcome {
    int status { 0 }; // HTTP status.
    std::string contentType;
    std::string body;
    std::uint64_t omittedBodyBytes { 0 }; // Size of an omitted body; 0 if the body is kept.

    bool operator==(const CallOutcome&) const = default;
};

inline constexpr std::size_t MaximumOutcomeBodyBytes = 8 * 1024;

// Returns the outcome as the ledger stores it, without a body larger than MaximumOutcomeBodyBytes.
CallOutcome boundedOutcome(CallOutcome outcome);

// Claims the exclusive right to send the call with `key`. The record is appended to the log before the call is sent.
struct Claim {
    ClaimDigest key {};
    ClaimDigest body {};
    ClaimDigest request {};
    InstanceId holder; // The gateway instance that sends the call.
    std::chrono::milliseconds window {}; // How long the key is remembered after the claim.
    std::chrono::milliseconds allowedTime {}; // Remaining allowed time of the call when the claim was made.
};

// Identifies one claim: its key and the request that made it.
struct ClaimReference {
    ClaimDigest key {};
    ClaimDigest request {};

    auto operator<=>(const ClaimReference&) const = default;
};

// The final result of a claimed call.
struct SettledClaim {
    ClaimReference claim;
    std::optional<CallOutcome> outcome; // Absent if it is unknown whether the target executed the call.
};

// A time measurement in the log: at least `elapsed` passed between the append of the record at offset `anchor` and the
// append of the record that contains this tick.
struct ClaimTick {
    std::uint64_t anchor { 0 };
    std::chrono::milliseconds elapsed {};
};

enum class ClaimState {
    Claimed, // The call has no recorded outcome. The holder may still send it.
    Completed, // The outcome is recorded.
    Unknown, // It is unknown whether the target executed the call.
};

// The entry of one key in a checkpoint.
struct ClaimCheckpointEntry {
    Claim claim;
    std::uint64_t claimedAt { 0 }; // Offset of the record that contains the claim.
    std::chrono::milliseconds age {}; // Lower bound of the claim's age when the checkpoint was written.
    ClaimState state { ClaimState::Claimed };
    std::optional<CallOutcome> outcome;
};

// A released claim in a checkpoint.
struct ClaimRelease {
    ClaimDigest request {};
    std::uint64_t releasedAt { 0 }; // Offset of the record that contains the release.
};

// One part of a checkpoint: the state of a shard after all records below offset `asOf`, split into `parts` parts.
struct ClaimCheckpoint {
    std::uint32_t shard { 0 };
    std::uint64_t asOf { 0 };
    std::uint32_t part { 0 }; // Index of this part.
    std::uint32_t parts { 1 }; // Number of parts.
    std::vector<ClaimCheckpointEntry> entries;
    std::vector<ClaimRelease> releases;
    std::uint64_t id { 0 }; // The same for all parts; unique for each writer and checkpoint.
    std::uint64_t claimsUpTo { 0 }; // No claim of the shard is at or after this offset, up to `asOf`.
    std::uint64_t lastPartOffset { 0 }; // Offset at which the reader found the last part; not encoded.
};

// One record of the claim stream. Its members are applied in the order of their declaration.
struct ClaimBatch {
    std::uint64_t readUpTo { 0 }; // The writer had applied all records below this offset.
    std::optional<ClaimTick> tick;
    std::vector<ClaimReference> expiries; // Claims whose window has passed.
    std::vector<ClaimReference> releases; // Claims whose call was not sent and never will be.
    std::vector<SettledClaim> outcomes;
    std::vector<Claim> claims;
    std::optional<ClaimCheckpoint> checkpoint;
    std::vector<std::uint32_t> resets; // Shards whose claims were trimmed from the log and have passed their windows.
};

// The effect of one record.
struct ClaimChanges {
    std::vector<ClaimDigest> keys; // Keys that the record refers to. Their entries may have changed.
    std::optional<std::uint32_t> checkpointedShard; // Set if the record was the last part of a shard's checkpoint.
};

std::string encodeBatch(const ClaimBatch& batch);
boost::leaf::result<ClaimBatch> decodeBatch(std::string_view record);

// The state that results from the records of the claim stream: which claim holds each idempotency key. The first claim
// in log order holds its key until a later record expires or releases it. There are no leases, and clocks have no
// influence on who holds a key, so all readers of the same records agree. Pure: no I/O. Not thread-safe.
//
// Time is used only to expire claims: the owner of a key may append an expiry once `isWindowExpired` returns true. The
// age of a claim is a lower bound, computed from the ticks in the log and the reader's steady clock, so a key is never
// dropped before its window has passed.
class ClaimLedger {
public:
    static constexpr std::uint32_t Shards = 64;

    // A claim is ignored if its record is more than this many offsets beyond what its writer had read. Releases older
    // than that can therefore be dropped.
    static constexpr std::uint64_t MaximumClaimLag = 20'000;

    // The claim that holds a key.

    struct Entry {
        ClaimDigest body {};
        ClaimDigest request {};
        const InstanceId* holder { nullptr }; // Set while the state is Claimed.
        std::unique_ptr<CallOutcome> outcome; // Set while the state is Completed.
        std::uint64_t claimedAt { 0 }; // Offset of the record that contains the claim.
        std::uint32_t tick { 0 }; // Index of the last tick before the claim or, if restored, before its checkpoint.
        std::uint32_t ageAtCheckpointMs { 0 }; // Age stored in the checkpoint from which the entry was restored.
        std::uint32_t windowMs { 0 };
        std::uint32_t allowedMs { 0 };
        ClaimState state { ClaimState::Claimed };
    };

    // Creates a ledger that starts at offset 0 of the stream.
    ClaimLedger() = default;

    // Creates a ledger from the checkpoints of a stream whose records before `firstKept` were trimmed. `readAt` is the
    // time at which the checkpoints were read. Shards without a checkpoint are incomplete, unless `firstKept` is 0.
    ClaimLedger(std::uint64_t firstKept, std::vector<ClaimCheckpoint> checkpoints, TimePoint readAt);

    // Applies the record at `offset`, which was read at `readAt`. An offset below `nextOffset` is ignored, and a record
    // that cannot be decoded changes nothing but the offset.
    ClaimChanges apply(std::uint64_t offset, std::string_view record, TimePoint readAt);

    // Returns the offset of the next record to apply.
    std::uint64_t nextOffset() const;

    // Returns the claim that holds a key; null if there is none.
    const Entry* find(const ClaimDigest& key) const;

    // Returns whether a claim was released. A later claim of the same request is ignored.
    bool isReleased(const ClaimReference& claim) const;

    // Return whether all records that affect the key, the shard or any key are known. Before that, find() may miss the
    // claim that holds a key.
    bool isComplete(const ClaimDigest& key) const;
    bool isShardComplete(std::uint32_t shard) const;
    bool isComplete() const;

    // Returns a lower bound of the time since the claim was appended.
    std::chrono::milliseconds age(const Entry& entry, TimePoint now) const;

    // Returns whether the claim is older than its window, allowing for clocks that run at slightly different rates.
    bool isWindowExpired(const Entry& entry, TimePoint now) const;

    // Returns the tick for a record that is written at `now`.
    ClaimTick makeTick(TimePoint now) const;

    // Returns the time since the last accepted tick was read.
    Duration timeSinceLastTick(TimePoint now) const;

    // Returns the claims of a shard whose windows have passed.
    std::vector<ClaimReference> expiredClaims(std::uint32_t shard, TimePoint now) const;

    // Returns a checkpoint of the shard in parts of about `partBytes` bytes each; empty if the shard is incomplete.
    std::vector<ClaimCheckpoint> checkpoint(
        std::uint32_t shard, std::size_t partBytes, std::uint64_t id, TimePoint now) const;

    // Returns the number of keys that are held.
    std::size_t size() const;

    // Returns the total size of all stored outcome bodies in bytes.
    std::size_t outcomeBytes() const;

    // Returns how many records could not be decoded.
    std::uint64_t malformedRecords() const;

    static std::uint32_t shardOf(const ClaimDigest& key);

private:
    struct Shard {
        std::unordered_map<ClaimDigest, Entry, ClaimDigestHash> entries;
        std::unordered_map<ClaimDigest, std::uint64_t, ClaimDigestHash> releases; // Offset of the release, by request.
        std::deque<ClaimRelease> releaseOrder; // The releases, oldest first.
        std::uint64_t appliesFromOffset { 0 }; // Records below this offset do not apply: the checkpoint includes them.
        std::uint64_t checkpointEndOffset { 0 }; // Offset of the last part of the checkpoint.
        std::uint64_t claimsUpTo { 0 }; // No claim was read at or after this offset.
        bool isComplete { true };
    };

    static constexpr std::uint32_t CheckpointNotReached
        = UINT32_MAX; // The record of the entry's checkpoint was not read yet.

    void restore(ClaimCheckpoint checkpoint);
    void startAgeMeasurement(std::uint64_t offset, const ClaimCheckpoint& checkpoint);
    void applyTick(std::uint64_t offset, const std::optional<ClaimTick>& tick, TimePoint readAt);
    void applyExpiry(const ClaimReference& reference);
    void applyRelease(std::uint64_t offset, const ClaimReference& reference);
    static void addRelease(Shard& shard, const ClaimRelease& release);
    void applyOutcome(SettledClaim settled);
    void applyClaim(std::uint64_t offset, std::uint64_t readUpTo, const Claim& claim);
    void applyReset(std::uint64_t offset, std::uint64_t readUpTo, std::uint32_t number);
    Shard& shardFor(const ClaimDigest& key);
    const Shard& shardFor(const ClaimDigest& key) const;
    Entry* findHeldBy(const ClaimReference& reference);
    void erase(const ClaimReference& reference);
    void dropContents(Entry& entry);
    void setOutcome(Entry& entry, std::optional<CallOutcome> outcome);
    const InstanceId* retainHolder(const InstanceId& holder);
    void dropHolder(Entry& entry);
    ClaimCheckpointEntry checkpointEntry(const ClaimDigest& key, const Entry& entry, TimePoint now) const;
    std::uint32_t currentTick() const;

    std::array<Shard, Shards> shards;
    std::map<InstanceId, std::size_t> holders; // Number of entries that point to each holder.
    std::vector<std::chrono::milliseconds> tickTimes { std::chrono::milliseconds { 0 } };
    std::optional<std::uint64_t> lastTickOffset;
    TimePoint lastTickReadAt {};
    std::uint64_t next { 0 };
    std::uint64_t malformedRecordCount { 0 };
    std::size_t outcomeBytesHeld { 0 };
    std::size_t entryCount { 0 };
};

}
