#include "rpc/Conversions.h"

#include <algorithm>

namespace marigoldpaddle {

namespace {

// The longest duration accepted from a peer, 7 days, so that no sum of a point in time and a duration overflows.
constexpr std::int64_t MaximumRemainingMs = 7LL * 24 * 3600 * 1000;

}

wire::InstanceRef toWire(const InstanceId& instance)
{
    wire::InstanceRef reference;
    reference.name = instance.name;
    reference.incarnation = static_cast<std::int64_t>(instance.incarnation);
    return reference;
}

InstanceId fromWire(const wire::InstanceRef& instance)
{
    return { instance.name, static_cast<std::uint64_t>(instance.incarnation) };
}

wire::CellRef toWire(const CellId& cell)
{
    wire::CellRef reference;
    reference.availabilityZone = cell.availabilityZone;
    reference.model = cell.model;
    reference.number = static_cast<std::int32_t>(cell.number);
    return reference;
}

CellId fromWire(const wire::CellRef& cell)
{
    return { cell.availabilityZone, cell.model, static_cast<std::uint32_t>(cell.number) };
}

wire::MemberRecord toWire(const Member& member)
{
    wire::MemberRecord record;
    record.instance = toWire(member.instance);
    record.availabilityZone = member.availabilityZone;
    record.membershipAddress = member.membershipAddress;
    record.dispatcherAddress = member.dispatcherAddress;
    record.state = static_cast<wire::MemberState::type>(static_cast<int>(member.state) + wire::MemberState::Alive);
    record.configurationOffset = static_cast<std::int64_t>(member.configurationOffset);
    record.revision = static_cast<std::int64_t>(member.revision);
    return record;
}

Member fromWire(const wire::MemberRecord& record)
{
    Member member;
    member.instance = fromWire(record.instance);
    member.availabilityZone = record.availabilityZone;
    member.membershipAddress = record.membershipAddress;
    member.dispatcherAddress = record.dispatcherAddress;
    const auto state = std::clamp<int>(record.state, wire::MemberState::Alive, wire::MemberState::Dead);
    member.state = static_cast<MemberState>(state - wire::MemberState::Alive);
    member.configurationOffset = static_cast<std::uint64_t>(record.configurationOffset);
    member.revision = static_cast<std::uint64_t>(record.revision);
    return member;
}

wire::CellDigestRecord toWire(const CellDigest& digest, const InstanceId& owner)
{
    wire::CellDigestRecord record;
    record.cell = toWire(digest.cell);
    record.owner = toWire(owner);
    record.liveTargets = static_cast<std::int32_t>(digest.liveTargets);
    record.queued = static_cast<std::int32_t>(digest.queued);
    record.freeTokens = static_cast<std::int64_t>(digest.freeTokens);
    record.largestSpanTokens = static_cast<std::int64_t>(digest.largestSpanTokens);
    record.expectedWaitMs = toMs(digest.expectedWait);
    return record;
}

CellDigest fromWire(const wire::CellDigestRecord& record)
{
    CellDigest digest;
    digest.cell = fromWire(record.cell);
    digest.liveTargets = static_cast<std::uint32_t>(record.liveTargets);
    digest.queued = static_cast<std::uint32_t>(record.queued);
    digest.freeTokens = static_cast<std::uint64_t>(record.freeTokens);
    digest.largestSpanTokens = static_cast<std::uint64_t>(record.largestSpanTokens);
    digest.expectedWait
        = std::chrono::milliseconds { std::clamp<std::int64_t>(record.expectedWaitMs, 0, MaximumRemainingMs) };
    return digest;
}

std::int64_t remainingMs(TimePoint until, TimePoint now)
{
    return until <= now ? 0 : toMs(until - now);
}

TimePoint pointInTime(std::int64_t remainingMs, TimePoint now)
{
    return now + std::chrono::milliseconds { std::clamp<std::int64_t>(remainingMs, 0, MaximumRemainingMs) };
}

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}
