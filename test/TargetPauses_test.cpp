#include "serving/TargetPauses.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class TargetPausesTest : public testing::Test {
protected:
    TimePoint now { 1h };
    TargetPauses pauses;
};

TEST_F(TargetPausesTest, PauseHoldsUntilItsEnd)
{
    EXPECT_FALSE(this->pauses.isPaused("t", this->now));
    EXPECT_EQ(this->pauses.pause("t", 2s, this->now), Duration { 2s });
    EXPECT_EQ(this->pauses.end("t", this->now + 1999ms), this->now + 2s);
    EXPECT_FALSE(this->pauses.isPaused("t", this->now + 2s));
    EXPECT_FALSE(this->pauses.isPaused("other", this->now));
}

// Each refusal states its own time, and answers to concurrent requests arrive in any order.
TEST_F(TargetPausesTest, ShorterPauseDoesNotEndALongerOne)
{
    this->pauses.pause("t", 3s, this->now);
    EXPECT_FALSE(this->pauses.pause("t", 1s, this->now + 1s));
    EXPECT_TRUE(this->pauses.isPaused("t", this->now + 2999ms));
    EXPECT_TRUE(this->pauses.pause("t", 3s, this->now + 1s));
    EXPECT_EQ(this->pauses.end("t", this->now + 1s), this->now + 4s);
}

TEST_F(TargetPausesTest, PauseOfNoLengthIsNone)
{
    EXPECT_FALSE(this->pauses.pause("t", 0s, this->now));
    EXPECT_FALSE(this->pauses.isPaused("t", this->now));
}

// A target that states a huge time, by mistake or not, must be used again.
TEST_F(TargetPausesTest, LongPauseIsCutToTheLimit)
{
    this->pauses.setLongestPause(5s);
    EXPECT_EQ(this->pauses.pause("t", 24h, this->now), Duration { 5s });
    EXPECT_FALSE(this->pauses.isPaused("t", this->now + 5s));
}

TEST_F(TargetPausesTest, ExpiryKeepsPausesThatStillHold)
{
    this->pauses.pause("t", 2s, this->now);
    this->pauses.expire(this->now + 1s);
    EXPECT_TRUE(this->pauses.isPaused("t", this->now + 1s));
    this->pauses.expire(this->now + 2s);
    EXPECT_FALSE(this->pauses.end("t", this->now));
}

}
}
