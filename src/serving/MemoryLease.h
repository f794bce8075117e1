#pragma once

#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/EventLog.h"
#include "serving/EngineMemory.h"

namespace marigoldpaddle {

// Tickets on several engines: all of them or none, renewed while the lease exists and given back when it ends. An
// instance that dies renews nothing, so that its tickets lapse by themselves; so do those of an order that an engine
// carries out after the lease has ended.
class MemoryLease {
public:
    struct Parts {
        boost::asio::io_context& context;
        EngineMemory& memory;
        EventLog& log;
        Duration hold {}; // Of each ticket; renewed three times in it.
    };

    // Everything that the parts refer to must outlive the process's last lease.
    MemoryLease(const Parts& parts, std::string requestId);
    ~MemoryLease();
    MemoryLease(const MemoryLease&) = delete;
    MemoryLease& operator=(const MemoryLease&) = delete;

    // Reserves a ticket and keeps it renewed. Reservations never wait at an engine, so that no two prompts can hold
    // memory that the other one needs.
    boost::asio::awaitable<MemoryOutcome> add(TargetEntry engine, MemoryTicket ticket);

private:
    struct State;
    static boost::asio::awaitable<void> renew(std::shared_ptr<State> state);
    static boost::asio::awaitable<void> releaseAll(std::shared_ptr<State> state);

    std::shared_ptr<State> state;
};

}
