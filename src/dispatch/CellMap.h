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

// Groups engines by availability zone and model into cells of at most MaximumTargetsPerCell. Deterministic: every
// process computes the same cells from the same targets. The number of cells of a model in a zone is a power of two, so
// that adding targets splits cells instead of moving targets between existing ones.
CellMap makeCells(std::span<const TargetDescription> targets);

}
