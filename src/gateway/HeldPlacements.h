#pragma once

#include <map>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>

#include "gateway/BackgroundTasks.h"
#include "gateway/ClusterView.h"
#include "gateway/GatewayRequest.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// The placements that this gateway holds, by cell. Announces them to the dispatcher that owns each cell, periodically
// and as soon as the owner changes, so that a new owner learns which requests are running. A cell without held
// placements is announced as empty for EmptyCellAnnouncementTime, so that its owner can distinguish placements that the
// gateway has released from placements whose announcement has not arrived.
class HeldPlacements {
public:
    static constexpr std::chrono::milliseconds AnnouncementPeriod { 500 };
    static constexpr std::chrono::seconds EmptyCellAnnouncementTime { 30 };

    // Everything passed by reference must outlive this object.
    HeldPlacements(const Clock& clock, InstanceId instance, ClusterView& view, RpcClient& rpc, GatewayMetrics& metrics,
        BackgroundTasks& tasks);

    // Sends announcements for as long as the io_context runs.
    boost::asio::awaitable<void> announce();

    // `request` must outlive the entry, which `remove` deletes.
    void add(const CellId& cell, unsigned attempt, std::vector<wire::GrantPartRecord> parts, GatewayRequest& request);

    // Returns whether the attempt held a placement.
    bool remove(const CellId& cell, const RequestId& attemptId);

    std::size_t size() const;

    // Sends a one-way message in the background, without retries. Messages that cannot be sent are counted in a metric.
    void notify(const InstanceId& owner, wire::Payload message);

private:
    struct HeldPlacement {
        GatewayRequest* request { nullptr };
        unsigned attempt { 0 };
        std::vector<wire::GrantPartRecord> parts;
    };
    struct CellPlacements {
        std::map<RequestId, HeldPlacement> placements;
        InstanceId lastAnnouncedOwner;
        TimePoint lastChanged {};
    };

    void announceCell(const CellId& cell, CellPlacements& cellPlacements, const InstanceId& owner);
    void announceDueCells(bool isPeriodOver);
    boost::asio::awaitable<void> send(InstanceId owner, wire::Payload message);

    const Clock& clock;
    InstanceId instance;
    ClusterView& view;
    RpcClient& rpc;
    GatewayMetrics& metrics;
    BackgroundTasks& tasks;
    std::map<CellId, CellPlacements> cells;
};

}
