#pragma once

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/Member.h>

#include "marigold_types.h"

namespace marigoldpaddle {

// Convert between domain types and their Thrift types. Processes share no clock, so a point in time is sent as the
// milliseconds that remain until it, 0 if it has passed.

wire::InstanceRef toWire(const InstanceId& instance);
InstanceId fromWire(const wire::InstanceRef& instance);

wire::CellRef toWire(const CellId& cell);
CellId fromWire(const wire::CellRef& cell);

wire::MemberRecord toWire(const Member& member);
Member fromWire(const wire::MemberRecord& record);

wire::CellDigestRecord toWire(const CellDigest& digest, const InstanceId& owner);
CellDigest fromWire(const wire::CellDigestRecord& record);

// Returns the whole milliseconds from `now` until `until`; 0 if `until` has passed.
std::int64_t remainingMs(TimePoint until, TimePoint now);

// Returns the point in time `remainingMs` after `now`. Values below 0 count as 0, values above 7 days as 7 days.
TimePoint pointInTime(std::int64_t remainingMs, TimePoint now);

// Returns a duration in whole milliseconds, truncated.
std::int64_t toMs(Duration duration);

}
