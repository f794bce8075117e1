#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/Member.h>
#include <marigoldpaddle/PlatformLog.h>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "base/Metrics.h"
#include "claims/ClaimService.h"
#include "configuration/FollowerRuntime.h"
#include "dispatch/CellManager.h"
#include "membership/MembershipRunner.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcServer.h"

namespace marigoldpaddle {

struct DispatcherSettings {
    InstanceId instance;
    std::string availabilityZone;
    Duration listPeriod { std::chrono::milliseconds { 500 } }; // Between queries of the instance list.
    Duration loadPeriod { std::chrono::milliseconds { 500 } }; // Between load probes of a target.
    FollowerSettings configuration;
    Duration claimRetention { std::chrono::hours { 1 } }; // How long the platform keeps records of the claim stream.
};

// Schedules the requests of the cells that this instance owns. Serves gateways and other dispatchers by RPC and
// operators by HTTP.
class Dispatcher final : public RpcHandler, public HttpHandler, private MembershipObserver, private HolderLiveness {
public:
    // Objects passed by reference must outlive the dispatcher.
    Dispatcher(boost::asio::io_context& context, const Clock& clock, DispatcherSettings settings,
        PlatformLog& configurationLog, PlatformLog& claimLog, InstanceList& instanceList, HttpClient& client);
    ~Dispatcher() override;

    // Binds the membership's UDP socket to "IP:port" and returns the bound port. Port 0 selects a free port. Must be
    // called before start().
    std::uint16_t listenMembership(std::string_view address);

    // Starts the membership, the configuration follower, the claim service and the polling of the instance list and of
    // the targets. The addresses, "IP:port", are those at which other instances reach this dispatcher.
    void start(std::string rpcAddress, std::string membershipAddress);

    // Hands over all owned cells, stops accepting requests and announces the stop to the other instances.
    void beginGracefulShutdown();

    boost::asio::awaitable<std::optional<wire::Payload>> handle(
        wire::Payload request, std::shared_ptr<void>& untilWritten) override;
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse makeFaultResponse(HttpFault fault) override;

private:
    // The configuration offset that a gateway reported to have in force.
    struct GatewayOffset {
        std::uint64_t offset { 0 };
        TimePoint at {}; // Time of the report.
    };

    boost::asio::awaitable<void> followInstanceList();
    boost::asio::awaitable<void> runUpkeep();
    boost::asio::awaitable<wire::AcquireAnswer> acquire(wire::AcquireRequest request);
    boost::asio::awaitable<wire::ViewAnswer> view(wire::ViewRequest request);
    bool isDeadOrReplaced(const InstanceId& holder) const override;
    void updateClaimRank();

    // MembershipObserver.
    void memberChanged(const Member& member) override;
    void targetMarked(const TargetLeavingMark& mark) override;
    void higherConfigurationOffset(std::uint64_t offset, const Member& holder) override;
    void superseded(std::uint64_t incarnation) override;

    boost::asio::awaitable<void> publishDigests();
    void applyListing(InstanceListing listing);
    void refreshMembers();
    void applyMarks();
    void notifyViewChanged();
    // Returns the digests of the owned cells and the latest gossiped digests of all other cells.
    std::map<CellId, CellDigest> knownDigests() const;
    wire::ViewAnswer currentView(std::uint64_t knownConfigurationOffset);
    void updateFollowerPeers();
    wire::ConfigurationAnswer configurationSince(std::uint64_t knownOffset);
    bool isReady() const;

    boost::asio::io_context& context;
    const Clock& clock;
    DispatcherSettings settings;
    InstanceList& instanceList;
    MetricsRegistry metrics;
    RpcClient peerClient;
    RpcConfigurationPeers configurationPeers;
    FollowerRuntime configuration;
    MembershipRunner membership;
    std::vector<Member> members; // Members of the own zone and contacts in other zones.
    std::vector<TargetDescription> targets; // From the instance list, with isLeaving also set by target marks.
    bool isListRead { false }; // The instance list has been read at least once.
    CellManager cells;
    ClaimService claims;
    std::uint64_t viewVersion { 1 }; // Version of the view that gateways poll; rises with every change.
    boost::asio::steady_timer viewChanged; // Never expires. Cancelled on every change of the view, to wake long polls.
    std::map<std::string, GatewayOffset> gatewayOffsets; // By instance name of the gateway.
    bool isStopping { false };
};

}
