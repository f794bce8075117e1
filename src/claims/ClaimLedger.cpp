#include <marigoldpaddle/ClaimLedger.h>

#include <algorithm>
#include <cstring>

namespace marigoldpaddle {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Steady clocks of different machines run at slightly different rates: an age is reduced by one part in this many
// before it is compared with a window.
constexpr int ClockDriftDivisor = 1000;

// Limit of stored tick times. Later ticks extend the last one, so a claim made after the limit is reached does not age
// any more and its window is never considered over.
constexpr std::size_t MaximumTicks = 131'072;

}

std::size_t ClaimDigestHash::operator()(const ClaimDigest& digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

std::uint32_t ClaimLedger::shardOf(const ClaimDigest& key)
{
    return key.back() % Shards;
}

ClaimLedger::Shard& ClaimLedger::shardFor(const ClaimDigest& key)
{
    return this->shards[shardOf(key)];
}

const ClaimLedger::Shard& ClaimLedger::shardFor(const ClaimDigest& key) const
{
    return this->shards[shardOf(key)];
}

ClaimLedger::ClaimLedger(std::uint64_t firstKept, std::vector<ClaimCheckpoint> checkpoints, TimePoint readAt)
    : lastTickReadAt(readAt)
{
    for (auto& shard : this->shards) {
        shard.appliesFromOffset = firstKept;
        shard.isComplete = firstKept == 0;
    }
    for (auto& checkpoint : checkpoints) {
        if (checkpoint.asOf >= firstKept)
            this->restore(std::move(checkpoint));
    }
    this->next = std::ranges::min_element(this->shards, {}, &Shard::appliesFromOffset)->appliesFromOffset;
}

void ClaimLedger::restore(ClaimCheckpoint checkpoint)
{
    auto& shard = this->shards.at(checkpoint.shard);
    shard.appliesFromOffset = checkpoint.asOf;
    shard.checkpointEndOffset = checkpoint.lastPartOffset;
    shard.claimsUpTo = checkpoint.claimsUpTo;
    shard.isComplete = true;
    for (auto& saved : checkpoint.entries) {
        const auto [position, isNew] = shard.entries.try_emplace(saved.claim.key);
        if (!isNew)
            continue;
        auto& entry = position->second;
        entry.body = saved.claim.body;
        entry.request = saved.claim.request;
        entry.claimedAt = saved.claimedAt;
        entry.windowMs = static_cast<std::uint32_t>(saved.claim.window.count());
        entry.allowedMs = static_cast<std::uint32_t>(saved.claim.allowedTime.count());
        entry.ageAtCheckpointMs = static_cast<std::uint32_t>(saved.age.count());
        entry.tick = CheckpointNotReached;
        entry.holder = this->retainHolder(saved.claim.holder);
        if (saved.state != ClaimState::Claimed)
            this->setOutcome(entry, std::move(saved.outcome));
        ++this->entryCount;
    }
    for (const auto& release : checkpoint.releases)
        addRelease(shard, release);
}

ClaimChanges ClaimLedger::apply(std::uint64_t offset, std::string_view record, TimePoint readAt)
{
    ClaimChanges changes;
    if (offset < this->next)
        return changes;
    this->next = offset + 1;
    auto decoded = decodeBatch(record);
    if (!decoded) {
        ++this->malformedRecordCount;
        return changes;
    }
    auto& batch = decoded.value();
    this->applyTick(offset, batch.tick, readAt);
    const auto applies = [&](const ClaimDigest& key) {
        changes.keys.push_back(key);
        return offset >= this->shardFor(key).appliesFromOffset;
    };
    for (const auto& expiry : batch.expiries) {
        if (applies(expiry.key))
            this->applyExpiry(expiry);
    }
    for (const auto& release : batch.releases) {
        if (applies(release.key))
            this->applyRelease(offset, release);
    }
    for (auto& outcome : batch.outcomes) {
        if (applies(outcome.claim.key))
            this->applyOutcome(std::move(outcome));
    }
    for (const auto& claim : batch.claims) {
        if (applies(claim.key))
            this->applyClaim(offset, batch.readUpTo, claim);
    }
    for (const auto shard : batch.resets)
        this->applyReset(offset, batch.readUpTo, shard);
    if (batch.checkpoint)
        this->startAgeMeasurement(offset, *batch.checkpoint);
    if (batch.checkpoint && batch.checkpoint->part + 1 == batch.checkpoint->parts)
        changes.checkpointedShard = batch.checkpoint->shard;
    return changes;
}

// Starts the aging of a checkpoint's entries at the record of its last part: their ages were measured when the
// checkpoint was written.
void ClaimLedger::startAgeMeasurement(std::uint64_t offset, const ClaimCheckpoint& checkpoint)
{
    auto& shard = this->shards.at(checkpoint.shard);
    if (offset != shard.checkpointEndOffset || shard.appliesFromOffset != checkpoint.asOf)
        return;
    for (auto& [key, entry] : shard.entries) {
        if (entry.tick == CheckpointNotReached)
            entry.tick = this->currentTick();
    }
}

// Only ticks whose anchor is the last tick applied advance the time. Their elapsed time lies between two records that
// this reader has read, so no interval is counted twice, not even if a paused writer appends an old tick.
void ClaimLedger::applyTick(std::uint64_t offset, const std::optional<ClaimTick>& tick, TimePoint readAt)
{
    if (!tick || (this->lastTickOffset && tick->anchor < *this->lastTickOffset))
        return;
    const auto isNextInChain = this->lastTickOffset && tick->anchor == *this->lastTickOffset;
    const auto step = isNextInChain ? tick->elapsed : milliseconds { 0 };
    if (this->tickTimes.size() < MaximumTicks)
        this->tickTimes.push_back(this->tickTimes.back() + step);
    else
        this->tickTimes.back() += step;
    this->lastTickOffset = offset;
    this->lastTickReadAt = readAt;
}

void ClaimLedger::applyExpiry(const ClaimReference& reference)
{
    if (this->findHeldBy(reference))
        this->erase(reference);
}

void ClaimLedger::applyRelease(std::uint64_t offset, const ClaimReference& reference)
{
    auto& shard = this->shardFor(reference.key);
    addRelease(shard, { reference.request, offset });
    while (shard.releaseOrder.front().releasedAt + MaximumClaimLag < offset) {
        const auto& oldest = shard.releaseOrder.front();
        const auto found = shard.releases.find(oldest.request);
        if (found != shard.releases.end() && found->second == oldest.releasedAt)
            shard.releases.erase(found);
        shard.releaseOrder.pop_front();
    }
    const auto* entry = this->findHeldBy(reference);
    if (entry && entry->state == ClaimState::Claimed)
        this->erase(reference);
}

void ClaimLedger::addRelease(Shard& shard, const ClaimRelease& release)
{
    shard.releases[release.request] = release.releasedAt;
    shard.releaseOrder.push_back(release);
}

void ClaimLedger::applyOutcome(SettledClaim settled)
{
    auto* entry = this->findHeldBy(settled.claim);
    if (entry && entry->state != ClaimState::Completed)
        this->setOutcome(*entry, std::move(settled.outcome));
}

void ClaimLedger::applyClaim(std::uint64_t offset, std::uint64_t readUpTo, const Claim& claim)
{
    this->shardFor(claim.key).claimsUpTo = offset + 1;
    const auto isTooLate = readUpTo > offset || offset - readUpTo > MaximumClaimLag;
    if (isTooLate || this->isReleased({ claim.key, claim.request }))
        return;
    const auto [position, isNew] = this->shardFor(claim.key).entries.try_emplace(claim.key);
    if (!isNew)
        return;
    auto& entry = position->second;
    entry.body = claim.body;
    entry.request = claim.request;
    entry.holder = this->retainHolder(claim.holder);
    entry.claimedAt = offset;
    entry.tick = this->currentTick();
    entry.windowMs = static_cast<std::uint32_t>(claim.window.count());
    entry.allowedMs = static_cast<std::uint32_t>(claim.allowedTime.count());
    ++this->entryCount;
}

ClaimLedger::Entry* ClaimLedger::findHeldBy(const ClaimReference& reference)
{
    auto& entries = this->shardFor(reference.key).entries;
    const auto found = entries.find(reference.key);
    return found != entries.end() && found->second.request == reference.request ? &found->second : nullptr;
}

// Empties a shard whose records were trimmed before a checkpoint of it was written. The writer of the reset has read no
// claim of the shard for longer than the longest window, so all lost claims are over. A claim that the writer had not
// read makes the reset void. All readers that have read the claims since `readUpTo` come to the same decision.
void ClaimLedger::applyReset(std::uint64_t offset, std::uint64_t readUpTo, std::uint32_t number)
{
    auto& shard = this->shards.at(number);
    const auto hasReadClaims = shard.isComplete || shard.appliesFromOffset <= readUpTo;
    if (!hasReadClaims || shard.claimsUpTo > readUpTo)
        return;
    for (auto& [key, entry] : shard.entries)
        this->dropContents(entry);
    this->entryCount -= shard.entries.size();
    shard.entries.clear();
    shard.releases.clear();
    shard.releaseOrder.clear();
    shard.appliesFromOffset = offset + 1;
    shard.isComplete = true;
}

void ClaimLedger::erase(const ClaimReference& reference)
{
    auto& entries = this->shardFor(reference.key).entries;
    const auto found = entries.find(reference.key);
    this->dropContents(found->second);
    entries.erase(found);
    --this->entryCount;
}

void ClaimLedger::dropContents(Entry& entry)
{
    this->dropHolder(entry);
    if (entry.outcome)
        this->outcomeBytesHeld -= entry.outcome->body.size();
}

void ClaimLedger::setOutcome(Entry& entry, std::optional<CallOutcome> outcome)
{
    this->dropHolder(entry);
    entry.state = outcome ? ClaimState::Completed : ClaimState::Unknown;
    if (!outcome)
        return;
    entry.outcome = std::make_unique<CallOutcome>(boundedOutcome(std::move(*outcome)));
    this->outcomeBytesHeld += entry.outcome->body.size();
}

const InstanceId* ClaimLedger::retainHolder(const InstanceId& holder)
{
    const auto position = this->holders.try_emplace(holder, 0).first;
    ++position->second;
    return &position->first;
}

void ClaimLedger::dropHolder(Entry& entry)
{
    if (!entry.holder)
        return;
    const auto position = this->holders.find(*entry.holder);
    entry.holder = nullptr;
    if (--position->second == 0)
        this->holders.erase(position);
}

std::uint64_t ClaimLedger::nextOffset() const
{
    return this->next;
}

const ClaimLedger::Entry* ClaimLedger::find(const ClaimDigest& key) const
{
    const auto& entries = this->shardFor(key).entries;
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second;
}

bool ClaimLedger::isReleased(const ClaimReference& claim) const
{
    return this->shardFor(claim.key).releases.contains(claim.request);
}

bool ClaimLedger::isComplete(const ClaimDigest& key) const
{
    return this->shardFor(key).isComplete;
}

bool ClaimLedger::isShardComplete(std::uint32_t shard) const
{
    return this->shards.at(shard).isComplete;
}

bool ClaimLedger::isComplete() const
{
    return std::ranges::all_of(this->shards, &Shard::isComplete);
}

std::uint32_t ClaimLedger::currentTick() const
{
    return static_cast<std::uint32_t>(this->tickTimes.size() - 1);
}

milliseconds ClaimLedger::age(const Entry& entry, TimePoint now) const
{
    const milliseconds carried { entry.ageAtCheckpointMs };
    if (entry.tick >= this->currentTick())
        return carried;
    const auto sinceLastTick = duration_cast<milliseconds>(now - this->lastTickReadAt);
    return carried + this->tickTimes.back() - this->tickTimes[entry.tick + 1] + sinceLastTick;
}

bool ClaimLedger::isWindowExpired(const Entry& entry, TimePoint now) const
{
    const auto age = this->age(entry, now);
    return age - age / ClockDriftDivisor > milliseconds { entry.windowMs };
}

ClaimTick ClaimLedger::makeTick(TimePoint now) const
{
    if (!this->lastTickOffset)
        return {};
    return { *this->lastTickOffset, duration_cast<milliseconds>(this->timeSinceLastTick(now)) };
}

Duration ClaimLedger::timeSinceLastTick(TimePoint now) const
{
    return now - this->lastTickReadAt;
}

std::vector<ClaimReference> ClaimLedger::expiredClaims(std::uint32_t shard, TimePoint now) const
{
    std::vector<ClaimReference> claims;
    for (const auto& [key, entry] : this->shards.at(shard).entries) {
        if (this->isWindowExpired(entry, now))
            claims.push_back({ key, entry.request });
    }
    return claims;
}

std::vector<ClaimCheckpoint> ClaimLedger::checkpoint(
    std::uint32_t number, std::size_t partBytes, std::uint64_t id, TimePoint now) const
{
    constexpr std::size_t EntryBytes = 128; // Estimated encoded size of an entry without its outcome.
    const auto& shard = this->shards.at(number);
    std::vector<ClaimCheckpoint> parts;
    if (!shard.isComplete || this->next < shard.appliesFromOffset)
        return parts;
    const auto addPart = [&] {
        auto& part = parts.emplace_back();
        part.shard = number;
        part.asOf = this->next;
        part.id = id;
        part.claimsUpTo = shard.claimsUpTo;
    };
    addPart();
    std::size_t bytes = 0;
    for (const auto& [key, entry] : shard.entries) {
        if (bytes >= partBytes) {
            addPart();
            bytes = 0;
        }
        parts.back().entries.push_back(this->checkpointEntry(key, entry, now));
        bytes += EntryBytes + (entry.outcome ? entry.outcome->body.size() : 0);
    }
    parts.front().releases.assign(shard.releaseOrder.begin(), shard.releaseOrder.end());
    for (std::uint32_t part = 0; part < parts.size(); ++part) {
        parts[part].part = part;
        parts[part].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

ClaimCheckpointEntry ClaimLedger::checkpointEntry(const ClaimDigest& key, const Entry& entry, TimePoint now) const
{
    ClaimCheckpointEntry saved;
    saved.claim = { key, entry.body, entry.request, entry.holder ? *entry.holder : InstanceId {},
        milliseconds { entry.windowMs }, milliseconds { entry.allowedMs } };
    saved.claimedAt = entry.claimedAt;
    saved.age = this->age(entry, now);
    saved.state = entry.state;
    if (entry.outcome)
        saved.outcome = *entry.outcome;
    return saved;
}

std::size_t ClaimLedger::size() const
{
    return this->entryCount;
}

std::size_t ClaimLedger::outcomeBytes() const
{
    return this->outcomeBytesHeld;
}

std::uint64_t ClaimLedger::malformedRecords() const
{
    return this->malformedRecordCount;
}

}
