#include "serving/view/EvacuatedZones.h"

#include <ranges>
#include <utility>

namespace marigoldpaddle {

bool EvacuatedZones::applyChanges(std::span<const ZoneEvacuation> changes, Position position, BootTime now)
{
    // The changes of another era do not start from these zones.
    const bool continues = this->current && this->current->era == position.era;
    if (!continues || position <= *this->current)
        return this->endRestoreGrace(now);
    this->current = position;
    for (const auto& change : changes) {
        if (change.isEvacuated)
            this->listedZones.insert(change.availabilityZone);
        else
            this->listedZones.erase(change.availabilityZone);
        // The operator has decided on the zone since the store came back.
        this->retainedUntil.erase(change.availabilityZone);
    }
    return this->endRestoreGrace(now);
}

bool EvacuatedZones::replace(ZoneNames listed, Position position, BootTime now)
{
    if (this->current && position <= *this->current)
        return this->endRestoreGrace(now);
    const bool isNewEra = this->current && position.era > this->current->era;
    const auto previous = std::exchange(this->listedZones, std::move(listed));
    this->current = position;
    if (isNewEra)
        this->retainUnlisted(previous, now);
    return this->endRestoreGrace(now);
}

void EvacuatedZones::retainUnlisted(const ZoneNames& previous, BootTime now)
{
    for (const auto& zone : previous) {
        if (!this->listedZones.contains(zone))
            this->retainedUntil.try_emplace(zone, now + RestoreGrace);
    }
}

void EvacuatedZones::forgetPosition(BootTime now)
{
    const auto previous = std::exchange(this->listedZones, {});
    this->current.reset();
    this->retainUnlisted(previous, now);
}

bool EvacuatedZones::endRestoreGrace(BootTime now)
{
    std::erase_if(this->retainedUntil, [&](const auto& item) { return item.second <= now; });
    return this->update();
}

bool EvacuatedZones::update()
{
    auto next = this->listedZones;
    for (const auto& zone : this->retainedUntil | std::views::keys)
        next.insert(zone);
    if (next == this->zones)
        return false;
    this->zones = std::move(next);
    return true;
}

const ZoneNames& EvacuatedZones::inForce() const
{
    return this->zones;
}

const ZoneNames& EvacuatedZones::listed() const
{
    return this->listedZones;
}

std::optional<EvacuatedZones::Position> EvacuatedZones::position() const
{
    return this->current;
}

}
