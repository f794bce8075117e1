#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

// The request properties that chooseCell uses.
struct CellQuery {
    std::string_view availabilityZone; // The gateway's zone.
    std::uint64_t tokens { 0 }; // Prompt tokens plus maximum output tokens.
    std::span<const std::uint64_t> prefixBlocks; // See PlacementRequest.
    std::uint64_t prefixBlockTokens { 256 };
};

// Chooses a cell for a request and returns its index in `digests`; empty if no cell can hold the request. The digests
// may be out of date. Candidates are two random cells of the gateway's zone, two random cells of other zones (the power
// of two choices) and the cell that rendezvous hashing assigns to the prompt's prefix, whose caches are likely to hold
// it. Returns the candidate with the lowest cost: the expected wait, plus a penalty for another zone, minus the prefill
// time that a cached prefix saves.
std::optional<std::size_t> chooseCell(
    std::span<const CellDigest> digests, const CellQuery& query, std::mt19937_64& random);

}
