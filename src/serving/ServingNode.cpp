#include "serving/ServingNode.h"

#include <algorithm>
#include <limits>
#include <random>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/EventLog.h"
#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "base/Metrics.h"
#include "serving/PeerRunner.h"
#include "serving/ServingGateway.h"
#include "serving/TargetLinks.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Time for the load balancer to move callers away: it checks once a second and needs two failed checks.
constexpr Duration BalancerDrainPeriod = std::chrono::milliseconds { 3300 };
// Requests that arrive later than this after the stop signal are refused if their deadline is after the kill, which
// would cut them off.
constexpr Duration IntakeClosePeriod = std::chrono::milliseconds { 2800 };
// Time before the kill that is kept for ending the remaining requests with final answers.
constexpr Duration ExitMargin = std::chrono::milliseconds { 300 };
// Time for the final answers of requests that the shutdown ends; part of ExitMargin.
constexpr Duration FinalResponsePeriod = std::chrono::milliseconds { 100 };
constexpr Duration HousekeepingPeriod = std::chrono::seconds { 1 };

constexpr SettingSpecification Specifications[] = {
    { "instance", "name", SettingKind::Text, 0, 0, std::nullopt, "name of this instance" },
    { "instance", "zone", SettingKind::Text, 0, 0, std::nullopt, "availability zone" },
    { "listen", "callers", SettingKind::Address, 0, 0, std::nullopt, "address for callers" },
    { "listen", "ready", SettingKind::Address, 0, 0, std::nullopt, "address for the load balancer's readiness checks" },
    { "listen", "metrics", SettingKind::Text, 0, 0, "", "address of the metrics; empty for none" },
    { "listen", "ports", SettingKind::Text, 0, 0, "",
        "file for the bound ports, written once requests are accepted; - for the standard output; empty for none" },
    { "listen", "relays", SettingKind::Text, 0, 0, "",
        "address where instances that reach no target send their callers' requests; empty for none" },
    { "peers", "address", SettingKind::Address, 0, 0, std::nullopt, "address for other instances, UDP and TCP" },
    { "peers", "seeds", SettingKind::Text, 0, 0, "",
        "addresses of some other instances, separated by commas; their ports are replaced by that of [peers] address" },
    { "platform", "address", SettingKind::Address, 0, 0, std::nullopt, "address of the platform's store" },
    { "platform", "timeout_ms", SettingKind::Milliseconds, 10, 60'000, "1000", "timeout of calls to the store" },
    { "bounds", "configuration_ms", SettingKind::Milliseconds, 100, 600'000, "2000",
        "time within which a configuration change must take effect" },
    { "bounds", "drain_ms", SettingKind::Milliseconds, 100, 600'000, "2000",
        "time that a leaving target still serves" },
    { "bounds", "grace_s", SettingKind::Real, 0.1, 600, "8",
        "grace period from the stop signal to the kill, in seconds" },
    { "bounds", "memory_free_ms", SettingKind::Milliseconds, 200, 600'000, "4000",
        "time within which memory that no request uses must be freed" },
    { "bounds", "target_pause_ms", SettingKind::Milliseconds, 1000, 600'000, "60000",
        "longest time for which a target's Retry-After is followed" },
    { "bounds", "cold_overage", SettingKind::Real, 0, 1000, "0",
        "factor on the requests a second that cold targets tolerate, which they get at most; 0 for no bound" },
    { "retries", "ratio", SettingKind::Real, 0, 10, "0.2", "retries for each first send" },
    { "retries", "window_s", SettingKind::Real, 0.1, 600, "10", "window of the retry budget, in seconds" },
    { "retries", "slack", SettingKind::Real, 0, 1'000'000, "0",
        "retries in a window regardless of the load, all instances together" },
    { "limits", "memory_mb", SettingKind::Integer, 0, 1'000'000, "0",
        "memory of the machine, of which requests that are read, wait or are answered get a quarter; 0 for no bound" },
    { "limits", "descriptors", SettingKind::Integer, 0, 10'000'000, "0",
        "descriptors of the process, of which connections of callers get half of what is not reserved; 0 for no "
        "bound" },
    { "log", "lines_per_second", SettingKind::Integer, 1, 1'000'000, "2000", "maximum log lines per second" },
};

// Answers every path: the platform chooses the path of the check.
class ReadinessHandler final : public HttpHandler {
public:
    explicit ReadinessHandler(const bool& isReady)
        : isReady(isReady)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        co_await exchange.respond(
            makeResponse(this->isReady ? 200 : 503, "text/plain", this->isReady ? "ready" : "no"));
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(400, "text/plain", "malformed request");
    }

private:
    const bool& isReady;
};

