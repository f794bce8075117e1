#include "serving/ReadSchedule.h"

#include <algorithm>
#include <map>
#include <vector>

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class ReadScheduleTest : public testing::Test {
protected:
    static constexpr Duration Bound = 4s;

    TimePoint now { 1h };
    ReadSchedule schedule { { Bound, 250ms }, std::mt19937_64 { 1 } };
};

TEST_F(ReadScheduleTest, InstanceWithoutAViewReadsAtOnce)
{
    EXPECT_EQ(this->schedule.timeUntilDue(7, Duration::max(), this->now), Duration::zero());
}

TEST_F(ReadScheduleTest, HigherRanksReadOlderViews)
{
    Duration previous {};
    for (std::size_t rank = 0; rank <= ReadSchedule::Ranks; ++rank) {
        const auto due = this->schedule.timeUntilDue(rank, Duration::zero(), this->now);
        EXPECT_GT(due, previous) << "rank " << rank;
        EXPECT_LT(due, Bound) << "rank " << rank;
        previous = due;
    }
}

TEST_F(ReadScheduleTest, RefreshedViewPostponesTheRead)
{
    const auto rank = ReadSchedule::Ranks;
    EXPECT_EQ(this->schedule.timeUntilDue(rank, 3900ms, this->now), Duration::zero());
    EXPECT_GT(this->schedule.timeUntilDue(rank, 100ms, this->now), 2s);
}

TEST_F(ReadScheduleTest, FirstRankThatWaitsForChangesReadsWithoutAPause)
{
    ReadSchedule polling { { Bound, 250ms, 600ms }, std::mt19937_64 { 1 } };
    EXPECT_EQ(polling.timeUntilDue(0, Duration::zero(), this->now), Duration::zero());
    EXPECT_GT(polling.timeUntilDue(1, Duration::zero(), this->now),
        this->schedule.timeUntilDue(1, Duration::zero(), this->now));
}

TEST_F(ReadScheduleTest, FailedReadIsRepeatedSoonByARankedInstanceAndLaterByOthers)
{
    ReadSchedule other { { Bound, 250ms }, std::mt19937_64 { 1 } };
    for (int failure = 0; failure < 20; ++failure) {
        this->schedule.recordFailure(0, this->now);
        other.recordFailure(ReadSchedule::Ranks, this->now);
    }
    EXPECT_LE(this->schedule.timeUntilDue(0, 1h, this->now), 1250ms);
    EXPECT_GT(other.timeUntilDue(ReadSchedule::Ranks, 1h, this->now), 2s);
    EXPECT_LE(other.timeUntilDue(ReadSchedule::Ranks, 1h, this->now), 5s);
}

TEST_F(ReadScheduleTest, SuccessEndsTheDelayOfFailures)
{
    this->schedule.recordFailure(0, this->now);
    this->schedule.recordSuccess();
    EXPECT_EQ(this->schedule.timeUntilDue(0, 2s, this->now), Duration::zero());
    EXPECT_FALSE(this->schedule.isFailing());
}

// A zone whose instances share what they read. Steps of 10 ms; a read is passed on within 30 ms.
class ReadScheduleZoneTest : public ReadScheduleTest {
protected:
    struct Instance {
        ReadSchedule schedule;
        bool isRefused { false };
        TimePoint readAt {};
        unsigned calls { 0 };
    };

    explicit ReadScheduleZoneTest(std::size_t size = 40)
    {
        for (std::size_t index = 0; index < size; ++index)
            this->instances.push_back(
                { ReadSchedule { { Bound, 250ms }, std::mt19937_64 { index } }, false, this->now });
    }

    void runFor(Duration duration)
    {
        for (const auto end = this->now + duration; this->now < end; this->now += 10ms) {
            for (std::size_t rank = 0; rank < this->instances.size(); ++rank)
                this->step(rank);
            if (!this->announcements.empty() && this->now - this->announcements.front() >= 30ms) {
                for (auto& instance : this->instances)
                    instance.readAt = std::max(instance.readAt, this->announcements.front());
                this->announcements.erase(this->announcements.begin());
            }
            for (const auto& instance : this->instances)
                this->oldestView = std::max(this->oldestView, this->now - instance.readAt);
        }
    }

    void step(std::size_t rank)
    {
        auto& instance = this->instances[rank];
        if (instance.schedule.timeUntilDue(rank, this->now - instance.readAt, this->now) > Duration::zero())
            return;
        ++instance.calls;
        if (instance.isRefused || this->isStoreDown)
            return instance.schedule.recordFailure(rank, this->now);
        instance.schedule.recordSuccess();
        instance.readAt = this->now;
        this->announcements.push_back(this->now);
    }

    unsigned calls() const
    {
        unsigned sum = 0;
        for (const auto& instance : this->instances)
            sum += instance.calls;
        return sum;
    }

    std::vector<Instance> instances;
    std::vector<TimePoint> announcements;
    bool isStoreDown { false };
    Duration oldestView {};
};

// 195 instances that each read for themselves made 11,000 calls in a minute.
TEST_F(ReadScheduleZoneTest, OneInstanceReadsForItsZone)
{
    this->runFor(60s);
    EXPECT_LE(this->calls(), 62U);
    EXPECT_LT(this->oldestView, Bound);
}

// The store refuses a third of the machines of a zone, among them those that read first.
TEST_F(ReadScheduleZoneTest, ViewsStayWithinTheBoundWhileTheFirstReadersAreRefused)
{
    for (std::size_t rank = 0; rank < 3; ++rank)
        this->instances[rank].isRefused = true;
    this->runFor(60s);
    EXPECT_LT(this->oldestView, Bound);
    EXPECT_LE(this->calls(), 300U);
}

TEST_F(ReadScheduleZoneTest, ViewsStayWithinTheBoundWhileAllRankedReadersAreRefused)
{
    for (std::size_t rank = 0; rank < ReadSchedule::Ranks; ++rank)
        this->instances[rank].isRefused = true;
    this->runFor(60s);
    EXPECT_LT(this->oldestView, Bound);
}

// While the store is away nobody's view can be refreshed, and every instance would call it four times a second.
TEST_F(ReadScheduleZoneTest, StoreThatIsAwayIsCalledSeldomAndItsReturnIsNoticedWithinTheBound)
{
    this->isStoreDown = true;
    this->runFor(20s);
    EXPECT_LE(this->calls(), 400U);
    this->isStoreDown = false;
    this->runFor(Bound / 2);
    for (const auto& instance : this->instances)
        EXPECT_LT(this->now - instance.readAt, Bound / 2);
}

}
}
