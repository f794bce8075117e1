#include "dispatch/PrefixForecast.h"

#include <algorithm>

namespace marigoldpaddle {

namespace {

constexpr std::chrono::seconds MaximumCacheEventDelay { 2 }; // Upper bound of the delay of cache events.
constexpr std::uint64_t EventBlockTokens = 256;

}

void PrefixForecast::setCapacity(std::uint64_t capacity)
{
    this->capacity = capacity;
    while (this->total > this->capacity)
        this->evictOldest();
}

std::uint64_t PrefixForecast::cachedTokens(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens) const
{
    auto isCached = [this](std::uint64_t block) {
        return this->entriesByBlock.contains(block);
    };
    auto end = std::ranges::partition_point(blocks, isCached);
    return static_cast<std::uint64_t>(end - blocks.begin()) * blockTokens;
}

void PrefixForecast::store(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens, TimePoint now)
{
    for (auto block : blocks)
        this->touch(block, blockTokens, now);
}

void PrefixForecast::apply(const CacheEvent& event, TimePoint now)
{
    if (event.sequence < this->nextSequence)
        return;
    this->advanceSequence(event.sequence);
    if (event.isStored) {
        if (!this->entriesByBlock.contains(event.block))
            this->touch(event.block, EventBlockTokens, now);
        return;
    }
    auto found = this->entriesByBlock.find(event.block);
    if (found != this->entriesByBlock.end() && now - found->second->lastUse > MaximumCacheEventDelay)
        this->evict(event.block);
}

void PrefixForecast::touch(std::uint64_t block, std::uint64_t tokens, TimePoint now)
{
    auto found = this->entriesByBlock.find(block);
    if (found != this->entriesByBlock.end()) {
        found->second->lastUse = now;
        this->entries.splice(this->entries.end(), this->entries, found->second);
        return;
    }
    if (tokens > this->capacity)
        return;
    while (this->total + tokens > this->capacity)
        this->evictOldest();
    this->entries.push_back({ block, tokens, now });
    this->entriesByBlock.emplace(block, std::prev(this->entries.end()));
    this->total += tokens;
}

void PrefixForecast::evict(std::uint64_t block)
{
    auto found = this->entriesByBlock.find(block);
    this->total -= found->second->tokens;
    this->entries.erase(found->second);
    this->entriesByBlock.erase(found);
}

void PrefixForecast::evictOldest()
{
    this->evict(this->entries.front().block);
}

void PrefixForecast::advanceSequence(std::uint64_t sequence)
{
    auto missed = this->nextSequence == 0 ? 0 : sequence - this->nextSequence;
    for (; missed > 0 && !this->entries.empty(); --missed)
        this->evictOldest();
    this->nextSequence = sequence + 1;
}

}
