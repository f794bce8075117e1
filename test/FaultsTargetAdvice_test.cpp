#include <algorithm>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gmock/gmock.h>

#include "PlatformHarness.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
using testing::PlatformAnswer;
using testing::PlatformHarness;
using Engine = standins::PlatformEngineStandin;

enum class Header {
    Leaving, // The target states that it leaves.
    RetryAfter, // 503: the target wants nothing for a while.
};

// Rows: what a target says of itself in its answers x the step at which the instance hears of it. From then on the
// target must get no new request or reservation; the store and all lists still have it as ready.
class FaultsTargetAdviceTest : public ::testing::TestWithParam<Header> {
protected:
    static constexpr auto Pause = 3s;

    void startWithEngines(int count)
    {
        for (int i = 1; i <= count; ++i)
            this->engines.push_back(&this->harness.addEngine("engine-" + std::to_string(i)));
        this->orders = &this->harness.addOrderService("orders-1");
        this->harness.startNode();
    }

    // The engine sends the header in its answers from now on.
    void speak(Engine& engine)
    {
        engine.faults.isLeaving = GetParam() == Header::Leaving;
        engine.faults.isDeclining = GetParam() == Header::RetryAfter;
        engine.faults.isRefusingOrders = engine.faults.isDeclining;
        engine.faults.retryAfter = engine.faults.isDeclining ? "3" : "";
    }

    // Sends prompts until the engine has answered one.
    void sendUntilReceived(const Engine& engine)
    {
        const auto before = engine.receivedCount();
        for (int prompt = 0; prompt < 50 && engine.receivedCount() == before; ++prompt)
            EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, 200U);
        ASSERT_EQ(engine.receivedCount(), before + 1);
    }

    void expectNothingReceived(const Engine& engine, unsigned status)
    {
        const auto before = engine.receivedCount();
        for (int prompt = 0; prompt < 6; ++prompt) {
            EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, status);
            this->harness.pause(25ms); // Longer in all than the ejection after a declined send.
        }
        EXPECT_EQ(engine.receivedCount(), before);
    }

    // The process does not run, as under SIGSTOP.
    static void freeze(std::chrono::milliseconds time)
    {
        std::this_thread::sleep_for(time);
    }

    PlatformHarness harness;
    std::vector<Engine*> engines;
    standins::ServiceStandin* orders { nullptr };
};

TEST_P(FaultsTargetAdviceTest, BeforePlacement)
{
    this->startWithEngines(2);
    this->speak(*this->engines[0]);
    this->sendUntilReceived(*this->engines[0]);
    this->expectNothingReceived(*this->engines[0], 200);
}

TEST_P(FaultsTargetAdviceTest, BetweenAttemptsOfAnOrder)
{
    this->startWithEngines(1);
    auto& second = this->harness.addOrderService("orders-2");
    this->harness.pause(300ms); // Targets are read every 100 ms.
    this->orders->faults.isLeaving = GetParam() == Header::Leaving;
    this->orders->faults.isDeclining = true;
    this->orders->faults.retryAfter = GetParam() == Header::RetryAfter ? "3" : "";
    const auto before = this->orders->receivedCount();
    for (int order = 0; order < 15; ++order) {
        EXPECT_EQ(this->harness.sendOrder("order-" + std::to_string(order)).status, 201U);
        this->harness.pause(10ms); // Longer in all than the ejection after a declined send.
    }
    EXPECT_EQ(this->orders->receivedCount() - before, 1U);
    EXPECT_EQ(second.receivedCount(), 15U);
}

// The first reservation of a long prompt is answered with the header, by whichever engine gets it.
TEST_P(FaultsTargetAdviceTest, DuringReservation)
{
    this->startWithEngines(3);
    for (auto* engine : this->engines)
        this->speak(*engine);
    for (int prompt = 0; prompt < 4; ++prompt)
        this->harness.sendPrompt(150'000, 11);
    for (const auto* engine : this->engines)
        EXPECT_LE(engine->receivedCount(), 1U) << "got a request or a reservation after its answer";
}

// A stream that began before goes on to its end.
TEST_P(FaultsTargetAdviceTest, DuringRelay)
{
    this->startWithEngines(1);
    auto& engine = *this->engines[0];
    if (GetParam() == Header::Leaving)
        this->speak(engine);
    PlatformAnswer running;
    this->harness.beginPrompt(running, 5000, 1001);
    this->harness.runUntil([&] { return running.eventIds().size() >= 2; });
    this->speak(engine);
    EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, 503U);
    this->expectNothingReceived(engine, 503);
    EXPECT_TRUE(this->harness.runUntil([&] { return running.isWhole; }));
    EXPECT_EQ(running.eventIds().size(), 101U);
}

TEST_P(FaultsTargetAdviceTest, AtShutdown)
{
    this->startWithEngines(2);
    this->speak(*this->engines[0]);
    this->sendUntilReceived(*this->engines[0]);
    boost::asio::co_spawn(this->harness.context, this->harness.node().stopGracefully(), boost::asio::detached);
    this->harness.pause(20ms);
    this->expectNothingReceived(*this->engines[0], 200);
}

// The target's own time goes on while the instance is frozen.
TEST_P(FaultsTargetAdviceTest, AfterAFreeze)
{
    this->startWithEngines(2);
    this->speak(*this->engines[0]);
    this->sendUntilReceived(*this->engines[0]);
    freeze(500ms);
    this->expectNothingReceived(*this->engines[0], 200);
    if (GetParam() == Header::Leaving)
        return;
    freeze(Pause);
    this->engines[0]->faults.isDeclining = false;
    this->sendUntilReceived(*this->engines[0]);
}

// The registration changes, but still says "ready".
TEST_P(FaultsTargetAdviceTest, BeforeAListInWhichTheTargetIsReady)
{
    this->startWithEngines(2);
    this->speak(*this->engines[0]);
    this->sendUntilReceived(*this->engines[0]);
    this->harness.registerTarget("engine-1", "model", "other");
    this->harness.pause(300ms);
    this->harness.registerTarget("engine-1", "model", "ready");
    this->harness.pause(300ms);
    this->expectNothingReceived(*this->engines[0], 200);
}

INSTANTIATE_TEST_SUITE_P(Headers, FaultsTargetAdviceTest, ::testing::Values(Header::Leaving, Header::RetryAfter),
    [](const auto& info) { return info.param == Header::Leaving ? "Leaving" : "RetryAfter"; });

}
}
