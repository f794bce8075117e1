#include "serving/PeerExchange.h"

#include <algorithm>
#include <limits>
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
    static constexpr Duration TargetsBound = 4s;
    PeerExchange exchange { "10.0.0.1:1", "zone-a", { "10.0.0.1:1", "10.0.0.2:1" }, TargetsBound,
        std::mt19937_64 { 1 } };
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
    EXPECT_EQ(recipients.size(), 19U);
    for (int number = 2; number <= 20; ++number)
        EXPECT_TRUE(recipients.contains("10.0.0." + std::to_string(number) + ":1"));
}

// 40 instances of a zone place on the same engines. Each notice reached half of them, so that the others sent their
// prompts to engines that were no longer free: engines rejected one arrival in twenty on a quiet day.
TEST_F(PeerExchangeTest, EveryPeerOfALargeZoneLearnsOfAPlacedPromptAtOnce)
{
    for (int number = 2; number <= 195; ++number) {
        auto peerNotice = this->notice("10.0.0." + std::to_string(number) + ":1", 1);
        peerNotice.availabilityZone = number <= 40 ? "zone-a" : "zone-b";
        this->exchange.receive(peerNotice, this->now);
    }
    this->exchange.replyToNewPeers(this->now);
    EXPECT_EQ(only<SendNotice>(this->exchange.notifyNow(this->now)).size(), 39U);
}

