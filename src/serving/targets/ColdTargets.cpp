#include "serving/targets/ColdTargets.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>

#include <xxhash.h>

#include "serving/LoadLedger.h"

namespace marigoldpaddle {

namespace {

// A cold period that a later statement extends by less than this is the same one: statements grow older on their way.
constexpr Duration ExtensionTolerance = std::chrono::milliseconds { 500 };

// Orders instances differently for each target.
std::uint64_t rankOf(std::uint64_t target, std::uint64_t instance)
{
    const std::array pair { target, instance };
    return XXH3_64bits(pair.data(), sizeof(pair));
}

}

void ColdTargets::setAllowances(std::map<std::string, double, std::less<>> perSecond)
{
    this->allowances = std::move(perSecond);
}

void ColdTargets::setInstances(InstanceIdentity self, std::span<const InstanceIdentity> peers, TimePoint now)
{
    this->startedAt = this->startedAt.value_or(now);
    this->self = self;
    for (const auto& peer : peers)
        this->known.insert_or_assign(peer.address, std::pair { peer, now });
}

bool ColdTargets::record(const TargetEntry& target, Duration remaining, TimePoint now)
{
    if (remaining <= Duration::zero() || !this->allowances.contains(target.service))
        return false;
    return this->record({ LoadLedger::hashOf(target.id), target.incarnation, now + std::min(remaining, LongestPeriod),
                            LoadLedger::hashOf(target.availabilityZone) },
        now);
}

bool ColdTargets::learn(const ColdTargetStatement& statement, TimePoint now)
{
    if (this->allowances.empty() || statement.until <= now || statement.until > now + LongestPeriod)
        return false;
    return this->record(statement, now);
}

bool ColdTargets::record(const ColdTargetStatement& statement, TimePoint now)
{
    auto& known = this->cold[statement.target];
    if (statement.incarnation < known.incarnation)
        return false;
    const bool wasCold = statement.incarnation == known.incarnation && known.until > now;
    const bool isNews = !wasCold || statement.until > known.until + ExtensionTolerance;
    known.until = wasCold ? std::max(known.until, statement.until) : statement.until;
    known.incarnation = statement.incarnation;
    known.zone = statement.zone;
    if (isNews)
        known.newsAt = now;
    return isNews;
}

// The cold period that the target is in; null if it is in none.
const ColdTargets::Cold* ColdTargets::find(const TargetEntry& target, TimePoint now) const
{
    if (this->cold.empty() || !this->allowances.contains(target.service))
        return nullptr;
    const auto found = this->cold.find(LoadLedger::hashOf(target.id));
    const bool isCold
        = found != this->cold.end() && found->second.until > now && target.incarnation <= found->second.incarnation;
    return isCold ? &found->second : nullptr;
}

// Requests that this instance may send to the target within a window.
std::size_t ColdTargets::share(const TargetEntry& target, const Cold& cold, TimePoint now) const
{
    if (!this->startedAt || now - *this->startedAt < StartupPeriod)
        return 0;
    const auto requests = static_cast<std::size_t>(std::max(1.0, std::floor(this->allowances.at(target.service))));
    const auto instances = this->known.size() + 1;
    const auto sharers = std::min(requests, instances);
    const auto hash = LoadLedger::hashOf(target.id);
    const auto order = [&](const InstanceIdentity& instance) {
        return std::pair { instance.zone != cold.zone, rankOf(hash, instance.address) };
    };
    const auto own = order(this->self);
    const auto before = std::ranges::count_if(this->known | std::views::values,
        [&](const auto& peer) { return peer.first.address != this->self.address && order(peer.first) < own; });
    return static_cast<std::size_t>(before) < sharers ? requests / sharers : 0;
}

std::size_t ColdTargets::sentWithinWindow(const Cold& cold, TimePoint now)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(cold.sent, [&](TimePoint sentAt) { return now - sentAt < Window; }));
}

bool ColdTargets::isCold(const TargetEntry& target, TimePoint now) const
{
    return this->find(target, now) != nullptr;
}

bool ColdTargets::mayTake(const TargetEntry& target, TimePoint now) const
{
    const auto* found = this->find(target, now);
    return !found || sentWithinWindow(*found, now) < this->share(target, *found, now);
}

bool ColdTargets::tryTake(const TargetEntry& target, TimePoint now)
{
    if (!this->find(target, now))
        return true;
    if (!this->mayTake(target, now))
        return false;
    auto& sent = this->cold.at(LoadLedger::hashOf(target.id)).sent;
    std::erase_if(sent, [&](TimePoint sentAt) { return now - sentAt >= Window; });
    sent.push_back(now);
    return true;
}

void ColdTargets::giveBack(const TargetEntry& target, TimePoint takenAt)
{
    const auto found = this->cold.find(LoadLedger::hashOf(target.id));
    if (found == this->cold.end())
        return;
    auto& sent = found->second.sent;
    if (const auto taken = std::ranges::find(sent, takenAt); taken != sent.end())
        sent.erase(taken);
}

TimePoint ColdTargets::nextAt(const TargetEntry& target, TimePoint now) const
{
    const auto* found = this->find(target, now);
    if (!found || this->mayTake(target, now))
        return now;
    const auto share = this->share(target, *found, now);
    if (share == 0)
        return found->until;
    // The request that has to leave the window is the one `share` sends ago.
    const auto leaving = found->sent[found->sent.size() - share];
    return std::min(found->until, leaving + Window);
}

std::vector<ColdTargetStatement> ColdTargets::newsSince(TimePoint since, TimePoint now) const
{
    std::vector<ColdTargetStatement> news;
    for (const auto& [target, cold] : this->cold) {
        if (cold.newsAt >= since && cold.until > now)
            news.push_back({ target, cold.incarnation, cold.until, cold.zone });
    }
    return news;
}

std::size_t ColdTargets::size(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->cold, [&](const auto& item) { return item.second.until > now; }));
}

void ColdTargets::expire(TimePoint now)
{
    std::erase_if(this->cold, [&](const auto& item) { return item.second.until + Window <= now; });
    std::erase_if(this->known, [&](const auto& item) { return now - item.second.second > InstanceMemory; });
}

}
