#include "serving/PeerRunner.h"

#include <algorithm>
#include <array>
#include <exception>
#include <iterator>
#include <limits>
#include <optional>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/Http.h"
#include "rpc/Codec.h"
#include "serving/ConfigurationFetcher.h"
#include "serving/ConfigurationTransfer.h"
#include "serving/PeerFormat.h"
#include "serving/PeerNews.h"
#include "serving/TransferQueue.h"
#include "serving/TransitDelays.h"
#include "serving/WireTime.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr Duration TickPeriod = PeerExchange::ShortestPeriod;
// Shortest limit of a fetch of a list of targets.
constexpr Duration FetchTimeout = std::chrono::milliseconds { 400 };
// Times of a sender's clock beyond some 280 years are none.
constexpr std::int64_t MaximumSentAtMs = (std::int64_t { 1 } << 53) / 1000;
// Notices that take longer are counted.
constexpr Duration LongDelay = std::chrono::milliseconds { 500 };
// Limit of one notice: a datagram that UDP carries over loopback and, fragmented, over other networks.
constexpr std::size_t MaximumNoticeBytes = 16 * 1024;

// Higher for a later start of the same instance. Only compared between processes at one address.
std::int64_t incarnationNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}

struct PeerRunner::State {
    State(const Parts& parts, PeerRunner& runner, std::string address, std::string availabilityZone,
        std::vector<std::string> seeds, Duration targetsBound)
        : parts(parts)
        , address(std::move(address))
        , availabilityZone(std::move(availabilityZone))
        , news(parts.quarantine, parts.limits, parts.answers, parts.log)
        , exchange(this->address, this->availabilityZone, std::move(seeds), targetsBound,
              std::mt19937_64 { std::random_device {}() })
        , socket(parts.context)
        , server(parts.context, runner)
        , client(parts.context.get_executor())
        , configurationFetcher({ parts.context, parts.clock, parts.view, parts.follower, this->exchange, this->client,
              parts.log, parts.metrics, [this] { this->announceConfiguration(); },
              [this](std::string_view source) {
                  return source == this->targetsSource;
              } })
        , incarnation(incarnationNow())
    {
    }

