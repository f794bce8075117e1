#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Estimates how long notices of peers were on their way, including the queue of this process's socket: a process that
// is slow, or was frozen, reads notices that have waited there. Processes share no clock. The smallest difference
// between the two clocks that was seen lately is that of a notice that did not wait. Pure computation, no I/O.
class TransitDelays {
public:
    // A difference counts for at least this long, and for twice as long at most.
    static constexpr Duration Window = std::chrono::minutes { 5 };
    // Notices that are read within this time of each other were in the same queue.
    static constexpr Duration QueueGap = std::chrono::milliseconds { 20 };
    // With more senders, all are forgotten.
    static constexpr std::size_t MaximumSenders = 4096;

    // Records a notice. `sentAt` is on the clock of the sender, `receivedAt` on this instance's. Returns by how much it
    // took longer than one that does not wait.
    Duration record(std::string_view sender, std::int64_t incarnation, Duration sentAt, Duration receivedAt);

private:
    struct Sender {
        std::int64_t incarnation { 0 };
        Duration windowStart {};
        Duration smallest {}; // Difference in this window.
        Duration smallestBefore {}; // In the window before it.
    };

    std::map<std::string, Sender, std::less<>> senders;
    // Delay of the latest notice of any sender, and when it was read: notices that are read in a row have waited in the
    // same queue.
    Duration latest {};
    Duration latestReadAt {};
};

}
