#include "GatewayHarness.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <gmock/gmock.h>

#include "standins/AnswerGenerator.h"

using namespace marigoldpaddle;
using marigoldpaddle::testing::GatewayHarness;
using ::testing::HasSubstr;

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view PromptText = "Which bell is closest to A flat?";
constexpr std::uint64_t MaximumTokens = 40;

std::string textOf(const HttpResponse& answer)
{
    return json::value_to<std::string>(json::parse(answer.body()).at("choices").at(0).at("text"));
}

// Concatenates the token texts of a stream of events up to its [DONE] event.
std::string streamedText(std::string_view body)
{
    std::string text;
    constexpr std::string_view Prefix = "data: ";
    for (auto end = body.find("\n\n"); end != std::string_view::npos; end = body.find("\n\n")) {
        const auto data = body.substr(Prefix.size(), end - Prefix.size());
        body.remove_prefix(end + 2);
        if (data == "[DONE]")
            return text;
        text += json::value_to<std::string>(json::parse({ data.data(), data.size() }).at("choices").at(0).at("text"));
    }
    return text + " (no [DONE] event)";
}

class GatewayTest : public ::testing::Test {
protected:
    // Sends one request and returns its response once the gateway is idle. Expects that no engine memory or placement
    // is still held.
    HttpResponse answerTo(HttpRequest request)
    {
        HttpResponse answer;
        const auto didEnd = this->harness.run(
            [&]() -> asio::awaitable<void> { answer = co_await this->harness.send(std::move(request)); });
        EXPECT_TRUE(didEnd);
        this->expectNoResourcesHeld();
        return answer;
    }

    void expectNoResourcesHeld()
    {
        EXPECT_EQ(this->harness.usedEngineTokens(), 0u) << "engine memory is still held";
        EXPECT_EQ(this->harness.dispatcher.openPlacements(), 0u) << "placements are still open";
    }

    static void expectRefusal(const HttpResponse& answer, unsigned status, std::string_view reason)
    {
        EXPECT_EQ(answer.result_int(), status) << answer.body();
        EXPECT_EQ(answer["Content-Type"], "application/problem+json");
        EXPECT_THAT(answer.body(), HasSubstr("\"reason\":\"" + std::string { reason } + "\""));
        EXPECT_THAT(answer.body(), HasSubstr("\"ran\":\"no\""));
    }

    GatewayHarness harness;
    std::string expectedText = standins::generateAnswer(PromptText, MaximumTokens);
};

TEST_F(GatewayTest, UnstreamedPromptReturnsCompleteText)
{
    const auto answer = this->answerTo(this->harness.prompt(PromptText, MaximumTokens, false));
    ASSERT_EQ(answer.result_int(), 200u) << answer.body();
    EXPECT_EQ(textOf(answer), this->expectedText);
}

