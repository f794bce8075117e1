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

#include "membership/NewsQueue.h"

// What rides on the membership's messages: target marks, digests of cells, and digests of other availability zones.
namespace marigoldpaddle::internal {

// Marks of targets. The mark of the latest incarnation counts, and of one incarnation the mark that it is leaving.
class MarkStore {
public:
    explicit MarkStore(const MembershipOptions& options);

    // Returns whether the mark changed what is known.
    bool apply(const TargetLeavingMark& mark, TimePoint now);
    const TargetLeavingMark* find(std::string_view target) const;
    std::vector<TargetLeavingMark> all() const;
    void forgetExpired(TimePoint now);

    NewsQueue news;

private:
    struct Entry {
        TargetLeavingMark mark;
        TimePoint changedAt {};
    };

    const MembershipOptions& options;
    std::map<std::string, Entry, std::less<>> marks;
};

// Digests of cells, of the own and of other availability zones. The latest of each cell is kept.
class DigestStore {
public:
    DigestStore(std::string_view ownZone, const MembershipOptions& options);

    bool apply(const CellReport& report);
    const CellReport* find(std::string_view key) const;

    // Returns the reports that are not too old.
    std::vector<CellReport> all(TimePoint now) const;

    // Returns for each model the report of the own zone with the shortest wait, in random order, at most `count`.
    std::vector<CellReport> bestOfOwnZone(std::size_t count, TimePoint now, std::mt19937_64& random) const;
    void forgetExpired(TimePoint now);

    NewsQueue ownNews;
    NewsQueue foreignNews;

private:
    bool isOfOwnZone(const CellReport& report) const;

    std::string ownZone;
    const MembershipOptions& options;
    std::map<std::string, CellReport, std::less<>> reports; // By ownershipKey of the cell.
};

// Other availability zones with a few contacts each. The latest digest of a zone replaces the one before.
class ZoneDirectory {
public:
    explicit ZoneDirectory(const MembershipOptions& options);

    // Returns whether the digest is newer than the one known.
    bool apply(const ZoneDigest& digest);

    // Takes what the platform lists of one zone as candidates for a first contact.
    void setCandidates(const std::string& zone, std::vector<Member> candidates);

    const ZoneDigest* find(std::string_view zone) const;
    std::vector<ZoneDigest> all() const;
    std::vector<std::string> names() const;

    // Returns whom to contact in a zone, a contact or, when it may be out of date, a candidate.
    std::optional<Member> chooseContact(std::string_view zone, TimePoint now, std::mt19937_64& random) const;

    NewsQueue news;

private:
    struct Entry {
        std::optional<ZoneDigest> digest;
        std::vector<Member> candidates;
    };

    const MembershipOptions& options;
    std::map<std::string, Entry, std::less<>> zones;
};

}
