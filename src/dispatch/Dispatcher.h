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
#include "configuration/FollowerRuntime.h"
#include "dispatch/CellMap.h"
#include "dispatch/OwnedCell.h"
#include "rpc/RpcServer.h"

namespace marigoldpaddle {

struct DispatcherSettings {
    InstanceId instance;
    std::string availabilityZone;
    Duration listPeriod { std::chrono::milliseconds { 500 } };
    Duration loadPeriod { std::chrono::milliseconds { 500 } };
    FollowerSettings configuration;
};

// The process that schedules the cells it owns. Answers gateways by RPC and operators by HTTP.
class Dispatcher final : public RpcHandler, public HttpHandler {
public:
    // Everything that is passed by reference must outlive the dispatcher.
    Dispatcher(boost::asio::io_context& context, const Clock& clock, DispatcherSettings settings,
        PlatformLog& configurationLog, InstanceList& instanceList, HttpClient& client);
    ~Dispatcher() override;

    // Starts following the log, the instance list and the targets.
    void start();

    // Hands every cell over and takes no new requests.
    void beginPlannedStop();

    boost::asio::awaitable<std::optional<wire::Payload>> handle(wire::Payload request) override;
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

private:
    struct Claim {
        std::string requestId;
        std::string bodyDigest;
        std::optional<wire::CallOutcome> outcome;
    };

    // What a gateway said it has of the configuration.
    struct GatewayOffset {
        std::uint64_t offset { 0 };
        TimePoint at {};
    };

    boost::asio::awaitable<void> followInstanceList();
    boost::asio::awaitable<void> followLoads();
    boost::asio::awaitable<void> readLoad(TargetDescription target, CellId cell);
    boost::asio::awaitable<wire::AcquireAnswer> acquire(wire::AcquireRequest request);
    boost::asio::awaitable<wire::ViewAnswer> view(wire::ViewRequest request);
    wire::ClaimAnswer claim(const wire::ClaimRequest& request);
    void settle(const wire::ClaimSettlement& settlement);
    void noteProgress(const wire::ProgressNotice& notice);
    void noteHoldings(const wire::HoldingsAnnouncement& announcement);
    void takeListing(InstanceListing listing);
    void reassignCells();
    void noteChange();
    wire::ViewAnswer currentView(std::uint64_t knownConfigurationOffset);
    void tellFollower();
    wire::ConfigurationAnswer configurationSince(std::uint64_t knownOffset);
    OwnedCell* owned(const CellId& cell);
    std::string addressOf(std::string_view target) const;
    bool isReady() const;

    boost::asio::io_context& context;
    const Clock& clock;
    DispatcherSettings settings;
    InstanceList& instanceList;
    HttpClient& client;
    MetricsRegistry metrics;
    RpcClient peerClient;
    RpcConfigurationPeers configurationPeers;
    FollowerRuntime configuration;
    std::vector<Member> members;
    std::vector<TargetDescription> targets;
    CellMap cells;
    std::map<CellId, std::shared_ptr<OwnedCell>> ownedCells;
    std::map<std::string, Claim> claims;
    std::uint64_t version { 1 };
    boost::asio::steady_timer changed; // Cancelled whenever the view changes.
    std::map<std::string, GatewayOffset> gatewayOffsets; // By the name of the gateway's instance.
    bool isStopping { false };
};

}
