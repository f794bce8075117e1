#include "claims/ClaimCoordinator.h"

#include <algorithm>
#include <ranges>

#include "claims/ClaimConversions.h"

namespace marigoldpaddle {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr Duration LivenessPeriod = milliseconds { 250 };
constexpr Duration RepeatRetryAfter = std::chrono::seconds { 1 };
constexpr Duration ResetRetryPause = std::chrono::seconds { 10 };
constexpr int ClockRateMargin = 1000; // As in ClaimLedger.
constexpr std::size_t MaximumRank = 4;

wire::ClaimAnswer answerOf(wire::ClaimVerdict::type verdict, Duration retryAfter = {})
{
    wire::ClaimAnswer answer;
    answer.verdict = verdict;
    answer.retryAfterMs = duration_cast<milliseconds>(retryAfter).count();
    answer.mayLand = false;
    return answer;
}

}

std::uint64_t checkpointSeedOf(const InstanceId& instance)
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
    this->sawMissingCheckpoint = false;
    this->claimSeenAt.fill(now);
    for (std::uint32_t shard = 0; shard < ClaimLedger::Shards; ++shard) {
        const auto untilDue = this->options.refreshPeriod * (shard + 1) / ClaimLedger::Shards;
        this->checkpointedAt[shard] = now + untilDue - this->options.refreshPeriod;
    }
}

ClaimReplies ClaimCoordinator::submit(ClaimTicket ticket, const Claim& claim, TimePoint deadline, TimePoint now)
{
    ClaimReplies replies;
    const auto others = this->ticketsByKey.find(claim.key);
    if (others != this->ticketsByKey.end() && others->second.size() >= this->options.waitersPerKey) {
        replies.claims.push_back({ ticket, answerOf(wire::ClaimVerdict::InProgress, RepeatRetryAfter) });
        return replies;
    }
    const auto isFull = this->asks.size() >= this->options.pendingLimit;
    if (isFull || deadline <= now) {
        replies.claims.push_back({ ticket, answerOf(wire::ClaimVerdict::Unavailable, RepeatRetryAfter) });
        return replies;
    }
    Ask ask;
    ask.claim = claim;
    ask.claim.window = std::min(claim.window, duration_cast<milliseconds>(this->options.maximumWindow));
    ask.deadline = deadline;
    this->asks.emplace(ticket, std::move(ask));
    this->ticketsByKey[claim.key].push_back(ticket);
    this->deadlines.emplace(deadline, ticket);
    this->judge(ticket, now, replies);
    return replies;
}

// Answers an ask if the ledger allows it, or sees to it that its claim gets into the log.
void ClaimCoordinator::judge(ClaimTicket ticket, TimePoint now, ClaimReplies& replies)
{
    const auto found = this->asks.find(ticket);
    if (found == this->asks.end())
        return;
    const auto& ask = found->second;
    const auto isDead = this->claims.isReleased({ ask.claim.key, ask.claim.request });
    if (!this->claims.isComplete(ask.claim.key) || isDead) {
        this->finishUnavailable(ticket, now, replies);
        return;
    }
    const auto* entry = this->claims.find(ask.claim.key);
    const auto isOwn = entry && entry->request == ask.claim.request;
    if (!entry || (!isOwn && this->claims.isWindowOver(*entry, now)))
        this->propose(ticket, now, replies);
    else
        this->judgeHeld(ticket, ask, *entry, now, replies);
}

void ClaimCoordinator::judgeHeld(
    ClaimTicket ticket, const Ask& ask, const ClaimLedger::Entry& entry, TimePoint now, ClaimReplies& replies)
{
    if (entry.body != ask.claim.body) {
        this->finish(ticket, answerOf(wire::ClaimVerdict::Mismatch), now, replies);
        return;
    }
    if (entry.state == ClaimState::Completed) {
        this->finishCompleted(ticket, *entry.outcome, now, replies);
        return;
    }
    if (const auto* outcome = this->settlements.outcomeOf({ ask.claim.key, entry.request })) {
        this->finishCompleted(ticket, *outcome, now, replies);
        return;
    }
    if (entry.state == ClaimState::Unknown) {
        this->finish(ticket, answerOf(wire::ClaimVerdict::Unknown), now, replies);
        return;
    }
    if (entry.request == ask.claim.request)
        this->finish(ticket, answerOf(wire::ClaimVerdict::Won), now, replies);
    else if (this->isLostHolder(entry, now))
        this->finish(ticket, answerOf(wire::ClaimVerdict::Unknown), now, replies);
}

