#include "serving/TargetDirectory.h"

#include <algorithm>
#include <set>

namespace marigoldpaddle {

namespace {

// The warm-up period counts down with every heartbeat, which is no change.
bool isSameRegistration(const TargetEntry& first, TargetEntry second)
{
    second.warmUpPeriod = first.warmUpPeriod;
    return first == second;
}

}

void TargetDirectory::setReadGapThreshold(Duration threshold)
{
    this->readGapThreshold = threshold;
}

bool TargetDirectory::upsert(const TargetEntry& entry, TimePoint now)
{
    std::erase_if(this->departed, [&](const auto& item) { return now - item.second.at > DepartureMemory; });
    if (this->hasDeparted(entry))
        return false;
    auto [position, isNew] = this->tracked.try_emplace(entry.id);
    auto& tracked = position->second;
    tracked.removedAt.reset();
    auto next = entry;
    const bool isRestart = tracked.entry.incarnation != entry.incarnation || tracked.entry.address != entry.address;
    if (!isNew && !isRestart)
        next.isLeaving |= tracked.entry.isLeaving;
    if (!isNew && isSameRegistration(tracked.entry, next))
        return false;
    if (isRestart)
        tracked.isMarkedLeaving = false;
    tracked.entry = std::move(next);
    return true;
}

bool TargetDirectory::hasDeparted(const TargetEntry& entry) const
{
    const auto found = this->departed.find(entry.id);
    return found != this->departed.end() && found->second.incarnation == entry.incarnation;
}

bool TargetDirectory::remove(std::string_view id, TimePoint now)
{
    const auto found = this->tracked.find(id);
    if (found == this->tracked.end())
        return false;
    const bool afterGap = this->lastRead && now - *this->lastRead > this->readGapThreshold;
    if (!found->second.entry.isLeaving && (afterGap || now < this->graceUntil)) {
        found->second.removedAt = found->second.removedAt.value_or(now);
        return false;
    }
    this->erase(found, now);
    return true;
}

void TargetDirectory::erase(std::map<std::string, TrackedTarget, std::less<>>::iterator position, TimePoint now)
{
    const auto& entry = position->second.entry;
    if (entry.isLeaving || position->second.isMarkedLeaving)
        this->departed.insert_or_assign(entry.id, DepartedTarget { entry.incarnation, now });
    this->tracked.erase(position);
}

void TargetDirectory::beginRecovery(TimePoint now)
{
    this->graceUntil = now + RemovalGrace;
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
    if (this->lastRead && now - *this->lastRead > this->readGapThreshold)
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

bool TargetDirectory::acceptsWork(const TargetEntry& entry) const
{
    const auto found = this->tracked.find(entry.id);
    if (found == this->tracked.end())
        return false;
    const auto& tracked = found->second;
    return tracked.entry.incarnation == entry.incarnation && !tracked.entry.isLeaving && !tracked.isMarkedLeaving;
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