TEST_F(GatewayTest, StreamedPromptReturnsEveryTokenAndDoneEvent)
{
    const auto answer = this->answerTo(this->harness.prompt(PromptText, MaximumTokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->expectedText);
}

TEST_F(GatewayTest, StreamedChatReturnsTokensAsDeltas)
{
    const std::string body
        = R"({"model":"m","max_tokens":2,"stream":true,"messages":[{"role":"user","content":"Which bell?"}]})";
    const auto answer = this->answerTo(this->harness.post("/v1/chat/completions", body));
    const auto expected = standins::generateAnswer("user: Which bell?\nassistant:", 2);
    const auto first = "\"delta\":{\"content\":\"" + expected.substr(0, expected.size() / 2) + "\"}";
    EXPECT_THAT(answer.body(), HasSubstr(first));
    EXPECT_THAT(answer.body(), HasSubstr("data: [DONE]"));
}

TEST_F(GatewayTest, PromptOnSpanOfTargetsReleasesReservationsAtEnd)
{
    this->harness.dispatcher.partsPerGrant = 2;
    const auto answer = this->answerTo(this->harness.prompt(PromptText, MaximumTokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->expectedText);
}

TEST_F(GatewayTest, DispatcherRefusalReturnsReasonAndRetryAfter)
{
    this->harness.dispatcher.refusal.emplace();
    this->harness.dispatcher.refusal->reason = "overloaded";
    this->harness.dispatcher.refusal->retryAfterMs = 2500;
    const auto answer = this->answerTo(this->harness.prompt(PromptText, MaximumTokens, true));
    expectRefusal(answer, 503, "overloaded");
    EXPECT_EQ(answer["Retry-After"], "3");
    EXPECT_EQ(this->harness.refusals("overloaded"), 1u);
}

TEST_F(GatewayTest, ServiceCallWithoutKeyIsForwardedAndAnswered)
{
    const auto answer = this->answerTo(this->harness.post("/services/orders/restock", "{\"cream\":3}"));
    EXPECT_EQ(answer.result_int(), 201u) << answer.body();
}

TEST_F(GatewayTest, ServiceCallWithKeyIsSettledWithOutcome)
{
    auto order = this->harness.post("/services/orders/restock", "{\"cream\":3}");
    order.set("Idempotency-Key", "k1");
    const auto answer = this->answerTo(std::move(order));
    EXPECT_EQ(answer.result_int(), 201u) << answer.body();
    ASSERT_EQ(this->harness.dispatcher.settlements.size(), 1u);
    EXPECT_EQ(this->harness.dispatcher.settlements[0].outcome.status, 201);
}

TEST_F(GatewayTest, RepeatedServiceCallReturnsStoredResponseWithoutSending)
{
    auto& claim = this->harness.dispatcher.claimAnswer;
    claim.verdict = wire::ClaimVerdict::Repeated;
    wire::CallOutcome outcome;
    outcome.status = 202;
    outcome.contentType = "text/plain";
    outcome.body = "stored";
    claim.__set_outcome(outcome);
    this->harness.dispatcher.services.clear();
    auto order = this->harness.post("/services/orders/restock", "{\"cream\":3}");
    order.set("Idempotency-Key", "k1");
    const auto answer = this->answerTo(std::move(order));
    EXPECT_EQ(answer.result_int(), 202u);
    EXPECT_EQ(answer.body(), "stored");
    EXPECT_TRUE(this->harness.dispatcher.settlements.empty());
}

class GatewayUncertainClaimTest : public GatewayTest,
                                  public ::testing::WithParamInterface<wire::ClaimVerdict::type> { };

TEST_P(GatewayUncertainClaimTest, ClaimThatMayStillCommitIsReleased)
{
    this->harness.dispatcher.claimAnswer.verdict = this->GetParam();
    this->harness.dispatcher.claimAnswer.mayLand = true;
    auto order = this->harness.post("/services/orders/restock", "{\"cream\":3}");
    order.set("Idempotency-Key", "k1");
    this->answerTo(std::move(order));
    ASSERT_EQ(this->harness.dispatcher.settlements.size(), 1u);
    EXPECT_TRUE(this->harness.dispatcher.settlements[0].notSent);
    EXPECT_FALSE(this->harness.dispatcher.settlements[0].unknown);
}

INSTANTIATE_TEST_SUITE_P(AllVerdictsExceptWon, GatewayUncertainClaimTest,
    ::testing::Values(wire::ClaimVerdict::Unavailable, wire::ClaimVerdict::Unknown, wire::ClaimVerdict::Mismatch,
        wire::ClaimVerdict::InProgress, wire::ClaimVerdict::Repeated));

TEST_F(GatewayTest, RepeatedServiceCallWithOmittedBodyReturnsStatusAndSize)
{
    wire::CallOutcome outcome;
    outcome.status = 201;
    outcome.omittedBodyBytes = 90'000;
    this->harness.dispatcher.claimAnswer.verdict = wire::ClaimVerdict::Repeated;
    this->harness.dispatcher.claimAnswer.__set_outcome(outcome);
    auto order = this->harness.post("/services/orders/restock", "{\"cream\":3}");
    order.set("Idempotency-Key", "k1");
    const auto answer = this->answerTo(std::move(order));
    EXPECT_EQ(answer.result_int(), 201u);
    EXPECT_EQ(answer["Idempotent-Omitted-Body-Bytes"], "90000");
    EXPECT_EQ(answer["Idempotent-Replayed"], "true");
}

struct BadInput {
    std::string name;
    std::string path;
    std::string body;
    std::string field;
    std::string value;
    unsigned status;
    std::string reason;
};

class GatewayBadInputTest : public GatewayTest, public ::testing::WithParamInterface<BadInput> { };

TEST_P(GatewayBadInputTest, IsRefusedWithReasonAndHoldsNoResources)
{
    const auto& input = this->GetParam();
    auto request = this->harness.post(input.path, input.body);
    if (!input.field.empty())
        request.set(input.field, input.value);
    expectRefusal(this->answerTo(std::move(request)), input.status, input.reason);
    EXPECT_EQ(this->harness.refusals(input.reason), 1u);
}

const std::string GoodBody = R"({"model":"m","prompt":"a"})";

INSTANTIATE_TEST_SUITE_P(, GatewayBadInputTest,
    ::testing::Values(BadInput { "BrokenJson", "/v1/completions", "{\"model\":", "", "", 400, "malformed_request" },
        BadInput { "NoPrompt", "/v1/completions", R"({"model":"m"})", "", "", 400, "malformed_request" },
        BadInput { "ChatWithoutMessages", "/v1/chat/completions", GoodBody, "", "", 400, "malformed_request" },
        BadInput { "UnknownModel", "/v1/completions", R"({"model":"x","prompt":"a"})", "", "", 404, "unknown_model" },
        BadInput { "UnknownService", "/services/bells/x", "", "", "", 404, "unknown_service" },
        BadInput { "WrongKey", "/v1/completions", GoodBody, "Authorization", "Bearer no", 401, "unauthenticated" },
        BadInput {
            "NegativeTime", "/v1/completions", GoodBody, "X-Allowed-Time-Ms", "-5", 400, "invalid_allowed_time" },
        BadInput { "OverflowingTime", "/v1/completions", GoodBody, "X-Allowed-Time-Ms", "99999999999999999999", 400,
            "invalid_allowed_time" },
        BadInput {
            "OversizedBody", "/v1/completions", std::string(2 * 1024 * 1024, 'x'), "", "", 413, "request_too_large" }),
    [](const auto& row) { return row.param.name; });

// Opens a raw connection to the gateway, for callers that send or read only part of an exchange.
asio::ip::tcp::socket connectTo(GatewayHarness& harness)
{
    const auto [host, port] = splitAddress(harness.address);
    asio::ip::tcp::socket socket { harness.context };
    socket.connect({ asio::ip::make_address(host), port });
    return socket;
}

class FaultsGatewayTest : public GatewayTest { };

// A shutdown starts while a response is streaming. The shutdown must neither cut the stream nor refuse requests that
// arrive before the listener closes.
TEST_F(FaultsGatewayTest, GracefulShutdownFailsReadinessAndCompletesRunningStream)
{
    std::string body;
    unsigned readiness = 0;
    HttpResponse late;
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        auto started = co_await this->harness.callerClient.start(
            this->harness.address, this->harness.prompt(PromptText, MaximumTokens, true), std::chrono::seconds { 5 });
        this->harness.gateway.beginGracefulShutdown();
        auto probe = makeRequest(boost::beast::http::verb::get, "/readyz", {});
        readiness = (co_await this->harness.send(std::move(probe))).result_int();
        late = co_await this->harness.send(this->harness.prompt(PromptText, MaximumTokens, true));
        asio::co_spawn(this->harness.context, this->harness.gatewayServer.drain(), asio::detached);
        auto rest = co_await started.value().readAll(std::chrono::seconds { 5 });
        body = std::move(rest).value();
    }));
    EXPECT_EQ(readiness, 503u);
    EXPECT_EQ(streamedText(body), this->expectedText) << "a running stream was cut off";
    EXPECT_EQ(streamedText(late.body()), this->expectedText) << "refused although the listener was still open";
    this->expectNoResourcesHeld();
}

