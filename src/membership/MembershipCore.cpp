#include "membership/MembershipCore.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include <boost/leaf/handle_errors.hpp>

#include "membership/MembershipCodec.h"
#include "membership/Ownership.h"

namespace marigoldpaddle {

using internal::DatagramWriter;
using internal::isWellFormed;

namespace {

constexpr unsigned OffsetGossipRounds = 2;
constexpr std::size_t MaximumPendingPings = 1024;
constexpr std::size_t AntiEntropyRecords = 3; // In each ping.
constexpr std::size_t DepartureFanout = 6;
constexpr std::size_t CandidatesPerZone = 8;
constexpr std::size_t MaximumReceivedBytes = 2 * MaximumDatagramBytes;

}

Membership::Core::Core(Member self, const MembershipOptions& options, std::mt19937_64 random, TimePoint now)
    : view(std::move(self), options, random)
    , startedAt(now)
    , lastActiveAt(now)
    , nextProbe(now)
    , nextGossip(now)
    , nextReconnect(now)
    , nextBridge(now)
{
    this->view.self.state = MemberState::Alive;
}

void Membership::Core::receive(std::string_view datagram, TimePoint now)
{
    this->detectPause(now);
    ++this->counters.datagramsReceived;
    this->counters.bytesReceived += datagram.size();
    const auto isValid = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            if (datagram.size() > MaximumReceivedBytes)
                return false;
            BOOST_LEAF_AUTO(message, decode<wire::MembershipMessage>(datagram));
            if (!isWellFormed(message.sender))
                return false;
            this->handle(message, now);
            return true;
        },
        [] { return false; });
    if (!isValid)
        ++this->counters.datagramsMalformed;
}

void Membership::Core::handle(const wire::MembershipMessage& message, TimePoint now)
{
    const auto sender = fromWire(message.sender);
    if (sender.instance == this->view.self.instance)
        return;
    const auto* known = this->view.members.find(sender.instance.name);
    const auto isNewcomer = !known || known->member.instance.incarnation < sender.instance.incarnation;
    this->apply(sender, now);
    for (const auto& record : message.updates | std::views::filter(isWellFormed))
        this->apply(fromWire(record), now);
    this->applyPiggybackedUpdates(message, now);
    switch (message.kind) {
    case wire::MembershipKind::Ping:
        this->acknowledgePing(message, isNewcomer, now);
        break;
    case wire::MembershipKind::PingRequest:
        this->relayPing(message, now);
        break;
    case wire::MembershipKind::Acknowledge:
        this->handleAcknowledgement(message, now);
        break;
    case wire::MembershipKind::Gossip:
        break;
    }
}

void Membership::Core::acknowledgePing(const wire::MembershipMessage& message, bool isNewcomer, TimePoint now)
{
    const auto sender = fromWire(message.sender);
    DatagramWriter writer { this->view, now, wire::MembershipKind::Acknowledge, message.sequence };
    if (!this->isInOwnZone(sender)) {
        writer.addZoneSummary();
        this->send(sender.membershipAddress, writer.bytes());
        return;
    }
    const auto* known = this->view.members.find(sender.instance.name);
    if (known && known->member != sender && !internal::supersedes(sender, known->member))
        writer.addRecord(known->member);
    writer.addUpdates();
    if (isNewcomer || message.joining)
        writer.addAntiEntropy(this->view.options.maximumMembers);
    this->send(sender.membershipAddress, writer.bytes());
}

void Membership::Core::relayPing(const wire::MembershipMessage& message, TimePoint now)
{
    if (!message.__isset.subject || !isWellFormed(message.subject))
        return;
    const auto subject = fromWire(message.subject);
    const auto sequence = this->registerPing(
        { Purpose::Relay, now, subject.instance.name, message.sender.membershipAddress, message.sequence });
    if (sequence == 0)
        return;
    DatagramWriter writer { this->view, now, wire::MembershipKind::Ping, sequence };
    writer.addRecord(subject);
    writer.addUrgentUpdates();
    this->send(subject.membershipAddress, writer.bytes());
}

