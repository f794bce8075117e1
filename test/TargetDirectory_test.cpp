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

    BootTime now { 1h };
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

TEST_F(TargetDirectoryTest, TargetOfAnEvacuatedZoneAcceptsNoWork)
{
    auto target = entry("t");
    target.availabilityZone = "a";
    this->directory.upsert(target, this->now);
    this->directory.setEvacuatedZones({ "a" });
    EXPECT_TRUE(this->directory.available("s").empty());
    EXPECT_FALSE(this->directory.acceptsWork(target));
    EXPECT_TRUE(this->directory.hasEvacuatedTargets("s"));
    EXPECT_NE(this->directory.find("t"), nullptr) << "its memory reservations are still released";
    this->directory.setEvacuatedZones({});
    EXPECT_EQ(this->directory.available("s").size(), 1U);
}

// Guards against a target that starts in a zone after its evacuation began.
TEST_F(TargetDirectoryTest, TargetRegisteredDuringTheEvacuationOfItsZoneAcceptsNoWork)
{
    this->directory.setEvacuatedZones({ "a" });
    auto target = entry("t");
    target.availabilityZone = "a";
    this->directory.upsert(target, this->now);
    EXPECT_FALSE(this->directory.acceptsWork(target));
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

// The target's own answer said that it leaves. What follows must not make it available again before it restarts.
class TargetDirectoryMarkTest : public TargetDirectoryTest {
protected:
    static constexpr std::uint64_t Incarnation = 7;

    TargetDirectoryMarkTest()
    {
        this->directory.upsert(this->target, this->now);
        this->directory.recordRead(this->now);
        EXPECT_TRUE(this->directory.markLeaving(this->target, this->now));
    }

    static TargetEntry incarnation(std::uint64_t number)
    {
        auto target = entry("t");
        target.incarnation = number;
        return target;
    }

    bool isAvailable() const
    {
        return !this->directory.available("s").empty();
    }

    TargetEntry target { incarnation(Incarnation) };
};

TEST_F(TargetDirectoryMarkTest, MarkedTargetIsUnavailableAndAcceptsNoWork)
{
    EXPECT_FALSE(this->isAvailable());
    EXPECT_FALSE(this->directory.acceptsWork(this->target));
    EXPECT_FALSE(this->directory.markLeaving(this->target, this->now)) << "marked twice";
}

TEST_F(TargetDirectoryMarkTest, NewIncarnationIsAvailable)
{
    EXPECT_TRUE(this->directory.upsert(incarnation(8), this->now));
    EXPECT_TRUE(this->isAvailable());
}

TEST_F(TargetDirectoryMarkTest, ListInWhichTheTargetIsStillReadyChangesNothing)
{
    auto changed = this->target;
    changed.slots = 9;
    this->directory.upsert(changed, this->now + 100ms);
    EXPECT_FALSE(this->isAvailable());
    this->directory.replaceAll({ this->target }, this->now + 200ms);
    EXPECT_FALSE(this->isAvailable());
}

TEST_F(TargetDirectoryMarkTest, SameIncarnationAtAnotherAddressIsUnavailable)
{
    auto moved = this->target;
    moved.address = "127.0.0.2:80";
    this->directory.upsert(moved, this->now);
    EXPECT_FALSE(this->isAvailable());
}

// A peer's older list, or an older copy of the store, still has the incarnation before this one.
TEST_F(TargetDirectoryMarkTest, OlderIncarnationChangesNothing)
{
    this->directory.upsert(incarnation(5), this->now);
    EXPECT_FALSE(this->isAvailable());
    this->directory.upsert(this->target, this->now);
    EXPECT_FALSE(this->isAvailable());
}

TEST_F(TargetDirectoryMarkTest, OlderIncarnationDoesNotReplaceARestartedTarget)
{
    this->directory.upsert(incarnation(8), this->now);
    EXPECT_FALSE(this->directory.upsert(this->target, this->now));
    EXPECT_TRUE(this->directory.acceptsWork(incarnation(8)));
}

// The registration disappears after a gap in reading, when removals are deferred, and an older list brings it back.
TEST_F(TargetDirectoryMarkTest, RegistrationThatComesBackAfterADeferredRemovalIsUnavailable)
{
    const auto recovered = this->now + 10s;
    this->directory.remove("t", recovered);
    this->directory.recordRead(recovered);
    this->directory.recordRead(recovered + 2100ms);
    this->directory.upsert(this->target, recovered + 3s);
    EXPECT_FALSE(this->isAvailable());
}

TEST_F(TargetDirectoryMarkTest, RegistrationThatComesBackFromAnOlderCopyOfTheStoreIsUnavailable)
{
    this->directory.beginRecovery(this->now + 100ms);
    this->directory.remove("t", this->now + 200ms);
    this->directory.upsert(this->target, this->now + 1s);
    EXPECT_FALSE(this->isAvailable());
}

TEST_F(TargetDirectoryMarkTest, AnswerOfAnEarlierIncarnationDoesNotMarkTheRestartedTarget)
{
    this->directory.upsert(incarnation(8), this->now);
    EXPECT_FALSE(this->directory.markLeaving(this->target, this->now));
    EXPECT_TRUE(this->isAvailable());
    this->directory.upsert(incarnation(9), this->now);
    EXPECT_TRUE(this->directory.markLeaving(incarnation(8), this->now));
    EXPECT_TRUE(this->isAvailable());
}

// The answer comes after the registration is gone, and an older list brings the registration back.
TEST_F(TargetDirectoryTest, UnregisteredTargetThatIsMarkedLeavingDoesNotComeBackUntilItRestarts)
{
    const auto target = entry("t");
    this->directory.upsert(target, this->now);
    this->directory.remove("t", this->now);
    EXPECT_TRUE(this->directory.markLeaving(target, this->now + 1s));
    EXPECT_FALSE(this->directory.upsert(target, this->now + 5s));
    auto restarted = target;
    restarted.incarnation = 7;
    EXPECT_TRUE(this->directory.upsert(restarted, this->now + 5s));
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
