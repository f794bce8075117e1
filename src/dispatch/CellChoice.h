#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include <marigoldpaddle/CellScheduler.h>

namespace marigoldpaddle {

// What the choice of a cell depends on.
struct CellQuery {
    std::string_view availabilityZone; // Of the gateway.
    std::uint64_t tokens { 0 }; // Prompt and output at most.
    std::span<const std::uint64_t> prefixBlocks;
    std::uint64_t prefixBlockTokens { 256 };
};

// Chooses a cell for a request from digests that may be late; returns its index, or none if no cell can hold the
// request. Compares two random cells of the own zone, two of the others and the one that earlier requests with the same
// prefix went to, by expected wait; a cell of another zone and a cell that is unlikely to hold the prefix count as
// slower.
std::optional<std::size_t> chooseCell(
    std::span<const CellDigest> digests, const CellQuery& query, std::mt19937_64& random);

}
