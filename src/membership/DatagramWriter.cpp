#include "membership/DatagramWriter.h"

#include <algorithm>
#include <bit>

#include "membership/MembershipCodec.h"
#include "membership/Ownership.h"

namespace marigoldpaddle::internal {

namespace {

constexpr std::size_t EnvelopeBytes = 64; // Kind, sequence, offset, and the headers of all lists.
constexpr std::size_t TransmissionFactor = 3; // Times the logarithm of the members.
constexpr std::size_t DigestTransmissions = 3;
constexpr std::size_t OwnDigestsPerDatagram = 12;
constexpr std::size_t ForeignDigestsPerDatagram = 4;
constexpr std::size_t ZonesPerDatagram = 1;
constexpr std::size_t SummaryDigests = 10;
constexpr std::size_t BackgroundMarks = 1;
constexpr std::size_t Unlimited = MaximumDatagramBytes;

}

MembershipKnowledge::MembershipKnowledge(Member self, const MembershipOptions& options, std::mt19937_64 random)
    : options(options)
    , self(std::move(self))
    , random(random)
    , members(this->options)
    , marks(this->options)
    , digests(this->self.availabilityZone, this->options)
    , zones(this->options)
{
}

std::vector<Member> MembershipKnowledge::allMembers() const
{
    std::vector<Member> all { this->self };
    for (const auto* entry : this->members.entries())
        all.push_back(entry->member);
    return all;
}

DatagramWriter::DatagramWriter(
    MembershipKnowledge& knowledge, TimePoint now, wire::MembershipKind::type kind, std::int64_t sequence)
    : knowledge(knowledge)
    , now(now)
{
    this->message.kind = kind;
    this->message.sequence = sequence;
    this->message.sender = toWire(knowledge.self);
    const auto& holder = knowledge.configurationHolder;
    this->message.configurationOffset = holder ? static_cast<std::int64_t>(holder->configurationOffset) : 0;
    this->freeBytes = MaximumDatagramBytes - EnvelopeBytes - encodedBytes(this->message.sender);
}

template <typename Record> bool DatagramWriter::reserve(const Record& record)
{
    const auto needed = encodedBytes(record);
    if (needed > this->freeBytes)
        return false;
    this->freeBytes -= needed;
    return true;
}

void DatagramWriter::addRecord(const Member& member)
{
    auto record = toWire(member);
    if (this->reserve(record))
        this->message.updates.push_back(std::move(record));
}

void DatagramWriter::setSubject(const Member& member)
{
    auto record = toWire(member);
    if (this->reserve(record))
        this->message.__set_subject(std::move(record));
}

void DatagramWriter::setJoining(bool isJoining)
{
    this->message.joining = isJoining;
}

void DatagramWriter::addUrgentNews()
{
    this->addMarks();
    this->addMemberNews();
}

void DatagramWriter::addNews()
{
    this->addUrgentNews();
    this->addZones();
    this->addDigests(this->knowledge.digests.ownNews, OwnDigestsPerDatagram);
    this->addDigests(this->knowledge.digests.foreignNews, ForeignDigestsPerDatagram);
}

void DatagramWriter::addBackground(std::size_t count)
{
    for (const auto& member : this->knowledge.members.sample(count, {}, this->knowledge.random))
        if (!this->isAddressedTo(member.instance.name))
            this->addRecord(member);
    const auto marks = this->knowledge.marks.all();
    std::vector<TargetLeavingMark> chosen;
    std::ranges::sample(marks, std::back_inserter(chosen), BackgroundMarks, this->knowledge.random);
    for (const auto& mark : chosen)
        if (this->reserve(toWire(mark)))
            this->message.targetMarks.push_back(toWire(mark));
}

void DatagramWriter::addZoneSummary()
{
    this->addMarks();
    auto& random = this->knowledge.random;
    auto record = toWire(this->ownZone(), this->now);
    if (this->reserve(record))
        this->message.zones.push_back(std::move(record));
    const auto members = this->knowledge.allMembers();
    for (const auto& report : this->knowledge.digests.bestOfOwnZone(SummaryDigests, this->now, random))
        this->addDigest(this->completed(report, members));
}

ZoneDigest DatagramWriter::ownZone()
{
    const auto& self = this->knowledge.self;
    const auto contacts = this->knowledge.options.contactsPerZone;
    ZoneDigest own { self.availabilityZone, this->knowledge.members.sample(contacts, {}, this->knowledge.random),
        this->now };
    std::erase_if(own.contacts, [](const Member& member) { return member.state != MemberState::Alive; });
    if (self.state == MemberState::Alive) {
        own.contacts.resize(std::min(own.contacts.size(), contacts - 1));
        own.contacts.push_back(self);
    }
    return own;
}

std::string DatagramWriter::bytes() const
{
    return encode(this->message);
}

void DatagramWriter::addMarks()
{
    auto& marks = this->knowledge.marks;
    marks.news.offer(Unlimited, this->transmissions(), [&](const std::string& target) {
        const auto* mark = marks.find(target);
        if (!mark)
            return true; // Forgotten since: it leaves the queue as if sent.
        if (!this->reserve(toWire(*mark)))
            return false;
        this->message.targetMarks.push_back(toWire(*mark));
        return true;
    });
}

void DatagramWriter::addMemberNews()
{
    this->knowledge.memberNews.offer(Unlimited, this->transmissions(), [&](const std::string& name) {
        const auto* entry = this->knowledge.members.find(name);
        if (!entry || this->isAddressedTo(name))
            return true; // The sender's own record is in every datagram; forgotten ones leave the queue as if sent.
        auto record = toWire(entry->member);
        if (!this->reserve(record))
            return false;
        this->message.updates.push_back(std::move(record));
        return true;
    });
}

void DatagramWriter::addDigests(NewsQueue& news, std::size_t count)
{
    news.offer(count, DigestTransmissions, [this](const std::string& key) {
        const auto* report = this->knowledge.digests.find(key);
        return !report || this->addDigest(this->shortened(*report));
    });
}

CellReport DatagramWriter::shortened(CellReport report) const
{
    if (report.digest.cell.availabilityZone != this->knowledge.self.availabilityZone)
        return report;
    report.digest.cell.availabilityZone.clear();
    report.owner = {};
    report.ownerAddress.clear();
    return report;
}

CellReport DatagramWriter::completed(CellReport report, std::span<const Member> members) const
{
    if (const auto* owner = ownerOf(report.digest.cell, members)) {
        report.owner = owner->instance;
        report.ownerAddress = owner->dispatcherAddress;
    }
    return report;
}

void DatagramWriter::addZones()
{
    auto& zones = this->knowledge.zones;
    zones.news.offer(ZonesPerDatagram, DigestTransmissions, [&](const std::string& zone) {
        const auto* digest = zones.find(zone);
        if (!digest)
            return true;
        auto record = toWire(*digest, this->now);
        if (!this->reserve(record))
            return false;
        this->message.zones.push_back(std::move(record));
        return true;
    });
}

bool DatagramWriter::addDigest(const CellReport& report)
{
    auto record = toWire(report, this->now);
    if (!this->reserve(record))
        return false;
    this->message.cells.push_back(std::move(record));
    return true;
}

std::size_t DatagramWriter::transmissions() const
{
    return TransmissionFactor * std::bit_width(this->knowledge.members.liveCount() + 1);
}

bool DatagramWriter::isAddressedTo(std::string_view name) const
{
    return !this->message.updates.empty() && this->message.updates.front().instance.name == name;
}

}
