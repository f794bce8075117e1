#include <csignal>
#include <thread>

#include <gmock/gmock.h>

#include "ProcessHarness.h"
#include "standins/AnswerGenerator.h"

using namespace std::chrono_literals;
using marigoldpaddle::standins::generateAnswer;
using marigoldpaddle::testing::CallResult;
using marigoldpaddle::testing::ProcessHarness;
using testing::AnyOf;
using testing::HasSubstr;

namespace {

constexpr std::uint64_t Tokens = 60; // 1.2 s at 20 ms for each token of the stand-in engine.
constexpr std::uint64_t ManyTokens = 1000; // 20 s, twice the time limit for freeing the memory of an orphaned request.

// Two instances, two engines and an order service run as separate processes on loopback. The tests send SIGKILL,
// SIGSTOP and SIGTERM to them, or enable faults of the stand-ins, while requests are served.
class FaultsProcessesTest : public testing::Test {
protected:
    FaultsProcessesTest()
    {
        this->harness.addEngine("engine-1");
        this->harness.addEngine("engine-2");
        this->harness.addService("orders");
        this->harness.configure("ordinary");
        this->harness.addInstance("a");
        this->harness.addInstance("b");
        this->harness.waitUntilReady();
    }

    std::uint64_t usedTokens()
    {
        return this->harness.usedTokens("engine-1") + this->harness.usedTokens("engine-2");
    }

    // Returns the engine that is running a request. Call it only while exactly one engine is.
    std::string busyEngine()
    {
        return this->harness.usedTokens("engine-1") > 0 ? "engine-1" : "engine-2";
    }

    void expectComplete(const CallResult& answer, const std::string& prompt)
    {
        EXPECT_EQ(answer.status, 200U) << answer.body;
        EXPECT_TRUE(answer.isComplete) << answer.body;
        EXPECT_EQ(answer.text, generateAnswer(prompt, Tokens));
    }

    // Starts a long response through gateway-a, kills processes after its first token, and expects that the engines
    // hold no memory within 10 s after the stream has ended.
    void expectMemoryFreedAfterKilling(std::initializer_list<const char*> victims)
    {
        const auto killAll = [&] {
            EXPECT_GT(this->usedTokens(), 0U) << "no engine memory was in use when the processes were killed";
            for (const auto* victim : victims)
                this->harness.process(victim).signal(SIGKILL);
        };
        this->harness.stream("gateway-a", "a long answer", ManyTokens, killAll, 60s);
        EXPECT_TRUE(this->harness.waitUntil(10s, [&] { return this->usedTokens() == 0; }))
            << "tokens still in use: " << this->usedTokens();
    }

