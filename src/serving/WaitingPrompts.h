#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Orders the long prompts that wait at all instances by their latest start time, earliest first. Free engines go to the
// most urgent prompt: without an order every waiting instance would take some of them, and every prompt would be
// prefilled slowly on few engines. Pure computation, no I/O.
class WaitingPrompts {
public:
    // Validity of a peer's report: two of its notices may be lost meanwhile.
    static constexpr Duration PeerLifetime = std::chrono::milliseconds { 350 };
    // Once engines are free, a peer with a more urgent prompt has this long to place it.
    static constexpr Duration PeerPriorityWindow = std::chrono::milliseconds { 40 };

    using Entry = std::multiset<TimePoint>::iterator;

    Entry add(TimePoint startBy);
    void remove(Entry entry);

    // Records the latest start time of a peer's most urgent prompt; TimePoint::max() when none waits there.
    void updatePeer(std::string_view peer, TimePoint startBy, TimePoint now);

    // Latest start time of this instance's most urgent prompt; TimePoint::max() without any.
    TimePoint earliestStartBy() const;

    // Whether no known prompt, here or at a peer, has to start before `startBy`.
    bool isMostUrgent(TimePoint startBy, TimePoint now) const;

private:
    struct Peer {
        TimePoint startBy { TimePoint::max() };
        TimePoint receivedAt {};
    };

    std::multiset<TimePoint> waiting;
    std::map<std::string, Peer, std::less<>> peers;
};

}
