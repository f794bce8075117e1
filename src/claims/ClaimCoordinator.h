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

// Tells whether an instance that holds a claim is known to be gone.
class HolderLiveness {
public:
    virtual ~HolderLiveness() = default;

    // Whether membership counts this incarnation of the instance as dead or replaced.
    virtual bool isGone(const InstanceId& holder) const = 0;
};

struct ClaimCoordinatorOptions {
    std::size_t pendingLimit { 16'384 }; // Calls that wait for a verdict.
    std::size_t settlementLimit { 16'384 }; // Settlements that wait for the log.
    std::size_t entryLimit { 1'000'000 }; // Keys that the ledger may hold.
    std::size_t batchItems { 1024 };
    std::size_t batchBytes { 192 * 1024 }; // Outcomes and checkpoint parts of one record; the log takes 256 KiB.
    double appendsPerSecond { 240 }; // Shared by all instances; the rest of the log's appends is for other streams.
    double appendBurst { 4 };
    Duration tickPeriod { std::chrono::seconds { 30 } };
    Duration settleGrace { std::chrono::seconds { 5 } }; // For a settlement after the end of the allowed time.
    Duration maximumWindow { std::chrono::hours { 24 * 7 } }; // Keys are remembered for no longer than this.
    Duration refreshPeriod { std::chrono::minutes { 30 } }; // Every shard is checkpointed once in this time.
    std::size_t waitersPerKey { 2048 }; // Calls that wait for the outcome of one key.
    std::uint64_t checkpointSeed { 0 }; // Different for every process that writes checkpoints.
    Duration firstBackoff { std::chrono::milliseconds { 100 } };
    Duration maximumBackoff { std::chrono::seconds { 5 } };
};

using ClaimTicket = std::uint64_t; // Names one waiting call within this process.

// Returns a number for the checkpoints of one process; it counts on from there.
std::uint64_t checkpointSeedOf(const InstanceId& instance);

struct ClaimReply {
    ClaimTicket ticket { 0 };
    wire::ClaimAnswer answer;
};

struct ClaimReplies {
    std::vector<ClaimReply> claims;
    std::vector<ClaimTicket> settlements; // Their settlements stand in the log.
};

// Decides for the instance that owns idempotency keys when their claims are appended and what their callers are told.
// A pure state machine round a ClaimLedger: events and `now` in, replies and records to append out. Not thread-safe.
//
// Only one rule makes a call run: Won is answered when the ledger, read up to the claim, says that this request holds
// the key. A claim is ended before its window is over by the holder's own release alone, since only the holder knows
// that it has not sent the call; the owner never releases on its own.
class ClaimCoordinator {
public:
    // `liveness` must outlive the coordinator.
    ClaimCoordinator(const ClaimCoordinatorOptions& options, const HolderLiveness& liveness);

    // Starts from a ledger that was loaded from the log.
    void load(ClaimLedger ledger, TimePoint now);

    // Asks whether a call may be sent. Answered in the returned replies or in later ones, exactly once, and by
    // `deadline`.
    ClaimReplies submit(ClaimTicket ticket, const Claim& claim, TimePoint deadline, TimePoint now);

    // Records how a claimed call ended. Refused with false when too many settlements wait.
    bool settle(ClaimTicket ticket, const ClaimSettlementItem& item, ClaimReplies& replies, TimePoint now);

    // Applies records that were read from the log.
    ClaimReplies read(const LogPage& page, TimePoint now);
    ClaimReplies readFailed(TimePoint now);

    // Returns the record to append now, if any; then `appended` or `appendFailed` must follow before the next one.
    std::optional<std::string> nextAppend(TimePoint now);
    void appended(std::uint64_t offset);
    ClaimReplies appendFailed(PlatformError error, TimePoint now);

    // Lets time pass.
    ClaimReplies tick(TimePoint now);

    // Returns the earliest time at which `tick` or `nextAppend` may have something to do.
    TimePoint nextTick(TimePoint now) const;

    // Sets this instance's place among the live ones, from 0, and their number. The first writes checkpoints and ticks;
    // the others step in when it does not. All share the log's appends.
    void setRank(std::size_t rank, std::size_t instances);

    // Whether the log now holds a checkpoint of a shard that the ledger lacks, so that loading it again is worthwhile.
    bool isReloadDue() const;

    const ClaimLedger& ledger() const;
    std::size_t pending() const;
    bool isDown(TimePoint now) const;

private:
    enum class Stage {
        Waiting, // Nothing of this ask is on its way to the log.
        Queued,
        OnItsWay, // Handed to the log: not yet read back, and perhaps without an answer.
    };

    struct Ask {
        Claim claim;
        TimePoint deadline {};
        Stage stage { Stage::Waiting };
        bool mayLand { false };
    };

    // What one append carried, until it was read back or has to be repeated.
    struct Outstanding {
        std::vector<ClaimTicket> tickets;
        std::vector<ClaimReference> settlements;
        std::optional<std::uint32_t> checkpointedShard;
        std::optional<std::uint64_t> offset;
        bool isAnswered { false };
    };

    void judge(ClaimTicket ticket, TimePoint now, ClaimReplies& replies);
    void judgeKey(const ClaimDigest& key, TimePoint now, ClaimReplies& replies);
    void judgeHeld(
        ClaimTicket ticket, const Ask& ask, const ClaimLedger::Entry& entry, TimePoint now, ClaimReplies& replies);
    void propose(ClaimTicket ticket, TimePoint now, ClaimReplies& replies);
    void finish(ClaimTicket ticket, wire::ClaimAnswer answer, TimePoint now, ClaimReplies& replies);
    void finishUnavailable(ClaimTicket ticket, TimePoint now, ClaimReplies& replies);
    void finishCompleted(ClaimTicket ticket, const CallOutcome& outcome, TimePoint now, ClaimReplies& replies);
    void giveUpAll(TimePoint now, ClaimReplies& replies);
    void resolveOutstanding(std::uint64_t logEnd, TimePoint now, ClaimReplies& replies);
    bool isLostHolder(const ClaimLedger::Entry& entry, TimePoint now) const;
    void noteFailure(TimePoint now);
    bool takeAppendToken(TimePoint now);
    void addClaims(ClaimBatch& batch, TimePoint now);
    void addSettlements(ClaimBatch& batch);
    void addCheckpoint(ClaimBatch& batch, TimePoint now);
    bool isTickDue(TimePoint now) const;
    bool hasWork(TimePoint now) const;
    bool isCheckpointDue(TimePoint now) const;
    void addResets(ClaimBatch& batch, TimePoint now);
    bool isResetDue(std::uint32_t shard, TimePoint now) const;
    std::uint32_t stalestShard() const;
    bool isRecorded(const ClaimSettlementItem& item) const;
    void resolveSettlements(const Outstanding& append, ClaimReplies& replies);
    double appendTokensAt(TimePoint now) const;
    Duration staggered(Duration period) const;

    ClaimCoordinatorOptions options;
    const HolderLiveness& liveness;
    ClaimLedger claims;
    std::map<ClaimTicket, Ask> asks;
    std::unordered_map<ClaimDigest, std::vector<ClaimTicket>, ClaimDigestHash> ticketsByKey;
    std::unordered_map<ClaimDigest, ClaimTicket, ClaimDigestHash> candidates; // The one ask per key that is appended.
    std::set<std::pair<TimePoint, ClaimTicket>> deadlines;
    std::deque<ClaimTicket> queue;
    SettlementQueue settlements;
    std::vector<Outstanding> outstanding; // The last one is in flight while `isAppending`.
    std::deque<ClaimCheckpoint> checkpointParts;
    std::deque<ClaimReference> overdue;
    std::array<TimePoint, ClaimLedger::Shards> checkpointedAt {};
    std::array<TimePoint, ClaimLedger::Shards> claimSeenAt {}; // When a shard's last claim was read.
    std::uint64_t checkpointsMade { 0 };
    std::size_t rank { 0 };
    bool isAppending { false };
    std::chrono::duration<double> appendInterval;
    double appendTokens { 0 };
    TimePoint tokensAt {};
    TimePoint downUntil {};
    Duration backoff {};
    bool isReadFailing { false };
    bool sawMissingCheckpoint { false };
    TimePoint livenessAt {};
};

}
