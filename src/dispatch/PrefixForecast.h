#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Target.h>

namespace marigoldpaddle {

// Predicts which prefix blocks a target has cached: an LRU model of the prefixes granted to the target, corrected by
// the target's cache events, which arrive with a delay.
class PrefixForecast {
public:
    // Sets the cache size in tokens and evicts blocks beyond it.
    void setCapacity(std::uint64_t capacity);

    // Returns how many leading tokens of a prompt are predicted to be cached. Takes time logarithmic in the number of
    // blocks.
    std::uint64_t cachedTokens(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens) const;

    // Adds blocks that a granted request will cache, or marks them as used.
    void store(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens, TimePoint now);

    // Applies a cache event. An eviction is ignored if a grant used the block so recently that the event may be older
    // than the grant. For each event missing from the sequence, which may have been an eviction, the least recently
    // used block is evicted.
    void apply(const CacheEvent& event, TimePoint now);

private:
    struct Entry {
        std::uint64_t block { 0 };
        std::uint64_t tokens { 0 };
        TimePoint lastUse {};
    };

    void touch(std::uint64_t block, std::uint64_t tokens, TimePoint now);
    void evict(std::uint64_t block);
    void evictOldest();
    void advanceSequence(std::uint64_t sequence);

    std::list<Entry> entries; // Ordered from least to most recently used.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entriesByBlock;
    std::uint64_t capacity { 0 }; // Tokens.
    std::uint64_t total { 0 }; // Tokens of all entries.
    std::uint64_t nextSequence { 0 };
};

}
