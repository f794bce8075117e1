#include "dispatch/CellChoice.h"

#include <algorithm>
#include <ranges>
#include <vector>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

constexpr std::chrono::milliseconds OtherZonePenalty { 20 };
constexpr std::size_t SessionBlock = 3; // The prefix block that tells sessions of one workspace apart.
constexpr double SavedSecondsPerToken = 1.0 / 15'000; // Prefill time that a cached prefix saves.

bool canHold(const CellDigest& digest, const CellQuery& query)
{
    return digest.liveTargets > 0 && digest.largestSpanTokens >= query.tokens;
}

// Hashes the pair of prefix and cell, for rendezvous.
std::uint64_t affinity(const CellDigest& digest, std::uint64_t block)
{
    auto seed = XXH3_64bits_withSeed(digest.cell.availabilityZone.data(), digest.cell.availabilityZone.size(), block);
    return XXH3_64bits_withSeed(&digest.cell.number, sizeof digest.cell.number, seed);
}

std::optional<std::size_t> prefixCell(
    std::span<const CellDigest> digests, std::span<const std::size_t> able, const CellQuery& query)
{
    if (query.prefixBlocks.empty() || able.empty())
        return std::nullopt;
    auto block = query.prefixBlocks[std::min(SessionBlock, query.prefixBlocks.size() - 1)];
    return std::ranges::max(able, {}, [&](std::size_t index) { return affinity(digests[index], block); });
}

void addTwo(std::vector<std::size_t> from, std::vector<std::size_t>& candidates, std::mt19937_64& random)
{
    std::ranges::sample(from, std::back_inserter(candidates), 2, random);
}

}

std::optional<std::size_t> chooseCell(
    std::span<const CellDigest> digests, const CellQuery& query, std::mt19937_64& random)
{
    std::vector<std::size_t> able;
    for (std::size_t index = 0; index < digests.size(); ++index)
        if (canHold(digests[index], query))
            able.push_back(index);
    if (able.empty())
        return std::nullopt;
    auto isOwn = [&](std::size_t index) {
        return digests[index].cell.availabilityZone == query.availabilityZone;
    };
    auto others = std::ranges::partition(able, isOwn);
    std::vector<std::size_t> candidates;
    addTwo({ able.begin(), others.begin() }, candidates, random);
    addTwo({ others.begin(), others.end() }, candidates, random);
    auto preferred = prefixCell(digests, able, query);
    if (preferred)
        candidates.push_back(*preferred);
    auto reusable = static_cast<double>(query.prefixBlocks.size() * query.prefixBlockTokens);
    std::chrono::duration<double> saved { reusable * SavedSecondsPerToken };
    auto cost = [&](std::size_t index) {
        std::chrono::duration<double> result = digests[index].expectedWait;
        result += isOwn(index) ? Duration::zero() : Duration { OtherZonePenalty };
        return preferred == index ? result - saved : result;
    };
    return std::ranges::min(candidates, {}, cost);
}

}
