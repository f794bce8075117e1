#include "claims/ClaimCoordinator.h"

#include <algorithm>
#include <ranges>

#include "claims/ClaimConversions.h"

namespace marigoldpaddle {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr Duration LivenessCheckPeriod = milliseconds { 250 };
constexpr Duration RetryAfter = std::chrono::seconds { 1 };
constexpr Duration ResetRetryDelay = std::chrono::seconds { 10 };
constexpr int ClockDriftDivisor = 1000; // See the same constant of ClaimLedger.
constexpr std::size_t MaximumRank = 4; // Higher ranks wait no longer than this one.

wire::ClaimAnswer makeAnswer(wire::ClaimVerdict::type verdict, Duration retryAfter = {})
{
    wire::ClaimAnswer answer;
    answer.verdict = verdict;
    answer.retryAfterMs = duration_cast<milliseconds>(retryAfter).count();
    answer.mayLand = false;
    return answer;
}

}

std::uint64_t firstCheckpointIdOf(const InstanceId& instance)
{
    constexpr unsigned CheckpointBits = 24;
    const auto digest = claimDigest({ instance.name, std::to_string(instance.incarnation) });
    return ClaimDigestHash {}(digest) << CheckpointBits;
}

ClaimCoordinator::ClaimCoordinator(const ClaimCoordinatorOptions& options, const HolderLiveness& liveness)
    : options(options)
    , liveness(liveness)
    , settlements(options.settlementLimit)
    , appendInterval(1 / options.appendsPerSecond)
    , appendTokens(options.appendBurst)
{
}

void ClaimCoordinator::load(ClaimLedger ledger, TimePoint now)
{
    this->claims = std::move(ledger);
    this->checkpointParts.clear();
    this->hasSeenMissingCheckpoint = false;
    this->claimReadAt.fill(now);
    for (std::uint32_t shard = 0; shard < ClaimLedger::Shards; ++shard) {
        const auto untilDue = this->options.checkpointPeriod * (shard + 1) / ClaimLedger::Shards;
        this->checkpointedAt[shard] = now + untilDue - this->options.checkpointPeriod;
    }
}

ClaimReplies ClaimCoordinator::submit(ClaimTicket ticket, const Claim& claim, TimePoint deadline, TimePoint now)
{
    ClaimReplies replies;
    const auto others = this->ticketsByKey.find(claim.key);
    if (others != this->ticketsByKey.end() && others->second.size() >= this->options.waitersPerKey) {
        replies.claims.push_back({ ticket, makeAnswer(wire::ClaimVerdict::InProgress, RetryAfter) });
        return replies;
    }
    const auto isFull = this->pendingCalls.size() >= this->options.pendingLimit;
    if (isFull || deadline <= now) {
        replies.claims.push_back({ ticket, makeAnswer(wire::ClaimVerdict::Unavailable, RetryAfter) });
        return replies;
    }
    PendingCall call;
    call.claim = claim;
    call.claim.window = std::min(claim.window, duration_cast<milliseconds>(this->options.maximumWindow));
    call.deadline = deadline;
    this->pendingCalls.emplace(ticket, std::move(call));
    this->ticketsByKey[claim.key].push_back(ticket);
    this->deadlines.emplace(deadline, ticket);
    this->evaluate(ticket, now, replies);
    return replies;
}

// Replies to a call if the ledger already determines the verdict; otherwise queues its claim to be appended, or leaves
// the call waiting for the holder of the key.
void ClaimCoordinator::evaluate(ClaimTicket ticket, TimePoint now, ClaimReplies& replies)
{
    const auto found = this->pendingCalls.find(ticket);
    if (found == this->pendingCalls.end())
        return;
    const auto& call = found->second;
    const auto isRequestReleased = this->claims.isReleased({ call.claim.key, call.claim.request });
    if (!this->claims.isComplete(call.claim.key) || isRequestReleased) {
        this->replyUnavailable(ticket, now, replies);
        return;
    }
    const auto* entry = this->claims.find(call.claim.key);
    const auto isOwn = entry && entry->request == call.claim.request;
    if (!entry || (!isOwn && this->claims.isWindowExpired(*entry, now)))
        this->queueClaim(ticket, now, replies);
    else
        this->evaluateHeldKey(ticket, call, *entry, now, replies);
}

