#include "serving/TargetHealth.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class TargetHealthTest : public testing::Test {
protected:
    TimePoint now { 1h };
    TargetHealth health;
};

TEST_F(TargetHealthTest, UnknownTargetIsHealthy)
{
    EXPECT_FALSE(this->health.isEjected("t", this->now));
    EXPECT_EQ(this->health.failureRate("t", this->now), 0);
}

TEST_F(TargetHealthTest, UnreachableTargetIsEjectedForTheFirstPeriod)
{
    this->health.recordOutcome("t", SendOutcome::Unreachable, this->now);
    EXPECT_TRUE(this->health.isEjected("t", this->now + 500ms));
    EXPECT_FALSE(this->health.isEjected("t", this->now + 700ms));
}

TEST_F(TargetHealthTest, EjectionPeriodsGrowWhileATargetStaysUnreachable)
{
    auto at = this->now;
    for (int probe = 0; probe < 5; ++probe) {
        this->health.recordOutcome("t", SendOutcome::Unreachable, at);
        at += 5s;
    }
    this->health.recordOutcome("t", SendOutcome::Unreachable, at);
    EXPECT_TRUE(this->health.isEjected("t", at + 4s));
}

TEST_F(TargetHealthTest, AnswerResetsTheEjectionPeriod)
{
    for (int probe = 0; probe < 3; ++probe)
        this->health.recordOutcome("t", SendOutcome::Unreachable, this->now);
    this->health.recordOutcome("t", SendOutcome::Answered, this->now);
    this->health.recordOutcome("t", SendOutcome::Unreachable, this->now);
    EXPECT_FALSE(this->health.isEjected("t", this->now + 700ms));
}

TEST_F(TargetHealthTest, PartlyFailingTargetHasAFailureRateThatDecays)
{
    for (int send = 0; send < 20; ++send)
        this->health.recordOutcome("t", send % 2 ? SendOutcome::Failed : SendOutcome::Answered, this->now);
    EXPECT_GT(this->health.failureRate("t", this->now), 0.35);
    EXPECT_LT(this->health.failureRate("t", this->now + 20s), 0.05);
}

TEST_F(TargetHealthTest, DecliningTargetIsEjectedBrieflyWithoutAFailure)
{
    this->health.recordOutcome("t", SendOutcome::Declined, this->now);
    EXPECT_TRUE(this->health.isEjected("t", this->now + 50ms));
    EXPECT_FALSE(this->health.isEjected("t", this->now + 150ms));
    EXPECT_EQ(this->health.failureRate("t", this->now), 0);
}

TEST_F(TargetHealthTest, OldRecordsAreDropped)
{
    this->health.recordOutcome("t", SendOutcome::Failed, this->now);
    this->health.expire(this->now + 2min);
    EXPECT_EQ(this->health.failureRate("t", this->now), 0);
}

}
}
