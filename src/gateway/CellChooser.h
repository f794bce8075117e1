#pragma once

#include <random>
#include <span>
#include <string>
#include <string_view>

#include "gateway/GatewayView.h"

namespace marigoldpaddle {

// What a prompt needs of a cell.
struct CellNeeds {
    std::string_view model;
    std::uint64_t tokens { 0 }; // Prompt and longest answer.
};

// Chooses the cell that a prompt is queued in: the better of two drawn at random, so that gateways with the same old
// digests do not all turn to the same cell. Cells of the own availability zone come first.
class CellChooser {
public:
    // `random` must outlive the chooser.
    CellChooser(std::string availabilityZone, std::mt19937_64& random);

    // Returns null when no live cell can hold the prompt.
    const CellView* choose(std::span<const CellView> cells, const CellNeeds& needs);

    // Says why `choose` found nothing.
    static RefusalReason reasonForNone(std::span<const CellView> cells, const CellNeeds& needs);

private:
    const CellView* betterOfTwo(std::span<const CellView* const> candidates);

    std::string availabilityZone;
    std::mt19937_64& random;
};

}
