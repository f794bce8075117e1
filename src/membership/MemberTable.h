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

// Returns whether what `heard` says of an instance replaces what `known` says of the same one: a later incarnation, a
// later revision, or at the same revision the graver state.
bool supersedes(const Member& heard, const Member& known);

// The other instances of the own availability zone, with the dead ones for as long as their tombstones last.
class MemberTable {
public:
    explicit MemberTable(const MembershipOptions& options);

    struct Entry {
        Member member;
        std::optional<TimePoint> suspicionDeadline;
        TimePoint changedAt {};
    };

    const Entry* find(std::string_view name) const;

    // Takes a record. Returns whether it changed what is known.
    bool apply(const Member& heard, TimePoint now, std::mt19937_64& random);

    // Starts the time in which a suspicion can be refuted; one that runs goes on.
    void startSuspicion(std::string_view name, TimePoint deadline);
    void clearSuspicion(std::string_view name);

    // Returns the names of those whose suspicion was not refuted in time.
    std::vector<std::string> overdue(TimePoint now) const;
    TimePoint nextDeadline() const;

    // Extends every running suspicion, after this process was paused for `lateness`.
    void postpone(Duration lateness);

    // Returns the member to probe next: each once in a round of random order.
    const Member* nextToProbe(std::mt19937_64& random);

    // Returns up to `count` different members in random order that are not dead and not `excluded`.
    std::vector<Member> sample(std::size_t count, std::string_view excluded, std::mt19937_64& random) const;

    void forgetTombstones(TimePoint now);
    std::size_t liveCount() const;
    std::vector<const Entry*> entries() const;

private:
    void insert(const Member& heard, TimePoint now, std::mt19937_64& random);
    void replace(Entry& entry, const Member& heard, TimePoint now);

    const MembershipOptions& options;
    std::map<std::string, Entry, std::less<>> members;
    std::vector<std::string> probeOrder;
    std::size_t probePosition { 0 };
};

}