class MetricsHandler final : public HttpHandler {
public:
    explicit MetricsHandler(const MetricsRegistry& metrics)
        : metrics(metrics)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        co_await exchange.respond(makeResponse(200, "text/plain; version=0.0.4", this->metrics.exposition()));
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(400, "text/plain", "malformed request");
    }

private:
    const MetricsRegistry& metrics;
};

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double> { count });
}

// Size of the headers that a request gets on its way to a peer.
constexpr std::size_t RelayHeaderBytes = 512;
// A pooled connection to a peer is closed well before the peer closes it.
constexpr Duration RelayIdleLifetime = std::chrono::seconds { 5 };
constexpr Duration RelayIdleTimeout = std::chrono::seconds { 15 };

HttpClientLimits relayClientLimits()
{
    auto limits = targetClientLimits();
    limits.idleLifetime = RelayIdleLifetime;
    return limits;
}

HttpServerLimits limitsFrom(const CallerLimits& limits)
{
    HttpServerLimits server;
    server.headerBytes = limits.headerBytes;
    server.bodyBytes = limits.bodyBytes;
    server.idleTimeout = limits.idleTimeout;
    server.receiveTimeout = limits.headerTimeout;
    return server;
}

// Limits of the addresses for the readiness check and the metrics, whose requests have no body.
HttpServerLimits probeLimits()
{
    HttpServerLimits server;
    server.headerBytes = std::size_t { 8 } * 1024;
    server.bodyBytes = std::size_t { 4 } * 1024;
    server.connections = 64;
    server.receiveTimeout = std::chrono::seconds { 3 };
    return server;
}

HttpServerLimits relayLimitsFrom(const CallerLimits& limits)
{
    auto server = limitsFrom(limits);
    server.headerBytes += RelayHeaderBytes;
    server.idleTimeout = RelayIdleTimeout;
    return server;
}

}

std::span<const SettingSpecification> servingNodeSpecifications()
{
    return Specifications;
}

namespace {

// All instances listen for peers on the same port.
std::vector<std::string> seedsFrom(std::string_view list, std::string_view own)
{
    const auto port = std::to_string(splitAddress(own).port);
    std::vector<std::string> seeds;
    for (const auto part : list | std::views::split(',')) {
        const auto host = splitAddress({ part.begin(), part.end() }).host;
        if (!host.empty())
            seeds.push_back(host + ':' + port);
    }
    return seeds;
}

}

namespace {

// The rest is for the program, the answers of targets and of the store, and what the system holds for connections.
std::size_t requestMemoryFrom(std::int64_t megabytes)
{
    constexpr std::size_t BytesPerMegabyte = std::size_t { 1024 } * 1024;
    return static_cast<std::size_t>(megabytes) * BytesPerMegabyte / 4;
}

// A request takes a connection of its caller and one to a target. Peers, the store, the load balancer and files have
// the reserve.
std::size_t callerConnectionsFrom(std::int64_t descriptors)
{
    constexpr std::int64_t ReservedDescriptors = 300;
    return static_cast<std::size_t>(
        descriptors > 0 ? std::max<std::int64_t>(1, (descriptors - ReservedDescriptors) / 2) : 0);
}

}

ServingNodeSettings servingNodeSettingsFrom(const Settings& values)
{
    ServingNodeSettings settings;
    settings.instance = values.text("instance", "name");
    settings.availabilityZone = values.text("instance", "zone");
    settings.callersAddress = values.text("listen", "callers");
    settings.readyAddress = values.text("listen", "ready");
    settings.metricsAddress = values.text("listen", "metrics");
    settings.relaysAddress = values.text("listen", "relays");
    settings.peersAddress = values.text("peers", "address");
    settings.seeds = seedsFrom(values.text("peers", "seeds"), settings.peersAddress);
    settings.storeTimeout = values.milliseconds("platform", "timeout_ms");
    settings.memoryLeaseDuration = values.milliseconds("bounds", "memory_free_ms") * 3 / 4;
    settings.longestTargetPause = values.milliseconds("bounds", "target_pause_ms");
    settings.grace = seconds(values.real("bounds", "grace_s"));
    settings.follower.configurationBound = values.milliseconds("bounds", "configuration_ms");
    settings.follower.targetsBound = values.milliseconds("bounds", "drain_ms");
    settings.coldOverage = values.real("bounds", "cold_overage");
    settings.retries.ratio = values.real("retries", "ratio");
    settings.retries.window = seconds(values.real("retries", "window_s"));
    settings.retries.slack = values.real("retries", "slack");
    settings.requestMemory = requestMemoryFrom(values.integer("limits", "memory_mb"));
    settings.callerConnections = callerConnectionsFrom(values.integer("limits", "descriptors"));
    settings.logLinesPerSecond = static_cast<unsigned>(values.integer("log", "lines_per_second"));
    return settings;
}