void ClaimCoordinator::evaluateHeldKey(
    ClaimTicket ticket, const PendingCall& call, const ClaimLedger::Entry& entry, TimePoint now, ClaimReplies& replies)
{
    if (entry.body != call.claim.body) {
        this->replyTo(ticket, makeAnswer(wire::ClaimVerdict::Mismatch), now, replies);
        return;
    }
    if (entry.state == ClaimState::Completed) {
        this->replyRepeated(ticket, *entry.outcome, now, replies);
        return;
    }
    if (const auto* outcome = this->settlements.outcomeOf({ call.claim.key, entry.request })) {
        this->replyRepeated(ticket, *outcome, now, replies);
        return;
    }
    if (entry.state == ClaimState::Unknown) {
        this->replyTo(ticket, makeAnswer(wire::ClaimVerdict::Unknown), now, replies);
        return;
    }
    if (entry.request == call.claim.request)
        this->replyTo(ticket, makeAnswer(wire::ClaimVerdict::Won), now, replies);
    else if (this->isHolderLost(entry, now))
        this->replyTo(ticket, makeAnswer(wire::ClaimVerdict::Unknown), now, replies);
}

// Returns whether no settlement is to be expected from the holder, because it is dead or has sent none within its
// allowed time and the grace. The holder may have sent the call or, after a pause, may still send it, so no other call
// with the key may be sent.
bool ClaimCoordinator::isHolderLost(const ClaimLedger::Entry& entry, TimePoint now) const
{
    if (this->liveness.isDeadOrReplaced(*entry.holder))
        return true;
    return this->claims.age(entry, now) > milliseconds { entry.allowedMs } + this->options.settlementGrace;
}

void ClaimCoordinator::evaluateKey(const ClaimDigest& key, TimePoint now, ClaimReplies& replies)
{
    const auto found = this->ticketsByKey.find(key);
    if (found == this->ticketsByKey.end())
        return;
    const auto tickets = found->second;
    for (const auto ticket : tickets)
        this->evaluate(ticket, now, replies);
}

// Queues the claim of one call per key to be appended. Other calls with the key wait for its result.
void ClaimCoordinator::queueClaim(ClaimTicket ticket, TimePoint now, ClaimReplies& replies)
{
    auto& call = this->pendingCalls.at(ticket);
    if (call.stage != Stage::Waiting)
        return;
    if (this->isDown(now) || this->claims.size() + this->queue.size() >= this->options.entryLimit) {
        this->replyUnavailable(ticket, now, replies);
        return;
    }
    const auto candidate = this->candidates.try_emplace(call.claim.key, ticket).first;
    if (candidate->second != ticket)
        return;
    call.stage = Stage::Queued;
    this->queue.push_back(ticket);
}

void ClaimCoordinator::replyTo(ClaimTicket ticket, wire::ClaimAnswer answer, TimePoint now, ClaimReplies& replies)
{
    const auto found = this->pendingCalls.find(ticket);
    const auto& call = found->second;
    const auto key = call.claim.key;
    const auto isInFlight = call.mayLand || call.stage == Stage::InFlight;
    answer.mayLand = answer.verdict != wire::ClaimVerdict::Won && isInFlight;
    this->deadlines.erase({ call.deadline, ticket });
    this->pendingCalls.erase(found);
    replies.claims.push_back({ ticket, std::move(answer) });

    const auto others = this->ticketsByKey.find(key);
    std::erase(others->second, ticket);
    if (others->second.empty())
        this->ticketsByKey.erase(others);
    const auto candidate = this->candidates.find(key);
    if (candidate == this->candidates.end() || candidate->second != ticket)
        return;
    this->candidates.erase(candidate);
    this->evaluateKey(key, now, replies);
}

void ClaimCoordinator::replyUnavailable(ClaimTicket ticket, TimePoint now, ClaimReplies& replies)
{
    const auto retryAfter = std::max(RetryAfter, this->downUntil - now);
    this->replyTo(ticket, makeAnswer(wire::ClaimVerdict::Unavailable, retryAfter), now, replies);
}

void ClaimCoordinator::replyRepeated(
    ClaimTicket ticket, const CallOutcome& outcome, TimePoint now, ClaimReplies& replies)
{
    auto answer = makeAnswer(wire::ClaimVerdict::Repeated);
    answer.__set_outcome(outcomeToWire(outcome));
    this->replyTo(ticket, std::move(answer), now, replies);
}

bool ClaimCoordinator::settle(ClaimTicket ticket, const ClaimSettlementItem& item, ClaimReplies& replies, TimePoint now)
{
    if (this->isRecorded(item)) {
        replies.settlements.push_back(ticket);
        return true;
    }
    if (!this->settlements.add(ticket, item))
        return false;
    if (item.kind == ClaimSettlementItem::Kind::Outcome)
        this->evaluateKey(item.claim.key, now, replies);
    return true;
}

