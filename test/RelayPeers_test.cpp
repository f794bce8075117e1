#include "serving/RelayPeers.h"

#include <map>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class RelayPeersTest : public ::testing::Test {
protected:
    static constexpr Duration Validity = 2s;

    void add(const std::string& name, const std::string& zone = "a", bool reachesTargets = true, unsigned load = 0)
    {
        RelayPeer peer { addressOf(name), zone, {}, load };
        if (!reachesTargets)
            peer.unreachableServices.insert(RelayPeers::serviceHash("s"));
        this->peers.update(name, peer, this->clock.now(), Validity);
    }

    static std::string addressOf(const std::string& name)
    {
        return name + ":1";
    }

    // How often each peer is chosen.
    std::map<std::string, unsigned> choices(unsigned count = 200)
    {
        std::map<std::string, unsigned> chosen;
        for (unsigned index = 0; index < count; ++index) {
            if (const auto peer = this->peers.choose("s", {}, this->clock.now()))
                ++chosen[*peer];
        }
        return chosen;
    }

    ManualClock clock;
    RelayPeers peers { "a", std::mt19937_64 { 1 } };
};

TEST_F(RelayPeersTest, NothingIsChosenWithoutPeers)
{
    EXPECT_FALSE(this->peers.choose("s", {}, this->clock.now()));
}

TEST_F(RelayPeersTest, PeerThatReachesNoTargetIsNotChosen)
{
    this->add("cut", "a", false);
    this->add("sound");
    EXPECT_EQ(this->choices().size(), 1U);
    EXPECT_EQ(this->choices().count(addressOf("sound")), 1U);
    EXPECT_FALSE(this->peers.isSound(addressOf("cut"), "s", this->clock.now()));
}

TEST_F(RelayPeersTest, PeerThatReachesNoTargetOfOneServiceServesTheOthers)
{
    this->add("cut", "a", false);
    EXPECT_FALSE(this->peers.choose("s", {}, this->clock.now()));
    EXPECT_TRUE(this->peers.choose("t", {}, this->clock.now()));
    EXPECT_EQ(this->peers.soundPeers("s", this->clock.now()), 0U);
    EXPECT_EQ(this->peers.soundPeers("t", this->clock.now()), 1U);
}

// An instance of an older version, or one without the listener.
TEST_F(RelayPeersTest, PeerWithoutAnAddressIsNotChosen)
{
    this->peers.update("old", { "", "a", {}, 0 }, this->clock.now(), Validity);
    EXPECT_FALSE(this->peers.choose("s", {}, this->clock.now()));
}

TEST_F(RelayPeersTest, PeerThatIsNotHeardOfAnyMoreIsNotChosen)
{
    this->add("frozen");
    this->clock.advance(Validity);
    EXPECT_FALSE(this->peers.choose("s", {}, this->clock.now()));
    EXPECT_FALSE(this->peers.isSound(addressOf("frozen"), "s", this->clock.now()));
}

// A peer that shuts down ends the requests that it has accepted, so that they must not be given up.
TEST_F(RelayPeersTest, PeerThatLeavesGetsNoNewRequestsAndKeepsItsOwn)
{
    this->peers.update("leaving", { addressOf("leaving"), "a", {}, 0, true }, this->clock.now(), Validity);
    EXPECT_FALSE(this->peers.choose("s", {}, this->clock.now()));
    EXPECT_TRUE(this->peers.isSound(addressOf("leaving"), "s", this->clock.now()));
}

TEST_F(RelayPeersTest, PeersOfTheZoneComeFirst)
{
    this->add("local1");
    this->add("local2");
    this->add("remote", "b");
    EXPECT_EQ(this->choices().count(addressOf("remote")), 0U);
}

TEST_F(RelayPeersTest, PeersOfAnotherZoneServeAZoneThatIsCutOffWhole)
{
    this->add("local1", "a", false);
    this->add("local2", "a", false);
    this->add("remote", "b");
    EXPECT_EQ(this->choices().count(addressOf("remote")), 1U);
}

// The one sound instance of a zone would carry the whole zone.
TEST_F(RelayPeersTest, RequestsOfAZoneThatIsMostlyCutOffAreSpreadOverAllZones)
{
    for (const std::string name : { "cut1", "cut2", "cut3" })
        this->add(name, "a", false);
    this->add("local");
    for (const std::string name : { "remote1", "remote2", "remote3" })
        this->add(name, "b");
    const auto chosen = this->choices(400);
    EXPECT_EQ(chosen.size(), 4U);
    for (const auto& [address, count] : chosen)
        EXPECT_NEAR(count, 100, 40) << address;
}

TEST_F(RelayPeersTest, EqualPeersGetEqualShares)
{
    this->add("first");
    this->add("second");
    const auto chosen = this->choices(400);
    EXPECT_NEAR(chosen.at(addressOf("first")), 200, 50);
}

TEST_F(RelayPeersTest, PeerWithFewerRelayedRequestsIsPreferred)
{
    this->add("busy", "a", true, 50);
    this->add("idle");
    EXPECT_EQ(this->choices().count(addressOf("busy")), 0U);
}

TEST_F(RelayPeersTest, RequestsInProgressAtOnePeerAreLimited)
{
    this->add("only");
    std::vector<std::unique_ptr<RelayPeers::Permit>> permits;
    while (const auto peer = this->peers.choose("s", {}, this->clock.now()))
        permits.push_back(std::make_unique<RelayPeers::Permit>(this->peers, *peer));
    EXPECT_EQ(permits.size(), RelayPeers::MaximumOutstanding);
    permits.pop_back();
    EXPECT_TRUE(this->peers.choose("s", {}, this->clock.now()));
}

TEST_F(RelayPeersTest, PeerThatWasTriedIsNotChosenAgain)
{
    this->add("first");
    EXPECT_FALSE(this->peers.choose("s", { addressOf("first") }, this->clock.now()));
}

TEST_F(RelayPeersTest, PeerIsAvoidedForATime)
{
    this->add("first");
    this->peers.avoid(addressOf("first"), this->clock.now(), RelayPeers::FailureAvoidance);
    this->peers.avoid(addressOf("first"), this->clock.now(), RelayPeers::BusyAvoidance);
    this->clock.advance(RelayPeers::BusyAvoidance);
    EXPECT_FALSE(this->peers.choose("s", {}, this->clock.now()));
    this->clock.advance(RelayPeers::FailureAvoidance);
    EXPECT_TRUE(this->peers.choose("s", {}, this->clock.now()));
}

}
}
