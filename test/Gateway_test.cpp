#include "GatewayWorld.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <gmock/gmock.h>

#include "standins/AnswerGenerator.h"

using namespace marigoldpaddle;
using marigoldpaddle::testing::GatewayWorld;
using ::testing::HasSubstr;

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view Question = "Which bell is closest to A flat?";
constexpr std::uint64_t Tokens = 40;

std::string textOf(const HttpResponse& answer)
{
    return json::value_to<std::string>(json::parse(answer.body()).at("choices").at(0).at("text"));
}

// Joins the texts of a stream of events, up to its end mark.
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
    return text + " (no end mark)";
}

class GatewayTest : public ::testing::Test {
protected:
    // Sends one request and returns its answer, once everything it held is given back.
    HttpResponse answerTo(HttpRequest request)
    {
        HttpResponse answer;
        const auto didEnd = this->world.run(
            [&]() -> asio::awaitable<void> { answer = co_await this->world.send(std::move(request)); });
        EXPECT_TRUE(didEnd);
        this->expectNothingHeld();
        return answer;
    }

    void expectNothingHeld()
    {
        EXPECT_EQ(this->world.usedEngineTokens(), 0u) << "engine memory is still held";
        EXPECT_EQ(this->world.dispatcher.openPlacements(), 0u) << "placements are still open";
    }

    static void expectRefusal(const HttpResponse& answer, unsigned status, std::string_view reason)
    {
        EXPECT_EQ(answer.result_int(), status) << answer.body();
        EXPECT_EQ(answer["Content-Type"], "application/problem+json");
        EXPECT_THAT(answer.body(), HasSubstr("\"reason\":\"" + std::string { reason } + "\""));
        EXPECT_THAT(answer.body(), HasSubstr("\"ran\":\"no\""));
    }

    GatewayWorld world;
    std::string whole = standins::wholeAnswer(Question, Tokens);
};

TEST_F(GatewayTest, PromptAskedForWholeGetsItsWholeAnswer)
{
    const auto answer = this->answerTo(this->world.prompt(Question, Tokens, false));
    ASSERT_EQ(answer.result_int(), 200u) << answer.body();
    EXPECT_EQ(textOf(answer), this->whole);
}

