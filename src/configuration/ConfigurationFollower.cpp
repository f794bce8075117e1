#include "configuration/ConfigurationFollower.h"

#include <algorithm>
#include <limits>

#include <boost/leaf/handle_errors.hpp>

namespace marigoldpaddle {

namespace {

constexpr std::size_t PageRecords = 1000;

// Higher than any offset of the log. A read from here returns only the bounds of the log.
constexpr std::uint64_t OffsetBeyondEnd = std::numeric_limits<std::int64_t>::max();

}

ConfigurationFollower::ConfigurationFollower(FollowerSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
    , checkpoints(settings.checkpoints, seed)
    , retryDelay(settings.minimumRetryDelay)
{
}

FollowerCommands ConfigurationFollower::start(TimePoint now)
{
    this->startedAt = now;
    this->nextRead = now;
    this->nextPeerRound = now + this->settings.peerRoundInterval;
    return this->step(now);
}

FollowerCommands ConfigurationFollower::logRead(const LogPage& page, TimePoint now)
{
    this->isReading = false;
    this->didLogAnswer = true;
    this->retryDelay = this->settings.minimumRetryDelay;
    this->nextRead = now;
    if (this->scan)
        this->scanPage(page);
    else
        this->applyPage(page, now);
    return this->step(now);
}

FollowerCommands ConfigurationFollower::logReadFailed(PlatformError error, TimePoint now)
{
    this->isReading = false;
    if (error == PlatformError::Trimmed) {
        this->beginScan(now);
        return this->step(now);
    }
    this->didLogAnswer = false;
    this->nextRead = now + this->retryDelay;
    this->nextPeerRound = std::min(this->nextPeerRound, now);
    this->retryDelay = std::min(this->retryDelay * 2, this->settings.maximumRetryDelay);
    return this->step(now);
}

FollowerCommands ConfigurationFollower::peerAnswered(
    std::string_view peer, const ConfigurationUpdate& update, TimePoint now)
{
    if (!this->isFetchingFrom(peer))
        return this->step(now);
    std::erase_if(this->fetches, [&](const auto& each) { return each.peer == peer; });
    const auto before = this->configuration.nextOffset();
    applyUpdate(this->configuration, update);
    if (update.snapshot && this->configuration.nextOffset() > before)
        this->tail.clear();
    for (const auto& record : update.records) {
        if (record.offset >= before && record.offset < this->configuration.nextOffset())
            this->tail.add(record.offset, record.data);
    }
    if (update.checkpoint)
        this->checkpoints.observePeerCheckpoint(*update.checkpoint, now);
    // A peer that answered with less than its reported offset is not asked for that offset again.
    const auto ahead = this->offsetsAhead.find(peer);
    if (ahead != this->offsetsAhead.end() && ahead->second > this->configuration.nextOffset())
        this->offsetsAhead.erase(ahead);
    this->didCurrentPeerAnswer = this->didCurrentPeerAnswer || update.isCurrent;
    this->endScanIfCaughtUp();
    return this->step(now);
}

FollowerCommands ConfigurationFollower::peerFailed(std::string_view peer, TimePoint now)
{
    std::erase_if(this->fetches, [&](const auto& each) { return each.peer == peer; });
    const auto ahead = this->offsetsAhead.find(peer);
    if (ahead != this->offsetsAhead.end())
        this->offsetsAhead.erase(ahead);
    return this->step(now);
}

FollowerCommands ConfigurationFollower::setPeers(std::vector<std::string> peers, std::size_t rank, TimePoint now)
{
    std::ranges::shuffle(peers, this->random);
    this->peers = std::move(peers);
    this->checkpoints.setRank(rank);
    return this->step(now);
}

FollowerCommands ConfigurationFollower::observePeerOffset(std::string_view peer, std::uint64_t offset, TimePoint now)
{
    if (offset > this->configuration.nextOffset())
        this->offsetsAhead.insert_or_assign(std::string { peer }, offset);
    return this->step(now);
}

FollowerCommands ConfigurationFollower::advance(TimePoint now)
{
    return this->step(now);
}

TimePoint ConfigurationFollower::nextDeadline() const
{
    auto next = TimePoint::max();
    if (!this->isReading)
        next = std::min(next, this->nextRead);
    for (const auto& each : this->fetches)
        next = std::min(next, each.deadline);
    if (this->isPeerRoundNeeded() && !this->isPeerRoundOpen && !this->peers.empty())
        next = std::min(next, this->nextPeerRound);
    if (this->canWriteCheckpoint())
        next = std::min(next, this->checkpoints.nextWriteTime(*this->currentSince));
    if (this->areRecordsLost())
        next = std::min(next, this->lostRecordsDeadline());
    return next;
}

FollowerCommands ConfigurationFollower::step(TimePoint now)
{
    FollowerCommands commands;
    this->dropExpiredFetches(now);
    std::erase_if(
        this->offsetsAhead, [&](const auto& each) { return each.second <= this->configuration.nextOffset(); });
    this->finishPeerRound(now);
    this->issueRead(commands, now);
    this->startPeerRound(commands, now);
    this->fetchFromPeerAhead(commands, now);
    this->requestCheckpointAge(commands, now);
    this->writeCheckpoint(commands, now);
    this->skipLostRecords(commands, now);
    return commands;
}

void ConfigurationFollower::applyPage(const LogPage& page, TimePoint now)
{
    if (page.firstKept > this->configuration.nextOffset()) {
        this->beginScan(now);
        return;
    }
    for (const auto& record : page.records) {
        const auto before = this->configuration.nextOffset();
        this->checkpoints.observeRecord(record.data, now);
        this->configuration.apply(record.offset, record.data);
        if (this->configuration.nextOffset() > before)
            this->tail.add(record.offset, record.data);
    }
    if (this->configuration.nextOffset() < page.next)
        return;
    this->checkpoints.observeLogBounds(page.firstKept, page.next, now);
    this->checkpoints.observeOwnOffset(this->configuration.nextOffset(), now);
    this->markCurrent(now);
}

void ConfigurationFollower::beginScan(TimePoint now)
{
    this->scan.emplace();
    this->scan->startedAt = now;
    this->nextRead = now;
    this->nextPeerRound = std::min(this->nextPeerRound, now);
}

// Ends the scan if an answer of a peer has advanced the state to records that the log still keeps.
void ConfigurationFollower::endScanIfCaughtUp()
{
    if (this->scan && this->scan->nextOffset && this->configuration.nextOffset() >= this->scan->firstKept)
        this->scan.reset();
}

void ConfigurationFollower::scanPage(const LogPage& page)
{
    this->scan->firstKept = page.firstKept;
    if (!this->scan->nextOffset || *this->scan->nextOffset < page.firstKept)
        this->scan->nextOffset = page.firstKept;
    for (const auto& record : page.records) {
        this->scan->nextOffset = std::max(*this->scan->nextOffset, record.offset + 1);
        const auto checkpoint = this->scan->assembler.add(record.data);
        if (!checkpoint)
            continue;
        this->restoreFrom(*checkpoint, page.firstKept);
        if (!this->scan)
            return;
    }
    this->scan->isLogExhausted = *this->scan->nextOffset >= page.next;
    this->endScanIfCaughtUp();
}

void ConfigurationFollower::restoreFrom(const CheckpointAssembler::Assembled& checkpoint, std::uint64_t firstKept)
{
    if (checkpoint.asOf < firstKept)
        return; // Records that follow the checkpoint were trimmed.
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(didRestore, this->configuration.restore(checkpoint.snapshot));
            if (!didRestore)
                return {};
            this->tail.clear();
            this->scan.reset();
            return {};
        },
        [] { /* The checkpoint is damaged. The scan continues with the next one. */ });
}

