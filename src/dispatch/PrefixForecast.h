#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Target.h>

namespace marigoldpaddle {

// Predicts which prefix blocks a target holds: what was granted to it, least recently used out first, corrected by its
// late cache events.
class PrefixForecast {
public:
    // `capacity` is in tokens.
    void setCapacity(std::uint64_t capacity);

    // Returns how many leading tokens are expected to be cached. Takes time logarithmic in the number of blocks.
    std::uint64_t cachedTokens(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens) const;

    // Expects the blocks to be cached from now on.
    void store(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens, TimePoint now);

    // Applies a late event. One that speaks against a newer grant is ignored. A gap in the sequence may have hidden
    // evictions, so as many of the oldest blocks are forgotten.
    void apply(const CacheEvent& event, TimePoint now);

private:
    struct Entry {
        std::uint64_t block { 0 };
        std::uint64_t tokens { 0 };
        TimePoint lastUse {};
    };

    void touch(std::uint64_t block, std::uint64_t tokens, TimePoint now);
    void forget(std::uint64_t block);
    void forgetOldest();
    void skipTo(std::uint64_t sequence);

    std::list<Entry> entries; // Least recently used first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> entriesByBlock;
    std::uint64_t capacity { 0 };
    std::uint64_t total { 0 };
    std::uint64_t nextSequence { 0 };
};

}
