#include "membership/MembershipCore.h"

#include <algorithm>
#include <ranges>

#include "membership/Ownership.h"

// Periodic work of the membership: probes, suspicion timeouts, gossip, reconnection and contact with other zones.
namespace marigoldpaddle {

using internal::DatagramWriter;

namespace {

constexpr unsigned MaximumHealthPenalty = 2;
constexpr std::size_t JoinFanout = 3;
constexpr Duration AcknowledgementTimeout = std::chrono::seconds { 5 }; // Later acknowledgements are ignored.
constexpr Duration JoinDuration = std::chrono::seconds { 10 };

}

void Membership::Core::tick(TimePoint now)
{
    this->detectPause(now);
    const auto& options = this->view.options;
    if (this->probe && !this->probe->didRequestIndirectProbes && now >= this->probe->indirectProbeAt)
        this->requestIndirectProbes(now);
    if (now >= this->nextProbe) {
        this->finishProbe(now);
        this->beginProbe(now);
        this->nextProbe = now + this->scaledByHealth(options.probePeriod);
    }
    this->confirmDeaths(now);
    if (now >= this->nextReconnect) {
        this->reconnect(now);
        this->nextReconnect = now + (this->isJoining(now) ? options.probePeriod : options.reconnectPeriod);
    }
    if (now >= this->nextBridge) {
        this->pingOtherZones(now);
        this->nextBridge = now + options.bridgePeriod;
    }
    if (this->hasUrgentUpdates() && now >= this->nextGossip)
        this->gossip(now);
}

TimePoint Membership::Core::nextTick() const
{
    auto next = std::min(
        { this->nextProbe, this->nextReconnect, this->nextBridge, this->view.members.nextSuspicionDeadline() });
    if (this->probe && !this->probe->didRequestIndirectProbes)
        next = std::min(next, this->probe->indirectProbeAt);
    if (this->hasUrgentUpdates())
        next = std::min(next, this->nextGossip);
    return next;
}

void Membership::Core::detectPause(TimePoint now)
{
    const auto& options = this->view.options;
    const auto lateness = now - std::max(this->nextTick(), this->lastActiveAt);
    const auto pause = now - this->lastActiveAt;
    this->lastActiveAt = now;
    if (lateness <= options.probeTimeout)
        return;
    ++this->counters.pausesDetected;
    this->view.members.extendSuspicions(lateness);
    this->probe.reset();
    this->nextProbe = std::max(this->nextProbe, now);
    this->healthPenalty = std::min(this->healthPenalty + 1, MaximumHealthPenalty);
    if (pause > options.staleAfter)
        this->resumedAt = now;
}

void Membership::Core::beginProbe(TimePoint now)
{
    const auto* target = this->view.members.nextToProbe(this->view.random);
    if (!target)
        return;
    const auto member = *target;
    this->ping(member, Purpose::Probe, now);
    this->probe = { this->lastSequence, member, now + this->scaledByHealth(this->view.options.probeTimeout), false };
}

void Membership::Core::finishProbe(TimePoint now)
{
    const auto isExpired = [&](const auto& item) {
        return now - item.second.sentAt > AcknowledgementTimeout;
    };
    std::erase_if(this->pendingPings, isExpired);
    const auto confirmationTimeout = this->view.options.suspicionTimeout + 2 * this->view.options.probePeriod;
    if (this->resumedAt && now - *this->resumedAt > confirmationTimeout)
        this->resumedAt.reset();
    if (!this->probe)
        return;
    ++this->counters.probesFailed;
    this->suspect(std::exchange(this->probe, std::nullopt)->target, now);
}

void Membership::Core::requestIndirectProbes(TimePoint now)
{
    this->probe->didRequestIndirectProbes = true;
    const auto& target = this->probe->target;
    auto& [options, self, random, members, memberUpdates, marks, digests, zones, holder] = this->view;
    for (const auto& helper : members.sample(options.indirectProbes, target.instance.name, random)) {
        DatagramWriter writer { this->view, now, wire::MembershipKind::PingRequest, this->probe->sequence };
        writer.setSubject(target);
        writer.addUrgentUpdates();
        this->send(helper.membershipAddress, writer.bytes());
    }
}

void Membership::Core::suspect(const Member& target, TimePoint now)
{
    const auto* known = this->view.members.find(target.instance.name);
    if (!known || known->member.instance != target.instance || known->member.revision != target.revision)
        return;
    if (known->member.state == MemberState::Leaving) {
        const auto deadline = now + this->view.options.suspicionTimeout;
        this->view.members.startSuspicion(target.instance.name, deadline);
        return;
    }
    if (known->member.state != MemberState::Alive)
        return;
    ++this->counters.suspicionsRaised;
    auto suspected = known->member;
    suspected.state = MemberState::Suspected;
    this->apply(suspected, now);
}

void Membership::Core::confirmDeaths(TimePoint now)
{
    for (const auto& name : this->view.members.expiredSuspicions(now)) {
        ++this->counters.deathsConfirmed;
        auto dead = this->view.members.find(name)->member;
        dead.state = MemberState::Dead;
        this->apply(dead, now);
    }
}

Duration Membership::Core::scaledByHealth(Duration duration) const
{
    return duration * (1 + this->healthPenalty);
}

void Membership::Core::gossip(TimePoint now)
{
    const auto& options = this->view.options;
    this->offsetGossipRounds -= this->offsetGossipRounds > 0 ? 1 : 0;
    this->nextGossip = now + options.gossipPeriod;
    for (const auto& member : this->view.members.sample(options.gossipFanout, {}, this->view.random)) {
        DatagramWriter writer { this->view, now, wire::MembershipKind::Gossip, 0 };
        writer.addUrgentUpdates();
        this->send(member.membershipAddress, writer.bytes());
    }
}

void Membership::Core::reconnect(TimePoint now)
{
    auto& [options, self, random, members, memberUpdates, marks, digests, zones, holder] = this->view;
    members.removeExpiredTombstones(now);
    marks.removeExpired(now);
    digests.removeExpired(now);
    std::vector<Member> candidates;
    for (const auto* entry : members.entries())
        if (entry->member.state == MemberState::Dead)
            candidates.push_back(entry->member);
    for (const auto& [name, member] : this->listedInstances)
        if (!members.find(name))
            candidates.push_back(member);
    std::ranges::shuffle(candidates, random);
    candidates.resize(std::min(candidates.size(), this->isJoining(now) ? JoinFanout : 1));
    if (this->isJoining(now))
        std::ranges::move(members.sample(JoinFanout - candidates.size(), {}, random), std::back_inserter(candidates));
    for (const auto& member : candidates)
        this->ping(member, Purpose::Reconnect, now);
}

void Membership::Core::pingOtherZones(TimePoint now)
{
    const auto own = this->view.allMembers();
    const auto isBridgeTo = [&](const std::string& zone) {
        const auto bridges = rendezvousOrder("bridge to " + zone, own, this->view.options.bridgesPerZone);
        return std::ranges::find(bridges, &own.front()) != bridges.end();
    };
    for (const auto& zone : this->view.zones.names()) {
        if (!isBridgeTo(zone))
            continue;
        const auto contact = this->view.zones.chooseContact(zone, now, this->view.random);
        if (contact)
            this->ping(*contact, Purpose::Bridge, now);
    }
}

bool Membership::Core::hasUrgentUpdates() const
{
    const auto hasAny = !this->view.memberUpdates.isEmpty() || !this->view.marks.pendingUpdates.isEmpty()
        || this->offsetGossipRounds > 0;
    return hasAny && this->view.members.liveCount() > 0;
}

bool Membership::Core::isJoining(TimePoint now) const
{
    return now - this->startedAt < JoinDuration || this->view.members.liveCount() == 0;
}

}
