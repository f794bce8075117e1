#pragma once

#include <random>
#include <span>
#include <string>
#include <string_view>

#include "gateway/ClusterView.h"

namespace marigoldpaddle {

// The requirements of a prompt that its cell must meet.
struct CellRequirements {
    std::string_view model;
    std::uint64_t tokens { 0 }; // Prompt tokens plus the maximum output tokens.
};

// Selects the cell to queue a prompt in by the power of two choices: the better of two randomly drawn cells. The random
// draw keeps gateways that hold the same stale load digests from all selecting the same cell. Cells in the gateway's
// own availability zone take precedence; other zones are used only if it has no suitable cell.
class CellSelector {
public:
    // `random` must outlive the selector.
    CellSelector(std::string availabilityZone, std::mt19937_64& random);

    // Returns an element of `cells`, or null if no live cell of the model can hold the prompt.
    const CellView* select(std::span<const CellView> cells, const CellRequirements& requirements);

    // Returns the reason to refuse a prompt for which `select` returns null: PromptTooLong if a live cell serves the
    // model but is too small, NoTarget otherwise.
    static RefusalReason refusalReason(std::span<const CellView> cells, const CellRequirements& requirements);

private:
    const CellView* betterOfTwo(std::span<const CellView* const> candidates);

    std::string availabilityZone;
    std::mt19937_64& random;
};

}
