#include "serving/TargetLinks.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Bytes of a target that are older than this say nothing about its open connections: some passes of an engine.
constexpr Duration RecentBytesPeriod = std::chrono::seconds { 1 };
// Without bytes from any target for this long, an overdue answer may be due to the paths to the targets.
constexpr Duration SilencePeriod = std::chrono::milliseconds { 500 };
// Time in which a target answers the first packet of a connection, from another region as well.
constexpr Duration RoundTripBound = std::chrono::milliseconds { 50 };
// A time limit that expires this much late was delayed by this process, and says nothing about the target.
constexpr Duration ToleratedLateness = std::chrono::milliseconds { 100 };

// A target in another zone accepts a connection within some round trips; a lost first packet is retransmitted after a
// second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds { 400 };
// Without acknowledgements the network path is broken, as opposed to a target that is busy.
constexpr Duration UnacknowledgedTimeout = std::chrono::seconds { 2 };
// Answers are held until they are complete, so that a broken one is not delivered. Some of this size fit into the
// memory of a small machine.
constexpr std::size_t MaximumAnswerBytes = std::size_t { 16 } * 1024 * 1024;
constexpr std::size_t MaximumHeldBytes = 2 * MaximumAnswerBytes; // By all incomplete answers.
// Shortest interval of TCP. A dead engine is noticed within three seconds, so that the memory which a prompt holds on
// other engines is released in time.
constexpr std::chrono::seconds ProbeAfter { 1 };

// Targets that are down are probed one at a time, at this interval, however many they are.
constexpr Duration DownProbeInterval = std::chrono::milliseconds { 100 };
// A search for targets that accept connections doubles its probes with each step, from the first size to the largest:
// a thousand targets that do not answer are through in two seconds. Each target is probed once.
constexpr Duration SearchInterval = std::chrono::milliseconds { 200 };
constexpr std::size_t FirstSearchSize = 8;
constexpr std::size_t LargestSearchSize = 128;
// Probes that follow at once on one that was accepted during a search.
constexpr std::size_t ProbesAfterSuccess = 2;
// Targets that were never connected to are searched if more than this share of the others is down.
constexpr double SearchedDownShare = 0.5;

}

HttpClientLimits targetClientLimits()
{
    return { .connectTimeout = ConnectTimeout,
        .maximumResponseBytes = MaximumAnswerBytes,
        .maximumHeldBytes = MaximumHeldBytes,
        .unacknowledgedTimeout = UnacknowledgedTimeout,
        .probeAfter = ProbeAfter,
        .resetsOnClose = true };
}

// Probes that were started together. The last one that ends decides.
struct TargetLinks::Round {
    std::shared_ptr<TargetLinks*> links;
    asio::io_context& context;
    const Clock& clock;
    std::string service;
    TimePoint startedAt;
    std::size_t running { 0 };
    bool decides { true }; // Whether its outcome tells if the instance is cut off.
    bool isConclusive { true };
};

TargetLinks::TargetLinks(const Parts& parts, std::mt19937_64 random)
    : parts(parts)
    , random(random)
    , connectedAt(parts.clock.now())
    , receivedAt(this->connectedAt)
    , self(std::make_shared<TargetLinks*>(this))
{
}

TargetLinks::~TargetLinks()
{
    *this->self = nullptr;
}

void TargetLinks::onChange(std::function<void(const std::string&)> notify)
{
    this->notify = std::move(notify);
}

bool TargetLinks::isCutOff(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.reachability.isCutOff();
}

std::vector<std::string> TargetLinks::unreachableServices() const
{
    std::vector<std::string> names;
    for (const auto& [name, service] : this->services) {
        if (service.reachability.isCutOff())
            names.push_back(name);
    }
    return names;
}

void TargetLinks::recordBytes(std::string_view service)
{
    this->serviceNamed(service).receivedAt = this->parts.clock.now();
}

bool TargetLinks::hasRecentBytes(std::string_view service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && this->parts.clock.now() - found->second.receivedAt < RecentBytesPeriod;
}

void TargetLinks::recordSilence(std::string_view service)
{
    if (this->parts.clock.now() - this->serviceNamed(service).receivedAt >= SilencePeriod)
        this->recordFailure(std::string { service }, ConnectTimeout);
}

std::set<std::string> TargetLinks::servicesAt(std::string_view address) const
{
    std::set<std::string> names;
    for (const auto& target : this->parts.targets.atAddress(address))
        names.insert(target.service);
    return names;
}

TargetLinks::Service& TargetLinks::serviceNamed(std::string_view name)
{
    const auto found = this->services.find(name);
    return found != this->services.end() ? found->second : this->services[std::string { name }];
}

std::uint64_t TargetLinks::incarnationAt(std::string_view address) const
{
    const auto targets = this->parts.targets.atAddress(address);
    const auto latest = std::ranges::max_element(targets, {}, &TargetEntry::incarnation);
    return latest != targets.end() ? latest->incarnation : 0;
}

