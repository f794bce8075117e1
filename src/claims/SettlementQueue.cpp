#include "claims/SettlementQueue.h"

namespace marigoldpaddle {

SettlementQueue::SettlementQueue(std::size_t limit)
    : limit(limit)
{
}

bool SettlementQueue::add(std::uint64_t ticket, const ClaimSettlementItem& item)
{
    const auto found = this->entries.find(item.claim);
    if (found != this->entries.end()) {
        found->second.tickets.push_back(ticket);
        return true;
    }
    if (this->entries.size() >= this->limit)
        return false;
    auto& entry = this->entries[item.claim];
    entry.item = item;
    entry.item.outcome = boundedOutcome(std::move(entry.item.outcome));
    entry.tickets.push_back(ticket);
    this->unsent.push_back(item.claim);
    return true;
}

std::vector<ClaimReference> SettlementQueue::addTo(
    ClaimBatch& batch, std::size_t maximumItems, std::size_t maximumBodyBytes)
{
    std::vector<ClaimReference> moved;
    std::size_t bodyBytes = 0;
    while (!this->unsent.empty() && moved.size() < maximumItems && bodyBytes < maximumBodyBytes) {
        const auto claim = this->unsent.front();
        this->unsent.pop_front();
        const auto found = this->entries.find(claim);
        if (found == this->entries.end())
            continue;
        const auto& item = found->second.item;
        moved.push_back(claim);
        bodyBytes += item.outcome.body.size();
        if (item.kind == ClaimSettlementItem::Kind::NotSent)
            batch.releases.push_back(claim);
        else if (item.kind == ClaimSettlementItem::Kind::Outcome)
            batch.outcomes.push_back({ claim, item.outcome });
        else
            batch.outcomes.push_back({ claim, std::nullopt });
    }
    return moved;
}

void SettlementQueue::requeue(std::span<const ClaimReference> claims)
{
    for (const auto& claim : claims) {
        if (this->entries.contains(claim))
            this->unsent.push_back(claim);
    }
}

std::vector<std::uint64_t> SettlementQueue::remove(const ClaimReference& claim)
{
    const auto found = this->entries.find(claim);
    if (found == this->entries.end())
        return {};
    auto tickets = std::move(found->second.tickets);
    this->entries.erase(found);
    return tickets;
}

const ClaimSettlementItem* SettlementQueue::find(const ClaimReference& claim) const
{
    const auto found = this->entries.find(claim);
    return found == this->entries.end() ? nullptr : &found->second.item;
}

const CallOutcome* SettlementQueue::outcomeOf(const ClaimReference& claim) const
{
    const auto* item = this->find(claim);
    return item && item->kind == ClaimSettlementItem::Kind::Outcome ? &item->outcome : nullptr;
}

bool SettlementQueue::hasUnsent() const
{
    return !this->unsent.empty();
}

std::size_t SettlementQueue::size() const
{
    return this->entries.size();
}

}
