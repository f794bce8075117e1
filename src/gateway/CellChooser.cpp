#include "gateway/CellChooser.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace marigoldpaddle {

namespace {

bool isLive(const CellView& view, const CellNeeds& needs)
{
    return view.digest.cell.model == needs.model && view.digest.liveTargets > 0;
}

// Digests of cells that other dispatchers own may not carry their capacity: 0 is taken for unknown.
bool canHold(const CellView& view, const CellNeeds& needs)
{
    return view.digest.largestSpanTokens == 0 || needs.tokens <= view.digest.largestSpanTokens;
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

CellChooser::CellChooser(std::string availabilityZone, std::mt19937_64& random)
    : availabilityZone(std::move(availabilityZone))
    , random(random)
{
}

const CellView* CellChooser::choose(std::span<const CellView> cells, const CellNeeds& needs)
{
    std::vector<const CellView*> own;
    std::vector<const CellView*> others;
    for (const auto& view : cells) {
        if (!isLive(view, needs) || !canHold(view, needs))
            continue;
        const auto isOwn = view.digest.cell.availabilityZone == this->availabilityZone;
        (isOwn ? own : others).push_back(&view);
    }
    return this->betterOfTwo(own.empty() ? others : own);
}

RefusalReason CellChooser::reasonForNone(std::span<const CellView> cells, const CellNeeds& needs)
{
    const auto isTooSmall = [&](const CellView& view) {
        return isLive(view, needs) && !canHold(view, needs);
    };
    return std::ranges::any_of(cells, isTooSmall) ? RefusalReason::PromptTooLong : RefusalReason::NoTarget;
}

const CellView* CellChooser::betterOfTwo(std::span<const CellView* const> candidates)
{
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw { 0, candidates.size() - 1 };
    const auto* first = candidates[draw(this->random)];
    const auto* second = candidates[draw(this->random)];
    return isBetter(*second, *first) ? second : first;
}

}
