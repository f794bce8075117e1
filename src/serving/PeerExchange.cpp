#include "serving/PeerExchange.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "serving/WireTime.h"

namespace marigoldpaddle {

namespace {

constexpr std::size_t AddressesPerNotice = 4;
constexpr Duration MinimumValidity = std::chrono::milliseconds { 1500 };
// A list of targets that is older than this share of its bound is replaced by a peer's. By then the readers of the zone
// have read it again, so this instance has missed an announcement or differs from them.
constexpr double StaleTargetsShareOfBound = 0.45;
// The random delay of the first fetch of a list takes at most this share of its bound, whatever the size of the zone.
constexpr double FetchSpreadShareOfBound = 0.1;
constexpr double TransferWaitShareOfBound = 0.1;
constexpr double TransferTimeoutShareOfBound = 0.5;
// A peer's list has to be newer by this time to be fetched.
constexpr Duration WorthwhileAgeDifference = std::chrono::milliseconds { 200 };

Duration shareOf(Duration duration, double share)
{
    return std::chrono::duration_cast<Duration>(duration * share);
}

}

PeerExchange::PeerExchange(std::string self, std::string availabilityZone, std::vector<std::string> seeds,
    Duration targetsBound, std::mt19937_64 random)
    : self(std::move(self))
    , availabilityZone(std::move(availabilityZone))
    , random(random)
    , targetsBound(targetsBound)
{
    for (auto& seed : seeds) {
        if (seed != this->self)
            this->peers[std::move(seed)].isSeed = true;
    }
}

void PeerExchange::setTargetsBound(Duration bound)
{
    this->targetsBound = bound;
}

bool PeerExchange::receive(const wire::LoadNotice& notice, TimePoint now)
{
    if (notice.sender.empty() || notice.sender == this->self)
        return false;
    for (const auto& address : notice.peers) {
        if (address != this->self)
            this->peers.try_emplace(address, Peer { .firstKnownAt = now });
    }
    auto& peer = this->peers[notice.sender];
    const bool isLaterIncarnation = notice.incarnation > peer.incarnation;
    if (!isLaterIncarnation && (notice.incarnation < peer.incarnation || notice.sequence <= peer.sequence))
        return false;
    if (!notice.leaving && (isLaterIncarnation || !this->isLive(peer, now)))
        this->newPeers.push_back(notice.sender);
    peer.availabilityZone = notice.availabilityZone;
    peer.incarnation = notice.incarnation;
    peer.sequence = notice.sequence;
    peer.configurationVersion = static_cast<std::uint64_t>(notice.configurationVersion);
    peer.targetsReadAt = now - toDuration(notice.targetsAgeMs);
    peer.validity = std::chrono::milliseconds { std::clamp<std::int64_t>(notice.validMs, 100, 60'000) };
    peer.lastSeenAt = now;
    peer.hasNotAnswered = false;
    if (notice.leaving)
        peer.lastSeenAt = now - peer.validity;
    return true;
}

PeerCommands PeerExchange::replyToNewPeers(TimePoint now)
{
    PeerCommands commands;
    for (auto& address : std::exchange(this->newPeers, {})) {
        this->peers[address].lastContactAt = now;
        commands.push_back(SendNotice { std::move(address) });
    }
    return commands;
}

bool PeerExchange::isLive(const Peer& peer, TimePoint now) const
{
    return peer.lastSeenAt != TimePoint {} && now - peer.lastSeenAt < peer.validity;
}

bool PeerExchange::isLocal(const Peer& peer) const
{
    return peer.availabilityZone == this->availabilityZone;
}

Duration PeerExchange::drawFetchDelay(TimePoint now)
{
    const auto localPeers = std::ranges::count_if(
        this->peers, [&](const auto& item) { return this->isLocal(item.second) && this->isLive(item.second, now); });
    std::uniform_real_distribution<double> share { 0, static_cast<double>(localPeers) };
    return shareOf(FetchSpreadPerPeer, share(this->random));
}

std::size_t PeerExchange::readerRank(TimePoint now) const
{
    const auto order = [](std::string_view address) {
        return std::pair { XXH3_64bits(address.data(), address.size()), address };
    };
    const auto own = order(this->self);
    return static_cast<std::size_t>(std::ranges::count_if(this->peers, [&](const auto& item) {
        return this->isLocal(item.second) && this->isLive(item.second, now) && order(item.first) < own;
    }));
}

PeerCommands PeerExchange::announceView(TimePoint now)
{
    PeerCommands commands;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLocal(peer) && this->isLive(peer, now))
            commands.push_back(SendNotice { address });
    }
    return commands;
}

PeerCommands PeerExchange::notifyAll(TimePoint now)
{
    PeerCommands commands;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now))
            commands.push_back(SendNotice { address });
    }
    return commands;
}