void TargetLinks::recordAccepted(std::string_view address)
{
    const auto now = this->parts.clock.now();
    if (!this->parts.health.connections.recordConnected(address, this->incarnationAt(address), now))
        return;
    for (const auto& target : this->parts.targets.atAddress(address)) {
        this->parts.health.forgetOutcomes(target.id);
        this->parts.log.write("target_accepts", { { "target", target.id }, { "born", target.incarnation } });
    }
}

// A target that accepts no connection gets no request until it does.
void TargetLinks::recordUnreachable(std::string_view address)
{
    auto& connections = this->parts.health.connections;
    const auto now = this->parts.clock.now();
    const auto targets = this->parts.targets.atAddress(address);
    if (targets.empty())
        return;
    const bool wasDown = connections.isDown(targets.front(), now);
    connections.recordFailure(address, this->incarnationAt(address), now);
    for (const auto& target : targets) {
        if (!wasDown)
            this->parts.log.write("target_down", { { "target", target.id }, { "born", target.incarnation } });
        this->startWaiting(target.service);
    }
}

void TargetLinks::connected(std::string_view address)
{
    this->connectedAt = this->parts.clock.now();
    this->recordAccepted(address);
    for (const auto& name : this->servicesAt(address))
        this->recordConnected(name);
}

void TargetLinks::recordConnected(const std::string& name)
{
    auto& service = this->serviceNamed(name);
    service.connectedAt = this->parts.clock.now();
    if (!service.reachability.recordConnected(service.connectedAt))
        return;
    // Targets that went down with the path are likely to be back.
    this->parts.health.connections.retestSince(this->parts.targets.available(name), service.lostAt);
    service.searchSize = 0;
    this->recordChange(name, "connected");
    this->search(name, TargetConnections::Untested::LostWithPath, FirstSearchSize);
    this->startWaiting(name);
}

void TargetLinks::connectFailed(std::string_view address, ConnectFailure failure)
{
    const auto now = this->parts.clock.now();
    this->parts.metrics.counter("marigold_failed_connects_total", "reason=\"" + std::string { name(failure) } + "\"")
        .increment();
    this->parts.log.write("connect_failed",
        { { "address", address }, { "reason", name(failure) }, { "since_any_connect_ms", now - this->connectedAt },
            { "since_any_bytes_ms", now - this->receivedAt } });
    if (failure == ConnectFailure::Local)
        return;
    this->recordUnreachable(address);
    this->recordFailures(address, failure == ConnectFailure::TimedOut ? ConnectTimeout : RoundTripBound);
}

void TargetLinks::connectionLost(std::string_view address)
{
    const auto now = this->parts.clock.now();
    this->parts.metrics.counter("marigold_lost_connections_total").increment();
    this->parts.log.write("connection_lost",
        { { "address", address }, { "since_any_connect_ms", now - this->connectedAt },
            { "since_any_bytes_ms", now - this->receivedAt } });
    this->recordFailures(address, RoundTripBound);
}

void TargetLinks::received(std::string_view address)
{
    this->receivedAt = this->parts.clock.now();
    this->parts.health.connections.recordBytes(address, this->receivedAt);
}

void TargetLinks::recordFailures(std::string_view address, Duration window)
{
    for (const auto& name : this->servicesAt(address))
        this->recordFailure(name, window);
}

// A target that accepted a connection in the last `window`, in which the failed one was attempted, refutes the
// suspicion.
void TargetLinks::recordFailure(const std::string& name, Duration window)
{
    auto& service = this->serviceNamed(name);
    if (this->parts.clock.now() - service.connectedAt < window)
        return;
    service.reachability.recordFailure();
    this->startRoundIfDue(name);
}

// Starts a round of probes, and returns for the next one for as long as targets may be out of reach.
void TargetLinks::startRoundIfDue(const std::string& name)
{
    using enum TargetConnections::ProbePurpose;
    const auto now = this->parts.clock.now();
    auto& service = this->serviceNamed(name);
    const bool wasCutOff = service.reachability.isCutOff();
    if (const auto count = service.reachability.startRound(now); count > 0) {
        if (!wasCutOff)
            service.lostAt = service.connectedAt;
        const auto drawn = this->parts.health.connections.drawRound(this->parts.targets.available(name),
            wasCutOff ? Recover : Confirm, count, service.lostAt, now, this->random);
        this->startProbes(name, drawn, true);
    }
    this->startWaiting(name);
}

void TargetLinks::startProbes(const std::string& name, std::span<const TargetEntry* const> targets, bool decides)
{
    auto round = std::make_shared<Round>(
        this->self, this->parts.context, this->parts.clock, name, this->parts.clock.now(), targets.size(), decides);
    for (const auto* target : targets)
        asio::co_spawn(this->parts.context, TargetLinks::probe(round, target->address), asio::detached);
}

