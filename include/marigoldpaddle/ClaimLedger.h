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

// The first 16 bytes of a SHA-256; stands for an idempotency key, a body or a request id.
using ClaimDigest = std::array<std::uint8_t, 16>;

// Digests texts so that no two different lists of texts share a digest.
ClaimDigest claimDigest(std::initializer_list<std::string_view> texts);

// Hashes a digest for containers: its own bits are as good as any.
struct ClaimDigestHash {
    std::size_t operator()(const ClaimDigest& digest) const;
};

// Errors of the claims layer.
enum class ClaimError {
    MalformedRecord, // The record's checksum, encoding or a digest's length is wrong.
};

std::string_view name(ClaimError error);

// How a claimed call ended. A body above MaximumOutcomeBodyBytes is left out.
struct CallOutcome {
    int status { 0 };
    std::string contentType;
    std::string body;
    std::uint64_t omittedBodyBytes { 0 }; // Above 0: the size of a body that is not kept.

    bool operator==(const CallOutcome&) const = default;
};

inline constexpr std::size_t MaximumOutcomeBodyBytes = 8 * 1024;

// Returns the outcome as the ledger keeps it: without a body that is too large.
CallOutcome boundedOutcome(CallOutcome outcome);

// Claims the right to send the call with `key` once. Appended before the call is sent.
struct Claim {
    ClaimDigest key {};
    ClaimDigest body {};
    ClaimDigest request {};
    InstanceId holder;
    std::chrono::milliseconds window {}; // How long the key is remembered, from the claim on.
    std::chrono::milliseconds allowedTime {}; // What was left of the call's allowed time when the claim was made.
};

struct ClaimReference {
    ClaimDigest key {};
    ClaimDigest request {};

    auto operator<=>(const ClaimReference&) const = default;
};

struct ClaimSettled {
    ClaimReference claim;
    std::optional<CallOutcome> outcome; // Absent: the target may have executed the call, and nobody knows.
};

// At least `elapsed` passed between the append of the record at `anchor` and of the record that carries this.
struct ClaimTick {
    std::uint64_t anchor { 0 };
    std::chrono::milliseconds elapsed {};
};

enum class ClaimState {
    Claimed, // The holder may still send the call.
    Completed,
    Unknown, // The holder reported that the target may have executed the call.
};

struct ClaimCheckpointEntry {
    Claim claim;
    std::uint64_t claimedAt { 0 };
    std::chrono::milliseconds age {};
    ClaimState state { ClaimState::Claimed };
    std::optional<CallOutcome> outcome;
};

struct ClaimRelease {
    ClaimDigest request {};
    std::uint64_t releasedAt { 0 };
};

// One of `parts` pieces of a shard, as it was before the record at offset `asOf` was applied.
struct ClaimCheckpoint {
    std::uint32_t shard { 0 };
    std::uint64_t asOf { 0 };
    std::uint32_t part { 0 };
    std::uint32_t parts { 1 };
    std::vector<ClaimCheckpointEntry> entries;
    std::vector<ClaimRelease> releases;
    std::uint64_t id { 0 }; // Common to the parts; different for every writer and checkpoint.
    std::uint64_t claimsUpTo { 0 }; // See ClaimLedger: no claim of the shard landed at or after this offset.
    std::uint64_t foundAt { 0 }; // Where its reader found the last part; not encoded.
};

// One record of the claim stream. Applied in the order of its members.
struct ClaimBatch {
    std::uint64_t readUpTo { 0 }; // Its writer had applied every record below this offset.
    std::optional<ClaimTick> tick;
    std::vector<ClaimReference> expiries; // Claims whose window is over.
    std::vector<ClaimReference> releases; // Claims whose call was never sent and never will be.
    std::vector<ClaimSettled> outcomes;
    std::vector<Claim> claims;
    std::optional<ClaimCheckpoint> checkpoint;
    std::vector<std::uint32_t> resets; // Shards whose claims are lost and, by their age, over.
};

// What a record changed.
struct ClaimChanges {
    std::vector<ClaimDigest> keys; // Their entries changed, or claims of theirs were judged.
    std::optional<std::uint32_t> checkpointedShard; // The record was the last part of a shard's checkpoint.
};

std::string encodeBatch(const ClaimBatch& batch);
boost::leaf::result<ClaimBatch> decodeBatch(std::string_view record);

// Folds the claim stream: tells for each idempotency key which claim holds it. The first claim in log order holds its
// key until a record ends it; no lease and no clock take part in that, so every reader of the same records sees the
// same holder. Pure: no I/O. Not thread-safe.
//
// Time is used for one thing only: an owner may append the end of a claim once `isWindowOver` says so. That is judged
// by a lower bound of the claim's age, made of ticks in the log and the reader's own steady clock, so that a key is
// never forgotten before its window is over.
class ClaimLedger {
public:
    static constexpr std::uint32_t Shards = 64;

