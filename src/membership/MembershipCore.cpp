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
constexpr std::size_t MaximumOutstanding = 1024;
constexpr std::size_t BackgroundRecords = 3; // In each ping.
constexpr std::size_t DepartureFanout = 6;
constexpr std::size_t CandidatesPerZone = 8;
constexpr std::size_t MaximumReceivedBytes = 2 * MaximumDatagramBytes;

}

Membership::Core::Core(Member self, const MembershipOptions& options, std::mt19937_64 random, TimePoint now)
    : knowledge(std::move(self), options, random)
    , startedAt(now)
    , lastRun(now)
    , nextProbe(now)
    , nextGossip(now)
    , nextReconnect(now)
    , nextBridge(now)
{
    this->knowledge.self.state = MemberState::Alive;
}

void Membership::Core::receive(std::string_view datagram, TimePoint now)
{
    this->noticePause(now);
    ++this->counters.datagramsReceived;
    this->counters.bytesReceived += datagram.size();
    const auto wasRead = boost::leaf::try_handle_all(
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
    if (!wasRead)
        ++this->counters.datagramsMalformed;
}

void Membership::Core::handle(const wire::MembershipMessage& message, TimePoint now)
{
    const auto sender = fromWire(message.sender);
    if (sender.instance == this->knowledge.self.instance)
        return;
    const auto* known = this->knowledge.members.find(sender.instance.name);
    const auto isNewcomer = !known || known->member.instance.incarnation < sender.instance.incarnation;
    this->apply(sender, now);
    for (const auto& record : message.updates | std::views::filter(isWellFormed))
        this->apply(fromWire(record), now);
    this->applyRidingNews(message, now);
    switch (message.kind) {
    case wire::MembershipKind::Ping:
        this->answer(message, isNewcomer, now);
        break;
    case wire::MembershipKind::PingRequest:
        this->relay(message, now);
        break;
    case wire::MembershipKind::Acknowledge:
        this->acknowledged(message, now);
        break;
    case wire::MembershipKind::Gossip:
        break;
    }
}

void Membership::Core::answer(const wire::MembershipMessage& message, bool isNewcomer, TimePoint now)
{
    const auto sender = fromWire(message.sender);
    DatagramWriter writer { this->knowledge, now, wire::MembershipKind::Acknowledge, message.sequence };
    if (!this->isOfOwnZone(sender)) {
        writer.addZoneSummary();
        this->send(sender.membershipAddress, writer.bytes());
        return;
    }
    const auto* known = this->knowledge.members.find(sender.instance.name);
    if (known && known->member != sender && !internal::supersedes(sender, known->member))
        writer.addRecord(known->member);
    writer.addNews();
    if (isNewcomer || message.joining)
        writer.addBackground(this->knowledge.options.maximumMembers);
    this->send(sender.membershipAddress, writer.bytes());
}

void Membership::Core::relay(const wire::MembershipMessage& message, TimePoint now)
{
    if (!message.__isset.subject || !isWellFormed(message.subject))
        return;
    const auto subject = fromWire(message.subject);
    const auto sequence = this->expectAnswer(
        { Purpose::Relay, now, subject.instance.name, message.sender.membershipAddress, message.sequence });
    if (sequence == 0)
        return;
    DatagramWriter writer { this->knowledge, now, wire::MembershipKind::Ping, sequence };
    writer.addRecord(subject);
    writer.addUrgentNews();
    this->send(subject.membershipAddress, writer.bytes());
}

void Membership::Core::acknowledged(const wire::MembershipMessage& message, TimePoint now)
{
    const auto found = this->outstanding.find(message.sequence);
    if (found == this->outstanding.end())
        return;
    const auto expected = found->second;
    const auto& answerer = message.__isset.subject ? message.subject.instance.name : message.sender.instance.name;
    if (answerer != expected.target)
        return;
    this->outstanding.erase(found);
    if (this->resumedAt && expected.sentAt >= *this->resumedAt)
        this->resumedAt.reset();
    if (expected.purpose == Purpose::Relay) {
        DatagramWriter writer { this->knowledge, now, wire::MembershipKind::Acknowledge, expected.requesterSequence };
        writer.setSubject(fromWire(message.sender));
        writer.addRecord(fromWire(message.sender));
        this->send(expected.requesterAddress, writer.bytes());
    }
    if (!this->probe || this->probe->sequence != message.sequence)
        return;
    this->knowledge.members.clearSuspicion(expected.target);
    this->healthPenalty -= this->healthPenalty > 0 ? 1 : 0;
    this->probe.reset();
}

void Membership::Core::apply(const Member& heard, TimePoint now)
{
    const auto& self = this->knowledge.self;
    if (heard.instance.name == self.instance.name) {
        this->applySelf(heard);
        return;
    }
    this->noteConfiguration(heard);
    if (!this->isOfOwnZone(heard) || !this->knowledge.members.apply(heard, now, this->knowledge.random))
        return;
    this->knowledge.memberNews.add(heard.instance.name, heard.state >= MemberState::Leaving ? 0 : 1);
    this->commands.emplace_back(MemberChanged { this->knowledge.members.find(heard.instance.name)->member });
}

void Membership::Core::applySelf(const Member& heard)
{
    auto& self = this->knowledge.self;
    if (heard.instance.incarnation > self.instance.incarnation) {
        if (heard.instance.incarnation > this->supersededBy)
            this->commands.emplace_back(Superseded { heard.instance.incarnation });
        this->supersededBy = std::max(this->supersededBy, heard.instance.incarnation);
        return;
    }
    const auto isRefutable = heard.instance == self.instance && heard.revision >= self.revision
        && heard.state != self.state && heard.state != MemberState::Alive;
    if (!isRefutable)
        return;
    self.revision = heard.revision + 1;
    ++this->counters.refutations;
    this->knowledge.memberNews.add(self.instance.name);
}

void Membership::Core::applyRidingNews(const wire::MembershipMessage& message, TimePoint now)
{
    for (const auto& record : message.targetMarks)
        this->markTarget(internal::fromWire(record), now);
    for (const auto& record : message.cells) {
        auto report = internal::fromWire(record, now);
        if (report.digest.cell.availabilityZone.empty())
            report.digest.cell.availabilityZone = message.sender.availabilityZone;
        this->knowledge.digests.apply(report);
    }
    for (const auto& record : message.zones) {
        if (record.availabilityZone == this->knowledge.self.availabilityZone)
            continue;
        const auto digest = internal::fromWire(record, now);
        std::ranges::for_each(digest.contacts, [this](const Member& contact) { this->noteConfiguration(contact); });
        this->knowledge.zones.apply(digest);
    }
}

void Membership::Core::noteConfiguration(const Member& holder)
{
    if (holder.state == MemberState::Dead || holder.configurationOffset == 0)
        return;
    auto& highest = this->knowledge.configurationHolder;
    if (highest && holder.configurationOffset <= highest->configurationOffset)
        return;
    highest = holder;
    if (holder.configurationOffset > this->knowledge.self.configurationOffset)
        this->commands.emplace_back(ConfigurationOffsetHeard { holder.configurationOffset, holder });
}

void Membership::Core::updateListing(std::span<const InstanceDescription> instances, TimePoint now)
{
    this->noticePause(now);
    const auto& self = this->knowledge.self;
    this->listed.clear();
    std::map<std::string, std::vector<Member>> candidates;
    for (const auto& instance : instances) {
        const auto isUsable
            = !instance.membershipAddress.empty() && !instance.isLeaving && instance.name != self.instance.name;
        if (!isUsable)
            continue;
        Member member { { instance.name, instance.incarnation }, instance.availabilityZone, instance.membershipAddress,
            instance.dispatcherAddress, MemberState::Alive, 0, 0 };
        if (!this->isOfOwnZone(member))
            candidates[instance.availabilityZone].push_back(std::move(member));
        else if (this->listed.size() < this->knowledge.options.maximumMembers)
            this->listed.emplace(instance.name, std::move(member));
    }
    for (auto& [zone, members] : candidates) {
        std::ranges::shuffle(members, this->knowledge.random);
        members.resize(std::min(members.size(), CandidatesPerZone));
        this->knowledge.zones.setCandidates(zone, std::move(members));
    }
    if (this->isJoining(now))
        this->nextReconnect = std::min(this->nextReconnect, now);
}

void Membership::Core::markTarget(const TargetLeavingMark& mark, TimePoint now)
{
    if (this->knowledge.marks.apply(mark, now))
        this->commands.emplace_back(TargetMarked { mark });
}

void Membership::Core::publish(const CellDigest& digest, TimePoint now)
{
    const auto& self = this->knowledge.self;
    const auto* before = this->knowledge.digests.find(ownershipKey(digest.cell));
    const auto sequence = before ? before->sequence + 1 : 1;
    this->knowledge.digests.apply({ digest, self.instance, self.dispatcherAddress, sequence, now });
}

void Membership::Core::setConfigurationOffset(std::uint64_t offset, TimePoint now)
{
    auto& self = this->knowledge.self;
    if (offset <= self.configurationOffset)
        return;
    self.configurationOffset = offset;
    this->noteConfiguration(self);
    this->offsetRounds = OffsetGossipRounds;
    this->nextGossip = std::min(this->nextGossip, now);
}

void Membership::Core::leave(TimePoint now)
{
    auto& self = this->knowledge.self;
    if (self.state == MemberState::Leaving)
        return;
    self.state = MemberState::Leaving;
    ++self.revision;
    this->knowledge.memberNews.add(self.instance.name);
    this->gossip(now);
}

void Membership::Core::depart(TimePoint now)
{
    auto& self = this->knowledge.self;
    self.state = MemberState::Dead;
    ++self.revision;
    for (const auto& member : this->knowledge.members.sample(DepartureFanout, {}, this->knowledge.random)) {
        DatagramWriter writer { this->knowledge, now, wire::MembershipKind::Gossip, 0 };
        writer.addUrgentNews();
        this->send(member.membershipAddress, writer.bytes());
    }
}

bool Membership::Core::isStale(TimePoint now) const
{
    return this->supersededBy > 0 || this->resumedAt || now - this->lastRun > this->knowledge.options.staleBound;
}

MembershipCommands Membership::Core::takeCommands()
{
    return std::exchange(this->commands, {});
}

void Membership::Core::ping(const Member& target, Purpose purpose, TimePoint now)
{
    const auto sequence = this->expectAnswer({ purpose, now, target.instance.name, {}, 0 });
    if (sequence == 0)
        return;
    DatagramWriter writer { this->knowledge, now, wire::MembershipKind::Ping, sequence };
    if (purpose == Purpose::Bridge) {
        writer.addZoneSummary();
    } else {
        if (target.state != MemberState::Alive)
            writer.addRecord(target);
        writer.setJoining(this->isJoining(now));
        writer.addNews();
        writer.addBackground(BackgroundRecords);
    }
    this->send(target.membershipAddress, writer.bytes());
}

std::int64_t Membership::Core::expectAnswer(Outstanding expected)
{
    if (this->outstanding.size() >= MaximumOutstanding)
        return 0;
    this->outstanding.emplace(++this->lastSequence, std::move(expected));
    return this->lastSequence;
}

void Membership::Core::send(const std::string& address, std::string bytes)
{
    ++this->counters.datagramsSent;
    this->counters.bytesSent += bytes.size();
    this->commands.emplace_back(SendDatagram { address, std::move(bytes) });
}

bool Membership::Core::isOfOwnZone(const Member& member) const
{
    return member.availabilityZone == this->knowledge.self.availabilityZone;
}

}