    ~State()
    {
        this->transfers->isClosed = true;
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    asio::awaitable<void> receive()
    {
        while (true) {
            error_code failure;
            const auto size = co_await this->socket.async_receive_from(
                asio::buffer(this->buffer), this->source, asio::redirect_error(asio::use_awaitable, failure));
            // An ICMP error for an earlier datagram is reported by this call; it does not concern the socket.
            if (failure == asio::error::operation_aborted)
                co_return;
            if (failure)
                continue;
            // Whatever a notice causes, the next ones are received.
            try {
                this->handleDatagram({ this->buffer.data(), size });
            } catch (const std::exception& unexpected) {
                this->parts.metrics.counter("marigold_peer_notices_malformed_total").increment();
                this->parts.log.write("notice_failed", { { "problem", std::string_view { unexpected.what() } } });
            }
        }
    }

    void handleDatagram(std::string_view datagram)
    {
        auto notice = decode<wire::LoadNotice>(datagram);
        if (!notice) {
            this->parts.metrics.counter("marigold_peer_notices_malformed_total").increment();
            return;
        }
        const auto now = this->parts.clock.now();
        this->countDelay(*notice);
        // No version and no era is as high.
        for (auto* number : { &notice->configurationVersion, &notice->storeEra }) {
            if (*number < 0 || static_cast<std::uint64_t>(*number) > ServingView::MaximumVersion)
                *number = 0;
        }
        if (!this->exchange.receive(*notice, now))
            return;
        const auto replies = this->exchange.replyToNewPeers(now);
        if (!replies.empty())
            this->news.recordNewPeer(now);
        this->perform(replies);
        this->news.learn(*notice, now);
        this->updateRelays(*notice, now);
        this->parts.follower.applyPeerView(toSummary(*notice), fromWire(notice->targetChanges));
        const auto own = this->localState();
        if (own.targetsAge == Duration::max() || this->parts.view.newestKnownVersion() > own.configurationVersion)
            this->perform(this->exchange.fetchNewerRecords(own, now));
        std::unordered_map<std::uint64_t, TargetLoad> loads;
        for (const auto& record : notice->loads)
            loads.emplace(static_cast<std::uint64_t>(record.target), toLoad(record));
        this->parts.waiting.updatePeer(notice->sender, toUrgency(*notice, now), now);
        this->parts.ledger.updatePeer(notice->sender, loads, now, toDuration(notice->validMs),
            notice->partial ? LoadLedger::ReportScope::Partial : LoadLedger::ReportScope::Complete);
        if (notice->zoneOccupancy >= 0)
            this->parts.ledger.updateZoneOccupancy(notice->availabilityZone, notice->zoneOccupancy, now);
    }

    // Adds the time for which a notice was on its way to the ages that it states.
    void countDelay(wire::LoadNotice& notice)
    {
        if (notice.sentAtMs <= 0 || notice.sentAtMs > MaximumSentAtMs) {
            // Of an earlier version of the program. It may have waited for any time.
            notice.configurationAgeMs = toMilliseconds(Duration::max());
            return;
        }
        const auto delay = this->delays.record(notice.sender, notice.incarnation,
            std::chrono::milliseconds { notice.sentAtMs }, this->parts.clock.bootTime().time_since_epoch());
        for (auto* age : { &notice.configurationAgeMs, &notice.targetsAgeMs }) {
            if (*age >= 0 && *age < MaximumWireMilliseconds)
                *age += milliseconds(delay);
        }
        if (delay >= LongDelay)
            this->parts.metrics.counter("marigold_peer_notices_delayed_total").increment();
    }

    void updateRelays(const wire::LoadNotice& notice, TimePoint now)
    {
        if (!this->parts.relays)
            return;
        const auto host = splitAddress(notice.sender).host;
        const bool acceptsRelays
            = notice.relayPort > 0 && notice.relayPort <= std::numeric_limits<std::uint16_t>::max();
        RelayPeer peer;
        if (acceptsRelays)
            peer.address = host + ':' + std::to_string(notice.relayPort);
        peer.availabilityZone = notice.availabilityZone;
        peer.relayedRequests = static_cast<unsigned>(std::max(0, notice.relayedRequests));
        peer.isLeaving = notice.leaving;
        for (const auto service : notice.unreachableServices)
            peer.unreachableServices.insert(static_cast<std::uint64_t>(service));
        const auto validity = std::chrono::milliseconds { std::clamp<std::int64_t>(notice.validMs, 100, 60'000) };
        this->parts.relays->update(notice.sender, std::move(peer), now, validity);
    }

    void announceNewsIfDue()
    {
        const auto now = this->parts.clock.now();
        if (!this->hasNews || now - this->lastNewsAt < TickPeriod)
            return;
        this->hasNews = false;
        this->lastNewsAt = now;
        this->perform(this->exchange.notifyAll(now));
    }

    asio::awaitable<void> runTicks()
    {
        asio::steady_timer timer { this->parts.context };
        while (true) {
            const auto now = this->parts.clock.now();
            const auto loads = this->parts.ledger.localLoads(now);
            this->parts.limits.setInstances(
                { this->address, this->availabilityZone }, this->exchange.liveSharers(now), now);
            this->perform(this->exchange.tick(this->localState(), !loads.empty() || this->lastNoticeHadLoads, now));
            this->announceNewsIfDue();
            timer.expires_after(TickPeriod);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    LocalState localState() const
    {
        return { this->parts.view.version(),
            this->parts.view.targets.age(this->parts.clock.bootTime()).value_or(Duration::max()) };
    }

    void perform(const PeerCommands& commands, std::span<const KeyedRecord> changes = {})
    {
        std::string notice; // Encoded once, if needed.
        for (const auto& command : commands) {
            if (const auto* send = std::get_if<SendNotice>(&command)) {
                if (notice.empty())
                    notice = this->makeNotice(changes);
                this->sendTo(send->address, notice);
                continue;
            }
            const auto& fetch = std::get<FetchRecords>(command);
            if (fetch.wantsConfiguration)
                asio::co_spawn(this->parts.context, this->configurationFetcher.fetch(fetch.address), asio::detached);
            if (fetch.wantsTargets)
                asio::co_spawn(this->parts.context, this->fetchTargets(fetch.address), asio::detached);
        }
    }

    // Share of the batch slots in use on the engines of this availability zone. Negative without engines, and while
    // notices reach all peers.
    double zoneOccupancy(TimePoint now) const
    {
        const auto configuration = this->parts.view.configuration();
        if (!configuration || !this->exchange.isCrowded(now))
            return -1;
        double running = 0;
        double slots = 0;
        for (const auto& [name, service] : configuration->values.services) {
            if (!service.engine)
                continue;
            for (const auto* target : this->parts.view.targets.available(name)) {
                if (target->availabilityZone != this->availabilityZone)
                    continue;
                running += this->parts.ledger.total(target->id, now).running;
                slots += service.engine->batchSlots;
            }
        }
        return slots > 0 ? running / slots : -1;
    }

    // A notice without loads and news.
    wire::LoadNotice makeHeader(TimePoint now)
    {
        wire::LoadNotice notice;
        notice.sender = this->address;
        notice.availabilityZone = this->availabilityZone;
        notice.zoneOccupancy = -1;
        notice.incarnation = this->incarnation;
        notice.sequence = ++this->sequence;
        notice.validMs = milliseconds(this->exchange.validity(now));
        const auto summary = this->parts.follower.summary(this->parts.clock.bootTime());
        notice.configurationVersion = static_cast<std::int64_t>(summary.configurationVersion);
        notice.configurationAgeMs = toMilliseconds(summary.configurationAge);
        notice.targetsAgeMs = toMilliseconds(summary.targetsAge);
        notice.targetsDigest = static_cast<std::int64_t>(summary.targetsDigest);
        notice.targetsOffset = static_cast<std::int64_t>(summary.targetsOffset);
        notice.storeEra = static_cast<std::int64_t>(summary.era);
        notice.operatorOffset = summary.operatorOffset ? static_cast<std::int64_t>(*summary.operatorOffset) : -1;
        notice.evacuatedZones.assign(summary.evacuatedZones.begin(), summary.evacuatedZones.end());
        notice.leaving = this->isLeaving;
        notice.sentAtMs = milliseconds(this->parts.clock.bootTime().time_since_epoch());
        if (this->parts.relayState) {
            const auto state = this->parts.relayState();
            notice.relayPort = splitAddress(state.address).port;
            std::ranges::transform(state.unreachableServices, std::back_inserter(notice.unreachableServices),
                [](std::uint64_t service) { return static_cast<std::int64_t>(service); });
            notice.relayedRequests = static_cast<std::int32_t>(state.relayedRequests);
        }
        const auto urgency = this->parts.waiting.mostUrgent();
        notice.waitingStartByMs = urgency ? std::max<std::int64_t>(0, milliseconds(urgency->startBy - now)) : -1;
        notice.waitingRank = urgency ? static_cast<std::int32_t>(urgency->rank) : -1;
        return notice;
    }

    // Announces work that was placed since the last announcement, if the traffic budget allows it.
    void announceWork()
    {
        const auto now = this->parts.clock.now();
        const auto commands = this->exchange.notifyNow(now);
        if (commands.empty())
            return;
        // Few peers get the complete state, which also ends work that they know of.
        if (!this->exchange.isCrowded(now))
            return this->perform(commands);
        auto notice = this->makeHeader(now);
        notice.partial = true;
        this->addLoads(notice, this->parts.ledger.takeChangedLoads(now));
        const auto bytes = encode(notice);
        for (const auto& command : commands) {
            if (const auto* send = std::get_if<SendNotice>(&command))
                this->sendTo(send->address, bytes);
        }
    }

    static void addLoads(wire::LoadNotice& notice, const std::unordered_map<std::uint64_t, TargetLoad>& loads)
    {
        for (const auto& [target, load] : loads)
            notice.loads.push_back(toRecord(target, load));
    }

    std::string makeNotice(std::span<const KeyedRecord> changes)
    {
        const auto now = this->parts.clock.now();
        auto notice = this->makeHeader(now);
        notice.zoneOccupancy = this->zoneOccupancy(now);
        notice.targetChanges = toWire(changes);
        this->news.addTo(notice, now);
        const auto loads = this->parts.ledger.localLoads(now);
        this->addLoads(notice, loads);
        this->lastNoticeHadLoads = !loads.empty();
        notice.peers = this->exchange.addressSample();
        auto bytes = encode(notice);
        if (bytes.size() <= MaximumNoticeBytes)
            return bytes;
        this->parts.metrics.counter("marigold_peer_notices_too_large_total").increment();
        // Receivers notice by the digest that they miss changes, and fetch the list.
        notice.loads.clear();
        notice.targetChanges.clear();
        notice.crashes.clear();
        notice.soundParts.clear();
        notice.limits.clear();
        notice.coldTargets.clear();
        return encode(notice);
    }

    void sendTo(const std::string& address, const std::string& bytes)
    {
        const auto [host, port] = splitAddress(address);
        error_code failure;
        const auto ip = asio::ip::make_address(host, failure);
        if (!failure)
            this->socket.send_to(asio::buffer(bytes), { ip, port }, 0, failure);
        // Treated as a lost datagram; the next notice carries the complete state again.
        if (failure)
            this->parts.metrics.counter("marigold_peer_send_failures_total").increment();
    }

    // Announces a configuration of a peer at once, so that others find more than one source for it.
    void announceConfiguration()
    {
        this->parts.onConfigurationInstalled();
        this->perform(this->exchange.notifyNow(this->parts.clock.now()));
    }

    asio::awaitable<void> fetchTargets(std::string source)
    {
        wire::PlatformRecordsRequest request;
        // The configuration is fetched by itself, so that neither waits for the other.
        request.knownConfigurationVersion = std::numeric_limits<std::int64_t>::max();
        request.wantsTargets = true;
        wire::Payload payload;
        payload.__set_platformRecords(request);
        const auto askedAt = this->parts.clock.bootTime();
        const auto timeout
            = std::max<Duration>(FetchTimeout, this->exchange.transferWait() + this->exchange.transferTimeout());
        this->targetsSource = source;
        const auto answer = co_await this->client.call(source, payload, timeout);
        this->targetsSource.clear();
        const bool isAnswer = answer && answer.value().__isset.platformRecordsAnswer;
        const bool wasBusy = isAnswer && !answer.value().platformRecordsAnswer.__isset.targets;
        this->exchange.endTargetsFetch(wasBusy);
        const std::string outcome { !isAnswer ? "failed" : wasBusy ? "busy" : "ok" };
        this->parts.metrics.counter("marigold_peer_fetches_total", "outcome=\"" + outcome + "\"").increment();
        if (!isAnswer) {
            this->exchange.recordNoAnswer(source);
            this->client.disconnect(source);
            co_return;
        }
        const auto& records = answer.value().platformRecordsAnswer;
        if (wasBusy)
            co_return;
        // The time since the request bounds how much older the list became on the way.
        ViewSummary peer;
        peer.era = static_cast<std::uint64_t>(records.storeEra);
        peer.targetsOffset = static_cast<std::uint64_t>(records.targetsOffset);
        peer.targetsAge = toDuration(records.targetsAgeMs) + (this->parts.clock.bootTime() - askedAt);
        const bool hadList = this->parts.view.targets.age(this->parts.clock.bootTime()).has_value();
        this->parts.follower.installTargets(fromWire(records.targets), peer, source);
        // Announces a first list at once, so that peers find more than one source for it.
        if (!hadList && this->parts.view.targets.age(this->parts.clock.bootTime()))
            this->perform(this->exchange.announceView(this->parts.clock.now()));
    }

    // Adds the part of the configuration that a peer asks for, or all of it for a peer that does not know parts.
    void addConfiguration(wire::PlatformRecordsAnswer& answer, const wire::PlatformRecordsRequest& asked)
    {
        auto& configurations = this->parts.follower.configurations();
        if (asked.__isset.configurationPart) {
            if (const auto part = configurations.part(fromWire(asked.configurationPart)))
                answer.__set_configurationPart(toWire(*part));
        } else if (const auto* newest = configurations.newest()) {
            wire::KeyValueRecord record;
            record.key = newest->key;
            record.value = newest->value.value_or(std::string {});
            answer.__set_configuration(record);
        }
    }

    Parts parts;
    std::string address;
    std::string availabilityZone;
    PeerNews news;
    PeerExchange exchange;
    udp::socket socket;
    TransitDelays delays;
    RpcServer server;
    RpcClient client;
    ConfigurationFetcher configurationFetcher;
    std::string targetsSource; // Peer that is sending a list of targets; empty if none is.
    std::shared_ptr<TransferQueue> transfers { std::make_shared<TransferQueue>(PeerExchange::ConcurrentTransfers) };
    std::int64_t incarnation;
    std::int64_t sequence { 0 };
    udp::endpoint source;
    std::array<char, 64 * 1024> buffer {};
    bool lastNoticeHadLoads { false }; // The last notice had loads, so their absence is a change too.
    bool isLeaving { false };
    bool hasNews { false }; // Not all peers have been notified of the last news.
    TimePoint lastNewsAt {}; // When all were notified last.
};

PeerRunner::PeerRunner(const Parts& parts, std::string address, std::string availabilityZone,
    std::vector<std::string> seeds, Duration targetsBound)
    : state(std::make_unique<State>(
          parts, *this, std::move(address), std::move(availabilityZone), std::move(seeds), targetsBound))
{
}

PeerRunner::~PeerRunner() = default;

void PeerRunner::start()
{
    auto& state = *this->state;
    const auto [host, port] = splitAddress(state.address);
    const udp::endpoint endpoint { asio::ip::make_address(host), port };
    state.socket.open(endpoint.protocol());
    state.socket.bind(endpoint);
    state.socket.non_blocking(true);
    state.server.listen(state.address);
    asio::co_spawn(state.parts.context, state.receive(), asio::detached);
    asio::co_spawn(state.parts.context, state.runTicks(), asio::detached);
}

void PeerRunner::notifyPeersNow()
{
    this->state->announceWork();
}

void PeerRunner::announceNews()
{
    this->state->hasNews = true;
    this->state->announceNewsIfDue();
}

void PeerRunner::announceLeaving()
{
    this->state->isLeaving = true;
    this->state->perform(this->state->exchange.notifyNow(this->state->parts.clock.now()));
}

void PeerRunner::setTargetsBound(Duration bound)
{
    this->state->exchange.setTargetsBound(bound);
}

std::size_t PeerRunner::readerRank() const
{
    return this->state->exchange.readerRank(this->state->parts.clock.now());
}

void PeerRunner::configurationInstalled()
{
    auto& state = *this->state;
    // What was begun may be older than the version that was read.
    state.configurationFetcher.reset();
    state.parts.onConfigurationInstalled();
    state.perform(state.exchange.announceView(state.parts.clock.now()));
}

void PeerRunner::evacuationChanged()
{
    auto& state = *this->state;
    state.perform(state.exchange.notifyAll(state.parts.clock.now()));
}

void PeerRunner::targetsRead(std::span<const KeyedRecord> changes)
{
    auto& state = *this->state;
    state.perform(state.exchange.announceView(state.parts.clock.now()), changes);
}

std::size_t PeerRunner::livePeers() const
{
    return this->state->exchange.livePeers(this->state->parts.clock.now());
}

asio::awaitable<std::optional<wire::Payload>> PeerRunner::handle(
    wire::Payload request, std::shared_ptr<void>& untilWritten)
{
    if (!request.__isset.platformRecords)
        co_return std::nullopt;
    auto& parts = this->state->parts;
    const auto& asked = request.platformRecords;
    wire::PlatformRecordsAnswer answer;
    if (parts.view.version() > static_cast<std::uint64_t>(asked.knownConfigurationVersion))
        this->state->addConfiguration(answer, asked);
    if (asked.wantsTargets && parts.view.targets.age(parts.clock.bootTime())) {
        // A newer configuration does not wait for the list.
        const auto wait = answer.__isset.configuration ? Duration::zero() : this->state->exchange.transferWait();
        auto queue = this->state->transfers;
        untilWritten = co_await takeTransferSlot(queue, parts.clock, wait, this->state->exchange.transferTimeout());
        if (queue->isClosed)
            co_return std::nullopt;
    }
    if (untilWritten) {
        const auto summary = parts.follower.summary(parts.clock.bootTime());
        answer.__set_targets(toWire(parts.follower.targetRecords()));
        answer.targetsAgeMs = toMilliseconds(summary.targetsAge);
        answer.storeEra = static_cast<std::int64_t>(summary.era);
        answer.targetsOffset = static_cast<std::int64_t>(summary.targetsOffset);
    }
    wire::Payload payload;
    payload.__set_platformRecordsAnswer(answer);
    co_return payload;
}

}
