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

// Maximum UDP payload. Small enough to avoid IP fragmentation on all usual paths.
inline constexpr std::size_t MaximumDatagramBytes = 1200;

struct MembershipOptions {
    Duration probePeriod { std::chrono::milliseconds { 500 } }; // One member is probed in each period.
    Duration probeTimeout { std::chrono::milliseconds { 150 } }; // Without an answer by then, indirect probes are sent.
    std::size_t indirectProbes { 3 }; // Members that are asked to probe an unresponsive member.
    Duration suspicionTimeout { std::chrono::milliseconds { 4000 } }; // Time to refute a suspicion.
    Duration gossipPeriod { std::chrono::milliseconds { 100 } }; // Between gossip rounds, while urgent updates wait.
    std::size_t gossipFanout { 3 }; // Members contacted in one gossip round.
    Duration reconnectPeriod { std::chrono::seconds { 5 } }; // Between contacts with one dead or only listed instance.
    Duration bridgePeriod { std::chrono::seconds { 1 } }; // Between messages to each other availability zone.
    std::size_t bridgesPerZone { 2 }; // Instances of this zone that send messages to each other zone.
    std::size_t contactsPerZone { 3 }; // Known instances of each other zone.
    Duration staleAfter { std::chrono::seconds { 3 } }; // A longer pause makes the view stale.
    Duration tombstoneLifetime { std::chrono::minutes { 10 } }; // How long dead instances and target marks are kept.
    Duration digestLifetime { std::chrono::seconds { 30 } }; // How long a cell's digest is used after its measurement.
    std::size_t maximumMembers { 2048 }; // In the own availability zone.
    std::size_t maximumTargetMarks { 4096 }; // Target marks.
    std::size_t maximumCellDigests { 1024 }; // Cell digests.
};

// Gossiped state of a target: whether the given incarnation is leaving.
struct TargetLeavingMark {
    std::string target;
    std::uint64_t incarnation { 0 };
    bool isLeaving { true };

    bool operator==(const TargetLeavingMark&) const = default;
};

// The latest digest that the owner of a cell published. `owner` and `ownerAddress` are set for cells of other
// availability zones only; the owner of a cell of the own zone is computed from the members (see ownerOf).
struct CellReport {
    CellDigest digest;
    InstanceId owner;
    std::string ownerAddress; // "IP:port" of the owner's dispatcher.
    std::uint64_t sequence { 0 }; // Rises with each published digest of the cell.
    TimePoint measuredAt {}; // Estimate on the receiver's clock.
};

// Known contacts in another availability zone.
struct ZoneDigest {
    std::string availabilityZone;
    std::vector<Member> contacts;
    TimePoint lastAnswerAt {}; // When an instance of that zone last answered an instance of this zone.
};

// Commands returned by Membership.
struct SendDatagram {
    std::string address;
    std::string bytes;
};

struct MemberChanged { // The state of a member has changed, or the member is new.
    Member member;
};

struct TargetMarked { // A new target mark was received.
    TargetLeavingMark mark;
};

// `holder` has a configuration offset in force that is higher than all offsets gossiped before.
struct HigherConfigurationOffset {
    std::uint64_t offset { 0 };
    Member holder;
};

// Another process runs under this instance's name with a higher incarnation. This process must stop acting as an owner.
struct Superseded {
    std::uint64_t incarnation { 0 };
};

using MembershipCommand
    = std::variant<SendDatagram, MemberChanged, TargetMarked, HigherConfigurationOffset, Superseded>;
using MembershipCommands = std::vector<MembershipCommand>;

// Monotonic counters.
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
    std::uint64_t pausesDetected { 0 };
};

// SWIM membership of the instances of one availability zone. Detects failures by probing one member in each period, and
// spreads updates piggybacked on its messages: member states, target marks, configuration offsets and cell digests. Of
// each other availability zone it keeps a few contacts. The network cost of an instance does not grow with the number
// of instances. A pure state machine: takes events and the current time and returns commands, without I/O. Not
// thread-safe.
class Membership {
public:
    // `self` describes this instance, with its bound addresses.
    Membership(Member self, const MembershipOptions& options, std::mt19937_64 random, TimePoint now);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    // Processes one datagram. Malformed datagrams are counted and have no other effect.
    MembershipCommands receive(std::string_view datagram, TimePoint now);

    // Processes the passage of time: probes, confirms expired suspicions and gossips. Must be called at nextTick(). A
    // late call is taken as a pause of this process and causes no suspicions.
    MembershipCommands tick(TimePoint now);
    TimePoint nextTick() const;

    // Sets the platform's list of instances. It provides addresses to contact and neither adds nor removes members.
    void updateListing(std::span<const InstanceDescription> instances, TimePoint now);

    // Gossips that a target is leaving, or that a later incarnation of it is not.
    MembershipCommands markTarget(const TargetLeavingMark& mark, TimePoint now);

    // Gossips the digest of a cell that this instance owns.
    void publish(const CellDigest& digest, TimePoint now);

    // Gossips the configuration offset that this instance has in force. An offset lower than the last is ignored.
    void setConfigurationOffset(std::uint64_t offset, TimePoint now);

    // Announces a graceful shutdown. Other instances take over the cells and keys that this instance owns.
    MembershipCommands leave(TimePoint now);

    // Announces the end of this process. Must be the last call.
    MembershipCommands announceExit(TimePoint now);

    const Member& self() const;

    // Returns this instance and all other members of its availability zone that are not dead, sorted by name.
    std::vector<Member> members() const;

    // Returns the contacts in other availability zones.
    std::vector<ZoneDigest> zones() const;

    // Returns members() and the contacts in other availability zones that answered recently. If no contact of a zone
    // answers, its contacts are first reported as suspected and later omitted.
    std::vector<Member> membersAndContacts(TimePoint now) const;

    std::vector<TargetLeavingMark> targetMarks() const;
    std::vector<CellReport> cellReports(TimePoint now) const;

    // Returns the instance with the highest gossiped configuration offset in force; empty if none was gossiped.
    const std::optional<Member>& configurationHolder() const;

    // Returns whether the view may be out of date: the process was paused for longer than the bound and no answer has
    // arrived since, or another process has taken this instance's name. An owner must not act on a stale view.
    bool isStale(TimePoint now) const;

    const MembershipCounters& counters() const;

private:
    class Core;
    std::unique_ptr<Core> core;
};

}
