#include "serving/TargetLimits.h"

#include <deque>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "serving/LoadLedger.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
using Change = TargetLimits::Change;

TargetEntry targetOf(const std::string& id, std::uint64_t incarnation = 1)
{
    TargetEntry entry;
    entry.id = id;
    entry.incarnation = incarnation;
    entry.availabilityZone = "b";
    return entry;
}

// One instance that knows no other.
class TargetLimitsTest : public testing::Test {
protected:
    TargetLimitsTest()
    {
        this->limits.setInstances({ "10.0.0.1:1", "a" }, {}, this->now);
    }

    std::size_t takeAll()
    {
        std::size_t taken = 0;
        while (this->limits.tryTake(this->target, this->now))
            ++taken;
        return taken;
    }

    TimePoint now { 1000s };
    TargetEntry target { targetOf("t1") };
    TargetLimits limits;
};

TEST_F(TargetLimitsTest, TargetWithoutALimitTakesAnyNumber)
{
    for (int request = 0; request < 100; ++request)
        EXPECT_TRUE(this->limits.tryTake(this->target, this->now));
    EXPECT_EQ(this->limits.nextAt(this->target, this->now), this->now);
}

// The answer that states the limit belongs to a request that counts.
TEST_F(TargetLimitsTest, FirstRequestAfterTheStatementWaitsForItsTurn)
{
    EXPECT_EQ(this->limits.recordLimit(this->target, 4, this->now), Change::Lowered);
    EXPECT_FALSE(this->limits.mayTake(this->target, this->now));
    EXPECT_EQ(this->limits.nextAt(this->target, this->now), this->now + 250ms);
    this->now += 250ms;
    EXPECT_TRUE(this->limits.tryTake(this->target, this->now));
    EXPECT_FALSE(this->limits.tryTake(this->target, this->now));
}

TEST_F(TargetLimitsTest, LowLimitSavesUpNoMoreThanOneRequest)
{
    this->limits.recordLimit(this->target, 1, this->now);
    this->now += 1min - 1ms;
    EXPECT_EQ(this->takeAll(), 1U);
}

TEST_F(TargetLimitsTest, HighLimitAllowsABurstOfHalfASecond)
{
    this->limits.recordLimit(this->target, 40, this->now);
    this->now += 10s;
    EXPECT_EQ(this->takeAll(), 20U);
}

// The end of a limit shows only in an answer, so a target with a limit of zero would be lost for good.
TEST_F(TargetLimitsTest, TargetWithALimitOfZeroGetsARequestNowAndThen)
{
    this->limits.recordLimit(this->target, 0, this->now);
    std::size_t taken = 0;
    for (int second = 0; second < 40; ++second) {
        this->now += 1s;
        taken += this->takeAll();
        this->limits.recordLimit(this->target, 0, this->now);
    }
    EXPECT_GE(taken, 4U);
    EXPECT_LE(taken, 9U);
}

TEST_F(TargetLimitsTest, AnswerWithoutALimitEndsIt)
{
    this->limits.recordLimit(this->target, 1, this->now);
    EXPECT_EQ(this->limits.recordNoLimit(this->target, this->now + 1s, this->now + 1s), Change::Ended);
    EXPECT_FALSE(this->limits.limit(this->target));
    EXPECT_TRUE(this->limits.tryTake(this->target, this->now + 1s));
    EXPECT_TRUE(this->limits.tryTake(this->target, this->now + 1s));
    EXPECT_EQ(this->limits.recordNoLimit(this->target, this->now + 2s, this->now + 2s), Change::None);
}

TEST_F(TargetLimitsTest, RestartEndsTheLimit)
{
    this->limits.recordLimit(this->target, 1, this->now);
    EXPECT_FALSE(this->limits.limit(targetOf("t1", 2)));
    this->limits.recordLimit(targetOf("t1", 2), 3, this->now);
    EXPECT_EQ(this->limits.limit(targetOf("t1", 2)), 3.0);
}

