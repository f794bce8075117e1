#include "serving/WaitingPrompts.h"

#include <gtest/gtest.h>

#include "serving/ServingConfiguration.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class WaitingPromptsTest : public testing::Test {
protected:
    // Of the default rank.
    PromptUrgency startingIn(Duration time) const
    {
        return { DefaultRank, this->now + time };
    }

    TimePoint now { 1h };
    WaitingPrompts waiting;
};

TEST_F(WaitingPromptsTest, OnlyPromptIsMostUrgent)
{
    EXPECT_TRUE(this->waiting.isMostUrgent(this->startingIn(1s), this->now));
}

TEST_F(WaitingPromptsTest, MoreUrgentPromptOfTheSameInstancePrecedes)
{
    const auto urgent = this->waiting.add(this->startingIn(1s));
    EXPECT_FALSE(this->waiting.isMostUrgent(this->startingIn(2s), this->now));
    this->waiting.remove(urgent);
    EXPECT_TRUE(this->waiting.isMostUrgent(this->startingIn(2s), this->now));
}

TEST_F(WaitingPromptsTest, MoreUrgentPromptOfAPeerPrecedesUntilItsReportExpires)
{
    this->waiting.updatePeer("peer", this->startingIn(1s), this->now);
    EXPECT_FALSE(this->waiting.isMostUrgent(this->startingIn(2s), this->now));
    EXPECT_TRUE(this->waiting.isMostUrgent(this->startingIn(500ms), this->now));
    EXPECT_TRUE(this->waiting.isMostUrgent(this->startingIn(2s), this->now + 400ms));
}

TEST_F(WaitingPromptsTest, PeerWithoutWaitingPromptsDoesNotPrecede)
{
    this->waiting.updatePeer("peer", this->startingIn(1s), this->now);
    this->waiting.updatePeer("peer", std::nullopt, this->now + 10ms);
    EXPECT_TRUE(this->waiting.isMostUrgent(this->startingIn(2s), this->now + 10ms));
}

// Guards against a crest of prompts of a low rank that makes those of a higher one wait.
TEST_F(WaitingPromptsTest, PromptOfAHigherRankPrecedesOneThatHasToStartEarlier)
{
    this->waiting.updatePeer("peer", PromptUrgency { 1, this->now + 5s }, this->now);
    EXPECT_FALSE(this->waiting.isMostUrgent({ 2, this->now + 1s }, this->now));
    EXPECT_TRUE(this->waiting.isMostUrgent({ 0, this->now + 9s }, this->now));
}

}
}
