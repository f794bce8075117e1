#include "serving/ServingNode.h"

#include <algorithm>
#include <numeric>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gmock/gmock.h>

#include "PlatformHarness.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAreArray;
using ::testing::HasSubstr;
using ::testing::Not;
using testing::PlatformAnswer;
using testing::PlatformHarness;

std::vector<std::uint64_t> idsUpTo(std::uint64_t last)
{
    std::vector<std::uint64_t> ids(last);
    std::iota(ids.begin(), ids.end(), 1);
    return ids;
}

// A complete instance between callers and the platform's stand-ins.
class ServingNodeTest : public ::testing::Test {
protected:
    void startWithEngines(int count)
    {
        for (int i = 1; i <= count; ++i)
            this->engines.push_back(&this->harness.addEngine("engine-" + std::to_string(i)));
        this->orders = &this->harness.addOrderService("orders-1");
        this->harness.startNode();
    }

    // Sets faults of all engines as an operator of the stand-ins does.
    void setFaults(const std::string& faults)
    {
        for (std::size_t i = 1; i <= this->engines.size(); ++i)
            EXPECT_EQ(this->harness.setEngineFaults("engine-" + std::to_string(i), faults), 200U);
    }

    std::uint64_t partsPrefilled() const
    {
        return std::accumulate(this->engines.begin(), this->engines.end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const auto* engine) { return sum + engine->partCount(); });
    }

    std::uint64_t runs() const
    {
        return std::accumulate(this->engines.begin(), this->engines.end(), std::uint64_t { 0 },
            [](std::uint64_t sum, const auto* engine) { return sum + engine->runCount(); });
    }

    PlatformHarness harness;
    std::vector<standins::PlatformEngineStandin*> engines;
    standins::ServiceStandin* orders { nullptr };
};

TEST_F(ServingNodeTest, ShortPromptIsAnsweredByOneEngine)
{
    this->startWithEngines(2);
    const auto answer = this->harness.sendPrompt(5000, 101);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(11)));
    EXPECT_EQ(this->runs(), 1U);
    EXPECT_EQ(this->partsPrefilled(), 0U);
}

TEST_F(ServingNodeTest, LongPromptIsPrefilledBySeveralEngines)
{
    this->startWithEngines(5);
    const auto answer = this->harness.sendPrompt(80'000, 101);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_EQ(this->runs(), 1U);
    EXPECT_GT(this->partsPrefilled(), 0U);
}

TEST_F(ServingNodeTest, PromptBeyondOneEnginesMemoryIsAnsweredAndItsMemoryIsFreed)
{
    this->startWithEngines(4);
    const auto answer = this->harness.sendPrompt(180'000, 51);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_TRUE(answer.isWhole);
    EXPECT_TRUE(this->harness.runUntil([&] { return this->harness.memoryUsed() == 0; }));
}

TEST_F(ServingNodeTest, TwoPromptsThatNeedMostEnginesDoNotDeadlock)
{
    this->startWithEngines(4);
    PlatformAnswer first;
    PlatformAnswer second;
    this->harness.beginPrompt(first, 220'000, 21);
    this->harness.beginPrompt(second, 220'000, 21);
    EXPECT_TRUE(this->harness.runUntil([&] { return first.status != 0 && second.status != 0; }));
    EXPECT_TRUE(this->harness.runUntil([&] { return this->harness.memoryUsed() == 0; }));
    // Either both are answered one after the other, or the one that cannot be served in time is refused.
    for (const auto& answer : { first, second })
        EXPECT_THAT(answer.status, ::testing::AnyOf(200U, 503U));
    EXPECT_TRUE(first.status == 200 || second.status == 200);
}

TEST_F(ServingNodeTest, CallerThatDisconnectsFreesItsEngine)
{
    this->startWithEngines(1);
    this->harness.sendRaw("POST /ask/x HTTP/1.1\r\nHost: rounds.example\r\nAuthorization: Token key-of-drivers\r\n"
                          "Marigoldpaddle-Attempt-Id: leaver\r\nMarigoldpaddle-Deadline-Remaining: 20000\r\n"
                          "Marigoldpaddle-Token-Usage: 5000,50000\r\nContent-Length: 0\r\n\r\n",
        "id: 2");
    EXPECT_TRUE(this->harness.runUntil([&] { return this->harness.memoryUsed() == 0; }));
    EXPECT_EQ(this->engines[0]->engine().active(), 0U);
}

TEST_F(ServingNodeTest, StreamCutOffInsideAnEventContinuesAtAnotherEngine)
{
    this->startWithEngines(2);
    for (auto* engine : this->engines)
        engine->faults.cutAfterEvents = 3;
    // Both engines would cut the stream off; the fault is cleared on the idle one, where the stream continues at the
    // fourth event.
    PlatformAnswer answer;
    this->harness.beginPrompt(answer, 5000, 101);
    this->harness.runUntil([&] { return answer.eventIds().size() >= 2; });
    for (auto* engine : this->engines) {
        if (engine->engine().active() == 0)
            engine->faults.cutAfterEvents = 0;
    }
    EXPECT_TRUE(this->harness.runUntil([&] { return answer.isWhole; }));
    EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(11)));
    EXPECT_EQ(this->runs(), 2U);
}

// Engines whose answers end with their connection: nothing but the last blank line tells a whole stream from a part.
TEST_F(ServingNodeTest, StreamsThatEndWithTheirConnectionAreAnsweredWhole)
{
    this->startWithEngines(2);
    this->setFaults(R"({"ends_with_connection":true})");
    for (int i = 0; i < 4; ++i) {
        const auto answer = this->harness.sendPrompt(5000, 101);
        EXPECT_EQ(answer.status, 200U);
        EXPECT_TRUE(answer.isWhole);
        EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(11)));
    }
    EXPECT_EQ(this->runs(), 4U);
}

