#include "dispatch/CellMap.h"

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace marigoldpaddle {

namespace {

// Below MaximumTargetsPerCell, so that an uneven hash distribution seldom overflows a cell into the next one.
constexpr std::size_t PlannedTargetsPerCell = 12;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

using Group = std::pair<std::string, std::string>; // Availability zone, model.

void addGroup(CellMap& cells, const Group& group, std::vector<TargetDescription> targets)
{
    std::ranges::sort(targets, {}, [](const auto& target) { return hashOf(target.name); });
    const auto count = std::bit_ceil((targets.size() + PlannedTargetsPerCell - 1) / PlannedTargetsPerCell);
    for (auto& target : targets) {
        auto number = hashOf(target.name) % count;
        while (cells[{ group.first, group.second, static_cast<std::uint32_t>(number) }].size() >= MaximumTargetsPerCell)
            number = (number + 1) % count;
        cells[{ group.first, group.second, static_cast<std::uint32_t>(number) }].push_back(std::move(target));
    }
}

}

CellMap makeCells(std::span<const TargetDescription> targets)
{
    std::map<Group, std::vector<TargetDescription>> groups;
    for (const auto& target : targets) {
        if (target.kind == TargetKind::Engine)
            groups[{ target.availabilityZone, target.serves }].push_back(target);
    }
    CellMap cells;
    for (auto& [group, members] : groups)
        addGroup(cells, group, std::move(members));
    return cells;
}

}
