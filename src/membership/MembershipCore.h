#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <marigoldpaddle/Membership.h>

#include "membership/DatagramWriter.h"

namespace marigoldpaddle {

// The state machine behind Membership.
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
    void depart(TimePoint now);
    bool isStale(TimePoint now) const;

    // Returns the commands that came about since the last call.
    MembershipCommands takeCommands();

    internal::MembershipKnowledge knowledge;
    MembershipCounters counters;

private:
    enum class Purpose {
        Probe, // Is the member alive?
        Relay, // The same, asked for by another.
        Reconnect, // Has a dead or only listed instance come back?
        Bridge, // What is new in another availability zone?
    };

    // A ping whose answer has not come.
    struct Outstanding {
        Purpose purpose { Purpose::Probe };
        TimePoint sentAt {};
        std::string target;
        std::string requesterAddress; // Relay only.
        std::int64_t requesterSequence { 0 }; // Relay only.
    };

    struct Probe {
        std::int64_t sequence { 0 };
        Member target;
        TimePoint indirectAt {};
        bool didAskOthers { false };
    };

    // Probing.
    void noticePause(TimePoint now);
    void beginProbe(TimePoint now);
    void concludeProbe(TimePoint now);
    void askOthers(TimePoint now);
    void suspect(const Member& target, TimePoint now);
    void confirmDeaths(TimePoint now);
    Duration stretched(Duration duration) const;

    // Periodic contact.
    void gossip(TimePoint now);
    void reconnect(TimePoint now);
    void bridge(TimePoint now);
    bool hasUrgentNews() const;
    bool isJoining(TimePoint now) const;

    // Messages.
    void handle(const wire::MembershipMessage& message, TimePoint now);
    void answer(const wire::MembershipMessage& message, bool isNewcomer, TimePoint now);
    void relay(const wire::MembershipMessage& message, TimePoint now);
    void acknowledged(const wire::MembershipMessage& message, TimePoint now);
    void ping(const Member& target, Purpose purpose, TimePoint now);
    std::int64_t expectAnswer(Outstanding outstanding);
    void send(const std::string& address, std::string bytes);
    bool isOfOwnZone(const Member& member) const;

    // Knowledge.
    void apply(const Member& heard, TimePoint now);
    void applySelf(const Member& heard);
    void applyRidingNews(const wire::MembershipMessage& message, TimePoint now);
    void noteConfiguration(const Member& holder);

    MembershipCommands commands;
    std::map<std::int64_t, Outstanding> outstanding;
    std::optional<Probe> probe;
    std::map<std::string, Member, std::less<>> listed; // Of the own zone, by name.
    std::int64_t lastSequence { 0 };
    unsigned healthPenalty { 0 }; // Raised when this process runs late, lowered by answers in time.
    unsigned offsetRounds { 0 }; // Rounds of gossip left to spread the own configuration offset.
    std::uint64_t supersededBy { 0 };
    TimePoint startedAt {};
    TimePoint lastRun {};
    std::optional<TimePoint> resumedAt; // Set from the end of a pause until the view is confirmed again.
    TimePoint nextProbe {};
    TimePoint nextGossip {};
    TimePoint nextReconnect {};
    TimePoint nextBridge {};
};

}