bool ClaimCoordinator::isRecorded(const ClaimSettlementItem& item) const
{
    if (item.kind == ClaimSettlementItem::Kind::NotSent)
        return this->claims.isReleased(item.claim);
    const auto* entry = this->claims.find(item.claim.key);
    if (!entry || entry->request != item.claim.request)
        return false;
    if (item.kind == ClaimSettlementItem::Kind::Outcome)
        return entry->state == ClaimState::Completed;
    return entry->state != ClaimState::Claimed;
}

ClaimReplies ClaimCoordinator::read(const LogPage& page, TimePoint now)
{
    ClaimReplies replies;
    if (this->isReadFailing) {
        this->isReadFailing = false;
        this->downUntil = now;
        this->backoff = {};
    }
    std::set<ClaimDigest> touched;
    for (const auto& record : page.records) {
        const auto changes = this->claims.apply(record.offset, record.data, now);
        touched.insert(changes.keys.begin(), changes.keys.end());
        for (const auto& key : changes.keys)
            this->claimReadAt[ClaimLedger::shardOf(key)] = now;
        if (!changes.checkpointedShard)
            continue;
        this->checkpointedAt.at(*changes.checkpointedShard) = now;
        if (!this->claims.isShardComplete(*changes.checkpointedShard))
            this->hasSeenMissingCheckpoint = true;
    }
    this->resolveAppends(page.next, now, replies);
    for (const auto& key : touched)
        this->evaluateKey(key, now, replies);
    return replies;
}

// Resolves the appends whose records have been read. If the answer to an append was lost and its record is not found up
// to the end of the log, its contents are appended again. This is safe even if the first append takes effect later: a
// claim that is appended twice counts once.
void ClaimCoordinator::resolveAppends(std::uint64_t logEnd, TimePoint now, ClaimReplies& replies)
{
    std::vector<PendingAppend> resolved;
    std::erase_if(this->pendingAppends, [&](PendingAppend& append) {
        const auto end = append.offset ? *append.offset + 1 : logEnd;
        const auto isResolved = append.isAnswered && this->claims.nextOffset() >= end;
        if (isResolved)
            resolved.push_back(std::move(append));
        return isResolved;
    });
    for (const auto& append : resolved) {
        this->resolveSettlements(append, replies);
        for (const auto ticket : append.tickets) {
            const auto found = this->pendingCalls.find(ticket);
            if (found == this->pendingCalls.end())
                continue;
            found->second.stage = Stage::Waiting;
            this->evaluate(ticket, now, replies);
        }
    }
}

void ClaimCoordinator::resolveSettlements(const PendingAppend& append, ClaimReplies& replies)
{
    for (const auto& claim : append.settlements) {
        const auto* item = this->settlements.find(claim);
        if (item && !append.offset && !this->isRecorded(*item))
            this->settlements.requeue(std::span { &claim, 1 });
        else
            std::ranges::copy(this->settlements.remove(claim), std::back_inserter(replies.settlements));
    }
}

ClaimReplies ClaimCoordinator::readFailed(TimePoint now)
{
    ClaimReplies replies;
    this->isReadFailing = true;
    this->startBackoff(now);
    this->failAllPending(now, replies);
    return replies;
}

void ClaimCoordinator::startBackoff(TimePoint now)
{
    this->backoff = std::clamp(this->backoff * 2, this->options.firstBackoff, this->options.maximumBackoff);
    this->downUntil = now + this->backoff;
}

// Replies to all pending calls while the log is unavailable, so that no caller waits for it. Calls that wait for the
// holder of their key get InProgress with a time to retry after; all others get Unavailable.
void ClaimCoordinator::failAllPending(TimePoint now, ClaimReplies& replies)
{
    while (!this->pendingCalls.empty()) {
        const auto ticket = this->pendingCalls.begin()->first;
        const auto& call = this->pendingCalls.begin()->second;
        const auto* entry = this->claims.find(call.claim.key);
        if (entry && call.stage == Stage::Waiting && !call.mayLand)
            this->replyTo(ticket, makeAnswer(wire::ClaimVerdict::InProgress, RetryAfter), now, replies);
        else
            this->replyUnavailable(ticket, now, replies);
    }
    this->queue.clear();
}

