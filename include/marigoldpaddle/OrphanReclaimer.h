#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/Target.h>

namespace marigoldpaddle {

// The parts of a request id. A request id has the form `<instance>-<incarnation>-<sequence>`. Engines hold memory under
// an attempt id, `<instance>-<incarnation>-<sequence>.<attempt>`, so every process can determine the gateway instance
// that owns an allocation from the id alone.
struct RequestOrigin {
    InstanceId owner; // The gateway incarnation that created the id.
    std::uint64_t sequence { 0 };
    std::uint64_t attempt { 0 }; // 0 if the id has no attempt number.
};

RequestId makeRequestId(const InstanceId& owner, std::uint64_t sequence);
RequestId makeAttemptId(const RequestId& request, std::uint64_t attempt);

// Parses an id created by makeRequestId or makeAttemptId; empty for any other text.
std::optional<RequestOrigin> originOf(const RequestId& id);

// A command to cancel an allocation on a target. Cancelling is idempotent.
struct CancelAllocation {
    std::string target;
    RequestId id;

    auto operator<=>(const CancelAllocation&) const = default;
};

// Detects orphaned allocations on the engines of a cell, those whose owning gateway has failed, was replaced or no
// longer uses them, and returns commands to cancel them. Pure: no I/O, no clock. Not thread-safe. Several orphan
// reclaimers of one cell may run concurrently: every command is idempotent, and none cancels an allocation that a live
// gateway announces.
class OrphanReclaimer {
public:
    // Records a grant that was issued to a gateway. The gateway may omit it from its announcements until `expiry`.
    void noteGrant(const RequestId& id, std::span<const GrantPart> parts, TimePoint expiry, TimePoint now);

    // Records that the owning gateway reported the end of a request and has freed its allocations.
    void noteFinished(const RequestId& id);

    // Records the complete list of requests that one gateway incarnation has in flight in the cell, as of `now`.
    void noteHoldings(const InstanceId& owner, std::span<const Holding> holdings, TimePoint now);

    // Records that this instance was in contact with other instances at `now`. A gateway can be presumed dead only
    // while this contact is recent. After a process pause or a network partition the timeout of every gateway starts
    // again, so that live gateways have time to announce.
    void noteConnected(TimePoint now);

    // Records the load report of an engine.
    void noteReport(const LoadReport& report, TimePoint now);

    // Records that a target confirmed a cancel: it holds no allocation under this id.
    void noteCancelled(const CancelAllocation& cancelled);

    // Drops entries of replaced gateways and entries that their owner no longer announces, without issuing cancels. For
    // an orphan reclaimer whose instance does not own the cell.
    void dropReleased(TimePoint now);

    // Drops everything recorded for a target whose memory is lost.
    void removeTarget(std::string_view target);

    // Returns the cancels to send now. An unconfirmed cancel is returned again after a delay.
    std::vector<CancelAllocation> decide(TimePoint now);

    // Returns by how many tokens the latest report of a target exceeds the recorded allocations; 0 for targets whose
    // reports list their allocations.
    std::uint64_t unaccountedTokens(std::string_view target) const;

    // Returns the number of recorded allocations.
    std::size_t size() const;

private:
    // One allocation.
    struct Entry {
        std::uint64_t tokens { 0 };
        TimePoint startedAt {}; // From then on, plus a grace period, the owner's announcements list the allocation.
        TimePoint firstSeen {}; // When this orphan reclaimer first recorded it.
        TimePoint cancelledAt {}; // When a cancel was last returned; the epoch if never.
        bool isReported { false }; // The engine's own report has listed it.
    };

    struct Announcement {
        TimePoint at {};
        std::set<RequestId> ids;
    };

    using Key = CancelAllocation;

    bool isOrphan(const Key& key, const Entry& entry, TimePoint now) const;
    bool isReleasedByOwner(const Key& key, const InstanceId& owner, const Entry& entry) const;
    bool isReplaced(const InstanceId& instance) const;
    bool isPresumedDead(const InstanceId& instance, const Entry& entry, TimePoint now) const;
    void dropInactiveGateways(TimePoint now);
    void reconcileUsedTokens(const LoadReport& report, TimePoint now);
    void addCandidateIds(const std::string& target, TimePoint now);
    void noteSequence(const RequestId& id);

    std::map<Key, Entry> entries;
    std::map<InstanceId, Announcement> announcements;
    std::map<std::string, std::uint64_t, std::less<>> newestIncarnation; // Highest announced, by instance name.
    TimePoint lastConnectedAt {}; // Last recorded contact with other instances.
    TimePoint connectedSince {}; // Start of the current uninterrupted period of contact.
    std::map<InstanceId, std::uint64_t> highestSequence; // Highest request sequence number seen of each gateway.
    std::map<std::string, std::uint64_t, std::less<>> unaccounted; // See unaccountedTokens(), by target name.
};

}
