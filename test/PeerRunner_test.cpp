#include "serving/PeerRunner.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include "AbsentStore.h"
#include "platform/RecordFormat.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

// An instance with a list of targets that peers ask for. The tests hold what an RPC server holds until an answer is
// written.
class PeerRunnerTest : public ::testing::Test {
protected:
    static constexpr Duration Bound = 400ms;

    struct Call {
        std::optional<wire::Payload> answer;
        std::shared_ptr<void> untilWritten;
        bool isAnswered { false };

        bool hasTargets() const
        {
            return this->answer && this->answer->platformRecordsAnswer.__isset.targets;
        }
    };

    PeerRunnerTest()
    {
        ViewSummary peer;
        peer.targetsAge = 0ms;
        const KeyedRecord target { "engine-1",
            R"({"service":"engines","address":"10.0.0.9:80","zone":"a","state":"ready","slots":16,"born":5})" };
        this->follower.installTargets({ target }, peer, "test");
    }

    // Starts a call for the list of targets.
    std::shared_ptr<Call> ask()
    {
        wire::PlatformRecordsRequest request;
        request.wantsTargets = true;
        wire::Payload payload;
        payload.__set_platformRecords(request);
        auto call = std::make_shared<Call>();
        asio::co_spawn(
            this->context,
            [this, call, payload]() -> asio::awaitable<void> {
                call->answer = co_await this->runner.handle(payload, call->untilWritten);
                call->isAnswered = true;
            },
            asio::detached);
        this->context.restart();
        this->context.poll();
        return call;
    }

    // Starts as many calls as there are slots.
    std::vector<std::shared_ptr<Call>> askForAllSlots()
    {
        std::vector<std::shared_ptr<Call>> calls(PeerExchange::ConcurrentTransfers);
        std::ranges::generate(calls, [this] { return this->ask(); });
        return calls;
    }

    bool runUntilAnswered(const Call& call)
    {
        const auto end = this->clock.now() + 20s;
        while (!call.isAnswered && this->clock.now() < end) {
            this->context.restart();
            this->context.run_one_for(100ms);
        }
        return call.isAnswered;
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    testing::AbsentStore store;
    platform::RecordFormat records;
    ServingView view;
    EventLog log { this->clock, { "test", 0, 64 } };
    MetricsRegistry metrics;
    ViewFollower follower { this->context, this->clock, this->store, this->records, this->view, this->log,
        this->metrics, { Bound, Bound, 20ms }, std::mt19937_64 { 1 } };
    LoadLedger ledger;
    WaitingPrompts waiting;
    PromptQuarantine quarantine;
    TargetLimits limits;
    PeerRunner runner { { this->context, this->clock, this->view, this->follower, this->ledger, this->waiting,
                            this->quarantine, this->limits, this->log, this->metrics,
                            [] {
                            } },
        "127.0.0.1:0", "a", {}, Bound };
};

TEST_F(PeerRunnerTest, ListIsSentAtOnceWhileASlotIsFree)
{
    for (std::size_t transfer = 0; transfer < PeerExchange::ConcurrentTransfers; ++transfer) {
        const auto call = this->ask();
        EXPECT_TRUE(call->isAnswered);
        EXPECT_TRUE(call->hasTargets());
        call->untilWritten.reset();
    }
}

// After a start of all instances of a zone, 38 of them asked the first reader of the list at the same time. Each got a
// share of its link, and none had its list before it gave up.
TEST_F(PeerRunnerTest, PeerBeyondTheSlotsGetsTheListWhenAnotherHasIt)
{
    const auto served = this->askForAllSlots();
    const auto next = this->ask();
    EXPECT_FALSE(next->isAnswered);
    served.front()->untilWritten.reset();
    ASSERT_TRUE(this->runUntilAnswered(*next));
    EXPECT_TRUE(next->hasTargets());
}

TEST_F(PeerRunnerTest, PeerThatGetsNoSlotInTimeIsToldSo)
{
    const auto served = this->askForAllSlots();
    const auto next = this->ask();
    const auto startedAt = this->clock.now();
    ASSERT_TRUE(this->runUntilAnswered(*next));
    EXPECT_GE(this->clock.now() - startedAt, 30ms);
    EXPECT_TRUE(next->answer);
    EXPECT_FALSE(next->hasTargets());
}

// The answer to a frozen receiver is never written to the end.
TEST_F(PeerRunnerTest, SlotsOfFrozenReceiversAreUsedAgain)
{
    const auto frozen = this->askForAllSlots();
    const auto end = this->clock.now() + 20s;
    auto next = this->ask();
    while (this->runUntilAnswered(*next) && !next->hasTargets() && this->clock.now() < end)
        next = this->ask();
    EXPECT_TRUE(next->hasTargets());
}

TEST_F(PeerRunnerTest, NewerConfigurationIsSentWithoutWaitingForASlot)
{
    this->follower.installConfiguration(
        { "config", R"({"version":1,"routes":[],"services":[{"name":"engines"}]})" }, "test");
    const auto served = this->askForAllSlots();
    const auto next = this->ask();
    ASSERT_TRUE(next->isAnswered);
    EXPECT_TRUE(next->answer->platformRecordsAnswer.__isset.configuration);
    EXPECT_FALSE(next->hasTargets());
}

}
}
