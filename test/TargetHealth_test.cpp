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

TEST_F(TargetHealthTest, UnknownTargetIsSound)
{
    EXPECT_FALSE(this->health.isEjected("t", this->now));
    EXPECT_EQ(this->health.failureShare("t", this->now), 0);
}

TEST_F(TargetHealthTest, UnreachableTargetIsLeftOutForAWhile)
{
    this->health.note("t", SendOutcome::Unreachable, this->now);
    EXPECT_TRUE(this->health.isEjected("t", this->now + 500ms));
    EXPECT_FALSE(this->health.isEjected("t", this->now + 700ms));
}

TEST_F(TargetHealthTest, PausesGrowWhileATargetStaysSilent)
{
    auto at = this->now;
    for (int probe = 0; probe < 5; ++probe) {
        this->health.note("t", SendOutcome::Unreachable, at);
        at += 5s;
    }
    this->health.note("t", SendOutcome::Unreachable, at);
    EXPECT_TRUE(this->health.isEjected("t", at + 4s));
}

TEST_F(TargetHealthTest, AnswerEndsTheRowOfSilence)
{
    for (int probe = 0; probe < 3; ++probe)
        this->health.note("t", SendOutcome::Unreachable, this->now);
    this->health.note("t", SendOutcome::Answered, this->now);
    this->health.note("t", SendOutcome::Unreachable, this->now);
    EXPECT_FALSE(this->health.isEjected("t", this->now + 700ms));
}

TEST_F(TargetHealthTest, GreyTargetShowsInItsFailureShare)
{
    for (int send = 0; send < 20; ++send)
        this->health.note("t", send % 2 ? SendOutcome::Failed : SendOutcome::Answered, this->now);
    EXPECT_GT(this->health.failureShare("t", this->now), 0.35);
    EXPECT_LT(this->health.failureShare("t", this->now + 20s), 0.05);
}

TEST_F(TargetHealthTest, FullTargetIsLeftOutBrieflyAndNotBlamed)
{
    this->health.note("t", SendOutcome::Declined, this->now);
    EXPECT_TRUE(this->health.isEjected("t", this->now + 50ms));
    EXPECT_FALSE(this->health.isEjected("t", this->now + 150ms));
    EXPECT_EQ(this->health.failureShare("t", this->now), 0);
}

TEST_F(TargetHealthTest, OldRecordsAreForgotten)
{
    this->health.note("t", SendOutcome::Failed, this->now);
    this->health.expire(this->now + 2min);
    EXPECT_EQ(this->health.failureShare("t", this->now), 0);
}

}
}