// A holder that is gone, or silent after the end of its allowed time, may have sent the call or, if it was paused, may
// still send it: nobody else ever may.
bool ClaimCoordinator::isLostHolder(const ClaimLedger::Entry& entry, TimePoint now) const
{
    if (this->liveness.isGone(*entry.holder))
        return true;
    return this->claims.age(entry, now) > milliseconds { entry.allowedMs } + this->options.settleGrace;
}

void ClaimCoordinator::judgeKey(const ClaimDigest& key, TimePoint now, ClaimReplies& replies)
{
    const auto found = this->ticketsByKey.find(key);
    if (found == this->ticketsByKey.end())
        return;
    const auto tickets = found->second;
    for (const auto ticket : tickets)
        this->judge(ticket, now, replies);
}

// Queues the claim of one ask per key; the others wait for what becomes of it.
void ClaimCoordinator::propose(ClaimTicket ticket, TimePoint now, ClaimReplies& replies)
{
    auto& ask = this->asks.at(ticket);
    if (ask.stage != Stage::Waiting)
        return;
    if (this->isDown(now) || this->claims.size() + this->queue.size() >= this->options.entryLimit) {
        this->finishUnavailable(ticket, now, replies);
        return;
    }
    const auto candidate = this->candidates.try_emplace(ask.claim.key, ticket).first;
    if (candidate->second != ticket)
        return;
    ask.stage = Stage::Queued;
    this->queue.push_back(ticket);
}

void ClaimCoordinator::finish(ClaimTicket ticket, wire::ClaimAnswer answer, TimePoint now, ClaimReplies& replies)
{
    const auto found = this->asks.find(ticket);
    const auto& ask = found->second;
    const auto key = ask.claim.key;
    const auto isOnItsWay = ask.mayLand || ask.stage == Stage::OnItsWay;
    answer.mayLand = answer.verdict != wire::ClaimVerdict::Won && isOnItsWay;
    this->deadlines.erase({ ask.deadline, ticket });
    this->asks.erase(found);
    replies.claims.push_back({ ticket, std::move(answer) });

    const auto others = this->ticketsByKey.find(key);
    std::erase(others->second, ticket);
    if (others->second.empty())
        this->ticketsByKey.erase(others);
    const auto candidate = this->candidates.find(key);
    if (candidate == this->candidates.end() || candidate->second != ticket)
        return;
    this->candidates.erase(candidate);
    this->judgeKey(key, now, replies);
}

void ClaimCoordinator::finishUnavailable(ClaimTicket ticket, TimePoint now, ClaimReplies& replies)
{
    const auto retryAfter = std::max(RepeatRetryAfter, this->downUntil - now);
    this->finish(ticket, answerOf(wire::ClaimVerdict::Unavailable, retryAfter), now, replies);
}

void ClaimCoordinator::finishCompleted(
    ClaimTicket ticket, const CallOutcome& outcome, TimePoint now, ClaimReplies& replies)
{
    auto answer = answerOf(wire::ClaimVerdict::Repeated);
    answer.__set_outcome(outcomeToWire(outcome));
    this->finish(ticket, std::move(answer), now, replies);
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
        this->judgeKey(item.claim.key, now, replies);
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
            this->claimSeenAt[ClaimLedger::shardOf(key)] = now;
        if (!changes.checkpointedShard)
            continue;
        this->checkpointedAt.at(*changes.checkpointedShard) = now;
        if (!this->claims.isShardComplete(*changes.checkpointedShard))
            this->sawMissingCheckpoint = true;
    }
    this->resolveOutstanding(page.next, now, replies);
    for (const auto& key : touched)
        this->judgeKey(key, now, replies);
    return replies;
}

// What an append carried has been judged once its record was read. If its answer was lost and the record is not among
// all those that the log holds, it is appended again: the same claim found twice is one claim.
void ClaimCoordinator::resolveOutstanding(std::uint64_t logEnd, TimePoint now, ClaimReplies& replies)
{
    std::vector<Outstanding> resolved;
    std::erase_if(this->outstanding, [&](Outstanding& append) {
        const auto end = append.offset ? *append.offset + 1 : logEnd;
        const auto isResolved = append.isAnswered && this->claims.nextOffset() >= end;
        if (isResolved)
            resolved.push_back(std::move(append));
        return isResolved;
    });
    for (const auto& append : resolved) {
        this->resolveSettlements(append, replies);
        for (const auto ticket : append.tickets) {
            const auto found = this->asks.find(ticket);
            if (found == this->asks.end())
                continue;
            found->second.stage = Stage::Waiting;
            this->judge(ticket, now, replies);
        }
    }
}

void ClaimCoordinator::resolveSettlements(const Outstanding& append, ClaimReplies& replies)
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
    this->noteFailure(now);
    this->giveUpAll(now, replies);
    return replies;
}

