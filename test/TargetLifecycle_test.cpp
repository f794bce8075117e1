#include <marigoldpaddle/TargetLifecycle.h>

#include <gtest/gtest.h>

using namespace marigoldpaddle;

namespace {

class TargetLifecycleTest : public testing::Test {
protected:
    void repeat(TargetEvent event, int times)
    {
        for (int i = 0; i < times; ++i)
            this->target.handle(event, this->clock.now());
    }

    ManualClock clock;
    TargetLifecycle target;
};

TEST_F(TargetLifecycleTest, NewTargetAcceptsRequests)
{
    EXPECT_EQ(name(this->target.condition()), name(TargetCondition::Live));
    EXPECT_TRUE(this->target.acceptsRequests());
}

TEST_F(TargetLifecycleTest, TargetIsSuspectedAfterTwoUnansweredProbesUntilItAnswers)
{
    this->repeat(TargetEvent::Unanswered, 2);
    EXPECT_EQ(name(this->target.condition()), name(TargetCondition::Suspected));
    EXPECT_TRUE(this->target.handle(TargetEvent::Answered, this->clock.now()));
    EXPECT_TRUE(this->target.acceptsRequests());
}

TEST_F(TargetLifecycleTest, SingleUnansweredProbesBetweenAnswersDoNotSuspectTheTarget)
{
    for (int i = 0; i < 10; ++i) {
        this->repeat(TargetEvent::Unanswered, 1);
        this->repeat(TargetEvent::Answered, 1);
    }
    EXPECT_TRUE(this->target.acceptsRequests());
}

TEST_F(TargetLifecycleTest, LeavingTargetStaysDrainingAfterLateAnswersAndKeepsTheFirstLeavingTime)
{
    const auto first = this->clock.now();
    this->repeat(TargetEvent::Leaving, 1);
    this->clock.advance(std::chrono::seconds { 5 });
    this->repeat(TargetEvent::Answered, 3);
    this->repeat(TargetEvent::Leaving, 1);
    EXPECT_EQ(name(this->target.condition()), name(TargetCondition::Draining));
    EXPECT_EQ(this->target.leavingSince(), first);
}

TEST_F(TargetLifecycleTest, UnresponsiveOrRemovedTargetIsGonePermanently)
{
    this->repeat(TargetEvent::Unanswered, 40);
    EXPECT_EQ(name(this->target.condition()), name(TargetCondition::Gone));
    this->repeat(TargetEvent::Answered, 1);
    EXPECT_EQ(name(this->target.condition()), name(TargetCondition::Gone));
    TargetLifecycle removed;
    removed.handle(TargetEvent::Removed, this->clock.now());
    EXPECT_EQ(name(removed.condition()), name(TargetCondition::Gone));
}

}
