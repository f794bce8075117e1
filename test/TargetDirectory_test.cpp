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
    this->directory.recordRead(this->now);
    EXPECT_TRUE(this->directory.remove("t", this->now + 600ms));
    EXPECT_TRUE(this->directory.available("s").empty());
}

TEST_F(TargetDirectoryTest, RemovalRightAfterAnOutageIsDeferredByTheGracePeriod)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.recordRead(this->now);
    const auto recovered = this->now + 10s;
    this->directory.remove("t", recovered);
    this->directory.recordRead(recovered);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
    this->directory.recordRead(recovered + 2100ms);
    EXPECT_TRUE(this->directory.available("s").empty());
}

TEST_F(TargetDirectoryTest, TargetThatRegistersAgainWithinTheGracePeriodStays)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.recordRead(this->now);
    const auto recovered = this->now + 10s;
    this->directory.remove("t", recovered);
    this->directory.recordRead(recovered);
    this->directory.upsert(entry("t"), recovered + 1s);
    this->directory.recordRead(recovered + 3s);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
}

TEST_F(TargetDirectoryTest, LeavingTargetIsRemovedDespiteAnOutage)
{
    this->directory.upsert(entry("t", true), this->now);
    this->directory.recordRead(this->now);
    EXPECT_TRUE(this->directory.remove("t", this->now + 10s));
}

TEST_F(TargetDirectoryTest, TargetMarkedLeavingIsUnavailableUntilItRestarts)
{
    auto target = entry("t");
    this->directory.upsert(target, this->now);
    this->directory.markLeaving("t");
    EXPECT_TRUE(this->directory.available("s").empty());
    target.incarnation = 7;
    this->directory.upsert(target, this->now);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
}

// A store that came back from an older copy, or a peer with an older list, still says "ready".
TEST_F(TargetDirectoryTest, LeavingTargetStaysSoUntilItRestarts)
{
    this->directory.upsert(entry("t", true), this->now);
    EXPECT_FALSE(this->directory.upsert(entry("t"), this->now));
    EXPECT_TRUE(this->directory.available("s").empty());
    auto restarted = entry("t");
    restarted.incarnation = 7;
    EXPECT_TRUE(this->directory.upsert(restarted, this->now));
    EXPECT_EQ(this->directory.available("s").size(), 1U);
}

TEST_F(TargetDirectoryTest, TargetThatHasLeftDoesNotComeBackUntilItRestarts)
{
    this->directory.upsert(entry("t", true), this->now);
    this->directory.remove("t", this->now);
    EXPECT_FALSE(this->directory.upsert(entry("t"), this->now + 5s));
    EXPECT_EQ(this->directory.find("t"), nullptr);
    auto restarted = entry("t");
    restarted.incarnation = 7;
    EXPECT_TRUE(this->directory.upsert(restarted, this->now + 5s));
}

// An older copy of the store lacks targets that registered since; they have two seconds to register again.
TEST_F(TargetDirectoryTest, RemovalDuringARecoveryOfTheStoreIsDeferredByTheGracePeriod)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.recordRead(this->now);
    this->directory.beginRecovery(this->now + 100ms);
    this->directory.remove("t", this->now + 200ms);
    this->directory.recordRead(this->now + 200ms);
    EXPECT_EQ(this->directory.available("s").size(), 1U);
    this->directory.recordRead(this->now + 2200ms);
    EXPECT_TRUE(this->directory.available("s").empty());
}

TEST_F(TargetDirectoryTest, CompleteListingRemovesMissingTargets)
{
    this->directory.upsert(entry("t"), this->now);
    this->directory.recordRead(this->now);
    EXPECT_TRUE(this->directory.replaceAll({ entry("u") }, this->now + 100ms));
    EXPECT_EQ(this->directory.find("t"), nullptr);
    EXPECT_NE(this->directory.find("u"), nullptr);
}

TEST_F(TargetDirectoryTest, AgeIsUnknownBeforeTheFirstRead)
{
    EXPECT_FALSE(this->directory.age(this->now));
    this->directory.recordRead(this->now);
    EXPECT_EQ(this->directory.age(this->now + 300ms), Duration { 300ms });
}

}
}
