#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Membership.h>

namespace marigoldpaddle::internal {

// Returns whether `update` overrides `known`, a record of the same instance: it has a later incarnation, a later
// revision of the same incarnation, or the same revision and a later state in the order of MemberState.
bool supersedes(const Member& update, const Member& known);

// The other instances of this instance's availability zone. Dead ones are kept as tombstones for
// MembershipOptions::tombstoneLifetime.
class MemberTable {
public:
    explicit MemberTable(const MembershipOptions& options);

    struct Entry {
        Member member;
        std::optional<TimePoint> suspicionDeadline; // When the member is declared dead unless it refutes.
        TimePoint changedAt {};
    };

    const Entry* find(std::string_view name) const;

    // Applies a record received by gossip. Returns whether the record was added or replaced; a higher configuration
    // offset of a known incarnation alone is stored and returns false. Unknown dead members are ignored, and so are new
    // ones once MembershipOptions::maximumMembers are stored.
    bool apply(const Member& update, TimePoint now, std::mt19937_64& random);

    // Starts the suspicion timeout of a member. A timeout that is already running is kept.
    void startSuspicion(std::string_view name, TimePoint deadline);

    // Cancels the suspicion timeout of a member that is not in state Suspected.
    void clearSuspicion(std::string_view name);

    // Returns the names of members whose suspicion timeout has passed without a refutation.
    std::vector<std::string> expiredSuspicions(TimePoint now) const;

    // Returns the earliest suspicion deadline; TimePoint::max() if there is none.
    TimePoint nextSuspicionDeadline() const;

    // Extends every running suspicion timeout by `lateness`, the time for which this process was paused.
    void extendSuspicions(Duration lateness);

    // Returns the next live member to probe; null if there is none. Each is probed once per round, in an order that is
    // shuffled before every round.
    const Member* nextToProbe(std::mt19937_64& random);

    // Returns up to `count` distinct live members other than `excluded`, in random order.
    std::vector<Member> sample(std::size_t count, std::string_view excluded, std::mt19937_64& random) const;

    void removeExpiredTombstones(TimePoint now);
    std::size_t liveCount() const;
    std::vector<const Entry*> entries() const;

private:
    void insert(const Member& update, TimePoint now, std::mt19937_64& random);
    void replace(Entry& entry, const Member& update, TimePoint now);

    const MembershipOptions& options;
    std::map<std::string, Entry, std::less<>> members;
    std::vector<std::string> probeOrder;
    std::size_t probePosition { 0 };
};

}
