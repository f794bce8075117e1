#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/Member.h>

#include "base/HttpClient.h"
#include "base/Metrics.h"
#include "dispatch/CellMap.h"
#include "dispatch/OwnedCell.h"
#include "dispatch/TargetProber.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {

// The cells of all targets, those among them that this instance owns, and what it has heard of the others in case that
// it becomes their owner.
class CellKeeper {
public:
    // Everything that is passed by reference must outlive the keeper.
    CellKeeper(boost::asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, HttpClient& client,
        RpcClient& peers, InstanceId instance, Duration loadPeriod);

    // Starts to probe the targets of the owned cells.
    void start();

    // Who owns what follows from these two alone.
    void setTargets(std::span<const TargetDescription> targets);
    void setMembers(std::span<const Member> members);

    // Hands every cell over and takes none any more.
    void beginPlannedStop();

    // This instance is in touch with others: its stewards may judge silence. To be called at least once a second.
    void noteConnected();

    // What the preset in force wants of the engines.
    void setIntents(const ConfigurationState& configuration);

    // Answer gateways, and the owners of cells that this instance would own next.
    boost::asio::awaitable<wire::AcquireAnswer> acquire(wire::AcquireRequest request);
    void noteProgress(const wire::ProgressNotice& notice);
    void noteHoldings(const wire::HoldingsAnnouncement& announcement);

    const CellMap& cells() const;
    std::vector<CellDigest> ownDigests() const;

private:
    void reassign();
    bool isMine(const CellId& cell) const;
    std::shared_ptr<OwnedCell> takeOver(const CellId& cell);
    boost::asio::awaitable<void> tellSuccessor(std::shared_ptr<OwnedCell> cell, Grant grant, InstanceId owner);
    wire::GrantRecord addressedGrant(const OwnedCell& cell, const Grant& grant) const;
    OwnedCell* owned(const CellId& cell);

    boost::asio::io_context& context;
    const Clock& clock;
    MetricsRegistry& metrics;
    RpcClient& peers;
    InstanceId instance;
    std::vector<Member> members;
    CellMap cellMap;
    OwnedCells ownedCells;
    std::map<CellId, Steward> standbyStewards; // Of cells that others own, from what is announced here.
    TargetProber prober;
    bool isStopping { false };
};

}