// A caller sends an incomplete request and stops. The gateway must not wait for the rest indefinitely.
TEST_F(FaultsGatewayTest, IncompleteRequestIsAnsweredWithTimeout)
{
    std::string answer;
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        auto socket = connectTo(this->harness);
        const std::string partialRequest = "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{";
        co_await asio::async_write(socket, asio::buffer(partialRequest), asio::use_awaitable);
        boost::system::error_code end;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, end));
    }));
    EXPECT_THAT(answer, HasSubstr("HTTP/1.1 408"));
    EXPECT_THAT(answer, HasSubstr("\"reason\":\"request_timeout\""));
}

// A caller keeps its connection open but stops reading, so that the send buffers fill up. The gateway must end the
// request at the send timeout and cancel it on the engine.
TEST_F(FaultsGatewayTest, CallerThatStopsReadingIsDisconnectedAndEngineMemoryFreed)
{
    GatewayHarness fastHarness { Duration::zero() };
    ASSERT_TRUE(fastHarness.run([&]() -> asio::awaitable<void> {
        auto socket = connectTo(fastHarness);
        auto request = fastHarness.prompt(PromptText, 500'000, true);
        co_await boost::beast::http::async_write(socket, request, asio::use_awaitable);
        while (fastHarness.refusals("caller_gone") == 0)
            co_await fastHarness.sleepFor(std::chrono::milliseconds { 1 });
    }));
    EXPECT_EQ(fastHarness.usedEngineTokens(), 0u);
    EXPECT_EQ(fastHarness.dispatcher.openPlacements(), 0u);
}

// The cell changes its owner while a prompt waits in the queue of the old owner, which never answers.
TEST_F(FaultsGatewayTest, QueuedPromptIsRequestedFromNewCellOwnerAfterOwnerChange)
{
    HttpResponse answer;
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        auto& dispatcher = this->harness.dispatcher;
        dispatcher.isSilent = true;
        auto started = asio::co_spawn(this->harness.context,
            this->harness.send(this->harness.prompt(PromptText, MaximumTokens, true)), asio::use_future);
        while (dispatcher.acquireCount == 0)
            co_await this->harness.sleepFor(std::chrono::milliseconds { 1 });
        dispatcher.isSilent = false;
        dispatcher.instance = "instance-2";
        while (started.wait_for(std::chrono::seconds { 0 }) != std::future_status::ready)
            co_await this->harness.sleepFor(std::chrono::milliseconds { 1 });
        answer = started.get();
    }));
    EXPECT_EQ(streamedText(answer.body()), this->expectedText);
    EXPECT_EQ(this->harness.retries("owner_changed"), 1u);
    this->expectNoResourcesHeld();
}

