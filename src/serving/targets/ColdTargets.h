#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// An instance that shares what targets take.
struct InstanceIdentity {
    std::uint64_t address { 0 }; // Hash.
    std::uint64_t zone { 0 }; // Hash of its availability zone.

    bool operator==(const InstanceIdentity&) const = default;
};

// That a target is cold. Passed between instances.
struct ColdTargetStatement {
    std::uint64_t target { 0 }; // Hash of the target's id.
    std::uint64_t incarnation { 0 };
    TimePoint until {};
    std::uint64_t zone { 0 }; // Hash of the target's availability zone.
};

// Bounds the requests that a cold target gets within any second, over all instances. A target is cold for some seconds
// after its start and may become so again at any time. A rate well above the one that it then tolerates ends it.
//
// The requests of a second are dealt to as many instances as there are such requests, one each; with fewer instances
// each gets several. All instances draw the same ones by a hash of target and instance, those of the target's zone
// first, without talking to each other. Shares are dealt among all instances known of late, whether they are live or
// not: were they dealt among the live ones, the two halves of a partition would both deal out the whole.
//
// An instance counts what it has sent in the last second. A token bucket would let pass its content and its rate within
// one second. Pure computation, no I/O.
class ColdTargets {
public:
    // The bound is for requests that are sent and received within a second.
    static constexpr Duration Window = std::chrono::milliseconds { 1050 };
    // An instance that was not heard of for this long has no share any more.
    static constexpr Duration InstanceMemory = std::chrono::minutes { 10 };
    // After its start an instance knows few of the others, so that it would take too large a share.
    static constexpr Duration StartupPeriod = std::chrono::seconds { 3 };
    // Longer cold periods are none.
    static constexpr Duration LongestPeriod = std::chrono::minutes { 10 };

    // Sets the requests a second that a cold target of a service takes from all instances together. Services that are
    // not in the map have no bound.
    void setAllowances(std::map<std::string, double, std::less<>> perSecond);

    // Sets this instance and its live peers.
    void setInstances(InstanceIdentity self, std::span<const InstanceIdentity> peers, TimePoint now);

    // Records that a target is cold for `remaining` from now on. Returns whether peers need to hear of it: it was not
    // known to be cold, or for much less long.
    bool record(const TargetEntry& target, Duration remaining, TimePoint now);

    // Records what a peer states. Returns whether the target was not known to be cold.
    bool learn(const ColdTargetStatement& statement, TimePoint now);

    // Whether the target is cold and its service has a bound.
    bool isCold(const TargetEntry& target, TimePoint now) const;

    // Whether this instance may send a request to the target now. Always true for a target that is not cold.
    bool mayTake(const TargetEntry& target, TimePoint now) const;

    // Counts a request as sent now. Returns false if this instance may not send it.
    bool tryTake(const TargetEntry& target, TimePoint now);

    // Takes back a request that was counted at `takenAt` and not sent.
    void giveBack(const TargetEntry& target, TimePoint takenAt);

    // When the next request may be sent to the target; for an instance without a share, the end of the cold period.
    TimePoint nextAt(const TargetEntry& target, TimePoint now) const;

    // Targets that became known as cold at `since` or later and still are.
    std::vector<ColdTargetStatement> newsSince(TimePoint since, TimePoint now) const;

    // Number of targets that are cold.
    std::size_t size(TimePoint now) const;

    // Drops cold periods that are over and instances that were not heard of for long.
    void expire(TimePoint now);

private:
    struct Cold {
        std::uint64_t incarnation { 0 };
        std::uint64_t zone { 0 };
        TimePoint until {};
        TimePoint newsAt {};
        std::deque<TimePoint> sent; // In the last window.
    };

    bool record(const ColdTargetStatement& statement, TimePoint now);
    const Cold* find(const TargetEntry& target, TimePoint now) const;
    std::size_t share(const TargetEntry& target, const Cold& cold, TimePoint now) const;
    static std::size_t sentWithinWindow(const Cold& cold, TimePoint now);

    std::map<std::string, double, std::less<>> allowances;
    InstanceIdentity self;
    std::map<std::uint64_t, std::pair<InstanceIdentity, TimePoint>> known; // Peers by address, with when last live.
    std::optional<TimePoint> startedAt;
    std::map<std::uint64_t, Cold> cold; // By hash of the target's id.
};

}
