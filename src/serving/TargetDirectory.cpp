#include "serving/TargetDirectory.h"

#include <algorithm>
#include <set>

namespace marigoldpaddle {

bool TargetDirectory::upsert(const TargetEntry& entry, TimePoint now)
{
    (void)now;
    auto [position, isNew] = this->tracked.try_emplace(entry.id);
    auto& tracked = position->second;
    tracked.removedAt.reset();
    if (!isNew && tracked.entry == entry)
        return false;
    if (!isNew && (tracked.entry.incarnation != entry.incarnation || tracked.entry.address != entry.address))
        tracked.isMarkedLeaving = false;
    tracked.entry = entry;
    return true;
}

bool TargetDirectory::remove(std::string_view id, TimePoint now)
{
    const auto found = this->tracked.find(id);
    if (found == this->tracked.end())
        return false;
    const bool afterGap = this->lastRead && now - *this->lastRead > ReadGapThreshold;
    if (!found->second.entry.isLeaving && (afterGap || now < this->graceUntil)) {
        found->second.removedAt = found->second.removedAt.value_or(now);
        return false;
    }
    this->tracked.erase(found);
    return true;
}

bool TargetDirectory::replaceAll(const std::vector<TargetEntry>& entries, TimePoint now)
{
    bool changed = false;
    std::set<std::string_view> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.id);
        changed |= this->upsert(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, tracked] : this->tracked) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        changed |= this->remove(id, now);
    return changed;
}

void TargetDirectory::recordRead(TimePoint now)
{
    if (this->lastRead && now - *this->lastRead > ReadGapThreshold)
        this->graceUntil = now + RemovalGrace;
    this->lastRead = now;
    if (now < this->graceUntil)
        return;
    std::erase_if(this->tracked, [](const auto& item) { return item.second.removedAt.has_value(); });
}

void TargetDirectory::markLeaving(std::string_view id)
{
    if (const auto found = this->tracked.find(id); found != this->tracked.end())
        found->second.isMarkedLeaving = true;
}

std::vector<const TargetEntry*> TargetDirectory::available(std::string_view service) const
{
    std::vector<const TargetEntry*> targets;
    for (const auto& [id, tracked] : this->tracked) {
        if (tracked.entry.service == service && !tracked.entry.isLeaving && !tracked.isMarkedLeaving)
            targets.push_back(&tracked.entry);
    }
    return targets;
}

const TargetEntry* TargetDirectory::find(std::string_view id) const
{
    const auto found = this->tracked.find(id);
    return found == this->tracked.end() ? nullptr : &found->second.entry;
}

std::size_t TargetDirectory::size() const
{
    return this->tracked.size();
}

std::optional<Duration> TargetDirectory::age(TimePoint now) const
{
    if (!this->lastRead)
        return std::nullopt;
    return now - *this->lastRead;
}

}
