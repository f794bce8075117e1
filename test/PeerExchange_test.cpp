#include "serving/PeerExchange.h"

#include <algorithm>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class PeerExchangeTest : public testing::Test {
protected:
    wire::LoadNotice notice(std::string sender, std::int64_t sequence, std::int64_t version = 1)
    {
        wire::LoadNotice notice;
        notice.sender = std::move(sender);
        notice.incarnation = 100;
        notice.sequence = sequence;
        notice.validMs = 1500;
        notice.configurationVersion = version;
        notice.targetsAgeMs = 100;
        return notice;
    }

    template <typename Command> static std::vector<Command> only(const PeerCommands& commands)
    {
        std::vector<Command> found;
        for (const auto& command : commands) {
            if (const auto* one = std::get_if<Command>(&command))
                found.push_back(*one);
        }
        return found;
    }

    TimePoint now { 1h };
    OwnKnowledge own { 1, 100ms };
    PeerExchange exchange { "10.0.0.1:1", "zone-a", { "10.0.0.1:1", "10.0.0.2:1" }, std::mt19937_64 { 1 } };
};

// 60 instances in three zones: those that share engines hear of every prompt, some others once in a while.
TEST_F(PeerExchangeTest, PeersOfTheOwnZoneAreToldFirstWhenThereAreTooManyForAll)
{
    for (int number = 2; number <= 60; ++number) {
        auto heard = this->notice("10.0.0." + std::to_string(number) + ":1", 1);
        heard.availabilityZone = number <= 20 ? "zone-a" : number <= 40 ? "zone-b" : "zone-c";
        this->exchange.receive(heard, this->now);
    }
    this->exchange.greet(this->now);
    std::set<std::string> told;
    for (const auto& send : only<SendNotice>(this->exchange.nudge(this->now)))
        told.insert(send.address);
    EXPECT_EQ(told.size(), 19U + PeerExchange::FarFanout);
    for (int number = 2; number <= 20; ++number)
        EXPECT_TRUE(told.contains("10.0.0." + std::to_string(number) + ":1"));
}

TEST_F(PeerExchangeTest, AllPeersAreToldWhileTheyAreFewWhateverTheirZone)
{
    for (int number = 2; number <= 9; ++number) {
        auto heard = this->notice("10.0.0." + std::to_string(number) + ":1", 1);
        heard.availabilityZone = number % 2 == 0 ? "zone-a" : "zone-b";
        this->exchange.receive(heard, this->now);
    }
    this->exchange.greet(this->now);
    EXPECT_EQ(only<SendNotice>(this->exchange.nudge(this->now)).size(), 8U);
}

TEST_F(PeerExchangeTest, SeedsAreTriedOftenAtFirstAndThenOnceASecond)
{
    const auto first = only<SendNotice>(this->exchange.tick(this->own, false, this->now));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first.front().address, "10.0.0.2:1");
    EXPECT_EQ(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 100ms)).size(), 1U);
    EXPECT_EQ(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 4s)).size(), 1U);
    EXPECT_TRUE(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 4500ms)).empty());
    EXPECT_EQ(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 5s)).size(), 1U);
}

// All instances start at once: whoever hears of another answers before its next round.
TEST_F(PeerExchangeTest, PeerThatWasNotLiveIsAnsweredAtOnce)
{
    this->exchange.receive(this->notice("10.0.0.7:1", 1), this->now);
    const auto greetings = only<SendNotice>(this->exchange.greet(this->now));
    ASSERT_EQ(greetings.size(), 1U);
    EXPECT_EQ(greetings.front().address, "10.0.0.7:1");
    this->exchange.receive(this->notice("10.0.0.7:1", 2), this->now + 10ms);
    EXPECT_TRUE(this->exchange.greet(this->now + 10ms).empty());
}

TEST_F(PeerExchangeTest, PeerThatIsHeardIsLiveUntilItsNoticeLapses)
{
    EXPECT_TRUE(this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now));
    EXPECT_EQ(this->exchange.livePeers(this->now), 1U);
    EXPECT_EQ(this->exchange.livePeers(this->now + 1500ms), 0U);
}

TEST_F(PeerExchangeTest, OldAndRepeatedNoticesAreDropped)
{
    EXPECT_TRUE(this->exchange.receive(this->notice("10.0.0.2:1", 5), this->now));
    EXPECT_FALSE(this->exchange.receive(this->notice("10.0.0.2:1", 5), this->now));
    EXPECT_FALSE(this->exchange.receive(this->notice("10.0.0.2:1", 4), this->now));
}

