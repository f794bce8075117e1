#include "serving/MemoryLease.h"

#include <map>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

class FakeMemory final : public EngineMemory {
public:
    asio::awaitable<MemoryOutcome> reserve(TargetEntry engine, MemoryReservation reservation, Duration) override
    {
        ++this->reserved[reservation.id];
        this->orders.push_back("reserve " + reservation.id);
        if (this->reserved[reservation.id] > 1 && this->renewalTime > Duration::zero()) {
            co_await this->pause(this->renewalTime);
            this->orders.push_back("renewed " + reservation.id);
        }
        co_return this->outcomes.contains(engine.id) ? this->outcomes.at(engine.id) : MemoryOutcome::Done;
    }

    asio::awaitable<MemoryOutcome> release(TargetEntry engine, MemoryReservation reservation) override
    {
        ++this->released[reservation.id];
        this->orders.push_back("release " + reservation.id);
        if (this->silentEngine == engine.id)
            co_await this->pause(1h);
        if (this->released[reservation.id] <= this->lostReleases)
            co_return MemoryOutcome::Unknown;
        co_return MemoryOutcome::Done;
    }

    static asio::awaitable<void> pause(Duration duration)
    {
        asio::steady_timer timer { co_await asio::this_coro::executor, duration };
        co_await timer.async_wait(asio::use_awaitable);
    }

    std::map<std::string, MemoryOutcome> outcomes;
    std::map<std::string, int> reserved;
    std::map<std::string, int> released;
    std::vector<std::string> orders;
    std::string silentEngine; // Never answers a release.
    int lostReleases { 0 }; // First releases of a reservation that get no answer.
    Duration renewalTime {};
};

class MemoryLeaseTest : public testing::Test {
protected:
    MemoryOutcome add(MemoryLease& lease, const std::string& engine, const std::string& reservation)
    {
        auto outcome = MemoryOutcome::Unknown;
        TargetEntry entry;
        entry.id = engine;
        const MemoryReservation requested { reservation, 1000 };
        asio::co_spawn(
            this->context, [&]() -> asio::awaitable<void> { outcome = co_await lease.add(entry, requested); },
            asio::detached);
        this->context.restart();
        this->context.poll();
        return outcome;
    }

    void runFor(Duration duration)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    SteadyClock clock;
    EventLog log { this->clock, { "test", 0, 16 } };
    FakeMemory memory;
    asio::io_context context { 1 };
};

TEST_F(MemoryLeaseTest, ReservationsAreReleasedWhenTheLeaseEnds)
{
    {
        MemoryLease lease { { this->context, this->memory, this->log, 3s }, "request" };
        EXPECT_EQ(this->add(lease, "e1", "t1"), MemoryOutcome::Done);
        EXPECT_EQ(this->add(lease, "e2", "t2"), MemoryOutcome::Done);
    }
    this->context.restart();
    this->context.poll();
    EXPECT_EQ(this->memory.released["t1"], 1);
    EXPECT_EQ(this->memory.released["t2"], 1);
}

TEST_F(MemoryLeaseTest, RefusedReservationIsNotReleasedAndOthersAre)
{
    this->memory.outcomes["e2"] = MemoryOutcome::Refused;
    {
        MemoryLease lease { { this->context, this->memory, this->log, 3s }, "request" };
        this->add(lease, "e1", "t1");
        EXPECT_EQ(this->add(lease, "e2", "t2"), MemoryOutcome::Refused);
    }
    this->context.restart();
    this->context.poll();
    EXPECT_EQ(this->memory.released["t1"], 1);
    EXPECT_EQ(this->memory.released["t2"], 0);
}

// Guards against memory that stays reserved because the order was carried out but its answer was lost.
TEST_F(MemoryLeaseTest, ReservationWithoutAnAnswerIsReleased)
{
    this->memory.outcomes["e1"] = MemoryOutcome::Unknown;
    {
        MemoryLease lease { { this->context, this->memory, this->log, 3s }, "request" };
        EXPECT_EQ(this->add(lease, "e1", "t1"), MemoryOutcome::Unknown);
    }
    this->context.restart();
    this->context.poll();
    EXPECT_EQ(this->memory.released["t1"], 1);
}

TEST_F(MemoryLeaseTest, ReservationsAreRenewedWhileTheLeaseExistsAndNotAfterwards)
{
    {
        MemoryLease lease { { this->context, this->memory, this->log, 30ms }, "request" };
        this->add(lease, "e1", "t1");
        while (this->memory.reserved["t1"] < 3)
            this->runFor(5ms);
    }
    this->runFor(50ms);
    const auto renewals = this->memory.reserved["t1"];
    this->runFor(50ms);
    EXPECT_EQ(this->memory.reserved["t1"], renewals);
}

// Engines crash while a prompt spans several of them. The releases were sent one after the other, so that the memory of
// the sound engines stayed reserved while a crashed one did not answer.
TEST_F(MemoryLeaseTest, EngineThatDoesNotAnswerDelaysNoOtherRelease)
{
    this->memory.silentEngine = "e1";
    {
        MemoryLease lease { { this->context, this->memory, this->log, 3s }, "request" };
        this->add(lease, "e1", "t1");
        this->add(lease, "e2", "t2");
    }
    this->context.restart();
    this->context.poll();
    EXPECT_EQ(this->memory.released["t2"], 1);
}

TEST_F(MemoryLeaseTest, ReleaseWithoutAnAnswerIsRepeatedUntilItIsConfirmed)
{
    this->memory.lostReleases = 2;
    {
        MemoryLease lease { { this->context, this->memory, this->log, 80ms }, "request" };
        this->add(lease, "e1", "t1");
    }
    this->runFor(200ms);
    EXPECT_EQ(this->memory.released["t1"], 3);
}

// A renewal that is on its way when the request ends and reaches the engine after the release would reserve the memory
// again, for a whole lease duration.
TEST_F(MemoryLeaseTest, ReleaseIsNotSentBeforeTheRenewalInProgressIsAnswered)
{
    this->memory.renewalTime = 50ms;
    {
        MemoryLease lease { { this->context, this->memory, this->log, 30ms }, "request" };
        this->add(lease, "e1", "t1");
        while (this->memory.reserved["t1"] < 2)
            this->runFor(5ms);
    }
    this->runFor(200ms);
    EXPECT_EQ(
        this->memory.orders, (std::vector<std::string> { "reserve t1", "reserve t1", "renewed t1", "release t1" }));
}

}
}
