#include "serving/WaitingPrompts.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class WaitingPromptsTest : public testing::Test {
protected:
    TimePoint now { 1h };
    WaitingPrompts waiting;
};

TEST_F(WaitingPromptsTest, OnlyPromptIsMostUrgent)
{
    EXPECT_TRUE(this->waiting.isMostUrgent(this->now + 1s, this->now));
}

TEST_F(WaitingPromptsTest, MoreUrgentPromptOfTheSameInstancePrecedes)
{
    const auto urgent = this->waiting.add(this->now + 1s);
    EXPECT_FALSE(this->waiting.isMostUrgent(this->now + 2s, this->now));
    this->waiting.remove(urgent);
    EXPECT_TRUE(this->waiting.isMostUrgent(this->now + 2s, this->now));
}

TEST_F(WaitingPromptsTest, MoreUrgentPromptOfAPeerPrecedesUntilItsReportExpires)
{
    this->waiting.updatePeer("peer", this->now + 1s, this->now);
    EXPECT_FALSE(this->waiting.isMostUrgent(this->now + 2s, this->now));
    EXPECT_TRUE(this->waiting.isMostUrgent(this->now + 500ms, this->now));
    EXPECT_TRUE(this->waiting.isMostUrgent(this->now + 2s, this->now + 400ms));
}

TEST_F(WaitingPromptsTest, PeerWithoutWaitingPromptsDoesNotPrecede)
{
    this->waiting.updatePeer("peer", this->now + 1s, this->now);
    this->waiting.updatePeer("peer", TimePoint::max(), this->now + 10ms);
    EXPECT_TRUE(this->waiting.isMostUrgent(this->now + 2s, this->now + 10ms));
}

}
}
