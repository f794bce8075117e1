#pragma once

#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/EventLog.h"
#include "serving/EngineMemory.h"

namespace marigoldpaddle {

// A lease of memory reservations on several engines, all or none: renewed while the lease exists, released when it
// ends. If the instance crashes, the reservations expire without renewal. So does a reservation that an engine makes
// after the lease has ended, because the order was delayed.
class MemoryLease {
public:
    struct Parts {
        boost::asio::io_context& context;
        EngineMemory& memory;
        EventLog& log;
        Duration leaseDuration {}; // Lifetime of each reservation, which is renewed three times in it.
    };

    // Everything that the parts refer to must outlive the last lease of the process.
    MemoryLease(const Parts& parts, std::string requestId);
    ~MemoryLease();
    MemoryLease(const MemoryLease&) = delete;
    MemoryLease& operator=(const MemoryLease&) = delete;

    // Makes a reservation and keeps it renewed. An engine accepts or refuses at once, so that no two prompts can each
    // hold memory that the other one waits for (deadlock).
    boost::asio::awaitable<MemoryOutcome> add(TargetEntry engine, MemoryReservation reservation);

private:
    struct State;
    struct HeldReservation;
    static boost::asio::awaitable<void> maintain(std::shared_ptr<State> state, std::shared_ptr<HeldReservation> item);

    std::shared_ptr<State> state;
};

}
