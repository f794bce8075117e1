#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

using ZoneNames = std::set<std::string, std::less<>>;

// What the operator's records say of one availability zone.
struct ZoneEvacuation {
    std::string availabilityZone;
    bool isEvacuated { false };
};

// The availability zones whose targets get no new work, by order of the operator. The set is as of a position in the
// operator's records, and what is read or heard later replaces it only from a higher position, so that instances that
// learn of a change in different ways never go back to an earlier set.
//
// A zone that is used although it is evacuated does harm, while one that is left out for a moment too long costs room
// only. After the store came back from an older copy, zones that its listings do not have therefore stay evacuated for
// the time in which the operator writes the lost records again.
//
// Pure computation, no I/O.
class EvacuatedZones {
public:
    // Time in which the operator writes again what the store has lost.
    static constexpr Duration RestoreGrace = std::chrono::seconds { 2 };

    // A position in the operator's records. Offsets of different eras of the store do not compare.
    struct Position {
        std::uint64_t era { 0 };
        std::uint64_t offset { 0 };

        auto operator<=>(const Position&) const = default;
    };

    // Each returns whether the zones in force changed. `now` is when the records were known to be the newest.

    // Applies changes, in the order they were written, up to `position`.
    bool applyChanges(std::span<const ZoneEvacuation> changes, Position position, BootTime now);

    // Replaces the zones by those of a complete listing, or of a peer, as of `position`.
    bool replace(ZoneNames listed, Position position, BootTime now);

    // Ends the grace period of zones that a restored store has not listed since, as its records were read again or
    // confirmed by a peer.
    bool endRestoreGrace(BootTime now);

    // Forgets the position, which was of an era that does not exist. The zones stay in force for a grace period.
    void forgetPosition(BootTime now);

    // Zones in force.
    const ZoneNames& inForce() const;

    // Zones as of the position, without those in a grace period. For peers.
    const ZoneNames& listed() const;

    // Empty until the operator's records were read once.
    std::optional<Position> position() const;

private:
    void retainUnlisted(const ZoneNames& previous, BootTime now);
    bool update();

    std::optional<Position> current;
    ZoneNames listedZones;
    std::map<std::string, BootTime, std::less<>> retainedUntil; // Zones of an earlier era.
    ZoneNames zones; // In force.
};

}