    // A claim is void when it lands more than this many offsets after what its writer had read.
    static constexpr std::uint64_t ClaimReach = 20'000;

    struct Entry {
        ClaimDigest body {};
        ClaimDigest request {};
        const InstanceId* holder { nullptr }; // Set while the state is Claimed.
        std::unique_ptr<CallOutcome> outcome; // Set while the state is Completed.
        std::uint64_t claimedAt { 0 };
        std::uint32_t tick { 0 };
        std::uint32_t carriedAgeMs { 0 };
        std::uint32_t windowMs { 0 };
        std::uint32_t allowedMs { 0 };
        ClaimState state { ClaimState::Claimed };
    };

    // A ledger that starts at offset 0 of the stream and holds the whole of it.
    ClaimLedger() = default;

    // A ledger that starts from checkpoints of a stream whose beginning was trimmed. `readAt` is when the checkpoints
    // were read. Shards that no checkpoint covers stay incomplete.
    ClaimLedger(std::uint64_t firstKept, std::vector<ClaimCheckpoint> checkpoints, TimePoint readAt);

    // Applies the record at `offset`, which was read at `readAt`. An offset below `nextOffset` is ignored, and a
    // record that cannot be decoded changes nothing but the offset.
    ClaimChanges apply(std::uint64_t offset, std::string_view record, TimePoint readAt);

    // The offset that the next record must have.
    std::uint64_t nextOffset() const;

    // Returns the entry that holds a key; null when the key is free.
    const Entry* find(const ClaimDigest& key) const;

    // Whether a claim was released: its request can never hold the key again.
    bool isReleased(const ClaimReference& claim) const;

    // Whether everything that was ever said about the key and still matters is known. A key must not be judged before.
    bool isComplete(const ClaimDigest& key) const;
    bool isShardComplete(std::uint32_t shard) const;
    bool isComplete() const;

    // Returns a lower bound of the time since the claim was appended.
    std::chrono::milliseconds age(const Entry& entry, TimePoint now) const;
    bool isWindowOver(const Entry& entry, TimePoint now) const;

    // Returns the tick that a record written now may carry.
    ClaimTick tickAt(TimePoint now) const;

    // Returns how long ago the last tick was read.
    Duration sinceTick(TimePoint now) const;

    // Returns the claims of a shard whose windows are over.
    std::vector<ClaimReference> overdue(std::uint32_t shard, TimePoint now) const;

    // Returns the shard as it is now, in parts of about `partBytes`. Empty if the shard is not complete.
    std::vector<ClaimCheckpoint> checkpoint(
        std::uint32_t shard, std::size_t partBytes, std::uint64_t id, TimePoint now) const;

    std::size_t size() const;
    std::size_t outcomeBytes() const;
    std::uint64_t unreadableRecords() const;

    static std::uint32_t shardOf(const ClaimDigest& key);

private:
    struct Shard {
        std::unordered_map<ClaimDigest, Entry, ClaimDigestHash> entries;
        std::unordered_map<ClaimDigest, std::uint64_t, ClaimDigestHash> releases; // Offset of the release, by request.
        std::deque<ClaimRelease> releaseOrder; // What `releases` holds, oldest first.
        std::uint64_t startsAt { 0 }; // Records below this offset are part of the checkpoint that it started from.
        std::uint64_t checkpointAt { 0 }; // Where that checkpoint was found.
        std::uint64_t claimsUpTo { 0 }; // No claim landed at or after this offset.
        bool isComplete { true };
    };

    static constexpr std::uint32_t TickNotReached = UINT32_MAX;

    void restore(ClaimCheckpoint checkpoint);
    void startAging(std::uint64_t offset, const ClaimCheckpoint& checkpoint);
    void applyTick(std::uint64_t offset, const std::optional<ClaimTick>& tick, TimePoint readAt);
    void applyExpiry(const ClaimReference& reference);
    void applyRelease(std::uint64_t offset, const ClaimReference& reference);
    static void addRelease(Shard& shard, const ClaimRelease& release);
    void applyOutcome(ClaimSettled settled);
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
    std::map<InstanceId, std::size_t> holders; // Number of entries that refer to each.
    std::vector<std::chrono::milliseconds> tickTimes { std::chrono::milliseconds { 0 } };
    std::optional<std::uint64_t> lastTickOffset;
    TimePoint lastTickReadAt {};
    std::uint64_t next { 0 };
    std::uint64_t unreadable { 0 };
    std::size_t outcomeBytesHeld { 0 };
    std::size_t entryCount { 0 };
};

}