TEST_F(GatewayTest, PromptAskedForAsStreamGetsEveryTokenAndAnEndMark)
{
    const auto answer = this->answerTo(this->world.prompt(Question, Tokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->whole);
}

TEST_F(GatewayTest, ChatAskedForAsStreamGetsItsTokensAsDeltas)
{
    const std::string body
        = R"({"model":"m","max_tokens":2,"stream":true,"messages":[{"role":"user","content":"Which bell?"}]})";
    const auto answer = this->answerTo(this->world.post("/v1/chat/completions", body));
    const auto expected = standins::wholeAnswer("user: Which bell?\nassistant:", 2);
    const auto first = "\"delta\":{\"content\":\"" + expected.substr(0, expected.size() / 2) + "\"}";
    EXPECT_THAT(answer.body(), HasSubstr(first));
    EXPECT_THAT(answer.body(), HasSubstr("data: [DONE]"));
}

TEST_F(GatewayTest, PromptOverASpanFreesItsReservationsAtTheEnd)
{
    this->world.dispatcher.partsPerGrant = 2;
    const auto answer = this->answerTo(this->world.prompt(Question, Tokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->whole);
}

TEST_F(GatewayTest, RefusalOfTheOwnerGoesOutWithItsReasonAndRetryAfter)
{
    this->world.dispatcher.refusal.emplace();
    this->world.dispatcher.refusal->reason = "overloaded";
    this->world.dispatcher.refusal->retryAfterMs = 2500;
    const auto answer = this->answerTo(this->world.prompt(Question, Tokens, true));
    expectRefusal(answer, 503, "overloaded");
    EXPECT_EQ(answer["Retry-After"], "3");
    EXPECT_EQ(this->world.refusals("overloaded"), 1u);
}

TEST_F(GatewayTest, KeylessOrderIsPassedOnAndItsAnswerComesBack)
{
    const auto answer = this->answerTo(this->world.post("/services/orders/restock", "{\"cream\":3}"));
    EXPECT_EQ(answer.result_int(), 201u) << answer.body();
}

TEST_F(GatewayTest, KeyedOrderIsSettledWithItsOutcome)
{
    auto order = this->world.post("/services/orders/restock", "{\"cream\":3}");
    order.set("Idempotency-Key", "k1");
    const auto answer = this->answerTo(std::move(order));
    EXPECT_EQ(answer.result_int(), 201u) << answer.body();
    ASSERT_EQ(this->world.dispatcher.settlements.size(), 1u);
    EXPECT_EQ(this->world.dispatcher.settlements[0].outcome.status, 201);
}

TEST_F(GatewayTest, RepeatOfAKeyedOrderGetsTheStoredAnswerAndIsNotSent)
{
    auto& claim = this->world.dispatcher.claimAnswer;
    claim.verdict = wire::ClaimVerdict::Repeated;
    wire::CallOutcome outcome;
    outcome.status = 202;
    outcome.contentType = "text/plain";
    outcome.body = "stored";
    claim.__set_outcome(outcome);
    this->world.dispatcher.services.clear();
    auto order = this->world.post("/services/orders/restock", "{\"cream\":3}");
    order.set("Idempotency-Key", "k1");
    const auto answer = this->answerTo(std::move(order));
    EXPECT_EQ(answer.result_int(), 202u);
    EXPECT_EQ(answer.body(), "stored");
    EXPECT_TRUE(this->world.dispatcher.settlements.empty());
}

class GatewayLandingClaimTest : public GatewayTest, public ::testing::WithParamInterface<wire::ClaimVerdict::type> { };

TEST_P(GatewayLandingClaimTest, ClaimThatMayStillLandIsGivenBackWhateverItsVerdict)
{
    this->world.dispatcher.claimAnswer.verdict = this->GetParam();
    this->world.dispatcher.claimAnswer.mayLand = true;
    auto order = this->world.post("/services/orders/restock", "{\"cream\":3}");
    order.set("Idempotency-Key", "k1");
    this->answerTo(std::move(order));
    ASSERT_EQ(this->world.dispatcher.settlements.size(), 1u);
    EXPECT_TRUE(this->world.dispatcher.settlements[0].notSent);
    EXPECT_FALSE(this->world.dispatcher.settlements[0].unknown);
}

INSTANTIATE_TEST_SUITE_P(EveryVerdictButWon, GatewayLandingClaimTest,
    ::testing::Values(wire::ClaimVerdict::Unavailable, wire::ClaimVerdict::Unknown, wire::ClaimVerdict::Mismatch,
        wire::ClaimVerdict::InProgress, wire::ClaimVerdict::Repeated));

TEST_F(GatewayTest, RepeatWhoseAnswerIsNotKeptIsToldItsStatusAndSize)
{
    wire::CallOutcome outcome;
    outcome.status = 201;
    outcome.omittedBodyBytes = 90'000;
    this->world.dispatcher.claimAnswer.verdict = wire::ClaimVerdict::Repeated;
    this->world.dispatcher.claimAnswer.__set_outcome(outcome);
    auto order = this->world.post("/services/orders/restock", "{\"cream\":3}");
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

TEST_P(GatewayBadInputTest, IsRefusedWithItsReasonAndHoldsNothing)
{
    const auto& input = this->GetParam();
    auto request = this->world.post(input.path, input.body);
    if (!input.field.empty())
        request.set(input.field, input.value);
    expectRefusal(this->answerTo(std::move(request)), input.status, input.reason);
    EXPECT_EQ(this->world.refusals(input.reason), 1u);
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
        BadInput { "AbsurdTime", "/v1/completions", GoodBody, "X-Allowed-Time-Ms", "99999999999999999999", 400,
            "invalid_allowed_time" },
        BadInput {
            "OversizedBody", "/v1/completions", std::string(2 * 1024 * 1024, 'x'), "", "", 413, "request_too_large" }),
    [](const auto& row) { return row.param.name; });

// Opens a connection of a caller that speaks no more than it is told to.
asio::ip::tcp::socket connectTo(GatewayWorld& world)
{
    const auto [host, port] = splitAddress(world.address);
    asio::ip::tcp::socket socket { world.context };
    socket.connect({ asio::ip::make_address(host), port });
    return socket;
}

class FaultsGatewayTest : public GatewayTest { };

TEST_F(FaultsGatewayTest, PlannedStopFailsReadinessAndLetsTheRunningStreamEndWhole)
{
    std::string body;
    unsigned readiness = 0;
    HttpResponse late;
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        auto started = co_await this->world.client.start(
            this->world.address, this->world.prompt(Question, Tokens, true), std::chrono::seconds { 5 });
        this->world.gateway.beginPlannedStop();
        auto probe = makeRequest(boost::beast::http::verb::get, "/readyz", {});
        readiness = (co_await this->world.send(std::move(probe))).result_int();
        late = co_await this->world.send(this->world.prompt(Question, Tokens, true));
        asio::co_spawn(this->world.context, this->world.front.drain(), asio::detached);
        auto rest = co_await started.value().readAll(std::chrono::seconds { 5 });
        body = std::move(rest).value();
    }));
    EXPECT_EQ(readiness, 503u);
    EXPECT_EQ(streamedText(body), this->whole) << "a running stream was cut off";
    EXPECT_EQ(streamedText(late.body()), this->whole) << "refused although the listener was still open";
    this->expectNothingHeld();
}

