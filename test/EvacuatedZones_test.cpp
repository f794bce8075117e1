#include "serving/view/EvacuatedZones.h"

#include <array>

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class EvacuatedZonesTest : public testing::Test {
protected:
    bool change(std::uint64_t offset, std::string zone, bool isEvacuated, std::uint64_t era = 1)
    {
        const std::array changes { ZoneEvacuation { std::move(zone), isEvacuated } };
        return this->zones.applyChanges(changes, { era, offset }, this->now);
    }

    BootTime now { 100s };
    EvacuatedZones zones;
};

TEST_F(EvacuatedZonesTest, NothingIsKnownBeforeTheFirstListing)
{
    EXPECT_FALSE(this->zones.position());
    EXPECT_FALSE(this->change(5, "a", true)) << "changes do not start from a known set";
    EXPECT_TRUE(this->zones.inForce().empty());
}

TEST_F(EvacuatedZonesTest, ChangesAfterAListingApply)
{
    EXPECT_FALSE(this->zones.replace({}, { 1, 3 }, this->now));
    EXPECT_TRUE(this->change(4, "a", true));
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "a" });
    EXPECT_TRUE(this->change(5, "a", false));
    EXPECT_TRUE(this->zones.inForce().empty());
}

// Guards against an order of the operator that is lost because the zone's record was deleted and written again between
// two reads.
TEST_F(EvacuatedZonesTest, ZoneThatIsTakenBackAndEvacuatedAgainInOnePageStaysEvacuated)
{
    this->zones.replace({ "a" }, { 1, 3 }, this->now);
    const std::array changes { ZoneEvacuation { "a", false }, ZoneEvacuation { "a", true } };
    EXPECT_FALSE(this->zones.applyChanges(changes, { 1, 5 }, this->now));
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "a" });
}

// Guards against a slow read, or a late notice, that brings back an earlier set.
TEST_F(EvacuatedZonesTest, OlderPositionChangesNothing)
{
    this->zones.replace({ "a" }, { 1, 7 }, this->now);
    EXPECT_FALSE(this->zones.replace({}, { 1, 6 }, this->now));
    EXPECT_FALSE(this->change(7, "a", false));
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "a" });
}

TEST_F(EvacuatedZonesTest, SeveralZonesAreEvacuatedIndependently)
{
    this->zones.replace({ "a", "b" }, { 1, 7 }, this->now);
    this->change(8, "a", false);
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "b" });
}

// Guards against a store that comes back from an older copy and has lost the record for a moment.
TEST_F(EvacuatedZonesTest, ZoneThatARestoredStoreHasLostStaysEvacuatedForTheGracePeriod)
{
    this->zones.replace({ "a" }, { 1, 7 }, this->now);
    EXPECT_FALSE(this->zones.replace({}, { 2, 2 }, this->now));
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "a" });
    EXPECT_TRUE(this->zones.listed().empty()) << "peers are told what the store lists";
    this->now += EvacuatedZones::RestoreGrace;
    EXPECT_TRUE(this->zones.endRestoreGrace(this->now));
    EXPECT_TRUE(this->zones.inForce().empty());
}

TEST_F(EvacuatedZonesTest, ZoneThatTheOperatorWritesAgainOutlastsTheGracePeriod)
{
    this->zones.replace({ "a" }, { 1, 7 }, this->now);
    this->zones.replace({}, { 2, 2 }, this->now);
    this->change(3, "a", true, 2);
    this->now += EvacuatedZones::RestoreGrace;
    EXPECT_FALSE(this->zones.endRestoreGrace(this->now));
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "a" });
}

TEST_F(EvacuatedZonesTest, ZoneThatTheOperatorTakesBackAfterTheRestoreIsUsedAtOnce)
{
    this->zones.replace({ "a" }, { 1, 7 }, this->now);
    this->zones.replace({}, { 2, 2 }, this->now);
    EXPECT_TRUE(this->change(3, "a", false, 2));
    EXPECT_TRUE(this->zones.inForce().empty());
}

TEST_F(EvacuatedZonesTest, ChangesOfAnotherEraAreLeftToAListing)
{
    this->zones.replace({ "a" }, { 1, 7 }, this->now);
    EXPECT_FALSE(this->change(9, "a", false, 2));
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "a" });
}

// Guards against a notice that names an era that does not exist, after which nothing of the store would be newer.
TEST_F(EvacuatedZonesTest, ForgottenPositionKeepsTheZonesUntilTheNextListing)
{
    this->zones.replace({ "a", "b" }, { 99, 7 }, this->now);
    this->zones.forgetPosition(this->now);
    EXPECT_FALSE(this->zones.position());
    EXPECT_FALSE(this->zones.replace({ "a" }, { 1, 3 }, this->now));
    EXPECT_EQ(this->zones.inForce(), (ZoneNames { "a", "b" }));
    this->now += EvacuatedZones::RestoreGrace;
    EXPECT_TRUE(this->zones.endRestoreGrace(this->now));
    EXPECT_EQ(this->zones.inForce(), ZoneNames { "a" });
}

}
}
