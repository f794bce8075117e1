#pragma once

#include <map>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>

#include "gateway/BackgroundTasks.h"
#include "gateway/GatewayRequest.h"
#include "gateway/GatewayView.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// The placements that this gateway holds, by cell. Announces them to the owner of each cell at every period and as soon
// as a cell changes its owner, so that a new owner knows what runs. A cell that nothing is held on any more is
// announced as empty for a while, so that its owner can tell what this gateway has given up from what it has not heard
// of.
class Holdings {
public:
    static constexpr std::chrono::milliseconds AnnouncementPeriod { 500 };
    static constexpr std::chrono::seconds EmptyAnnouncementTime { 30 };

    // Everything passed by reference must outlive the holdings.
    Holdings(const Clock& clock, InstanceId instance, GatewayView& view, RpcClient& rpc, GatewayMetrics& metrics,
        BackgroundTasks& tasks);

    // Announces for as long as the io_context runs.
    boost::asio::awaitable<void> announce();

    // `request` must stay alive until the attempt is removed.
    void add(const CellId& cell, unsigned attempt, std::vector<wire::GrantPartRecord> parts, GatewayRequest& request);

    // Returns whether the attempt was held.
    bool remove(const CellId& cell, const RequestId& attemptId);

    std::size_t size() const;

    // Sends a one-way message in the background; a lost one is counted.
    void notify(const InstanceId& owner, wire::Payload message);

private:
    struct Held {
        GatewayRequest* request { nullptr };
        unsigned attempt { 0 };
        std::vector<wire::GrantPartRecord> parts;
    };
    struct CellHoldings {
        std::map<RequestId, Held> held;
        InstanceId announcedTo;
        TimePoint lastUsed {};
    };

    void announceCell(const CellId& cell, CellHoldings& holdings, const InstanceId& owner);
    void announceChanges(bool isPeriodOver);
    boost::asio::awaitable<void> send(InstanceId owner, wire::Payload message);

    const Clock& clock;
    InstanceId instance;
    GatewayView& view;
    RpcClient& rpc;
    GatewayMetrics& metrics;
    BackgroundTasks& tasks;
    std::map<CellId, CellHoldings> cells;
};

}
