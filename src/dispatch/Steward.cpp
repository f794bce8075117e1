#include <marigoldpaddle/Steward.h>

#include <algorithm>
#include <charconv>
#include <ranges>

namespace marigoldpaddle {

namespace {

// An owner that has announced its holdings this long after an allocation began knows whether it holds it.
constexpr std::chrono::seconds DisclaimGrace { 2 };
constexpr std::chrono::seconds CancelRetryPause { 1 };
constexpr std::chrono::minutes SilentRetention { 10 };
// A gateway announces every half second; one that is silent for so long is lost.
constexpr std::chrono::seconds LostAfter { 5 };
constexpr std::chrono::seconds FreshConnection { 2 };
constexpr std::uint64_t EnumeratedSequences = 256;
constexpr std::uint64_t EnumeratedAttempts = 2;

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

void Steward::noteGrant(const RequestId& id, std::span<const GrantPart> parts, TimePoint expiry, TimePoint now)
{
    this->noteSequence(id);
    for (const auto& part : parts) {
        auto& entry = this->entries.try_emplace({ part.target, id }, Entry { 0, now, now }).first->second;
        entry.tokens = part.tokens;
        entry.startedAt = expiry;
    }
}

void Steward::noteFinished(const RequestId& id)
{
    std::erase_if(this->entries, [&](const auto& each) { return each.first.id == id; });
}

void Steward::noteHoldings(const InstanceId& owner, std::span<const Holding> holdings, TimePoint now)
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
    auto& newest = this->newestAlive[owner.name];
    newest = std::max(newest, owner.incarnation);
}

void Steward::noteConnected(TimePoint now)
{
    if (this->connectedAt + FreshConnection < now)
        this->connectedSince = now;
    this->connectedAt = now;
}

void Steward::noteReport(const LoadReport& report, TimePoint now)
{
    if (!report.allocations) {
        this->searchUnaccounted(report, now);
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
    // What the engine listed before and lists no more is free; what it never listed may be on its way to it.
    std::erase_if(this->entries, [&](const auto& each) {
        return each.first.target == report.target && each.second.isReported && !listed.contains(each.first.id);
    });
}

void Steward::searchUnaccounted(const LoadReport& report, TimePoint now)
{
    std::uint64_t accounted = 0;
    for (const auto& [key, entry] : this->entries)
        accounted += key.target == report.target ? entry.tokens : 0;
    const auto excess = report.usedTokens > accounted ? report.usedTokens - accounted : 0;
    this->unaccounted[report.target] = excess;
    if (excess > 0)
        this->enumerateDead(report.target, now);
}

// Names the requests that dead gateway runs may have begun on an engine that cannot list what it holds.
void Steward::enumerateDead(const std::string& target, TimePoint now)
{
    for (const auto& [instance, highest] : this->highestSequence) {
        if (!this->isReplaced(instance) && !this->isLost(instance, Entry {}, now))
            continue;
        const auto first = highest > EnumeratedSequences ? highest - EnumeratedSequences : 0;
        for (auto sequence = first; sequence <= highest + EnumeratedSequences; ++sequence) {
            const auto request = makeRequestId(instance, sequence);
            for (std::uint64_t attempt = 1; attempt <= EnumeratedAttempts; ++attempt)
                this->entries.try_emplace({ target, makeAttemptId(request, attempt) }, Entry { 0, now, now });
        }
    }
}

void Steward::noteCancelled(const CancelAllocation& cancelled)
{
    this->entries.erase(cancelled);
}

void Steward::forgetTarget(std::string_view target)
{
    std::erase_if(this->entries, [&](const auto& each) { return each.first.target == target; });
    if (const auto found = this->unaccounted.find(target); found != this->unaccounted.end())
        this->unaccounted.erase(found);
}

std::vector<CancelAllocation> Steward::decide(TimePoint now)
{
    this->forgetSilent(now);
    std::vector<CancelAllocation> cancels;
    for (auto& [key, entry] : this->entries) {
        const auto isDue = entry.askedAt == TimePoint {} || entry.askedAt + CancelRetryPause <= now;
        if (!isDue || !this->isOrphan(key, entry, now))
            continue;
        entry.askedAt = now;
        cancels.push_back(key);
    }
    return cancels;
}

bool Steward::isOrphan(const Key& key, const Entry& entry, TimePoint now) const
{
    const auto origin = originOf(key.id);
    if (!origin)
        return false;
    return this->isReplaced(origin->owner) || this->isLost(origin->owner, entry, now)
        || this->isDisclaimed(key, origin->owner, entry);
}

bool Steward::isDisclaimed(const Key& key, const InstanceId& owner, const Entry& entry) const
{
    const auto announced = this->announcements.find(owner);
    return announced != this->announcements.end() && announced->second.at >= entry.startedAt + DisclaimGrace
        && !announced->second.ids.contains(key.id);
}

bool Steward::isReplaced(const InstanceId& instance) const
{
    const auto newest = this->newestAlive.find(instance.name);
    return newest != this->newestAlive.end() && newest->second > instance.incarnation;
}

bool Steward::isLost(const InstanceId& instance, const Entry& entry, TimePoint now) const
{
    if (this->connectedAt + FreshConnection < now)
        return false;
    auto since = std::max(entry.firstSeen, this->connectedSince);
    const auto announced = this->announcements.find(instance);
    if (announced != this->announcements.end())
        since = std::max(since, announced->second.at);
    return since + LostAfter < now;
}

void Steward::forgetDisclaimed(TimePoint now)
{
    std::erase_if(this->entries, [&](const auto& each) {
        const auto origin = originOf(each.first.id);
        return !origin || this->isReplaced(origin->owner) || this->isDisclaimed(each.first, origin->owner, each.second);
    });
    this->forgetSilent(now);
}

// Forgets runs that have been silent for long, except those that still hold something.
void Steward::forgetSilent(TimePoint now)
{
    std::set<InstanceId> holders;
    for (const auto& key : this->entries | std::views::keys) {
        if (const auto origin = originOf(key.id))
            holders.insert(origin->owner);
    }
    std::erase_if(this->announcements,
        [&](const auto& each) { return each.second.at + SilentRetention < now && !holders.contains(each.first); });
    std::erase_if(this->highestSequence,
        [&](const auto& each) { return !this->announcements.contains(each.first) && !holders.contains(each.first); });
}

void Steward::noteSequence(const RequestId& id)
{
    const auto origin = originOf(id);
    if (!origin)
        return;
    auto& highest = this->highestSequence[origin->owner];
    highest = std::max(highest, origin->sequence);
}

std::uint64_t Steward::unaccountedTokens(std::string_view target) const
{
    const auto found = this->unaccounted.find(target);
    return found == this->unaccounted.end() ? 0 : found->second;
}

std::size_t Steward::size() const
{
    return this->entries.size();
}

}
