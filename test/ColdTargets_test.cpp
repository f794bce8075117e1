#include "serving/targets/ColdTargets.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "serving/LoadLedger.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

constexpr double PerSecond = 21; // 14 a second, with an overage of 1.5.
constexpr std::size_t Bound = 26; // With the slack of the platform.

// Instances in three zones, all of which send to one cold target as often as they may.
class ColdTargetsTest : public testing::Test {
protected:
    ColdTargetsTest()
    {
        this->target.id = "engine-1";
        this->target.service = "engines";
        this->target.availabilityZone = "zone-0";
        this->target.incarnation = 5;
    }

    static InstanceIdentity identity(std::size_t number)
    {
        return { LoadLedger::hashOf("instance-" + std::to_string(number)),
            LoadLedger::hashOf("zone-" + std::to_string(number % 3)) };
    }

    void start(std::size_t count)
    {
        this->instances.resize(count);
        for (auto& instance : this->instances)
            instance.setAllowances({ { "engines", PerSecond } });
        this->connect(0, count);
        this->now += ColdTargets::StartupPeriod;
    }

    // Each of the instances from `first` on, up to `last`, knows the others of them as live.
    void connect(std::size_t first, std::size_t last)
    {
        for (auto number = first; number < last; ++number) {
            std::vector<InstanceIdentity> peers;
            for (auto other = first; other < last; ++other) {
                if (other != number)
                    peers.push_back(identity(other));
            }
            this->instances[number].setInstances(identity(number), peers, this->now);
        }
    }

    void becomeCold(Duration remaining)
    {
        for (auto& instance : this->instances)
            instance.record(this->target, remaining, this->now);
    }

    // Every instance tries once in 5 ms. Returns the times of what was sent.
    std::vector<TimePoint> sendFor(Duration time)
    {
        std::vector<TimePoint> sent;
        for (const auto end = this->now + time; this->now < end; this->now += 5ms) {
            for (auto& instance : this->instances) {
                if (instance.isCold(this->target, this->now) && instance.tryTake(this->target, this->now))
                    sent.push_back(this->now);
            }
        }
        return sent;
    }

