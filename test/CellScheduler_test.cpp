#include "CellSchedulerFixture.h"

using namespace marigoldpaddle;
using testing::ElementsAre;
using testing::IsEmpty;

namespace {

using namespace std::chrono_literals;

class CellSchedulerTest : public CellSchedulerFixture { };

TEST_F(CellSchedulerTest, RequestOnIdleTargetIsGrantedImmediately)
{
    this->addTarget("engine-1", 400'000);
    EXPECT_THAT(this->grantsOf(this->submit("a", 1'000)), ElementsAre("a"));
}

TEST_F(CellSchedulerTest, ShortPromptBehindQueuedLongOneIsGrantedFirst)
{
    this->addTarget("engine-1", 400'000);
    this->submit("running", 300'000);
    this->submit("long", 200'000);
    EXPECT_THAT(this->grantsOf(this->submit("short", 1'000)), ElementsAre("short"));
}

TEST_F(CellSchedulerTest, LongPromptIsGrantedWithLowerPriorityThanShortOne)
{
    this->addTarget("engine-1", 400'000);
    auto longGrant = std::get<Grant>(this->submit("long", 200'000).front());
    auto shortGrant = std::get<Grant>(this->submit("short", 1'000).front());
    EXPECT_GT(longGrant.priority, shortGrant.priority);
}

TEST_F(CellSchedulerTest, FirstLoadReportReplacesTheDefaultPrefillRate)
{
    this->addTarget("engine-1", 4'000'000);
    LoadReport report;
    report.target = "engine-1";
    report.measuredAt = this->now();
    report.memoryTokens = 4'000'000;
    report.prefillTokensPerSecond = 1'000'000;
    this->scheduler->reportLoad(report, this->now());
    const auto commands = this->submit("archive", 1'000'000, std::chrono::seconds { 15 });
    ASSERT_THAT(grantsOf(commands), testing::ElementsAre("archive"));
    EXPECT_GT(std::get<Grant>(commands.front()).priority, 0)
        << "a long prompt with ample slack must not have the priority of short prompts";
}

TEST_F(CellSchedulerTest, TargetThatFailedAnEarlierAttemptIsAvoidedUnlessItIsTheOnlyOne)
{
    this->addTarget("engine-1", 100'000);
    auto repeated = this->request("repeated", 1'000);
    repeated.excludedTargets = { "engine-1" };
    EXPECT_THAT(grantsOf(this->scheduler->submit(repeated, this->now())), testing::ElementsAre("repeated"));
    this->addTarget("engine-2", 1'000);
    auto avoiding = this->request("avoiding", 500);
    avoiding.excludedTargets = { "engine-1" };
    const auto commands = this->scheduler->submit(avoiding, this->now());
    ASSERT_THAT(grantsOf(commands), testing::ElementsAre("avoiding"));
    EXPECT_EQ(std::get<Grant>(commands.front()).parts.front().target, "engine-2");
}

TEST_F(CellSchedulerTest, PromptWithCachedPrefixGoesToTheTargetThatHoldsIt)
{
    this->addTarget("engine-1", 400'000);
    this->addTarget("engine-2", 400'000);
    auto request = this->request("first", 4'096);
    request.prefixBlocks = { 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26 };
    auto first = std::get<Grant>(this->scheduler->submit(request, this->now()).front());
    this->finish("first");
    request.id = RequestId { "second" };
    auto second = std::get<Grant>(this->scheduler->submit(request, this->now()).front());
    EXPECT_EQ(second.parts.front().target, first.parts.front().target);
}

TEST_F(CellSchedulerTest, PromptLargerThanOneTargetGetsASpanInOrderOfTargetName)
{
    this->addTarget("engine-2", 400'000);
    this->addTarget("engine-3", 400'000);
    this->addTarget("engine-1", 400'000);
    auto grant = std::get<Grant>(this->submit("long", 1'000'000, 3600s).front());
    ASSERT_EQ(grant.parts.size(), 3U);
    EXPECT_EQ(grant.parts[0].target, "engine-1");
    EXPECT_EQ(grant.parts[1].target, "engine-2");
    EXPECT_EQ(grant.parts[2].target, "engine-3");
}

TEST_F(CellSchedulerTest, PromptLargerThanTheWholeCellIsRefusedAsTooLong)
{
    this->addTarget("engine-1", 400'000);
    EXPECT_THAT(this->refusalsOf(this->submit("long", 1'000'000)), ElementsAre(RefusalReason::PromptTooLong));
}

TEST_F(CellSchedulerTest, RequestThatCannotFinishInTimeIsRefusedAtOnce)
{
    this->addTarget("engine-1", 400'000);
    EXPECT_THAT(this->refusalsOf(this->submit("a", 300'000, 2s)), ElementsAre(RefusalReason::Overloaded));
}

TEST_F(CellSchedulerTest, QueuedRequestIsRefusedAsSoonAsItCannotFinishInTime)
{
    this->addTarget("engine-1", 400'000);
    this->submit("running", 300'000, 600s);
    EXPECT_THAT(this->submit("waiting", 200'000, 60s), IsEmpty());
    this->clock.advance(55s);
    EXPECT_THAT(this->refusalsOf(this->scheduler->tick(this->now())), ElementsAre(RefusalReason::Overloaded));
    EXPECT_EQ(this->scheduler->digest(this->now()).queued, 0U);
}

TEST_F(CellSchedulerTest, TickAtNextTickMakesProgress)
{
    this->addTarget("engine-1", 400'000);
    this->submit("running", 300'000, 600s);
    this->submit("waiting", 200'000, 60s);
    auto last = this->now();
    for (int ticks = 0; this->scheduler->digest(last).queued > 0; ++ticks) {
        ASSERT_LT(ticks, 100'000);
        auto next = this->scheduler->nextTick();
        ASSERT_GT(next, last);
        last = next;
        this->scheduler->tick(last);
    }
}

TEST_F(CellSchedulerTest, CellWithoutTargetsRefusesWithNoTarget)
{
    EXPECT_THAT(this->refusalsOf(this->submit("a", 1'000)), ElementsAre(RefusalReason::NoTarget));
}

TEST_F(CellSchedulerTest, FloodOfOneWorkspaceDoesNotDelayAnother)
{
    this->addTarget("engine-1", 400'000);
    for (int i = 0; i < 100; ++i)
        this->submit("flood-" + std::to_string(i), 4'000, 60s, "large");
    this->submit("light", 4'000, 60s, "small");
    EXPECT_LE(this->grantsUntil("light"), 2U);
}

TEST_F(CellSchedulerTest, ShedRequestsComeFromTheWorkspaceMostOverShare)
{
    for (int i = 0; i < 4; ++i)
        this->addTarget("engine-" + std::to_string(i), 400'000);
    for (int i = 0; i < 4; ++i)
        this->submit("busy-" + std::to_string(i), 4'000, 60s, "other");
    this->submit("small", 4'000, 60s, "small");
    std::vector<Refusal> refusals;
    for (int i = 0; i < 100; ++i)
        for (const auto& command : this->submit("flood-" + std::to_string(i), 4'000, 60s, "large"))
            refusals.push_back(std::get<Refusal>(command));
    ASSERT_GT(refusals.size(), 80U);
    for (const auto& refusal : refusals) {
        EXPECT_THAT(refusal.id.value, testing::StartsWith("flood-"));
        EXPECT_EQ(refusal.reason, RefusalReason::WorkspaceOverShare);
        EXPECT_GT(refusal.retryAfter, Duration::zero());
    }
}

TEST_F(CellSchedulerTest, AgedSpanIsGrantedOnceItsMemoryIsFree)
{
    this->addTarget("engine-1", 400'000);
    this->addTarget("engine-2", 400'000);
    this->submit("a", 350'000, 3600s);
    this->submit("b", 350'000, 3600s);
    EXPECT_THAT(this->submit("span", 600'000, 900s), IsEmpty());
    this->clock.advance(200s);
    this->scheduler->tick(this->now());
    this->finish("a");
    EXPECT_THAT(this->submit("late", 300'000, 3600s), IsEmpty());
    EXPECT_THAT(this->grantsOf(this->finish("b")), ElementsAre("span"));
}

TEST_F(CellSchedulerTest, DrainQueueReturnsRequestsInOrderOfArrival)
{
    this->addTarget("engine-1", 400'000);
    this->submit("running", 300'000, 600s);
    this->submit("first", 200'000, 600s);
    this->submit("second", 150'000, 600s);
    auto drained = this->scheduler->drainQueue();
    ASSERT_EQ(drained.size(), 2U);
    EXPECT_EQ(drained[0].id.value, "first");
    EXPECT_EQ(drained[1].id.value, "second");
    EXPECT_EQ(this->scheduler->digest(this->now()).queued, 0U);
}

}
