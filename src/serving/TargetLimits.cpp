#include "serving/TargetLimits.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>

#include <xxhash.h>

#include "serving/LoadLedger.h"

namespace marigoldpaddle {

namespace {

// An equal statement that is later by less than this is the one that is known: it became younger on its way.
constexpr Duration RepetitionTolerance = std::chrono::seconds { 1 };

using Seconds = std::chrono::duration<double>;

Duration durationOf(Seconds seconds)
{
    return std::chrono::ceil<Duration>(seconds);
}

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// Orders instances differently for each target.
std::uint64_t rankOf(std::uint64_t target, std::uint64_t instance)
{
    const std::array pair { target, instance };
    return XXH3_64bits(pair.data(), sizeof(pair));
}

}

InstanceIdentity TargetLimits::instanceOf(const LimitSharer& sharer)
{
    return { hashOf(sharer.address), hashOf(sharer.availabilityZone) };
}

void TargetLimits::setInstances(const LimitSharer& self, std::span<const LimitSharer> peers, TimePoint now)
{
    this->self = instanceOf(self);
    this->peers.clear();
    std::ranges::transform(peers, std::back_inserter(this->peers), &TargetLimits::instanceOf);
    for (auto& [target, limit] : this->limits) {
        refill(limit, now);
        this->updateShare(target, limit);
    }
    this->cold.setInstances(this->self, this->peers, now);
}

// The share is zero unless this instance is among the first of the target's order.
void TargetLimits::updateShare(std::uint64_t target, Limit& limit) const
{
    limit.share = 0;
    if (!limit.perSecond)
        return;
    const auto instances = static_cast<double>(this->peers.size() + 1);
    const auto sharers = std::clamp(std::ceil(*limit.perSecond * SharersPerRequestRate), 1.0, instances);
    const auto order = [&](const InstanceIdentity& instance) {
        return std::pair { instance.zone != limit.zone, rankOf(target, instance.address) };
    };
    const auto own = order(this->self);
    const auto before
        = std::ranges::count_if(this->peers, [&](const InstanceIdentity& instance) { return order(instance) < own; });
    if (static_cast<double>(before) < sharers)
        limit.share = *limit.perSecond / sharers;
}

TargetLimits::Change TargetLimits::recordLimit(const TargetEntry& target, double perSecond, TimePoint now)
{
    const TargetLimitStatement statement { LoadLedger::hashOf(target.id), target.incarnation, perSecond, now,
        hashOf(target.availabilityZone) };
    return this->record(statement, now);
}

TargetLimits::Change TargetLimits::recordNoLimit(const TargetEntry& target, TimePoint sentAt, TimePoint now)
{
    const auto* limit = this->find(target);
    if (!limit || limit->statedAt > sentAt)
        return Change::None;
    return this->record({ LoadLedger::hashOf(target.id), target.incarnation, {}, now, limit->zone }, now);
}

TargetLimits::Change TargetLimits::learn(const TargetLimitStatement& statement, TimePoint now)
{
    if (statement.at + Lifetime <= now)
        return Change::None;
    const auto found = this->limits.find(statement.target);
    if (found == this->limits.end() || statement.incarnation > found->second.incarnation)
        return this->record(statement, now);
    const auto& known = found->second;
    const bool isSame = known.perSecond == statement.perSecond && statement.at - known.statedAt < RepetitionTolerance;
    return statement.at <= known.statedAt || isSame ? Change::None : this->record(statement, now);
}

TargetLimits::Change TargetLimits::record(const TargetLimitStatement& statement, TimePoint now)
{
    auto perSecond = statement.perSecond;
    if (perSecond)
        perSecond = std::max(LowestPerSecond, *perSecond);
    auto found = this->limits.find(statement.target);
    if (found == this->limits.end() && !perSecond)
        return Change::None;
    if (found == this->limits.end())
        found = this->limits.emplace(statement.target, Limit {}).first;
    auto& limit = found->second;
    if (statement.incarnation < limit.incarnation)
        return Change::None;
    if (statement.incarnation > limit.incarnation)
        limit = {};
    limit.incarnation = statement.incarnation;
    refill(limit, now);
    const auto previous = limit.perSecond;
    limit.statedAt = statement.at;
    limit.perSecond = perSecond;
    limit.zone = statement.zone;
    const bool isChanged = previous != perSecond;
    if (isChanged || statement.at - limit.refreshedAt >= RefreshPeriod) {
        limit.newsAt = now;
        limit.refreshedAt = statement.at;
    }
    if (!isChanged)
        return Change::None;
    this->updateShare(statement.target, limit);
    limit.tokens = perSecond ? std::min(limit.tokens, capacity(limit)) : 0;
    if (!perSecond)
        return Change::Ended;
    return !previous || *perSecond < *previous ? Change::Lowered : Change::Raised;
}

// The statement in force for this incarnation; null without a limit.
const TargetLimits::Limit* TargetLimits::find(const TargetEntry& target) const
{
    if (this->limits.empty())
        return nullptr;
    const auto found = this->limits.find(LoadLedger::hashOf(target.id));
    const bool isInForce
        = found != this->limits.end() && found->second.perSecond && target.incarnation <= found->second.incarnation;
    return isInForce ? &found->second : nullptr;
}

std::optional<double> TargetLimits::limit(const TargetEntry& target) const
{
    const auto* found = this->find(target);
    return found ? found->perSecond : std::nullopt;
}

double TargetLimits::capacity(const Limit& limit)
{
    return std::max(1.0, limit.share * Seconds { BurstPeriod }.count());
}

double TargetLimits::tokensAt(const Limit& limit, TimePoint now)
{
    if (limit.share <= 0)
        return 0;
    const auto gained = limit.share * std::max(0.0, Seconds { now - limit.refilledAt }.count());
    return std::min(capacity(limit), limit.tokens + gained);
}

void TargetLimits::refill(Limit& limit, TimePoint now)
{
    limit.tokens = tokensAt(limit, now);
    limit.refilledAt = now;
}

bool TargetLimits::mayTake(const TargetEntry& target, TimePoint now) const
{
    const auto* limit = this->find(target);
    return (!limit || tokensAt(*limit, now) >= 1) && this->cold.mayTake(target, now);
}

bool TargetLimits::tryTake(const TargetEntry& target, TimePoint now)
{
    if (!this->mayTake(target, now))
        return false;
    if (this->find(target)) {
        auto& limit = this->limits.at(LoadLedger::hashOf(target.id));
        refill(limit, now);
        limit.tokens -= 1;
    }
    return this->cold.tryTake(target, now);
}

void TargetLimits::giveBack(const TargetEntry& target, TimePoint takenAt, TimePoint now)
{
    this->cold.giveBack(target, takenAt);
    if (!this->find(target))
        return;
    auto& limit = this->limits.at(LoadLedger::hashOf(target.id));
    // The request was not taken from a limit that became known later.
    if (limit.newsAt > takenAt)
        return;
    refill(limit, now);
    limit.tokens = std::min(capacity(limit), limit.tokens + 1);
}

TimePoint TargetLimits::nextAt(const TargetEntry& target, TimePoint now) const
{
    const auto* limit = this->find(target);
    const auto coldUntil = this->cold.nextAt(target, now);
    if (!limit)
        return coldUntil;
    if (limit->share <= 0)
        return std::max(coldUntil, now + durationOf(Seconds { 1 / *limit->perSecond }));
    const auto missing = std::max(0.0, 1 - tokensAt(*limit, now));
    return std::max(coldUntil, now + durationOf(Seconds { missing / limit->share }));
}

std::vector<TargetLimitStatement> TargetLimits::newsSince(TimePoint since) const
{
    std::vector<TargetLimitStatement> news;
    for (const auto& [target, limit] : this->limits) {
        if (limit.newsAt >= since)
            news.push_back({ target, limit.incarnation, limit.perSecond, limit.statedAt, limit.zone });
    }
    return news;
}

std::size_t TargetLimits::size() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->limits, [](const auto& item) { return item.second.perSecond.has_value(); }));
}

void TargetLimits::expire(TimePoint now)
{
    std::erase_if(this->limits, [&](const auto& item) {
        const auto& limit = item.second;
        const bool isShared = !limit.perSecond || limit.share > 0;
        return limit.statedAt + (isShared ? Lifetime : 2 * Lifetime) <= now;
    });
    this->cold.expire(now);
}

RequestPermit::RequestPermit(TargetLimits& limits, const Clock& clock, TargetEntry target)
    : limits(limits)
    , clock(clock)
    , target(std::move(target))
{
    this->take();
}

RequestPermit::~RequestPermit()
{
    if (this->takenAt && !this->isUsed)
        this->limits.giveBack(this->target, *this->takenAt, this->clock.now());
}

// The request counts from the moment at which it is sent: while it waited for a connection, a second may have begun in
// which the target got its share.
bool RequestPermit::use()
{
    if (this->takenAt)
        this->limits.giveBack(this->target, *this->takenAt, this->clock.now());
    this->take();
    this->isUsed = this->takenAt.has_value();
    return this->isUsed;
}

void RequestPermit::take()
{
    const auto now = this->clock.now();
    this->takenAt = this->limits.tryTake(this->target, now) ? std::optional { now } : std::nullopt;
}

}
