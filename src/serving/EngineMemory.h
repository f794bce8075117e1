#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <marigoldpaddle/Clock.h>

#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// How an order to an engine ended.
enum class MemoryOutcome {
    Done,
    Refused, // Nothing was set aside.
    Unknown, // No answer: it may be carried out, now or later.
};

// Memory that an engine sets aside for a part of a prompt that another engine answers.
struct MemoryTicket {
    std::string id; // Never used again.
    std::int64_t tokens { 0 };
};

// Orders to engines about their memory.
class EngineMemory {
public:
    virtual ~EngineMemory() = default;

    // Sets memory aside for `hold` from its arrival at the engine, or renews it. Whatever is not renewed lapses by
    // itself.
    virtual boost::asio::awaitable<MemoryOutcome> reserve(TargetEntry engine, MemoryTicket ticket, Duration hold) = 0;

    virtual boost::asio::awaitable<MemoryOutcome> release(TargetEntry engine, MemoryTicket ticket) = 0;
};

}