// The cell changes its owner while a prompt is running. Without the announcement the new owner would not learn of the
// memory that the prompt holds.
TEST_F(FaultsGatewayTest, RunningPromptIsAnnouncedToNewCellOwner)
{
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        auto& dispatcher = this->harness.dispatcher;
        auto started = co_await this->harness.callerClient.start(
            this->harness.address, this->harness.prompt(PromptText, 100'000, true), std::chrono::seconds { 5 });
        co_await started.value().readSome(std::chrono::seconds { 5 });
        dispatcher.announcedHoldingCount.reset();
        dispatcher.instance = "instance-2";
        while (!dispatcher.announcedHoldingCount)
            co_await this->harness.sleepFor(std::chrono::milliseconds { 1 });
        EXPECT_EQ(*dispatcher.announcedHoldingCount, 1u);
    }));
    this->expectNoResourcesHeld();
}

// The engine closes the stream after 7 tokens. Resuming at a wrong offset would lose or repeat tokens.
TEST_F(FaultsGatewayTest, InterruptedStreamIsResumedOnSameEngine)
{
    HttpResponse answer;
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        co_await this->harness.setFaults(0, R"({"cut_after_tokens":7})");
        answer = co_await this->harness.send(this->harness.prompt(PromptText, MaximumTokens, true));
    }));
    EXPECT_EQ(streamedText(answer.body()), this->expectedText);
    EXPECT_EQ(this->harness.retries("stream_resumed"), 1u);
    this->expectNoResourcesHeld();
}

// An engine dies in the middle of a stream: its connection breaks and nothing listens at its address any more. The
// stream has to continue on another engine, after the tokens that the caller already has.
TEST_F(FaultsGatewayTest, StreamOfFailedEngineContinuesOnAnotherEngineWithTokensAppended)
{
    HttpResponse answer;
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        co_await this->harness.setFaults(0, R"({"cut_after_tokens":20})");
        auto started = co_await this->harness.callerClient.start(
            this->harness.address, this->harness.prompt(PromptText, MaximumTokens, true), std::chrono::seconds { 5 });
        auto body = co_await started.value().readSome(std::chrono::seconds { 5 });
        this->harness.engines[0].server.reset();
        auto rest = co_await started.value().readAll(std::chrono::seconds { 15 });
        answer.body() = body.value() + rest.value();
    }));
    EXPECT_EQ(streamedText(answer.body()), this->expectedText);
    EXPECT_EQ(this->harness.retries("stream_moved"), 1u) << "the stream did not move to another engine";
    EXPECT_THAT(this->harness.dispatcher.excludedTargetsByAcquire.back(), ::testing::ElementsAre("engine-1"));
}