// A statement about the earlier incarnation arrives late by way of a peer.
TEST_F(TargetLimitsTest, StatementOfAnEarlierIncarnationIsIgnored)
{
    this->limits.recordLimit(targetOf("t1", 2), 3, this->now);
    EXPECT_EQ(this->limits.learn({ LoadLedger::hashOf("t1"), 1, 1.0, this->now + 1s }, this->now + 1s), Change::None);
    EXPECT_EQ(this->limits.limit(targetOf("t1", 2)), 3.0);
}

TEST_F(TargetLimitsTest, OlderStatementOfAPeerIsIgnored)
{
    this->limits.recordNoLimit(this->target, this->now, this->now);
    this->limits.recordLimit(this->target, 2, this->now);
    this->limits.recordNoLimit(this->target, this->now + 1s, this->now + 1s);
    EXPECT_EQ(this->limits.learn({ LoadLedger::hashOf("t1"), 1, 2.0, this->now }, this->now + 1100ms), Change::None);
    EXPECT_FALSE(this->limits.limit(this->target));
}

// A value is stated again and again, each time in another answer: other instances are told, and what was saved stays.
TEST_F(TargetLimitsTest, ChangedValueKeepsWhatWasSaved)
{
    this->limits.recordLimit(this->target, 2, this->now);
    this->now += 400ms;
    EXPECT_EQ(this->limits.recordLimit(this->target, 1, this->now), Change::Lowered);
    EXPECT_EQ(this->limits.nextAt(this->target, this->now), this->now + 200ms);
    EXPECT_EQ(this->limits.recordLimit(this->target, 2, this->now), Change::Raised);
    EXPECT_EQ(this->limits.nextAt(this->target, this->now), this->now + 100ms);
}

TEST_F(TargetLimitsTest, RequestThatWasNotSentIsReturned)
{
    this->limits.recordLimit(this->target, 1, this->now);
    this->now += 1s;
    EXPECT_TRUE(this->limits.tryTake(this->target, this->now));
    this->limits.giveBack(this->target, this->now, this->now);
    EXPECT_EQ(this->takeAll(), 1U);
}

// Guards against a request that waited for its connection while the limit became known, and was sent against it.
TEST_F(TargetLimitsTest, RequestTakenBeforeTheLimitWasKnownGivesItNothingBack)
{
    const auto takenAt = this->now;
    EXPECT_TRUE(this->limits.tryTake(this->target, takenAt));
    this->now += 1ms;
    this->limits.recordLimit(this->target, 1, this->now);
    this->limits.giveBack(this->target, takenAt, this->now);
    EXPECT_FALSE(this->limits.tryTake(this->target, this->now));
}

TEST_F(TargetLimitsTest, LimitThatNobodyConfirmsEnds)
{
    this->limits.recordLimit(this->target, 1, this->now);
    this->limits.expire(this->now + TargetLimits::Lifetime - 1s);
    EXPECT_TRUE(this->limits.limit(this->target));
    this->limits.expire(this->now + TargetLimits::Lifetime);
    EXPECT_FALSE(this->limits.limit(this->target));
}

TEST_F(TargetLimitsTest, LimitThatIsStillStatedIsNewsAgain)
{
    this->limits.recordLimit(this->target, 1, this->now);
    const auto confirmedAt = this->now + TargetLimits::RefreshPeriod;
    this->limits.recordLimit(this->target, 1, this->now + 1s);
    EXPECT_TRUE(this->limits.newsSince(this->now + 1s).empty());
    this->limits.recordLimit(this->target, 1, confirmedAt);
    ASSERT_EQ(this->limits.newsSince(confirmedAt).size(), 1U);
    EXPECT_EQ(this->limits.newsSince(confirmedAt).front().at, confirmedAt);
}

