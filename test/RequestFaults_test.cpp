#include "RequestWorld.h"

#include <cstdlib>
#include <ranges>

#include <gmock/gmock.h>

using namespace marigoldpaddle;
using marigoldpaddle::testing::AllFaults;
using marigoldpaddle::testing::Fault;
using marigoldpaddle::testing::FaultNames;
using marigoldpaddle::testing::RequestWorld;
using marigoldpaddle::testing::Shape;
using marigoldpaddle::testing::Step;
using marigoldpaddle::testing::Strike;

namespace {

// What must hold after every row, whatever struck.
void expectPromisesKept(const RequestWorld& world)
{
    EXPECT_TRUE(world.lifecycle.isOver()) << "still " << name(world.lifecycle.state());
    EXPECT_EQ(world.completions + static_cast<int>(world.refusals.size()), 1) << "final answers";
    EXPECT_EQ(world.lateWrites, 0) << "requests written too late";
    EXPECT_LE(world.endedAt, world.deadline + RequestWorld::AllowedTime) << "ended late";
    EXPECT_EQ(world.allocationsOnLivingTargets(), 0u) << "engine memory lost";
    EXPECT_TRUE(world.openPlacements.empty()) << world.openPlacements.size() << " placements never given back";
    if (world.shape == Shape::Order) {
        EXPECT_LE(world.executions(), 1) << "order executed more than once";
    }
    if (world.completions == 1 && world.shape != Shape::Order) {
        const auto whole = std::views::iota(std::uint64_t { 0 }, RequestWorld::AnswerTokens);
        EXPECT_TRUE(std::ranges::equal(world.answer, whole)) << "answer is not whole: " << world.answer.size();
    }
    for (const auto& refusal : world.refusals) {
        EXPECT_GT(refusal.retryAfter, Duration {}) << "no time to come back";
        if (refusal.ran == Ran::No) {
            EXPECT_EQ(world.executions(), 0) << "said not run with reason " << name(refusal.reason);
        }
    }
}

std::vector<Step> stepsOf(Shape shape)
{
    std::vector<Step> steps { { RequestState::Received }, { RequestState::Admitted }, { RequestState::Queued },
        { RequestState::Granted }, { RequestState::Sent } };
    if (shape != Shape::Order) {
        for (std::uint64_t delivered = 1; delivered <= RequestWorld::AnswerTokens; ++delivered)
            steps.push_back({ RequestState::Streaming, delivered });
    }
    steps.push_back({ RequestState::Finished, shape == Shape::Order ? 0 : RequestWorld::AnswerTokens });
    return steps;
}

std::vector<Strike> everyStrike(Shape shape)
{
    std::vector<Strike> strikes;
    for (const auto fault : AllFaults)
        for (const auto& step : stepsOf(shape))
            strikes.push_back({ fault, step });
    return strikes;
}

std::string rowName(const ::testing::TestParamInfo<Strike>& row)
{
    return std::string { FaultNames[static_cast<int>(row.param.fault)] } + "_"
        + std::string { name(row.param.step.state) } + std::to_string(row.param.step.delivered);
}

template <Shape S> class FaultsRequestTest : public ::testing::TestWithParam<Strike> {
protected:
    void runRow()
    {
        this->world.run({ this->GetParam() });
        expectPromisesKept(this->world);
    }

    // A fault that leaves other targets and time enough must not cost the caller its answer.
    bool leavesAWayThrough() const
    {
        const auto& strike = this->GetParam();
        switch (strike.fault) {
        case Fault::GatewayFreezesPastDeadline:
        case Fault::CallerLeaves:
        case Fault::TargetFreezes:
            return false;
        case Fault::PlannedStop:
            return strike.step.state != RequestState::Received;
        default:
            return true;
        }
    }

    // Whether the row itself puts chunks on the way that must be dropped.
    bool sendsStrayChunks() const
    {
        constexpr Fault Stray[] = { Fault::ChunkOfOtherRequest, Fault::ChunkOfOtherAttempt, Fault::ChunkDoubled,
            Fault::ChunkLost, Fault::MessageDoubled };
        return std::ranges::find(Stray, this->GetParam().fault) != std::end(Stray);
    }

    RequestWorld world { S };
};

class FaultsRequestPromptTest : public FaultsRequestTest<Shape::Prompt> { };
class FaultsRequestSpanTest : public FaultsRequestTest<Shape::Span> { };
class FaultsRequestOrderTest : public FaultsRequestTest<Shape::Order> { };

TEST_P(FaultsRequestPromptTest, EndsOnceInTimeWholeOrTruthfullyRefused)
{
    this->runRow();
    if (this->leavesAWayThrough()) {
        EXPECT_EQ(this->world.completions, 1) << "a fault that can be survived was not";
    }
    if (this->world.completions == 1 && !this->sendsStrayChunks()) {
        EXPECT_EQ(this->world.droppedChunks, 0) << "an attempt began at the wrong token";
    }
}

TEST_P(FaultsRequestSpanTest, EndsOnceInTimeWholeOrTruthfullyRefused)
{
    this->runRow();
}

TEST_P(FaultsRequestOrderTest, EndsOnceInTimeAndRunsAtMostOnce)
{
    this->runRow();
}

INSTANTIATE_TEST_SUITE_P(, FaultsRequestPromptTest, ::testing::ValuesIn(everyStrike(Shape::Prompt)), rowName);
INSTANTIATE_TEST_SUITE_P(, FaultsRequestSpanTest, ::testing::ValuesIn(everyStrike(Shape::Span)), rowName);
INSTANTIATE_TEST_SUITE_P(, FaultsRequestOrderTest, ::testing::ValuesIn(everyStrike(Shape::Order)), rowName);

class FaultsRequestPairsTest : public ::testing::TestWithParam<Shape> {
protected:
    static std::uint64_t seed()
    {
        const auto* text = std::getenv("MARIGOLD_SEED");
        return text ? std::strtoull(text, nullptr, 10) : 1;
    }
};

TEST_P(FaultsRequestPairsTest, TwoFaultsDrawnBySeedKeepEveryPromise)
{
    constexpr int Pairs = 2000;
    std::mt19937_64 random { seed() };
    const auto strikes = everyStrike(this->GetParam());
    std::uniform_int_distribution<std::size_t> draw { 0, strikes.size() - 1 };
    for (int pair = 0; pair < Pairs && !this->HasFailure(); ++pair) {
        const auto first = strikes[draw(random)];
        const auto second = strikes[draw(random)];
        SCOPED_TRACE(::testing::Message()
            << "MARIGOLD_SEED=" << seed() << " pair " << pair << ": " << first << ", then " << second);
        RequestWorld world { this->GetParam(), random() };
        world.run({ first, second });
        expectPromisesKept(world);
    }
}

INSTANTIATE_TEST_SUITE_P(, FaultsRequestPairsTest, ::testing::Values(Shape::Prompt, Shape::Span, Shape::Order));

}
