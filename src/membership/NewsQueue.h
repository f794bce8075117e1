#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace marigoldpaddle::internal {

// Items that are to be sent a bounded number of times each, the most urgent and least sent ones first.
class NewsQueue {
public:
    // Adds an item, or starts it anew. Lower ranks go first.
    void add(std::string_view key, int rank = 0)
    {
        this->remove(key);
        this->items.push_back({ std::string { key }, rank, 0, ++this->added });
    }

    void remove(std::string_view key)
    {
        std::erase_if(this->items, [key](const Item& item) { return item.key == key; });
    }

    bool isEmpty() const
    {
        return this->items.empty();
    }

    // Offers items to `accept(key)` in order until it has accepted `count` of them or none is left. Accepted ones count
    // as sent; those sent `transmissions` times are dropped.
    template <typename Accept> void offer(std::size_t count, std::size_t transmissions, Accept&& accept)
    {
        std::ranges::sort(this->items, {}, &Item::order);
        std::size_t accepted = 0;
        for (auto& item : this->items) {
            if (accepted == count)
                break;
            if (!accept(item.key))
                continue;
            ++item.sent;
            ++accepted;
        }
        std::erase_if(this->items, [transmissions](const Item& item) { return item.sent >= transmissions; });
    }

private:
    struct Item {
        std::string key;
        int rank { 0 };
        std::size_t sent { 0 };
        std::uint64_t number { 0 };

        std::tuple<int, std::size_t, std::uint64_t> order() const
        {
            return std::tuple { this->rank, this->sent, this->number };
        }
    };

    std::vector<Item> items;
    std::uint64_t added { 0 };
};

}
