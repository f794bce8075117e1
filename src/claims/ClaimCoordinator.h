#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include <marigoldpaddle/ClaimLedger.h>
#include <marigoldpaddle/PlatformLog.h>

#include "claims/SettlementQueue.h"
#include "marigold_types.h"

namespace marigoldpaddle {

// Liveness of the instances that hold claims, as seen by the membership.
class HolderLiveness {
public:
    virtual ~HolderLiveness() = default;

    // Returns whether this incarnation of the instance is considered dead or replaced.
    virtual bool isDeadOrReplaced(const InstanceId& holder) const = 0;
};

struct ClaimCoordinatorOptions {
    std::size_t pendingLimit { 16'384 }; // Calls that wait for a verdict.
    std::size_t settlementLimit { 16'384 }; // Settlements that are not recorded in the log yet.
    std::size_t entryLimit { 1'000'000 }; // Keys in the ledger and the queue above which new claims are refused.
    std::size_t batchItems { 1024 }; // Settlements, claims and expiries of one record, each.
    std::size_t batchBytes { 192 * 1024 }; // Outcomes and checkpoint part of one record, each; the log accepts 256 KiB.
    double appendsPerSecond { 240 }; // Shared by all instances. The log's other appends are reserved for other streams.
    double appendBurst { 4 };
    Duration tickPeriod { std::chrono::seconds { 30 } };
    Duration settlementGrace { std::chrono::seconds { 5 } }; // Wait for a settlement after the allowed time.
    Duration maximumWindow { std::chrono::hours { 24 * 7 } }; // Longest time for which a key is remembered.
    Duration checkpointPeriod { std::chrono::minutes { 30 } }; // Every shard is checkpointed once in this time.
    std::size_t waitersPerKey { 2048 }; // Calls that wait for the outcome of one key.
    std::uint64_t firstCheckpointId { 0 }; // Different for every process that writes checkpoints.
    Duration firstBackoff { std::chrono::milliseconds { 100 } };
    Duration maximumBackoff { std::chrono::seconds { 5 } };
};

using ClaimTicket = std::uint64_t; // Identifies a waiting call or settlement within this process.

// Returns the first checkpoint id of a process, different for every incarnation; its later checkpoints count up from
// it.
std::uint64_t firstCheckpointIdOf(const InstanceId& instance);

struct ClaimReply {
    ClaimTicket ticket { 0 };
    wire::ClaimAnswer answer;
};

struct ClaimReplies {
    std::vector<ClaimReply> claims;
    std::vector<ClaimTicket> settlements; // Tickets whose settlements are recorded in the log.
};

// Runs on the instance that owns idempotency keys. Decides when claims are appended to the log and which verdicts the
// callers get. A pure state machine around a ClaimLedger: events and `now` in, replies and records to append out. Not
// thread-safe.
//
// A call may be sent only after the verdict Won, which is given once the ledger, read up to the claim, shows that this
// request holds the key. Before its window is over, a claim is ended only by a release from its holder, because no
// other instance can determine that the call was not sent; the owner never releases a claim itself.
class ClaimCoordinator {
public:
    // `liveness` must outlive the coordinator.
    ClaimCoordinator(const ClaimCoordinatorOptions& options, const HolderLiveness& liveness);

    // Starts from a ledger that was loaded from the log, or replaces the ledger by one that was loaded again.
    void load(ClaimLedger ledger, TimePoint now);

    // Requests a verdict on whether a call may be sent. It is given exactly once, in the returned or in later replies,
    // at `deadline` at the latest.
    ClaimReplies submit(ClaimTicket ticket, const Claim& claim, TimePoint deadline, TimePoint now);

    // Records how a claimed call ended. Returns false if the queue of settlements is full.
    bool settle(ClaimTicket ticket, const ClaimSettlementItem& item, ClaimReplies& replies, TimePoint now);

    // Applies records that were read from the log.
    ClaimReplies read(const LogPage& page, TimePoint now);

    // Handles a failed read: replies to all waiting calls and starts a back-off.
    ClaimReplies readFailed(TimePoint now);

    // Returns the record to append now, if any. `appended` or `appendFailed` must be called before the next one is
    // returned.
    std::optional<std::string> nextAppend(TimePoint now);
    void appended(std::uint64_t offset);
    ClaimReplies appendFailed(PlatformError error, TimePoint now);

    // Expires deadlines and periodically re-evaluates the waiting calls, whose holders may have died.
    ClaimReplies tick(TimePoint now);

    // Returns the earliest time at which `tick` or `nextAppend` may have something to do.
    TimePoint nextTick(TimePoint now) const;

    // Sets this instance's rank among the live instances, from 0, and their number. Rank 0 writes the checkpoints and
    // ticks; higher ranks write them after a delay if they are missing. All instances share the append rate.
    void setRank(std::size_t rank, std::size_t instances);

    // Returns whether the log now contains a checkpoint of a shard that is incomplete in the ledger, so that the ledger
    // should be loaded again.
    bool isReloadDue() const;

    const ClaimLedger& ledger() const;

    // Returns the number of calls that wait for a verdict.
    std::size_t pending() const;

    // Returns whether the log counts as unavailable: a read or an append has failed and its back-off is not over.
    bool isDown(TimePoint now) const;

private:
    enum class Stage {
        Waiting, // No append of this call's claim is queued or in flight.
        Queued, // The claim is queued to be appended.
        InFlight, // The claim was passed to the log and has not been read back.
    };

    struct PendingCall {
        Claim claim;
        TimePoint deadline {};
        Stage stage { Stage::Waiting };
        bool mayLand { false }; // An append of the claim failed without a definite result.
    };

    // The contents of one append, until it was read back or has to be repeated.
    struct PendingAppend {
        std::vector<ClaimTicket> tickets;
        std::vector<ClaimReference> settlements;
        std::optional<std::uint32_t> checkpointedShard;
        std::optional<std::uint64_t> offset;
        bool isAnswered { false }; // The append has ended, with or without an offset.
    };

    void evaluate(ClaimTicket ticket, TimePoint now, ClaimReplies& replies);
    void evaluateKey(const ClaimDigest& key, TimePoint now, ClaimReplies& replies);
    void evaluateHeldKey(ClaimTicket ticket, const PendingCall& call, const ClaimLedger::Entry& entry, TimePoint now,
        ClaimReplies& replies);
    void queueClaim(ClaimTicket ticket, TimePoint now, ClaimReplies& replies);
    void replyTo(ClaimTicket ticket, wire::ClaimAnswer answer, TimePoint now, ClaimReplies& replies);
    void replyUnavailable(ClaimTicket ticket, TimePoint now, ClaimReplies& replies);
    void replyRepeated(ClaimTicket ticket, const CallOutcome& outcome, TimePoint now, ClaimReplies& replies);
    void failAllPending(TimePoint now, ClaimReplies& replies);
    void resolveAppends(std::uint64_t logEnd, TimePoint now, ClaimReplies& replies);
    bool isHolderLost(const ClaimLedger::Entry& entry, TimePoint now) const;
    void startBackoff(TimePoint now);
    bool takeAppendToken(TimePoint now);
    void addClaims(ClaimBatch& batch, TimePoint now);
    void addSettlements(ClaimBatch& batch);
    void addCheckpoint(ClaimBatch& batch, TimePoint now);
    bool isTickDue(TimePoint now) const;
    bool hasWork(TimePoint now) const;
    bool isCheckpointDue(TimePoint now) const;
    void addResets(ClaimBatch& batch, TimePoint now);
    bool isResetDue(std::uint32_t shard, TimePoint now) const;
    std::uint32_t shardWithOldestCheckpoint() const;
    bool isRecorded(const ClaimSettlementItem& item) const;
    void resolveSettlements(const PendingAppend& append, ClaimReplies& replies);
    double appendTokensAt(TimePoint now) const;
    Duration staggered(Duration period) const;

    ClaimCoordinatorOptions options;
    const HolderLiveness& liveness;
    ClaimLedger claims;
    std::map<ClaimTicket, PendingCall> pendingCalls;
    std::unordered_map<ClaimDigest, std::vector<ClaimTicket>, ClaimDigestHash> ticketsByKey;
    std::unordered_map<ClaimDigest, ClaimTicket, ClaimDigestHash> candidates; // The only call per key to be appended.
    std::set<std::pair<TimePoint, ClaimTicket>> deadlines;
    std::deque<ClaimTicket> queue;
    SettlementQueue settlements;
    std::vector<PendingAppend> pendingAppends; // While `isAppending`, the last one is in flight.
    std::deque<ClaimCheckpoint> checkpointParts;
    std::deque<ClaimReference> pendingExpiries; // Overdue claims whose expiry has not been appended.
    std::array<TimePoint, ClaimLedger::Shards> checkpointedAt {};
    std::array<TimePoint, ClaimLedger::Shards> claimReadAt {}; // When a shard's last claim was read.
    std::uint64_t checkpointsMade { 0 };
    std::size_t rank { 0 };
    bool isAppending { false };
    std::chrono::duration<double> appendInterval;
    double appendTokens { 0 };
    TimePoint tokensUpdatedAt {};
    TimePoint downUntil {};
    Duration backoff {};
    bool isReadFailing { false };
    bool hasSeenMissingCheckpoint { false };
    TimePoint nextLivenessCheck {};
};

}