std::optional<std::string> ClaimCoordinator::nextAppend(TimePoint now)
{
    if (this->isAppending || this->isDown(now) || !this->hasWork(now) || !this->takeAppendToken(now))
        return std::nullopt;
    ClaimBatch batch;
    batch.readUpTo = this->claims.nextOffset();
    if (this->claims.timeSinceLastTick(now) >= this->options.tickPeriod)
        batch.tick = this->claims.makeTick(now);
    this->pendingAppends.emplace_back();
    this->isAppending = true;
    this->addSettlements(batch);
    this->addClaims(batch, now);
    this->addResets(batch, now);
    this->addCheckpoint(batch, now);
    return encodeBatch(batch);
}

void ClaimCoordinator::addSettlements(ClaimBatch& batch)
{
    this->pendingAppends.back().settlements
        = this->settlements.addTo(batch, this->options.batchItems, this->options.batchBytes);
}

void ClaimCoordinator::addClaims(ClaimBatch& batch, TimePoint now)
{
    while (!this->queue.empty() && batch.claims.size() < this->options.batchItems) {
        const auto ticket = this->queue.front();
        this->queue.pop_front();
        const auto found = this->pendingCalls.find(ticket);
        if (found == this->pendingCalls.end() || found->second.stage != Stage::Queued)
            continue;
        auto& call = found->second;
        const auto* entry = this->claims.find(call.claim.key);
        if (entry && this->claims.isWindowExpired(*entry, now))
            batch.expiries.push_back({ call.claim.key, entry->request });
        batch.claims.push_back(call.claim);
        call.stage = Stage::InFlight;
        this->pendingAppends.back().tickets.push_back(ticket);
    }
}

// Adds the next part of a checkpoint and the expiries of overdue claims. When a checkpoint is due, starts that of the
// shard whose last checkpoint is the oldest.
void ClaimCoordinator::addCheckpoint(ClaimBatch& batch, TimePoint now)
{
    if (this->checkpointParts.empty() && this->pendingExpiries.empty() && this->isCheckpointDue(now)) {
        const auto shard = this->shardWithOldestCheckpoint();
        const auto expiredClaims = this->claims.expiredClaims(shard, now);
        this->pendingExpiries.assign(expiredClaims.begin(), expiredClaims.end());
        const auto id = this->options.firstCheckpointId + this->checkpointsMade++;
        auto parts = this->claims.checkpoint(shard, this->options.batchBytes, id, now);
        std::ranges::move(parts, std::back_inserter(this->checkpointParts));
        this->checkpointedAt[shard] = now;
    }
    while (!this->pendingExpiries.empty() && batch.expiries.size() < this->options.batchItems) {
        batch.expiries.push_back(this->pendingExpiries.front());
        this->pendingExpiries.pop_front();
    }
    if (this->checkpointParts.empty())
        return;
    batch.checkpoint = std::move(this->checkpointParts.front());
    this->checkpointParts.pop_front();
    this->pendingAppends.back().checkpointedShard = batch.checkpoint->shard;
}

void ClaimCoordinator::addResets(ClaimBatch& batch, TimePoint now)
{
    for (std::uint32_t shard = 0; shard < ClaimLedger::Shards; ++shard) {
        if (!this->isResetDue(shard, now))
            continue;
        batch.resets.push_back(shard);
        this->claimReadAt[shard] += ResetRetryDelay;
    }
}

// An incomplete shard can be reset after the longest window: the windows of all claims that were lost are over.
bool ClaimCoordinator::isResetDue(std::uint32_t shard, TimePoint now) const
{
    const auto wait = this->options.maximumWindow + this->options.maximumWindow / ClockDriftDivisor;
    return !this->claims.isShardComplete(shard) && now - this->claimReadAt[shard] > wait;
}

bool ClaimCoordinator::isCheckpointDue(TimePoint now) const
{
    const auto writtenAt = this->checkpointedAt[this->shardWithOldestCheckpoint()];
    return this->claims.nextOffset() > 0 && now - writtenAt >= this->staggered(this->options.checkpointPeriod);
}

std::uint32_t ClaimCoordinator::shardWithOldestCheckpoint() const
{
    const auto oldest = std::ranges::min_element(this->checkpointedAt);
    return static_cast<std::uint32_t>(oldest - this->checkpointedAt.begin());
}

void ClaimCoordinator::appended(std::uint64_t offset)
{
    this->isAppending = false;
    this->backoff = {};
    this->pendingAppends.back().isAnswered = true;
    this->pendingAppends.back().offset = offset;
}

