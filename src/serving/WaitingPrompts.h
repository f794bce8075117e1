#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Orders the long prompts that wait at all instances by when they must be placed at the latest. Engines that become
// free go to the most urgent one: without an order every waiting instance takes some of them, and all prompts are read
// slowly by few engines each. A pure core.
class WaitingPrompts {
public:
    // What a peer said counts for so long: two of its notices may be lost meanwhile.
    static constexpr Duration PeerLifetime = std::chrono::milliseconds { 350 };
    // A peer whose prompt is more urgent is given this long to place it, once engines are free.
    static constexpr Duration Courtesy = std::chrono::milliseconds { 40 };

    using Entry = std::multiset<TimePoint>::iterator;

    Entry add(TimePoint startBy);
    void remove(Entry entry);

    // Takes what a peer said last; TimePoint::max() when nothing waits there.
    void applyPeer(std::string_view peer, TimePoint startBy, TimePoint now);

    // The most urgent prompt of this instance; TimePoint::max() without any.
    TimePoint mostUrgent() const;

    // Whether no prompt that is known is more urgent.
    bool isNext(TimePoint startBy, TimePoint now) const;

private:
    struct Peer {
        TimePoint startBy { TimePoint::max() };
        TimePoint heardAt {};
    };

    std::multiset<TimePoint> waiting;
    std::map<std::string, Peer, std::less<>> peers;
};

}
