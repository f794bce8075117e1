#include "serving/EventStream.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

class EventStreamTest : public testing::Test {
protected:
    EventStream stream;
};

TEST_F(EventStreamTest, WholeEventsAreReturnedUnchanged)
{
    EXPECT_EQ(this->stream.take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(this->stream.lastId(), 2U);
}

TEST_F(EventStreamTest, PartOfAnEventWaitsForItsEnd)
{
    EXPECT_EQ(this->stream.take("id: 1\ndata: a"), "");
    EXPECT_TRUE(this->stream.isInsideEvent());
    EXPECT_EQ(this->stream.take("\n\n"), "id: 1\ndata: a\n\n");
    EXPECT_FALSE(this->stream.isInsideEvent());
}

TEST_F(EventStreamTest, MissingEventBreaksTheStreamAndKeepsWhatCameBefore)
{
    EXPECT_EQ(this->stream.take("id: 1\n\nid: 3\n\n"), "id: 1\n\n");
    EXPECT_TRUE(this->stream.isBroken());
    EXPECT_EQ(this->stream.take("id: 4\n\n"), "");
}

TEST_F(EventStreamTest, RepeatedEventBreaksTheStream)
{
    this->stream.take("id: 1\n\nid: 1\n\n");
    EXPECT_TRUE(this->stream.isBroken());
}

TEST_F(EventStreamTest, ResumedStreamMustContinueAfterTheLastEvent)
{
    EventStream resumed { 12 };
    EXPECT_EQ(resumed.take("id: 13\n\n"), "id: 13\n\n");
    EventStream restarted { 12 };
    EXPECT_EQ(restarted.take("id: 0\n\n"), "");
    EXPECT_TRUE(restarted.isBroken());
}

TEST_F(EventStreamTest, EventWithoutAnIdPasses)
{
    EXPECT_EQ(this->stream.take(": comment\n\n"), ": comment\n\n");
}

TEST_F(EventStreamTest, EventWithCarriageReturnsIsWhole)
{
    EXPECT_EQ(this->stream.take("id: 1\r\ndata: a\r\n\r\n"), "id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(this->stream.lastId(), 1U);
}

TEST_F(EventStreamTest, GarbledIdBreaksTheStream)
{
    this->stream.take("id: 1x\n\n");
    EXPECT_TRUE(this->stream.isBroken());
}

TEST_F(EventStreamTest, EndlessEventBreaksTheStream)
{
    this->stream.take(std::string(2 << 20, 'x'));
    EXPECT_TRUE(this->stream.isBroken());
}

}
}
