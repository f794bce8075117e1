#include "ServingGatewayHarness.h"

namespace marigoldpaddle::testing {
namespace {

// A target in need states in its answers how many requests a second it takes from all instances together. Nobody read
// that, so it got as many as any other target.
class ServingGatewayLimitTest : public ServingGatewayTest {
protected:
    static constexpr Duration Observed = 2s;
    static constexpr Duration Interval = 25ms;

    // Answers that state the limit.
    static ScriptedTarget::Reaction limited(const std::string& perSecond, unsigned status = 200)
    {
        return [=](HttpExchange& exchange) -> asio::awaitable<void> {
            auto response = answer(exchange, status, "first");
            response.set("Server-Limit", perSecond);
            co_await exchange.respond(std::move(response));
        };
    }

    // Sends requests at regular intervals. Returns how many the first target got.
    std::size_t receivedWhileCalling(const std::string& path)
    {
        const auto before = this->first.received.size();
        const auto end = this->clock.now() + Observed;
        while (this->clock.now() < end) {
            this->status(path);
            this->context.restart();
            this->context.run_for(Interval);
        }
        return this->first.received.size() - before;
    }
};

TEST_F(ServingGatewayLimitTest, TargetGetsNoMoreRequestsThanItStatesWhileAnotherServes)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { limited("2") };
    while (this->first.received.empty())
        EXPECT_EQ(this->status("/safe/x"), 200U);
    EXPECT_LE(this->receivedWhileCalling("/safe/x"), 5U) << "two a second for two seconds, and one";
    EXPECT_GT(this->second.received.size(), 30U);
}

}
}
