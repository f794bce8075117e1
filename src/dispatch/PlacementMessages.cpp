#include "dispatch/PlacementMessages.h"

#include <algorithm>

namespace marigoldpaddle {

namespace {

std::uint64_t countFrom(std::int64_t value)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(value, 0));
}

Holding holdingFrom(const wire::HoldingRecord& record, const InstanceId& owner, TimePoint now)
{
    Holding holding;
    holding.id = { record.requestId };
    holding.owner = owner;
    holding.workspace = record.workspace;
    for (const auto& part : record.parts)
        holding.parts.push_back({ part.target, countFrom(part.tokens) });
    holding.promptTokens = countFrom(record.promptTokens);
    holding.outputTokens = countFrom(record.outputTokens);
    holding.maximumOutputTokens = countFrom(record.maximumOutputTokens);
    holding.isPrefilling = record.prefilling;
    holding.deadline = pointInTime(record.remainingMs, now);
    return holding;
}

std::vector<wire::GrantPartRecord> partRecordsFrom(const std::vector<GrantPart>& parts)
{
    std::vector<wire::GrantPartRecord> records;
    std::ranges::transform(parts, std::back_inserter(records), [](const GrantPart& part) {
        wire::GrantPartRecord record;
        record.target = part.target;
        record.tokens = static_cast<std::int64_t>(part.tokens);
        return record;
    });
    return records;
}

}

PlacementRequest placementFrom(const wire::AcquireRequest& request, TimePoint now)
{
    PlacementRequest placement;
    placement.id = { request.requestId };
    placement.owner = fromWire(request.owner);
    placement.workspace = request.workspace;
    placement.workspaceWeight = request.workspaceWeight;
    placement.promptTokens = countFrom(request.promptTokens);
    placement.maximumOutputTokens = countFrom(request.maximumOutputTokens);
    placement.deadline = pointInTime(request.remainingMs, now);
    placement.excludedTargets = request.excludedTargets;
    placement.prefixBlocks.assign(request.prefixBlocks.begin(), request.prefixBlocks.end());
    return placement;
}

std::vector<Holding> holdingsFrom(const wire::HoldingsAnnouncement& announcement, TimePoint now)
{
    const auto owner = fromWire(announcement.owner);
    std::vector<Holding> holdings;
    std::ranges::transform(announcement.holdings, std::back_inserter(holdings),
        [&](const wire::HoldingRecord& record) { return holdingFrom(record, owner, now); });
    return holdings;
}

wire::GrantRecord grantRecordFrom(const Grant& grant, TimePoint now)
{
    wire::GrantRecord record;
    record.parts = partRecordsFrom(grant.parts);
    record.priority = grant.priority;
    record.expiresInMs = remainingMs(grant.expiry, now);
    return record;
}

wire::RefusalRecord refusalRecordFrom(const Refusal& refusal)
{
    wire::RefusalRecord record;
    record.reason = name(refusal.reason);
    record.retryAfterMs = toMs(refusal.retryAfter);
    return record;
}

wire::HoldingsAnnouncement grantNoticeFrom(const CellId& cell, const Grant& grant, const InstanceId& owner)
{
    wire::HoldingRecord record;
    record.requestId = grant.id.value;
    record.parts = partRecordsFrom(grant.parts);
    wire::HoldingsAnnouncement announcement;
    announcement.owner = toWire(owner);
    announcement.cell = toWire(cell);
    announcement.holdings.push_back(std::move(record));
    announcement.isSingleGrant = true;
    return announcement;
}

}
