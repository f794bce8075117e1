#pragma once

#include <optional>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>

#include "rpc/Conversions.h"

namespace marigoldpaddle {

// Between the scheduler's types and the messages of gateways. Points in time travel as what remains of them.

PlacementRequest placementFrom(const wire::AcquireRequest& request, TimePoint now);
std::vector<Holding> holdingsFrom(const wire::HoldingsAnnouncement& announcement, TimePoint now);

// The addresses of a grant's parts are left empty.
wire::GrantRecord grantRecordFrom(const Grant& grant, TimePoint now);
wire::RefusalRecord refusalRecordFrom(const Refusal& refusal);

// Tells the next owner of a cell of a grant that its owner has just given.
wire::HoldingsAnnouncement grantNoticeFrom(const CellId& cell, const Grant& grant, const InstanceId& owner);

}
