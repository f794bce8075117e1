#include "serving/TargetDirectory.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class TargetDirectoryTest : public testing::Test {
protected:
    static TargetEntry entry(std::string id, bool isLeaving = false)
    {
        TargetEntry entry;
        entry.id = std::move(id);
        entry.service = "s";
        entry.address = "127.0.0.1:80";
        entry.isLeaving = isLeaving;
        return entry;
    }

    TimePoint now { 1h };
    TargetDirectory directory;
};

TEST_F(TargetDirectoryTest, ReadyTargetIsAvailableToItsServiceOnly)
{
    this->directory.upsert(entry("t"), this->now);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
    EXPECT_TRUE(this->directory.available("other").empty());
}

TEST_F(TargetDirectoryTest, LeavingTargetIsNotAvailable)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.upsert(entry("t", true), this->now);
    EXPECT_TRUE(this->directory.available("s").empty());
}

TEST_F(TargetDirectoryTest, RemovalBetweenRegularReadsTakesEffectAtOnce)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.noteRead(this->now);
    EXPECT_TRUE(this->directory.remove("t", this->now + 600ms));
    EXPECT_TRUE(this->directory.available("s").empty());
}

TEST_F(TargetDirectoryTest, RemovalRightAfterAnOutageIsHeldBackUntilTheGraceIsOver)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.noteRead(this->now);
    const auto back = this->now + 10s;
    this->directory.remove("t", back);
    this->directory.noteRead(back);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
    this->directory.noteRead(back + 2100ms);
    EXPECT_TRUE(this->directory.available("s").empty());
}

TEST_F(TargetDirectoryTest, TargetThatRegistersAgainWithinTheGraceStays)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.noteRead(this->now);
    const auto back = this->now + 10s;
    this->directory.remove("t", back);
    this->directory.noteRead(back);
    this->directory.upsert(entry("t"), back + 1s);
    this->directory.noteRead(back + 3s);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
}

TEST_F(TargetDirectoryTest, LeavingTargetIsRemovedDespiteAnOutage)
{
    this->directory.upsert(entry("t", true), this->now);
    this->directory.noteRead(this->now);
    EXPECT_TRUE(this->directory.remove("t", this->now + 10s));
}

TEST_F(TargetDirectoryTest, TargetMarkedLeavingStaysOutUntilItStartsAgain)
{
    auto target = entry("t");
    this->directory.upsert(target, this->now);
    this->directory.markLeaving("t");
    EXPECT_TRUE(this->directory.available("s").empty());
    target.born = 7;
    this->directory.upsert(target, this->now);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
}

TEST_F(TargetDirectoryTest, WholeListingRemovesWhatItDoesNotName)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.noteRead(this->now);
    EXPECT_TRUE(this->directory.replaceAll({ entry("u") }, this->now + 100ms));
    EXPECT_EQ(this->directory.find("t"), nullptr);
    EXPECT_NE(this->directory.find("u"), nullptr);
}

TEST_F(TargetDirectoryTest, AgeIsUnknownBeforeTheFirstRead)
{
    EXPECT_FALSE(this->directory.age(this->now));
    this->directory.noteRead(this->now);
    EXPECT_EQ(this->directory.age(this->now + 300ms), Duration { 300ms });
}

}
}
