#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <marigoldpaddle/Membership.h>

#include "membership/DatagramWriter.h"

namespace marigoldpaddle {

// Implementation of Membership.
class Membership::Core {
public:
    Core(Member self, const MembershipOptions& options, std::mt19937_64 random, TimePoint now);

    void receive(std::string_view datagram, TimePoint now);
    void tick(TimePoint now);
    TimePoint nextTick() const;
    void updateListing(std::span<const InstanceDescription> instances, TimePoint now);
    void markTarget(const TargetLeavingMark& mark, TimePoint now);
    void publish(const CellDigest& digest, TimePoint now);
    void setConfigurationOffset(std::uint64_t offset, TimePoint now);
    void leave(TimePoint now);
    void announceExit(TimePoint now);
    bool isStale(TimePoint now) const;

    // Returns the commands issued since the last call.
    MembershipCommands takeCommands();

    internal::MembershipView view;
    MembershipCounters counters;

private:
    enum class Purpose {
        Probe, // Direct probe of a member.
        Relay, // Indirect probe on behalf of another instance.
        Reconnect, // Contact with a dead member, with a listed instance or, while joining, with any member.
        Bridge, // Exchange of summaries with another availability zone.
    };

    // A ping that has not been acknowledged.
    struct PendingPing {
        Purpose purpose { Purpose::Probe };
        TimePoint sentAt {};
        std::string target;
        std::string requesterAddress; // Relay only.
        std::int64_t requesterSequence { 0 }; // Relay only.
    };

    struct Probe {
        std::int64_t sequence { 0 };
        Member target;
        TimePoint indirectProbeAt {};
        bool didRequestIndirectProbes { false };
    };

    // Probing.
    // Detects that this process was paused, and extends its timeouts so that no other member is suspected for it.
    void detectPause(TimePoint now);
    void beginProbe(TimePoint now);

    // Ends the probe of the last period: without an acknowledgement, its target is suspected.
    void finishProbe(TimePoint now);

    // Asks other members to ping the probed member, in case only the path from this instance to it fails.
    void requestIndirectProbes(TimePoint now);
    void suspect(const Member& target, TimePoint now);
    void confirmDeaths(TimePoint now);

    // Returns the duration multiplied by 1 + healthPenalty, so that a slow process suspects other members later.
    Duration scaledByHealth(Duration duration) const;

    // Periodic contact.
    void gossip(TimePoint now);
    void reconnect(TimePoint now);
    void pingOtherZones(TimePoint now);
    bool hasUrgentUpdates() const;
    bool isJoining(TimePoint now) const;

    // Messages.
    void handle(const wire::MembershipMessage& message, TimePoint now);
    void acknowledgePing(const wire::MembershipMessage& message, bool isNewcomer, TimePoint now);
    void relayPing(const wire::MembershipMessage& message, TimePoint now);
    void handleAcknowledgement(const wire::MembershipMessage& message, TimePoint now);
    void ping(const Member& target, Purpose purpose, TimePoint now);

    // Registers a ping and returns its sequence number; 0 if too many pings are pending.
    std::int64_t registerPing(PendingPing pendingPing);
    void send(const std::string& address, std::string bytes);
    bool isInOwnZone(const Member& member) const;

    // Received records.
    void apply(const Member& update, TimePoint now);

    // Applies a record of this instance: refutes a suspicion by raising the revision, or detects a later incarnation.
    void applyOwnRecord(const Member& update);
    void applyPiggybackedUpdates(const wire::MembershipMessage& message, TimePoint now);

    // Stores `holder` if its configuration offset is the highest received so far.
    void updateConfigurationHolder(const Member& holder);

    MembershipCommands commands;
    std::map<std::int64_t, PendingPing> pendingPings;
    std::optional<Probe> probe;
    std::map<std::string, Member, std::less<>> listedInstances; // Of this zone, as the platform lists them; by name.
    std::int64_t lastSequence { 0 };
    unsigned healthPenalty { 0 }; // Raised by each pause of this process, lowered by each acknowledged probe.
    unsigned offsetGossipRounds { 0 }; // Gossip rounds left for this instance's configuration offset.
    std::uint64_t supersededBy { 0 }; // Latest incarnation of another process with this instance's name; 0 if none.
    TimePoint startedAt {};
    TimePoint lastActiveAt {};
    std::optional<TimePoint> resumedAt; // End of a long pause; reset once an acknowledgement confirms the view.
    TimePoint nextProbe {};
    TimePoint nextGossip {};
    TimePoint nextReconnect {};
    TimePoint nextBridge {};
};

}
