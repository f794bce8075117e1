#include <algorithm>
#include <deque>

#include "GatewayWithPeers.h"

namespace marigoldpaddle::testing {
namespace {

// Eight instances before a target that begins to state a limit.
class FaultsTargetLimitsTest : public InstancesTest {
protected:
    static constexpr Duration CallInterval = 20ms; // Of each caller; one at each instance.

    FaultsTargetLimitsTest()
    {
        this->start(std::vector { entryOf("t1", this->target) });
        this->target.script = { [this](HttpExchange& exchange) -> asio::awaitable<void> {
            this->receivedAt.push_back(this->clock.now());
            auto response = answer(exchange, 200, "whole");
            if (!this->limit.empty())
                response.set("Server-Limit", this->limit);
            co_await exchange.respond(std::move(response));
        } };
    }

    // Sends requests to an instance until the test ends.
    asio::awaitable<void> callRepeatedly(GatewayWithPeers& instance)
    {
        asio::steady_timer timer { this->context };
        while (this->areCalling) {
            co_await this->caller.call(instance.address, this->request(""), 5s);
            timer.expires_after(CallInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    void beginCalls()
    {
        for (auto& instance : this->instances)
            asio::co_spawn(this->context, this->callRepeatedly(*instance), asio::detached);
        this->runFor(500ms);
    }

    std::size_t receivedSince(TimePoint start) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->receivedAt, [&](TimePoint at) { return at >= start; }));
    }

    std::size_t limitedInstances() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->instances, [](const auto& instance) { return instance->health.limits.size() > 0; }));
    }

    ScriptedTarget target { this->context };
    std::deque<TimePoint> receivedAt;
    std::string limit; // As stated by the target; empty for none.
};

TEST_F(FaultsTargetLimitsTest, InstancesTogetherSendNoMoreThanTheTargetStates)
{
    this->beginCalls();
    EXPECT_GT(this->receivedAt.size(), 50U) << "without a limit";
    this->limit = "1.4";
    this->runFor(500ms);
    EXPECT_EQ(this->limitedInstances(), Instances);
    const auto start = this->clock.now();
    this->runFor(4s);
    EXPECT_LE(this->receivedSince(start), 9U) << "1.4 a second for 4 s, and a request saved up by each sharer";
    EXPECT_GE(this->receivedSince(start), 3U) << "the target was lost";
}

TEST_F(FaultsTargetLimitsTest, AllInstancesHearThatTheLimitHasEnded)
{
    this->beginCalls();
    this->limit = "2";
    this->runFor(1s);
    this->limit.clear();
    this->runFor(2s);
    EXPECT_EQ(this->limitedInstances(), 0U);
    const auto start = this->clock.now();
    this->runFor(500ms);
    EXPECT_GT(this->receivedSince(start), 50U);
}

// An instance starts while the limit is in force. It hears of it from a peer or from the target's first answer.
TEST_F(FaultsTargetLimitsTest, InstanceThatHasForgottenTheLimitIsToldOfIt)
{
    this->beginCalls();
    this->limit = "1";
    this->runFor(500ms);
    this->instances.front()->health.limits = {};
    const auto start = this->clock.now();
    this->runFor(4s);
    EXPECT_EQ(this->limitedInstances(), Instances);
    EXPECT_LE(this->receivedSince(start), 8U);
}

}
}