void ConfigurationFollower::issueRead(FollowerCommands& commands, TimePoint now)
{
    if (this->isReading || now < this->nextRead)
        return;
    this->isReading = true;
    if (!this->scan)
        commands.push_back(ReadLogCommand { this->configuration.nextOffset(), PageRecords,
            this->currentSince ? this->settings.longPollTimeout : Duration::zero() });
    else if (this->scan->nextOffset)
        commands.push_back(ReadLogCommand { *this->scan->nextOffset, PageRecords, this->settings.peerRoundInterval });
    else
        commands.push_back(ReadLogCommand { OffsetBeyondEnd, 1, Duration::zero() });
}

bool ConfigurationFollower::isPeerRoundNeeded() const
{
    return this->scan || (!this->currentSince && !this->didLogAnswer);
}

void ConfigurationFollower::startPeerRound(FollowerCommands& commands, TimePoint now)
{
    if (!this->isPeerRoundNeeded() || this->isPeerRoundOpen || this->peers.empty() || now < this->nextPeerRound)
        return;
    this->isPeerRoundOpen = true;
    this->didCurrentPeerAnswer = false;
    this->nextPeerRound = now + this->settings.peerRoundInterval;
    const auto count = std::min(this->settings.peersPerRound, this->peers.size());
    std::ranges::for_each(this->peers.begin(), this->peers.begin() + static_cast<std::ptrdiff_t>(count),
        [&](const auto& peer) { this->issueFetch(commands, peer, now); });
}