std::vector<LimitSharer> PeerExchange::liveSharers(TimePoint now) const
{
    std::vector<LimitSharer> live;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now))
            live.push_back({ address, peer.availabilityZone });
    }
    return live;
}

std::size_t PeerExchange::livePeers(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->peers, [&](const auto& item) { return this->isLive(item.second, now); }));
}

Duration PeerExchange::period(TimePoint now) const
{
    if (this->isCrowded(now))
        return CrowdedPeriod;
    return std::max<Duration>(ShortestPeriod, PeriodPerDatagram * this->livePeers(now));
}

bool PeerExchange::isCrowded(TimePoint now) const
{
    return this->livePeers(now) > Fanout;
}

Duration PeerExchange::validity(TimePoint now) const
{
    // Three rounds of notices to every peer of the zone, at the slower of the two intervals.
    const auto live = this->livePeersByZone(now);
    const auto reached = live.local.size() + live.remote.size() <= Fanout ? Fanout : Fanout - RemoteZoneFanout;
    const auto rounds = 1 + live.local.size() / reached;
    return std::max<Duration>(MinimumValidity, 3 * rounds * std::max<Duration>(IdlePeriod, this->period(now)));
}

PeerCommands PeerExchange::tick(const LocalState& own, bool didChange, TimePoint now)
{
    PeerCommands commands;
    const auto period = this->period(now);
    if (now - this->lastNoticeAt >= (didChange ? period : std::max<Duration>(IdlePeriod, period)))
        this->notifyLivePeers(commands, now);
    this->contactSilentPeers(commands, now);
    std::ranges::move(this->fetchNewerRecords(own, now), std::back_inserter(commands));
    return commands;
}

PeerCommands PeerExchange::notifyNow(TimePoint now)
{
    PeerCommands commands;
    const auto refill = std::chrono::duration<double>(now - this->lastRefill).count() * NoticesPerSecond;
    this->noticeTokens = std::min(NoticeBurst, this->noticeTokens + refill);
    this->lastRefill = now;
    const auto live = this->livePeersByZone(now);
    const bool isCrowded = this->isCrowded(now);
    auto recipients = live.local;
    if (!isCrowded)
        recipients.insert(recipients.end(), live.remote.begin(), live.remote.end());
    const auto needed = static_cast<double>(recipients.size());
    if (this->noticeTokens < needed)
        return commands;
    this->noticeTokens -= needed;
    if (!isCrowded)
        this->lastNoticeAt = now;
    std::ranges::transform(recipients, std::back_inserter(commands),
        [](std::string_view address) { return SendNotice { std::string { address } }; });
    return commands;
}

PeerExchange::LivePeers PeerExchange::livePeersByZone(TimePoint now) const
{
    LivePeers live;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now))
            (this->isLocal(peer) ? live.local : live.remote).push_back(address);
    }
    return live;
}

// Returns up to `count` of the local peers, in turn.
std::vector<std::string_view> PeerExchange::nextLocalRecipients(
    const std::vector<std::string_view>& local, std::size_t count)
{
    auto recipients = local;
    std::ranges::rotate(
        recipients, std::ranges::upper_bound(recipients, std::string_view { this->lastLocalRecipient }));
    recipients.resize(std::min(count, recipients.size()));
    if (!recipients.empty())
        this->lastLocalRecipient = recipients.back();
    return recipients;
}

