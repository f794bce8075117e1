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
    EXPECT_EQ(this->stream.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(this->stream.lastId(), 2U);
}

TEST_F(EventStreamTest, IncompleteEventIsBufferedUntilItsEnd)
{
    EXPECT_EQ(this->stream.feed("id: 1\ndata: a"), "");
    EXPECT_TRUE(this->stream.hasPartialEvent());
    EXPECT_EQ(this->stream.feed("\n\n"), "id: 1\ndata: a\n\n");
    EXPECT_FALSE(this->stream.hasPartialEvent());
}

TEST_F(EventStreamTest, MissingEventBreaksTheStreamAfterTheEventsBeforeIt)
{
    EXPECT_EQ(this->stream.feed("id: 1\n\nid: 3\n\n"), "id: 1\n\n");
    EXPECT_TRUE(this->stream.isBroken());
    EXPECT_EQ(this->stream.feed("id: 4\n\n"), "");
}

TEST_F(EventStreamTest, RepeatedEventBreaksTheStream)
{
    this->stream.feed("id: 1\n\nid: 1\n\n");
    EXPECT_TRUE(this->stream.isBroken());
}

TEST_F(EventStreamTest, ResumedStreamMustContinueAfterTheLastEvent)
{
    EventStream resumed { 12 };
    EXPECT_EQ(resumed.feed("id: 13\n\n"), "id: 13\n\n");
    EventStream restarted { 12 };
    EXPECT_EQ(restarted.feed("id: 0\n\n"), "");
    EXPECT_TRUE(restarted.isBroken());
}

TEST_F(EventStreamTest, EventWithoutAnIdIsAccepted)
{
    EXPECT_EQ(this->stream.feed(": comment\n\n"), ": comment\n\n");
}

TEST_F(EventStreamTest, EventWithCarriageReturnsIsAccepted)
{
    EXPECT_EQ(this->stream.feed("id: 1\r\ndata: a\r\n\r\n"), "id: 1\r\ndata: a\r\n\r\n");
    EXPECT_EQ(this->stream.lastId(), 1U);
}

TEST_F(EventStreamTest, MalformedIdBreaksTheStream)
{
    this->stream.feed("id: 1x\n\n");
    EXPECT_TRUE(this->stream.isBroken());
}

TEST_F(EventStreamTest, OversizedEventBreaksTheStream)
{
    this->stream.feed(std::string(2 << 20, 'x'));
    EXPECT_TRUE(this->stream.isBroken());
}

}
}
