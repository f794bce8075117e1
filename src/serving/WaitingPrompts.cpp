#include "serving/WaitingPrompts.h"

#include <algorithm>

namespace marigoldpaddle {

WaitingPrompts::Entry WaitingPrompts::add(TimePoint startBy)
{
    return this->waiting.insert(startBy);
}

void WaitingPrompts::remove(Entry entry)
{
    this->waiting.erase(entry);
}

void WaitingPrompts::applyPeer(std::string_view peer, TimePoint startBy, TimePoint now)
{
    std::erase_if(this->peers, [&](const auto& item) { return now - item.second.heardAt > PeerLifetime; });
    this->peers.insert_or_assign(std::string { peer }, Peer { startBy, now });
}

TimePoint WaitingPrompts::mostUrgent() const
{
    return this->waiting.empty() ? TimePoint::max() : *this->waiting.begin();
}

bool WaitingPrompts::isNext(TimePoint startBy, TimePoint now) const
{
    const auto isAhead = [&](const auto& item) {
        return now - item.second.heardAt <= PeerLifetime && item.second.startBy < startBy;
    };
    return startBy <= this->mostUrgent() && std::ranges::none_of(this->peers, isAhead);
}

}
