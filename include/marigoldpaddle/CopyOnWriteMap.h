#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace marigoldpaddle {

// A map with string keys and cheap copies. Copies share their 256 shards; a modification copies its shard first if the
// shard is shared. A copy followed by one modification thus costs time proportional to one shard, not to the map. Not
// thread-safe.
template <typename Value> class CopyOnWriteMap {
public:
    using Entry = std::pair<const std::string, Value>;

    // Returns the entry, or end() if there is none. The pointer is valid until the map is modified or destroyed.
    const Entry* find(std::string_view key) const
    {
        const auto& shard = this->shards[shardOf(key)];
        if (!shard)
            return this->end();
        const auto found = shard->find(key);
        return found == shard->end() ? this->end() : &*found;
    }

    const Entry* end() const
    {
        return nullptr;
    }

    bool contains(std::string_view key) const
    {
        return this->find(key) != this->end();
    }

    std::size_t size() const
    {
        return this->count;
    }

    bool empty() const
    {
        return this->count == 0;
    }

    // Adds an entry. Returns false and changes nothing if the key is present.
    bool emplace(std::string key, Value value)
    {
        if (this->contains(key))
            return false;
        this->writable(key).emplace(std::move(key), std::move(value));
        ++this->count;
        return true;
    }

    // Removes an entry. Returns false if the key is absent.
    bool erase(std::string_view key)
    {
        if (!this->contains(key))
            return false;
        auto& shard = this->writable(key);
        shard.erase(shard.find(key));
        --this->count;
        return true;
    }

private:
    using Shard = std::map<std::string, Value, std::less<>>;
    static constexpr std::size_t ShardCount = 256;

    static std::size_t shardOf(std::string_view key)
    {
        return std::hash<std::string_view> {}(key) % ShardCount;
    }

    // Returns the key's shard, not shared with any copy of the map.
    Shard& writable(std::string_view key)
    {
        auto& shard = this->shards[shardOf(key)];
        if (!shard)
            shard = std::make_shared<Shard>();
        else if (shard.use_count() > 1)
            shard = std::make_shared<Shard>(*shard);
        return *shard;
    }

    std::array<std::shared_ptr<Shard>, ShardCount> shards;
    std::size_t count { 0 };
};

}
