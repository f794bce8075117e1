#include <marigoldpaddle/OrphanReclaimer.h>

#include <algorithm>
#include <charconv>
#include <ranges>

namespace marigoldpaddle {

namespace {

// If an announcement made this long after the start of an allocation does not list it, the owner no longer uses it.
constexpr std::chrono::seconds AnnouncementGrace { 2 };
constexpr std::chrono::seconds CancelRetryDelay { 1 };
// State of gateways that hold nothing is dropped this long after their last announcement.
constexpr std::chrono::minutes InactiveRetention { 10 };
// Gateways announce their holdings every 500 ms. One that has not announced for this long is presumed dead.
constexpr std::chrono::seconds GatewayTimeout { 5 };
// The last contact with other instances counts as recent for this long.
constexpr std::chrono::seconds ConnectionTimeout { 2 };
// Ids tried on an engine that cannot list its allocations: this many sequence numbers on either side of the highest one
// seen, and this many attempts of each.
constexpr std::uint64_t CandidateSequences = 256;
constexpr std::uint64_t CandidateAttempts = 2;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

}

RequestId makeRequestId(const InstanceId& owner, std::uint64_t sequence)
{
    return { owner.name + "-" + std::to_string(owner.incarnation) + "-" + std::to_string(sequence) };
}

RequestId makeAttemptId(const RequestId& request, std::uint64_t attempt)
{
    return { request.value + "." + std::to_string(attempt) };
}

std::optional<RequestOrigin> originOf(const RequestId& id)
{
    std::string_view text { id.value };
    std::optional<std::uint64_t> attempt { 0 };
    const auto dot = text.rfind('.');
    if (dot != std::string_view::npos && text.find('-', dot) == std::string_view::npos) {
        attempt = parseNumber(text.substr(dot + 1));
        text = text.substr(0, dot);
    }
    const auto last = text.rfind('-');
    if (last == std::string_view::npos || last == 0)
        return std::nullopt;
    const auto middle = text.rfind('-', last - 1);
    if (middle == std::string_view::npos || middle == 0)
        return std::nullopt;
    const auto incarnation = parseNumber(text.substr(middle + 1, last - middle - 1));
    const auto sequence = parseNumber(text.substr(last + 1));
    if (!incarnation || !sequence || !attempt)
        return std::nullopt;
    return RequestOrigin { { std::string { text.substr(0, middle) }, *incarnation }, *sequence, *attempt };
}

void OrphanReclaimer::noteGrant(const RequestId& id, std::span<const GrantPart> parts, TimePoint expiry, TimePoint now)
{
    this->noteSequence(id);
    for (const auto& part : parts) {
        auto& entry = this->entries.try_emplace({ part.target, id }, Entry { 0, now, now }).first->second;
        entry.tokens = part.tokens;
        entry.startedAt = expiry;
    }
}

void OrphanReclaimer::noteFinished(const RequestId& id)
{
    std::erase_if(this->entries, [&](const auto& each) { return each.first.id == id; });
}

void OrphanReclaimer::noteHoldings(const InstanceId& owner, std::span<const Holding> holdings, TimePoint now)
{
    auto& announcement = this->announcements[owner];
    announcement.at = now;
    announcement.ids.clear();
    for (const auto& holding : holdings) {
        announcement.ids.insert(holding.id);
        this->noteSequence(holding.id);
        for (const auto& part : holding.parts) {
            auto& entry = this->entries.try_emplace({ part.target, holding.id }, Entry { 0, now, now }).first->second;
            entry.tokens = part.tokens;
        }
    }
    auto& newest = this->newestIncarnation[owner.name];
    newest = std::max(newest, owner.incarnation);
}

void OrphanReclaimer::noteConnected(TimePoint now)
{
    if (this->lastConnectedAt + ConnectionTimeout < now)
        this->connectedSince = now;
    this->lastConnectedAt = now;
}

void OrphanReclaimer::noteReport(const LoadReport& report, TimePoint now)
{
    if (!report.allocations) {
        this->reconcileUsedTokens(report, now);
        return;
    }
    this->unaccounted.erase(report.target);
    std::set<RequestId> listed;
    for (const auto& allocation : *report.allocations) {
        listed.insert(allocation.request);
        this->noteSequence(allocation.request);
        auto& entry
            = this->entries.try_emplace({ report.target, allocation.request }, Entry { 0, now, now }).first->second;
        entry.tokens = allocation.tokens;
        entry.startedAt = report.measuredAt - allocation.age;
        entry.isReported = true;
    }
    // An allocation that the engine listed before and no longer lists is free. One that it has never listed may belong
    // to a request that has not reached the engine yet.
    std::erase_if(this->entries, [&](const auto& each) {
        return each.first.target == report.target && each.second.isReported && !listed.contains(each.first.id);
    });
}

void OrphanReclaimer::reconcileUsedTokens(const LoadReport& report, TimePoint now)
{
    std::uint64_t accounted = 0;
    for (const auto& [key, entry] : this->entries)
        accounted += key.target == report.target ? entry.tokens : 0;
    const auto excess = report.usedTokens > accounted ? report.usedTokens - accounted : 0;
    this->unaccounted[report.target] = excess;
    if (excess > 0)
        this->addCandidateIds(report.target, now);
}

// Adds entries for all attempt ids that replaced or dead gateways may have used on an engine that cannot list its
// allocations.
void OrphanReclaimer::addCandidateIds(const std::string& target, TimePoint now)
{
    for (const auto& [instance, highest] : this->highestSequence) {
        if (!this->isReplaced(instance) && !this->isPresumedDead(instance, Entry {}, now))
            continue;
        const auto first = highest > CandidateSequences ? highest - CandidateSequences : 0;
        for (auto sequence = first; sequence <= highest + CandidateSequences; ++sequence) {
            const auto request = makeRequestId(instance, sequence);
            for (std::uint64_t attempt = 1; attempt <= CandidateAttempts; ++attempt)
                this->entries.try_emplace({ target, makeAttemptId(request, attempt) }, Entry { 0, now, now });
        }
    }
}

void OrphanReclaimer::noteCancelled(const CancelAllocation& cancelled)
{
    this->entries.erase(cancelled);
}

void OrphanReclaimer::removeTarget(std::string_view target)
{
    std::erase_if(this->entries, [&](const auto& each) { return each.first.target == target; });
    if (const auto found = this->unaccounted.find(target); found != this->unaccounted.end())
        this->unaccounted.erase(found);
}

std::vector<CancelAllocation> OrphanReclaimer::decide(TimePoint now)
{
    this->dropInactiveGateways(now);
    std::vector<CancelAllocation> cancels;
    for (auto& [key, entry] : this->entries) {
        const auto isDue = entry.cancelledAt == TimePoint {} || entry.cancelledAt + CancelRetryDelay <= now;
        if (!isDue || !this->isOrphan(key, entry, now))
            continue;
        entry.cancelledAt = now;
        cancels.push_back(key);
    }
    return cancels;
}

bool OrphanReclaimer::isOrphan(const Key& key, const Entry& entry, TimePoint now) const
{
    const auto origin = originOf(key.id);
    if (!origin)
        return false;
    return this->isReplaced(origin->owner) || this->isPresumedDead(origin->owner, entry, now)
        || this->isReleasedByOwner(key, origin->owner, entry);
}

bool OrphanReclaimer::isReleasedByOwner(const Key& key, const InstanceId& owner, const Entry& entry) const
{
    const auto announced = this->announcements.find(owner);
    return announced != this->announcements.end() && announced->second.at >= entry.startedAt + AnnouncementGrace
        && !announced->second.ids.contains(key.id);
}

bool OrphanReclaimer::isReplaced(const InstanceId& instance) const
{
    const auto newest = this->newestIncarnation.find(instance.name);
    return newest != this->newestIncarnation.end() && newest->second > instance.incarnation;
}

bool OrphanReclaimer::isPresumedDead(const InstanceId& instance, const Entry& entry, TimePoint now) const
{
    if (this->lastConnectedAt + ConnectionTimeout < now)
        return false;
    auto since = std::max(entry.firstSeen, this->connectedSince);
    const auto announced = this->announcements.find(instance);
    if (announced != this->announcements.end())
        since = std::max(since, announced->second.at);
    return since + GatewayTimeout < now;
}

void OrphanReclaimer::dropReleased(TimePoint now)
{
    std::erase_if(this->entries, [&](const auto& each) {
        const auto origin = originOf(each.first.id);
        return !origin || this->isReplaced(origin->owner)
            || this->isReleasedByOwner(each.first, origin->owner, each.second);
    });
    this->dropInactiveGateways(now);
}

// Drops the state of gateways that have not announced for InactiveRetention, unless entries of theirs remain.
void OrphanReclaimer::dropInactiveGateways(TimePoint now)
{
    std::set<InstanceId> holders;
    for (const auto& key : this->entries | std::views::keys) {
        if (const auto origin = originOf(key.id))
            holders.insert(origin->owner);
    }
    std::erase_if(this->announcements,
        [&](const auto& each) { return each.second.at + InactiveRetention < now && !holders.contains(each.first); });
    std::erase_if(this->highestSequence,
        [&](const auto& each) { return !this->announcements.contains(each.first) && !holders.contains(each.first); });
}

void OrphanReclaimer::noteSequence(const RequestId& id)
{
    const auto origin = originOf(id);
    if (!origin)
        return;
    auto& highest = this->highestSequence[origin->owner];
    highest = std::max(highest, origin->sequence);
}

std::uint64_t OrphanReclaimer::unaccountedTokens(std::string_view target) const
{
    const auto found = this->unaccounted.find(target);
    return found == this->unaccounted.end() ? 0 : found->second;
}

std::size_t OrphanReclaimer::size() const
{
    return this->entries.size();
}

}
