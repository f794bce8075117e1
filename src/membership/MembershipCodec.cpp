#include "membership/MembershipCodec.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace marigoldpaddle::internal {

namespace {

constexpr std::size_t IntegerBytes = 11; // Field header and the longest variable-length integer.
constexpr std::size_t StringHeaderBytes = 3; // Field header and length.
constexpr std::size_t StructureBytes = 3; // Field header, list header and stop.
constexpr std::int64_t MaximumAgeMs = 3'600'000;

std::size_t bytesOf(const std::string& text)
{
    return text.size() + StringHeaderBytes;
}

std::int64_t ageMs(TimePoint since, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    return std::clamp<std::int64_t>(age, 0, MaximumAgeMs);
}

TimePoint timeOf(std::int64_t ageMs, TimePoint now)
{
    return now - std::chrono::milliseconds { std::clamp<std::int64_t>(ageMs, 0, MaximumAgeMs) };
}

wire::InstanceRef referenceOf(const InstanceId& instance)
{
    wire::InstanceRef reference;
    reference.name = instance.name;
    reference.incarnation = static_cast<std::int64_t>(instance.incarnation);
    return reference;
}

InstanceId instanceOf(const wire::InstanceRef& reference)
{
    return { reference.name, static_cast<std::uint64_t>(reference.incarnation) };
}

}

wire::MemberRecord recordOf(const Member& member)
{
    wire::MemberRecord record;
    record.instance = referenceOf(member.instance);
    record.availabilityZone = member.availabilityZone;
    record.membershipAddress = member.membershipAddress;
    record.dispatcherAddress = member.dispatcherAddress;
    record.state = static_cast<wire::MemberState::type>(static_cast<int>(member.state) + 1);
    record.configurationOffset = static_cast<std::int64_t>(member.configurationOffset);
    record.revision = static_cast<std::int64_t>(member.revision);
    return record;
}

Member memberOf(const wire::MemberRecord& record)
{
    Member member;
    member.instance = instanceOf(record.instance);
    member.availabilityZone = record.availabilityZone;
    member.membershipAddress = record.membershipAddress;
    member.dispatcherAddress = record.dispatcherAddress;
    member.state = static_cast<MemberState>(static_cast<int>(record.state) - 1);
    member.configurationOffset = static_cast<std::uint64_t>(record.configurationOffset);
    member.revision = static_cast<std::uint64_t>(record.revision);
    return member;
}

wire::TargetMark recordOf(const TargetLeavingMark& mark)
{
    wire::TargetMark record;
    record.target = mark.target;
    record.incarnation = static_cast<std::int64_t>(mark.incarnation);
    record.leaving = mark.isLeaving;
    return record;
}

TargetLeavingMark markOf(const wire::TargetMark& record)
{
    return { record.target, static_cast<std::uint64_t>(record.incarnation), record.leaving };
}

wire::CellDigestRecord recordOf(const CellReport& report, TimePoint now)
{
    wire::CellDigestRecord record;
    record.cell.availabilityZone = report.digest.cell.availabilityZone;
    record.cell.model = report.digest.cell.model;
    record.cell.number = static_cast<std::int32_t>(report.digest.cell.number);
    record.owner = referenceOf(report.owner);
    record.ownerAddress = report.ownerAddress;
    record.liveTargets = static_cast<std::int32_t>(report.digest.liveTargets);
    record.queued = static_cast<std::int32_t>(report.digest.queued);
    record.freeTokens = static_cast<std::int64_t>(report.digest.freeTokens);
    record.largestSpanTokens = static_cast<std::int64_t>(report.digest.largestSpanTokens);
    record.expectedWaitMs = std::chrono::duration_cast<std::chrono::milliseconds>(report.digest.expectedWait).count();
    record.sequence = static_cast<std::int64_t>(report.sequence);
    record.ageMs = ageMs(report.measuredAt, now);
    return record;
}

CellReport reportOf(const wire::CellDigestRecord& record, TimePoint now)
{
    CellReport report;
    report.digest.cell.availabilityZone = record.cell.availabilityZone;
    report.digest.cell.model = record.cell.model;
    report.digest.cell.number = static_cast<std::uint32_t>(record.cell.number);
    report.owner = instanceOf(record.owner);
    report.ownerAddress = record.ownerAddress;
    report.digest.liveTargets = static_cast<std::uint32_t>(record.liveTargets);
    report.digest.queued = static_cast<std::uint32_t>(record.queued);
    report.digest.freeTokens = static_cast<std::uint64_t>(record.freeTokens);
    report.digest.largestSpanTokens = static_cast<std::uint64_t>(record.largestSpanTokens);
    const auto waitMs = std::clamp<std::int64_t>(record.expectedWaitMs, 0, MaximumAgeMs);
    report.digest.expectedWait = std::chrono::milliseconds { waitMs };
    report.sequence = static_cast<std::uint64_t>(record.sequence);
    report.measuredAt = timeOf(record.ageMs, now);
    return report;
}

wire::ZoneDigestRecord recordOf(const ZoneDigest& digest, TimePoint now)
{
    wire::ZoneDigestRecord record;
    record.availabilityZone = digest.availabilityZone;
    record.ageMs = ageMs(digest.heardAt, now);
    for (const auto& contact : digest.contacts)
        record.contacts.push_back(recordOf(contact));
    return record;
}

ZoneDigest digestOf(const wire::ZoneDigestRecord& record, TimePoint now)
{
    ZoneDigest digest;
    digest.availabilityZone = record.availabilityZone;
    digest.heardAt = timeOf(record.ageMs, now);
    for (const auto& contact : record.contacts)
        if (isWellFormed(contact) && contact.availabilityZone == record.availabilityZone)
            digest.contacts.push_back(memberOf(contact));
    return digest;
}

std::size_t encodedBytes(const wire::MemberRecord& record)
{
    return bytesOf(record.instance.name) + bytesOf(record.availabilityZone) + bytesOf(record.membershipAddress)
        + bytesOf(record.dispatcherAddress) + 4 * IntegerBytes + 2 * StructureBytes;
}

std::size_t encodedBytes(const wire::TargetMark& record)
{
    return bytesOf(record.target) + IntegerBytes + 2 * StructureBytes;
}

std::size_t encodedBytes(const wire::CellDigestRecord& record)
{
    return bytesOf(record.cell.availabilityZone) + bytesOf(record.cell.model) + bytesOf(record.owner.name)
        + bytesOf(record.ownerAddress) + 9 * IntegerBytes + 3 * StructureBytes;
}

std::size_t encodedBytes(const wire::ZoneDigestRecord& record)
{
    const auto own = bytesOf(record.availabilityZone) + IntegerBytes + 2 * StructureBytes;
    return std::transform_reduce(record.contacts.begin(), record.contacts.end(), own, std::plus<> {},
        [](const wire::MemberRecord& contact) { return encodedBytes(contact); });
}

bool isWellFormed(const wire::MemberRecord& record)
{
    const auto isKnownState = record.state >= wire::MemberState::Alive && record.state <= wire::MemberState::Dead;
    return isKnownState && !record.instance.name.empty() && !record.availabilityZone.empty()
        && !record.membershipAddress.empty();
}

}
