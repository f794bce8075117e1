#include <csignal>
#include <thread>

#include <gmock/gmock.h>

#include "ProcessWorld.h"
#include "standins/AnswerGenerator.h"

using namespace std::chrono_literals;
using marigoldpaddle::standins::wholeAnswer;
using marigoldpaddle::testing::CallerAnswer;
using marigoldpaddle::testing::ProcessWorld;
using testing::AnyOf;
using testing::HasSubstr;

namespace {

constexpr std::uint64_t Tokens = 60; // 1.2 s at the stand-in's 20 ms a token.
constexpr std::uint64_t ManyTokens = 1000; // 20 s, twice the bound within which memory must be free.

// Faults of real processes: SIGKILL, SIGSTOP and SIGTERM while requests are served.
class FaultsProcessesTest : public testing::Test {
protected:
    FaultsProcessesTest()
    {
        this->world.addEngine("engine-1");
        this->world.addEngine("engine-2");
        this->world.addService("orders");
        this->world.configure("ordinary");
        this->world.addInstance("a");
        this->world.addInstance("b");
        this->world.waitUntilReady();
    }

    std::uint64_t usedTokens()
    {
        return this->world.usedTokens("engine-1") + this->world.usedTokens("engine-2");
    }

    // Which engine is running something.
    std::string busyEngine()
    {
        return this->world.usedTokens("engine-1") > 0 ? "engine-1" : "engine-2";
    }

    void expectWhole(const CallerAnswer& answer, const std::string& prompt)
    {
        EXPECT_EQ(answer.status, 200U) << answer.body;
        EXPECT_TRUE(answer.isWhole) << answer.body;
        EXPECT_EQ(answer.text, wholeAnswer(prompt, Tokens));
    }

    // Begins a long answer through gateway-a, kills processes after its first token, and expects empty engines in time.
    void expectMemoryFreedAfterKilling(std::initializer_list<const char*> victims)
    {
        const auto killAll = [&] {
            EXPECT_GT(this->usedTokens(), 0U) << "nothing was held when the processes were killed";
            for (const auto* victim : victims)
                this->world.process(victim).signal(SIGKILL);
        };
        this->world.stream("gateway-a", "a long answer", ManyTokens, killAll, 60s);
        EXPECT_TRUE(this->world.eventually(10s, [&] { return this->usedTokens() == 0; }))
            << "still held: " << this->usedTokens();
    }

