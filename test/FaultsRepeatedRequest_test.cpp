#include "GatewayWithPeers.h"

namespace marigoldpaddle::testing {
namespace {

// Eight instances before 24 targets. One request comes again and again, at any instance, and ends each target that runs
// it; the next ones run it in place of those.
class FaultsRepeatedRequestTest : public InstancesTest {
protected:
    FaultsRepeatedRequestTest()
    {
        std::vector<TargetEntry> entries;
        for (int index = 0; index < 24; ++index) {
            auto& target = this->targets.emplace_back(std::make_unique<ScriptedTarget>(this->context));
            target->script = { [this](HttpExchange& exchange) -> asio::awaitable<void> {
                const bool isBad = exchange.request().body() == "bad";
                this->ended += isBad ? 1 : 0;
                const auto reaction = isBad ? closeWithoutAnswer() : respondWith(200, "sound");
                co_await reaction(exchange);
            } };
            entries.push_back(entryOf("t" + std::to_string(index), *target));
        }
        this->start(entries);
    }

    unsigned send(GatewayWithPeers& instance, const std::string& body)
    {
        std::optional<unsigned> status;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                const auto answered = co_await this->caller.call(instance.address, this->request(body), 5s);
                status = answered ? answered.value().result_int() : 0;
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run();
        return status.value();
    }

    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    unsigned ended { 0 };
};

TEST_F(FaultsRepeatedRequestTest, AllInstancesStopSendingIt)
{
    for (int round = 0; round < 4; ++round) {
        for (auto& instance : this->instances) {
            this->send(*instance, "bad");
            this->runFor(10ms);
        }
    }
    EXPECT_LE(this->ended, 4U) << "of 32 requests";
    for (auto& instance : this->instances)
        EXPECT_EQ(this->send(*instance, "good"), 200U);
}

// It comes to all instances at the same moment, before any of them has told the others.
TEST_F(FaultsRepeatedRequestTest, NoFurtherTargetEndsAfterTheFirstWave)
{
    for (auto& instance : this->instances)
        asio::co_spawn(
            this->context,
            [this, &instance]() -> asio::awaitable<void> {
                co_await this->caller.call(instance->address, this->request("bad"), 5s);
            },
            asio::detached);
    this->runFor(500ms);
    const auto inWave = this->ended;
    for (auto& instance : this->instances)
        EXPECT_EQ(this->send(*instance, "bad"), 503U);
    EXPECT_EQ(this->ended, inWave);
}

}
}
