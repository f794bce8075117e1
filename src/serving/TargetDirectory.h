#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/view/EvacuatedZones.h"

namespace marigoldpaddle {

// A target as registered with the platform.
struct TargetEntry {
    std::string id;
    std::string service;
    std::string address; // "IP:port"
    std::string availabilityZone;
    std::uint64_t incarnation { 0 }; // Start time in Unix milliseconds; a later one means a restart.
    unsigned slots { 1 };
    bool isLeaving { false };
    Duration warmUpPeriod {}; // Time after registration for which the target stays slow.

    bool operator==(const TargetEntry&) const = default;
};

// Known targets, with the age of that information. Removals observed right after a gap in reading are deferred:
// registrations of live targets that expired during an outage come back shortly after it.
class TargetDirectory {
public:
    // A live target registers again within this time after the platform's recovery.
    static constexpr Duration RemovalGrace = std::chrono::seconds { 2 };
    // A target that has left is remembered for this long, so that an outdated registration does not bring it back.
    static constexpr Duration DepartureMemory = std::chrono::minutes { 2 };

    // Sets the time without a successful read that counts as a gap.
    void setReadGapThreshold(Duration threshold);

    // Add or replace, and remove, one target. Both return whether anything but the age changed. A target that is known
    // to be leaving, or has left, stays so until it restarts: an older registration of it changes nothing, nor does one
    // of an earlier incarnation.
    bool upsert(const TargetEntry& entry, BootTime now);
    bool remove(std::string_view id, BootTime now);

    // Replaces the contents by a complete listing: targets that are not in it are removed.
    bool replaceAll(const std::vector<TargetEntry>& entries, BootTime now);

    // Records a successful read of the platform. Applies deferred removals whose grace period has passed.
    void recordRead(BootTime now);

    // Records that the store has come back from an older copy: removals are deferred until the targets had time to
    // register again.
    void beginRecovery(BootTime now);

    // Records that a target leaves, ahead of its registration: its own answer has said so, or another target answered
    // at its address. Holds for this incarnation and all earlier ones of the target, whether it is registered or not.
    // Returns false if that was known.
    bool markLeaving(const TargetEntry& target, BootTime now);

    // Sets the availability zones whose targets accept no new work. The zones and the targets in them are independent:
    // a target that is registered later in such a zone accepts none either.
    void setEvacuatedZones(ZoneNames zones);

    bool isEvacuated(const TargetEntry& entry) const;

    // Whether a service has targets that accept no new work only because their zone is evacuated.
    bool hasEvacuatedTargets(std::string_view service) const;

    // Targets of a service that accept new work, ordered by id.
    std::vector<const TargetEntry*> available(std::string_view service) const;
    const TargetEntry* find(std::string_view id) const;

    // All registered targets with this address, of any service.
    std::vector<TargetEntry> atAddress(std::string_view address) const;

    // Whether a target accepts new work: it is registered, not leaving, has not restarted, and its zone is not
    // evacuated.
    bool acceptsWork(const TargetEntry& entry) const;
    std::size_t size() const;

    std::optional<Duration> age(BootTime now) const;

private:
    struct TrackedTarget {
        TargetEntry entry;
        std::optional<BootTime> removedAt; // Set while a removal is deferred.
    };

    // The incarnations of a target that leave or have left.
    struct Departure {
        std::uint64_t lastIncarnation { 0 }; // This one and all earlier ones.
        std::optional<BootTime> endedAt; // When it was no longer registered. Unset before.
    };

    bool isDeparture(const TargetEntry& entry) const;
    void recordDeparture(const TargetEntry& entry);
    void endDeparture(std::string_view id, BootTime now);
    void erase(std::map<std::string, TrackedTarget, std::less<>>::iterator position, BootTime now);

    std::map<std::string, TrackedTarget, std::less<>> tracked;
    std::map<std::string, Departure, std::less<>> departures;
    ZoneNames evacuatedZones;
    Duration readGapThreshold { std::chrono::milliseconds { 2500 } };
    std::optional<BootTime> lastRead;
    BootTime graceUntil {};
};

}