    ProcessWorld world;
};

TEST_F(FaultsProcessesTest, KilledDispatchersCutNoStream)
{
    const auto answer = this->world.stream("gateway-a", "kerb question", Tokens, [&] {
        this->world.process("dispatcher-a").signal(SIGKILL);
        this->world.process("dispatcher-b").signal(SIGKILL);
    });
    this->expectWhole(answer, "kerb question");
}

TEST_F(FaultsProcessesTest, RequestAfterTheDeathOfADispatcherIsServedByTheOther)
{
    this->world.process("dispatcher-a").signal(SIGKILL);
    this->expectWhole(this->world.stream("gateway-a", "kerb question", Tokens), "kerb question");
    this->expectWhole(this->world.stream("gateway-b", "another", Tokens), "another");
}

TEST_F(FaultsProcessesTest, FrozenDispatcherDoesNotHoldRequestsPastTheirTime)
{
    this->world.process("dispatcher-b").signal(SIGSTOP);
    const auto first = this->world.stream("gateway-a", "kerb question", Tokens, {}, 15s);
    EXPECT_LE(first.took, 16s);
    this->expectWhole(first, "kerb question");
    this->world.process("dispatcher-b").signal(SIGCONT);
    this->expectWhole(this->world.stream("gateway-b", "after the thaw", Tokens), "after the thaw");
}

TEST_F(FaultsProcessesTest, KilledGatewayLeavesNoEngineMemoryBehind)
{
    this->expectMemoryFreedAfterKilling({ "gateway-a" });
}

TEST_F(FaultsProcessesTest, KilledGatewayLeavesNoEngineMemoryBehindAlthoughTheInstanceListIsDown)
{
    this->world.post("platform", "/standin/faults", R"({"tables_down":true})");
    this->expectMemoryFreedAfterKilling({ "gateway-a" });
}

TEST_F(FaultsProcessesTest, GatewayAndDispatcherKilledTogetherLeaveNoEngineMemoryBehind)
{
    this->expectMemoryFreedAfterKilling({ "dispatcher-a", "gateway-a" });
}

TEST_F(FaultsProcessesTest, GatewayAndDispatcherKilledTogetherLeaveNothingOnEnginesThatCannotList)
{
    for (const auto* engine : { "engine-1", "engine-2" })
        this->world.post(engine, "/faults", R"({"lists_allocations":false})");
    ASSERT_TRUE(this->world.eventually(5s, [&] { return this->world.stream("gateway-a", "warm", 1).isWhole; }));
    this->expectMemoryFreedAfterKilling({ "dispatcher-a", "gateway-a" });
}

TEST_F(FaultsProcessesTest, CallerThatLeavesFreesItsEngineMemory)
{
    struct CallerLeaves { };
    const auto leave = [] {
        throw CallerLeaves {};
    };
    EXPECT_THROW(this->world.stream("gateway-a", "a long answer", ManyTokens, leave, 60s), CallerLeaves);
    EXPECT_TRUE(this->world.eventually(3s, [&] { return this->usedTokens() == 0; }))
        << "still held: " << this->usedTokens();
}

TEST_F(FaultsProcessesTest, RequestThatCannotEndInItsAllowedTimeIsRefusedAtOnce)
{
    const auto answer = this->world.stream("gateway-a", "a long answer", 4000, {}, 1s);
    EXPECT_THAT(answer.body, HasSubstr(R"("ran":"no")"));
    EXPECT_LE(answer.took, 500ms);
}

TEST_F(FaultsProcessesTest, AnswerIsWholeAlthoughItsEngineIsKilled)
{
    const auto answer = this->world.stream(
        "gateway-a", "kerb question", Tokens, [&] { this->world.process(this->busyEngine()).signal(SIGKILL); });
    this->expectWhole(answer, "kerb question");
}

TEST_F(FaultsProcessesTest, AnswerIsWholeAlthoughItsConnectionIsCut)
{
    for (const auto* engine : { "engine-1", "engine-2" })
        this->world.post(engine, "/faults", R"({"cut_after_tokens":7})");
    this->expectWhole(this->world.stream("gateway-a", "kerb question", Tokens), "kerb question");
}

TEST_F(FaultsProcessesTest, FrozenEngineEndsTheRequestWithinItsAllowedTime)
{
    std::string frozen;
    const auto answer = this->world.stream(
        "gateway-a", "kerb question", Tokens,
        [&] {
            frozen = this->busyEngine();
            this->world.process(frozen).signal(SIGSTOP);
        },
        4s);
    EXPECT_LE(answer.took, 4500ms);
    EXPECT_TRUE(answer.isWhole || answer.body.find("\"error\"") != std::string::npos) << answer.body;
    this->world.process(frozen).signal(SIGCONT);
    EXPECT_TRUE(this->world.eventually(10s, [&] { return this->usedTokens() == 0; }))
        << "still held: " << this->usedTokens();
}

TEST_F(FaultsProcessesTest, PlannedStopOfAGatewayCutsNoStreamAndExitsWithSuccess)
{
    const auto answer = this->world.stream("gateway-a", "kerb question", Tokens, [&] {
        this->world.process("gateway-a").signal(SIGTERM);
        EXPECT_TRUE(
            this->world.eventually(200ms, [&] { return this->world.get("gateway-a", "/readyz").result_int() == 503; }));
    });
    this->expectWhole(answer, "kerb question");
    EXPECT_EQ(this->world.process("gateway-a").wait(), 0);
}

TEST_F(FaultsProcessesTest, PlannedStopOfADispatcherCutsNoStreamAndTheOtherTakesOver)
{
    const auto answer = this->world.stream("gateway-a", "kerb question", Tokens, [&] {
        this->world.process("dispatcher-a").signal(SIGTERM);
        this->world.process("dispatcher-a").wait();
    });
    this->expectWhole(answer, "kerb question");
    this->expectWhole(this->world.stream("gateway-a", "after the stop", Tokens), "after the stop");
}

TEST_F(FaultsProcessesTest, LeavingEngineGetsNoNewWorkAndFinishesWhatItHas)
{
    std::string leaving;
    const auto answer = this->world.stream("gateway-a", "kerb question", Tokens, [&] {
        leaving = this->busyEngine();
        this->world.list("keyed.servers", leaving, "state", "draining");
    });
    this->expectWhole(answer, "kerb question");
    ASSERT_TRUE(this->world.eventually(3s, [&] {
        const auto before = this->world.get(leaving, "/v1/records").body();
        this->world.stream("gateway-b", "probe", 1);
        this->world.stream("gateway-b", "probe", 1);
        return this->world.get(leaving, "/v1/records").body() == before;
    }));
    const auto records = this->world.get(leaving, "/v1/records").body();
    for (int i = 0; i < 8; ++i)
        this->expectWhole(
            this->world.stream(i % 2 ? "gateway-a" : "gateway-b", "new work", Tokens / 6 * 6), "new work");
    EXPECT_EQ(this->world.get(leaving, "/v1/records").body(), records);
}

TEST_F(FaultsProcessesTest, OrderWhoseAnswerIsLostRunsOnceHoweverOftenItIsRepeated)
{
    this->world.post("orders", "/faults", R"({"drop_answers":1})");
    const auto first = this->world.order("gateway-a", "restock-1", "{}", 3s);
    EXPECT_THAT(first.body, HasSubstr(R"("ran":"unknown")"));
    for (const auto* gateway : { "gateway-b", "gateway-a", "gateway-b" }) {
        const auto repeat = this->world.order(gateway, "restock-1", "{}", 3s);
        EXPECT_THAT(repeat.status, AnyOf(409U, 201U)) << repeat.body;
    }
    EXPECT_THAT(this->world.get("orders", "/counts").body(), HasSubstr(R"("orders":1)"));
}

TEST_F(FaultsProcessesTest, OrderWithTheLogDownIsRefusedAsNotRunAndRunsOnceAfterwards)
{
    this->world.post("platform", "/standin/faults", R"({"log_down":true})");
    const auto refused = this->world.order("gateway-a", "restock-2", "{}", 2s);
    EXPECT_THAT(refused.body, HasSubstr(R"("reason":"claims_unavailable")"));
    EXPECT_THAT(refused.body, HasSubstr(R"("ran":"no")"));
    EXPECT_THAT(this->world.get("orders", "/counts").body(), HasSubstr(R"("orders":0)"));
    this->world.post("platform", "/standin/faults", R"({"log_down":false})");
    EXPECT_TRUE(
        this->world.eventually(15s, [&] { return this->world.order("gateway-b", "restock-2", "{}", 3s).isWhole; }));
    EXPECT_THAT(this->world.get("orders", "/counts").body(), HasSubstr(R"("orders":1)"));
}

TEST_F(FaultsProcessesTest, GatewayFrozenBeyondItsStewardsPatienceStillEndsItsRequestWholeOrRefused)
{
    std::thread thaw;
    const auto answer = this->world.stream(
        "gateway-a", "kerb question", Tokens,
        [&] {
            this->world.process("gateway-a").signal(SIGSTOP);
            thaw = std::thread { [&] {
                std::this_thread::sleep_for(8s); // The length of the freeze, which is the fault itself.
                this->world.process("gateway-a").signal(SIGCONT);
            } };
        },
        30s);
    thaw.join();
    EXPECT_LE(answer.took, 31s);
    if (answer.isWhole)
        this->expectWhole(answer, "kerb question");
    else
        EXPECT_THAT(answer.body, HasSubstr("\"error\""));
    EXPECT_TRUE(this->world.eventually(10s, [&] { return this->usedTokens() == 0; }));
}

TEST_F(FaultsProcessesTest, FrozenPlatformStopsNoPromptAndHoldsNoOrderPastItsTime)
{
    this->world.process("platform").signal(SIGSTOP);
    this->expectWhole(this->world.stream("gateway-a", "kerb question", Tokens), "kerb question");
    const auto refused = this->world.order("gateway-a", "restock-3", "{}", 4s);
    EXPECT_THAT(refused.body, HasSubstr(R"("ran":"no")"));
    EXPECT_LE(refused.took, 4500ms);
    this->world.process("platform").signal(SIGCONT);
    EXPECT_THAT(this->world.get("orders", "/counts").body(), HasSubstr(R"("orders":0)"));
    EXPECT_TRUE(
        this->world.eventually(20s, [&] { return this->world.order("gateway-b", "restock-3", "{}", 4s).isWhole; }));
    EXPECT_THAT(this->world.get("orders", "/counts").body(), HasSubstr(R"("orders":1)"));
}

TEST_F(FaultsProcessesTest, OrderWhoseServerIsKilledIsNotSaidToBeNotRun)
{
    this->world.post("orders", "/faults", R"({"delay_ms":60000})");
    std::thread death { [&] {
        EXPECT_TRUE(this->world.eventually(5s,
            [&] { return this->world.get("orders", "/counts").body().find(R"("received":1)") != std::string::npos; }));
        this->world.process("orders").signal(SIGKILL);
    } };
    const auto answer = this->world.order("gateway-a", "restock-4", "{}", 6s);
    death.join();
    EXPECT_THAT(answer.body, HasSubstr(R"("ran":"unknown")"));
    EXPECT_LE(answer.took, 6500ms);
    EXPECT_EQ(this->world.order("gateway-b", "restock-4", "{}", 3s).status, 409U);
}

TEST_F(FaultsProcessesTest, DispatcherThatStartsWithTheLogDownTakesTheConfigurationFromItsPeer)
{
    this->world.post("platform", "/standin/faults", R"({"log_down":true})");
    this->world.process("dispatcher-a").signal(SIGKILL);
    this->world.process("dispatcher-a").wait();
    this->world.startDispatcher("a");
    EXPECT_TRUE(this->world.eventually(8s, [&] {
        const auto health = this->world.get("dispatcher-a", "/healthz").body();
        return health.find("ordinary") != std::string::npos;
    })) << this->world.get("dispatcher-a", "/healthz").body();
}

TEST_F(FaultsProcessesTest, AllDispatchersButOneRestartedInALogOutageKeepThePresetInForce)
{
    this->world.configure("peak");
    const auto hasPeak = [&](const char* process) {
        return this->world.get(process, "/healthz").body().find("peak") != std::string::npos;
    };
    ASSERT_TRUE(this->world.eventually(8s, [&] { return hasPeak("dispatcher-a") && hasPeak("dispatcher-b"); }));
    this->world.post("platform", "/standin/faults", R"({"log_down":true})");
    for (const auto* name : { "a", "b" }) {
        const auto dispatcher = std::string { "dispatcher-" } + name;
        this->world.process(dispatcher).signal(SIGKILL);
        this->world.process(dispatcher).wait();
        this->world.startDispatcher(name);
        EXPECT_TRUE(this->world.eventually(8s, [&] { return hasPeak(dispatcher.c_str()); })) << dispatcher;
    }
    EXPECT_TRUE(hasPeak("gateway-a"));
    EXPECT_TRUE(hasPeak("gateway-b"));
}

TEST_F(FaultsProcessesTest, PresetPutInForceReachesEveryInstanceWithinTheBound)
{
    this->world.configure("peak");
    for (const auto* process : { "gateway-a", "gateway-b", "dispatcher-a", "dispatcher-b" }) {
        EXPECT_TRUE(this->world.eventually(8s, [&] {
            return this->world.get(process, "/healthz").body().find("peak") != std::string::npos;
        })) << process;
    }
}

}
