#pragma once

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/Member.h>

#include "marigold_types.h"

namespace marigoldpaddle {

// Between the domain's types and those on the wire. Points in time travel as the milliseconds that remain until them;
// what has passed travels as 0.

wire::InstanceRef toWire(const InstanceId& instance);
InstanceId fromWire(const wire::InstanceRef& instance);

wire::CellRef toWire(const CellId& cell);
CellId fromWire(const wire::CellRef& cell);

wire::MemberRecord toWire(const Member& member);
Member fromWire(const wire::MemberRecord& record);

wire::CellDigestRecord toWire(const CellDigest& digest, const InstanceId& owner);
CellDigest fromWire(const wire::CellDigestRecord& record);

std::int64_t remainingMs(TimePoint until, TimePoint now);
TimePoint pointInTime(std::int64_t remainingMs, TimePoint now);
std::int64_t toMs(Duration duration);

}
