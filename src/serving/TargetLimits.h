#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/TargetDirectory.h"
#include "serving/targets/ColdTargets.h"

namespace marigoldpaddle {

// What a target last stated about the requests that it takes from all instances together. Passed between instances.
struct TargetLimitStatement {
    std::uint64_t target { 0 }; // Hash of the target's id.
    std::uint64_t incarnation { 0 };
    std::optional<double> perSecond; // Empty: it no longer has a limit.
    TimePoint at {};
    std::uint64_t zone { 0 }; // Hash of the target's availability zone.
};

// An instance that shares limits.
struct LimitSharer {
    std::string_view address;
    std::string_view availabilityZone;
};

// Keeps the requests to targets that state a limit within it, over all instances. Each limit is shared by a few
// instances, which all instances draw alike by a hash of target and instance; the others send nothing to the target.
// Those of the target's zone come first, since others may place nothing there.
// The number of sharers grows with the limit, so that each may send about one request a second or more: with a share
// for every one of some hundred instances, a single request of each would exceed a low limit. A sharer spends its
// share as a token bucket that starts empty, since the target states its limit in the answer to a request.
//
// A limit ends with an answer that states none, and with the incarnation. Sharers go on to send and so hear of it.
// Pure computation, no I/O.
class TargetLimits {
public:
    // A lower limit counts as this one: the end of a limit shows only in an answer.
    static constexpr double LowestPerSecond = 0.2;
    // Sharers of a limit of 1 a second.
    static constexpr double SharersPerRequestRate = 1;
    // A bucket holds the requests of this time, and at least one.
    static constexpr Duration BurstPeriod = std::chrono::milliseconds { 500 };
    // Without a statement for this long a limit ends, in case that this instance has missed its end; twice as long for
    // an instance without a share, so that it does not send at the same moment as the sharers.
    static constexpr Duration Lifetime = std::chrono::seconds { 60 };
    // A limit that is still stated is news again after this time, which keeps it alive at other instances.
    static constexpr Duration RefreshPeriod = std::chrono::seconds { 10 };

    enum class Change {
        None, // Nothing that other instances need to hear of at once.
        Raised, // The limit was raised.
        Lowered, // The target has a limit now, or a lower one.
        Ended,
    };

    // Sets this instance and its live peers, among which limits are shared.
    void setInstances(const LimitSharer& self, std::span<const LimitSharer> peers, TimePoint now);

    // Records that an answer to this instance states a limit.
    Change recordLimit(const TargetEntry& target, double perSecond, TimePoint now);

    // Records that an answer to a request, which was sent at `sentAt`, states no limit. It ends the limit unless that
    // was stated later: the answer may have been on its way for longer.
    Change recordNoLimit(const TargetEntry& target, TimePoint sentAt, TimePoint now);

    // Records a statement that a peer has heard of. It is ignored if a later one is known.
    Change learn(const TargetLimitStatement& statement, TimePoint now);

    // Stated limit of the target; empty for none.
    std::optional<double> limit(const TargetEntry& target) const;

    // The same for targets that are cold. The calls below keep both bounds.
    ColdTargets cold;

    // Whether a request may be sent to the target now.
    bool mayTake(const TargetEntry& target, TimePoint now) const;

    // Takes a request from this instance's share of the limit. Returns whether the request may be sent. Always true
    // without a limit.
    bool tryTake(const TargetEntry& target, TimePoint now);

    // Returns a request that was taken at `takenAt` and not sent.
    void giveBack(const TargetEntry& target, TimePoint takenAt, TimePoint now);

    // When the next request may be sent to the target; for an instance without a share, by another one. At most `now`
    // if that is possible at once.
    TimePoint nextAt(const TargetEntry& target, TimePoint now) const;

    // Statements that became news at `since` or later.
    std::vector<TargetLimitStatement> newsSince(TimePoint since) const;

    // Number of targets with a limit.
    std::size_t size() const;

    // Drops statements that are too old.
    void expire(TimePoint now);

private:
    struct Limit {
        std::uint64_t incarnation { 0 };
        std::optional<double> perSecond; // Empty for an ended limit, which is kept to be told to peers.
        TimePoint statedAt {};
        TimePoint newsAt {};
        TimePoint refreshedAt {}; // Time of the statement that was last news.
        std::uint64_t zone { 0 };
        double share { 0 }; // Requests a second of this instance.
        double tokens { 0 };
        TimePoint refilledAt {};
    };

    Change record(const TargetLimitStatement& statement, TimePoint now);
    void updateShare(std::uint64_t target, Limit& limit) const;
    const Limit* find(const TargetEntry& target) const;
    static double capacity(const Limit& limit);
    static double tokensAt(const Limit& limit, TimePoint now);
    static void refill(Limit& limit, TimePoint now);

    static InstanceIdentity instanceOf(const LimitSharer& sharer);

    InstanceIdentity self;
    std::vector<InstanceIdentity> peers;
    std::map<std::uint64_t, Limit> limits; // By hash of the target's id.
};

// Holds a request of this instance's share for one attempt, and returns it unless it was sent.
class RequestPermit {
public:
    // Takes the request if the target's bounds allow it. Both references must outlive the permit.
    RequestPermit(TargetLimits& limits, const Clock& clock, TargetEntry target);
    ~RequestPermit();
    RequestPermit(const RequestPermit&) = delete;
    RequestPermit& operator=(const RequestPermit&) = delete;

    // Returns whether the request may be sent now. What became known meanwhile counts.
    bool use();

private:
    void take();

    TargetLimits& limits;
    const Clock& clock;
    TargetEntry target;
    std::optional<TimePoint> takenAt; // Empty if it may not be sent.
    bool isUsed { false };
};

}
