#include "serving/TargetDirectory.h"

#include <algorithm>
#include <set>

namespace marigoldpaddle {

bool TargetDirectory::upsert(const TargetEntry& entry, TimePoint now)
{
    (void)now;
    auto [position, isNew] = this->known.try_emplace(entry.id);
    auto& known = position->second;
    known.removedAt.reset();
    if (!isNew && known.entry == entry)
        return false;
    if (!isNew && (known.entry.born != entry.born || known.entry.address != entry.address))
        known.isMarkedLeaving = false;
    known.entry = entry;
    return true;
}

bool TargetDirectory::remove(std::string_view id, TimePoint now)
{
    const auto found = this->known.find(id);
    if (found == this->known.end())
        return false;
    const bool afterGap = this->lastRead && now - *this->lastRead > GapThreshold;
    if (!found->second.entry.isLeaving && (afterGap || now < this->graceUntil)) {
        found->second.removedAt = found->second.removedAt.value_or(now);
        return false;
    }
    this->known.erase(found);
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
    for (const auto& [id, known] : this->known) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        changed |= this->remove(id, now);
    return changed;
}

void TargetDirectory::noteRead(TimePoint now)
{
    if (this->lastRead && now - *this->lastRead > GapThreshold)
        this->graceUntil = now + ReturnGrace;
    this->lastRead = now;
    if (now < this->graceUntil)
        return;
    std::erase_if(this->known, [](const auto& item) { return item.second.removedAt.has_value(); });
}

void TargetDirectory::markLeaving(std::string_view id)
{
    if (const auto found = this->known.find(id); found != this->known.end())
        found->second.isMarkedLeaving = true;
}

std::vector<const TargetEntry*> TargetDirectory::available(std::string_view service) const
{
    std::vector<const TargetEntry*> targets;
    for (const auto& [id, known] : this->known) {
        if (known.entry.service == service && !known.entry.isLeaving && !known.isMarkedLeaving)
            targets.push_back(&known.entry);
    }
    return targets;
}

const TargetEntry* TargetDirectory::find(std::string_view id) const
{
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second.entry;
}

std::size_t TargetDirectory::size() const
{
    return this->known.size();
}

std::optional<Duration> TargetDirectory::age(TimePoint now) const
{
    if (!this->lastRead)
        return std::nullopt;
    return now - *this->lastRead;
}

}
