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
            this->addPart(record.offset, std::move(*batch.value().checkpoint));
    }
}

// Adds a part to its checkpoint. Parts are appended in order, so a part that does not follow the previous one belongs
// to an incomplete checkpoint and is ignored.
void ClaimLoader::addPart(std::uint64_t offset, ClaimCheckpoint part)
{
    const auto id = part.id;
    const auto found = this->incompleteCheckpoints.find(id);
    if (part.part == 0) {
        std::erase_if(this->incompleteCheckpoints, [&](const auto& other) { return other.second.shard == part.shard; });
        this->incompleteCheckpoints[id] = std::move(part);
    } else if (found != this->incompleteCheckpoints.end() && found->second.part + 1 == part.part
        && found->second.asOf == part.asOf) {
        found->second.part = part.part;
        std::ranges::move(part.entries, std::back_inserter(found->second.entries));
    } else {
        return;
    }
    auto& checkpoint = this->incompleteCheckpoints[id];
    if (checkpoint.part + 1 != checkpoint.parts)
        return;
    checkpoint.lastPartOffset = offset;
    const auto shard = checkpoint.shard;
    const auto isUsable = checkpoint.asOf >= this->firstKept && checkpoint.asOf <= offset;
    const auto known = this->newestCheckpoints.find(shard);
    if (isUsable && (known == this->newestCheckpoints.end() || known->second.asOf < checkpoint.asOf))
        this->newestCheckpoints[shard] = std::move(checkpoint);
    this->incompleteCheckpoints.erase(id);
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
    checkpoints.reserve(this->newestCheckpoints.size());
    for (auto& [shard, checkpoint] : this->newestCheckpoints)
        checkpoints.push_back(std::move(checkpoint));
    return ClaimLedger { this->firstKept, std::move(checkpoints), readAt };
}

}
