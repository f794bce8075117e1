#include "serving/TransitDelays.h"

#include <algorithm>

namespace marigoldpaddle {

Duration TransitDelays::record(std::string_view sender, std::int64_t incarnation, Duration sentAt, Duration receivedAt)
{
    const auto difference = receivedAt - sentAt;
    auto known = this->senders.find(sender);
    if (known == this->senders.end() || known->second.incarnation != incarnation) {
        if (this->senders.size() >= MaximumSenders)
            this->senders.clear();
        const bool isInSameQueue = receivedAt - this->latestReadAt <= QueueGap;
        const auto undelayed = difference - (isInSameQueue ? this->latest : Duration::zero());
        known = this->senders
                    .insert_or_assign(std::string { sender }, Sender { incarnation, receivedAt, undelayed, undelayed })
                    .first;
    }
    auto& entry = known->second;
    if (receivedAt - entry.windowStart >= Window) {
        entry.windowStart = receivedAt;
        entry.smallestBefore = entry.smallest;
        entry.smallest = difference;
    }
    entry.smallest = std::min(entry.smallest, difference);
    this->latest = difference - std::min(entry.smallest, entry.smallestBefore);
    this->latestReadAt = receivedAt;
    return this->latest;
}

}
