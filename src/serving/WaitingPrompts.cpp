#include "serving/WaitingPrompts.h"

#include <algorithm>

namespace marigoldpaddle {

WaitingPrompts::Entry WaitingPrompts::add(PromptUrgency urgency)
{
    return this->waiting.insert(urgency);
}

void WaitingPrompts::remove(Entry entry)
{
    this->waiting.erase(entry);
}

void WaitingPrompts::updatePeer(std::string_view peer, std::optional<PromptUrgency> urgency, TimePoint now)
{
    std::erase_if(this->peers, [&](const auto& item) { return now - item.second.receivedAt > PeerLifetime; });
    this->peers.insert_or_assign(std::string { peer }, Peer { urgency, now });
}

std::optional<PromptUrgency> WaitingPrompts::mostUrgent() const
{
    return this->waiting.empty() ? std::nullopt : std::optional { *this->waiting.begin() };
}

bool WaitingPrompts::isMostUrgent(PromptUrgency urgency, TimePoint now) const
{
    const auto own = this->mostUrgent();
    const auto isAhead = [&](const auto& item) {
        return now - item.second.receivedAt <= PeerLifetime && item.second.urgency && *item.second.urgency < urgency;
    };
    return (!own || urgency <= *own) && std::ranges::none_of(this->peers, isAhead);
}

}
