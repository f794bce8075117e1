#include "base/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace marigoldpaddle {

MemoryBudget::Holding::Holding(MemoryBudget& budget, std::function<void()> reclaim)
    : budget(budget)
    , reclaim(std::move(reclaim))
{
    this->budget.holdings.insert(this);
}

MemoryBudget::Holding::~Holding()
{
    this->force(0);
    this->budget.holdings.erase(this);
}

bool MemoryBudget::Holding::resize(std::size_t bytes, TimePoint now)
{
    if (bytes > this->held) {
        while (!this->budget.allows(bytes - this->held, bytes)) {
            auto* worst = this->budget.worstHolding(*this, now);
            if (!worst) {
                ++this->budget.refusals;
                return false;
            }
            ++this->budget.reclaims;
            worst->isReclaimable = false;
            worst->force(0);
            worst->reclaim();
        }
        this->progressAt = now;
    }
    this->force(bytes);
    return true;
}

void MemoryBudget::Holding::force(std::size_t bytes)
{
    this->budget.usedBytes = this->budget.usedBytes - this->held + bytes;
    this->held = bytes;
}

void MemoryBudget::Holding::setReclaimable(bool isReclaimable, TimePoint now)
{
    this->isReclaimable = isReclaimable;
    this->progressAt = now;
}

MemoryBudget::MemoryBudget(std::size_t bytes)
    : limit(bytes)
{
}

void MemoryBudget::setLimit(std::size_t bytes)
{
    this->limit = bytes;
}

std::size_t MemoryBudget::used() const
{
    return this->usedBytes;
}

std::size_t MemoryBudget::reclaimed() const
{
    return this->reclaims;
}

std::size_t MemoryBudget::refused() const
{
    return this->refusals;
}

// Whether a holding may grow by `delta` to `bytes`.
bool MemoryBudget::allows(std::size_t delta, std::size_t bytes) const
{
    const auto share = bytes <= SmallHoldingBytes ? 1 : LargeHoldingShare;
    return static_cast<double>(this->usedBytes + delta) <= share * static_cast<double>(this->limit);
}

// The holding with the largest product of size and time without progress; null if none may be reclaimed.
MemoryBudget::Holding* MemoryBudget::worstHolding(const Holding& except, TimePoint now) const
{
    const auto waste = [&](const Holding* holding) {
        const std::chrono::duration<double> stalled = now - holding->progressAt;
        const bool isReclaimed = holding != &except && holding->isReclaimable && holding->held > 0;
        return isReclaimed && stalled >= MinimumStall ? static_cast<double>(holding->held) * stalled.count() : 0;
    };
    const auto worst = std::ranges::max_element(this->holdings, {}, waste);
    return worst != this->holdings.end() && waste(*worst) > 0 ? *worst : nullptr;
}

}