void ClaimCoordinator::noteFailure(TimePoint now)
{
    this->backoff = std::clamp(this->backoff * 2, this->options.firstBackoff, this->options.maximumBackoff);
    this->downUntil = now + this->backoff;
}

// With the log down nobody waits: calls whose claim did not win are refused, repeats are told to come back.
void ClaimCoordinator::giveUpAll(TimePoint now, ClaimReplies& replies)
{
    while (!this->asks.empty()) {
        const auto ticket = this->asks.begin()->first;
        const auto& ask = this->asks.begin()->second;
        const auto* entry = this->claims.find(ask.claim.key);
        if (entry && ask.stage == Stage::Waiting && !ask.mayLand)
            this->finish(ticket, answerOf(wire::ClaimVerdict::InProgress, RepeatRetryAfter), now, replies);
        else
            this->finishUnavailable(ticket, now, replies);
    }
    this->queue.clear();
}

std::optional<std::string> ClaimCoordinator::nextAppend(TimePoint now)
{
    if (this->isAppending || this->isDown(now) || !this->hasWork(now) || !this->takeAppendToken(now))
        return std::nullopt;
    ClaimBatch batch;
    batch.readUpTo = this->claims.nextOffset();
    if (this->claims.sinceTick(now) >= this->options.tickPeriod)
        batch.tick = this->claims.tickAt(now);
    this->outstanding.emplace_back();
    this->isAppending = true;
    this->addSettlements(batch);
    this->addClaims(batch, now);
    this->addResets(batch, now);
    this->addCheckpoint(batch, now);
    return encodeBatch(batch);
}

void ClaimCoordinator::addSettlements(ClaimBatch& batch)
{
    this->outstanding.back().settlements
        = this->settlements.moveTo(batch, this->options.batchItems, this->options.batchBytes);
}

void ClaimCoordinator::addClaims(ClaimBatch& batch, TimePoint now)
{
    while (!this->queue.empty() && batch.claims.size() < this->options.batchItems) {
        const auto ticket = this->queue.front();
        this->queue.pop_front();
        const auto found = this->asks.find(ticket);
        if (found == this->asks.end() || found->second.stage != Stage::Queued)
            continue;
        auto& ask = found->second;
        const auto* entry = this->claims.find(ask.claim.key);
        if (entry && this->claims.isWindowOver(*entry, now))
            batch.expiries.push_back({ ask.claim.key, entry->request });
        batch.claims.push_back(ask.claim);
        ask.stage = Stage::OnItsWay;
        this->outstanding.back().tickets.push_back(ticket);
    }
}

// Writes the shard that was written the longest ago, one part with each record, and the ends of its overdue claims.
void ClaimCoordinator::addCheckpoint(ClaimBatch& batch, TimePoint now)
{
    if (this->checkpointParts.empty() && this->overdue.empty() && this->isCheckpointDue(now)) {
        const auto shard = this->stalestShard();
        const auto ended = this->claims.overdue(shard, now);
        this->overdue.assign(ended.begin(), ended.end());
        const auto id = this->options.checkpointSeed + this->checkpointsMade++;
        auto parts = this->claims.checkpoint(shard, this->options.batchBytes, id, now);
        std::ranges::move(parts, std::back_inserter(this->checkpointParts));
        this->checkpointedAt[shard] = now;
    }
    while (!this->overdue.empty() && batch.expiries.size() < this->options.batchItems) {
        batch.expiries.push_back(this->overdue.front());
        this->overdue.pop_front();
    }
    if (this->checkpointParts.empty())
        return;
    batch.checkpoint = std::move(this->checkpointParts.front());
    this->checkpointParts.pop_front();
    this->outstanding.back().checkpointedShard = batch.checkpoint->shard;
}

void ClaimCoordinator::addResets(ClaimBatch& batch, TimePoint now)
{
    for (std::uint32_t shard = 0; shard < ClaimLedger::Shards; ++shard) {
        if (!this->isResetDue(shard, now))
            continue;
        batch.resets.push_back(shard);
        this->claimSeenAt[shard] += ResetRetryPause;
    }
}

// After the longest window nothing that was lost can matter any more.
bool ClaimCoordinator::isResetDue(std::uint32_t shard, TimePoint now) const
{
    const auto wait = this->options.maximumWindow + this->options.maximumWindow / ClockRateMargin;
    return !this->claims.isShardComplete(shard) && now - this->claimSeenAt[shard] > wait;
}

bool ClaimCoordinator::isCheckpointDue(TimePoint now) const
{
    const auto writtenAt = this->checkpointedAt[this->stalestShard()];
    return this->claims.nextOffset() > 0 && now - writtenAt >= this->staggered(this->options.refreshPeriod);
}

