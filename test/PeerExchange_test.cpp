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
    LocalState own { 1, 100ms };
    PeerExchange exchange { "10.0.0.1:1", "zone-a", { "10.0.0.1:1", "10.0.0.2:1" }, std::mt19937_64 { 1 } };
};

// Guards against placements on outdated loads with 60 instances in three zones: peers of the same zone, which use
// the same engines, have to be notified of every prompt; other peers only occasionally.
TEST_F(PeerExchangeTest, PeersOfTheLocalZoneAreNotifiedFirstBeyondTheFanout)
{
    for (int number = 2; number <= 60; ++number) {
        auto peerNotice = this->notice("10.0.0." + std::to_string(number) + ":1", 1);
        peerNotice.availabilityZone = number <= 20 ? "zone-a" : number <= 40 ? "zone-b" : "zone-c";
        this->exchange.receive(peerNotice, this->now);
    }
    this->exchange.replyToNewPeers(this->now);
    std::set<std::string> recipients;
    for (const auto& send : only<SendNotice>(this->exchange.notifyNow(this->now)))
        recipients.insert(send.address);
    EXPECT_EQ(recipients.size(), 19U + PeerExchange::RemoteZoneFanout);
    for (int number = 2; number <= 20; ++number)
        EXPECT_TRUE(recipients.contains("10.0.0." + std::to_string(number) + ":1"));
}

TEST_F(PeerExchangeTest, AllPeersAreNotifiedWithinTheFanout)
{
    for (int number = 2; number <= 9; ++number) {
        auto peerNotice = this->notice("10.0.0." + std::to_string(number) + ":1", 1);
        peerNotice.availabilityZone = number % 2 == 0 ? "zone-a" : "zone-b";
        this->exchange.receive(peerNotice, this->now);
    }
    this->exchange.replyToNewPeers(this->now);
    EXPECT_EQ(only<SendNotice>(this->exchange.notifyNow(this->now)).size(), 8U);
}

TEST_F(PeerExchangeTest, SeedsAreContactedOftenAtTheStartAndThenOnceASecond)
{
    const auto first = only<SendNotice>(this->exchange.tick(this->own, false, this->now));
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first.front().address, "10.0.0.2:1");
    EXPECT_EQ(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 100ms)).size(), 1U);
    EXPECT_EQ(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 4s)).size(), 1U);
    EXPECT_TRUE(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 4500ms)).empty());
    EXPECT_EQ(only<SendNotice>(this->exchange.tick(this->own, false, this->now + 5s)).size(), 1U);
}

// If all instances start at once, each answers the first notice of a peer before the next period, so that they soon
// discover each other.
TEST_F(PeerExchangeTest, NewlyLivePeerIsAnsweredAtOnce)
{
    this->exchange.receive(this->notice("10.0.0.7:1", 1), this->now);
    const auto replies = only<SendNotice>(this->exchange.replyToNewPeers(this->now));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies.front().address, "10.0.0.7:1");
    this->exchange.receive(this->notice("10.0.0.7:1", 2), this->now + 10ms);
    EXPECT_TRUE(this->exchange.replyToNewPeers(this->now + 10ms).empty());
}

TEST_F(PeerExchangeTest, PeerIsLiveUntilItsNoticeExpires)
{
    EXPECT_TRUE(this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now));
    EXPECT_EQ(this->exchange.livePeers(this->now), 1U);
    EXPECT_EQ(this->exchange.livePeers(this->now + 1500ms), 0U);
}

TEST_F(PeerExchangeTest, OutdatedAndDuplicateNoticesAreDropped)
{
    EXPECT_TRUE(this->exchange.receive(this->notice("10.0.0.2:1", 5), this->now));
    EXPECT_FALSE(this->exchange.receive(this->notice("10.0.0.2:1", 5), this->now));
    EXPECT_FALSE(this->exchange.receive(this->notice("10.0.0.2:1", 4), this->now));
}

TEST_F(PeerExchangeTest, NoticeOfARestartedPeerIsAcceptedWithALowerSequence)
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

TEST_F(PeerExchangeTest, LeavingPeerIsNotLive)
{
    auto leaving = this->notice("10.0.0.2:1", 1);
    leaving.leaving = true;
    this->exchange.receive(leaving, this->now);
    EXPECT_EQ(this->exchange.livePeers(this->now), 0U);
}

TEST_F(PeerExchangeTest, PeersNamedInANoticeAreContacted)
{
    auto withAddresses = this->notice("10.0.0.2:1", 1);
    withAddresses.peers = { "10.0.0.3:1", "10.0.0.1:1" };
    this->exchange.receive(withAddresses, this->now);
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

TEST_F(PeerExchangeTest, StaleTargetsAreFetchedFromAPeerWithANewerList)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now);
    this->own.targetsAge = 3s;
    const auto fetches = only<FetchRecords>(this->exchange.tick(this->own, false, this->now));
    ASSERT_EQ(fetches.size(), 1U);
    EXPECT_TRUE(fetches.front().wantsTargets);
}

TEST_F(PeerExchangeTest, NothingIsFetchedFromPeersWithoutNewerRecords)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now);
    EXPECT_TRUE(only<FetchRecords>(this->exchange.tick(this->own, false, this->now)).empty());
}

// Guards against control traffic that grows with the number of instances, here 1,100.
TEST_F(PeerExchangeTest, DatagramRateStaysBoundedWithManyPeers)
{
    for (int peer = 0; peer < 1100; ++peer)
        this->exchange.receive(this->notice("10.1." + std::to_string(peer) + ":1", 1), this->now);
    std::size_t sent = 0;
    for (auto at = this->now; at < this->now + 1s; at += 100ms) {
        sent += only<SendNotice>(this->exchange.tick(this->own, true, at)).size();
        sent += only<SendNotice>(this->exchange.notifyNow(at)).size();
    }
    EXPECT_LE(sent,
        3 * PeerExchange::Fanout + static_cast<std::size_t>(PeerExchange::NoticeBurst + PeerExchange::NoticesPerSecond)
            + 1);
}

TEST_F(PeerExchangeTest, PlacedPromptsAreAnnouncedAtOnceWithinTheBudget)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now);
    std::size_t sent = 0;
    for (int call = 0; call < 1000; ++call)
        sent += this->exchange.notifyNow(this->now).size();
    EXPECT_EQ(sent, static_cast<std::size_t>(PeerExchange::NoticeBurst));
}

TEST_F(PeerExchangeTest, PeersWithoutNoticesExpireAndSeedsDoNot)
{
    this->exchange.receive(this->notice("10.0.0.9:1", 1), this->now);
    this->exchange.tick(this->own, false, this->now + 61s);
    const auto sent = only<SendNotice>(this->exchange.tick(this->own, false, this->now + 63s));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent.front().address, "10.0.0.2:1");
}

}
}
