#include "claims/ClaimLoader.h"

#include <algorithm>

namespace marigoldpaddle {

ClaimLoader::ClaimLoader(std::uint64_t firstKept, std::uint64_t end)
    : firstKept(firstKept)
    , end(end)
    , next(firstKept)
{
}

void ClaimLoader::scan(const LogPage& page)
{
    for (const auto& record : page.records) {
        if (record.offset < this->next)
            continue;
        this->next = record.offset + 1;
        auto batch = decodeBatch(record.data);
        if (batch && batch.value().checkpoint)
            this->collect(record.offset, std::move(*batch.value().checkpoint));
    }
}

// Parts are appended in order, so a part that does not follow the one before it belongs to a broken checkpoint.
void ClaimLoader::collect(std::uint64_t offset, ClaimCheckpoint part)
{
    const auto id = part.id;
    const auto found = this->partial.find(id);
    if (part.part == 0) {
        std::erase_if(this->partial, [&](const auto& other) { return other.second.shard == part.shard; });
        this->partial[id] = std::move(part);
    } else if (found != this->partial.end() && found->second.part + 1 == part.part && found->second.asOf == part.asOf) {
        found->second.part = part.part;
        std::ranges::move(part.entries, std::back_inserter(found->second.entries));
    } else {
        return;
    }
    auto& checkpoint = this->partial[id];
    if (checkpoint.part + 1 != checkpoint.parts)
        return;
    checkpoint.foundAt = offset;
    const auto shard = checkpoint.shard;
    const auto isUsable = checkpoint.asOf >= this->firstKept && checkpoint.asOf <= offset;
    const auto known = this->newest.find(shard);
    if (isUsable && (known == this->newest.end() || known->second.asOf < checkpoint.asOf))
        this->newest[shard] = std::move(checkpoint);
    this->partial.erase(id);
}

std::uint64_t ClaimLoader::nextOffset() const
{
    return this->next;
}

bool ClaimLoader::isDone() const
{
    return this->next >= this->end;
}

ClaimLedger ClaimLoader::makeLedger(TimePoint readAt)
{
    std::vector<ClaimCheckpoint> checkpoints;
    checkpoints.reserve(this->newest.size());
    for (auto& [shard, checkpoint] : this->newest)
        checkpoints.push_back(std::move(checkpoint));
    return ClaimLedger { this->firstKept, std::move(checkpoints), readAt };
}

}