void PeerExchange::notifyLivePeers(PeerCommands& commands, TimePoint now)
{
    this->lastNoticeAt = now;
    const auto live = this->livePeersByZone(now);
    const auto remoteCount = live.local.size() + live.remote.size() <= Fanout
        ? live.remote.size()
        : std::min(live.remote.size(), RemoteZoneFanout);
    auto recipients = this->nextLocalRecipients(live.local, Fanout - remoteCount);
    std::ranges::sample(
        live.remote, std::back_inserter(recipients), static_cast<std::ptrdiff_t>(remoteCount), this->random);
    std::ranges::transform(recipients, std::back_inserter(commands),
        [](std::string_view address) { return SendNotice { std::string { address } }; });
}

void PeerExchange::contactSilentPeers(PeerCommands& commands, TimePoint now)
{
    if (this->startedAt == TimePoint {})
        this->startedAt = now;
    const auto period = now - this->startedAt < StartupPeriod ? StartupContactPeriod : ContactPeriod;
    for (auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now) || now - peer.lastContactAt < period)
            continue;
        peer.lastContactAt = now;
        commands.push_back(SendNotice { address });
    }
    std::erase_if(this->peers, [&](const auto& item) {
        const auto& peer = item.second;
        return !peer.isSeed && now - std::max(peer.lastSeenAt, peer.firstKnownAt) > PeerExpiry;
    });
}

Duration PeerExchange::staleTargetsAge() const
{
    return shareOf(this->targetsBound, StaleTargetsShareOfBound);
}

// A list passes through several instances, so its age counts from the notice that stated it.
bool PeerExchange::hasUsefulTargets(const Peer& peer, const LocalState& own, TimePoint now) const
{
    const auto age = now - peer.targetsReadAt;
    const auto longest = own.targetsAge == Duration::max() ? this->targetsBound : this->staleTargetsAge();
    return age < longest && age + WorthwhileAgeDifference < own.targetsAge;
}

// Draws the delay of the first fetch when a peer first has the list: after a common start that is the same moment for
// the whole zone.
bool PeerExchange::mayFetchTargets(const LocalState& own, TimePoint now)
{
    const bool hasSource
        = own.targetsAge > this->staleTargetsAge() && std::ranges::any_of(this->peers, [&](const auto& item) {
              return this->isLive(item.second, now) && this->hasUsefulTargets(item.second, own, now);
          });
    if (!hasSource)
        this->fetchTargetsFrom.reset();
    else if (!this->fetchTargetsFrom)
        this->fetchTargetsFrom
            = now + std::min(this->drawFetchDelay(now), shareOf(this->targetsBound, FetchSpreadShareOfBound));
    return hasSource && !this->isFetchingTargets && now >= *this->fetchTargetsFrom
        && now - this->lastTargetsFetch >= FetchInterval;
}

// Draws the delay of the first fetch when a peer first has a newer configuration. Further versions do not postpone it.
bool PeerExchange::mayFetchConfiguration(const LocalState& own, TimePoint now)
{
    const bool isBehind = std::ranges::any_of(this->peers, [&](const auto& item) {
        return this->isLive(item.second, now) && this->hasNewerConfiguration(item.second, own.configurationVersion);
    });
    if (!isBehind)
        this->fetchConfigurationFrom.reset();
    else if (!this->fetchConfigurationFrom)
        this->fetchConfigurationFrom = now + this->drawFetchDelay(now);
    return isBehind && !this->isFetchingConfiguration && now >= *this->fetchConfigurationFrom
        && now - this->lastConfigurationFetch >= FetchInterval;
}

