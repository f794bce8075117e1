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
#include "dispatch/CellKeeper.h"
#include "membership/MembershipRunner.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcServer.h"

namespace marigoldpaddle {

struct DispatcherSettings {
    InstanceId instance;
    std::string availabilityZone;
    Duration listPeriod { std::chrono::milliseconds { 500 } };
    Duration loadPeriod { std::chrono::milliseconds { 500 } };
    FollowerSettings configuration;
    Duration claimRetention { std::chrono::hours { 1 } }; // How long the platform keeps records of the claim stream.
};

// The process that schedules the cells it owns. Answers gateways by RPC and operators by HTTP.
class Dispatcher final : public RpcHandler, public HttpHandler, private MembershipObserver, private HolderLiveness {
public:
    // Everything that is passed by reference must outlive the dispatcher.
    Dispatcher(boost::asio::io_context& context, const Clock& clock, DispatcherSettings settings,
        PlatformLog& configurationLog, PlatformLog& claimLog, InstanceList& instanceList, HttpClient& client);
    ~Dispatcher() override;

    // Binds the membership to "IP:port", port 0 for any, and returns the bound port. To be called before start().
    std::uint16_t listenMembership(std::string_view address);

    // Starts the membership and following the log, the instance list and the targets. The addresses are those at which
    // others reach this dispatcher.
    void start(std::string rpcAddress, std::string membershipAddress);

    // Hands every cell over, takes no new requests and tells the other instances.
    void beginPlannedStop();

    boost::asio::awaitable<std::optional<wire::Payload>> handle(wire::Payload request) override;
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

private:
    // What a gateway said it has of the configuration.
    struct GatewayOffset {
        std::uint64_t offset { 0 };
        TimePoint at {};
    };

    boost::asio::awaitable<void> followInstanceList();
    boost::asio::awaitable<void> keepUp();
    boost::asio::awaitable<wire::AcquireAnswer> acquire(wire::AcquireRequest request);
    boost::asio::awaitable<wire::ViewAnswer> view(wire::ViewRequest request);
    bool isGone(const InstanceId& holder) const override;
    void rankClaims();
    // The membership's news.
    void memberChanged(const Member& member) override;
    void targetMarked(const TargetLeavingMark& mark) override;
    void configurationOffsetHeard(std::uint64_t offset, const Member& holder) override;
    void superseded(std::uint64_t incarnation) override;

    boost::asio::awaitable<void> publishDigests();
    void takeListing(InstanceListing listing);
    void refreshMembers();
    void applyMarks();
    void noteChange();
    // The digests of the own cells, and those heard of others.
    std::map<CellId, CellDigest> knownDigests() const;
    wire::ViewAnswer currentView(std::uint64_t knownConfigurationOffset);
    void tellFollower();
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
    std::vector<Member> members; // Of the own zone, and the contacts of others.
    std::vector<TargetDescription> targets; // As listed, but leaving if marked so.
    bool isListRead { false };
    CellKeeper cells;
    ClaimService claims;
    std::uint64_t version { 1 };
    boost::asio::steady_timer changed; // Cancelled whenever the view changes.
    std::map<std::string, GatewayOffset> gatewayOffsets; // By the name of the gateway's instance.
    bool isStopping { false };
};

}