    static std::size_t mostWithinASecond(const std::vector<TimePoint>& sent)
    {
        std::size_t most = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first) {
            const auto last = std::ranges::upper_bound(sent, *first + 1s);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    TimePoint now { 1000s };
    TargetEntry target;
    std::vector<ColdTargets> instances;
};

class ColdTargetsFleetTest : public ColdTargetsTest, public testing::WithParamInterface<std::size_t> { };

// Guards against a sum over all instances that ends a target: each by itself keeps to a moderate rate.
TEST_P(ColdTargetsFleetTest, TargetGetsNoMoreThanItToleratesWithinAnySecond)
{
    this->start(this->GetParam());
    this->becomeCold(3s);
    const auto sent = this->sendFor(3s);
    EXPECT_LE(mostWithinASecond(sent), Bound);
    EXPECT_GE(sent.size(), 20U) << "the target gets work while it is cold";
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdTargetsFleetTest, testing::Values(1, 2, 8, 69, 300));

TEST_F(ColdTargetsTest, TargetThatIsNotColdHasNoBound)
{
    this->start(2);
    for (int request = 0; request < 100; ++request)
        EXPECT_TRUE(this->instances[0].tryTake(this->target, this->now));
    this->becomeCold(3s);
    this->now += 3s;
    for (int request = 0; request < 100; ++request)
        EXPECT_TRUE(this->instances[0].tryTake(this->target, this->now)) << "after the cold period";
}

TEST_F(ColdTargetsTest, ServiceWithoutABoundIsNotAffected)
{
    this->start(2);
    this->target.service = "orders";
    EXPECT_FALSE(this->instances[0].record(this->target, 3s, this->now));
    for (int request = 0; request < 100; ++request)
        EXPECT_TRUE(this->instances[0].tryTake(this->target, this->now));
}

// Guards against a partition of the instances, each part of which would deal out the whole bound.
TEST_F(ColdTargetsTest, HalvesThatDoNotSeeEachOtherKeepTheBoundTogether)
{
    this->start(60);
    this->now += 30s;
    this->connect(0, 30);
    this->connect(30, 60);
    this->becomeCold(3s);
    EXPECT_LE(mostWithinASecond(this->sendFor(3s)), Bound);
}

// Guards against an instance that has just started, takes itself for the only one, and sends the whole of the bound.
TEST_F(ColdTargetsTest, InstanceThatHasJustStartedSendsNothingToAColdTarget)
{
    this->start(1);
    this->instances.emplace_back().setAllowances({ { "engines", PerSecond } });
    this->instances[1].setInstances(identity(1), {}, this->now);
    this->becomeCold(3s);
    EXPECT_FALSE(this->instances[1].mayTake(this->target, this->now));
    EXPECT_TRUE(this->instances[0].mayTake(this->target, this->now));
}

TEST_F(ColdTargetsTest, KilledInstancesKeepTheirSharesForAWhile)
{
    this->start(10);
    this->instances.resize(2);
    this->connect(0, 2);
    this->becomeCold(3s);
    EXPECT_LE(mostWithinASecond(this->sendFor(3s)), Bound);
}

// Guards against views of different ages: some instances learn of the cold period late, from peers.
TEST_F(ColdTargetsTest, PeerLearnsOfTheColdPeriodAndOfItsEnd)
{
    this->start(2);
    EXPECT_TRUE(this->instances[0].record(this->target, 3s, this->now));
    const auto news = this->instances[0].newsSince(this->now, this->now);
    ASSERT_EQ(news.size(), 1U);
    this->now += 1s;
    EXPECT_TRUE(this->instances[1].learn(news[0], this->now));
    EXPECT_FALSE(this->instances[1].learn(news[0], this->now)) << "it is no news twice";
    EXPECT_TRUE(this->instances[1].isCold(this->target, this->now));
    this->now += 2s;
    EXPECT_FALSE(this->instances[1].isCold(this->target, this->now));
}

TEST_F(ColdTargetsTest, CountdownOfAColdPeriodIsNoNews)
{
    this->start(1);
    EXPECT_TRUE(this->instances[0].record(this->target, 3s, this->now));
    this->now += 1200ms;
    EXPECT_FALSE(this->instances[0].record(this->target, 1800ms, this->now));
}

TEST_F(ColdTargetsTest, TargetThatBecomesColdAgainUnderTheSameIncarnationIsNews)
{
    this->start(1);
    this->instances[0].record(this->target, 3s, this->now);
    this->now += 10s;
    EXPECT_TRUE(this->instances[0].record(this->target, 3s, this->now));
    EXPECT_TRUE(this->instances[0].isCold(this->target, this->now));
}

TEST_F(ColdTargetsTest, EarlierIncarnationDoesNotMakeARestartedTargetCold)
{
    this->start(1);
    this->instances[0].record(this->target, 3s, this->now);
    auto restarted = this->target;
    ++restarted.incarnation;
    EXPECT_FALSE(this->instances[0].isCold(restarted, this->now));
}

TEST_F(ColdTargetsTest, RequestThatWasNotSentIsGivenBack)
{
    this->start(1);
    this->becomeCold(3s);
    while (this->instances[0].tryTake(this->target, this->now)) { }
    this->instances[0].giveBack(this->target, this->now);
    EXPECT_TRUE(this->instances[0].tryTake(this->target, this->now));
    EXPECT_FALSE(this->instances[0].tryTake(this->target, this->now));
}

TEST_F(ColdTargetsTest, NextRequestIsDueWhenTheOldestLeavesTheWindow)
{
    this->start(1);
    this->becomeCold(3s);
    const auto first = this->now;
    while (this->instances[0].tryTake(this->target, this->now)) { }
    EXPECT_EQ(this->instances[0].nextAt(this->target, this->now), first + ColdTargets::Window);
    this->now = first + ColdTargets::Window;
    EXPECT_TRUE(this->instances[0].mayTake(this->target, this->now));
}

// Guards against a cold period of any length that a registration or a peer names by mistake.
TEST_F(ColdTargetsTest, PeriodIsCutToTheLongestOne)
{
    this->start(1);
    this->instances[0].record(this->target, 1h, this->now);
    this->now += ColdTargets::LongestPeriod;
    EXPECT_FALSE(this->instances[0].isCold(this->target, this->now));
}

}
}