PeerCommands PeerExchange::fetchNewerRecords(const LocalState& own, TimePoint now)
{
    PeerCommands commands;
    const bool wantsTargets = this->mayFetchTargets(own, now);
    const bool wantsConfiguration = this->mayFetchConfiguration(own, now);
    const auto isSource = [&](const Peers::value_type& item) {
        return (wantsConfiguration && this->hasNewerConfiguration(item.second, own.configurationVersion))
            || (wantsTargets && this->hasUsefulTargets(item.second, own, now));
    };
    const auto source = this->drawSource(isSource, SourcePreference::LocalZone, now);
    if (source == this->peers.end())
        return commands;
    const bool fetchesTargets = wantsTargets && this->hasUsefulTargets(source->second, own, now);
    const bool fetchesConfiguration
        = wantsConfiguration && this->hasNewerConfiguration(source->second, own.configurationVersion);
    if (fetchesConfiguration) {
        this->lastConfigurationFetch = now;
        this->isFetchingConfiguration = true;
    }
    if (fetchesTargets) {
        this->lastTargetsFetch = now;
        this->isFetchingTargets = true;
    }
    commands.push_back(FetchRecords { source->first, fetchesTargets, fetchesConfiguration });
    return commands;
}

bool PeerExchange::hasNewerConfiguration(const Peer& peer, std::uint64_t version) const
{
    return peer.configurationVersion > version;
}

void PeerExchange::endConfigurationFetch()
{
    this->isFetchingConfiguration = false;
}

int PeerExchange::sourceRank(const Peer& peer, SourcePreference preference, TimePoint now) const
{
    // A peer that runs sends several notices within their validity.
    const bool isSilent = now - peer.lastSeenAt > peer.validity / 2;
    const bool isPreferred = this->isLocal(peer) == (preference == SourcePreference::LocalZone);
    return (peer.hasNotAnswered ? 4 : 0) + (isSilent ? 2 : 0) + (isPreferred ? 0 : 1);
}

PeerExchange::Peers::const_iterator PeerExchange::drawSource(
    const std::function<bool(const Peers::value_type&)>& isCandidate, SourcePreference preference, TimePoint now)
{
    std::map<int, std::vector<Peers::const_iterator>> sources;
    for (auto peer = this->peers.cbegin(); peer != this->peers.cend(); ++peer) {
        if (this->isLive(peer->second, now) && isCandidate(*peer))
            sources[this->sourceRank(peer->second, preference, now)].push_back(peer);
    }
    if (sources.empty())
        return this->peers.cend();
    const auto& first = sources.begin()->second;
    std::uniform_int_distribution<std::size_t> pick { 0, first.size() - 1 };
    return first[pick(this->random)];
}

std::optional<std::string> PeerExchange::configurationSource(
    std::uint64_t version, const std::set<std::string>& excluded, SourcePreference preference, TimePoint now)
{
    const auto isSource = [&](const Peers::value_type& item) {
        return !item.second.hasNotAnswered && this->hasNewerConfiguration(item.second, version)
            && !excluded.contains(item.first);
    };
    const auto source = this->drawSource(isSource, preference, now);
    return source == this->peers.end() ? std::nullopt : std::optional { source->first };
}

void PeerExchange::recordNoAnswer(std::string_view address)
{
    const auto peer = this->peers.find(address);
    if (peer != this->peers.end())
        peer->second.hasNotAnswered = true;
}

void PeerExchange::endTargetsFetch(bool wasBusy)
{
    this->isFetchingTargets = false;
    if (wasBusy)
        this->lastTargetsFetch = {};
}

Duration PeerExchange::transferWait() const
{
    return shareOf(this->targetsBound, TransferWaitShareOfBound);
}

Duration PeerExchange::transferTimeout() const
{
    return shareOf(this->targetsBound, TransferTimeoutShareOfBound);
}

std::vector<std::string> PeerExchange::addressSample()
{
    std::vector<std::string> all;
    std::ranges::transform(this->peers, std::back_inserter(all), [](const auto& item) { return item.first; });
    std::vector<std::string> some;
    std::ranges::sample(all, std::back_inserter(some), AddressesPerNotice, this->random);
    return some;
}

}
