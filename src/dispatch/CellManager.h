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

// Maintains the map of all cells and the state of those that this instance owns. For cells of other owners it keeps a
// standby orphan reclaimer, fed by the announcements that reach this instance, and uses it if it becomes the owner.
class CellManager {
public:
    // Objects passed by reference must outlive the cell manager.
    CellManager(boost::asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, HttpClient& client,
        RpcClient& peers, InstanceId instance, Duration loadPeriod);

    // Starts probing the targets of the owned cells.
    void start();

    // Replace the targets and the members. Together they determine the owner of every cell; cells whose owner changes
    // are taken over or handed over.
    void setTargets(std::span<const TargetDescription> targets);
    void setMembers(std::span<const Member> members);

    // Hands over all owned cells and takes over no more.
    void beginGracefulShutdown();

    // Records that this instance is in contact with other instances; see OrphanReclaimer::noteConnected. Must be called
    // at least once a second while it is.
    void noteConnected();

    // Sets the model versions that the preset in force requests as the intents of the owned cells.
    void updateIntents(const ConfigurationState& configuration);

    // Schedules a gateway's request. The answer says `moved` if this instance does not own the cell or hands it over
    // while the request is queued.
    boost::asio::awaitable<wire::AcquireAnswer> acquire(wire::AcquireRequest request);

    // Processes a gateway's report on the progress of its requests.
    void noteProgress(const wire::ProgressNotice& notice);

    // Processes a gateway's announcement, or the notice of a single grant from another cell owner.
    void noteHoldings(const wire::HoldingsAnnouncement& announcement);

    const CellMap& cells() const;

    // Returns the digests of the owned cells.
    std::vector<CellDigest> ownDigests() const;

private:
    void reassign();
    bool isOwnedHere(const CellId& cell) const;
    std::shared_ptr<OwnedCell> takeOver(const CellId& cell);
    boost::asio::awaitable<void> notifySuccessor(std::shared_ptr<OwnedCell> cell, Grant grant, InstanceId owner);
    wire::GrantRecord addressedGrant(const OwnedCell& cell, const Grant& grant) const;
    OwnedCell* findOwned(const CellId& cell);

    boost::asio::io_context& context;
    const Clock& clock;
    MetricsRegistry& metrics;
    RpcClient& peers;
    InstanceId instance;
    std::vector<Member> members;
    CellMap cellMap;
    OwnedCells ownedCells;
    std::map<CellId, OrphanReclaimer> standbyReclaimers; // For cells that other instances own.
    TargetProber prober;
    bool isStopping { false };
};

}
