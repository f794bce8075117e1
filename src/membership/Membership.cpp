#include <marigoldpaddle/Membership.h>

#include <algorithm>

#include "membership/MembershipCore.h"

namespace marigoldpaddle {

namespace {

// Times since a zone's last answer after which its contacts are reported as suspected and as dead.
constexpr Duration ZoneSuspicionTimeout = std::chrono::seconds { 10 };
constexpr Duration ZoneDeathTimeout = std::chrono::seconds { 30 };

MemberState stateOfContact(const ZoneDigest& digest, const Member& contact, TimePoint now)
{
    const auto age = now - digest.lastAnswerAt;
    if (age > ZoneDeathTimeout)
        return MemberState::Dead;
    return age > ZoneSuspicionTimeout ? std::max(contact.state, MemberState::Suspected) : contact.state;
}

}

Membership::Membership(Member self, const MembershipOptions& options, std::mt19937_64 random, TimePoint now)
    : core(std::make_unique<Core>(std::move(self), options, random, now))
{
}

Membership::~Membership() = default;

MembershipCommands Membership::receive(std::string_view datagram, TimePoint now)
{
    this->core->receive(datagram, now);
    return this->core->takeCommands();
}

MembershipCommands Membership::tick(TimePoint now)
{
    this->core->tick(now);
    return this->core->takeCommands();
}

TimePoint Membership::nextTick() const
{
    return this->core->nextTick();
}

void Membership::updateListing(std::span<const InstanceDescription> instances, TimePoint now)
{
    this->core->updateListing(instances, now);
}

MembershipCommands Membership::markTarget(const TargetLeavingMark& mark, TimePoint now)
{
    this->core->markTarget(mark, now);
    return this->core->takeCommands();
}

void Membership::publish(const CellDigest& digest, TimePoint now)
{
    this->core->publish(digest, now);
}

void Membership::setConfigurationOffset(std::uint64_t offset, TimePoint now)
{
    this->core->setConfigurationOffset(offset, now);
}

MembershipCommands Membership::leave(TimePoint now)
{
    this->core->leave(now);
    return this->core->takeCommands();
}

MembershipCommands Membership::announceExit(TimePoint now)
{
    this->core->announceExit(now);
    return this->core->takeCommands();
}

const Member& Membership::self() const
{
    return this->core->view.self;
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> live { this->self() };
    for (const auto* entry : this->core->view.members.entries())
        if (entry->member.state != MemberState::Dead)
            live.push_back(entry->member);
    std::ranges::sort(live, {}, &Member::instance);
    return live;
}

std::vector<ZoneDigest> Membership::zones() const
{
    return this->core->view.zones.all();
}

std::vector<Member> Membership::membersAndContacts(TimePoint now) const
{
    auto all = this->members();
    for (const auto& digest : this->zones()) {
        for (auto contact : digest.contacts) {
            contact.state = stateOfContact(digest, contact, now);
            if (contact.state != MemberState::Dead)
                all.push_back(std::move(contact));
        }
    }
    return all;
}

std::vector<TargetLeavingMark> Membership::targetMarks() const
{
    return this->core->view.marks.all();
}

std::vector<CellReport> Membership::cellReports(TimePoint now) const
{
    return this->core->view.digests.all(now);
}

const std::optional<Member>& Membership::configurationHolder() const
{
    return this->core->view.configurationHolder;
}

bool Membership::isStale(TimePoint now) const
{
    return this->core->isStale(now);
}

const MembershipCounters& Membership::counters() const
{
    return this->core->counters;
}

}
