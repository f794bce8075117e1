#include "serving/TransferSlots.h"

namespace marigoldpaddle {

TransferSlots::TransferSlots(std::size_t count)
    : count(count)
{
}

std::optional<TransferSlots::Id> TransferSlots::take(TimePoint now, TimePoint expiry)
{
    std::erase_if(this->taken, [&](const auto& slot) { return slot.second <= now; });
    if (this->taken.size() >= this->count)
        return std::nullopt;
    this->taken.emplace(++this->lastId, expiry);
    return this->lastId;
}

void TransferSlots::release(Id slot)
{
    this->taken.erase(slot);
}

}