struct ServingNode::State {
    State(asio::io_context& context, const Clock& clock, const PlatformParts& platform,
        const ServingNodeSettings& settings)
        : context(context)
        , clock(clock)
        , settings(settings)
        , log(clock, { settings.instance, settings.logLinesPerSecond, 4096 })
        , links({ context, clock, this->view.targets, this->health, this->log, this->metrics },
              std::mt19937_64 { std::random_device {}() })
        , client(context.get_executor(), targetClientLimits(), &this->links)
        , relayPeers(settings.availabilityZone, std::mt19937_64 { std::random_device {}() })
        , relayClient(context.get_executor(), relayClientLimits())
        , budget(settings.retries)
        , follower(context, clock, platform.store, platform.records, this->view, this->log, this->metrics,
              settings.follower, std::mt19937_64 { std::random_device {}() })
        , gateway({ context, clock, platform.format, this->view, this->ledger, this->waiting, this->health,
                      this->budget, this->client, platform.memory, this->quarantine, this->log, this->metrics,
                      settings.instance, settings.memoryLeaseDuration,
                      ServingGateway::RelayParts { this->links, this->relayPeers, this->relayClient },
                      settings.follower.configurationBound },
              TargetChooser { this->view.targets, this->ledger, this->health, settings.availabilityZone,
                  std::mt19937_64 { std::random_device {}() } })
        , peers({ context, clock, this->view, this->follower, this->ledger, this->waiting, this->quarantine,
                    this->health.limits, this->log, this->metrics,
                    [this] {
                        const auto& limits = this->view.configuration()->values.limits;
                        this->callers.setLimits(this->callerLimits(limits));
                        this->relays.setLimits(relayLimitsFrom(limits));
                        this->updateColdAllowances();
                    },
                    &this->relayPeers, [this] { return this->relayState(); }, &this->health.answers },
              settings.peersAddress, settings.availabilityZone, settings.seeds, settings.follower.targetsBound)
        , readinessHandler(this->isReady)
        , metricsHandler(this->metrics)
        , requestMemory(std::make_shared<MemoryBudget>(
              settings.requestMemory > 0 ? settings.requestMemory : std::numeric_limits<std::size_t>::max()))
        , callers(context, this->gateway, this->callerLimits({}), this->requestMemory)
        , relays(context, this->gateway.relayHandler(), {}, this->requestMemory)
        , ready(context, this->readinessHandler, probeLimits(), this->requestMemory)
        , exposition(context, this->metricsHandler, probeLimits(), this->requestMemory)
    {
        this->health.pauses.setLongestPause(settings.longestTargetPause);
    }

    HttpServerLimits callerLimits(const CallerLimits& limits) const
    {
        auto server = limitsFrom(limits);
        if (this->settings.callerConnections > 0)
            server.connections = std::min(server.connections, this->settings.callerConnections);
        return server;
    }

    // What peers are told about relayed requests.
    RelayPeer relayState() const
    {
        RelayPeer state;
        if (this->relaysPort > 0)
            state.address = ":" + std::to_string(this->relaysPort);
        state.relayedRequests = this->gateway.relayedRequests();
        for (const auto& service : this->links.unreachableServices())
            state.unreachableServices.insert(RelayPeers::serviceHash(service));
        return state;
    }

    // The slack that the platform allows on top covers instances whose lists of peers differ.
    void updateColdAllowances()
    {
        std::map<std::string, double, std::less<>> perSecond;
        if (this->view.configuration() && this->settings.coldOverage > 0) {
            for (const auto& [name, service] : this->view.configuration()->values.services) {
                if (service.coldRequestsPerSecond > 0)
                    perSecond.emplace(name, service.coldRequestsPerSecond * this->settings.coldOverage);
            }
        }
        this->health.limits.cold.setAllowances(std::move(perSecond));
    }

    // A target that has just started is cold whether or not its registration says so.
    void recordColdTarget(const TargetEntry& target, Duration remaining)
    {
        const auto& configuration = this->view.configuration();
        const auto* service = configuration ? configuration->values.service(target.service) : nullptr;
        if (service)
            this->gateway.recordColdTarget(target, remaining > Duration::zero() ? remaining : service->coldPeriod);
    }

