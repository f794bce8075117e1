#include "serving/PromptPlacement.h"

#include <algorithm>
#include <set>
#include <span>

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

// Engines in three availability zones with the profile of a 70-billion-parameter model.
class PromptPlacementTest : public testing::Test {
protected:
    PromptPlacementTest()
    {
        for (const auto* zone : { "a", "b", "c" }) {
            for (int number = 0; number < 7; ++number) {
                TargetEntry entry;
                entry.id = std::string { zone } + std::to_string(number);
                entry.availabilityZone = zone;
                this->entries.push_back(entry);
            }
        }
        for (const auto& entry : this->entries)
            this->engines.push_back({ &entry, {}, 0, entry.availabilityZone == "a" });
    }

    static EngineProfile profile()
    {
        EngineProfile engine;
        engine.batchSlots = 16;
        engine.memoryTokens = 450'000;
        engine.stepsPerPass = 46;
        engine.stepMs = 0.925;
        engine.stepMsPerRequest = 0.00483;
        engine.stepMsPerThousandContextTokens = 0.00254;
        engine.promptTokensPerMs = 256;
        engine.msPerMillionPairs = 0.0917;
        return engine;
    }

    static PromptPlacementRequest placementRequest(std::int64_t tokens, Duration objective)
    {
        return { { tokens, 1600 }, objective, objective, 10s, 200ms };
    }

    static PromptPlacementRequest shortPrompt()
    {
        return placementRequest(5000, 300ms);
    }

    static PromptPlacementRequest longPrompt()
    {
        return placementRequest(210'000, 3s);
    }

    void addAnswers(std::size_t engine, unsigned count, Duration gap)
    {
        auto& load = this->engines[engine].load;
        load.running += count;
        load.answers += count;
        load.answerWeight += count;
        load.tightestGap = std::min(load.tightestGap, gap);
    }

    void addLongPrefill(std::size_t engine, double prefillMs)
    {
        auto& load = this->engines[engine].load;
        ++load.running;
        ++load.longPrefills;
        load.backlogMs += prefillMs;
    }

    std::vector<TargetEntry> entries;
    std::vector<EngineCandidate> engines;
    PromptPlacement placement { profile() };
};

TEST_F(PromptPlacementTest, PrefillTimeGrowsQuadraticallyWithPromptLength)
{
    EXPECT_NEAR(this->placement.prefillMs(5000), 20.7, 0.5);
    EXPECT_NEAR(this->placement.prefillMs(210'000), 2842, 10);
    EXPECT_NEAR(this->placement.prefillMs(1'000'000), 49'756, 100);
}

TEST_F(PromptPlacementTest, NoCandidatesGiveNoPlan)
{
    EXPECT_FALSE(this->placement.plan(shortPrompt(), {}));
}

TEST_F(PromptPlacementTest, ShortPromptsFillOneEngineOfTheLocalZoneFirst)
{
    const auto first = this->placement.plan(shortPrompt(), this->engines);
    ASSERT_TRUE(first);
    EXPECT_EQ(this->engines[first->decodeEngine].target->id, "a0");
    this->addAnswers(0, 5, 200ms);
    EXPECT_EQ(this->placement.plan(shortPrompt(), this->engines)->decodeEngine, first->decodeEngine);
    EXPECT_FALSE(first->isLong);
}

TEST_F(PromptPlacementTest, ShortPromptUsesAnotherEngineBeforeTheBatchIsFull)
{
    this->addAnswers(0, 13, 200ms);
    EXPECT_NE(this->placement.plan(shortPrompt(), this->engines)->decodeEngine, 0U);
}

TEST_F(PromptPlacementTest, ShortPromptAvoidsAnEngineWithALongPrefill)
{
    this->addLongPrefill(0, 400);
    EXPECT_NE(this->placement.plan(shortPrompt(), this->engines)->decodeEngine, 0U);
}

TEST_F(PromptPlacementTest, ShortPromptWaitsWhileAllBatchesAreFull)
{
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 16, 200ms);
    EXPECT_TRUE(this->placement.plan(shortPrompt(), this->engines)->shouldWait);
}

TEST_F(PromptPlacementTest, LateShortPromptLeavesTheLastSlotsToOthers)
{
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 15, 200ms);
    auto late = shortPrompt();
    EXPECT_FALSE(this->placement.plan(late, this->engines)->shouldWait);
    late.objective = 20ms;
    EXPECT_TRUE(this->placement.plan(late, this->engines)->cannotMeetObjective);
    EXPECT_TRUE(this->placement.plan(late, this->engines)->shouldWait);
}

TEST_F(PromptPlacementTest, LongPromptOnIdleEnginesIsSplitAndMeetsItsObjective)
{
    const auto plan = this->placement.plan(longPrompt(), this->engines);
    ASSERT_TRUE(plan);
    EXPECT_TRUE(plan->isLong);
    EXPECT_FALSE(plan->shouldWait);
    EXPECT_GE(plan->helpers.size(), 6U);
    EXPECT_LE(plan->helpers.size(), 16U);
    EXPECT_LT(plan->expectedMs, 1500);
}

TEST_F(PromptPlacementTest, HelpersAreDistinctAndNotTheDecodeEngine)
{
    const auto plan = this->placement.plan(longPrompt(), this->engines);
    std::set<std::size_t> all { plan->helpers.begin(), plan->helpers.end() };
    all.insert(plan->decodeEngine);
    EXPECT_EQ(all.size(), plan->helpers.size() + 1);
}

TEST_F(PromptPlacementTest, LongPrefillAvoidsEnginesWithShortAnswers)
{
    for (const std::size_t engine : { 0U, 1U, 7U, 8U, 14U, 15U })
        this->addAnswers(engine, 10, 200ms);
    const auto plan = this->placement.plan(longPrompt(), this->engines);
    ASSERT_TRUE(plan);
    EXPECT_EQ(this->engines[plan->decodeEngine].load.answers, 0U);
    for (const auto helper : plan->helpers)
        EXPECT_EQ(this->engines[helper].load.answers, 0U) << this->engines[helper].target->id;
}

TEST_F(PromptPlacementTest, LongPrefillSharesEnginesWithAnswersOfALargeGapObjective)
{
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 1, 800ms);
    const auto plan = this->placement.plan(longPrompt(), this->engines);
    ASSERT_TRUE(plan);
    EXPECT_FALSE(plan->shouldWait);
}

TEST_F(PromptPlacementTest, LongPromptWaitsWhenEveryEngineHasShortAnswers)
{
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 10, 200ms);
    EXPECT_TRUE(this->placement.plan(longPrompt(), this->engines)->shouldWait);
}

