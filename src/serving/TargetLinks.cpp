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
// Shortest interval of TCP. A dead engine is noticed within three seconds, so that the memory which a prompt holds on
// other engines is released in time.
constexpr std::chrono::seconds ProbeAfter { 1 };

}

HttpClientLimits targetClientLimits()
{
    return { .connectTimeout = ConnectTimeout,
        .maximumResponseBytes = MaximumAnswerBytes,
        .unacknowledgedTimeout = UnacknowledgedTimeout,
        .probeAfter = ProbeAfter,
        .resetsOnClose = true };
}

// Probes that were started together. The last one that ends decides.
struct TargetLinks::Round {
    std::shared_ptr<TargetLinks*> links;
    asio::io_context& context;
    const Clock& clock;
    TimePoint startedAt;
    std::size_t running { 0 };
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

void TargetLinks::onChange(std::function<void()> notify)
{
    this->notify = std::move(notify);
}

bool TargetLinks::isCutOff() const
{
    return this->reachability.isCutOff();
}

bool TargetLinks::hasRecentBytes() const
{
    return this->parts.clock.now() - this->receivedAt < RecentBytesPeriod;
}

void TargetLinks::recordSilence()
{
    if (this->parts.clock.now() - this->receivedAt >= SilencePeriod)
        this->recordFailure(ConnectTimeout);
}

void TargetLinks::connected(std::string_view)
{
    const auto now = this->parts.clock.now();
    this->connectedAt = now;
    if (this->reachability.recordConnected(now))
        this->recordChange("connected");
}

void TargetLinks::connectFailed(std::string_view address, ConnectFailure failure)
{
    const auto now = this->parts.clock.now();
    this->parts.metrics.counter("marigold_failed_connects_total", "reason=\"" + std::string { name(failure) } + "\"")
        .increment();
    this->parts.log.write("connect_failed",
        { { "address", address }, { "reason", name(failure) }, { "since_any_connect_ms", now - this->connectedAt },
            { "since_any_bytes_ms", now - this->receivedAt } });
    if (failure != ConnectFailure::Local)
        this->recordFailure(failure == ConnectFailure::TimedOut ? ConnectTimeout : RoundTripBound);
}

void TargetLinks::connectionLost(std::string_view address)
{
    const auto now = this->parts.clock.now();
    this->parts.metrics.counter("marigold_lost_connections_total").increment();
    this->parts.log.write("connection_lost",
        { { "address", address }, { "since_any_connect_ms", now - this->connectedAt },
            { "since_any_bytes_ms", now - this->receivedAt } });
    this->recordFailure(RoundTripBound);
}

void TargetLinks::received(std::string_view)
{
    this->receivedAt = this->parts.clock.now();
}

// A target that accepted a connection in the last `window`, in which the failed one was attempted, refutes the
// suspicion.
void TargetLinks::recordFailure(Duration window)
{
    if (this->parts.clock.now() - this->connectedAt < window)
        return;
    this->reachability.recordFailure();
    this->startRoundIfDue();
}

// Starts a round of probes, and returns for the next one for as long as targets may be out of reach.
void TargetLinks::startRoundIfDue()
{
    const auto now = this->parts.clock.now();
    if (const auto count = this->reachability.startRound(now); count > 0) {
        std::vector<std::string> addresses;
        const auto all = this->parts.targets.addresses();
        std::ranges::sample(all, std::back_inserter(addresses), static_cast<std::ptrdiff_t>(count), this->random);
        auto round = std::make_shared<Round>(this->self, this->parts.context, this->parts.clock, now, addresses.size());
        for (auto& address : addresses)
            asio::co_spawn(this->parts.context, TargetLinks::probe(round, std::move(address)), asio::detached);
    }
    if (!std::exchange(this->isWaitingForRound, true))
        asio::co_spawn(this->parts.context, this->waitForRound(), asio::detached);
}

asio::awaitable<void> TargetLinks::waitForRound()
{
    const auto links = this->self;
    asio::steady_timer timer { this->parts.context, TargetReachability::RecoverInterval / 2 };
    co_await timer.async_wait(asio::use_awaitable);
    if (!*links)
        co_return;
    this->isWaitingForRound = false;
    if (this->reachability.needsRounds())
        this->startRoundIfDue();
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
    (*round->links)->recordProbe(*round, !failure, !isDelayed && !isLocalFault);
}

void TargetLinks::recordProbe(Round& round, bool isConnected, bool isConclusive)
{
    using enum TargetReachability::RoundOutcome;
    if (isConnected)
        this->connected({});
    round.isConclusive = round.isConclusive && isConclusive;
    if (--round.running > 0)
        return;
    if (this->reachability.recordRound(round.isConclusive ? AllFailed : Inconclusive, round.startedAt))
        this->recordChange("probes_failed");
}

void TargetLinks::recordChange(std::string_view reason)
{
    const auto now = this->parts.clock.now();
    const bool isCutOff = this->isCutOff();
    this->parts.metrics.gauge("marigold_cut_off").set(isCutOff ? 1 : 0);
    this->parts.log.write(isCutOff ? "targets_unreachable" : "targets_reachable",
        { { "reason", reason }, { "targets", std::uint64_t { this->parts.targets.size() } },
            { "since_any_connect_ms", now - this->connectedAt }, { "since_any_bytes_ms", now - this->receivedAt } });
    if (this->notify)
        this->notify();
}

}
