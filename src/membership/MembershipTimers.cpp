#include "membership/MembershipCore.h"

#include <algorithm>
#include <ranges>

#include "membership/Ownership.h"

// What the membership does as time passes: probes, suspicions, gossip, reconnection and bridges to other zones.
namespace marigoldpaddle {

using internal::DatagramWriter;

namespace {

constexpr unsigned MaximumHealthPenalty = 2;
constexpr std::size_t JoinFanout = 3;
constexpr Duration AnswerLifetime = std::chrono::seconds { 5 };
constexpr Duration JoiningTime = std::chrono::seconds { 10 };

}

void Membership::Core::tick(TimePoint now)
{
    this->noticePause(now);
    const auto& options = this->knowledge.options;
    if (this->probe && !this->probe->didAskOthers && now >= this->probe->indirectAt)
        this->askOthers(now);
    if (now >= this->nextProbe) {
        this->concludeProbe(now);
        this->beginProbe(now);
        this->nextProbe = now + this->stretched(options.probePeriod);
    }
    this->confirmDeaths(now);
    if (now >= this->nextReconnect) {
        this->reconnect(now);
        this->nextReconnect = now + (this->isJoining(now) ? options.probePeriod : options.reconnectPeriod);
    }
    if (now >= this->nextBridge) {
        this->bridge(now);
        this->nextBridge = now + options.bridgePeriod;
    }
    if (this->hasUrgentNews() && now >= this->nextGossip)
        this->gossip(now);
}

TimePoint Membership::Core::nextTick() const
{
    auto next
        = std::min({ this->nextProbe, this->nextReconnect, this->nextBridge, this->knowledge.members.nextDeadline() });
    if (this->probe && !this->probe->didAskOthers)
        next = std::min(next, this->probe->indirectAt);
    if (this->hasUrgentNews())
        next = std::min(next, this->nextGossip);
    return next;
}

void Membership::Core::noticePause(TimePoint now)
{
    const auto& options = this->knowledge.options;
    const auto lateness = now - std::max(this->nextTick(), this->lastRun);
    const auto pause = now - this->lastRun;
    this->lastRun = now;
    if (lateness <= options.probeTimeout)
        return;
    ++this->counters.pausesNoticed;
    this->knowledge.members.postpone(lateness);
    this->probe.reset();
    this->nextProbe = std::max(this->nextProbe, now);
    this->healthPenalty = std::min(this->healthPenalty + 1, MaximumHealthPenalty);
    if (pause > options.staleBound)
        this->resumedAt = now;
}

void Membership::Core::beginProbe(TimePoint now)
{
    const auto* target = this->knowledge.members.nextToProbe(this->knowledge.random);
    if (!target)
        return;
    const auto member = *target;
    this->ping(member, Purpose::Probe, now);
    this->probe = { this->lastSequence, member, now + this->stretched(this->knowledge.options.probeTimeout), false };
}

void Membership::Core::concludeProbe(TimePoint now)
{
    const auto isExpired = [&](const auto& item) {
        return now - item.second.sentAt > AnswerLifetime;
    };
    std::erase_if(this->outstanding, isExpired);
    const auto confirmedBy = this->knowledge.options.suspicionTimeout + 2 * this->knowledge.options.probePeriod;
    if (this->resumedAt && now - *this->resumedAt > confirmedBy)
        this->resumedAt.reset();
    if (!this->probe)
        return;
    ++this->counters.probesFailed;
    this->suspect(std::exchange(this->probe, std::nullopt)->target, now);
}

void Membership::Core::askOthers(TimePoint now)
{
    this->probe->didAskOthers = true;
    const auto& target = this->probe->target;
    auto& [options, self, random, members, memberNews, marks, digests, zones, holder] = this->knowledge;
    for (const auto& helper : members.sample(options.indirectProbes, target.instance.name, random)) {
        DatagramWriter writer { this->knowledge, now, wire::MembershipKind::PingRequest, this->probe->sequence };
        writer.setSubject(target);
        writer.addUrgentNews();
        this->send(helper.membershipAddress, writer.bytes());
    }
}

void Membership::Core::suspect(const Member& target, TimePoint now)
{
    const auto* known = this->knowledge.members.find(target.instance.name);
    if (!known || known->member.instance != target.instance || known->member.revision != target.revision)
        return;
    if (known->member.state == MemberState::Leaving) {
        const auto deadline = now + this->knowledge.options.suspicionTimeout;
        this->knowledge.members.startSuspicion(target.instance.name, deadline);
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
    for (const auto& name : this->knowledge.members.overdue(now)) {
        ++this->counters.deathsConfirmed;
        auto dead = this->knowledge.members.find(name)->member;
        dead.state = MemberState::Dead;
        this->apply(dead, now);
    }
}

Duration Membership::Core::stretched(Duration duration) const
{
    return duration * (1 + this->healthPenalty);
}

void Membership::Core::gossip(TimePoint now)
{
    const auto& options = this->knowledge.options;
    this->offsetRounds -= this->offsetRounds > 0 ? 1 : 0;
    this->nextGossip = now + options.gossipPeriod;
    for (const auto& member : this->knowledge.members.sample(options.gossipFanout, {}, this->knowledge.random)) {
        DatagramWriter writer { this->knowledge, now, wire::MembershipKind::Gossip, 0 };
        writer.addUrgentNews();
        this->send(member.membershipAddress, writer.bytes());
    }
}

void Membership::Core::reconnect(TimePoint now)
{
    auto& [options, self, random, members, memberNews, marks, digests, zones, holder] = this->knowledge;
    members.forgetTombstones(now);
    marks.forgetExpired(now);
    digests.forgetExpired(now);
    std::vector<Member> absent;
    for (const auto* entry : members.entries())
        if (entry->member.state == MemberState::Dead)
            absent.push_back(entry->member);
    for (const auto& [name, member] : this->listed)
        if (!members.find(name))
            absent.push_back(member);
    std::ranges::shuffle(absent, random);
    absent.resize(std::min(absent.size(), this->isJoining(now) ? JoinFanout : 1));
    if (this->isJoining(now))
        std::ranges::move(members.sample(JoinFanout - absent.size(), {}, random), std::back_inserter(absent));
    for (const auto& member : absent)
        this->ping(member, Purpose::Reconnect, now);
}

void Membership::Core::bridge(TimePoint now)
{
    const auto own = this->knowledge.allMembers();
    const auto isBridgeTo = [&](const std::string& zone) {
        const auto bridges = rendezvousOrder("bridge to " + zone, own, this->knowledge.options.bridgesPerZone);
        return std::ranges::find(bridges, &own.front()) != bridges.end();
    };
    for (const auto& zone : this->knowledge.zones.names()) {
        if (!isBridgeTo(zone))
            continue;
        const auto contact = this->knowledge.zones.chooseContact(zone, now, this->knowledge.random);
        if (contact)
            this->ping(*contact, Purpose::Bridge, now);
    }
}

bool Membership::Core::hasUrgentNews() const
{
    const auto isAny
        = !this->knowledge.memberNews.isEmpty() || !this->knowledge.marks.news.isEmpty() || this->offsetRounds > 0;
    return isAny && this->knowledge.members.liveCount() > 0;
}

bool Membership::Core::isJoining(TimePoint now) const
{
    return now - this->startedAt < JoiningTime || this->knowledge.members.liveCount() == 0;
}

}
