#pragma once

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Membership.h>

#include "membership/MemberTable.h"
#include "membership/NewsQueue.h"
#include "membership/RidingNews.h"
#include "rpc/Codec.h"

namespace marigoldpaddle::internal {

// All that a membership knows and may send.
struct MembershipKnowledge {
    MembershipKnowledge(Member self, const MembershipOptions& options, std::mt19937_64 random);

    // This instance, first, and all others of its zone that are known.
    std::vector<Member> allMembers() const;

    MembershipOptions options;
    Member self;
    std::mt19937_64 random;
    MemberTable members;
    NewsQueue memberNews;
    MarkStore marks;
    DigestStore digests;
    ZoneDirectory zones;
    std::optional<Member> configurationHolder;
};

// Writes one datagram of at most MaximumDatagramBytes: first what must arrive, then the news by urgency, as far as
// there is room.
class DatagramWriter {
public:
    DatagramWriter(
        MembershipKnowledge& knowledge, TimePoint now, wire::MembershipKind::type kind, std::int64_t sequence);

    // Tells the addressee what is known of itself, so that it can refute it.
    void addRecord(const Member& member);
    void setSubject(const Member& member);

    // Asks the addressee for members beside the news.
    void setJoining(bool isJoining);

    // Adds what is news in the own availability zone.
    void addNews();

    // Adds of the news only what cannot wait: marks and changes of members.
    void addUrgentNews();

    // Adds a few members at random, so that one who missed a piece of news hears of it later.
    void addBackground(std::size_t count);

    // Adds what another availability zone wants to know of this one.
    void addZoneSummary();

    std::string bytes() const;

private:
    template <typename Record> bool reserve(const Record& record);
    void addMarks();
    void addMemberNews();
    void addDigests(NewsQueue& news, std::size_t count);
    void addZones();
    bool addDigest(const CellReport& report);

    // Within its zone, a cell's zone and owner are left out: every member knows them.
    CellReport shortened(CellReport report) const;
    CellReport completed(CellReport report, std::span<const Member> members) const;
    ZoneDigest ownZone();
    std::size_t transmissions() const;
    bool isAddressedTo(std::string_view name) const;

    MembershipKnowledge& knowledge;
    TimePoint now;
    wire::MembershipMessage message;
    std::size_t freeBytes { 0 };
};

}
