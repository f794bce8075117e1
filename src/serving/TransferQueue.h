#pragma once

#include <cstddef>
#include <deque>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/Clock.h>

#include "serving/TransferSlots.h"

namespace marigoldpaddle {

// The peers' requests for the list of targets that wait for a transfer slot, in the order in which they came.
struct TransferQueue {
    explicit TransferQueue(std::size_t slots)
        : slots(slots)
    {
    }

    void wakeFirst();

    TransferSlots slots;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting; // Cancelled when a slot may be free.
    bool isClosed { false }; // The sender no longer exists.
};

// Waits in turn for a transfer slot, which is taken for `timeout` at most. Empty if none is free within `wait`. The
// slot is free again once the returned object is destroyed.
boost::asio::awaitable<std::shared_ptr<void>> takeTransferSlot(
    std::shared_ptr<TransferQueue> queue, const Clock& clock, Duration wait, Duration timeout);

}