TEST_F(ServingNodeTest, StreamThatEndsWithItsConnectionInsideAnEventContinuesAtAnotherEngine)
{
    this->startWithEngines(2);
    this->setFaults(R"({"ends_with_connection":true,"cut_after_events":3})");
    PlatformAnswer answer;
    this->harness.beginPrompt(answer, 5000, 101);
    this->harness.runUntil([&] { return answer.eventIds().size() >= 2; });
    for (auto* engine : this->engines) {
        if (engine->engine().active() == 0)
            engine->faults.cutAfterEvents = 0;
    }
    EXPECT_TRUE(this->harness.runUntil([&] { return answer.isWhole; }));
    EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(11)));
    EXPECT_EQ(this->runs(), 2U);
}

TEST_F(ServingNodeTest, DecliningEngineWithAPassingHealthCheckCostsNoAnswer)
{
    this->startWithEngines(2);
    this->engines[0]->faults.isDeclining = true;
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, 200U);
    EXPECT_EQ(this->engines[0]->runCount(), 0U);
}

// The stand-in declined without the attempt id, so that its answer passed for one to another request: it was reported
// as possibly executed and cost a retry of the budget.
TEST_F(ServingNodeTest, PromptDeclinedByTheOnlyEngineIsRefusedAsNotExecuted)
{
    this->startWithEngines(1);
    this->engines[0]->faults.isDeclining = true;
    EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, 503U);
    EXPECT_EQ(this->engines[0]->runCount(), 0U);
}

TEST_F(ServingNodeTest, OrderWithALostAnswerIsNotRetriedAndReportedAsPossiblyExecuted)
{
    this->startWithEngines(1);
    this->harness.runUntil([&] { return this->harness.sendOrder("first").status == 201; });
    this->orders->faults.dropAnswers = 1;
    const auto answer = this->harness.sendOrder("lost");
    EXPECT_THAT(answer.status, ::testing::AnyOf(502U, 504U));
    EXPECT_EQ(this->orders->runsOf("lost"), 1U);
}

TEST_F(ServingNodeTest, StoredConfigurationTakesEffect)
{
    this->startWithEngines(1);
    const std::vector<std::pair<std::string, std::string>> headers { { "Host", "rounds.example" },
        { "Authorization", "Token key-of-drivers" }, { "Marigoldpaddle-Attempt-Id", "probe" } };
    EXPECT_EQ(this->harness.call("GET", "/new/x", headers).status, 404U);
    this->harness.configure(5,
        R"(,{"name":"new","host":"rounds.example","pathPrefix":"/new/","kind":"safe","timeoutMs":5000,"maxAttempts":1,)"
        R"("service":"orders"})");
    EXPECT_TRUE(this->harness.runUntil([&] { return this->harness.call("GET", "/new/x", headers).status == 200; }));
    // An older version and records that cannot be parsed change nothing.
    this->harness.configure(4);
    this->harness.store.put("keyed.op", "config", "{\"version\":");
    this->harness.store.put("keyed.op", "other", "{}");
    this->harness.pause(50ms);
    EXPECT_EQ(this->harness.call("GET", "/new/x", headers).status, 200U);
}

