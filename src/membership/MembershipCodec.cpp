#include "membership/MembershipCodec.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <numeric>

namespace marigoldpaddle::internal {

namespace {

constexpr std::size_t IntegerBytes = 11; // Field header and the longest variable-length integer.
constexpr int BitsPerByte = 7; // Payload bits in each byte of a variable-length integer.
constexpr std::size_t StringHeaderBytes = 3; // Field header and length.
constexpr std::size_t StructureBytes = 3; // Field header, list header and stop.
constexpr std::int64_t MaximumAgeMs = 3'600'000;

// Returns an upper bound of the encoded bytes of a string field.
std::size_t fieldBytes(const std::string& text)
{
    return text.size() + StringHeaderBytes;
}

// Returns the encoded bytes of an integer field: its header and the variable-length integer with a sign bit.
std::size_t fieldBytes(std::int64_t number)
{
    const auto magnitude = static_cast<std::uint64_t>(number < 0 ? ~number : number);
    return 1 + static_cast<std::size_t>(std::bit_width(magnitude) / BitsPerByte + 1);
}

std::int64_t ageMs(TimePoint since, TimePoint now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    return std::clamp<std::int64_t>(age, 0, MaximumAgeMs);
}

TimePoint timeFromAge(std::int64_t ageMs, TimePoint now)
{
    return now - std::chrono::milliseconds { std::clamp<std::int64_t>(ageMs, 0, MaximumAgeMs) };
}

}

wire::TargetMark toWire(const TargetLeavingMark& mark)
{
    wire::TargetMark record;
    record.target = mark.target;
    record.incarnation = static_cast<std::int64_t>(mark.incarnation);
    record.leaving = mark.isLeaving;
    return record;
}

TargetLeavingMark fromWire(const wire::TargetMark& record)
{
    return { record.target, static_cast<std::uint64_t>(record.incarnation), record.leaving };
}

wire::CellDigestRecord toWire(const CellReport& report, TimePoint now)
{
    auto record = toWire(report.digest, report.owner);
    record.ownerAddress = report.ownerAddress;
    record.sequence = static_cast<std::int64_t>(report.sequence);
    record.ageMs = ageMs(report.measuredAt, now);
    return record;
}

CellReport fromWire(const wire::CellDigestRecord& record, TimePoint now)
{
    CellReport report { fromWire(record), fromWire(record.owner), record.ownerAddress, 0,
        timeFromAge(record.ageMs, now) };
    report.sequence = static_cast<std::uint64_t>(record.sequence);
    return report;
}

wire::ZoneDigestRecord toWire(const ZoneDigest& digest, TimePoint now)
{
    wire::ZoneDigestRecord record;
    record.availabilityZone = digest.availabilityZone;
    record.ageMs = ageMs(digest.lastAnswerAt, now);
    for (const auto& contact : digest.contacts)
        record.contacts.push_back(toWire(contact));
    return record;
}

ZoneDigest fromWire(const wire::ZoneDigestRecord& record, TimePoint now)
{
    ZoneDigest digest;
    digest.availabilityZone = record.availabilityZone;
    digest.lastAnswerAt = timeFromAge(record.ageMs, now);
    for (const auto& contact : record.contacts)
        if (isWellFormed(contact) && contact.availabilityZone == record.availabilityZone)
            digest.contacts.push_back(fromWire(contact));
    return digest;
}

std::size_t encodedBytes(const wire::MemberRecord& record)
{
    return fieldBytes(record.instance.name) + fieldBytes(record.availabilityZone) + fieldBytes(record.membershipAddress)
        + fieldBytes(record.dispatcherAddress) + 4 * IntegerBytes + 2 * StructureBytes;
}

std::size_t encodedBytes(const wire::TargetMark& record)
{
    return fieldBytes(record.target) + IntegerBytes + 2 * StructureBytes;
}

std::size_t encodedBytes(const wire::CellDigestRecord& record)
{
    const auto texts = fieldBytes(record.cell.availabilityZone) + fieldBytes(record.cell.model)
        + fieldBytes(record.owner.name) + fieldBytes(record.ownerAddress);
    const std::int64_t numbers[] { record.cell.number, record.owner.incarnation, record.liveTargets, record.queued,
        record.freeTokens, record.largestSpanTokens, record.expectedWaitMs, record.ageMs, record.sequence };
    return std::transform_reduce(std::begin(numbers), std::end(numbers), texts + 3 * StructureBytes, std::plus<> {},
        [](std::int64_t number) { return fieldBytes(number); });
}

std::size_t encodedBytes(const wire::ZoneDigestRecord& record)
{
    const auto ownBytes = fieldBytes(record.availabilityZone) + IntegerBytes + 2 * StructureBytes;
    return std::transform_reduce(record.contacts.begin(), record.contacts.end(), ownBytes, std::plus<> {},
        [](const wire::MemberRecord& contact) { return encodedBytes(contact); });
}

bool isWellFormed(const wire::MemberRecord& record)
{
    const auto isKnownState = record.state >= wire::MemberState::Alive && record.state <= wire::MemberState::Dead;
    return isKnownState && !record.instance.name.empty() && !record.availabilityZone.empty()
        && !record.membershipAddress.empty();
}

}
