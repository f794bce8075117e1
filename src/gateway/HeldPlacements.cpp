#include "gateway/HeldPlacements.h"

#include <numeric>
#include <ranges>

#include "membership/Ownership.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::size_t AnnouncedOwnerCount = 2; // The owner of a cell and the next one in rendezvous order.

}

HeldPlacements::HeldPlacements(const Clock& clock, InstanceId instance, ClusterView& view, RpcClient& rpc,
    GatewayMetrics& metrics, BackgroundTasks& tasks)
    : clock(clock)
    , instance(std::move(instance))
    , view(view)
    , rpc(rpc)
    , metrics(metrics)
    , tasks(tasks)
{
}

asio::awaitable<void> HeldPlacements::announce()
{
    auto next = this->clock.now();
    while (true) {
        const auto isPeriodOver = this->clock.now() >= next;
        this->announceDueCells(isPeriodOver);
        if (isPeriodOver)
            next = this->clock.now() + AnnouncementPeriod;
        co_await this->view.waitForChange(next - this->clock.now());
    }
}

void HeldPlacements::add(
    const CellId& cell, unsigned attempt, std::vector<wire::GrantPartRecord> parts, GatewayRequest& request)
{
    auto& cellPlacements = this->cells[cell];
    cellPlacements.placements[request.attemptId(attempt)] = HeldPlacement { &request, attempt, std::move(parts) };
    cellPlacements.lastChanged = this->clock.now();
}

bool HeldPlacements::remove(const CellId& cell, const RequestId& attemptId)
{
    const auto found = this->cells.find(cell);
    if (found == this->cells.end() || found->second.placements.erase(attemptId) == 0)
        return false;
    found->second.lastChanged = this->clock.now();
    return true;
}

std::size_t HeldPlacements::size() const
{
    const auto sizes = this->cells | std::views::values
        | std::views::transform([](const CellPlacements& cellPlacements) { return cellPlacements.placements.size(); });
    return std::accumulate(sizes.begin(), sizes.end(), std::size_t { 0 });
}

void HeldPlacements::notify(const InstanceId& owner, wire::Payload message)
{
    this->tasks.spawn(this->send(owner, std::move(message)));
}

void HeldPlacements::announceDueCells(bool isPeriodOver)
{
    const auto isExpired = [&](const auto& entry) {
        return entry.second.placements.empty()
            && this->clock.now() - entry.second.lastChanged > EmptyCellAnnouncementTime;
    };
    std::erase_if(this->cells, isExpired);
    for (auto& [cell, cellPlacements] : this->cells) {
        const auto* known = this->view.cell(cell);
        if (known && (isPeriodOver || known->owner != cellPlacements.lastAnnouncedOwner))
            this->announceCell(cell, cellPlacements, known->owner);
    }
}

void HeldPlacements::announceCell(const CellId& cell, CellPlacements& cellPlacements, const InstanceId& owner)
{
    wire::HoldingsAnnouncement announcement;
    announcement.owner = toWire(this->instance);
    announcement.cell = toWire(cell);
    for (const auto& [id, held] : cellPlacements.placements) {
        const auto& completion = *held.request->completion;
        const auto delivered = held.request->lifecycle().deliveredTokens();
        wire::HoldingRecord record;
        record.requestId = id.value;
        record.workspace = held.request->workspace.name;
        record.parts = held.parts;
        record.promptTokens = static_cast<std::int64_t>(completion.promptTokens);
        record.outputTokens = static_cast<std::int64_t>(delivered);
        record.maximumOutputTokens = static_cast<std::int64_t>(completion.maximumTokens);
        record.prefilling = delivered == held.request->placement.baseOffset;
        record.remainingMs = remainingMs(held.request->deadline, this->clock.now());
        announcement.holdings.push_back(std::move(record));
    }
    wire::Payload message;
    message.__set_holdings(announcement);
    cellPlacements.lastAnnouncedOwner = owner;
    // The next owner in rendezvous order receives the announcement as well. After a takeover it needs the placements
    // that gateways hold to reconcile them with the grants that the previous owner reported to it.
    for (const auto* next : ownersOf(cell, this->view.members(), AnnouncedOwnerCount)) {
        if (next->instance.name != owner.name)
            this->notify(next->instance, message);
    }
    this->notify(owner, std::move(message));
}

asio::awaitable<void> HeldPlacements::send(InstanceId owner, wire::Payload message)
{
    auto address = this->view.dispatcherAddressOf(owner);
    const auto sent = co_await this->rpc.notify(std::move(address), std::move(message));
    if (!sent)
        this->metrics.lostNotices.increment();
}

}
