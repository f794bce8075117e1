#include "serving/TargetDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

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

bool TargetDirectory::upsert(const TargetEntry& entry, BootTime now)
{
    std::erase_if(this->departures,
        [&](const auto& item) { return item.second.endedAt && now - *item.second.endedAt > DepartureMemory; });
    const bool isDeparture = this->isDeparture(entry);
    const auto known = this->tracked.find(entry.id);
    const bool isNew = known == this->tracked.end();
    if (isDeparture && (isNew || known->second.entry.incarnation > entry.incarnation))
        return false;
    auto& tracked = isNew ? this->tracked[entry.id] : known->second;
    tracked.removedAt.reset();
    auto next = entry;
    next.isLeaving |= isDeparture;
    if (!isNew && isSameRegistration(tracked.entry, next))
        return false;
    if (next.isLeaving)
        this->recordDeparture(next);
    else
        this->endDeparture(next.id, now);
    tracked.entry = std::move(next);
    return true;
}

bool TargetDirectory::isDeparture(const TargetEntry& entry) const
{
    const auto found = this->departures.find(entry.id);
    return found != this->departures.end() && entry.incarnation <= found->second.lastIncarnation;
}

void TargetDirectory::recordDeparture(const TargetEntry& entry)
{
    auto& departure = this->departures[entry.id];
    departure.lastIncarnation = std::max(departure.lastIncarnation, entry.incarnation);
    departure.endedAt.reset();
}

// From now on the departure is remembered for a limited time.
void TargetDirectory::endDeparture(std::string_view id, BootTime now)
{
    if (const auto found = this->departures.find(id); found != this->departures.end())
        found->second.endedAt = found->second.endedAt.value_or(now);
}

bool TargetDirectory::remove(std::string_view id, BootTime now)
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

void TargetDirectory::erase(std::map<std::string, TrackedTarget, std::less<>>::iterator position, BootTime now)
{
    this->endDeparture(position->first, now);
    this->tracked.erase(position);
}

void TargetDirectory::beginRecovery(BootTime now)
{
    this->graceUntil = now + RemovalGrace;
}

bool TargetDirectory::replaceAll(const std::vector<TargetEntry>& entries, BootTime now)
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

void TargetDirectory::recordRead(BootTime now)
{
    if (this->lastRead && now - *this->lastRead > this->readGapThreshold)
        this->graceUntil = now + RemovalGrace;
    this->lastRead = now;
    if (now < this->graceUntil)
        return;
    for (auto position = this->tracked.begin(); position != this->tracked.end();) {
        const auto current = position++;
        if (current->second.removedAt)
            this->erase(current, now);
    }
}

bool TargetDirectory::markLeaving(const TargetEntry& target, BootTime now)
{
    const auto known = this->tracked.find(target.id);
    const bool isTracked = known != this->tracked.end() && known->second.entry.incarnation <= target.incarnation;
    if (this->isDeparture(target))
        return false;
    this->recordDeparture(target);
    if (isTracked)
        known->second.entry.isLeaving = true;
    else
        this->endDeparture(target.id, now);
    return true;
}

void TargetDirectory::setEvacuatedZones(ZoneNames zones)
{
    this->evacuatedZones = std::move(zones);
}

bool TargetDirectory::isEvacuated(const TargetEntry& entry) const
{
    return this->evacuatedZones.contains(entry.availabilityZone);
}

bool TargetDirectory::hasEvacuatedTargets(std::string_view service) const
{
    return std::ranges::any_of(this->tracked, [&](const auto& item) {
        const auto& entry = item.second.entry;
        return entry.service == service && !entry.isLeaving && this->isEvacuated(entry);
    });
}

std::vector<const TargetEntry*> TargetDirectory::available(std::string_view service) const
{
    std::vector<const TargetEntry*> targets;
    for (const auto& [id, tracked] : this->tracked) {
        if (tracked.entry.service == service && !tracked.entry.isLeaving && !this->isEvacuated(tracked.entry))
            targets.push_back(&tracked.entry);
    }
    return targets;
}

const TargetEntry* TargetDirectory::find(std::string_view id) const
{
    const auto found = this->tracked.find(id);
    return found == this->tracked.end() ? nullptr : &found->second.entry;
}

std::vector<TargetEntry> TargetDirectory::atAddress(std::string_view address) const
{
    std::vector<TargetEntry> targets;
    for (const auto& [id, tracked] : this->tracked) {
        if (tracked.entry.address == address)
            targets.push_back(tracked.entry);
    }
    return targets;
}

bool TargetDirectory::acceptsWork(const TargetEntry& entry) const
{
    const auto found = this->tracked.find(entry.id);
    if (found == this->tracked.end())
        return false;
    const auto& tracked = found->second;
    return tracked.entry.incarnation == entry.incarnation && !tracked.entry.isLeaving
        && !this->isEvacuated(tracked.entry);
}

std::size_t TargetDirectory::size() const
{
    return this->tracked.size();
}

std::optional<Duration> TargetDirectory::age(BootTime now) const
{
    if (!this->lastRead)
        return std::nullopt;
    return now - *this->lastRead;
}

}
