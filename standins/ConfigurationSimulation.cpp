#include "standins/ConfigurationSimulation.h"

#include <algorithm>

namespace marigoldpaddle::standins {

namespace {

constexpr Duration PeerDelay = 1ms;
constexpr Duration GossipPeriod = 1s;
constexpr Duration ReadTimeout = 3s; // In addition to the wait of a long poll.

std::string peerName(std::size_t instance)
{
    return std::to_string(instance);
}

}

ConfigurationSimulation::ConfigurationSimulation(std::size_t instances, std::uint64_t seed, FollowerSettings settings)
    : settings(settings)
    , random(seed)
    , instances(instances)
{
    for (std::size_t i = 0; i < instances; ++i)
        this->start(i);
    this->exchangeOffsets();
}

void ConfigurationSimulation::run(Duration duration)
{
    const auto end = this->now + duration;
    while (!this->events.empty() && this->events.begin()->first <= end) {
        auto node = this->events.extract(this->events.begin());
        this->now = std::max(this->now, node.key());
        node.mapped()();
        const auto isAnyReady = std::ranges::any_of(
            this->instances, [](const auto& each) { return each.follower && each.follower->isReady(); });
        this->wasEverWithoutReadyInstance = this->wasEverWithoutReadyInstance || (this->faults.isDown && !isAnyReady);
    }
    this->now = end;
}

void ConfigurationSimulation::after(Duration delay, std::function<void()> action)
{
    this->events.emplace(this->now + delay, std::move(action));
}

void ConfigurationSimulation::start(std::size_t index)
{
    auto& instance = this->instances[index];
    ++instance.incarnation;
    instance.follower = std::make_unique<ConfigurationFollower>(this->settings, this->random());
    instance.advanceAt.reset();
    this->executeCommands(index, instance.follower->start(this->now));
    this->updatePeers();
}

void ConfigurationSimulation::kill(std::size_t index)
{
    this->instances[index].follower.reset();
    ++this->instances[index].incarnation;
    this->updatePeers();
}

void ConfigurationSimulation::updatePeers()
{
    for (std::size_t i = 0; i < this->instances.size(); ++i) {
        std::vector<std::string> peers;
        for (std::size_t each = 0; each < this->instances.size(); ++each) {
            if (each != i && this->instances[each].follower)
                peers.push_back(peerName(each));
        }
        this->callFollower(
            i, this->instances[i].incarnation, [&](auto& follower) { return follower.setPeers(peers, i, this->now); });
    }
}

void ConfigurationSimulation::exchangeOffsets()
{
    for (std::size_t from = 0; from < this->instances.size(); ++from) {
        if (!this->instances[from].follower)
            continue;
        const auto offset = this->instances[from].follower->state().nextOffset();
        for (std::size_t to = 0; to < this->instances.size(); ++to) {
            if (to != from)
                this->callFollower(to, this->instances[to].incarnation,
                    [&](auto& follower) { return follower.observePeerOffset(peerName(from), offset, this->now); });
        }
    }
    this->after(GossipPeriod, [this] { this->exchangeOffsets(); });
}

void ConfigurationSimulation::callFollower(std::size_t index, std::uint64_t incarnation, const FollowerCall& call)
{
    auto& instance = this->instances[index];
    if (!instance.follower || instance.incarnation != incarnation)
        return;
    const auto before = instance.follower->state().nextOffset();
    auto commands = call(*instance.follower);
    if (instance.follower->state().nextOffset() < before)
        this->violations.push_back("offset decreased at instance " + peerName(index));
    this->executeCommands(index, std::move(commands));
    this->checkReadyOffset(index);
}

void ConfigurationSimulation::checkReadyOffset(std::size_t index)
{
    auto& instance = this->instances[index];
    if (!instance.follower || !instance.follower->isReady())
        return;
    const auto offset = instance.follower->state().nextOffset();
    if (offset < instance.highestReadyOffset)
        this->violations.push_back("instance " + peerName(index) + " is ready at offset " + std::to_string(offset)
            + " after it was ready at offset " + std::to_string(instance.highestReadyOffset));
    instance.highestReadyOffset = std::max(instance.highestReadyOffset, offset);
}

void ConfigurationSimulation::executeCommands(std::size_t index, FollowerCommands commands)
{
    for (auto& command : commands) {
        if (const auto* read = std::get_if<ReadLogCommand>(&command))
            this->executeLogRead(index, *read);
        else if (const auto* fetch = std::get_if<FetchFromPeerCommand>(&command))
            this->executePeerFetch(index, *fetch);
        else
            this->appendCheckpoint(index, std::move(std::get<AppendCheckpointCommand>(command).records), 0);
    }
    this->scheduleAdvance(index);
}

void ConfigurationSimulation::scheduleAdvance(std::size_t index)
{
    auto& instance = this->instances[index];
    const auto deadline = std::max(instance.follower->nextDeadline(), this->now + 1ms);
    if (deadline == TimePoint::max()
        || (instance.advanceAt && *instance.advanceAt <= deadline && *instance.advanceAt > this->now))
        return;
    instance.advanceAt = deadline;
    this->events.emplace(deadline, [this, index, incarnation = instance.incarnation, deadline] {
        if (this->instances[index].advanceAt == deadline)
            this->instances[index].advanceAt.reset();
        this->callFollower(index, incarnation, [&](auto& follower) { return follower.advance(this->now); });
    });
}

void ConfigurationSimulation::executeLogRead(std::size_t index, const ReadLogCommand& command)
{
    ++this->logReads;
    const auto incarnation = this->instances[index].incarnation;
    const auto delay = this->faults.delay + this->extraDelay[index];
    this->read(command.offset, command.limit, command.wait, delay, [this, index, incarnation](auto result) {
        this->callFollower(index, incarnation, [&](auto& follower) {
            return result ? follower.logRead(result.value(), this->now)
                          : follower.logReadFailed(result.error(), this->now);
        });
    });
}

void ConfigurationSimulation::executePeerFetch(std::size_t index, const FetchFromPeerCommand& command)
{
    const auto incarnation = this->instances[index].incarnation;
    this->after(PeerDelay, [this, index, incarnation, command] {
        auto& peer = this->instances[std::stoul(command.peer)];
        if (!peer.follower)
            return this->callFollower(
                index, incarnation, [&](auto& follower) { return follower.peerFailed(command.peer, this->now); });
        auto update = peer.follower->updateSince(command.knownOffset, this->now);
        this->peerBytes += update.snapshot ? update.snapshot->size() : 0;
        for (const auto& record : update.records)
            this->peerBytes += record.data.size();
        this->after(PeerDelay, [this, index, incarnation, command, update = std::move(update)] {
            this->callFollower(index, incarnation,
                [&](auto& follower) { return follower.peerAnswered(command.peer, update, this->now); });
        });
    });
}

void ConfigurationSimulation::appendCheckpoint(std::size_t index, std::vector<std::string> parts, std::size_t next)
{
    if (next == parts.size())
        return;
    const auto incarnation = this->instances[index].incarnation;
    const auto part = parts[next];
    this->append(part, [this, index, incarnation, parts = std::move(parts), next](auto result) mutable {
        if (!result || this->instances[index].incarnation != incarnation)
            return;
        ++this->checkpointRecords;
        if (this->onCheckpointPart)
            this->onCheckpointPart(result.value());
        this->appendCheckpoint(index, std::move(parts), next + 1);
    });
}

void ConfigurationSimulation::read(std::uint64_t offset, std::size_t limit, Duration wait, Duration delay,
    std::function<void(PlatformResult<LogPage>)> done)
{
    const auto until = this->now + delay + wait;
    if (delay > ReadTimeout)
        return this->after(ReadTimeout + wait, [done] { done(PlatformError::NoAnswer); });
    this->after(delay, [this, offset, limit, until, done = std::move(done)] {
        this->polls.push_back({ offset, limit, until, done });
        this->events.emplace(until, [this] { this->completePolls(); });
        this->completePolls();
    });
}

void ConfigurationSimulation::completePolls()
{
    std::vector<Poll> due;
    std::erase_if(this->polls, [&](auto& poll) {
        const auto isDue = this->faults.isDown || poll.until <= this->now || poll.offset < this->logEnd();
        if (isDue)
            due.push_back(std::move(poll));
        return isDue;
    });
    for (auto& poll : due)
        poll.done(this->makePage(poll.offset, poll.limit));
}

PlatformResult<LogPage> ConfigurationSimulation::makePage(std::uint64_t offset, std::size_t limit)
{
    if (this->faults.isDown)
        return PlatformError::Rejected;
    if (offset < this->firstOffset)
        return PlatformError::Trimmed;
    LogPage page { {}, this->firstOffset, this->logEnd() };
    for (auto each = offset; each < this->logEnd() && page.records.size() < limit; ++each) {
        page.records.push_back({ each, this->records[each - this->firstOffset] });
        this->logBytes += page.records.back().data.size();
    }
    return page;
}

void ConfigurationSimulation::append(std::string record, std::function<void(PlatformResult<std::uint64_t>)> done)
{
    this->after(this->faults.delay, [this, record = std::move(record), done = std::move(done)] {
        if (this->faults.isDown)
            return done(PlatformError::Rejected);
        const auto offset = this->logEnd();
        this->records.push_back(record);
        this->completePolls();
        if (this->faults.lostAppendAnswers > 0) {
            --this->faults.lostAppendAnswers;
            return this->after(ReadTimeout, [done] { done(PlatformError::NoAnswer); });
        }
        done(offset);
    });
}

void ConfigurationSimulation::publish(
    ConfigurationState& author, ConfigurationChange change, std::function<void(PublicationResult)> done)
{
    auto publication = std::make_shared<ChangePublication>(author, change, PublicationSettings {}, this->now);
    this->executePublicationStep(publication, publication->start(this->now), std::move(done));
}

void ConfigurationSimulation::executePublicationStep(
    std::shared_ptr<ChangePublication> publication, PublicationStep step, std::function<void(PublicationResult)> done)
{
    if (const auto* append = std::get_if<AppendStep>(&step)) {
        this->append(append->record, [this, publication, done](auto result) {
            this->executePublicationStep(publication, publication->appendCompleted(result, this->now), done);
        });
    } else if (const auto* read = std::get_if<ReadStep>(&step)) {
        this->read(read->offset, read->limit, read->wait, this->faults.delay, [this, publication, done](auto result) {
            this->executePublicationStep(publication, publication->readCompleted(result, this->now), done);
        });
    } else if (const auto* wait = std::get_if<WaitStep>(&step)) {
        this->after(wait->delay, [this, publication, done] {
            this->executePublicationStep(publication, publication->waitCompleted(this->now), done);
        });
    } else {
        done(std::get<PublicationResult>(step));
    }
}

ConfigurationState ConfigurationSimulation::readLog() const
{
    ConfigurationState state;
    for (auto offset = this->firstOffset; offset < this->logEnd(); ++offset)
        state.apply(offset, this->recordAt(offset));
    return state;
}

void ConfigurationSimulation::trim(std::uint64_t offset)
{
    while (this->firstOffset < offset && !this->records.empty()) {
        this->records.pop_front();
        ++this->firstOffset;
    }
}

const ConfigurationFollower* ConfigurationSimulation::follower(std::size_t instance) const
{
    return this->instances[instance].follower.get();
}

bool ConfigurationSimulation::haveAllApplied(std::uint64_t offset) const
{
    return std::ranges::all_of(this->instances, [&](const auto& each) {
        return !each.follower || (each.follower->isReady() && each.follower->state().nextOffset() > offset);
    });
}

std::uint64_t ConfigurationSimulation::logEnd() const
{
    return this->firstOffset + this->records.size();
}

std::uint64_t ConfigurationSimulation::logFirst() const
{
    return this->firstOffset;
}

const std::string& ConfigurationSimulation::recordAt(std::uint64_t offset) const
{
    return this->records[offset - this->firstOffset];
}

}