TEST_F(FaultsGatewayTest, HalfARequestIsAnsweredWithATimeout)
{
    std::string answer;
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        auto socket = connectTo(this->world);
        const std::string half = "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{";
        co_await asio::async_write(socket, asio::buffer(half), asio::use_awaitable);
        boost::system::error_code end;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), asio::redirect_error(asio::use_awaitable, end));
    }));
    EXPECT_THAT(answer, HasSubstr("HTTP/1.1 408"));
    EXPECT_THAT(answer, HasSubstr("\"reason\":\"request_timeout\""));
}

TEST_F(FaultsGatewayTest, CallerThatStopsReadingIsGivenUpAndFreesTheEngine)
{
    GatewayWorld fast { Duration::zero() };
    ASSERT_TRUE(fast.run([&]() -> asio::awaitable<void> {
        auto socket = connectTo(fast);
        auto request = fast.prompt(Question, 500'000, true);
        co_await boost::beast::http::async_write(socket, request, asio::use_awaitable);
        while (fast.refusals("caller_gone") == 0)
            co_await fast.pause(std::chrono::milliseconds { 1 });
    }));
    EXPECT_EQ(fast.usedEngineTokens(), 0u);
    EXPECT_EQ(fast.dispatcher.openPlacements(), 0u);
}

TEST_F(FaultsGatewayTest, NewOwnerOfTheCellIsAskedForWhatTheOldOneHadQueued)
{
    HttpResponse answer;
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        auto& dispatcher = this->world.dispatcher;
        dispatcher.isSilent = true;
        auto started = asio::co_spawn(
            this->world.context, this->world.send(this->world.prompt(Question, Tokens, true)), asio::use_future);
        while (dispatcher.acquires == 0)
            co_await this->world.pause(std::chrono::milliseconds { 1 });
        dispatcher.isSilent = false;
        dispatcher.instance = "instance-2";
        while (started.wait_for(std::chrono::seconds { 0 }) != std::future_status::ready)
            co_await this->world.pause(std::chrono::milliseconds { 1 });
        answer = started.get();
    }));
    EXPECT_EQ(streamedText(answer.body()), this->whole);
    EXPECT_EQ(this->world.retries("owner_changed"), 1u);
    this->expectNothingHeld();
}

TEST_F(FaultsGatewayTest, NewOwnerOfTheCellIsToldWhatRuns)
{
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        auto& dispatcher = this->world.dispatcher;
        auto started = co_await this->world.client.start(
            this->world.address, this->world.prompt(Question, 100'000, true), std::chrono::seconds { 5 });
        co_await started.value().readSome(std::chrono::seconds { 5 });
        dispatcher.announcedHoldings.reset();
        dispatcher.instance = "instance-2";
        while (!dispatcher.announcedHoldings)
            co_await this->world.pause(std::chrono::milliseconds { 1 });
        EXPECT_EQ(*dispatcher.announcedHoldings, 1u);
    }));
    this->expectNothingHeld();
}

TEST_F(FaultsGatewayTest, StreamCutInTheMiddleIsResumedOnTheSameEngine)
{
    HttpResponse answer;
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        co_await this->world.setFaults(0, R"({"cut_after_tokens":7})");
        answer = co_await this->world.send(this->world.prompt(Question, Tokens, true));
    }));
    EXPECT_EQ(streamedText(answer.body()), this->whole);
    EXPECT_EQ(this->world.retries("stream_resumed"), 1u);
    this->expectNothingHeld();
}