// The dispatcher grants a target that the gateway's view already marks as leaving.
TEST_F(FaultsGatewayTest, GrantOnLeavingTargetIsReleasedAndAnotherRequested)
{
    this->harness.dispatcher.leavingTargets = { "engine-1" };
    const auto answer = this->answerTo(this->harness.prompt(PromptText, MaximumTokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->expectedText);
    EXPECT_THAT(this->harness.dispatcher.excludedTargetsByAcquire.back(), ::testing::ElementsAre("engine-1"));
    this->expectNoResourcesHeld();
}

// Nothing listens at the address of the granted engine. Without the exclusion the dispatcher would grant it again.
TEST_F(FaultsGatewayTest, UnreachableEngineIsExcludedAndAnotherRequested)
{
    this->harness.dispatcher.engines[0].address = "127.0.0.1:1";
    const auto answer = this->answerTo(this->harness.prompt(PromptText, MaximumTokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->expectedText);
    EXPECT_EQ(this->harness.retries("connect_failed"), 1u);
    EXPECT_THAT(this->harness.dispatcher.excludedTargetsByAcquire.back(), ::testing::ElementsAre("engine-1"));
}

// Frozen engines accept the connection but never respond. The engine may have executed the prompt, so the refusal must
// not claim otherwise.
TEST_F(FaultsGatewayTest, FrozenEnginesEndPromptAtDeadlineWithUnknownExecution)
{
    HttpResponse answer;
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        for (std::size_t engine = 0; engine < 3; ++engine)
            co_await this->harness.setFaults(engine, R"({"frozen":true})");
        auto request = this->harness.prompt(PromptText, MaximumTokens, true);
        request.set("X-Allowed-Time-Ms", "300");
        answer = co_await this->harness.send(std::move(request));
        for (std::size_t engine = 0; engine < 3; ++engine)
            co_await this->harness.setFaults(engine, R"({"frozen":false})");
    }));
    EXPECT_EQ(answer.result_int(), 504u);
    EXPECT_THAT(answer.body(), HasSubstr("\"ran\":\"unknown\""));
    EXPECT_TRUE(answer.count("Retry-After"));
}

// The caller closes its connection while tokens are arriving. Without a cancellation the engine would hold the memory
// of the prompt although its output is discarded.
TEST_F(FaultsGatewayTest, CallerThatDisconnectsMidStreamFreesEngineMemory)
{
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        {
            auto started = co_await this->harness.callerClient.start(
                this->harness.address, this->harness.prompt(PromptText, 100'000, true), std::chrono::seconds { 5 });
            co_await started.value().readSome(std::chrono::seconds { 5 });
            EXPECT_GT(this->harness.usedEngineTokens(), 0u);
        }
        while (this->harness.refusals("caller_gone") == 0)
            co_await this->harness.sleepFor(std::chrono::milliseconds { 1 });
    }));
    this->expectNoResourcesHeld();
}

// The service executes the call and closes the connection without a response. A retry would execute the call twice.
TEST_F(FaultsGatewayTest, ServiceCallWithLostResponseIsNotRepeatedAndIsSettledAsUnknown)
{
    HttpResponse answer;
    HttpResponse counts;
    ASSERT_TRUE(this->harness.run([&]() -> asio::awaitable<void> {
        auto faults = makeRequest(boost::beast::http::verb::post, "/faults", R"({"drop_answers":1})");
        co_await this->harness.callerClient.call(
            this->harness.service.address, std::move(faults), std::chrono::seconds { 1 });
        auto order = this->harness.post("/services/orders/restock", "{\"cream\":3}");
        order.set("Idempotency-Key", "k1");
        answer = co_await this->harness.send(std::move(order));
        auto query = makeRequest(boost::beast::http::verb::get, "/counts", {});
        auto counted = co_await this->harness.callerClient.call(
            this->harness.service.address, std::move(query), std::chrono::seconds { 1 });
        counts = std::move(counted).value();
    }));
    EXPECT_EQ(answer.result_int(), 502u);
    EXPECT_THAT(answer.body(), HasSubstr("\"ran\":\"unknown\""));
    EXPECT_THAT(counts.body(), HasSubstr("\"k1\":1"));
    ASSERT_EQ(this->harness.dispatcher.settlements.size(), 1u);
    EXPECT_TRUE(this->harness.dispatcher.settlements[0].unknown);
}

}
