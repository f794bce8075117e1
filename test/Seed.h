#pragma once

#include <cstdint>
#include <cstdlib>

namespace marigoldpaddle::testing {

// The seed of randomized tests: MARIGOLD_SEED if it is set, otherwise 1. Tests print it with every failure.
inline std::uint64_t seedFromEnvironment()
{
    const auto* text = std::getenv("MARIGOLD_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

}
