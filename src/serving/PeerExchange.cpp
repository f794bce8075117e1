#include "serving/PeerExchange.h"

#include <algorithm>
#include <utility>

namespace marigoldpaddle {

namespace {

constexpr std::size_t IntroductionsPerNotice = 4;
constexpr Duration ShortestValidity = std::chrono::milliseconds { 1500 };

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
            this->peers.try_emplace(address, Peer { .knownSince = now });
    }
    auto& peer = this->peers[notice.sender];
    const bool isLaterIncarnation = notice.incarnation > peer.incarnation;
    if (!isLaterIncarnation && (notice.incarnation < peer.incarnation || notice.sequence <= peer.sequence))
        return false;
    if (!notice.leaving && (isLaterIncarnation || !this->isLive(peer, now)))
        this->newcomers.push_back(notice.sender);
    peer.availabilityZone = notice.availabilityZone;
    peer.incarnation = notice.incarnation;
    peer.sequence = notice.sequence;
    peer.configurationVersion = static_cast<std::uint64_t>(notice.configurationVersion);
    peer.targetsAge = std::chrono::milliseconds { std::max<std::int64_t>(0, notice.targetsAgeMs) };
    peer.validity = std::chrono::milliseconds { std::clamp<std::int64_t>(notice.validMs, 100, 60'000) };
    peer.heardAt = now;
    if (notice.leaving)
        peer.heardAt = now - peer.validity;
    return true;
}

PeerCommands PeerExchange::greet(TimePoint now)
{
    PeerCommands commands;
    for (auto& address : std::exchange(this->newcomers, {})) {
        this->peers[address].triedAt = now;
        commands.push_back(SendNotice { std::move(address) });
    }
    return commands;
}

bool PeerExchange::isLive(const Peer& peer, TimePoint now) const
{
    return peer.heardAt != TimePoint {} && now - peer.heardAt < peer.validity;
}

std::size_t PeerExchange::livePeers(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->peers, [&](const auto& item) { return this->isLive(item.second, now); }));
}

Duration PeerExchange::period(TimePoint now) const
{
    return std::max<Duration>(ShortestPeriod, DatagramShare * std::min(Fanout, this->livePeers(now)));
}

Duration PeerExchange::validity(TimePoint now) const
{
    // Three rounds in which every peer was told, at the slower of the two paces.
    const auto rounds = 1 + this->livePeers(now) / Fanout;
    return std::max<Duration>(ShortestValidity, 3 * rounds * std::max<Duration>(IdlePeriod, this->period(now)));
}

PeerCommands PeerExchange::tick(const OwnKnowledge& own, bool didChange, TimePoint now)
{
    PeerCommands commands;
    if (now - this->lastTold >= (didChange ? this->period(now) : IdlePeriod))
        this->tellLivePeers(commands, now);
    this->tryContacts(commands, now);
    this->askPeers(commands, own, now);
    return commands;
}

PeerCommands PeerExchange::nudge(TimePoint now)
{
    PeerCommands commands;
    const auto refill = std::chrono::duration<double>(now - this->lastRefill).count() * NudgesPerSecond;
    this->nudges = std::min(NudgeBurst, this->nudges + refill);
    this->lastRefill = now;
    const auto needed = static_cast<double>(std::min(Fanout, this->livePeers(now)));
    if (this->nudges < needed)
        return commands;
    this->nudges -= needed;
    this->tellLivePeers(commands, now);
    return commands;
}

void PeerExchange::tellLivePeers(PeerCommands& commands, TimePoint now)
{
    this->lastTold = now;
    std::vector<std::string_view> near;
    std::vector<std::string_view> far;
    for (const auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now))
            (peer.availabilityZone == this->availabilityZone ? near : far).push_back(address);
    }
    const auto farMost = near.size() + far.size() <= Fanout ? far.size() : std::min(far.size(), FarFanout);
    std::vector<std::string_view> told;
    std::ranges::sample(far, std::back_inserter(told), static_cast<std::ptrdiff_t>(farMost), this->random);
    std::ranges::sample(
        near, std::back_inserter(told), static_cast<std::ptrdiff_t>(Fanout - told.size()), this->random);
    std::ranges::transform(told, std::back_inserter(commands),
        [](std::string_view address) { return SendNotice { std::string { address } }; });
}

void PeerExchange::tryContacts(PeerCommands& commands, TimePoint now)
{
    if (this->startedAt == TimePoint {})
        this->startedAt = now;
    const auto period = now - this->startedAt < FirstContacts ? FirstContactPeriod : ContactPeriod;
    for (auto& [address, peer] : this->peers) {
        if (this->isLive(peer, now) || now - peer.triedAt < period)
            continue;
        peer.triedAt = now;
        commands.push_back(SendNotice { address });
    }
    std::erase_if(this->peers, [&](const auto& item) {
        const auto& peer = item.second;
        return !peer.isSeed && now - std::max(peer.heardAt, peer.knownSince) > ForgetAfter;
    });
}

void PeerExchange::askPeers(PeerCommands& commands, const OwnKnowledge& own, TimePoint now)
{
    if (now - this->lastFetch < FetchPause)
        return;
    const auto hasNews = [&](const auto& item) {
        const auto& peer = item.second;
        if (!this->isLive(peer, now))
            return false;
        return peer.configurationVersion > own.configurationVersion
            || (own.targetsAge > StaleTargets && peer.targetsAge + FetchPause < own.targetsAge);
    };
    std::vector<std::string_view> informed;
    for (const auto& item : this->peers) {
        if (hasNews(item))
            informed.push_back(item.first);
    }
    if (informed.empty())
        return;
    this->lastFetch = now;
    std::uniform_int_distribution<std::size_t> pick { 0, informed.size() - 1 };
    commands.push_back(FetchRecords { std::string { informed[pick(this->random)] }, own.targetsAge > StaleTargets });
}

std::vector<std::string> PeerExchange::introductions()
{
    std::vector<std::string> all;
    std::ranges::transform(this->peers, std::back_inserter(all), [](const auto& item) { return item.first; });
    std::vector<std::string> some;
    std::ranges::sample(all, std::back_inserter(some), IntroductionsPerNotice, this->random);
    return some;
}

}
