#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace marigoldpaddle::internal {

// Updates to piggyback on outgoing messages. Each is sent a bounded number of times. Updates of lower rank go first;
// among equal ranks, those sent the fewest times.
class UpdateQueue {
public:
    // Adds an update. If it is queued already, its transmissions are counted from zero again.
    void add(std::string_view key, int rank = 0)
    {
        this->remove(key);
        this->items.push_back({ std::string { key }, rank, 0, ++this->insertionCount });
    }

    void remove(std::string_view key)
    {
        std::erase_if(this->items, [key](const Item& item) { return item.key == key; });
    }

    bool isEmpty() const
    {
        return this->items.empty();
    }

    // Calls `accept(key)` for the queued updates in order until it has returned true `count` times. Accepted updates
    // count as sent; an update is removed once it was sent `maximumTransmissions` times.
    template <typename Accept> void offer(std::size_t count, std::size_t maximumTransmissions, Accept&& accept)
    {
        std::ranges::sort(this->items, {}, &Item::order);
        std::size_t accepted = 0;
        for (auto& item : this->items) {
            if (accepted == count)
                break;
            if (!accept(item.key))
                continue;
            ++item.sentCount;
            ++accepted;
        }
        std::erase_if(
            this->items, [maximumTransmissions](const Item& item) { return item.sentCount >= maximumTransmissions; });
    }

private:
    struct Item {
        std::string key;
        int rank { 0 };
        std::size_t sentCount { 0 };
        std::uint64_t insertionNumber { 0 };

        std::tuple<int, std::size_t, std::uint64_t> order() const
        {
            return std::tuple { this->rank, this->sentCount, this->insertionNumber };
        }
    };

    std::vector<Item> items;
    std::uint64_t insertionCount { 0 };
};

}
