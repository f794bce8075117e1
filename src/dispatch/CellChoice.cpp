#include "dispatch/CellChoice.h"

#include <algorithm>
#include <ranges>
#include <vector>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

constexpr std::chrono::milliseconds OtherZonePenalty { 20 };
// The prefix block hashed for cache affinity. Sessions of one workspace share earlier blocks and differ in this one.
constexpr std::size_t SessionBlockIndex = 3;
constexpr double SavedPrefillSecondsPerToken = 1.0 / 15'000; // Prefill time saved for each cached prefix token.

bool canHold(const CellDigest& digest, const CellQuery& query)
{
    return digest.liveTargets > 0 && digest.largestSpanTokens >= query.tokens;
}

// Returns the rendezvous hashing weight of a cell for a prefix block.
std::uint64_t rendezvousWeight(const CellDigest& digest, std::uint64_t block)
{
    auto seed = XXH3_64bits_withSeed(digest.cell.availabilityZone.data(), digest.cell.availabilityZone.size(), block);
    return XXH3_64bits_withSeed(&digest.cell.number, sizeof digest.cell.number, seed);
}

std::optional<std::size_t> cellForPrefix(
    std::span<const CellDigest> digests, std::span<const std::size_t> eligible, const CellQuery& query)
{
    if (query.prefixBlocks.empty() || eligible.empty())
        return std::nullopt;
    auto block = query.prefixBlocks[std::min(SessionBlockIndex, query.prefixBlocks.size() - 1)];
    return std::ranges::max(eligible, {}, [&](std::size_t index) { return rendezvousWeight(digests[index], block); });
}

void sampleTwo(std::vector<std::size_t> from, std::vector<std::size_t>& candidates, std::mt19937_64& random)
{
    std::ranges::sample(from, std::back_inserter(candidates), 2, random);
}

}

std::optional<std::size_t> chooseCell(
    std::span<const CellDigest> digests, const CellQuery& query, std::mt19937_64& random)
{
    std::vector<std::size_t> eligible;
    for (std::size_t index = 0; index < digests.size(); ++index)
        if (canHold(digests[index], query))
            eligible.push_back(index);
    if (eligible.empty())
        return std::nullopt;
    auto isOwn = [&](std::size_t index) {
        return digests[index].cell.availabilityZone == query.availabilityZone;
    };
    auto others = std::ranges::partition(eligible, isOwn);
    std::vector<std::size_t> candidates;
    sampleTwo({ eligible.begin(), others.begin() }, candidates, random);
    sampleTwo({ others.begin(), others.end() }, candidates, random);
    auto preferred = cellForPrefix(digests, eligible, query);
    if (preferred)
        candidates.push_back(*preferred);
    auto reusable = static_cast<double>(query.prefixBlocks.size() * query.prefixBlockTokens);
    std::chrono::duration<double> saved { reusable * SavedPrefillSecondsPerToken };
    auto cost = [&](std::size_t index) {
        std::chrono::duration<double> result = digests[index].expectedWait;
        result += isOwn(index) ? Duration::zero() : Duration { OtherZonePenalty };
        return preferred == index ? result - saved : result;
    };
    return std::ranges::min(candidates, {}, cost);
}

}
