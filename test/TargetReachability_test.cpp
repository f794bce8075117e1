#include "serving/TargetReachability.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
using enum TargetReachability::RoundOutcome;

class TargetReachabilityTest : public ::testing::Test {
protected:
    // Starts a round after a failure and lets it fail.
    void cutOff()
    {
        this->reachability.recordFailure();
        ASSERT_GT(this->reachability.startRound(this->clock.now()), 0U);
        const auto startedAt = this->clock.now();
        this->clock.advance(400ms);
        ASSERT_TRUE(this->reachability.recordRound(AllFailed, startedAt));
    }

    ManualClock clock;
    TargetReachability reachability;
};

TEST_F(TargetReachabilityTest, NothingIsProbedWithoutAFailure)
{
    EXPECT_EQ(this->reachability.startRound(this->clock.now()), 0U);
    EXPECT_FALSE(this->reachability.isCutOff());
}

TEST_F(TargetReachabilityTest, FailureAloneDoesNotCutOff)
{
    this->reachability.recordFailure();
    EXPECT_FALSE(this->reachability.isCutOff());
    EXPECT_EQ(this->reachability.startRound(this->clock.now()), TargetReachability::ProbesToConfirm);
}

TEST_F(TargetReachabilityTest, FailedRoundCutsOff)
{
    this->cutOff();
    EXPECT_TRUE(this->reachability.isCutOff());
}

TEST_F(TargetReachabilityTest, FailuresOfOneTargetStartFewRounds)
{
    unsigned rounds = 0;
    for (const auto end = this->clock.now() + 1s; this->clock.now() < end; this->clock.advance(10ms)) {
        this->reachability.recordFailure();
        if (this->reachability.startRound(this->clock.now()) > 0)
            ++rounds;
    }
    EXPECT_EQ(rounds, 4U);
}

TEST_F(TargetReachabilityTest, ConnectionDuringARoundRefutesIt)
{
    this->reachability.recordFailure();
    this->reachability.startRound(this->clock.now());
    const auto startedAt = this->clock.now();
    this->clock.advance(100ms);
    EXPECT_FALSE(this->reachability.recordConnected(this->clock.now()));
    EXPECT_FALSE(this->reachability.recordRound(AllFailed, startedAt));
    EXPECT_FALSE(this->reachability.isCutOff());
}

// After a freeze all time limits expire at once, whether the targets answered or not.
TEST_F(TargetReachabilityTest, InconclusiveRoundIsRepeated)
{
    this->reachability.recordFailure();
    this->reachability.startRound(this->clock.now());
    EXPECT_FALSE(this->reachability.recordRound(Inconclusive, this->clock.now()));
    EXPECT_FALSE(this->reachability.isCutOff());
    this->clock.advance(TargetReachability::ConfirmInterval);
    EXPECT_GT(this->reachability.startRound(this->clock.now()), 0U);
}

TEST_F(TargetReachabilityTest, TargetsAreProbedForAsLongAsTheInstanceIsCutOff)
{
    this->cutOff();
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(this->reachability.startRound(this->clock.now()), TargetReachability::ProbesToRecover);
        this->clock.advance(TargetReachability::RecoverInterval);
    }
}

TEST_F(TargetReachabilityTest, FirstConnectionEndsTheCut)
{
    this->cutOff();
    EXPECT_TRUE(this->reachability.recordConnected(this->clock.now()));
    EXPECT_FALSE(this->reachability.isCutOff());
    EXPECT_FALSE(this->reachability.needsRounds());
}

// Rounds overlap while the instance is cut off: one that began before the path was back ends after it.
TEST_F(TargetReachabilityTest, RoundThatBeganBeforeTheCutEndedDoesNotCutOffAgain)
{
    this->cutOff();
    const auto startedAt = this->clock.now();
    this->reachability.startRound(startedAt);
    this->clock.advance(200ms);
    this->reachability.recordConnected(this->clock.now());
    EXPECT_FALSE(this->reachability.recordRound(AllFailed, startedAt));
    EXPECT_FALSE(this->reachability.isCutOff());
}

}
}