// Guards against a long prompt that is placed into a burst of short prompts once its waiting time has passed, and makes
// all of them late.
TEST_F(PromptPlacementTest, LongPrefillThatDelaysMoreWeightThanItsOwnIsANetLoss)
{
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 16, 200ms);
    EXPECT_TRUE(this->placement.plan(longPrompt(), this->engines)->isNetLoss);
}

TEST_F(PromptPlacementTest, LongPrefillBesideFewShortAnswersIsNoNetLoss)
{
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 1, 200ms);
    EXPECT_FALSE(this->placement.plan(longPrompt(), this->engines)->isNetLoss);
}

TEST_F(PromptPlacementTest, ShorterRemainingObjectiveUsesAtLeastAsManyHelpers)
{
    auto prompt = longPrompt();
    for (std::size_t engine = 3; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 2, 200ms);
    const auto early = this->placement.plan(prompt, this->engines);
    prompt.objective = 1s;
    const auto late = this->placement.plan(prompt, this->engines);
    EXPECT_GE(late->helpers.size(), early->helpers.size());
}

TEST_F(PromptPlacementTest, LongPromptThatMissesItsObjectiveWaitsOnlyWithoutIdleEngines)
{
    auto late = longPrompt();
    late.objective = 0s;
    const auto onIdleEngines = this->placement.plan(late, this->engines);
    EXPECT_TRUE(onIdleEngines->cannotMeetObjective);
    EXPECT_FALSE(onIdleEngines->shouldWait);
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 8, 200ms);
    EXPECT_TRUE(this->placement.plan(late, this->engines)->shouldWait);
}