void ConfigurationFollower::finishPeerRound(TimePoint now)
{
    if (!this->isPeerRoundOpen || !this->fetches.empty())
        return;
    this->isPeerRoundOpen = false;
    if (this->scan)
        this->scan->didPeerRoundEnd = true;
    if (this->didCurrentPeerAnswer && !this->scan)
        this->markCurrent(now);
    std::ranges::shuffle(this->peers, this->random);
}

void ConfigurationFollower::fetchFromPeerAhead(FollowerCommands& commands, TimePoint now)
{
    if (!this->fetches.empty() || this->offsetsAhead.empty())
        return;
    const auto best = std::ranges::max_element(this->offsetsAhead, {}, [](const auto& each) { return each.second; });
    this->issueFetch(commands, best->first, now);
}

void ConfigurationFollower::requestCheckpointAge(FollowerCommands& commands, TimePoint now)
{
    if (!this->currentSince || this->didRequestCheckpointAge || this->peers.empty() || !this->fetches.empty())
        return;
    this->didRequestCheckpointAge = true;
    if (!this->checkpoints.newestCheckpoint(now))
        this->issueFetch(commands, this->peers.front(), now);
}

void ConfigurationFollower::issueFetch(FollowerCommands& commands, std::string peer, TimePoint now)
{
    if (this->isFetchingFrom(peer))
        return;
    this->fetches.push_back({ peer, now + this->settings.peerTimeout });
    commands.push_back(FetchFromPeerCommand { std::move(peer), this->configuration.nextOffset() });
}

bool ConfigurationFollower::canWriteCheckpoint() const
{
    return this->currentSince && this->didLogAnswer && !this->scan && this->configuration.nextOffset() > 0;
}

void ConfigurationFollower::writeCheckpoint(FollowerCommands& commands, TimePoint now)
{
    if (!this->canWriteCheckpoint() || now < this->checkpoints.nextWriteTime(*this->currentSince))
        return;
    this->checkpoints.recordWrite(now);
    commands.push_back(AppendCheckpointCommand { encodeCheckpoint(this->configuration) });
}

// Whether this instance has a state, and neither the log nor a peer that it reaches has the records that follow.
bool ConfigurationFollower::areRecordsLost() const
{
    return this->scan && this->scan->isLogExhausted && (this->scan->didPeerRoundEnd || this->peers.empty())
        && this->configuration.nextOffset() > 0;
}

TimePoint ConfigurationFollower::lostRecordsDeadline() const
{
    return this->checkpoints.staggeredTime(this->scan->startedAt + this->settings.lostRecordsTimeout);
}

// Writes the state without the lost records as a checkpoint. Every instance that misses records restores the first such
// checkpoint in the log, including the instance that wrote it.
void ConfigurationFollower::skipLostRecords(FollowerCommands& commands, TimePoint now)
{
    if (!this->areRecordsLost() || now < this->lostRecordsDeadline())
        return;
    this->checkpoints.recordWrite(now);
    auto advanced = this->configuration;
    advanced.skipTo(this->scan->firstKept);
    commands.push_back(AppendCheckpointCommand { encodeCheckpoint(advanced) });
}

void ConfigurationFollower::dropExpiredFetches(TimePoint now)
{
    std::erase_if(this->fetches, [&](const auto& each) {
        if (now < each.deadline)
            return false;
        this->offsetsAhead.erase(each.peer);
        return true;
    });
}

void ConfigurationFollower::markCurrent(TimePoint now)
{
    if (!this->currentSince)
        this->currentSince = now;
}

bool ConfigurationFollower::isFetchingFrom(std::string_view peer) const
{
    return std::ranges::find(this->fetches, peer, &Fetch::peer) != this->fetches.end();
}

const ConfigurationState& ConfigurationFollower::state() const
{
    return this->configuration;
}

bool ConfigurationFollower::isReady() const
{
    return this->currentSince && this->configuration.presetInForce();
}

bool ConfigurationFollower::isMissingRecords() const
{
    return this->scan.has_value();
}

ConfigurationUpdate ConfigurationFollower::updateSince(std::uint64_t knownOffset, TimePoint now)
{
    auto update = this->tail.updateSince(knownOffset, this->configuration);
    update.checkpoint = this->checkpoints.newestCheckpoint(now);
    update.isCurrent = this->currentSince.has_value();
    return update;
}

}