    // Applies that this instance has lost or regained its paths to the targets of a service.
    void updateLinks(const std::string& service)
    {
        for (const auto* target : this->view.targets.available(service)) {
            this->health.forgetOutcomes(target->id);
            // Idle connections may be dead without a sign of it.
            if (this->links.isCutOff(service))
                this->client.closeIdleConnections(target->address);
        }
        this->peers.announceNews();
    }

    asio::awaitable<void> pause(Duration duration)
    {
        asio::steady_timer timer { this->context, duration };
        co_await timer.async_wait(asio::use_awaitable);
    }

    void updateReadiness()
    {
        const bool isReady = !this->isStopping && this->view.configuration() && this->view.targets.size() > 0;
        if (isReady == this->isReady)
            return;
        this->isReady = isReady;
        this->log.write("readiness", { { "ready", isReady } });
    }

    asio::awaitable<void> runHousekeeping()
    {
        while (true) {
            const auto period = this->isReady ? HousekeepingPeriod : HousekeepingPeriod / 20;
            const auto due = this->clock.now() + period;
            co_await this->pause(period);
            this->metrics.histogram("marigold_loop_delay_seconds").record(this->clock.now() - due);
            this->updateReadiness();
            this->client.closeStaleConnections();
            this->relayClient.closeStaleConnections();
            this->health.expire(this->clock.now());
            this->quarantine.expire(this->clock.now());
            this->budget.updateInstanceCount(this->peers.livePeers() + 1);
            this->updateGauges();
        }
    }

    // One line a second at most: a crowd of clients causes many reclaims.
    void recordReclaims()
    {
        const auto ended = this->requestMemory->reclaimed() + this->requestMemory->refused();
        if (ended == this->recordedReclaims)
            return;
        this->metrics.counter("marigold_memory_refusals_total").increment(ended - this->recordedReclaims);
        this->log.write("request_memory_used_up",
            { { "refused", std::uint64_t { ended - this->recordedReclaims } },
                { "used_bytes", std::uint64_t { this->requestMemory->used() } },
                { "limit_bytes", std::uint64_t { this->settings.requestMemory } } });
        this->recordedReclaims = ended;
    }

    void updateGauges()
    {
        const auto now = this->clock.now();
        const auto seconds = [](Duration duration) {
            return std::chrono::duration<double> { duration }.count();
        };
        if (const auto age = this->view.targets.age(this->clock.bootTime()))
            this->metrics.gauge("marigold_targets_age_seconds").set(seconds(*age));
        this->metrics.gauge("marigold_configuration_version").set(static_cast<double>(this->view.version()));
        this->metrics.gauge("marigold_suspected_prompt_parts").set(static_cast<double>(this->quarantine.size()));
        this->metrics.gauge("marigold_mute_targets")
            .set(static_cast<double>(this->health.answers.muteTargets(this->clock.now())));
        this->metrics.gauge("marigold_limited_targets").set(static_cast<double>(this->health.limits.size()));
        this->metrics.gauge("marigold_cold_targets").set(static_cast<double>(this->health.limits.cold.size(now)));
        this->metrics.gauge("marigold_request_memory_bytes").set(static_cast<double>(this->requestMemory->used()));
        this->recordReclaims();
        this->metrics.gauge("marigold_relayed_requests").set(this->gateway.relayedRequests());
        this->metrics.gauge("marigold_live_peers").set(static_cast<double>(this->peers.livePeers()));
        this->metrics.gauge("marigold_requests_active").set(static_cast<double>(this->callers.activeExchanges()));
        this->metrics.gauge("marigold_log_lines_dropped").set(static_cast<double>(this->log.dropped()));
        if (!this->view.configuration())
            return;
        for (const auto& [name, service] : this->view.configuration()->values.services)
            this->metrics.gauge("marigold_retry_budget_left", "service=\"" + name + "\"")
                .set(this->budget.remaining(name, now));
    }

    asio::io_context& context;
    const Clock& clock;
    ServingNodeSettings settings;
    EventLog log;
    MetricsRegistry metrics;
    ServingView view;
    LoadLedger ledger;
    WaitingPrompts waiting;
    TargetHealth health;
    PromptQuarantine quarantine;
    TargetLinks links;
    HttpClient client;
    RelayPeers relayPeers;
    HttpClient relayClient;
    RetryBudget budget;
    ViewFollower follower;
    ServingGateway gateway;
    PeerRunner peers;
    std::uint16_t relaysPort { 0 }; // 0 while no requests of other instances are accepted.
    std::size_t recordedReclaims { 0 };
    bool isReady { false };
    bool isStopping { false };
    ReadinessHandler readinessHandler;
    MetricsHandler metricsHandler;
    std::shared_ptr<MemoryBudget> requestMemory;
    HttpServer callers;
    HttpServer relays;
    HttpServer ready;
    HttpServer exposition;
};

