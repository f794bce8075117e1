#include "programs/RequestTimeline.h"

#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

class RequestTimelineTest : public testing::Test {
protected:
    void read(const std::string& text)
    {
        std::istringstream log { text };
        this->timeline.read(log);
    }

    RequestTimeline timeline { "9c41" };
};

TEST_F(RequestTimelineTest, LinesOfOtherRequestsAreOmitted)
{
    this->read("2026-12-04T03:00:00.000 instance=a event=sent id=9c41 target=t\n"
               "2026-12-04T03:00:00.001 instance=a event=sent id=9c42 target=t\n"
               "not a log line id=9c41\n"
               "2026-12-04T03:00:00.002 instance=a event=finished id=9c41 outcome=answered\n");
    EXPECT_THAT(this->timeline.lines(), ElementsAre(HasSubstr("event=sent id=9c41"), HasSubstr("event=finished")));
}

TEST_F(RequestTimelineTest, LogsOfSeveralInstancesAreMergedByTime)
{
    this->read("2026-12-04T03:00:00.000 instance=a event=sent id=9c41\n"
               "2026-12-04T03:00:02.000 instance=a event=finished id=9c41\n");
    this->read("2026-12-04T03:00:01.000 instance=b event=sent id=9c41\n");
    EXPECT_THAT(this->timeline.lines(),
        ElementsAre(HasSubstr("instance=a event=sent"), HasSubstr("instance=b"), HasSubstr("event=finished")));
}

TEST_F(RequestTimelineTest, LinesOfOneLogKeepTheirOrderWhenItsClockStepsBack)
{
    this->read("2026-12-04T03:00:05.000 instance=a event=sent id=9c41\n"
               "2026-12-04T03:00:01.000 instance=a event=finished id=9c41\n");
    EXPECT_THAT(this->timeline.lines(), ElementsAre(HasSubstr("event=sent"), HasSubstr("event=finished")));
}

TEST_F(RequestTimelineTest, LastChangeOfATargetPrecedesTheLineThatNamesIt)
{
    this->read("2026-12-04T03:00:00.000 instance=a event=target_changed target=t leaving=false\n"
               "2026-12-04T03:00:01.000 instance=a event=target_changed target=t leaving=true\n"
               "2026-12-04T03:00:02.000 instance=a event=sent id=9c41 target=t\n");
    EXPECT_THAT(this->timeline.lines(), ElementsAre(HasSubstr("leaving=true"), HasSubstr("event=sent")));
}

TEST_F(RequestTimelineTest, QuotedFieldValueIsReturnedWithoutQuotesAndEscapes)
{
    EXPECT_EQ(logFieldValue("x event=a problem=\"no \\\"value\\\"\" id=1", "problem"), "no \"value\"");
    EXPECT_EQ(logFieldValue("x event=a", "problem"), "");
}

}
}
