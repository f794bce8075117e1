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

void WaitingPrompts::updatePeer(std::string_view peer, TimePoint startBy, TimePoint now)
{
    std::erase_if(this->peers, [&](const auto& item) { return now - item.second.receivedAt > PeerLifetime; });
    this->peers.insert_or_assign(std::string { peer }, Peer { startBy, now });
}

TimePoint WaitingPrompts::earliestStartBy() const
{
    return this->waiting.empty() ? TimePoint::max() : *this->waiting.begin();
}

bool WaitingPrompts::isMostUrgent(TimePoint startBy, TimePoint now) const
{
    const auto isAhead = [&](const auto& item) {
        return now - item.second.receivedAt <= PeerLifetime && item.second.startBy < startBy;
    };
    return startBy <= this->earliestStartBy() && std::ranges::none_of(this->peers, isAhead);
}

}
