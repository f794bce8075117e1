#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Target.h>

#include "base/HttpClient.h"
#include "base/Metrics.h"
#include "dispatch/OwnedCell.h"

namespace marigoldpaddle {

using OwnedCells = std::map<CellId, std::shared_ptr<OwnedCell>>;

// Parses an engine's answer to GET /v1/load; empty if it is malformed. `now` becomes the report's `measuredAt`.
std::optional<LoadReport> parseLoadReport(std::string_view target, std::string_view body, TimePoint now);

// Periodically probes the load of the targets of the owned cells, sends them the cancels of the cells' orphan
// reclaimers, and sends engines their orders.
class TargetProber {
public:
    // Objects passed by reference must outlive the prober.
    TargetProber(boost::asio::io_context& context, const Clock& clock, HttpClient& client, MetricsRegistry& metrics,
        const OwnedCells& cells, Duration period);

    // Runs until the io_context stops.
    void start();

    // Probes the targets of a cell at once, so that a new owner does not schedule with default rates until the next
    // period.
    void probeNow(const std::shared_ptr<OwnedCell>& cell);

private:
    boost::asio::awaitable<void> run();
    void sendOrders();
    boost::asio::awaitable<void> sendOrder(EngineOrder order, std::string address, std::shared_ptr<OwnedCell> cell);
    boost::asio::awaitable<void> probe(TargetDescription target, std::shared_ptr<OwnedCell> cell);
    boost::asio::awaitable<void> cancel(
        CancelAllocation allocation, std::string address, std::shared_ptr<OwnedCell> cell);

    boost::asio::io_context& context;
    const Clock& clock;
    HttpClient& client;
    MetricsRegistry& metrics;
    const OwnedCells& cells;
    Duration period;
};

}
