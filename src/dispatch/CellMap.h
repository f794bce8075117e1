#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/PlatformLog.h>
#include <marigoldpaddle/Target.h>

namespace marigoldpaddle {

inline constexpr std::size_t MaximumTargetsPerCell = 16;

using CellMap = std::map<CellId, std::vector<TargetDescription>>;

// Groups the engines into cells of at most MaximumTargetsPerCell. Every process makes the same cells of the same list.
// The number of cells of a model in a zone is a power of two, so that growth splits cells and leaves the others as they
// are.
CellMap makeCells(std::span<const TargetDescription> targets);

}
