#pragma once

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <marigoldpaddle/Membership.h>

#include "membership/GossipState.h"
#include "membership/MemberTable.h"
#include "membership/UpdateQueue.h"
#include "rpc/Codec.h"

namespace marigoldpaddle::internal {

// This instance's view of the membership, with the updates that are queued for gossip.
struct MembershipView {
    MembershipView(Member self, const MembershipOptions& options, std::mt19937_64 random);

    // Returns this instance, followed by the other instances of its zone, dead ones included.
    std::vector<Member> allMembers() const;

    MembershipOptions options;
    Member self;
    std::mt19937_64 random;
    MemberTable members;
    UpdateQueue memberUpdates; // By instance name.
    TargetMarkStore marks;
    CellDigestStore digests;
    ZoneDirectory zones;
    std::optional<Member> configurationHolder;
};

// Builds one datagram of at most MaximumDatagramBytes. Records are added in the order of the calls; a record that does
// not fit is left out, and stays queued if it came from a queue.
class DatagramWriter {
public:
    DatagramWriter(MembershipView& view, TimePoint now, wire::MembershipKind::type kind, std::int64_t sequence);

    // Adds a record. The addressee's own record, which lets it refute a suspicion, must be the first one added.
    void addRecord(const Member& member);

    // Sets the member that a relayed ping or its acknowledgement is about.
    void setSubject(const Member& member);

    // Requests that the acknowledgement lists as many members as fit.
    void setJoining(bool isJoining);

    // Adds all queued updates: target marks, members, zone digests and cell digests.
    void addUpdates();

    // Adds the queued updates that have to spread fast: target marks and members.
    void addUrgentUpdates();

    // Anti-entropy: adds up to `count` members and a target mark, chosen at random, so that an instance that missed an
    // update receives it later.
    void addAntiEntropy(std::size_t count);

    // Adds the summary for another availability zone: target marks, contacts in this zone, and the best cell digests.
    void addZoneSummary();

    std::string bytes() const;

private:
    template <typename Record> bool reserve(const Record& record);
    void addMarks();
    void addMemberUpdates();
    void addDigests(UpdateQueue& pendingUpdates, std::size_t count);
    void addZones();
    bool addDigest(const CellReport& report);

    // Returns a report of this zone without zone and owner, which receivers derive from the sender and the members.
    // Reports of other zones are returned unchanged.
    CellReport withoutZoneAndOwner(CellReport report) const;

    // Returns the report with the owner of its cell among `members`.
    CellReport withOwner(CellReport report, std::span<const Member> members) const;
    ZoneDigest ownZoneDigest();

    // Returns how often an urgent update is sent. Grows with the logarithm of the number of live members.
    std::size_t transmissionLimit() const;

    // Returns whether the first record added is that of `name`.
    bool isAddressedTo(std::string_view name) const;

    MembershipView& view;
    TimePoint now;
    wire::MembershipMessage message;
    std::size_t freeBytes { 0 };
};

}
