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

// Names the gateway run that made a request id. Ids have the form `<instance>-<incarnation>-<sequence>`, and those
// under which an engine holds memory `<instance>-<incarnation>-<sequence>.<attempt>`, so that every process can tell
// the owner of an allocation from the id alone.
struct RequestOrigin {
    InstanceId owner;
    std::uint64_t sequence { 0 };
    std::uint64_t attempt { 0 }; // 0 when the id names none.
};

RequestId makeRequestId(const InstanceId& owner, std::uint64_t sequence);
RequestId makeAttemptId(const RequestId& request, std::uint64_t attempt);

// Reads an id that one of the two functions above made; empty for any other.
std::optional<RequestOrigin> originOf(const RequestId& id);

// Asks for an allocation to be cancelled on a target. Cancelling is idempotent.
struct CancelAllocation {
    std::string target;
    RequestId id;

    auto operator<=>(const CancelAllocation&) const = default;
};

// Decides which allocations on the engines of a cell have no living owner. Pure; not thread-safe. Several stewards of
// the same cell do no harm, since all that they ask for is idempotent and none cancels what a living gateway holds.
class Steward {
public:
    // A gateway was given a grant. Until `expiry` it need not have announced it.
    void noteGrant(const RequestId& id, std::span<const GrantPart> parts, TimePoint expiry, TimePoint now);

    // The owner says that a request has ended and that it has freed what the request held.
    void noteFinished(const RequestId& id);

    // All that one gateway run holds in the cell, as of `now`.
    void noteHoldings(const InstanceId& owner, std::span<const Holding> holdings, TimePoint now);

    // This steward's own instance is in touch with others as of `now`. The silence of a gateway means something only
    // while that is fresh; after a pause or a cut it is counted anew, so that living gateways have the time to
    // announce.
    void noteConnected(TimePoint now);

    // An engine's own report.
    void noteReport(const LoadReport& report, TimePoint now);

    // The target answered a cancel: nothing is held under this id there.
    void noteCancelled(const CancelAllocation& cancelled);

    // Drops what is known to be over, without asking for anything: for a steward whose instance does not own the cell.
    void forgetDisclaimed(TimePoint now);

    // The target is gone, and its memory with it.
    void forgetTarget(std::string_view target);

    // Returns what is to be cancelled now. A cancel that is not confirmed is asked for again after a pause.
    std::vector<CancelAllocation> decide(TimePoint now);

    // Tokens that a target reported above what is accounted for, in its latest report; 0 for targets that list.
    std::uint64_t unaccountedTokens(std::string_view target) const;

    std::size_t size() const;

private:
    // What is known of one allocation.
    struct Entry {
        std::uint64_t tokens { 0 };
        TimePoint startedAt {}; // The earliest time at which its owner may have known of it.
        TimePoint firstSeen {}; // When this steward heard of it.
        TimePoint askedAt {}; // When its cancelling was last asked for; the epoch for never.
        bool isReported { false }; // Seen in a report of the engine itself.
    };

    struct Announcement {
        TimePoint at {};
        std::set<RequestId> ids;
    };

    using Key = CancelAllocation;

    bool isOrphan(const Key& key, const Entry& entry, TimePoint now) const;
    bool isDisclaimed(const Key& key, const InstanceId& owner, const Entry& entry) const;
    bool isReplaced(const InstanceId& instance) const;
    bool isLost(const InstanceId& instance, const Entry& entry, TimePoint now) const;
    void forgetSilent(TimePoint now);
    void searchUnaccounted(const LoadReport& report, TimePoint now);
    void enumerateDead(const std::string& target, TimePoint now);
    void noteSequence(const RequestId& id);

    std::map<Key, Entry> entries;
    std::map<InstanceId, Announcement> announcements;
    std::map<std::string, std::uint64_t, std::less<>> newestAlive; // Highest incarnation that announced, by instance.
    TimePoint connectedAt {}; // When this steward was last known to be in touch with others,
    TimePoint connectedSince {}; // and since when without an interruption.
    std::map<InstanceId, std::uint64_t> highestSequence;
    std::map<std::string, std::uint64_t, std::less<>> unaccounted;
};

}
