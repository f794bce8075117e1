#include "membership/DatagramWriter.h"

#include <algorithm>
#include <bit>

#include "membership/MembershipCodec.h"
#include "membership/Ownership.h"

namespace marigoldpaddle::internal {

namespace {

constexpr std::size_t MessageOverheadBytes = 64; // Kind, sequence, offset, and the headers of all lists.
constexpr std::size_t TransmissionFactor = 3; // Multiplied by the logarithm of the number of live members.
constexpr std::size_t DigestTransmissions = 3;
constexpr std::size_t OwnZoneDigestsPerDatagram = 12;
constexpr std::size_t OtherZoneDigestsPerDatagram = 4;
constexpr std::size_t ZonesPerDatagram = 1;
constexpr std::size_t ZoneSummaryDigests = 10;
constexpr std::size_t AntiEntropyMarks = 1;
constexpr std::size_t Unlimited = MaximumDatagramBytes;

}

MembershipView::MembershipView(Member self, const MembershipOptions& options, std::mt19937_64 random)
    : options(options)
    , self(std::move(self))
    , random(random)
    , members(this->options)
    , marks(this->options)
    , digests(this->self.availabilityZone, this->options)
    , zones(this->options)
{
}

std::vector<Member> MembershipView::allMembers() const
{
    std::vector<Member> all { this->self };
    for (const auto* entry : this->members.entries())
        all.push_back(entry->member);
    return all;
}

DatagramWriter::DatagramWriter(
    MembershipView& view, TimePoint now, wire::MembershipKind::type kind, std::int64_t sequence)
    : view(view)
    , now(now)
{
    this->message.kind = kind;
    this->message.sequence = sequence;
    this->message.sender = toWire(view.self);
    const auto& holder = view.configurationHolder;
    this->message.configurationOffset = holder ? static_cast<std::int64_t>(holder->configurationOffset) : 0;
    this->freeBytes = MaximumDatagramBytes - MessageOverheadBytes - encodedBytes(this->message.sender);
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

void DatagramWriter::addUrgentUpdates()
{
    this->addMarks();
    this->addMemberUpdates();
}

void DatagramWriter::addUpdates()
{
    this->addUrgentUpdates();
    this->addZones();
    this->addDigests(this->view.digests.ownZoneUpdates, OwnZoneDigestsPerDatagram);
    this->addDigests(this->view.digests.otherZoneUpdates, OtherZoneDigestsPerDatagram);
}

void DatagramWriter::addAntiEntropy(std::size_t count)
{
    for (const auto& member : this->view.members.sample(count, {}, this->view.random))
        if (!this->isAddressedTo(member.instance.name))
            this->addRecord(member);
    const auto marks = this->view.marks.all();
    std::vector<TargetLeavingMark> chosen;
    std::ranges::sample(marks, std::back_inserter(chosen), AntiEntropyMarks, this->view.random);
    for (const auto& mark : chosen)
        if (this->reserve(toWire(mark)))
            this->message.targetMarks.push_back(toWire(mark));
}

void DatagramWriter::addZoneSummary()
{
    this->addMarks();
    auto& random = this->view.random;
    auto record = toWire(this->ownZoneDigest(), this->now);
    if (this->reserve(record))
        this->message.zones.push_back(std::move(record));
    const auto members = this->view.allMembers();
    for (const auto& report : this->view.digests.bestPerModelInOwnZone(ZoneSummaryDigests, this->now, random))
        this->addDigest(this->withOwner(report, members));
}

ZoneDigest DatagramWriter::ownZoneDigest()
{
    const auto& self = this->view.self;
    const auto contacts = this->view.options.contactsPerZone;
    ZoneDigest own { self.availabilityZone, this->view.members.sample(contacts, {}, this->view.random), this->now };
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
    auto& marks = this->view.marks;
    marks.pendingUpdates.offer(Unlimited, this->transmissionLimit(), [&](const std::string& target) {
        const auto* mark = marks.find(target);
        if (!mark)
            return true; // Expired: counted as sent, so that it leaves the queue.
        if (!this->reserve(toWire(*mark)))
            return false;
        this->message.targetMarks.push_back(toWire(*mark));
        return true;
    });
}

void DatagramWriter::addMemberUpdates()
{
    this->view.memberUpdates.offer(Unlimited, this->transmissionLimit(), [&](const std::string& name) {
        const auto* entry = this->view.members.find(name);
        if (!entry || this->isAddressedTo(name))
            return true; // Counted as sent: it has expired, is the sender's own or the addressee's record.
        auto record = toWire(entry->member);
        if (!this->reserve(record))
            return false;
        this->message.updates.push_back(std::move(record));
        return true;
    });
}

void DatagramWriter::addDigests(UpdateQueue& pendingUpdates, std::size_t count)
{
    pendingUpdates.offer(count, DigestTransmissions, [this](const std::string& key) {
        const auto* report = this->view.digests.find(key);
        return !report || this->addDigest(this->withoutZoneAndOwner(*report));
    });
}

CellReport DatagramWriter::withoutZoneAndOwner(CellReport report) const
{
    if (report.digest.cell.availabilityZone != this->view.self.availabilityZone)
        return report;
    report.digest.cell.availabilityZone.clear();
    report.owner = {};
    report.ownerAddress.clear();
    return report;
}

CellReport DatagramWriter::withOwner(CellReport report, std::span<const Member> members) const
{
    if (const auto* owner = ownerOf(report.digest.cell, members)) {
        report.owner = owner->instance;
        report.ownerAddress = owner->dispatcherAddress;
    }
    return report;
}

void DatagramWriter::addZones()
{
    auto& zones = this->view.zones;
    zones.pendingUpdates.offer(ZonesPerDatagram, DigestTransmissions, [&](const std::string& zone) {
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

std::size_t DatagramWriter::transmissionLimit() const
{
    return TransmissionFactor * std::bit_width(this->view.members.liveCount() + 1);
}

bool DatagramWriter::isAddressedTo(std::string_view name) const
{
    return !this->message.updates.empty() && this->message.updates.front().instance.name == name;
}

}
