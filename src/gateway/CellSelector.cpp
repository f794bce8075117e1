#include "gateway/CellSelector.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace marigoldpaddle {

namespace {

bool isLive(const CellView& view, const CellRequirements& requirements)
{
    return view.digest.cell.model == requirements.model && view.digest.liveTargets > 0;
}

// A capacity of 0 means unknown, since digests of cells owned by other dispatchers may lack it. Such a cell counts as
// large enough.
bool canHold(const CellView& view, const CellRequirements& requirements)
{
    return view.digest.largestSpanTokens == 0 || requirements.tokens <= view.digest.largestSpanTokens;
}

bool isBetter(const CellView& left, const CellView& right)
{
    const auto rank = [](const CellView& view) {
        return std::tuple { view.digest.expectedWait, view.digest.queued / std::max(view.digest.liveTargets, 1u) };
    };
    if (rank(left) != rank(right))
        return rank(left) < rank(right);
    return left.digest.freeTokens > right.digest.freeTokens;
}

}

CellSelector::CellSelector(std::string availabilityZone, std::mt19937_64& random)
    : availabilityZone(std::move(availabilityZone))
    , random(random)
{
}

const CellView* CellSelector::select(std::span<const CellView> cells, const CellRequirements& requirements)
{
    std::vector<const CellView*> sameZone;
    std::vector<const CellView*> otherZones;
    for (const auto& view : cells) {
        if (!isLive(view, requirements) || !canHold(view, requirements))
            continue;
        const auto isSameZone = view.digest.cell.availabilityZone == this->availabilityZone;
        (isSameZone ? sameZone : otherZones).push_back(&view);
    }
    return this->betterOfTwo(sameZone.empty() ? otherZones : sameZone);
}

RefusalReason CellSelector::refusalReason(std::span<const CellView> cells, const CellRequirements& requirements)
{
    const auto isTooSmall = [&](const CellView& view) {
        return isLive(view, requirements) && !canHold(view, requirements);
    };
    return std::ranges::any_of(cells, isTooSmall) ? RefusalReason::PromptTooLong : RefusalReason::NoTarget;
}

const CellView* CellSelector::betterOfTwo(std::span<const CellView* const> candidates)
{
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> distribution { 0, candidates.size() - 1 };
    const auto* first = candidates[distribution(this->random)];
    const auto* second = candidates[distribution(this->random)];
    return isBetter(*second, *first) ? second : first;
}

}