// The answer was on its way when the target began to state its limit in others.
TEST_F(TargetLimitsTest, AnswerToARequestFromBeforeTheStatementDoesNotEndTheLimit)
{
    this->limits.recordLimit(this->target, 1, this->now);
    EXPECT_EQ(this->limits.recordNoLimit(this->target, this->now - 1ms, this->now + 500ms), Change::None);
    EXPECT_TRUE(this->limits.limit(this->target));
    EXPECT_EQ(this->limits.recordNoLimit(this->target, this->now, this->now + 500ms), Change::Ended);
}

// All instances forgot a limit without a recent statement at the same moment, and sent to the target together.
TEST_F(TargetLimitsTest, InstanceWithoutAShareForgetsALimitLater)
{
    std::vector<LimitSharer> peers;
    std::vector<std::string> addresses;
    for (int index = 2; index < 40; ++index)
        addresses.push_back("10.0.0." + std::to_string(index) + ":1");
    for (const auto& address : addresses)
        peers.push_back({ address, "b" });
    this->limits.setInstances({ "10.0.0.1:1", "a" }, peers, this->now);
    this->limits.recordLimit(this->target, 1, this->now);
    this->limits.expire(this->now + TargetLimits::Lifetime);
    EXPECT_TRUE(this->limits.limit(this->target));
    this->limits.expire(this->now + 2 * TargetLimits::Lifetime);
    EXPECT_FALSE(this->limits.limit(this->target));
}

// The same statement comes back from peers, each time a little younger.
TEST_F(TargetLimitsTest, RepetitionsDoNotKeepALimitAlive)
{
    this->limits.recordLimit(this->target, 1, this->now);
    auto statement = this->limits.newsSince(this->now).front();
    for (int repetition = 0; repetition < 100; ++repetition) {
        statement.at += 5ms;
        this->limits.learn(statement, this->now + 1s);
    }
    this->limits.expire(this->now + TargetLimits::Lifetime);
    EXPECT_EQ(this->limits.size(), 0U);
}

// Some instances before one target. Each has its own knowledge, and hears of the others' with a delay.
class TargetLimitsOfInstancesTest : public testing::TestWithParam<std::size_t> {
protected:
    static constexpr Duration Step = 10ms;
    static constexpr Duration NoticeDelay = 100ms;
    static constexpr Duration Window = 4s;

    struct Instance {
        std::string address;
        std::string zone;
        TargetLimits limits;
        bool isTold { false };
    };

    TargetLimitsOfInstancesTest()
        : instances(GetParam())
    {
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            this->instances[index].address = "10.0.0." + std::to_string(index) + ":1";
            this->instances[index].zone = index % 3 == 0 ? "a" : index % 3 == 1 ? "b" : "c";
        }
        this->shareAmongAll();
    }

    void shareAmongAll()
    {
        for (auto& instance : this->instances)
            this->shareAmong(instance, [](const Instance&) { return true; });
    }

    template <typename Predicate> void shareAmong(Instance& instance, Predicate isLive)
    {
        std::vector<LimitSharer> peers;
        for (const auto& other : this->instances) {
            if (&other != &instance && isLive(other))
                peers.push_back({ other.address, other.zone });
        }
        instance.limits.setInstances({ instance.address, instance.zone }, peers, this->now);
    }

    // Each instance tries to send every step; the target states `perSecond` in every answer.
    void run(Duration time, std::optional<double> perSecond)
    {
        for (const auto end = this->now + time; this->now < end; this->now += Step) {
            for (auto& instance : this->instances) {
                if (!instance.limits.tryTake(this->target, this->now))
                    continue;
                this->sent.push_back({ this->now, instance.isTold });
                if (perSecond)
                    instance.limits.recordLimit(this->target, *perSecond, this->now);
                else
                    instance.limits.recordNoLimit(this->target, this->now, this->now);
                instance.isTold = perSecond.has_value();
            }
            this->exchange();
        }
    }

    // Each instance tells the others its news; they hear of it later.
    void exchange()
    {
        for (const auto& instance : this->instances) {
            for (const auto& statement : instance.limits.newsSince(this->now))
                this->notices.push_back({ this->now + NoticeDelay, statement });
        }
        for (; !this->notices.empty() && this->notices.front().first <= this->now; this->notices.pop_front()) {
            for (auto& instance : this->instances)
                instance.limits.learn(this->notices.front().second, this->now);
        }
    }

    // Most requests in a window from instances that had been told of the limit.
    std::size_t mostInWindow() const
    {
        std::deque<TimePoint> window;
        std::size_t most = 0;
        for (const auto& request : this->sent) {
            if (!request.wasTold)
                continue;
            window.push_back(request.at);
            while (window.front() + Window <= request.at)
                window.pop_front();
            most = std::max(most, window.size());
        }
        return most;
    }

    struct Sent {
        TimePoint at {};
        bool wasTold { false };
    };

    TimePoint now { 1000s };
    TargetEntry target { targetOf("t1") };
    std::vector<Instance> instances;
    std::vector<Sent> sent;
    std::deque<std::pair<TimePoint, TargetLimitStatement>> notices; // In the order in which they are heard.
};

