#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// What decides which of two waiting prompts is placed first: the rank of its route or workspace, 0 is the highest, and
// then the latest time at which it has to start.
struct PromptUrgency {
    unsigned rank { 0 };
    TimePoint startBy {};

    auto operator<=>(const PromptUrgency&) const = default;
};

// Orders the long prompts that wait at all instances by their urgency. Free engines go to the most urgent prompt:
// without an order every waiting instance would take some of them, and every prompt would be prefilled slowly on few
// engines. A prompt of a low rank does not starve: the others have only a moment to go first. Pure computation, no I/O.
class WaitingPrompts {
public:
    // Validity of a peer's report: two of its notices may be lost meanwhile.
    static constexpr Duration PeerLifetime = std::chrono::milliseconds { 350 };
    // Once engines are free, a peer with a more urgent prompt has this long to place it.
    static constexpr Duration PeerPriorityWindow = std::chrono::milliseconds { 40 };

    using Entry = std::multiset<PromptUrgency>::iterator;

    Entry add(PromptUrgency urgency);
    void remove(Entry entry);

    // Records a peer's most urgent prompt; empty when none waits there.
    void updatePeer(std::string_view peer, std::optional<PromptUrgency> urgency, TimePoint now);

    // This instance's most urgent prompt; empty without any.
    std::optional<PromptUrgency> mostUrgent() const;

    // Whether no known prompt, here or at a peer, is more urgent.
    bool isMostUrgent(PromptUrgency urgency, TimePoint now) const;

private:
    struct Peer {
        std::optional<PromptUrgency> urgency;
        TimePoint receivedAt {};
    };

    std::multiset<PromptUrgency> waiting;
    std::map<std::string, Peer, std::less<>> peers;
};

}