void TargetLinks::startWaiting(const std::string& name)
{
    if (!std::exchange(this->serviceNamed(name).isWaitingForRound, true))
        asio::co_spawn(this->parts.context, this->waitForRound(name), asio::detached);
}

asio::awaitable<void> TargetLinks::waitForRound(std::string name)
{
    const auto links = this->self;
    asio::steady_timer timer { this->parts.context, DownProbeInterval };
    co_await timer.async_wait(asio::use_awaitable);
    if (!*links)
        co_return;
    this->serviceNamed(name).isWaitingForRound = false;
    if (this->serviceNamed(name).reachability.needsRounds())
        this->startRoundIfDue(name);
    this->continueSearch(name);
    this->probeDownTargets(name);
}

// Whether too few targets are known to accept connections.
bool TargetLinks::needsSearch(const std::string& name) const
{
    const auto targets = this->parts.targets.available(name);
    return this->isCutOff(name)
        || this->parts.health.connections.downShare(targets, this->parts.clock.now()) > SearchedDownShare;
}

void TargetLinks::continueSearch(const std::string& name)
{
    auto& service = this->serviceNamed(name);
    if (!this->needsSearch(name)) {
        service.searchSize = 0;
        return;
    }
    const auto now = this->parts.clock.now();
    if (service.searchSize > 0 && now - service.searchedAt < SearchInterval)
        return;
    service.searchedAt = now;
    service.searchSize = std::clamp(2 * service.searchSize, FirstSearchSize, LargestSearchSize);
    this->search(name, TargetConnections::Untested::Any, service.searchSize);
}

void TargetLinks::search(const std::string& name, TargetConnections::Untested kind, std::size_t count)
{
    const auto drawn
        = this->parts.health.connections.drawUntested(this->parts.targets.available(name), kind, count, this->random);
    this->startProbes(name, drawn, false);
}

void TargetLinks::probeDownTargets(const std::string& name)
{
    auto& connections = this->parts.health.connections;
    const auto targets = this->parts.targets.available(name);
    if (!connections.hasDown(targets))
        return;
    if (!this->isCutOff(name))
        this->startProbes(name, connections.drawDown(targets, 1, this->parts.clock.now()), false);
    this->startWaiting(name);
}

asio::awaitable<void> TargetLinks::probe(std::shared_ptr<Round> round, std::string address)
{
    const auto startedAt = round->clock.now();
    const auto [host, port] = splitAddress(address);
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(host, failure);
    if (!failure) {
        boost::beast::tcp_stream stream { round->context };
        stream.expires_after(ConnectTimeout);
        co_await stream.async_connect(
            asio::ip::tcp::endpoint { ip, port }, asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!*round->links)
        co_return;
    const bool isDelayed = round->clock.now() - startedAt > ConnectTimeout + ToleratedLateness;
    const bool isLocalFault = failure && connectFailureOf(failure) == ConnectFailure::Local;
    (*round->links)->recordProbe(*round, address, !failure, !isDelayed && !isLocalFault);
}

void TargetLinks::recordProbe(Round& round, std::string_view address, bool isConnected, bool isConclusive)
{
    using enum TargetReachability::RoundOutcome;
    if (isConnected) {
        this->recordAccepted(address);
        this->recordConnected(round.service);
        const auto kind = this->needsSearch(round.service) ? TargetConnections::Untested::Any
                                                           : TargetConnections::Untested::LostWithPath;
        this->search(round.service, kind, ProbesAfterSuccess);
    } else if (isConclusive) {
        this->recordUnreachable(address);
    }
    const std::string_view outcome = isConnected ? "accepted" : "failed";
    this->parts.metrics.counter("marigold_target_probes_total", "outcome=\"" + std::string { outcome } + "\"")
        .increment();
    round.isConclusive = round.isConclusive && isConclusive;
    if (--round.running > 0 || !round.decides)
        return;
    auto& reachability = this->serviceNamed(round.service).reachability;
    if (reachability.recordRound(round.isConclusive ? AllFailed : Inconclusive, round.startedAt))
        this->recordChange(round.service, "probes_failed");
}

void TargetLinks::recordChange(const std::string& name, std::string_view reason)
{
    const auto now = this->parts.clock.now();
    const bool isCutOff = this->isCutOff(name);
    this->parts.metrics.gauge("marigold_cut_off", "service=\"" + name + "\"").set(isCutOff ? 1 : 0);
    this->parts.log.write(isCutOff ? "targets_unreachable" : "targets_reachable",
        { { "service", name }, { "reason", reason },
            { "targets", std::uint64_t { this->parts.targets.available(name).size() } },
            { "since_any_connect_ms", now - this->connectedAt }, { "since_any_bytes_ms", now - this->receivedAt } });
    if (this->notify)
        this->notify(name);
    if (!isCutOff)
        return;
    // What cut the paths to one service may have cut those to others, which get fewer requests.
    for (const auto& [other, service] : this->services) {
        if (!service.reachability.isCutOff())
            this->recordFailure(other, RoundTripBound);
    }
}

}