TEST_F(PeerExchangeTest, RestartedPeerBeginsItsSequenceAgain)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 5), this->now);
    auto restarted = this->notice("10.0.0.2:1", 1);
    restarted.incarnation = 101;
    EXPECT_TRUE(this->exchange.receive(restarted, this->now));
}

TEST_F(PeerExchangeTest, OwnNoticeIsDropped)
{
    EXPECT_FALSE(this->exchange.receive(this->notice("10.0.0.1:1", 1), this->now));
}

TEST_F(PeerExchangeTest, LeavingPeerIsNoLongerLive)
{
    auto leaving = this->notice("10.0.0.2:1", 1);
    leaving.leaving = true;
    this->exchange.receive(leaving, this->now);
    EXPECT_EQ(this->exchange.livePeers(this->now), 0U);
}

TEST_F(PeerExchangeTest, IntroducedPeersAreContacted)
{
    auto introduction = this->notice("10.0.0.2:1", 1);
    introduction.peers = { "10.0.0.3:1", "10.0.0.1:1" };
    this->exchange.receive(introduction, this->now);
    const auto sent = only<SendNotice>(this->exchange.tick(this->own, true, this->now));
    EXPECT_TRUE(std::ranges::any_of(sent, [](const SendNotice& one) { return one.address == "10.0.0.3:1"; }));
    EXPECT_TRUE(std::ranges::none_of(sent, [](const SendNotice& one) { return one.address == "10.0.0.1:1"; }));
}

TEST_F(PeerExchangeTest, NewerConfigurationOfAPeerIsFetched)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1, 7), this->now);
    const auto fetches = only<FetchRecords>(this->exchange.tick(this->own, false, this->now));
    ASSERT_EQ(fetches.size(), 1U);
    EXPECT_EQ(fetches.front().address, "10.0.0.2:1");
    EXPECT_FALSE(fetches.front().wantsTargets);
}

TEST_F(PeerExchangeTest, StaleTargetsAreFetchedFromAPeerWithNewerOnes)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now);
    this->own.targetsAge = 3s;
    const auto fetches = only<FetchRecords>(this->exchange.tick(this->own, false, this->now));
    ASSERT_EQ(fetches.size(), 1U);
    EXPECT_TRUE(fetches.front().wantsTargets);
}

TEST_F(PeerExchangeTest, NothingIsFetchedFromPeersThatKnowNoMore)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now);
    EXPECT_TRUE(only<FetchRecords>(this->exchange.tick(this->own, false, this->now)).empty());
}

// 1,100 instances: the bytes that one sends for control must not grow with their number.
TEST_F(PeerExchangeTest, DatagramsOfOneInstanceStayBoundedWithManyPeers)
{
    for (int peer = 0; peer < 1100; ++peer)
        this->exchange.receive(this->notice("10.1." + std::to_string(peer) + ":1", 1), this->now);
    std::size_t sent = 0;
    for (auto at = this->now; at < this->now + 1s; at += 100ms) {
        sent += only<SendNotice>(this->exchange.tick(this->own, true, at)).size();
        sent += only<SendNotice>(this->exchange.nudge(at)).size();
    }
    EXPECT_LE(sent,
        3 * PeerExchange::Fanout + static_cast<std::size_t>(PeerExchange::NudgeBurst + PeerExchange::NudgesPerSecond)
            + 1);
}

TEST_F(PeerExchangeTest, PlacedPromptsAreToldAtOnceWithinTheBudget)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now);
    std::size_t sent = 0;
    for (int nudge = 0; nudge < 1000; ++nudge)
        sent += this->exchange.nudge(this->now).size();
    EXPECT_EQ(sent, static_cast<std::size_t>(PeerExchange::NudgeBurst));
}

TEST_F(PeerExchangeTest, SilentPeersAreForgottenAndSeedsAreNot)
{
    this->exchange.receive(this->notice("10.0.0.9:1", 1), this->now);
    this->exchange.tick(this->own, false, this->now + 61s);
    const auto sent = only<SendNotice>(this->exchange.tick(this->own, false, this->now + 63s));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().address, "10.0.0.2:1");
}

}
}
