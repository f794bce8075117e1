#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Membership.h>

#include "membership/UpdateQueue.h"

// State that is disseminated by piggybacking it on membership messages: target marks, cell digests, and digests of
// other availability zones.
namespace marigoldpaddle::internal {

// The leaving mark of each target. A later incarnation overrides an earlier one; within one incarnation, a mark that
// the target is leaving overrides a mark that it is not.
class TargetMarkStore {
public:
    explicit TargetMarkStore(const MembershipOptions& options);

    // Stores a mark and queues it for gossip if it overrides the stored one. Returns whether it did. Marks of new
    // targets are ignored once MembershipOptions::maximumTargetMarks are stored.
    bool apply(const TargetLeavingMark& mark, TimePoint now);
    const TargetLeavingMark* find(std::string_view target) const;
    std::vector<TargetLeavingMark> all() const;
    void removeExpired(TimePoint now);

    UpdateQueue pendingUpdates;

private:
    struct Entry {
        TargetLeavingMark mark;
        TimePoint changedAt {};
    };

    const MembershipOptions& options;
    std::map<std::string, Entry, std::less<>> marks;
};

// The latest digest of each cell, of this instance's and of other availability zones.
class CellDigestStore {
public:
    CellDigestStore(std::string_view ownZone, const MembershipOptions& options);

    // Stores a report and queues it for gossip if it is newer than the stored one. Returns whether it is. Reports of
    // new cells are ignored once MembershipOptions::maximumCellDigests are stored.
    bool apply(const CellReport& report);

    // Returns the report stored under the ownershipKey of a cell; null if there is none.
    const CellReport* find(std::string_view key) const;

    // Returns the reports that are not older than MembershipOptions::digestLifetime.
    std::vector<CellReport> all(TimePoint now) const;

    // Returns, for each model, the report of this instance's zone with the shortest expected wait: at most `count`
    // reports, in random order.
    std::vector<CellReport> bestPerModelInOwnZone(std::size_t count, TimePoint now, std::mt19937_64& random) const;
    void removeExpired(TimePoint now);

    UpdateQueue ownZoneUpdates;
    UpdateQueue otherZoneUpdates;

private:
    bool isInOwnZone(const CellReport& report) const;

    std::string ownZone;
    const MembershipOptions& options;
    std::map<std::string, CellReport, std::less<>> reports; // By ownershipKey of the cell.
};

// The other availability zones, each with its latest digest, which lists a few contacts, and with the instances that
// the platform lists.
class ZoneDirectory {
public:
    explicit ZoneDirectory(const MembershipOptions& options);

    // Stores a digest and queues it for gossip if it is at least 1 s newer than the stored one. Returns whether it did.
    bool apply(const ZoneDigest& digest);

    // Sets the instances of a zone that the platform lists. They are contacted while the zone has no recent digest.
    void setCandidates(const std::string& zone, std::vector<Member> candidates);

    const ZoneDigest* find(std::string_view zone) const;
    std::vector<ZoneDigest> all() const;
    std::vector<std::string> names() const;

    // Returns a random instance of a zone to contact: one of the contacts of its digest or, if the digest is missing or
    // stale, also one of the listed instances.
    std::optional<Member> chooseContact(std::string_view zone, TimePoint now, std::mt19937_64& random) const;

    UpdateQueue pendingUpdates;

private:
    struct Entry {
        std::optional<ZoneDigest> digest;
        std::vector<Member> candidates;
    };

    const MembershipOptions& options;
    std::map<std::string, Entry, std::less<>> zones;
};

}