    ProcessHarness harness;
};

// Both dispatchers are killed during a stream. A stream runs between gateway and engine, so it must not depend on the
// dispatchers.
TEST_F(FaultsProcessesTest, StreamCompletesWhenAllDispatchersAreKilled)
{
    const auto answer = this->harness.stream("gateway-a", "kerb question", Tokens, [&] {
        this->harness.process("dispatcher-a").signal(SIGKILL);
        this->harness.process("dispatcher-b").signal(SIGKILL);
    });
    this->expectComplete(answer, "kerb question");
}

// Requests through both gateways must succeed, also through the gateway whose own dispatcher was killed.
TEST_F(FaultsProcessesTest, RequestsAreServedThroughTheOtherDispatcherAfterOneIsKilled)
{
    this->harness.process("dispatcher-a").signal(SIGKILL);
    this->expectComplete(this->harness.stream("gateway-a", "kerb question", Tokens), "kerb question");
    this->expectComplete(this->harness.stream("gateway-b", "another", Tokens), "another");
}

// A stopped process keeps its connections open and never answers, so a gateway that waits for it could miss the
// deadline.
TEST_F(FaultsProcessesTest, RequestCompletesBeforeItsDeadlineWhenADispatcherIsFrozen)
{
    this->harness.process("dispatcher-b").signal(SIGSTOP);
    const auto first = this->harness.stream("gateway-a", "kerb question", Tokens, {}, 15s);
    EXPECT_LE(first.elapsed, 16s);
    this->expectComplete(first, "kerb question");
    this->harness.process("dispatcher-b").signal(SIGCONT);
    this->expectComplete(this->harness.stream("gateway-b", "after the thaw", Tokens), "after the thaw");
}

// The killed gateway cannot cancel its request, so the dispatcher that owns the cell must free the engine memory.
TEST_F(FaultsProcessesTest, EngineMemoryIsFreedWhenAGatewayIsKilled)
{
    this->expectMemoryFreedAfterKilling({ "gateway-a" });
}

// The list of instances cannot be read while the gateway is killed. Freeing the memory must not require
// the list.
TEST_F(FaultsProcessesTest, EngineMemoryIsFreedWhenAGatewayIsKilledAndTheInstanceListIsDown)
{
    this->harness.post("platform", "/standin/faults", R"({"tables_down":true})");
    this->expectMemoryFreedAfterKilling({ "gateway-a" });
}

// The dispatcher may own the cell of the request; then its successor must free the memory.
TEST_F(FaultsProcessesTest, EngineMemoryIsFreedWhenAGatewayAndItsDispatcherAreKilled)
{
    this->expectMemoryFreedAfterKilling({ "dispatcher-a", "gateway-a" });
}

// The engines do not list the ids of their allocations, so the owner of the cell must free the memory without them.
TEST_F(FaultsProcessesTest, EngineMemoryIsFreedWhenAGatewayAndItsDispatcherAreKilledAndEnginesCannotListAllocations)
{
    for (const auto* engine : { "engine-1", "engine-2" })
        this->harness.post(engine, "/faults", R"({"lists_allocations":false})");
    ASSERT_TRUE(this->harness.waitUntil(5s, [&] { return this->harness.stream("gateway-a", "warm", 1).isComplete; }));
    this->expectMemoryFreedAfterKilling({ "dispatcher-a", "gateway-a" });
}

// The exception ends the call, which closes the connection of the caller in the middle of the stream.
TEST_F(FaultsProcessesTest, EngineMemoryIsFreedWhenTheCallerDisconnects)
{
    struct CallerDisconnects { };
    const auto disconnect = [] {
        throw CallerDisconnects {};
    };
    EXPECT_THROW(this->harness.stream("gateway-a", "a long answer", ManyTokens, disconnect, 60s), CallerDisconnects);
    EXPECT_TRUE(this->harness.waitUntil(3s, [&] { return this->usedTokens() == 0; }))
        << "tokens still in use: " << this->usedTokens();
}

// 4000 tokens take 80 s; the request has 1 s.
TEST_F(FaultsProcessesTest, RequestThatCannotMeetItsDeadlineIsRefusedImmediately)
{
    const auto answer = this->harness.stream("gateway-a", "a long answer", 4000, {}, 1s);
    EXPECT_THAT(answer.body, HasSubstr(R"("ran":"no")"));
    EXPECT_LE(answer.elapsed, 500ms);
}

// The stream must continue on the other engine without missing or repeated tokens.
TEST_F(FaultsProcessesTest, AnswerIsCompleteWhenItsEngineIsKilled)
{
    const auto answer = this->harness.stream(
        "gateway-a", "kerb question", Tokens, [&] { this->harness.process(this->busyEngine()).signal(SIGKILL); });
    this->expectComplete(answer, "kerb question");
}

// The engine closes the connection of the stream after 7 tokens, and the gateway must resume the stream.
TEST_F(FaultsProcessesTest, AnswerIsCompleteWhenItsConnectionIsCut)
{
    for (const auto* engine : { "engine-1", "engine-2" })
        this->harness.post(engine, "/faults", R"({"cut_after_tokens":7})");
    this->expectComplete(this->harness.stream("gateway-a", "kerb question", Tokens), "kerb question");
}

// The request must end with a complete answer or an error, and its memory must be freed once the engine runs again.
TEST_F(FaultsProcessesTest, RequestEndsByItsDeadlineWhenItsEngineIsFrozen)
{
    std::string frozen;
    const auto answer = this->harness.stream(
        "gateway-a", "kerb question", Tokens,
        [&] {
            frozen = this->busyEngine();
            this->harness.process(frozen).signal(SIGSTOP);
        },
        4s);
    EXPECT_LE(answer.elapsed, 4500ms);
    EXPECT_TRUE(answer.isComplete || answer.body.find("\"error\"") != std::string::npos) << answer.body;
    this->harness.process(frozen).signal(SIGCONT);
    EXPECT_TRUE(this->harness.waitUntil(10s, [&] { return this->usedTokens() == 0; }))
        << "tokens still in use: " << this->usedTokens();
}

// /readyz must return 503 during the shutdown, so that a load balancer stops sending requests.
TEST_F(FaultsProcessesTest, GracefulShutdownOfAGatewayCompletesItsStreamsAndExitsWithSuccess)
{
    const auto answer = this->harness.stream("gateway-a", "kerb question", Tokens, [&] {
        this->harness.process("gateway-a").signal(SIGTERM);
        EXPECT_TRUE(this->harness.waitUntil(
            200ms, [&] { return this->harness.get("gateway-a", "/readyz").result_int() == 503; }));
    });
    this->expectComplete(answer, "kerb question");
    EXPECT_EQ(this->harness.process("gateway-a").wait(), 0);
}

TEST_F(FaultsProcessesTest, GracefulShutdownOfADispatcherCompletesStreamsAndTheOtherTakesOver)
{
    const auto answer = this->harness.stream("gateway-a", "kerb question", Tokens, [&] {
        this->harness.process("dispatcher-a").signal(SIGTERM);
        this->harness.process("dispatcher-a").wait();
    });
    this->expectComplete(answer, "kerb question");
    this->expectComplete(this->harness.stream("gateway-a", "after the stop", Tokens), "after the stop");
}

// The change reaches the gateways with a delay, so the test waits until two probes no longer reach the engine.
TEST_F(FaultsProcessesTest, DrainingEngineCompletesItsRequestsAndGetsNoNewOnes)
{
    std::string draining;
    const auto answer = this->harness.stream("gateway-a", "kerb question", Tokens, [&] {
        draining = this->busyEngine();
        this->harness.setListingField("keyed.servers", draining, "state", "draining");
    });
    this->expectComplete(answer, "kerb question");
    ASSERT_TRUE(this->harness.waitUntil(3s, [&] {
        const auto before = this->harness.get(draining, "/v1/records").body();
        this->harness.stream("gateway-b", "probe", 1);
        this->harness.stream("gateway-b", "probe", 1);
        return this->harness.get(draining, "/v1/records").body() == before;
    }));
    const auto records = this->harness.get(draining, "/v1/records").body();
    for (int i = 0; i < 8; ++i)
        this->expectComplete(
            this->harness.stream(i % 2 ? "gateway-a" : "gateway-b", "new work", Tokens / 6 * 6), "new work");
    EXPECT_EQ(this->harness.get(draining, "/v1/records").body(), records);
}

// The service executes the order and its response is lost. Repeats with the same idempotency key through either gateway
// must not execute it again.
TEST_F(FaultsProcessesTest, OrderWithALostResponseIsExecutedOnceWhenItIsRepeated)
{
    this->harness.post("orders", "/faults", R"({"drop_answers":1})");
    const auto first = this->harness.order("gateway-a", "restock-1", "{}", 3s);
    EXPECT_THAT(first.body, HasSubstr(R"("ran":"unknown")"));
    for (const auto* gateway : { "gateway-b", "gateway-a", "gateway-b" }) {
        const auto repeat = this->harness.order(gateway, "restock-1", "{}", 3s);
        EXPECT_THAT(repeat.status, AnyOf(409U, 201U)) << repeat.body;
    }
    EXPECT_THAT(this->harness.get("orders", "/counts").body(), HasSubstr(R"("orders":1)"));
}

// Without the log the claim on the idempotency key cannot be recorded, so the order must not be sent.
TEST_F(FaultsProcessesTest, OrderIsRefusedAsNotExecutedDuringALogOutageAndExecutedOnceAfterwards)
{
    this->harness.post("platform", "/standin/faults", R"({"log_down":true})");
    const auto refused = this->harness.order("gateway-a", "restock-2", "{}", 2s);
    EXPECT_THAT(refused.body, HasSubstr(R"("reason":"claims_unavailable")"));
    EXPECT_THAT(refused.body, HasSubstr(R"("ran":"no")"));
    EXPECT_THAT(this->harness.get("orders", "/counts").body(), HasSubstr(R"("orders":0)"));
    this->harness.post("platform", "/standin/faults", R"({"log_down":false})");
    EXPECT_TRUE(this->harness.waitUntil(
        15s, [&] { return this->harness.order("gateway-b", "restock-2", "{}", 3s).isComplete; }));
    EXPECT_THAT(this->harness.get("orders", "/counts").body(), HasSubstr(R"("orders":1)"));
}

// The freeze of 8 s exceeds the 5 s after which the owner of the cell considers a silent gateway lost and cancels its
// allocations. The gateway may find its stream cancelled when it continues.
TEST_F(FaultsProcessesTest, RequestOfAGatewayFrozenPastTheOwnerLossTimeoutEndsCompleteOrRefused)
{
    std::thread resume;
    const auto answer = this->harness.stream(
        "gateway-a", "kerb question", Tokens,
        [&] {
            this->harness.process("gateway-a").signal(SIGSTOP);
            resume = std::thread { [&] {
                std::this_thread::sleep_for(8s); // The duration of the freeze, which is the fault under test.
                this->harness.process("gateway-a").signal(SIGCONT);
            } };
        },
        30s);
    resume.join();
    EXPECT_LE(answer.elapsed, 31s);
    if (answer.isComplete)
        this->expectComplete(answer, "kerb question");
    else
        EXPECT_THAT(answer.body, HasSubstr("\"error\""));
    EXPECT_TRUE(this->harness.waitUntil(10s, [&] { return this->usedTokens() == 0; }));
}

// A stopped platform accepts connections and never answers.
TEST_F(FaultsProcessesTest, FrozenPlatformDoesNotAffectPromptsAndOrdersAreRefusedByTheirDeadline)
{
    this->harness.process("platform").signal(SIGSTOP);
    this->expectComplete(this->harness.stream("gateway-a", "kerb question", Tokens), "kerb question");
    const auto refused = this->harness.order("gateway-a", "restock-3", "{}", 4s);
    EXPECT_THAT(refused.body, HasSubstr(R"("ran":"no")"));
    EXPECT_LE(refused.elapsed, 4500ms);
    this->harness.process("platform").signal(SIGCONT);
    EXPECT_THAT(this->harness.get("orders", "/counts").body(), HasSubstr(R"("orders":0)"));
    EXPECT_TRUE(this->harness.waitUntil(
        20s, [&] { return this->harness.order("gateway-b", "restock-3", "{}", 4s).isComplete; }));
    EXPECT_THAT(this->harness.get("orders", "/counts").body(), HasSubstr(R"("orders":1)"));
}

// The server is killed after it has received the order, so the order may have been executed and a repeat must be
// refused.
TEST_F(FaultsProcessesTest, OrderWhoseServerIsKilledIsReportedAsPossiblyExecuted)
{
    this->harness.post("orders", "/faults", R"({"delay_ms":60000})");
    std::thread killer { [&] {
        EXPECT_TRUE(this->harness.waitUntil(5s, [&] {
            return this->harness.get("orders", "/counts").body().find(R"("received":1)") != std::string::npos;
        }));
        this->harness.process("orders").signal(SIGKILL);
    } };
    const auto answer = this->harness.order("gateway-a", "restock-4", "{}", 6s);
    killer.join();
    EXPECT_THAT(answer.body, HasSubstr(R"("ran":"unknown")"));
    EXPECT_LE(answer.elapsed, 6500ms);
    EXPECT_EQ(this->harness.order("gateway-b", "restock-4", "{}", 3s).status, 409U);
}

TEST_F(FaultsProcessesTest, DispatcherThatStartsDuringALogOutageLoadsTheConfigurationFromAPeer)
{
    this->harness.post("platform", "/standin/faults", R"({"log_down":true})");
    this->harness.process("dispatcher-a").signal(SIGKILL);
    this->harness.process("dispatcher-a").wait();
    this->harness.startDispatcher("a");
    EXPECT_TRUE(this->harness.waitUntil(8s, [&] {
        const auto health = this->harness.get("dispatcher-a", "/healthz").body();
        return health.find("ordinary") != std::string::npos;
    })) << this->harness.get("dispatcher-a", "/healthz").body();
}

// Each dispatcher is killed and restarted while the other one runs. The restarted dispatcher must load the latest
// preset from the running one.
TEST_F(FaultsProcessesTest, DispatchersRestartedInTurnDuringALogOutageKeepThePresetInForce)
{
    this->harness.configure("peak");
    const auto hasPeak = [&](const char* process) {
        return this->harness.get(process, "/healthz").body().find("peak") != std::string::npos;
    };
    ASSERT_TRUE(this->harness.waitUntil(8s, [&] { return hasPeak("dispatcher-a") && hasPeak("dispatcher-b"); }));
    this->harness.post("platform", "/standin/faults", R"({"log_down":true})");
    for (const auto* name : { "a", "b" }) {
        const auto dispatcher = std::string { "dispatcher-" } + name;
        this->harness.process(dispatcher).signal(SIGKILL);
        this->harness.process(dispatcher).wait();
        this->harness.startDispatcher(name);
        EXPECT_TRUE(this->harness.waitUntil(8s, [&] { return hasPeak(dispatcher.c_str()); })) << dispatcher;
    }
    EXPECT_TRUE(hasPeak("gateway-a"));
    EXPECT_TRUE(hasPeak("gateway-b"));
}

TEST_F(FaultsProcessesTest, PresetPutInForceReachesEveryProcessWithinTheTimeLimit)
{
    this->harness.configure("peak");
    for (const auto* process : { "gateway-a", "gateway-b", "dispatcher-a", "dispatcher-b" }) {
        EXPECT_TRUE(this->harness.waitUntil(8s, [&] {
            return this->harness.get(process, "/healthz").body().find("peak") != std::string::npos;
        })) << process;
    }
}

}