TEST_F(ServingNodeTest, LeavingEngineGetsNoNewPrompts)
{
    this->startWithEngines(2);
    this->harness.registerTarget("engine-1", "model", "draining");
    this->harness.pause(300ms); // Targets are read every 100 ms.
    const auto before = this->engines[0]->runCount();
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, 200U);
    EXPECT_EQ(this->engines[0]->runCount(), before);
}

TEST_F(ServingNodeTest, InvalidRegistrationsDoNotAffectOthers)
{
    this->startWithEngines(1);
    this->harness.store.put("keyed.servers", "junk-1", "\x01\x02 not JSON");
    this->harness.store.put("keyed.servers", "junk-2", R"({"service":7,"address":"nowhere","state":"asleep"})");
    this->harness.pause(300ms);
    EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, 200U);
}

TEST_F(ServingNodeTest, RequestsAreAnsweredDuringAnOutageOfTheStore)
{
    this->startWithEngines(1);
    this->harness.store.faults.isLogDown = true;
    this->harness.store.faults.areNewestReadsDown = true;
    this->harness.pause(300ms);
    EXPECT_EQ(this->harness.sendPrompt(3000, 11).status, 200U);
}

TEST_F(ServingNodeTest, GracefulShutdownFinishesTheRunningAnswer)
{
    this->startWithEngines(1);
    PlatformAnswer answer;
    this->harness.beginPrompt(answer, 5000, 1001);
    this->harness.runUntil([&] { return answer.eventIds().size() >= 2; });
    boost::asio::co_spawn(this->harness.context, this->harness.node().stopGracefully(), boost::asio::detached);
    EXPECT_TRUE(this->harness.runUntil([&] { return answer.isWhole; }));
    EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(101)));
}

TEST_F(ServingNodeTest, RequestOfAnotherInstancesCallerIsServed)
{
    this->startWithEngines(1);
    PlatformAnswer answer;
    this->harness.beginRelayedPrompt(answer, 5000, 101);
    EXPECT_TRUE(this->harness.runUntil([&] { return answer.isWhole; }));
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.headers["relay-target"], "engine-1");
    EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(11)));
}

TEST_F(ServingNodeTest, GracefulShutdownFinishesTheAnswerForAnotherInstance)
{
    this->startWithEngines(1);
    PlatformAnswer answer;
    this->harness.beginRelayedPrompt(answer, 5000, 1001);
    this->harness.runUntil([&] { return answer.eventIds().size() >= 2; });
    boost::asio::co_spawn(this->harness.context, this->harness.node().stopGracefully(), boost::asio::detached);
    EXPECT_TRUE(this->harness.runUntil([&] { return answer.isWhole; }));
    EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(101)));
}

// Guards against a request with a short deadline that arrives between the last answer and the end of the process, is
// forwarded and then cut off. With a grace period of 4 s this moment comes 2 s after the stop signal. Found by a
// simulated day (mix, seed 192386026478).
TEST_F(ServingNodeTest, RequestAtTheEndOfTheShutdownIsNotForwardedAndCutOff)
{
    this->startWithEngines(1);
    this->orders->faults.delayMs = 400;
    boost::asio::co_spawn(this->harness.context, this->harness.node().stopGracefully(), boost::asio::detached);
    this->harness.pause(2040ms);
    const auto answer = this->harness.sendOrder("at the end", "1000");
    EXPECT_FALSE(answer.status == 0 && this->orders->receivedCount() > 0);
}

// Invalid input is answered with a distinct status and reaches no target.
class ServingNodeInvalidInputTest : public ServingNodeTest {
protected:
    void SetUp() override
    {
        this->startWithEngines(1);
    }

    static std::string head(const std::string& extra)
    {
        return "POST /order/x HTTP/1.1\r\nHost: rounds.example\r\nAuthorization: Token key-of-drivers\r\n"
               "Marigoldpaddle-Attempt-Id: bad\r\n"
            + extra;
    }

    void expectRefused(const std::string& bytes, const std::string& status)
    {
        EXPECT_THAT(this->harness.sendRaw(bytes, "\r\n\r\n"), ::testing::StartsWith("HTTP/1.1 " + status));
        EXPECT_EQ(this->orders->runsOf("bad"), 0U);
        EXPECT_EQ(this->harness.sendOrder("good").status, 201U) << "the instance still serves";
    }
};

TEST_F(ServingNodeInvalidInputTest, RequestWithLengthAndChunksIsRefused)
{
    this->expectRefused(head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), "400");
}