// With a share for each instance, all of them together sent a multiple of a low limit.
TEST_P(TargetLimitsOfInstancesTest, AllTogetherKeepToTheLimit)
{
    for (const double limit : { 0.5, 1.0, 1.4, 8.0, 60.0 }) {
        this->sent.clear();
        this->run(2s, {});
        for (auto& instance : this->instances)
            instance.isTold = false;
        this->run(20s, limit);
        EXPECT_LE(static_cast<double>(this->mostInWindow()), 1.25 * 4 * limit + 2) << limit << " a second";
        this->run(2s, {});
    }
}

// Shares that nobody uses must not starve callers.
TEST_P(TargetLimitsOfInstancesTest, TargetGetsNearlyWhatItTakes)
{
    for (const double limit : { 0.5, 1.4, 8.0, 60.0 }) {
        this->run(2s, limit);
        this->sent.clear();
        this->run(20s, limit);
        EXPECT_GE(static_cast<double>(this->sent.size()), 0.8 * 20 * limit) << limit << " a second";
    }
}

// With many instances, prompts stay in their zone. Sharers of another zone would not send to the target, and the end of
// its limit would not be noticed.
TEST_P(TargetLimitsOfInstancesTest, SharersAreOfTheZoneOfTheTarget)
{
    this->run(500ms, 1.4);
    this->now += 5s;
    for (const auto& instance : this->instances) {
        const bool isSharer = instance.limits.mayTake(this->target, this->now);
        EXPECT_TRUE(!isSharer || instance.zone == "b" || this->instances.size() < 4) << instance.address;
    }
}

TEST_P(TargetLimitsOfInstancesTest, AllInstancesHearOfTheEnd)
{
    this->run(5s, 1.4);
    this->run(3s, {});
    for (const auto& instance : this->instances)
        EXPECT_FALSE(instance.limits.limit(this->target)) << instance.address;
}

// A tenth of the instances are lost, or leave, one after the other. Others take their shares over.
TEST_P(TargetLimitsOfInstancesTest, LimitHoldsWhileInstancesLeave)
{
    this->run(2s, 1.0);
    std::set<std::string> left;
    for (std::size_t index = 0; index < this->instances.size() / 10 + 1; ++index) {
        left.insert(this->instances[index].address);
        for (auto& instance : this->instances)
            this->shareAmong(instance, [&](const Instance& other) { return !left.contains(other.address); });
        this->run(500ms, 1.0);
    }
    this->run(8s, 1.0);
    EXPECT_LE(this->mostInWindow(), 11U);
}

INSTANTIATE_TEST_SUITE_P(Instances, TargetLimitsOfInstancesTest, testing::Values(1U, 8U, 60U, 195U),
    [](const auto& info) { return std::to_string(info.param); });

}
}
