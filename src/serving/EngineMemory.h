#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include <marigoldpaddle/Clock.h>

#include "serving/TargetAdvice.h"
#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// Outcome of an order to an engine.
enum class MemoryOutcome {
    Done,
    Refused, // No memory was reserved.
    Unknown, // No answer: the order may be carried out, now or later.
};

// Memory that an engine reserves for a part of a prompt that another engine answers.
struct MemoryReservation {
    std::string id; // Unique; never reused.
    std::int64_t tokens { 0 };
};

// Sends memory orders to engines.
class EngineMemory {
public:
    virtual ~EngineMemory() = default;

    // Reserves memory, or renews a reservation, for `duration` from the order's arrival at the engine. A reservation
    // that is not renewed expires.
    virtual boost::asio::awaitable<MemoryOutcome> reserve(
        TargetEntry engine, MemoryReservation reservation, Duration duration)
        = 0;

    virtual boost::asio::awaitable<MemoryOutcome> release(TargetEntry engine, MemoryReservation reservation) = 0;

    // Sets who is told of the answers to orders; null for nobody.
    void setObserver(TargetAnswerObserver* observer)
    {
        this->observer = observer;
    }

protected:
    TargetAnswerObserver* observer { nullptr };
};

}