ServingNode::ServingNode(
    asio::io_context& context, const Clock& clock, const PlatformParts& platform, const ServingNodeSettings& settings)
    : state(std::make_unique<State>(context, clock, platform, settings))
{
}

ServingNode::~ServingNode() = default;

ServingNodePorts ServingNode::start()
{
    auto& state = *this->state;
    ServingNodePorts ports;
    ports.callers = state.callers.listen(state.settings.callersAddress);
    ports.ready = state.ready.listen(state.settings.readyAddress);
    if (!state.settings.metricsAddress.empty())
        ports.metrics = state.exposition.listen(state.settings.metricsAddress);
    if (!state.settings.relaysAddress.empty())
        ports.relays = state.relays.listen(state.settings.relaysAddress);
    state.relaysPort = ports.relays;
    state.log.write(
        "started", { { "zone", state.settings.availabilityZone }, { "callers", state.settings.callersAddress } });
    state.follower.start(state.peers);
    state.peers.start();
    state.gateway.onPromptPlaced([&state] { state.peers.notifyPeersNow(); });
    state.gateway.onTargetCrash([&state] { state.peers.announceNews(); });
    state.follower.onColdTarget(
        [&state](const TargetEntry& target, Duration remaining) { state.recordColdTarget(target, remaining); });
    state.gateway.onTargetLimitChanged([&state] { state.peers.announceNews(); });
    state.links.onChange([&state](const std::string& service) { state.updateLinks(service); });
    asio::co_spawn(state.context, state.runHousekeeping(), asio::detached);
    return ports;
}

void ServingNode::reload(const ServingNodeSettings& settings)
{
    auto& state = *this->state;
    const bool needsRestart = settings.callersAddress != state.settings.callersAddress
        || settings.readyAddress != state.settings.readyAddress || settings.peersAddress != state.settings.peersAddress
        || settings.metricsAddress != state.settings.metricsAddress
        || settings.relaysAddress != state.settings.relaysAddress;
    state.settings.grace = settings.grace;
    state.health.pauses.setLongestPause(settings.longestTargetPause);
    state.settings.retries = settings.retries;
    state.budget.setSettings(settings.retries);
    state.follower.setSettings(settings.follower);
    state.gateway.setConfigurationBound(settings.follower.configurationBound);
    state.peers.setTargetsBound(settings.follower.targetsBound);
    state.log.write("settings_reloaded", { { "listeners_need_restart", needsRestart } });
}

void ServingNode::logRejectedSettings(std::string_view problem)
{
    this->state->log.write("settings_rejected", { { "problem", problem } });
}

asio::awaitable<void> ServingNode::stopGracefully()
{
    auto& state = *this->state;
    const auto killAt = state.clock.now() + state.settings.grace - ExitMargin;
    state.isStopping = true;
    state.updateReadiness();
    state.callers.announceClose();
    state.relays.announceClose();
    state.gateway.beginShutdown(state.clock.now() + std::min(IntakeClosePeriod, state.settings.grace / 3), killAt);
    state.peers.announceLeaving();
    state.log.write("stopping", { { "requests", std::uint64_t { state.callers.activeExchanges() } } });
    co_await state.pause(std::min(BalancerDrainPeriod, state.settings.grace / 2));
    const auto activeExchanges = [&state] {
        return state.callers.activeExchanges() + state.relays.activeExchanges();
    };
    while (activeExchanges() > 0 && state.clock.now() < killAt)
        co_await state.pause(std::chrono::milliseconds { 20 });
    state.log.write("stopped", { { "cut_requests", std::uint64_t { activeExchanges() } } });
    // Requests that arrive from now on would be cut off by the end of the process. They are refused, however short
    // their deadline is.
    state.gateway.beginShutdown(state.clock.now(), state.clock.now());
    state.gateway.finishRequests();
    co_await state.pause(FinalResponsePeriod);
    // Requests in progress refer to members of this node and have to end before it does.
    state.callers.closeConnections();
    state.relays.closeConnections();
    while (activeExchanges() > 0)
        co_await state.pause(std::chrono::milliseconds { 1 });
    state.log.close();
    state.context.stop();
}

}
