#include "gateway/Holdings.h"

#include <numeric>
#include <ranges>

#include "membership/Ownership.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::size_t AnnouncedOwners = 2; // Of a cell, in rendezvous order.

}

Holdings::Holdings(const Clock& clock, InstanceId instance, GatewayView& view, RpcClient& rpc, GatewayMetrics& metrics,
    BackgroundTasks& tasks)
    : clock(clock)
    , instance(std::move(instance))
    , view(view)
    , rpc(rpc)
    , metrics(metrics)
    , tasks(tasks)
{
}

asio::awaitable<void> Holdings::announce()
{
    auto next = this->clock.now();
    while (true) {
        const auto isPeriodOver = this->clock.now() >= next;
        this->announceChanges(isPeriodOver);
        if (isPeriodOver)
            next = this->clock.now() + AnnouncementPeriod;
        co_await this->view.waitForChange(next - this->clock.now());
    }
}

void Holdings::add(
    const CellId& cell, unsigned attempt, std::vector<wire::GrantPartRecord> parts, GatewayRequest& request)
{
    auto& holdings = this->cells[cell];
    holdings.held[request.attemptId(attempt)] = Held { &request, attempt, std::move(parts) };
    holdings.lastUsed = this->clock.now();
}

bool Holdings::remove(const CellId& cell, const RequestId& attemptId)
{
    const auto found = this->cells.find(cell);
    if (found == this->cells.end() || found->second.held.erase(attemptId) == 0)
        return false;
    found->second.lastUsed = this->clock.now();
    return true;
}

std::size_t Holdings::size() const
{
    const auto sizes = this->cells | std::views::values
        | std::views::transform([](const CellHoldings& holdings) { return holdings.held.size(); });
    return std::accumulate(sizes.begin(), sizes.end(), std::size_t { 0 });
}

void Holdings::notify(const InstanceId& owner, wire::Payload message)
{
    this->tasks.spawn(this->send(owner, std::move(message)));
}

void Holdings::announceChanges(bool isPeriodOver)
{
    const auto isForgotten = [&](const auto& entry) {
        return entry.second.held.empty() && this->clock.now() - entry.second.lastUsed > EmptyAnnouncementTime;
    };
    std::erase_if(this->cells, isForgotten);
    for (auto& [cell, holdings] : this->cells) {
        const auto* known = this->view.cell(cell);
        if (known && (isPeriodOver || known->owner != holdings.announcedTo))
            this->announceCell(cell, holdings, known->owner);
    }
}

void Holdings::announceCell(const CellId& cell, CellHoldings& holdings, const InstanceId& owner)
{
    wire::HoldingsAnnouncement announcement;
    announcement.owner = toWire(this->instance);
    announcement.cell = toWire(cell);
    for (const auto& [id, held] : holdings.held) {
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
    holdings.announcedTo = owner;
    // The next owner listens too, so that it can judge what it was told of grants if it has to take over.
    for (const auto* next : ownersOf(cell, this->view.members(), AnnouncedOwners)) {
        if (next->instance.name != owner.name)
            this->notify(next->instance, message);
    }
    this->notify(owner, std::move(message));
}

asio::awaitable<void> Holdings::send(InstanceId owner, wire::Payload message)
{
    auto address = this->view.dispatcherAddressOf(owner);
    const auto sent = co_await this->rpc.notify(std::move(address), std::move(message));
    if (!sent)
        this->metrics.lostNotices.increment();
}

}
