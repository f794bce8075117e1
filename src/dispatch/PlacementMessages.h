#pragma once

#include <optional>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>

#include "rpc/Conversions.h"

namespace marigoldpaddle {

// Conversions between the scheduler's types and RPC messages. A time point is sent as the remaining milliseconds,
// because clocks differ between processes.

PlacementRequest placementFrom(const wire::AcquireRequest& request, TimePoint now);
std::vector<Holding> holdingsFrom(const wire::HoldingsAnnouncement& announcement, TimePoint now);

// Leaves the addresses of the grant's parts empty.
wire::GrantRecord grantRecordFrom(const Grant& grant, TimePoint now);
wire::RefusalRecord refusalRecordFrom(const Refusal& refusal);

// Creates the message that notifies the next owner of a cell of a new grant.
wire::HoldingsAnnouncement grantNoticeFrom(const CellId& cell, const Grant& grant, const InstanceId& owner);

}
