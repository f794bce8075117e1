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

// Reads an engine's answer to /v1/load; empty when it cannot be understood.
std::optional<LoadReport> parseLoadReport(std::string_view target, std::string_view body, TimePoint now);

// Asks the targets of the owned cells for their load, cancels there what the cells' stewards want cancelled, and sends
// the engines their orders.
class TargetProber {
public:
    // Everything that is passed by reference must outlive the prober.
    TargetProber(boost::asio::io_context& context, const Clock& clock, HttpClient& client, MetricsRegistry& metrics,
        const OwnedCells& cells, Duration period);

    // Runs until the io_context stops.
    void start();

    // Asks the targets of a cell now, so that a new owner need not schedule by guesses until the next period.
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