TEST_F(PeerExchangeTest, PeriodicNoticesReachEveryPeerOfTheZoneInTurnAndAFewOthers)
{
    for (int number = 2; number <= 195; ++number) {
        auto peerNotice = this->notice("10.0.0." + std::to_string(number) + ":1", 1);
        peerNotice.availabilityZone = number <= 40 ? "zone-a" : "zone-b";
        peerNotice.validMs = 10'000;
        this->exchange.receive(peerNotice, this->now);
    }
    this->exchange.replyToNewPeers(this->now);
    std::set<std::string> local;
    std::size_t remote = 0;
    for (int round = 0; round < 2; ++round) {
        for (const auto& send : only<SendNotice>(this->exchange.tick(this->own, true, this->now + round * 1s))) {
            if (std::stoi(send.address.substr(7)) <= 40)
                local.insert(send.address);
            else
                ++remote;
        }
    }
    EXPECT_EQ(local.size(), 39U);
    EXPECT_EQ(remote, 2 * PeerExchange::RemoteZoneFanout);
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

// With a bound of 4 s the list is read again after more than 1.5 s. A fixed age of 1.5 s made every instance fetch a
// whole list from a random peer in every period.
TEST_F(PeerExchangeTest, TargetsThatAreYoungForTheirBoundAreNotFetched)
{
    this->exchange.receive(this->notice("10.0.0.2:1", 1), this->now);
    this->own.targetsAge = 1700ms;
    EXPECT_TRUE(only<FetchRecords>(this->exchange.tick(this->own, false, this->now)).empty());
}

// A third of the instances were refused by the store. Each stated the age that its list had when it was read, so that
// instances fetched lists from each other that were as old as their own.
TEST_F(PeerExchangeTest, AgeOfAPeersTargetsGrowsSinceItsNotice)
{
    auto peerNotice = this->notice("10.0.0.2:1", 1);
    peerNotice.validMs = 10'000;
    peerNotice.targetsAgeMs = 1000;
    this->exchange.receive(peerNotice, this->now);
    this->own.targetsAge = 3s;
    EXPECT_TRUE(only<FetchRecords>(this->exchange.tick(this->own, false, this->now + 2s)).empty());
}

// 39 instances of a zone learn of a new configuration at once, from the one that has read it. If all asked it at the
// same moment, they would block the link of a weak machine for a second.
TEST_F(PeerExchangeTest, FirstFetchesOfANewConfigurationAreSpreadOverTheZone)
{
    std::set<Duration> firstFetches;
    for (std::uint64_t seed = 0; seed < 39; ++seed) {
        PeerExchange one { "10.0.0.1:1", "zone-a", {}, TargetsBound, std::mt19937_64 { seed } };
        for (int peer = 2; peer <= 39; ++peer) {
            auto peerNotice = this->notice("10.0.0." + std::to_string(peer) + ":1", 1);
            peerNotice.availabilityZone = "zone-a";
            one.receive(peerNotice, this->now);
        }
        auto newer = this->notice("10.0.0.2:1", 2, 7);
        newer.availabilityZone = "zone-a";
        one.receive(newer, this->now);
        auto at = this->now;
        while (only<FetchRecords>(one.tick(this->own, false, at)).empty() && at < this->now + 1s)
            at += 10ms;
        firstFetches.insert(at - this->now);
        EXPECT_LE(at - this->now, 200ms);
    }
    EXPECT_GE(firstFetches.size(), 10U);
}

// After a start of all instances the first reader of a zone announces the list of targets, and every instance that has
// none yet fetches it at that moment. With thousands of targets a list has most of a megabyte.
TEST_F(PeerExchangeTest, FirstFetchesOfTheTargetsAreSpreadOverTheZone)
{
    std::set<Duration> firstFetches;
    for (std::uint64_t seed = 0; seed < 39; ++seed) {
        PeerExchange one { "10.0.0.1:1", "zone-a", {}, TargetsBound, std::mt19937_64 { seed } };
        for (int peer = 2; peer <= 39; ++peer) {
            auto peerNotice = this->notice("10.0.0." + std::to_string(peer) + ":1", 1);
            peerNotice.availabilityZone = "zone-a";
            peerNotice.targetsAgeMs = peer == 2 ? 0 : std::numeric_limits<std::int32_t>::max();
            one.receive(peerNotice, this->now);
        }
        this->own.targetsAge = Duration::max();
        auto at = this->now;
        while (only<FetchRecords>(one.tick(this->own, false, at)).empty() && at < this->now + 1s)
            at += 10ms;
        firstFetches.insert(at - this->now);
    }
    EXPECT_GE(firstFetches.size(), 10U);
}

TEST_F(PeerExchangeTest, RecordsAreFetchedWithinTheZoneIfPossible)
{
    auto remote = this->notice("10.0.0.2:1", 1, 7);
    remote.availabilityZone = "zone-b";
    auto local = this->notice("10.0.0.3:1", 1, 7);
    local.availabilityZone = "zone-a";
    this->exchange.receive(remote, this->now);
    this->exchange.receive(local, this->now);
    const auto fetches = only<FetchRecords>(this->exchange.tick(this->own, false, this->now + 100ms));
    ASSERT_EQ(fetches.size(), 1U);
    EXPECT_EQ(fetches.front().address, "10.0.0.3:1");
}

TEST_F(PeerExchangeTest, InstancesOfAZoneAgreeOnDistinctReaderRanks)
{
    std::set<std::size_t> ranks;
    for (int self = 1; self <= 6; ++self) {
        PeerExchange one { "10.0.0." + std::to_string(self) + ":1", "zone-a", {}, TargetsBound, std::mt19937_64 { 1 } };
        for (int peer = 1; peer <= 9; ++peer) {
            auto peerNotice = this->notice("10.0.0." + std::to_string(peer) + ":1", 1);
            peerNotice.availabilityZone = peer <= 6 ? "zone-a" : "zone-b";
            one.receive(peerNotice, this->now);
        }
        ranks.insert(one.readerRank(this->now));
    }
    EXPECT_EQ(ranks, (std::set<std::size_t> { 0, 1, 2, 3, 4, 5 }));
}

TEST_F(PeerExchangeTest, SilentPeerNoLongerPrecedesThisInstanceAsReader)
{
    for (int peer = 2; peer <= 9; ++peer) {
        auto peerNotice = this->notice("10.0.0." + std::to_string(peer) + ":1", 1);
        peerNotice.availabilityZone = "zone-a";
        this->exchange.receive(peerNotice, this->now);
    }
    EXPECT_EQ(this->exchange.readerRank(this->now + 2s), 0U);
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