TEST_F(FaultsGatewayTest, EngineThatDiesInTheMiddleIsReplacedByAnotherWithTheTokensAppended)
{
    HttpResponse answer;
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        auto started = co_await this->world.client.start(
            this->world.address, this->world.prompt(Question, Tokens, true), std::chrono::seconds { 5 });
        auto body = co_await started.value().readSome(std::chrono::seconds { 5 });
        this->world.engines[0].server.reset();
        co_await this->world.setFaults(0, R"({"cut_after_tokens":1,"frozen":true})");
        auto rest = co_await started.value().readAll(std::chrono::seconds { 15 });
        answer.body() = body.value() + rest.value();
    }));
    EXPECT_EQ(streamedText(answer.body()), this->whole);
}

TEST_F(FaultsGatewayTest, GrantOnATargetThatIsLeavingIsGivenBackAndAnotherAsked)
{
    this->world.dispatcher.leaving = { "engine-1" };
    const auto answer = this->answerTo(this->world.prompt(Question, Tokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->whole);
    EXPECT_THAT(this->world.dispatcher.exclusions.back(), ::testing::ElementsAre("engine-1"));
    this->expectNothingHeld();
}

TEST_F(FaultsGatewayTest, EngineThatCannotBeReachedIsExcludedAndAnotherAsked)
{
    this->world.dispatcher.engines[0].address = "127.0.0.1:1";
    const auto answer = this->answerTo(this->world.prompt(Question, Tokens, true));
    EXPECT_EQ(streamedText(answer.body()), this->whole);
    EXPECT_EQ(this->world.retries("connect_failed"), 1u);
    EXPECT_THAT(this->world.dispatcher.exclusions.back(), ::testing::ElementsAre("engine-1"));
}

TEST_F(FaultsGatewayTest, FrozenEngineEndsThePromptAtItsDeadlineWithUnknown)
{
    HttpResponse answer;
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        for (std::size_t engine = 0; engine < 3; ++engine)
            co_await this->world.setFaults(engine, R"({"frozen":true})");
        auto request = this->world.prompt(Question, Tokens, true);
        request.set("X-Allowed-Time-Ms", "300");
        answer = co_await this->world.send(std::move(request));
        for (std::size_t engine = 0; engine < 3; ++engine)
            co_await this->world.setFaults(engine, R"({"frozen":false})");
    }));
    EXPECT_EQ(answer.result_int(), 504u);
    EXPECT_THAT(answer.body(), HasSubstr("\"ran\":\"unknown\""));
    EXPECT_TRUE(answer.count("Retry-After"));
}

TEST_F(FaultsGatewayTest, CallerThatLeavesInTheMiddleFreesTheEngine)
{
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        {
            auto started = co_await this->world.client.start(
                this->world.address, this->world.prompt(Question, 100'000, true), std::chrono::seconds { 5 });
            co_await started.value().readSome(std::chrono::seconds { 5 });
            EXPECT_GT(this->world.usedEngineTokens(), 0u);
        }
        while (this->world.refusals("caller_gone") == 0)
            co_await this->world.pause(std::chrono::milliseconds { 1 });
    }));
    this->expectNothingHeld();
}

TEST_F(FaultsGatewayTest, OrderWhoseAnswerIsLostIsNotRepeatedAndIsSettledAsUnknown)
{
    HttpResponse answer;
    HttpResponse counts;
    ASSERT_TRUE(this->world.run([&]() -> asio::awaitable<void> {
        auto faults = makeRequest(boost::beast::http::verb::post, "/faults", R"({"drop_answers":1})");
        co_await this->world.client.call(this->world.service.address, std::move(faults), std::chrono::seconds { 1 });
        auto order = this->world.post("/services/orders/restock", "{\"cream\":3}");
        order.set("Idempotency-Key", "k1");
        answer = co_await this->world.send(std::move(order));
        auto query = makeRequest(boost::beast::http::verb::get, "/counts", {});
        auto counted = co_await this->world.client.call(
            this->world.service.address, std::move(query), std::chrono::seconds { 1 });
        counts = std::move(counted).value();
    }));
    EXPECT_EQ(answer.result_int(), 502u);
    EXPECT_THAT(answer.body(), HasSubstr("\"ran\":\"unknown\""));
    EXPECT_THAT(counts.body(), HasSubstr("\"k1\":1"));
    ASSERT_EQ(this->world.dispatcher.settlements.size(), 1u);
    EXPECT_TRUE(this->world.dispatcher.settlements[0].unknown);
}

}