std::uint32_t ClaimCoordinator::stalestShard() const
{
    const auto stalest = std::ranges::min_element(this->checkpointedAt);
    return static_cast<std::uint32_t>(stalest - this->checkpointedAt.begin());
}

void ClaimCoordinator::appended(std::uint64_t offset)
{
    this->isAppending = false;
    this->backoff = {};
    this->outstanding.back().isAnswered = true;
    this->outstanding.back().offset = offset;
}

ClaimReplies ClaimCoordinator::appendFailed(PlatformError error, TimePoint now)
{
    ClaimReplies replies;
    this->isAppending = false;
    auto& append = this->outstanding.back();
    append.isAnswered = true;
    if (append.checkpointedShard) {
        this->checkpointParts.clear();
        this->checkpointedAt[*append.checkpointedShard] -= this->options.refreshPeriod;
    }
    const auto isCertain = error == PlatformError::Unreachable || error == PlatformError::Rejected;
    for (const auto ticket : append.tickets) {
        const auto found = this->asks.find(ticket);
        if (found == this->asks.end())
            continue;
        found->second.mayLand = found->second.mayLand || !isCertain;
        found->second.stage = isCertain ? Stage::Waiting : Stage::OnItsWay;
    }
    if (!isCertain)
        return replies;
    this->settlements.requeue(append.settlements);
    this->outstanding.pop_back();
    this->noteFailure(now);
    this->giveUpAll(now, replies);
    return replies;
}

ClaimReplies ClaimCoordinator::tick(TimePoint now)
{
    ClaimReplies replies;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto ticket = this->deadlines.begin()->second;
        const auto& ask = this->asks.at(ticket);
        if (this->claims.find(ask.claim.key) && ask.stage == Stage::Waiting && !ask.mayLand)
            this->finish(ticket, answerOf(wire::ClaimVerdict::InProgress, RepeatRetryAfter), now, replies);
        else
            this->finishUnavailable(ticket, now, replies);
    }
    if (now < this->livenessAt)
        return replies;
    this->livenessAt = now + LivenessPeriod;
    std::vector<ClaimTicket> waiting;
    for (const auto& [ticket, ask] : this->asks) {
        if (ask.stage == Stage::Waiting)
            waiting.push_back(ticket);
    }
    for (const auto ticket : waiting)
        this->judge(ticket, now, replies);
    return replies;
}

TimePoint ClaimCoordinator::nextTick(TimePoint now) const
{
    auto next = now + std::chrono::seconds { 1 };
    if (!this->asks.empty())
        next = std::min({ next, this->deadlines.begin()->first, this->livenessAt });
    if (this->isAppending || !this->hasWork(now))
        return next;
    const auto isTokenMissing = this->appendTokensAt(now) < 1;
    const auto tokenAt = isTokenMissing ? this->tokensAt + duration_cast<Duration>(this->appendInterval) : now;
    next = std::min(next, std::max(this->downUntil, tokenAt));
    return next;
}

bool ClaimCoordinator::hasWork(TimePoint now) const
{
    return !this->queue.empty() || this->settlements.isWaiting() || !this->checkpointParts.empty()
        || !this->overdue.empty() || this->isTickDue(now) || this->isCheckpointDue(now)
        || std::ranges::any_of(std::views::iota(0U, ClaimLedger::Shards),
            [&](std::uint32_t shard) { return this->isResetDue(shard, now); });
}

bool ClaimCoordinator::isTickDue(TimePoint now) const
{
    return this->claims.size() > 0 && this->claims.sinceTick(now) >= this->staggered(this->options.tickPeriod);
}

// Later ranks come due later, and find in the log what an earlier one has written.
Duration ClaimCoordinator::staggered(Duration period) const
{
    return period + period / MaximumRank * static_cast<Duration::rep>(this->rank);
}

double ClaimCoordinator::appendTokensAt(TimePoint now) const
{
    const auto gained = std::chrono::duration<double> { now - this->tokensAt } / this->appendInterval;
    return std::min(this->options.appendBurst, this->appendTokens + gained);
}

bool ClaimCoordinator::takeAppendToken(TimePoint now)
{
    const auto available = this->appendTokensAt(now);
    if (available < 1)
        return false;
    this->appendTokens = available - 1;
    this->tokensAt = now;
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
    return this->sawMissingCheckpoint;
}

const ClaimLedger& ClaimCoordinator::ledger() const
{
    return this->claims;
}

std::size_t ClaimCoordinator::pending() const
{
    return this->asks.size();
}

bool ClaimCoordinator::isDown(TimePoint now) const
{
    return now < this->downUntil;
}

}
