#include <cstdlib>
#include <map>
#include <random>
#include <set>

#include "CellSchedulerFixture.h"

using namespace marigoldpaddle;
using testing::ElementsAre;
using testing::IsEmpty;

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t MemoryTokens = 400'000;

std::uint64_t seed()
{
    const auto* text = std::getenv("MARIGOLD_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

// The step of a request at which a fault is injected.
enum class Step {
    Queued,
    Granted,
    Streaming,
    Finished,
};

// Failures of targets and cell owners at each step of a request. Guards against memory that the scheduler counts as
// used after its request or target is gone, queued requests without an answer, and events that take effect twice.
class FaultsCellSchedulerTest : public CellSchedulerFixture, public testing::WithParamInterface<Step> {
protected:
    // Advances request "a" to the step on engine-1, the only target.
    void advanceTo(Step step)
    {
        this->addTarget("engine-1", MemoryTokens);
        if (step == Step::Queued)
            this->submit("occupant", 300'000);
        this->submit("a", 200'000);
        if (step >= Step::Streaming)
            this->scheduler->firstToken(RequestId { "a" }, this->now());
        if (step >= Step::Finished)
            this->finish("a");
    }

    std::uint64_t freeTokens() const
    {
        return this->scheduler->digest(this->now()).freeTokens;
    }
};

TEST_P(FaultsCellSchedulerTest, RemovedTargetFreesItsMemoryAndQueuedRequestsAreRefused)
{
    this->advanceTo(this->GetParam());
    auto commands = this->scheduler->removeTarget("engine-1", this->now());
    auto expected = this->GetParam() == Step::Queued ? 1U : 0U;
    EXPECT_EQ(this->refusalsOf(commands).size(), expected);
    EXPECT_EQ(this->scheduler->digest(this->now()).queued, 0U);
    this->addTarget("engine-1", MemoryTokens);
    EXPECT_EQ(this->freeTokens(), MemoryTokens);
    this->finish("a");
    EXPECT_EQ(this->freeTokens(), MemoryTokens);
}

TEST_P(FaultsCellSchedulerTest, TargetWithNewIncarnationHoldsNoEarlierGrants)
{
    this->advanceTo(this->GetParam());
    auto renewed = target("engine-1", MemoryTokens);
    renewed.incarnation = 1;
    this->scheduler->updateTarget(renewed, this->now());
    auto expected = this->GetParam() == Step::Queued ? MemoryTokens - 200'100 : MemoryTokens;
    EXPECT_EQ(this->freeTokens(), expected);
    this->scheduler->updateTarget(target("engine-1", MemoryTokens), this->now());
    EXPECT_EQ(this->freeTokens(), expected);
}

TEST_P(FaultsCellSchedulerTest, DuplicateEventsAreCountedOnce)
{
    this->advanceTo(this->GetParam());
    auto isOver = this->GetParam() == Step::Finished;
    EXPECT_EQ(this->submit("a", 200'000).size(), isOver ? 1U : 0U);
    for (int i = 0; i < 2; ++i) {
        this->scheduler->firstToken(RequestId { "a" }, this->now());
        this->finish("a");
        this->finish("occupant");
    }
    this->finish("a");
    EXPECT_EQ(this->freeTokens(), MemoryTokens);
}

TEST_P(FaultsCellSchedulerTest, LeavingTargetReceivesNoNewGrantAndKeepsExistingOnes)
{
    this->advanceTo(this->GetParam());
    auto leaving = target("engine-1", MemoryTokens);
    leaving.isLeaving = true;
    auto commands = this->scheduler->updateTarget(leaving, this->now());
    EXPECT_THAT(this->grantsOf(commands), IsEmpty());
    EXPECT_THAT(this->refusalsOf(this->submit("late", 1'000)), ElementsAre(RefusalReason::NoTarget));
    EXPECT_THAT(this->grantsOf(this->finish("occupant")), IsEmpty());
}

TEST_P(FaultsCellSchedulerTest, AdoptedHoldingIsCountedOnceUntilItEnds)
{
    this->addTarget("engine-1", MemoryTokens);
    Holding holding { RequestId { "a" }, {}, "workspace", { { "engine-1", 200'100 } }, 200'000, 0, 100,
        this->GetParam() < Step::Streaming, this->now() + 60s };
    for (int i = 0; i < 2; ++i)
        this->scheduler->restoreGrant(holding, this->now());
    EXPECT_EQ(this->freeTokens(), MemoryTokens - 200'100);
    if (this->GetParam() == Step::Finished)
        this->finish("a");
    else
        this->clock.advance(120s);
    this->scheduler->tick(this->now());
    EXPECT_EQ(this->freeTokens(), MemoryTokens);
}

TEST_P(FaultsCellSchedulerTest, QueuedRequestIsAnsweredWithThePlacementAdoptedFromThePreviousOwner)
{
    this->addTarget("engine-1", MemoryTokens);
    this->submit("occupant", 300'000);
    this->submit("a", 200'000);
    Holding holding { RequestId { "a" }, {}, "workspace", { { "engine-2", 200'100 } }, 200'000, 0, 100, true,
        this->now() + 60s };
    auto commands = this->scheduler->restoreGrant(holding, this->now());
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(std::get<Grant>(commands.front()).parts.front().target, "engine-2");
    EXPECT_THAT(this->finish("occupant"), IsEmpty());
    this->addTarget("engine-2", MemoryTokens);
    EXPECT_EQ(this->freeTokens(), 2 * MemoryTokens - 200'100);
}

TEST_P(FaultsCellSchedulerTest, SpanKeepsItsOtherPartsUntilItsEndWhenOneTargetIsRemoved)
{
    this->addTarget("engine-1", MemoryTokens);
    this->addTarget("engine-2", MemoryTokens);
    ASSERT_EQ(std::get<Grant>(this->submit("a", 600'000, 3600s).front()).parts.size(), 2U);
    if (this->GetParam() >= Step::Streaming)
        this->scheduler->firstToken(RequestId { "a" }, this->now());
    this->scheduler->removeTarget("engine-2", this->now());
    EXPECT_EQ(this->freeTokens(), MemoryTokens - 300'050);
    this->finish("a");
    EXPECT_EQ(this->freeTokens(), MemoryTokens);
}

INSTANTIATE_TEST_SUITE_P(
    Steps, FaultsCellSchedulerTest, testing::Values(Step::Queued, Step::Granted, Step::Streaming, Step::Finished));

// Applies random events, including duplicates and events about unknown ids, and checks the scheduler's invariants:
// every request is answered exactly once, grants are issued before the deadline and to usable targets only, and no
// target is granted more tokens than its memory holds.
class FaultsCellSchedulerSequenceTest : public CellSchedulerFixture, public testing::WithParamInterface<std::uint64_t> {
protected:
    static constexpr std::size_t Targets = 4;

    struct Pending {
        TimePoint deadline {};
        bool isAnswered { false };
        std::vector<GrantPart> parts;
    };

    void processCommands(const SchedulerCommands& commands)
    {
        for (const auto& command : commands) {
            const auto* grant = std::get_if<Grant>(&command);
            auto& pending = this->requests.at(grant ? grant->id.value : std::get<Refusal>(command).id.value);
            ASSERT_FALSE(pending.isAnswered);
            pending.isAnswered = true;
            if (grant)
                this->recordGrant(*grant, pending);
        }
    }

    void recordGrant(const Grant& grant, Pending& pending)
    {
        ASSERT_LE(this->now(), pending.deadline);
        for (const auto& part : grant.parts) {
            ASSERT_TRUE(this->usableTargets.contains(part.target)) << part.target;
            this->usedTokens[part.target] += part.tokens;
            ASSERT_LE(this->usedTokens[part.target], MemoryTokens) << part.target;
        }
        pending.parts = grant.parts;
    }

    void release(Pending& pending)
    {
        for (const auto& part : std::exchange(pending.parts, {}))
            this->usedTokens[part.target] -= std::min(part.tokens, this->usedTokens[part.target]);
    }

    void end(const std::string& id)
    {
        this->release(this->requests.at(id));
        this->processCommands(this->finish(id));
    }

    // Frees requests after their deadline: gateways end every request by then, even if no event reaches the scheduler.
    void expire()
    {
        for (auto& [id, pending] : this->requests)
            if (pending.deadline < this->now())
                this->release(pending);
    }

    std::uint64_t randomBetween(std::uint64_t from, std::uint64_t to)
    {
        return std::uniform_int_distribution<std::uint64_t> { from, to }(this->random);
    }

    std::string randomId()
    {
        return "r" + std::to_string(this->randomBetween(0, this->requests.size() + 2));
    }

    void submitNew()
    {
        auto id = "r" + std::to_string(this->requests.size());
        auto tokens = this->randomBetween(0, 9) == 0 ? this->randomBetween(50'000, 1'000'000)
                                                     : this->randomBetween(100, 10'000);
        auto allowed = std::chrono::seconds { this->randomBetween(5, 300) };
        this->requests[id].deadline = this->now() + allowed;
        this->processCommands(this->submit(id, tokens, allowed, "w" + std::to_string(this->randomBetween(0, 5))));
    }

    void changeTarget()
    {
        auto name = "engine-" + std::to_string(this->randomBetween(1, Targets));
        auto description = target(name, MemoryTokens);
        description.incarnation = this->incarnation;
        auto kind = this->randomBetween(0, 3);
        if (kind == 0) {
            this->usableTargets.erase(name);
            this->usedTokens[name] = 0;
            this->processCommands(this->scheduler->removeTarget(name, this->now()));
        } else if (kind == 1) {
            this->usableTargets.erase(name);
            description.isLeaving = true;
            this->processCommands(this->scheduler->updateTarget(description, this->now()));
        } else {
            this->usableTargets.insert(name);
            this->processCommands(this->scheduler->updateTarget(description, this->now()));
        }
    }

    void step()
    {
        auto kind = this->randomBetween(0, 99);
        if (kind < 40)
            this->submitNew();
        else if (kind < 75 && this->requests.contains(this->lastId = this->randomId()))
            this->end(this->lastId);
        else if (kind < 85)
            this->processCommands(this->scheduler->firstToken(RequestId { this->randomId() }, this->now()));
        else if (kind < 88)
            this->changeTarget();
        else if (kind < 90)
            this->processCommands(this->scheduler->reportLoad(
                { "engine-1", this->now() - 1s, MemoryTokens, this->randomBetween(0, MemoryTokens), 1, 0,
                    static_cast<double>(this->randomBetween(0, 20'000)), {}, std::nullopt },
                this->now()));
        else
            this->processCommands(this->scheduler->tick(this->now()));
        this->clock.advance(std::chrono::milliseconds { this->randomBetween(0, 400) });
        this->expire();
    }

    std::mt19937_64 random;
    std::map<std::string, Pending> requests;
    std::map<std::string, std::uint64_t> usedTokens;
    std::set<std::string> usableTargets;
    std::string lastId;
    std::uint64_t incarnation { 0 };
};

TEST_P(FaultsCellSchedulerSequenceTest, EveryRequestIsAnsweredOnceInTimeAndNoTargetExceedsItsMemory)
{
    auto number = seed() * 1'000 + this->GetParam();
    SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed()) + " sequence " + std::to_string(this->GetParam()));
    this->random.seed(number);
    for (std::size_t i = 1; i <= Targets; ++i) {
        this->usableTargets.insert("engine-" + std::to_string(i));
        this->addTarget("engine-" + std::to_string(i), MemoryTokens);
    }
    for (int i = 0; i < 3'000 && !HasFatalFailure(); ++i)
        this->step();
    this->clock.advance(301s);
    this->processCommands(this->scheduler->tick(this->now()));
    for (const auto& [id, pending] : this->requests)
        EXPECT_TRUE(pending.isAnswered) << id;
    EXPECT_EQ(this->scheduler->digest(this->now()).queued, 0U);
}

INSTANTIATE_TEST_SUITE_P(Sequences, FaultsCellSchedulerSequenceTest, testing::Range<std::uint64_t>(0, 10));

}
