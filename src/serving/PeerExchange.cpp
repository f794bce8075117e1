#include "serving/PeerExchange.h"

#include <algorithm>
#include <utility>

namespace marigoldpaddle {

namespace {

constexpr std::size_t AddressesPerNotice = 4;
constexpr Duration MinimumValidity = std::chrono::milliseconds { 1500 };

}

PeerExchange::PeerExchange(
    std::string self, std::string availabilityZone, std::vector<std::string> seeds, std::mt19937_64 random)
    : self(std::move(self))
    , availabilityZone(std::move(availabilityZone))
    , random(random)
{
    for (auto& seed : seeds) {
        if (seed != this->self)
            this->peers[std::move(seed)].isSeed = true;
    }
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
    peer.targetsAge = std::chrono::milliseconds { std::max<std::int64_t>(0, notice.targetsAgeMs) };
    peer.validity = std::chrono::milliseconds { std::clamp<std::int64_t>(notice.validMs, 100, 60'000) };
    peer.lastSeenAt = now;
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

std::size_t PeerExchange::livePeers(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->peers, [&](const auto& item) { return this->isLive(item.second, now); }));
}

Duration PeerExchange::period(TimePoint now) const
{
    return std::max<Duration>(ShortestPeriod, PeriodPerDatagram * std::min(Fanout, this->livePeers(now)));
}

Duration PeerExchange::validity(TimePoint now) const
{
    // Three rounds of notices to every peer, at the slower of the two intervals.
    const auto rounds = 1 + this->livePeers(now) / Fanout;
    return std::max<Duration>(MinimumValidity, 3 * rounds * std::max<Duration>(IdlePeriod, this->period(now)));
}

PeerCommands PeerExchange::tick(const LocalState& own, bool didChange, TimePoint now)
{
    PeerCommands commands;
    if (now - this->lastNoticeAt >= (didChange ? this->period(now) : IdlePeriod))
        this->notifyLivePeers(commands, now);
    this->contactSilentPeers(commands, now);
    this->fetchNewerRecords(commands, own, now);
    return commands;
}

PeerCommands PeerExchange::notifyNow(TimePoint now)
{
    PeerCommands commands;
    const auto refill = std::chrono::duration<double>(now - this->lastRefill).count() * NoticesPerSecond;
    this->noticeTokens = std::min(NoticeBurst, this->noticeTokens + refill);
    this->lastRefill = now;
    const auto needed = static_cast<double>(std::min(Fanout, this->livePeers(now)));
    if (this->noticeTokens < needed)
        return commands;
    this->noticeTokens -= needed;
    this->notifyLivePeers(commands, now);
    return commands;
}

void PeerExchange::notifyLivePeers(PeerCommands& commands, TimePoint now)
{
    this->lastNoticeAt = now;
    std::vector<std::string_view> localPeers;
    std::vector<std::string_view> remotePeers;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now))
            (peer.availabilityZone == this->availabilityZone ? localPeers : remotePeers).push_back(address);
    }
    const auto remoteCount = localPeers.size() + remotePeers.size() <= Fanout
        ? remotePeers.size()
        : std::min(remotePeers.size(), RemoteZoneFanout);
    std::vector<std::string_view> recipients;
    std::ranges::sample(
        remotePeers, std::back_inserter(recipients), static_cast<std::ptrdiff_t>(remoteCount), this->random);
    std::ranges::sample(localPeers, std::back_inserter(recipients),
        static_cast<std::ptrdiff_t>(Fanout - recipients.size()), this->random);
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

void PeerExchange::fetchNewerRecords(PeerCommands& commands, const LocalState& own, TimePoint now)
{
    if (now - this->lastFetch < FetchInterval)
        return;
    const auto hasNewerRecords = [&](const auto& item) {
        const auto& peer = item.second;
        if (!this->isLive(peer, now))
            return false;
        return peer.configurationVersion > own.configurationVersion
            || (own.targetsAge > StaleTargetsAge && peer.targetsAge + FetchInterval < own.targetsAge);
    };
    std::vector<std::string_view> sources;
    for (const auto& item : this->peers) {
        if (hasNewerRecords(item))
            sources.push_back(item.first);
    }
    if (sources.empty())
        return;
    this->lastFetch = now;
    std::uniform_int_distribution<std::size_t> pick { 0, sources.size() - 1 };
    commands.push_back(FetchRecords { std::string { sources[pick(this->random)] }, own.targetsAge > StaleTargetsAge });
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
