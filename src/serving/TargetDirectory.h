#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// A target as it registered itself with the platform.
struct TargetEntry {
    std::string id;
    std::string service;
    std::string address; // "IP:port"
    std::string availabilityZone;
    std::uint64_t born { 0 }; // Unix milliseconds of its start; a later value under the same id is another incarnation.
    unsigned slots { 1 };
    bool isLeaving { false };
    Duration coldFor {}; // It stays slow for so long after it registered.

    bool operator==(const TargetEntry&) const = default;
};

// What this instance believes about the targets, with the age of that belief. Removals noticed right after a gap in
// reading are held back, since entries of live targets that lapsed during an outage come back shortly after it.
class TargetDirectory {
public:
    // A live target is registered again within this time of the platform's return.
    static constexpr Duration ReturnGrace = std::chrono::seconds { 2 };
    // Longer without a successful read counts as a gap: three times the longest interval between two reads.
    static constexpr Duration GapThreshold = std::chrono::milliseconds { 2500 };

    // Both return whether anything but the age changed.
    bool upsert(const TargetEntry& entry, TimePoint now);
    bool remove(std::string_view id, TimePoint now);

    // Takes a complete listing: whatever is not in it is removed.
    bool replaceAll(const std::vector<TargetEntry>& entries, TimePoint now);

    // The platform was read successfully. Drops removals whose grace has passed.
    void noteRead(TimePoint now);

    // A target told or showed that it is leaving, ahead of its entry.
    void markLeaving(std::string_view id);

    // Targets of a service that accept new work, in the order of their ids.
    std::vector<const TargetEntry*> available(std::string_view service) const;
    const TargetEntry* find(std::string_view id) const;
    std::size_t size() const;

    std::optional<Duration> age(TimePoint now) const;

private:
    struct Known {
        TargetEntry entry;
        std::optional<TimePoint> removedAt; // Set while a removal is held back.
        bool isMarkedLeaving { false };
    };

    std::map<std::string, Known, std::less<>> known;
    std::optional<TimePoint> lastRead;
    TimePoint graceUntil {};
};

}
