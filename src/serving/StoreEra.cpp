#include "serving/StoreEra.h"

#include <utility>

namespace marigoldpaddle {

std::uint64_t StoreEra::current() const
{
    return this->era;
}

StoreEra::Verdict StoreEra::change(std::uint64_t era)
{
    const auto previous = std::exchange(this->era, era);
    return previous != 0 && era > previous ? Verdict::Risen : Verdict::Current;
}

StoreEra::Verdict StoreEra::acceptFromStore(std::uint64_t era, std::uint64_t whenAsked)
{
    const bool isOlder = era < this->ofStore.value_or(0);
    if (isOlder || (era < this->era && era >= whenAsked))
        return Verdict::Rejected;
    this->ofStore = era;
    if (era < this->era) {
        this->refuted = std::exchange(this->era, era);
        return Verdict::Refuted;
    }
    return this->change(era);
}

StoreEra::Verdict StoreEra::acceptFromPeer(std::uint64_t era)
{
    if (era > Maximum)
        return Verdict::Rejected;
    if (!this->ofStore)
        return this->change(era);
    const bool isCredible = era <= this->era + MaximumMissedRestores && (era == this->era || era > this->refuted);
    if (era < this->era || !isCredible)
        return Verdict::Rejected;
    return this->change(era);
}

}
