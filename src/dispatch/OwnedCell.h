#pragma once

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/EngineOrders.h>
#include <marigoldpaddle/OrphanReclaimer.h>
#include <marigoldpaddle/TargetLifecycle.h>

#include "base/Metrics.h"

namespace marigoldpaddle {

// A cell that this dispatcher owns: its scheduler, its orphan reclaimer, the lifecycles of its targets and the pending
// requests of gateways.
class OwnedCell {
public:
    // `reclaimer` contains the state recorded for the cell while another instance owned it.
    OwnedCell(boost::asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, CellId id,
        std::unique_ptr<CellScheduler> scheduler, OrphanReclaimer reclaimer);
    ~OwnedCell();

    const CellId& id() const;

    // Submits a request and waits for the scheduler's answer; empty if the cell is handed over first. A second call
    // with the same id takes the place of the first, which then returns empty.
    boost::asio::awaitable<std::optional<SchedulerCommand>> acquire(PlacementRequest request);

    void withdraw(const RequestId& id);
    void firstToken(const RequestId& id);
    void finish(const RequestId& id, std::uint64_t outputTokens);

    // Records the complete list of requests that a gateway has in flight in the cell.
    void noteHoldings(const InstanceId& owner, std::span<const Holding> holdings);

    // Records that this instance is in contact with other instances; see OrphanReclaimer::noteConnected.
    void noteConnected();

    // Record the result of a probe: a load report, or no answer.
    void noteReport(const LoadReport& report);
    void noteUnanswered(std::string_view target);

    // Records that a target is leaving. Returns whether this was not known before.
    bool noteLeaving(std::string_view target);

    // Replaces the cell's targets. Targets that are missing from the list are removed.
    void setTargets(std::span<const TargetDescription> descriptions);

    // Returns the descriptions last passed to setTargets, by target name.
    const std::map<std::string, TargetDescription, std::less<>>& targets() const;

    // Returns the allocations to cancel now.
    std::vector<CancelAllocation> takeCancels();

    // Records that a target confirmed a cancel.
    void noteCancelled(const CancelAllocation& cancelled);

    // Sets the version that the cell's engines should run.
    void setIntent(const EngineIntent& intent);

    // Returns the orders to send to engines now.
    std::vector<EngineOrder> takeOrders();

    // Records the outcome of an order.
    void noteOrderOutcome(const EngineOrder& order, OrderOutcome outcome);

    // Returns whether the last load report of a target did not list its allocations.
    bool omitsAllocations(std::string_view target) const;

    CellDigest digest() const;

    // Empties the queue. Every pending acquire() returns empty, so that the gateways look up the new owner.
    void handOver();

private:
    struct PendingAcquire;

    struct TargetState {
        TargetLifecycle lifecycle;
        bool omitsAllocations { false };
    };

    void applyTargetEvent(const std::string& target, TargetEvent event);
    void executeCommands(const SchedulerCommands& commands);
    void deliver(const RequestId& id, const SchedulerCommand& command);
    void armTimer();

    const Clock& clock;
    MetricsRegistry& metrics;
    CellId cell;
    std::unique_ptr<CellScheduler> scheduler;
    OrphanReclaimer reclaimer;
    EngineOrders orders;
    std::map<RequestId, std::shared_ptr<PendingAcquire>> pendingAcquires;
    std::map<std::string, TargetDescription, std::less<>> descriptions;
    std::map<std::string, TargetState, std::less<>> targetStates;
    boost::asio::steady_timer timer; // Expires at the scheduler's next tick.
    TimePoint armedFor { TimePoint::max() };
};

}
