#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Member.h>
#include <marigoldpaddle/PlatformLog.h>

namespace marigoldpaddle {

// The most bytes of one datagram, without IP and UDP headers: fits every usual path without fragments.
inline constexpr std::size_t MaximumDatagramBytes = 1200;

struct MembershipOptions {
    Duration probePeriod { std::chrono::milliseconds { 500 } }; // One member is probed in each.
    Duration probeTimeout { std::chrono::milliseconds { 150 } }; // Then others are asked to probe in its place.
    std::size_t indirectProbes { 3 };
    Duration suspicionTimeout { std::chrono::milliseconds { 4000 } }; // Time to refute a suspicion.
    Duration gossipPeriod { std::chrono::milliseconds { 100 } }; // While there is urgent news.
    std::size_t gossipFanout { 3 };
    Duration reconnectPeriod { std::chrono::seconds { 5 } }; // One dead or only listed instance is tried in each.
    Duration bridgePeriod { std::chrono::seconds { 1 } }; // Contact with each other availability zone.
    std::size_t bridgesPerZone { 2 }; // Instances that keep that contact.
    std::size_t contactsPerZone { 3 }; // Instances known of another availability zone.
    Duration staleBound { std::chrono::seconds { 3 } }; // Age at which a view counts as stale.
    Duration tombstoneLifetime { std::chrono::minutes { 10 } }; // Dead instances and target marks are kept so long.
    Duration digestLifetime { std::chrono::seconds { 30 } };
    std::size_t maximumMembers { 2048 }; // Of the own availability zone.
    std::size_t maximumMarks { 4096 };
    std::size_t maximumDigests { 1024 };
};

// A target that is leaving, or came back as a later incarnation.
struct TargetLeavingMark {
    std::string target;
    std::uint64_t incarnation { 0 };
    bool isLeaving { true };

    bool operator==(const TargetLeavingMark&) const = default;
};

// A cell's digest as its owner published it. The latest is kept. Owner and address are set for cells of other
// availability zones; for those of the own zone they follow from the members (see ownerOf).
struct CellReport {
    CellDigest digest;
    InstanceId owner;
    std::string ownerAddress; // "IP:port" of the owner's dispatcher.
    std::uint64_t sequence { 0 }; // Rises with each digest that is published of a cell.
    TimePoint measuredAt {}; // Estimated on the receiver's clock.
};

// What is known of another availability zone.
struct ZoneDigest {
    std::string availabilityZone;
    std::vector<Member> contacts;
    TimePoint heardAt {}; // When one of its instances last answered one of this zone.
};

// Commands of the membership.
struct SendDatagram {
    std::string address;
    std::string bytes;
};

struct MemberChanged {
    Member member;
};

struct TargetMarked {
    TargetLeavingMark mark;
};

// `holder` has a higher configuration offset in force than any instance heard of before.
struct ConfigurationOffsetHeard {
    std::uint64_t offset { 0 };
    Member holder;
};

// Another process runs under this instance's name with a later incarnation. This one must stop acting as an owner.
struct Superseded {
    std::uint64_t incarnation { 0 };
};

using MembershipCommand = std::variant<SendDatagram, MemberChanged, TargetMarked, ConfigurationOffsetHeard, Superseded>;
using MembershipCommands = std::vector<MembershipCommand>;

// Counts of what the membership did. Never fall.
struct MembershipCounters {
    std::uint64_t datagramsReceived { 0 };
    std::uint64_t datagramsMalformed { 0 };
    std::uint64_t datagramsSent { 0 };
    std::uint64_t bytesReceived { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t probesFailed { 0 };
    std::uint64_t suspicionsRaised { 0 };
    std::uint64_t deathsConfirmed { 0 };
    std::uint64_t refutations { 0 };
    std::uint64_t pausesNoticed { 0 };
};

// Decides which instances of the own availability zone are live, suspected, leaving or dead, by probing one of them in
// each period (SWIM), and spreads what rides on its messages: target marks, configuration offsets and cell digests.
// Of other availability zones it knows a few contacts each. A pure state machine: events and `now` in, commands out.
// Cost per instance does not grow with the number of instances. Not thread-safe.
class Membership {
public:
    // `self` names this instance with its bound addresses.
    Membership(Member self, const MembershipOptions& options, std::mt19937_64 random, TimePoint now);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    // Takes one datagram. Malformed ones are counted and have no other effect.
    MembershipCommands receive(std::string_view datagram, TimePoint now);

    // Lets time pass: probes, confirms suspicions, spreads news. To be called at nextTick(); a late call counts as a
    // pause of this process, and nobody is suspected for it.
    MembershipCommands tick(TimePoint now);
    TimePoint nextTick() const;

    // Takes what the platform lists. It only tells whom to contact; it neither adds nor removes a member.
    void updateListing(std::span<const InstanceDescription> instances, TimePoint now);

    // Spreads that a target is leaving, or that a later incarnation of it is not.
    MembershipCommands markTarget(const TargetLeavingMark& mark, TimePoint now);

    // Spreads the digest of a cell that this instance owns.
    void publish(const CellDigest& digest, TimePoint now);

    // Spreads that this instance has a configuration offset in force. Lower ones than before are ignored.
    void setConfigurationOffset(std::uint64_t offset, TimePoint now);

    // Announces a planned stop: others take over what this instance owns.
    MembershipCommands leave(TimePoint now);

    // Announces the end of this process, as the last thing that it does.
    MembershipCommands depart(TimePoint now);

    const Member& self() const;

    // Returns this instance and the others of its availability zone, dead ones left out, in the order of their names.
    std::vector<Member> members() const;

    // Returns what is known of the other availability zones.
    std::vector<ZoneDigest> zones() const;

    // Returns members() and the contacts of other availability zones that were heard of lately. Contacts of a zone that
    // answers nobody are suspected first, then left out.
    std::vector<Member> membersAndContacts(TimePoint now) const;

    std::vector<TargetLeavingMark> targetMarks() const;
    std::vector<CellReport> cellReports(TimePoint now) const;

    // Returns the instance heard of with the highest configuration offset in force, if any has one.
    const std::optional<Member>& configurationHolder() const;

    // Returns whether the view may be out of date: the process was paused, nobody has answered within the bound, or
    // another process has taken this instance's name. An owner does not act on a stale view.
    bool isStale(TimePoint now) const;

    const MembershipCounters& counters() const;

private:
    class Core;
    std::unique_ptr<Core> core;
};

}