ClaimReplies ClaimCoordinator::appendFailed(PlatformError error, TimePoint now)
{
    ClaimReplies replies;
    this->isAppending = false;
    auto& append = this->pendingAppends.back();
    append.isAnswered = true;
    if (append.checkpointedShard) {
        this->checkpointParts.clear();
        this->checkpointedAt[*append.checkpointedShard] -= this->options.checkpointPeriod;
    }
    const auto isNotAppended = error == PlatformError::Unreachable || error == PlatformError::Rejected;
    for (const auto ticket : append.tickets) {
        const auto found = this->pendingCalls.find(ticket);
        if (found == this->pendingCalls.end())
            continue;
        found->second.mayLand = found->second.mayLand || !isNotAppended;
        found->second.stage = isNotAppended ? Stage::Waiting : Stage::InFlight;
    }
    if (!isNotAppended)
        return replies;
    this->settlements.requeue(append.settlements);
    this->pendingAppends.pop_back();
    this->startBackoff(now);
    this->failAllPending(now, replies);
    return replies;
}

ClaimReplies ClaimCoordinator::tick(TimePoint now)
{
    ClaimReplies replies;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto ticket = this->deadlines.begin()->second;
        const auto& call = this->pendingCalls.at(ticket);
        if (this->claims.find(call.claim.key) && call.stage == Stage::Waiting && !call.mayLand)
            this->replyTo(ticket, makeAnswer(wire::ClaimVerdict::InProgress, RetryAfter), now, replies);
        else
            this->replyUnavailable(ticket, now, replies);
    }
    if (now < this->nextLivenessCheck)
        return replies;
    this->nextLivenessCheck = now + LivenessCheckPeriod;
    std::vector<ClaimTicket> waiting;
    for (const auto& [ticket, call] : this->pendingCalls) {
        if (call.stage == Stage::Waiting)
            waiting.push_back(ticket);
    }
    for (const auto ticket : waiting)
        this->evaluate(ticket, now, replies);
    return replies;
}

TimePoint ClaimCoordinator::nextTick(TimePoint now) const
{
    auto next = now + std::chrono::seconds { 1 };
    if (!this->pendingCalls.empty())
        next = std::min({ next, this->deadlines.begin()->first, this->nextLivenessCheck });
    if (this->isAppending || !this->hasWork(now))
        return next;
    const auto isTokenMissing = this->appendTokensAt(now) < 1;
    const auto tokenAt = isTokenMissing ? this->tokensUpdatedAt + duration_cast<Duration>(this->appendInterval) : now;
    next = std::min(next, std::max(this->downUntil, tokenAt));
    return next;
}

bool ClaimCoordinator::hasWork(TimePoint now) const
{
    return !this->queue.empty() || this->settlements.hasUnsent() || !this->checkpointParts.empty()
        || !this->pendingExpiries.empty() || this->isTickDue(now) || this->isCheckpointDue(now)
        || std::ranges::any_of(std::views::iota(0U, ClaimLedger::Shards),
            [&](std::uint32_t shard) { return this->isResetDue(shard, now); });
}

bool ClaimCoordinator::isTickDue(TimePoint now) const
{
    return this->claims.size() > 0 && this->claims.timeSinceLastTick(now) >= this->staggered(this->options.tickPeriod);
}

// Returns the period lengthened by rank. A higher rank thus becomes due only if no lower rank has written the record.
Duration ClaimCoordinator::staggered(Duration period) const
{
    return period + period / MaximumRank * static_cast<Duration::rep>(this->rank);
}

double ClaimCoordinator::appendTokensAt(TimePoint now) const
{
    const auto gained = std::chrono::duration<double> { now - this->tokensUpdatedAt } / this->appendInterval;
    return std::min(this->options.appendBurst, this->appendTokens + gained);
}

bool ClaimCoordinator::takeAppendToken(TimePoint now)
{
    const auto available = this->appendTokensAt(now);
    if (available < 1)
        return false;
    this->appendTokens = available - 1;
    this->tokensUpdatedAt = now;
    return true;
}

void ClaimCoordinator::setRank(std::size_t rank, std::size_t instances)
{
    this->rank = std::min(rank, MaximumRank);
    const auto sharing = static_cast<double>(std::max<std::size_t>(instances, 1));
    this->appendInterval = std::chrono::duration<double> { sharing / this->options.appendsPerSecond };
}

bool ClaimCoordinator::isReloadDue() const
{
    return this->hasSeenMissingCheckpoint;
}

const ClaimLedger& ClaimCoordinator::ledger() const
{
    return this->claims;
}

std::size_t ClaimCoordinator::pending() const
{
    return this->pendingCalls.size();
}

bool ClaimCoordinator::isDown(TimePoint now) const
{
    return now < this->downUntil;
}

}