TEST_F(ServingNodeInvalidInputTest, RequestWithTwoLengthsIsRefused)
{
    this->expectRefused(head("Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"), "400");
}

TEST_F(ServingNodeInvalidInputTest, NonNumericLengthIsRefused)
{
    this->expectRefused(head("Content-Length: five\r\n\r\nhello"), "400");
}

TEST_F(ServingNodeInvalidInputTest, UnknownTransferCodingIsRefused)
{
    this->expectRefused(head("Transfer-Encoding: gzip, cow\r\n\r\n"), "400");
}

TEST_F(ServingNodeInvalidInputTest, BytesThatAreNotHttpAreRefused)
{
    this->expectRefused("\x16\x03\x01 not a request\r\n\r\n", "400");
}

TEST_F(ServingNodeInvalidInputTest, IncompleteRequestIsRefusedAfterTheTimeout)
{
    this->expectRefused(head("Content-Length: 100\r\n\r\nhalf"), "408");
}

TEST_F(ServingNodeInvalidInputTest, HeaderBeyondTheLimitIsRefused)
{
    this->expectRefused(head("X-Long: " + std::string(5000, 'x') + "\r\n\r\n"), "431");
}

TEST_F(ServingNodeInvalidInputTest, BodyBeyondTheLimitIsRefused)
{
    this->expectRefused(head("Content-Length: 100001\r\n\r\n"), "413");
}

TEST_F(ServingNodeInvalidInputTest, ChunkedBodyBeyondTheLimitIsRefused)
{
    this->expectRefused(
        head("Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + std::string(100'001, 'x') + "\r\n0\r\n\r\n"), "413");
}

TEST_F(ServingNodeInvalidInputTest, TrailerBeyondTheHeaderLimitIsRefused)
{
    this->expectRefused(
        head("Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " + std::string(5000, 'x') + "\r\n\r\n"), "431");
}

// A request without a key, at a path without a route, ended the process and cut off the answers that it was writing.
TEST_F(ServingNodeInvalidInputTest, RequestWithATrailerFieldOfManyBytesDoesNotCutOffAnAnswerInProgress)
{
    PlatformAnswer answer;
    this->harness.beginPrompt(answer, 5000, 101);
    ASSERT_TRUE(this->harness.runUntil([&] { return answer.eventIds().size() >= 2; }));
    ASSERT_FALSE(answer.isWhole);
    EXPECT_THAT(this->harness.sendRaw("POST /nowhere HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                                      "X-Odd: "
                        + std::string(70'000, 'o') + "\r\n\r\n",
                    "\r\n\r\n"),
        ::testing::StartsWith("HTTP/1.1 431"));
    EXPECT_TRUE(this->harness.runUntil([&] { return answer.isWhole; }));
    EXPECT_THAT(answer.eventIds(), ElementsAreArray(idsUpTo(11)));
}

TEST_F(ServingNodeInvalidInputTest, UnknownHostRouteAndKeyGetDistinctStatuses)
{
    const auto status = [this](const std::string& host, const std::string& path, const std::string& key) {
        return this->harness
            .call("GET", path, { { "Host", host }, { "Authorization", key }, { "Marigoldpaddle-Attempt-Id", "bad" } })
            .status;
    };
    EXPECT_EQ(status("other.example", "/stock/x", "Token key-of-drivers"), 404U);
    EXPECT_EQ(status("rounds.example", "/stockx", "Token key-of-drivers"), 404U);
    EXPECT_EQ(status("rounds.example", "/stock/x", "Token nobody"), 401U);
    EXPECT_EQ(status("rounds.example", "/stock/x", "Bearer key-of-drivers"), 401U);
    EXPECT_EQ(status("rounds.example", "/stock/x", "Token key-of-drivers"), 200U);
}

TEST_F(ServingNodeInvalidInputTest, PipelinedRequestIsAuthorizedSeparately)
{
    const auto answers = this->harness.sendRaw(
        "GET /stock/x HTTP/1.1\r\nHost: rounds.example\r\nAuthorization: Token key-of-drivers\r\n"
        "Marigoldpaddle-Attempt-Id: first\r\n\r\n"
        "POST /order/x HTTP/1.1\r\nHost: rounds.example\r\nMarigoldpaddle-Tenant: rounds\r\n"
        "Marigoldpaddle-Attempt-Id: bad\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 401");
    EXPECT_THAT(answers, HasSubstr("HTTP/1.1 200"));
    EXPECT_EQ(this->orders->runsOf("bad"), 0U);
}

}
}