TEST_F(PromptPlacementTest, PromptBeyondOneEngineIsPlacedOnIdleEnginesIfItsDeadlineAllows)
{
    auto entries = this->engines;
    entries.resize(5);
    auto large = placementRequest(700'000, 3s);
    large.remaining = 15s;
    const auto onIdleEngines = this->placement.plan(large, entries);
    ASSERT_TRUE(onIdleEngines);
    EXPECT_FALSE(onIdleEngines->wouldMissDeadline);
    large.remaining = 5s;
    EXPECT_TRUE(this->placement.plan(large, entries)->wouldMissDeadline);
}

TEST_F(PromptPlacementTest, PromptBeyondOneEngineIsHeldInMemoryBySeveral)
{
    const auto plan = this->placement.plan(placementRequest(800'000, 3s), this->engines);
    ASSERT_TRUE(plan);
    EXPECT_GE(plan->reservations, 1U);
    EXPECT_LE(plan->reservations, plan->helpers.size());
    EXPECT_LE(plan->tokensPerReservation, 450'000);
    EXPECT_LE(plan->decodeTokens, 450'000);
    EXPECT_GE(plan->decodeTokens + plan->tokensPerReservation * static_cast<std::int64_t>(plan->reservations), 801'600);
}

TEST_F(PromptPlacementTest, PromptBeyondAllEnginesTogetherGetsNoPlan)
{
    EXPECT_FALSE(this->placement.plan(placementRequest(20'000'000, 3s), this->engines));
}

TEST_F(PromptPlacementTest, PromptBeyondOneEngineMissesItsDeadlineOnBusyEngines)
{
    for (std::size_t engine = 4; engine < this->engines.size(); ++engine)
        this->addLongPrefill(engine, 5000);
    EXPECT_TRUE(this->placement.plan(placementRequest(1'000'000, 3s), this->engines)->wouldMissDeadline);
}

TEST_F(PromptPlacementTest, WeightGrowsWithThePrefillTime)
{
    EXPECT_NEAR(this->placement.weight(5000), 1.1, 0.05);
    EXPECT_NEAR(this->placement.weight(210'000), 15.2, 0.5);
}

TEST_F(PromptPlacementTest, WeightOfALongPromptIsAtMostSixty)
{
    EXPECT_LE(this->placement.weight(1'000'000), 60);
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 12, 200ms);
    EXPECT_TRUE(this->placement.plan(placementRequest(1'000'000, 3s), this->engines)->isNetLoss);
}

TEST_F(PromptPlacementTest, LateLongPromptIsANetLossWithFewerDelayedAnswers)
{
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine)
        this->addAnswers(engine, 1, 200ms);
    EXPECT_FALSE(this->placement.plan(placementRequest(300'000, 3s), this->engines)->isNetLoss);
    auto late = placementRequest(300'000, 3s);
    late.objective = 100ms;
    EXPECT_TRUE(this->placement.plan(late, this->engines)->isNetLoss);
}

// One prompt of 800,000 tokens takes as much prefill time as eleven of 210,000 tokens; if it used all engines
// at once, the prompts of 210,000 tokens would be late.
TEST_F(PromptPlacementTest, BulkPromptLeavesMostEnginesToOtherPrompts)
{
    const auto plan = this->placement.plan(placementRequest(800'000, 3s), this->engines);
    EXPECT_LE(plan->helpers.size() + 1, 6U);
    EXPECT_LT(plan->expectedMs, 7000);
    EXPECT_GT(this->placement.plan(longPrompt(), this->engines)->helpers.size() + 1, 6U);
}

TEST_F(PromptPlacementTest, BulkPromptWithAShortDeadlineGetsMoreEngines)
{
    auto urgent = placementRequest(800'000, 3s);
    urgent.remaining = 5s;
    EXPECT_GT(this->placement.plan(urgent, this->engines)->helpers.size() + 1, 6U);
}

// At the end of a burst short prompts had queued on the engines that the position prefers, and each of them missed its
// objective beside an idle engine.
TEST_F(PromptPlacementTest, ShortPromptLeavesAQueueThatPutsItsObjectiveAtRisk)
{
    constexpr std::size_t ZoneEngines = 7;
    for (std::size_t engine = 0; engine + 1 < ZoneEngines; ++engine) {
        this->engines[engine].load.backlogMs = 110;
        this->engines[engine].load.running = 4;
    }
    const auto zone = std::span { this->engines }.first(ZoneEngines);
    const auto plan = this->placement.plan(shortPrompt(), zone);
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->decodeEngine, ZoneEngines - 1);
}

}
}
