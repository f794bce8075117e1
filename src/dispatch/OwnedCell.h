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
#include <marigoldpaddle/Steward.h>
#include <marigoldpaddle/TargetLifecycle.h>

#include "base/Metrics.h"

namespace marigoldpaddle {

// One cell that this dispatcher owns: its scheduler, its steward, the lives of its targets, and the gateways that wait
// for an answer from it.
class OwnedCell {
public:
    // `steward` holds what this dispatcher learnt of the cell before it owned it.
    OwnedCell(boost::asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, CellId id,
        std::unique_ptr<CellScheduler> scheduler, Steward steward);
    ~OwnedCell();

    const CellId& id() const;

    // Waits for the scheduler's answer; empty when the cell is handed over before there is one.
    boost::asio::awaitable<std::optional<SchedulerCommand>> acquire(PlacementRequest request);

    void withdraw(const RequestId& id);
    void firstToken(const RequestId& id);
    void finish(const RequestId& id, std::uint64_t outputTokens);

    // All that a gateway holds in the cell.
    void noteHoldings(const InstanceId& owner, std::span<const Holding> holdings);

    // This instance is in touch with the others.
    void noteConnected();

    // A target answered a probe, or did not.
    void noteReport(const LoadReport& report);
    void noteMissed(std::string_view target);

    // Some source says that a target is leaving. Returns whether that is news.
    bool noteLeaving(std::string_view target);

    // Replaces the cell's targets; those that are missing from the list are removed.
    void setTargets(std::span<const TargetDescription> descriptions);

    // The descriptions by target name, as they were last set.
    const std::map<std::string, TargetDescription, std::less<>>& targets() const;

    // Allocations to be cancelled now, and the confirmation that one was.
    std::vector<CancelAllocation> takeCancels();
    void noteCancelled(const CancelAllocation& cancelled);

    // What the cell's engines are to run, the orders that are due, and what became of one.
    void setIntent(const EngineIntent& intent);
    std::vector<EngineOrder> takeOrders();
    void noteOrderAnswer(const EngineOrder& order, OrderAnswer answer);

    // Whether a target is known not to list its allocations in its reports.
    bool hidesAllocations(std::string_view target) const;

    CellDigest digest() const;

    // Sends every waiting gateway back to look for the new owner.
    void handOver();

private:
    struct Waiting;

    // One target and its life.
    struct Target {
        TargetLifecycle lifecycle;
        bool hidesAllocations { false };
    };

    void observe(const std::string& target, TargetEvent event);
    void carryOut(const SchedulerCommands& commands);
    void answer(const RequestId& id, const SchedulerCommand& command);
    void armTimer();

    const Clock& clock;
    MetricsRegistry& metrics;
    CellId cell;
    std::unique_ptr<CellScheduler> scheduler;
    Steward steward;
    EngineOrders orders;
    std::map<RequestId, std::shared_ptr<Waiting>> waiting;
    std::map<std::string, TargetDescription, std::less<>> descriptions;
    std::map<std::string, Target, std::less<>> lives;
    boost::asio::steady_timer timer;
    TimePoint armedFor { TimePoint::max() };
};

}
