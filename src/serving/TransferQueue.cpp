#include "serving/TransferQueue.h"

#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Holds a transfer slot while a list is being written to its receiver.
class TransferHold {
public:
    TransferHold(std::shared_ptr<TransferQueue> queue, TransferSlots::Id slot)
        : queue(std::move(queue))
        , slot(slot)
    {
    }

    TransferHold(const TransferHold&) = delete;
    TransferHold& operator=(const TransferHold&) = delete;

    ~TransferHold()
    {
        this->queue->slots.release(this->slot);
        this->queue->wakeFirst();
    }

private:
    std::shared_ptr<TransferQueue> queue;
    TransferSlots::Id slot;
};

}

void TransferQueue::wakeFirst()
{
    if (!this->waiting.empty())
        this->waiting.front()->cancel();
}

asio::awaitable<std::shared_ptr<void>> takeTransferSlot(
    std::shared_ptr<TransferQueue> queue, const Clock& clock, Duration wait, Duration timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    auto turn = std::make_shared<asio::steady_timer>(executor);
    queue->waiting.push_back(turn);
    const auto until = clock.now() + wait;
    std::shared_ptr<void> hold;
    while (!queue->isClosed) {
        const auto now = clock.now();
        std::optional<TransferSlots::Id> slot;
        if (queue->waiting.front() == turn)
            slot = queue->slots.take(now, now + timeout);
        if (slot)
            hold = std::make_shared<TransferHold>(queue, *slot);
        if (slot || now >= until)
            break;
        boost::system::error_code cancelled;
        turn->expires_after(until - now);
        co_await turn->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    std::erase(queue->waiting, turn);
    queue->wakeFirst();
    co_return hold;
}

}