void Membership::Core::handleAcknowledgement(const wire::MembershipMessage& message, TimePoint now)
{
    const auto found = this->pendingPings.find(message.sequence);
    if (found == this->pendingPings.end())
        return;
    const auto pending = found->second;
    const auto& responder = message.__isset.subject ? message.subject.instance.name : message.sender.instance.name;
    if (responder != pending.target)
        return;
    this->pendingPings.erase(found);
    if (this->resumedAt && pending.sentAt >= *this->resumedAt)
        this->resumedAt.reset();
    if (pending.purpose == Purpose::Relay) {
        DatagramWriter writer { this->view, now, wire::MembershipKind::Acknowledge, pending.requesterSequence };
        writer.setSubject(fromWire(message.sender));
        writer.addRecord(fromWire(message.sender));
        this->send(pending.requesterAddress, writer.bytes());
    }
    if (!this->probe || this->probe->sequence != message.sequence)
        return;
    this->view.members.clearSuspicion(pending.target);
    this->healthPenalty -= this->healthPenalty > 0 ? 1 : 0;
    this->probe.reset();
}

void Membership::Core::apply(const Member& update, TimePoint now)
{
    const auto& self = this->view.self;
    if (update.instance.name == self.instance.name) {
        this->applyOwnRecord(update);
        return;
    }
    this->updateConfigurationHolder(update);
    if (!this->isInOwnZone(update) || !this->view.members.apply(update, now, this->view.random))
        return;
    this->view.memberUpdates.add(update.instance.name, update.state >= MemberState::Leaving ? 0 : 1);
    this->commands.emplace_back(MemberChanged { this->view.members.find(update.instance.name)->member });
}

void Membership::Core::applyOwnRecord(const Member& update)
{
    auto& self = this->view.self;
    if (update.instance.incarnation > self.instance.incarnation) {
        if (update.instance.incarnation > this->supersededBy)
            this->commands.emplace_back(Superseded { update.instance.incarnation });
        this->supersededBy = std::max(this->supersededBy, update.instance.incarnation);
        return;
    }
    const auto isRefutable = update.instance == self.instance && update.revision >= self.revision
        && update.state != self.state && update.state != MemberState::Alive;
    if (!isRefutable)
        return;
    self.revision = update.revision + 1;
    ++this->counters.refutations;
    this->view.memberUpdates.add(self.instance.name);
}

void Membership::Core::applyPiggybackedUpdates(const wire::MembershipMessage& message, TimePoint now)
{
    for (const auto& record : message.targetMarks)
        this->markTarget(internal::fromWire(record), now);
    for (const auto& record : message.cells) {
        auto report = internal::fromWire(record, now);
        if (report.digest.cell.availabilityZone.empty())
            report.digest.cell.availabilityZone = message.sender.availabilityZone;
        this->view.digests.apply(report);
    }
    for (const auto& record : message.zones) {
        if (record.availabilityZone == this->view.self.availabilityZone)
            continue;
        const auto digest = internal::fromWire(record, now);
        std::ranges::for_each(
            digest.contacts, [this](const Member& contact) { this->updateConfigurationHolder(contact); });
        this->view.zones.apply(digest);
    }
}

void Membership::Core::updateConfigurationHolder(const Member& holder)
{
    if (holder.state == MemberState::Dead || holder.configurationOffset == 0)
        return;
    auto& highest = this->view.configurationHolder;
    if (highest && holder.configurationOffset <= highest->configurationOffset)
        return;
    highest = holder;
    if (holder.configurationOffset > this->view.self.configurationOffset)
        this->commands.emplace_back(HigherConfigurationOffset { holder.configurationOffset, holder });
}

