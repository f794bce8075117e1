#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>

#include "base/Metrics.h"

namespace marigoldpaddle {

// One cell that this dispatcher owns: its scheduler, and the gateways that wait for an answer from it.
class OwnedCell {
public:
    OwnedCell(boost::asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, CellId id,
        std::unique_ptr<CellScheduler> scheduler);
    ~OwnedCell();

    const CellId& id() const;

    // Waits for the scheduler's answer; empty when the cell is handed over before there is one.
    boost::asio::awaitable<std::optional<SchedulerCommand>> acquire(PlacementRequest request);

    void withdraw(const RequestId& id);
    void firstToken(const RequestId& id);
    void finish(const RequestId& id, std::uint64_t outputTokens);
    void adopt(const Holding& holding);
    void reportLoad(const LoadReport& report);

    // Replaces the cell's targets; those that are missing from the list are removed.
    void setTargets(std::span<const TargetDescription> descriptions);

    // The descriptions by target name, as they were last set.
    const std::map<std::string, TargetDescription, std::less<>>& targets() const;

    CellDigest digest() const;

    // Sends every waiting gateway back to look for the new owner.
    void handOver();

private:
    struct Waiting;
    void carryOut(const SchedulerCommands& commands);
    void answer(const RequestId& id, const SchedulerCommand& command);
    void armTimer();

    const Clock& clock;
    MetricsRegistry& metrics;
    CellId cell;
    std::unique_ptr<CellScheduler> scheduler;
    std::map<RequestId, std::shared_ptr<Waiting>> waiting;
    std::map<std::string, TargetDescription, std::less<>> descriptions;
    boost::asio::steady_timer timer;
    TimePoint armedFor { TimePoint::max() };
};

}
