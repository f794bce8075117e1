#include "serving/RelayPeers.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <utility>
#include <vector>

#include <xxhash.h>

namespace marigoldpaddle {

RelayPeers::RelayPeers(std::string availabilityZone, std::mt19937_64 random)
    : availabilityZone(std::move(availabilityZone))
    , random(random)
{
}

void RelayPeers::update(std::string_view name, RelayPeer peer, TimePoint now, Duration validity)
{
    std::erase_if(this->entries, [&](const auto& item) { return now >= item.second.validUntil; });
    std::erase_if(this->avoidedUntil, [&](const auto& item) { return now >= item.second; });
    this->entries[std::string { name }] = { std::move(peer), now + validity };
}

std::uint64_t RelayPeers::serviceHash(std::string_view service)
{
    return XXH3_64bits(service.data(), service.size());
}

bool RelayPeers::isSound(const Entry& entry, std::uint64_t service, TimePoint now)
{
    return now < entry.validUntil && !entry.peer.unreachableServices.contains(service);
}

bool RelayPeers::isUsable(const Entry& entry, std::uint64_t service, TimePoint now)
{
    return RelayPeers::isSound(entry, service, now) && !entry.peer.isLeaving && !entry.peer.address.empty();
}

std::size_t RelayPeers::load(const RelayPeer& peer) const
{
    const auto found = this->outstanding.find(peer.address);
    return peer.relayedRequests + (found == this->outstanding.end() ? 0 : found->second);
}

std::optional<std::string> RelayPeers::choose(
    std::string_view service, const std::set<std::string>& excluded, TimePoint now)
{
    const auto hash = RelayPeers::serviceHash(service);
    std::vector<const RelayPeer*> local;
    std::vector<const RelayPeer*> all;
    std::size_t livingLocal = 0;
    for (const auto& entry : this->entries | std::views::values) {
        const bool isLocal = entry.peer.availabilityZone == this->availabilityZone;
        if (isLocal && now < entry.validUntil)
            ++livingLocal;
        const auto avoided = this->avoidedUntil.find(entry.peer.address);
        const auto used = this->outstanding.find(entry.peer.address);
        if (!RelayPeers::isUsable(entry, hash, now) || excluded.contains(entry.peer.address)
            || (avoided != this->avoidedUntil.end() && now < avoided->second)
            || (used != this->outstanding.end() && used->second >= MaximumOutstanding))
            continue;
        all.push_back(&entry.peer);
        if (isLocal)
            local.push_back(&entry.peer);
    }
    const auto& candidates = !local.empty() && 2 * local.size() >= livingLocal ? local : all;
    std::array<const RelayPeer*, 2> drawn {};
    const auto end
        = std::ranges::sample(candidates, drawn.begin(), static_cast<std::ptrdiff_t>(drawn.size()), this->random);
    if (end == drawn.begin())
        return std::nullopt;
    // sample() keeps the order of the candidates, which must not decide between equal loads.
    if (end == drawn.end() && std::bernoulli_distribution {}(this->random))
        std::swap(drawn[0], drawn[1]);
    const auto* const chosen = *std::ranges::min_element(
        drawn.begin(), end, {}, [this](const RelayPeer* peer) { return this->load(*peer); });
    return chosen->address;
}

bool RelayPeers::isSound(std::string_view address, std::string_view service, TimePoint now) const
{
    const auto hash = RelayPeers::serviceHash(service);
    return std::ranges::any_of(this->entries | std::views::values,
        [&](const Entry& entry) { return entry.peer.address == address && RelayPeers::isSound(entry, hash, now); });
}

std::size_t RelayPeers::soundPeers(std::string_view service, TimePoint now) const
{
    const auto hash = RelayPeers::serviceHash(service);
    return static_cast<std::size_t>(std::ranges::count_if(this->entries | std::views::values,
        [&](const Entry& entry) { return RelayPeers::isUsable(entry, hash, now); }));
}

void RelayPeers::avoid(std::string_view address, TimePoint now, Duration period)
{
    auto& until = this->avoidedUntil[std::string { address }];
    until = std::max(until, now + period);
}

RelayPeers::Permit::Permit(RelayPeers& peers, std::string address)
    : peers(peers)
    , address(std::move(address))
{
    ++this->peers.outstanding[this->address];
}

RelayPeers::Permit::~Permit()
{
    const auto found = this->peers.outstanding.find(this->address);
    if (--found->second == 0)
        this->peers.outstanding.erase(found);
}

}