void Membership::Core::updateListing(std::span<const InstanceDescription> instances, TimePoint now)
{
    this->detectPause(now);
    const auto& self = this->view.self;
    this->listedInstances.clear();
    std::map<std::string, std::vector<Member>> candidates;
    for (const auto& instance : instances) {
        const auto isUsable
            = !instance.membershipAddress.empty() && !instance.isLeaving && instance.name != self.instance.name;
        if (!isUsable)
            continue;
        Member member { { instance.name, instance.incarnation }, instance.availabilityZone, instance.membershipAddress,
            instance.dispatcherAddress, MemberState::Alive, 0, 0 };
        if (!this->isInOwnZone(member))
            candidates[instance.availabilityZone].push_back(std::move(member));
        else if (this->listedInstances.size() < this->view.options.maximumMembers)
            this->listedInstances.emplace(instance.name, std::move(member));
    }
    for (auto& [zone, members] : candidates) {
        std::ranges::shuffle(members, this->view.random);
        members.resize(std::min(members.size(), CandidatesPerZone));
        this->view.zones.setCandidates(zone, std::move(members));
    }
    if (this->isJoining(now))
        this->nextReconnect = std::min(this->nextReconnect, now);
}

void Membership::Core::markTarget(const TargetLeavingMark& mark, TimePoint now)
{
    if (this->view.marks.apply(mark, now))
        this->commands.emplace_back(TargetMarked { mark });
}

void Membership::Core::publish(const CellDigest& digest, TimePoint now)
{
    const auto& self = this->view.self;
    const auto* before = this->view.digests.find(ownershipKey(digest.cell));
    const auto sequence = before ? before->sequence + 1 : 1;
    this->view.digests.apply({ digest, self.instance, self.dispatcherAddress, sequence, now });
}

void Membership::Core::setConfigurationOffset(std::uint64_t offset, TimePoint now)
{
    auto& self = this->view.self;
    if (offset <= self.configurationOffset)
        return;
    self.configurationOffset = offset;
    this->updateConfigurationHolder(self);
    this->offsetGossipRounds = OffsetGossipRounds;
    this->nextGossip = std::min(this->nextGossip, now);
}

void Membership::Core::leave(TimePoint now)
{
    auto& self = this->view.self;
    if (self.state == MemberState::Leaving)
        return;
    self.state = MemberState::Leaving;
    ++self.revision;
    this->view.memberUpdates.add(self.instance.name);
    this->gossip(now);
}

void Membership::Core::announceExit(TimePoint now)
{
    auto& self = this->view.self;
    self.state = MemberState::Dead;
    ++self.revision;
    for (const auto& member : this->view.members.sample(DepartureFanout, {}, this->view.random)) {
        DatagramWriter writer { this->view, now, wire::MembershipKind::Gossip, 0 };
        writer.addUrgentUpdates();
        this->send(member.membershipAddress, writer.bytes());
    }
}

bool Membership::Core::isStale(TimePoint now) const
{
    return this->supersededBy > 0 || this->resumedAt || now - this->lastActiveAt > this->view.options.staleAfter;
}

MembershipCommands Membership::Core::takeCommands()
{
    return std::exchange(this->commands, {});
}

void Membership::Core::ping(const Member& target, Purpose purpose, TimePoint now)
{
    const auto sequence = this->registerPing({ purpose, now, target.instance.name, {}, 0 });
    if (sequence == 0)
        return;
    DatagramWriter writer { this->view, now, wire::MembershipKind::Ping, sequence };
    if (purpose == Purpose::Bridge) {
        writer.addZoneSummary();
    } else {
        if (target.state != MemberState::Alive)
            writer.addRecord(target);
        writer.setJoining(this->isJoining(now));
        writer.addUpdates();
        writer.addAntiEntropy(AntiEntropyRecords);
    }
    this->send(target.membershipAddress, writer.bytes());
}

std::int64_t Membership::Core::registerPing(PendingPing pending)
{
    if (this->pendingPings.size() >= MaximumPendingPings)
        return 0;
    this->pendingPings.emplace(++this->lastSequence, std::move(pending));
    return this->lastSequence;
}

void Membership::Core::send(const std::string& address, std::string bytes)
{
    ++this->counters.datagramsSent;
    this->counters.bytesSent += bytes.size();
    this->commands.emplace_back(SendDatagram { address, std::move(bytes) });
}

bool Membership::Core::isInOwnZone(const Member& member) const
{
    return member.availabilityZone == this->view.self.availabilityZone;
}

}
