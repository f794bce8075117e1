#include "serving/ServingGateway.h"

#include <deque>
#include <functional>
#include <numeric>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <gtest/gtest.h>

#include "RawServer.h"
#include "platform/HeaderFormat.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using testing::RawAnswer;
using testing::RawEnding;
using testing::RawServer;

// A target with scripted answers, which records the requests that it receives.
class ScriptedTarget final : public HttpHandler {
public:
    using Reaction = std::function<asio::awaitable<void>(HttpExchange&)>;

    explicit ScriptedTarget(asio::io_context& context)
        : server(context, *this)
        , address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        this->received.push_back(exchange.request());
        if (this->script.empty())
            co_return;
        const auto reaction = this->script.front();
        if (this->script.size() > 1)
            this->script.pop_front();
        co_await reaction(exchange);
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(400, "text/plain", "fault");
    }

    HttpServer server;
    std::string address;
    std::deque<Reaction> script;
    std::vector<HttpRequest> received;
};

HttpResponse answer(const HttpExchange& exchange, unsigned status, std::string body, bool isSealed = true)
{
    auto response = makeResponse(status, "text/plain", std::move(body));
    response.set("Marigoldpaddle-Attempt-Id", exchange.request()["Marigoldpaddle-Attempt-Id"]);
    if (isSealed)
        response.set("Marigoldpaddle-Server-Seal", "seal");
    return response;
}

ScriptedTarget::Reaction respondWith(unsigned status, std::string body, bool isSealed = true)
{
    return [=](HttpExchange& exchange) -> asio::awaitable<void> {
        auto response = answer(exchange, status, body, isSealed);
        co_await exchange.respond(std::move(response));
    };
}

ScriptedTarget::Reaction declined()
{
    return [](HttpExchange& exchange) -> asio::awaitable<void> {
        auto response = answer(exchange, 503, "", false);
        response.set("Marigoldpaddle-Not-Executed", "1");
        co_await exchange.respond(std::move(response));
    };
}

// Sends events and then ends the answer, or cuts it off.
ScriptedTarget::Reaction events(std::string text, bool isWhole)
{
    return [=](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponseHeader header { answer(exchange, 200, "").base() };
        header.erase(http::field::content_length);
        header.set(http::field::content_type, "text/event-stream");
        co_await exchange.beginStream(header);
        co_await exchange.write(text);
        if (isWhole)
            co_await exchange.endStream();
    };
}

// Begins the answer to a prompt with the part and ends before its first event. Other prompts are answered.
ScriptedTarget::Reaction endsUnder(const std::string& part)
{
    return [=](HttpExchange& exchange) -> asio::awaitable<void> {
        const std::string parts { exchange.request()["Marigoldpaddle-Prompt-Prefix"] };
        const auto isUnderPart = parts.find(part + ':') != std::string::npos;
        const auto reaction = isUnderPart ? events("id: 1", false) : events("id: 1\n\n", true);
        co_await reaction(exchange);
    };
}

ScriptedTarget::Reaction closeWithoutAnswer()
{
    return [](HttpExchange&) -> asio::awaitable<void> {
        co_return;
    };
}

// A target that sends the header of a stream with neither a length nor chunks, then `text`, and closes the connection,
// with a reset if asked.
class ClosingTarget {
public:
    ClosingTarget(asio::io_context& context, std::string text, bool resets)
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , address("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()))
        , text(std::move(text))
        , resets(resets)
    {
        asio::co_spawn(context, this->serve(), asio::detached);
    }

    asio::ip::tcp::acceptor acceptor;
    std::string address;
    unsigned received { 0 };

private:
    asio::awaitable<void> serve()
    {
        while (true) {
            auto socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            boost::beast::flat_buffer buffer;
            HttpRequest request;
            boost::system::error_code failure;
            co_await http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                continue;
            ++this->received;
            const std::string id { request["Marigoldpaddle-Attempt-Id"] };
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                         "Marigoldpaddle-Attempt-Id: "
                + id + "\r\nMarigoldpaddle-Server-Seal: seal\r\nConnection: close\r\n\r\n" + this->text;
            co_await asio::async_write(
                socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, failure));
            if (this->resets) {
                asio::steady_timer timer { this->acceptor.get_executor(), 20ms };
                co_await timer.async_wait(asio::use_awaitable);
                socket.set_option(asio::socket_base::linger { true, 0 });
            }
            socket.close();
        }
    }

    std::string text;
    bool resets;
};

// Refuses reservations unless a test sets another reaction.
class ScriptedMemory final : public EngineMemory {
public:
    asio::awaitable<MemoryOutcome> reserve(TargetEntry engine, MemoryReservation, Duration) override
    {
        co_return this->reaction ? this->reaction(engine) : MemoryOutcome::Refused;
    }

    asio::awaitable<MemoryOutcome> release(TargetEntry, MemoryReservation) override
    {
        co_return MemoryOutcome::Done;
    }

    std::function<MemoryOutcome(const TargetEntry&)> reaction;
};

// The gateway between a caller and two scripted targets, over loopback.
class ServingGatewayTest : public ::testing::Test {
protected:
    ServingGatewayTest()
    {
        this->first.script = { respondWith(200, "first") };
        this->second.script = { respondWith(200, "second") };
        this->configure();
        this->registerTarget("t1", this->first.address);
        this->address = "127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0"));
    }

    // An attempt whose answer has just been delivered refers to members that are destroyed before the event loop.
    ~ServingGatewayTest() override
    {
        this->context.restart();
        this->context.poll();
    }

    void configure(std::uint64_t version = 1)
    {
        ServingConfiguration values;
        values.version = version;
        values.services["s"].name = "s";
        values.requiresKeys = true;
        values.workspaceByKey = { { "key", "workspace" } };
        values.routes = { this->route("safe", RouteKind::Repeatable), this->route("unsafe", RouteKind::Unrepeatable),
            this->route("stream", RouteKind::Stream) };
        values.routes[2].isResumable = true;
        this->view.install(std::move(values));
    }

    Route route(const std::string& name, RouteKind kind)
    {
        Route route;
        route.name = name;
        route.host = "a.example";
        route.pathPrefix = "/" + name + "/";
        route.kind = kind;
        route.timeout = 5s;
        route.objective = 300ms;
        route.gapObjective = 200ms;
        route.maximumAttempts = 2;
        route.shares = { { "s", 1 } };
        return route;
    }

    void registerTarget(const std::string& id, const std::string& address)
    {
        TargetEntry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = address;
        entry.availabilityZone = "a";
        this->view.targets.upsert(entry, this->clock.now());
    }

    HttpRequest request(const std::string& path)
    {
        auto request = makeRequest(http::verb::post, path, "body");
        request.set(http::field::host, "a.example");
        request.set(http::field::authorization, "Token key");
        request.set("Marigoldpaddle-Attempt-Id", "attempt");
        request.set("Marigoldpaddle-Deadline-Remaining", "5000");
        return request;
    }

    // Sends a request as a caller would and runs the event loop until it is answered.
    HttpResult<HttpResponse> call(HttpRequest request)
    {
        std::optional<HttpResult<HttpResponse>> result;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                result = co_await this->caller.call(this->address, std::move(request), 10s);
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run();
        return *result;
    }

    // The whole body of the answer; "cut off" if the answer is incomplete.
    std::string bodyOf(const std::string& path)
    {
        const auto answered = this->call(this->request(path));
        return answered ? answered.value().body() : "cut off";
    }

    // Sends an event, is silent for longer than the limit for gaps, and sends the rest.
    ScriptedTarget::Reaction silentBetweenEvents(std::function<void()> whenSilent)
    {
        return [this, whenSilent](HttpExchange& exchange) -> asio::awaitable<void> {
            HttpResponseHeader header { answer(exchange, 200, "").base() };
            header.erase(http::field::content_length);
            header.set(http::field::content_type, "text/event-stream");
            co_await exchange.beginStream(header);
            co_await exchange.write("id: 1\n\n");
            asio::steady_timer timer { this->context, 100ms };
            co_await timer.async_wait(asio::use_awaitable);
            whenSilent();
            timer.expires_after(1700ms);
            co_await timer.async_wait(asio::use_awaitable);
            co_await exchange.write("id: 2\n\n");
            co_await exchange.endStream();
        };
    }

    unsigned status(const std::string& path)
    {
        const auto answered = this->call(this->request(path));
        return answered ? answered.value().result_int() : 0;
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    platform::HeaderFormat format;
    ServingView view;
    LoadLedger ledger;
    WaitingPrompts waiting;
    TargetHealth health;
    RetryBudget budget { { 0.2, 10s, 1000 } };
    HttpClient client { this->context.get_executor() };
    HttpClient caller { this->context.get_executor() };
    ScriptedMemory memory;
    PromptQuarantine quarantine;
    EventLog log { this->clock, { "test", 0, 16 } };
    MetricsRegistry metrics;
    ScriptedTarget first { this->context };
    ScriptedTarget second { this->context };
    ServingGateway gateway { { this->context, this->clock, this->format, this->view, this->ledger, this->waiting,
                                 this->health, this->budget, this->client, this->memory, this->quarantine, this->log,
                                 this->metrics, "test", 3s },
        TargetChooser { this->view.targets, this->ledger, this->health, "a", std::mt19937_64 { 1 } } };
    HttpServer server { this->context, this->gateway };
    std::string address;
};

TEST_F(ServingGatewayTest, AnswerIsForwardedWithItsSeal)
{
    const auto answered = this->call(this->request("/safe/x?q=1"));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().result_int(), 200U);
    EXPECT_EQ(answered.value().body(), "first");
    EXPECT_EQ(answered.value()["Marigoldpaddle-Server-Seal"], "seal");
    ASSERT_EQ(this->first.received.size(), 1U);
    EXPECT_EQ(this->first.received[0].target(), "/safe/x?q=1");
    EXPECT_EQ(this->first.received[0].body(), "body");
    EXPECT_EQ(this->first.received[0]["Marigoldpaddle-Tenant"], "workspace");
}

TEST_F(ServingGatewayTest, LoadIsRemovedWhenTheAnswerHasEnded)
{
    this->status("/safe/x");
    EXPECT_TRUE(this->ledger.localLoads(this->clock.now()).empty());
}

TEST_F(ServingGatewayTest, UnknownRouteIsRefusedWith404)
{
    EXPECT_EQ(this->status("/none/"), 404U);
    EXPECT_TRUE(this->first.received.empty());
}

TEST_F(ServingGatewayTest, UnknownKeyIsRefusedWith401)
{
    auto request = this->request("/safe/x");
    request.set(http::field::authorization, "Token other");
    EXPECT_EQ(this->call(std::move(request)).value().result_int(), 401U);
    EXPECT_TRUE(this->first.received.empty());
}

TEST_F(ServingGatewayTest, FailedRepeatableRequestIsRetriedAtAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { respondWith(500, "no") };
    this->second.script = { respondWith(200, "yes") };
    for (int call = 0; call < 8; ++call)
        EXPECT_EQ(this->status("/safe/x"), 200U);
}

TEST_F(ServingGatewayTest, FailedUnrepeatableRequestIsNotRetried)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { respondWith(500, "no") };
    this->second.script = { respondWith(500, "no") };
    const auto answered = this->call(this->request("/unsafe/x"));
    EXPECT_EQ(answered.value().result_int(), 500U);
    EXPECT_EQ(answered.value()["Marigoldpaddle-Server-Seal"], "seal");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 1U);
}

TEST_F(ServingGatewayTest, UnrepeatableRequestWithoutAnAnswerIsReportedAsPossiblyExecuted)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { closeWithoutAnswer() };
    this->second.script = { closeWithoutAnswer() };
    EXPECT_EQ(this->status("/unsafe/x"), 502U);
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 1U);
}

TEST_F(ServingGatewayTest, UnexecutedUnrepeatableRequestIsRetriedAtAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { declined() };
    EXPECT_EQ(this->status("/unsafe/x"), 200U);
}

TEST_F(ServingGatewayTest, UnexecutedRequestIsRefusedWithRetryAfter)
{
    this->first.script = { declined() };
    const auto answered = this->call(this->request("/unsafe/x"));
    EXPECT_EQ(answered.value().result_int(), 503U);
    EXPECT_FALSE(answered.value()["Retry-After"].empty());
}

TEST_F(ServingGatewayTest, SuccessWithoutASealIsNotForwarded)
{
    this->first.script = { respondWith(200, "forged", false) };
    EXPECT_EQ(this->status("/unsafe/x"), 502U);
}

TEST_F(ServingGatewayTest, AnswerToAnotherRequestIsNotForwarded)
{
    this->first.script = { [](HttpExchange& exchange) -> asio::awaitable<void> {
        auto response = answer(exchange, 200, "theirs");
        response.set("Marigoldpaddle-Attempt-Id", "other");
        co_await exchange.respond(std::move(response));
    } };
    EXPECT_EQ(this->status("/unsafe/x"), 502U);
}

TEST_F(ServingGatewayTest, MisdirectedTargetGetsNoMoreRequests)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { [](HttpExchange& exchange) -> asio::awaitable<void> {
        auto response = answer(exchange, 421, "", false);
        co_await exchange.respond(std::move(response));
    } };
    for (int call = 0; call < 8; ++call)
        EXPECT_EQ(this->status("/unsafe/x"), 200U);
    EXPECT_LE(this->first.received.size(), 1U);
    // The target must be marked as leaving, not only ejected for the period after a declined send.
    EXPECT_EQ(this->view.targets.available("s").size(), 1U);
}

// A target began to leave while a request waited for its connection, and got the request all the same.
TEST_F(ServingGatewayTest, RequestIsNotWrittenToATargetThatBeganToLeaveMeanwhile)
{
    this->registerTarget("t2", this->second.address);
    const auto* target = this->view.targets.find("t1");
    const auto chosen = *target;
    EXPECT_TRUE(this->view.targets.acceptsWork(chosen));
    this->view.targets.markLeaving(chosen, this->clock.now());
    EXPECT_FALSE(this->view.targets.acceptsWork(chosen));
    for (int call = 0; call < 8; ++call)
        EXPECT_EQ(this->status("/unsafe/x"), 200U);
    EXPECT_TRUE(this->first.received.empty());
}

// A target leaves and says so in its answers, while the store still has it as ready. It got new requests until it was
// gone.
class ServingGatewayLeavingTest : public ServingGatewayTest {
protected:
    static ScriptedTarget::Reaction leaving(unsigned status, bool wasExecuted)
    {
        return [=](HttpExchange& exchange) -> asio::awaitable<void> {
            auto response = answer(exchange, status, "first", wasExecuted);
            response.set("Server-Leaving", "1");
            if (!wasExecuted)
                response.set("Marigoldpaddle-Not-Executed", "1");
            co_await exchange.respond(std::move(response));
        };
    }

    void expectNoFurtherRequest()
    {
        EXPECT_EQ(this->first.received.size(), 1U);
        EXPECT_TRUE(this->view.targets.available("s").empty());
        this->registerTarget("t2", this->second.address);
        for (int call = 0; call < 8; ++call)
            EXPECT_EQ(this->status("/safe/x"), 200U);
        EXPECT_EQ(this->first.received.size(), 1U);
        EXPECT_EQ(this->metrics.counter("marigold_targets_leaving_by_answer_total").value(), 1U);
    }
};

TEST_F(ServingGatewayLeavingTest, TargetThatSaysSoInASuccessGetsNoFurtherRequest)
{
    this->first.script = { leaving(200, true) };
    EXPECT_EQ(this->bodyOf("/unsafe/x"), "first");
    this->expectNoFurtherRequest();
}

TEST_F(ServingGatewayLeavingTest, TargetThatSaysSoInAFailureGetsNoFurtherRequest)
{
    this->first.script = { leaving(500, true) };
    EXPECT_EQ(this->status("/unsafe/x"), 500U);
    this->expectNoFurtherRequest();
}

TEST_F(ServingGatewayLeavingTest, TargetThatSaysSoInARefusalGetsNoFurtherRequest)
{
    this->first.script = { leaving(503, false) };
    EXPECT_EQ(this->status("/unsafe/x"), 503U);
    this->expectNoFurtherRequest();
}

// The address belongs to another target by now, which answers that it is not the one and that it leaves.
TEST_F(ServingGatewayLeavingTest, TargetThatSaysSoInAMisdirectedAnswerIsMarkedItself)
{
    TargetEntry successor;
    successor.id = "t3";
    successor.service = "other";
    successor.address = this->first.address;
    this->view.targets.upsert(successor, this->clock.now());
    this->first.script = { leaving(421, false) };
    EXPECT_EQ(this->status("/unsafe/x"), 503U);
    EXPECT_TRUE(this->view.targets.available("s").empty()) << "the target that was expected";
    EXPECT_FALSE(this->view.targets.acceptsWork(successor)) << "the target that answered";
}

// The header comes long before the end of the stream.
TEST_F(ServingGatewayLeavingTest, TargetThatSaysSoInAStreamIsKnownToLeaveBeforeItsEnd)
{
    std::optional<std::size_t> availableMeanwhile;
    this->first.script = { [&](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponseHeader header { answer(exchange, 200, "").base() };
        header.erase(http::field::content_length);
        header.set("Server-Leaving", "1");
        co_await exchange.beginStream(header);
        co_await exchange.write("id: 1\n\n");
        asio::steady_timer timer { this->context, 50ms };
        co_await timer.async_wait(asio::use_awaitable);
        availableMeanwhile = this->view.targets.available("s").size();
        co_await exchange.write("id: 2\n\n");
        co_await exchange.endStream();
    } };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(availableMeanwhile, 0U);
    this->expectNoFurtherRequest();
}

// A target answers 503 with Retry-After: it wants nothing from this instance for so long. It got requests again after
// the 100 ms of an ejection, and at once if all targets were ejected.
class ServingGatewayPauseTest : public ServingGatewayTest {
protected:
    static constexpr Duration Pause = 1s;

    static ScriptedTarget::Reaction pausing(unsigned status = 503)
    {
        return [=](HttpExchange& exchange) -> asio::awaitable<void> {
            auto response = answer(exchange, status, "", false);
            response.set("Marigoldpaddle-Not-Executed", "1");
            response.set("Retry-After", "1");
            co_await exchange.respond(std::move(response));
        };
    }

    // Engines whose memory is too small for the prompt of requestWithReservations().
    void configureEngines()
    {
        ServingConfiguration values = this->view.configuration()->values;
        values.version = 2;
        values.services["s"].engine = EngineProfile { 16, 100'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
        this->view.install(std::move(values));
    }

    HttpRequest requestWithReservations()
    {
        auto prompt = this->request("/stream/x");
        prompt.set("Marigoldpaddle-Token-Usage", "110000,100");
        return prompt;
    }

    std::size_t received() const
    {
        return this->first.received.size() + this->second.received.size();
    }
};

TEST_F(ServingGatewayPauseTest, PausedTargetGetsNoRequestUntilThePauseEnds)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { pausing(), respondWith(200, "first") };
    while (this->first.received.empty())
        EXPECT_EQ(this->status("/unsafe/x"), 200U);
    const auto pausedAt = this->clock.now();
    while (this->clock.now() < pausedAt + Pause - 50ms) {
        EXPECT_EQ(this->status("/unsafe/x"), 200U);
        this->context.restart();
        this->context.run_for(20ms);
    }
    EXPECT_EQ(this->first.received.size(), 1U);
    this->context.restart();
    this->context.run_for(100ms);
    for (int call = 0; call < 20; ++call)
        EXPECT_EQ(this->status("/unsafe/x"), 200U);
    EXPECT_GT(this->first.received.size(), 1U) << "the target was lost";
}

TEST_F(ServingGatewayPauseTest, OnlyTargetThatIsPausedGetsNoRequest)
{
    this->first.script = { pausing() };
    for (int call = 0; call < 8; ++call) {
        EXPECT_EQ(this->status("/safe/x"), 503U);
        this->context.restart();
        this->context.run_for(40ms);
    }
    EXPECT_EQ(this->first.received.size(), 1U);
}

TEST_F(ServingGatewayPauseTest, RetryAfterOfAnotherStatusDoesNotPauseTheTarget)
{
    this->first.script = { pausing(429) };
    this->status("/unsafe/x");
    EXPECT_FALSE(this->health.pauses.isPaused("t1", this->clock.now()));
}

// The pause begins while the request waits for memory on the other engine. It was sent all the same.
TEST_F(ServingGatewayPauseTest, RequestThatAwaitsMemoryIsNotWrittenToATargetThatIsPausedMeanwhile)
{
    this->configureEngines();
    this->registerTarget("t2", this->second.address);
    this->memory.reaction = [&](const TargetEntry& helper) {
        this->health.pauses.pause(helper.id == "t1" ? "t2" : "t1", Pause, this->clock.now());
        return MemoryOutcome::Done;
    };
    EXPECT_EQ(this->call(this->requestWithReservations()).value().result_int(), 503U);
    EXPECT_EQ(this->received(), 0U);
    EXPECT_EQ(this->metrics.counter("marigold_held_back_requests_total").value(), 1U);
}

TEST_F(ServingGatewayPauseTest, RequestThatAwaitsMemoryIsNotWrittenToATargetThatBeginsToLeave)
{
    this->configureEngines();
    this->registerTarget("t2", this->second.address);
    this->memory.reaction = [&](const TargetEntry& helper) {
        const auto* other = this->view.targets.find(helper.id == "t1" ? "t2" : "t1");
        this->view.targets.markLeaving(*other, this->clock.now());
        return MemoryOutcome::Done;
    };
    EXPECT_EQ(this->call(this->requestWithReservations()).value().result_int(), 503U);
    EXPECT_EQ(this->received(), 0U);
}

// The caller was told to retry after 0.3 s, when all targets were still paused.
TEST_F(ServingGatewayPauseTest, RequestIsRefusedAtOnceUntilTheFirstPauseEnds)
{
    this->registerTarget("t2", this->second.address);
    this->health.pauses.pause("t1", 4s, this->clock.now());
    this->health.pauses.pause("t2", Pause, this->clock.now());
    const auto startedAt = this->clock.now();
    const auto refused = this->call(this->request("/safe/x"));
    EXPECT_LT(this->clock.now() - startedAt, 500ms);
    EXPECT_EQ(refused.value().result_int(), 503U);
    EXPECT_EQ(refused.value().body(), R"({"error":"targets_paused"})");
    const std::chrono::duration<double> stated { std::stod(std::string { refused.value()["Retry-After"] }) };
    EXPECT_GE(stated, Pause - 100ms) << "while all targets are paused";
    EXPECT_LE(stated, 4s);
}

TEST_F(ServingGatewayPauseTest, RefusalByTheOnlyTargetStatesItsTime)
{
    this->budget.setSettings({ 0, 10s, 0 });
    this->first.script = { pausing() };
    const auto refused = this->call(this->request("/unsafe/x"));
    EXPECT_EQ(refused.value().result_int(), 503U);
    EXPECT_GE(std::stod(std::string { refused.value()["Retry-After"] }), 1.0);
    EXPECT_EQ(this->received(), 1U);
}

// All callers would return at the end of the first pause, and their first target would refuse most of them again.
TEST_F(ServingGatewayPauseTest, CallersRefusedTogetherAreToldDifferentTimes)
{
    this->health.pauses.pause("t1", Pause, this->clock.now());
    std::vector<double> stated;
    for (int call = 0; call < 40; ++call)
        stated.push_back(std::stod(std::string { this->call(this->request("/safe/x")).value()["Retry-After"] }));
    const auto [least, most] = std::ranges::minmax(stated);
    EXPECT_GT(most - least, 0.3);
}

TEST_F(ServingGatewayPauseTest, RequestIsServedWhileOneTargetIsNotPaused)
{
    this->registerTarget("t2", this->second.address);
    this->health.pauses.pause("t1", Pause, this->clock.now());
    for (int call = 0; call < 8; ++call)
        EXPECT_EQ(this->bodyOf("/safe/x"), "second");
}

// The stream has begun, so it cannot be refused. It was cut off although a target could continue it soon.
TEST_F(ServingGatewayPauseTest, BrokenStreamContinuesWhenThePauseOfTheOtherTargetEnds)
{
    this->registerTarget("t2", this->second.address);
    const auto breaksOrContinues = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        const bool isResumed = exchange.request()["Last-Event-Id"] == "1";
        if (!isResumed) {
            this->health.pauses.pause("t1", Pause, this->clock.now());
            this->health.pauses.pause("t2", Pause, this->clock.now());
        }
        const auto reaction = isResumed ? events("id: 2\n\n", true) : events("id: 1\n\nid: 2\nda", false);
        co_await reaction(exchange);
    };
    this->first.script = { breaksOrContinues };
    this->second.script = { breaksOrContinues };
    const auto startedAt = this->clock.now();
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_GE(this->clock.now() - startedAt, Pause);
}

// Three engines: the first helper's answer to its reservation pauses the second helper.
TEST_F(ServingGatewayPauseTest, EngineThatIsPausedMeanwhileGetsNoReservation)
{
    this->configureEngines();
    this->registerTarget("t2", this->second.address);
    ScriptedTarget third { this->context };
    this->registerTarget("t3", third.address);
    std::vector<std::string> reserved;
    this->memory.reaction = [&](const TargetEntry& helper) {
        reserved.push_back(helper.id);
        for (const auto* target : this->view.targets.available("s")) {
            if (target->id != helper.id)
                this->health.pauses.pause(target->id, Pause, this->clock.now());
        }
        return MemoryOutcome::Done;
    };
    auto prompt = this->requestWithReservations();
    prompt.set("Marigoldpaddle-Token-Usage", "160000,100");
    EXPECT_EQ(this->call(std::move(prompt)).value().result_int(), 503U);
    EXPECT_EQ(reserved.size(), 1U);
    EXPECT_EQ(this->received() + third.received.size(), 0U);
}

// A helper of a long prompt is gone. The engine that asked it declines the prompt and names the helper; the next
// attempt excluded that sound engine and asked the same helper again.
TEST_F(ServingGatewayTest, HelperThatADecliningEngineNamesIsAvoidedInsteadOfTheEngine)
{
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.services["s"].engine = EngineProfile { 16, 450'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
    this->view.install(std::move(values));
    this->registerTarget("t2", this->second.address);
    ScriptedTarget third { this->context };
    this->registerTarget("t3", third.address);
    std::string named;
    unsigned declines = 0;
    const auto declinesOnce = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        const std::string helpers { exchange.request()["Marigoldpaddle-Helpers"] };
        if (declines == 0 && !helpers.empty()) {
            ++declines;
            named = helpers.substr(0, helpers.find(','));
            auto response = answer(exchange, 503, "", false);
            response.set("Marigoldpaddle-Not-Executed", "1");
            response.set("At-Server", named);
            co_await exchange.respond(std::move(response));
            co_return;
        }
        EXPECT_EQ(helpers.find(named), std::string::npos) << "the helper at fault was asked again";
        const auto reaction = events("id: 1\n\n", true);
        co_await reaction(exchange);
    };
    this->first.script = { declinesOnce };
    this->second.script = { declinesOnce };
    third.script = { declinesOnce };
    auto prompt = this->request("/stream/x");
    prompt.set("Marigoldpaddle-Token-Usage", "400000,100");
    EXPECT_EQ(this->call(std::move(prompt)).value().body(), "id: 1\n\n");
    EXPECT_EQ(declines, 1U);
}

// One part of a prompt ends every engine that begins to answer it. Requests with it ended one engine after the other.
TEST_F(ServingGatewayTest, PromptPartUnderWhichTargetsEndIsNoLongerSent)
{
    this->first.script = { endsUnder("bad") };
    std::vector<std::unique_ptr<ScriptedTarget>> others;
    for (int index = 2; index <= 12; ++index) {
        others.push_back(std::make_unique<ScriptedTarget>(this->context));
        others.back()->script = { endsUnder("bad") };
        this->registerTarget("t" + std::to_string(index), others.back()->address);
    }
    auto promptWith = [&, prompts = 0](const std::string& parts) mutable {
        auto request = this->request("/stream/x");
        request.set("Marigoldpaddle-Attempt-Id", "attempt" + std::to_string(++prompts));
        request.set("Marigoldpaddle-Prompt-Prefix", parts);
        return this->call(std::move(request));
    };
    const auto received = [&] {
        return std::accumulate(others.begin(), others.end(), this->first.received.size(),
            [](std::size_t sum, const auto& target) { return sum + target->received.size(); });
    };
    for (int index = 0; index < 20; ++index)
        EXPECT_TRUE(promptWith("common:40,bad:800,own" + std::to_string(index) + ":100")); // Refused, whole.
    EXPECT_LE(received(), 5U);
    const auto refused = promptWith("common:40,bad:800,last:100");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused.value().result_int(), 503U);
    // Prompts that share their other parts with these are served.
    const auto sound = promptWith("common:40,good:800,own:100");
    ASSERT_TRUE(sound);
    EXPECT_EQ(sound.value().body(), "id: 1\n\n");
}

// A fixture for prompts under which targets end.
class ServingGatewayQuarantineTest : public ServingGatewayTest {
protected:
    HttpResult<HttpResponse> prompt(const std::string& path, const std::string& parts)
    {
        auto request = this->request(path);
        request.set("Marigoldpaddle-Attempt-Id", "attempt" + std::to_string(++this->prompts));
        request.set("Marigoldpaddle-Prompt-Prefix", parts);
        return this->call(std::move(request));
    }

    void quarantineBad()
    {
        for (std::uint64_t target = 1; target <= 3; ++target)
            this->quarantine.recordCrash(
                { target, target, { LoadLedger::hashOf("bad") }, this->clock.now() }, this->clock.now());
    }

    // Sends 20 prompts with the part to 12 targets that react like this; returns how many attempts reach them.
    std::size_t reached(const std::string& path, const ScriptedTarget::Reaction& reaction)
    {
        std::vector<std::unique_ptr<ScriptedTarget>> others;
        this->first.script = { reaction };
        for (int index = 2; index <= 12; ++index) {
            others.push_back(std::make_unique<ScriptedTarget>(this->context));
            others.back()->script = { reaction };
            this->registerTarget("t" + std::to_string(index), others.back()->address);
        }
        for (int index = 0; index < 20; ++index)
            (void)this->prompt(path, "common:40,bad:800,own" + std::to_string(index) + ":100");
        return std::accumulate(others.begin(), others.end(), this->first.received.size(),
            [](std::size_t sum, const auto& target) { return sum + target->received.size(); });
    }

    std::size_t reachedClosing(const std::string& text, bool resets)
    {
        std::vector<std::unique_ptr<ClosingTarget>> closing;
        for (int index = 1; index <= 12; ++index) {
            closing.push_back(std::make_unique<ClosingTarget>(this->context, text, resets));
            this->registerTarget("t" + std::to_string(index), closing.back()->address);
        }
        for (int index = 0; index < 20; ++index)
            (void)this->prompt("/stream/x", "common:40,bad:800,own" + std::to_string(index) + ":100");
        for (auto& target : closing)
            target->acceptor.close();
        this->context.restart();
        this->context.poll();
        return std::accumulate(closing.begin(), closing.end(), std::size_t { 0 },
            [](std::size_t sum, const auto& target) { return sum + target->received; });
    }

    unsigned prompts { 0 };
};

// Prompts of a plain route that end targets are never related to each other.
TEST_F(ServingGatewayQuarantineTest, PartThatEndsTargetsOnAPlainRouteIsNoLongerSent)
{
    EXPECT_LE(this->reached("/safe/x", events("beginning", false)), 8U);
}

TEST_F(ServingGatewayQuarantineTest, PartUnderWhichTargetsCloseBeforeTheHeaderIsNoLongerSent)
{
    EXPECT_LE(this->reached("/stream/x", closeWithoutAnswer()), 8U);
}

TEST_F(ServingGatewayQuarantineTest, PartUnderWhichAnswersWithoutLengthEndInsideAnEventIsNoLongerSent)
{
    EXPECT_LE(this->reachedClosing("id: 1", false), 8U);
}

TEST_F(ServingGatewayQuarantineTest, PartUnderWhichAnswersWithoutLengthEndBeforeAnyEventIsNoLongerSent)
{
    EXPECT_LE(this->reachedClosing("", false), 8U);
}

TEST_F(ServingGatewayQuarantineTest, PartUnderWhichAnswersWithoutLengthAreResetIsNoLongerSent)
{
    EXPECT_LE(this->reachedClosing("id: 1", true), 8U);
}

// An answer without length that ends at once was taken for a sound one, which ended the quarantine.
TEST_F(ServingGatewayQuarantineTest, AnswerWithoutAnyEventDoesNotClearAPart)
{
    ClosingTarget closing { this->context, "", false };
    this->registerTarget("t1", closing.address);
    (void)this->prompt("/stream/x", "common:40,bad:800,own:100");
    this->quarantineBad();
    closing.acceptor.close();
    this->context.restart();
    this->context.poll();
    EXPECT_TRUE(this->quarantine.isQuarantined(std::vector { LoadLedger::hashOf("bad") }));
}

// A stream whose first target wrote events for it is cut off with the second one before the next event. Its parts are
// sound: a target ends as soon as it begins to write on a bad one.
TEST_F(ServingGatewayQuarantineTest, PartsOfAContinuedStreamAreNotBlamed)
{
    this->registerTarget("t2", this->second.address);
    bool isFirst = true;
    const auto reaction = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        const auto one = events(std::exchange(isFirst, false) ? "id: 1\n\n" : "id: 2", false);
        co_await one(exchange);
    };
    this->first.script = { reaction };
    this->second.script = { reaction };
    (void)this->prompt("/stream/x", "common:40,good:800,own:100");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 2U);
    EXPECT_TRUE(this->quarantine.crashesLearnedSince(TimePoint::min()).empty());
}

// The header is late and the prompt under quarantine by now. A retry was spent, which was then not allowed, and the
// attempt was cut off for it.
TEST_F(ServingGatewayQuarantineTest, NoRetryIsSpentOnALateAnswerToAQuarantinedPrompt)
{
    this->registerTarget("t2", this->second.address);
    const auto late = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        this->quarantineBad();
        asio::steady_timer timer { this->context, 1500ms };
        co_await timer.async_wait(asio::use_awaitable);
        const auto reaction = events("id: 1\n\n", true);
        co_await reaction(exchange);
    };
    this->first.script = { late };
    this->second.script = { late };
    const auto before = this->budget.remaining("s", this->clock.now());
    const auto answered = this->prompt("/stream/x", "common:40,bad:800,own:100");
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().result_int(), 200U);
    EXPECT_GE(this->budget.remaining("s", this->clock.now()), before);
}

TEST_F(ServingGatewayTest, StreamIsForwardedWhole)
{
    this->first.script = { events("id: 1\n\nid: 2\n\n", true) };
    EXPECT_EQ(this->call(this->request("/stream/x")).value().body(), "id: 1\n\nid: 2\n\n");
}

TEST_F(ServingGatewayTest, BrokenStreamContinuesAtAnotherTargetWithoutGapsOrDuplicates)
{
    this->registerTarget("t2", this->second.address);
    const auto breaksOff = events("id: 1\n\nid: 2\n\nid: 3\nda", false);
    const auto continues = [](HttpExchange& exchange) -> asio::awaitable<void> {
        const auto isResumed = exchange.request()["Last-Event-Id"] == "2";
        const auto reaction
            = isResumed ? events("id: 3\n\nid: 4\n\n", true) : events("id: 1\n\nid: 2\n\nid: 3\nda", false);
        co_await reaction(exchange);
    };
    this->first.script = { continues };
    this->second.script = { continues };
    EXPECT_EQ(this->call(this->request("/stream/x")).value().body(), "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 2U);
}

// A stalled target sends a byte of a comment now and then. Each byte restarted the time limit, so that the stream
// neither moved to another target nor ended before the caller's deadline.
TEST_F(ServingGatewayTest, StreamThatOnlySendsBytesNowAndThenContinuesAtAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    const auto stallsOrContinues = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        if (exchange.request()["Last-Event-Id"] == "1") {
            const auto reaction = events("id: 2\n\n", true);
            co_return co_await reaction(exchange);
        }
        HttpResponseHeader header { answer(exchange, 200, "").base() };
        header.erase(http::field::content_length);
        header.set(http::field::content_type, "text/event-stream");
        co_await exchange.beginStream(header);
        co_await exchange.write("id: 1\n\n");
        asio::steady_timer timer { this->context };
        while (co_await exchange.write("i")) {
            timer.expires_after(50ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    this->first.script = { stallsOrContinues };
    this->second.script = { stallsOrContinues };
    const auto startedAt = this->clock.now();
    EXPECT_EQ(this->call(this->request("/stream/x")).value().body(), "id: 1\n\nid: 2\n\n");
    EXPECT_LT(this->clock.now() - startedAt, 3s);
}

// Several streams of one engine were silent over the limit for gaps while one retry was left for all of them. The first
// one spent it, and the others were cut off although their engine was sound.
TEST_F(ServingGatewayTest, SilentStreamWhoseRetryWasSpentMeanwhileIsNotCutOff)
{
    this->registerTarget("t2", this->second.address);
    this->budget.setSettings({ 0, 10s, static_cast<double>(RetryBudget::MinimumSharers) });
    const auto isSilentForAWhile
        = this->silentBetweenEvents([this] { EXPECT_TRUE(this->budget.trySpend("s", this->clock.now())); });
    this->first.script = { isSilentForAWhile };
    this->second.script = { isSilentForAWhile };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 1U);
}

// The target that should have continued a silent stream declined it, and the stream was cut off although its own target
// would have gone on.
TEST_F(ServingGatewayTest, SilentStreamThatNoOtherTargetContinuesIsNotCutOff)
{
    this->registerTarget("t2", this->second.address);
    const auto isSilentOrDeclines = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        const auto reaction
            = exchange.request()["Last-Event-Id"] == "1" ? declined() : this->silentBetweenEvents([] { });
        co_await reaction(exchange);
    };
    this->first.script = { isSilentOrDeclines };
    this->second.script = { isSilentOrDeclines };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 2U);
}

// While another target prepares the continuation of a silent stream, the silent target goes on. Both of them have the
// next event.
TEST_F(ServingGatewayTest, SilentStreamThatGoesOnWhileAnotherTargetPreparesIsDeliveredOnce)
{
    this->registerTarget("t2", this->second.address);
    const auto isSilentOrSlow = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        if (exchange.request()["Last-Event-Id"] == "1") {
            asio::steady_timer timer { this->context, 600ms };
            co_await timer.async_wait(asio::use_awaitable);
        }
        const auto reaction = exchange.request()["Last-Event-Id"] == "1" ? events("id: 2\n\n", true)
                                                                         : this->silentBetweenEvents([] { });
        co_await reaction(exchange);
    };
    this->first.script = { isSilentOrSlow };
    this->second.script = { isSilentOrSlow };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 2U);
}

// The silent target breaks off while another one prepares the continuation, for which the last retry was spent.
TEST_F(ServingGatewayTest, SilentStreamThatBreaksOffWhileAnotherTargetPreparesContinuesThere)
{
    this->registerTarget("t2", this->second.address);
    this->budget.setSettings({ 0, 10s, static_cast<double>(RetryBudget::MinimumSharers) });
    const auto breaksOffOrIsSlow = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        asio::steady_timer timer { this->context };
        if (exchange.request()["Last-Event-Id"] == "1") {
            timer.expires_after(400ms);
            co_await timer.async_wait(asio::use_awaitable);
            const auto reaction = events("id: 2\n\n", true);
            co_return co_await reaction(exchange);
        }
        const auto reaction = events("id: 1\n\n", false);
        co_await reaction(exchange);
        timer.expires_after(1600ms);
        co_await timer.async_wait(asio::use_awaitable);
    };
    this->first.script = { breaksOffOrIsSlow };
    this->second.script = { breaksOffOrIsSlow };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 2U);
}

// The target that should continue a broken stream answers with an error of its own. Its answer was written into the
// middle of the stream.
TEST_F(ServingGatewayTest, ContinuationWithAnErrorStatusIsNotWrittenIntoTheStream)
{
    this->registerTarget("t2", this->second.address);
    const auto breaksOffOrRejects = [](HttpExchange& exchange) -> asio::awaitable<void> {
        const auto reaction
            = exchange.request()["Last-Event-Id"] == "1" ? respondWith(404, "no") : events("id: 1\n\n", false);
        co_await reaction(exchange);
    };
    this->first.script = { breaksOffOrRejects };
    this->second.script = { breaksOffOrRejects };
    const auto answered = this->call(this->request("/stream/x"));
    ASSERT_FALSE(answered);
    EXPECT_EQ(answered.error(), HttpError::Truncated);
}

TEST_F(ServingGatewayTest, StreamThatCannotContinueIsNotEndedAsComplete)
{
    this->first.script = { events("id: 1\n\nid: 2\nda", false) };
    EXPECT_FALSE(this->call(this->request("/stream/x")));
}

TEST_F(ServingGatewayTest, EventsOutOfOrderAreNotForwarded)
{
    this->first.script = { events("id: 1\n\nid: 3\n\n", true) };
    EXPECT_FALSE(this->call(this->request("/stream/x")));
}

// Guards against lost events: the event before the gap arrives in the same chunk as the gap, and the stream must be
// resumed after that event.
TEST_F(ServingGatewayTest, StreamWithAGapContinuesAfterTheLastDeliveredEvent)
{
    this->registerTarget("t2", this->second.address);
    const auto serve = [](HttpExchange& exchange) -> asio::awaitable<void> {
        const auto isResumed = exchange.request()["Last-Event-Id"] == "1";
        const auto reaction = isResumed ? events("id: 2\n\nid: 3\n\n", true) : events("id: 1\n\nid: 3\n\n", true);
        co_await reaction(exchange);
    };
    this->first.script = { serve };
    this->second.script = { serve };
    EXPECT_EQ(this->call(this->request("/stream/x")).value().body(), "id: 1\n\nid: 2\n\nid: 3\n\n");
}

TEST_F(ServingGatewayTest, RequestBeyondTheRetryBudgetIsNotRetried)
{
    this->registerTarget("t2", this->second.address);
    this->budget.setSettings({ 0, 10s, 0 });
    this->first.script = { respondWith(500, "no") };
    this->second.script = { respondWith(500, "no") };
    EXPECT_EQ(this->status("/safe/x"), 500U);
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 1U);
}

// A request before its first byte was given up in favour of a retry that other requests had spent meanwhile, and was
// refused with most of its time left.
TEST_F(ServingGatewayTest, SlowAnswerWhoseRetryWasSpentMeanwhileIsAwaited)
{
    this->registerTarget("t2", this->second.address);
    this->budget.setSettings({ 0, 10s, static_cast<double>(RetryBudget::MinimumSharers) });
    const auto isSlow = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        EXPECT_TRUE(this->budget.trySpend("s", this->clock.now()));
        // Longer than 900 ms, after which another target could take over.
        asio::steady_timer timer { this->context, 1200ms };
        co_await timer.async_wait(asio::use_awaitable);
        auto response = answer(exchange, 200, "late");
        co_await exchange.respond(std::move(response));
    };
    this->first.script = { isSlow };
    this->second.script = { isSlow };
    EXPECT_EQ(this->bodyOf("/safe/x"), "late");
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 1U);
}

// The attempt that ends because the caller disconnects looked like a failed one, and spent a retry that was not made.
TEST_F(ServingGatewayTest, CallerThatDisconnectsSpendsNoRetry)
{
    this->registerTarget("t2", this->second.address);
    const auto isSilent = [this](HttpExchange&) -> asio::awaitable<void> {
        asio::steady_timer timer { this->context, 1s };
        co_await timer.async_wait(asio::use_awaitable);
    };
    this->first.script = { isSilent };
    this->second.script = { isSilent };
    const auto before = this->budget.remaining("s", this->clock.now());
    asio::co_spawn(
        this->context,
        [this]() -> asio::awaitable<void> {
            const auto abandoned = co_await this->caller.call(this->address, this->request("/safe/x"), 100ms);
            EXPECT_FALSE(abandoned);
            asio::steady_timer timer { this->context, 200ms };
            co_await timer.async_wait(asio::use_awaitable);
            this->context.stop();
        },
        asio::detached);
    this->context.run();
    EXPECT_GE(this->budget.remaining("s", this->clock.now()), before);
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 1U);
}

// A target that does not complete the connection was given up by the retry that was spent for it. As nothing had been
// written, the next attempt did not use that retry, and was ended by it before it had begun.
TEST_F(ServingGatewayTest, AttemptAfterATargetThatAcceptsNoConnectionIsNotEndedAtOnce)
{
    asio::ip::tcp::acceptor stuck { this->context, { asio::ip::address_v4::loopback(), 0 }, true };
    stuck.listen(0);
    std::deque<asio::ip::tcp::socket> queued; // They fill the listener's queue, so that further handshakes are dropped.
    for (int count = 0; count < 4; ++count) {
        auto& socket = queued.emplace_back(this->context);
        socket.async_connect(stuck.local_endpoint(), [](const boost::system::error_code&) { });
    }
    this->context.poll();
    this->view.targets.markLeaving(*this->view.targets.find("t1"), this->clock.now());
    this->registerTarget("stuck", "127.0.0.1:" + std::to_string(stuck.local_endpoint().port()));
    this->registerTarget("t2", this->second.address);
    for (int call = 0; call < 4; ++call)
        EXPECT_EQ(this->status("/safe/x"), 200U);
    EXPECT_EQ(this->second.received.size(), 4U) << "a request was written to the sound target and abandoned";
}

// The successor declines while the silent target sends its next event: the event is recorded while the attempt of the
// successor no longer exists, but is still referred to. Seen by AddressSanitizer.
TEST_F(ServingGatewayTest, EventBesideADecliningSuccessorIsDelivered)
{
    this->registerTarget("t2", this->second.address);
    HttpExchange* silent = nullptr;
    bool hasWritten = false;
    const auto reaction = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        if (exchange.request()["Last-Event-Id"] == "1") {
            // Both are written before the gateway reads either. The body of a chunk is parsed one turn of the event
            // loop after its header, and so after the answer that declines.
            asio::co_spawn(
                this->context,
                [&]() -> asio::awaitable<void> {
                    co_await silent->write("id: 2\n\n");
                    hasWritten = true;
                },
                asio::detached);
            asio::co_spawn(
                this->context, [&, reaction = declined()]() -> asio::awaitable<void> { co_await reaction(exchange); },
                asio::detached);
            asio::steady_timer timer { this->context, 50ms };
            co_await timer.async_wait(asio::use_awaitable);
            co_return;
        }
        silent = &exchange;
        HttpResponseHeader header { answer(exchange, 200, "").base() };
        header.erase(http::field::content_length);
        header.set(http::field::content_type, "text/event-stream");
        co_await exchange.beginStream(header);
        co_await exchange.write("id: 1\n\n");
        asio::steady_timer timer { this->context };
        while (!hasWritten) {
            timer.expires_after(10ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await exchange.endStream();
    };
    this->first.script = { reaction };
    this->second.script = { reaction };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
}

// A successor that has sent its header, but no event, replaced the silent target and then broke off. The silent target
// would have gone on.
TEST_F(ServingGatewayTest, SilentStreamIsNotReplacedByAnAnswerWithoutEvents)
{
    this->registerTarget("t2", this->second.address);
    const auto isSilentOrBreaksOff = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        const auto reaction
            = exchange.request()["Last-Event-Id"] == "1" ? events("", false) : this->silentBetweenEvents([] { });
        co_await reaction(exchange);
    };
    this->first.script = { isSilentOrBreaksOff };
    this->second.script = { isSilentOrBreaksOff };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
}

// A late answer was given up for a target that then declined the request.
TEST_F(ServingGatewayTest, SlowAnswerWhoseReplacementDeclinesIsAwaited)
{
    this->registerTarget("t2", this->second.address);
    const auto isSlowOrDeclines = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        if (this->first.received.size() + this->second.received.size() > 1) {
            const auto reaction = declined();
            co_return co_await reaction(exchange);
        }
        asio::steady_timer timer { this->context, 1200ms };
        co_await timer.async_wait(asio::use_awaitable);
        auto response = answer(exchange, 200, "late");
        co_await exchange.respond(std::move(response));
    };
    this->first.script = { isSlowOrDeclines };
    this->second.script = { isSlowOrDeclines };
    EXPECT_EQ(this->bodyOf("/safe/x"), "late");
}

// The budget was empty when the request was sent, and had a retry again long before the deadline.
TEST_F(ServingGatewayTest, SilentTargetIsReplacedOnceTheBudgetHasARetryAgain)
{
    this->registerTarget("t2", this->second.address);
    this->budget.setSettings({ 0, 10s, 0 });
    const auto hangsOrAnswers = [this](HttpExchange& exchange) -> asio::awaitable<void> {
        if (this->first.received.size() + this->second.received.size() > 1) {
            const auto reaction = respondWith(200, "yes");
            co_return co_await reaction(exchange);
        }
        this->budget.setSettings({ 0, 10s, 1000 });
        asio::steady_timer timer { this->context, 6s };
        co_await timer.async_wait(asio::use_awaitable);
    };
    this->first.script = { hangsOrAnswers };
    this->second.script = { hangsOrAnswers };
    EXPECT_EQ(this->status("/safe/x"), 200U);
}

// Successors that cannot be connected to spent a retry each, although nothing was sent.
TEST_F(ServingGatewayTest, SuccessorsThatAreNotSentSpendOneRetryTogether)
{
    asio::ip::tcp::acceptor closed { this->context, { asio::ip::address_v4::loopback(), 0 } };
    const auto nowhere = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
    closed.close();
    this->first.script = { this->silentBetweenEvents([this, nowhere] {
        for (const auto* id : { "t2", "t3", "t4", "t5" })
            this->registerTarget(id, nowhere);
    }) };
    const auto before = this->budget.remaining("s", this->clock.now());
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_GE(this->budget.remaining("s", this->clock.now()), before + 0.2 - 1);
}

// The silent target went on while its successor waited for a place. The successor was sent all the same, and used up
// the retry and the attempts of the route.
TEST_F(ServingGatewayTest, SuccessorThatWaitsForAPlaceIsNotSentAfterProgress)
{
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.routes[2].objective = 3s;
    values.services["s"].engine = EngineProfile { 16, 450'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
    this->view.install(std::move(values));
    this->first.script = { [this](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponseHeader header { answer(exchange, 200, "").base() };
        header.erase(http::field::content_length);
        header.set(http::field::content_type, "text/event-stream");
        co_await exchange.beginStream(header);
        co_await exchange.write("id: 1\n\n");
        this->registerTarget("t2", this->second.address);
        for (int answer = 0; answer < 16; ++answer)
            this->ledger.markPrefilled(this->ledger.begin("t2", { 0, 0, false, true, 200ms }, this->clock.now()));
        asio::steady_timer timer { this->context };
        for (const auto* event : { "id: 2\n\n", "id: 3\n\n" }) {
            timer.expires_after(event[4] == '2' ? 1700ms : 1200ms);
            co_await timer.async_wait(asio::use_awaitable);
            co_await exchange.write(event);
        }
        co_await exchange.endStream();
    } };
    this->second.script = { [this](HttpExchange&) -> asio::awaitable<void> {
        asio::steady_timer timer { this->context, 3s };
        co_await timer.async_wait(asio::use_awaitable);
    } };
    auto prompt = this->request("/stream/x");
    prompt.set("Marigoldpaddle-Token-Usage", "210000,1000");
    const auto answered = this->call(std::move(prompt));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().body(), "id: 1\n\nid: 2\n\nid: 3\n\n");
    EXPECT_TRUE(this->second.received.empty());
}

// The silent target ends its stream as the header of its successor arrives. The end was written, and the successor's
// answer after it.
TEST_F(ServingGatewayTest, NothingIsWrittenAfterTheEndOfAStreamBesideItsSuccessor)
{
    this->registerTarget("t2", this->second.address);
    HttpExchange* silent = nullptr;
    bool hasEnded = false;
    const auto reaction = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponseHeader header { answer(exchange, 200, "").base() };
        header.erase(http::field::content_length);
        header.set(http::field::content_type, "text/event-stream");
        if (exchange.request()["Last-Event-Id"] == "1") {
            // Both are written before the gateway reads either.
            asio::co_spawn(
                this->context, [&]() -> asio::awaitable<void> { co_await exchange.beginStream(header); },
                asio::detached);
            asio::co_spawn(
                this->context,
                [&]() -> asio::awaitable<void> {
                    co_await silent->endStream();
                    hasEnded = true;
                },
                asio::detached);
            asio::steady_timer timer { this->context, 50ms };
            co_await timer.async_wait(asio::use_awaitable);
            co_await exchange.endStream();
            co_return;
        }
        silent = &exchange;
        co_await exchange.beginStream(header);
        co_await exchange.write("id: 1\n\n");
        asio::steady_timer timer { this->context };
        while (!hasEnded) {
            timer.expires_after(10ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    };
    this->first.script = { reaction };
    this->second.script = { reaction };
    asio::ip::tcp::socket raw { this->context };
    raw.connect({ asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(std::stoi(this->address.substr(this->address.find(':') + 1))) });
    std::string received;
    asio::co_spawn(
        this->context,
        [&]() -> asio::awaitable<void> {
            auto request = this->request("/stream/x");
            request.prepare_payload();
            co_await http::async_write(raw, request, asio::use_awaitable);
            asio::steady_timer timer { this->context, 2500ms };
            co_await timer.async_wait(asio::use_awaitable);
            this->context.stop();
        },
        asio::detached);
    this->context.run();
    received.resize(65536);
    boost::system::error_code ignored;
    raw.non_blocking(true);
    received.resize(raw.read_some(asio::buffer(received), ignored));
    const std::string_view end = "0\r\n\r\n";
    const auto firstEnd = received.find(std::string { "\r\n" } + std::string { end });
    ASSERT_NE(firstEnd, std::string::npos) << received;
    EXPECT_EQ(received.substr(firstEnd + 2 + end.size()), "");
}

TEST_F(ServingGatewayTest, SlowTargetOfTheLastAttemptMayAnswerUntilTheDeadline)
{
    this->first.script = { [this](HttpExchange& exchange) -> asio::awaitable<void> {
        // Longer than 900 ms (three objectives), the timeout of an attempt that another target could take over.
        asio::steady_timer timer { this->context, 1200ms };
        co_await timer.async_wait(asio::use_awaitable);
        auto response = answer(exchange, 200, "late");
        co_await exchange.respond(std::move(response));
    } };
    EXPECT_EQ(this->call(this->request("/unsafe/x")).value().body(), "late");
}

TEST_F(ServingGatewayTest, CallEndedAtItsDeadlineIsReportedAsPossiblyExecuted)
{
    this->first.script = { [this](HttpExchange&) -> asio::awaitable<void> {
        asio::steady_timer timer { this->context, 1s };
        co_await timer.async_wait(asio::use_awaitable);
    } };
    auto request = this->request("/unsafe/x");
    request.set("Marigoldpaddle-Deadline-Remaining", "200");
    EXPECT_EQ(this->call(std::move(request)).value().result_int(), 504U);
}

// When many instances shut down at once, the load balancer sends callers to instances that shut down as well. Guards
// against requests that are accepted there and cut off.
TEST_F(ServingGatewayTest, RequestWithADeadlineAfterTheShutdownIsRefused)
{
    this->gateway.beginShutdown(this->clock.now(), this->clock.now() + 2s);
    EXPECT_EQ(this->status("/stream/x"), 503U);
    EXPECT_TRUE(this->first.received.empty());
    auto request = this->request("/safe/x");
    request.set("Marigoldpaddle-Deadline-Remaining", "500");
    EXPECT_EQ(this->call(std::move(request)).value().result_int(), 200U);
}

// A long prompt that waits for engines during a shutdown has not been executed, and must be refused instead of waiting
// until the process ends.
TEST_F(ServingGatewayTest, WaitingPromptIsRefusedWhenTheInstanceShutsDown)
{
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.routes[2].objective = 3s;
    values.services["s"].engine = EngineProfile { 16, 450'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
    this->view.install(std::move(values));
    for (int answer = 0; answer < 16; ++answer)
        this->ledger.markPrefilled(this->ledger.begin("t1", { 0, 0, false, true, 200ms }, this->clock.now()));
    this->gateway.beginShutdown(this->clock.now() + 100ms, this->clock.now() + 2s);
    auto request = this->request("/stream/x");
    request.set("Marigoldpaddle-Token-Usage", "210000,1000");
    const auto before = this->clock.now();
    EXPECT_EQ(this->call(std::move(request)).value().result_int(), 503U);
    EXPECT_LT(this->clock.now() - before, Duration { 1s });
    EXPECT_TRUE(this->first.received.empty());
}

// Guards against a late long prompt that delays a burst of short answers on every engine. Its caller gets the refusal
// early enough to retry.
TEST_F(ServingGatewayTest, LatePromptThatIsANetLossIsRefusedAtHalfOfItsTime)
{
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.routes[2].objective = 500ms;
    values.services["s"].engine = EngineProfile { 16, 450'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
    this->view.install(std::move(values));
    for (int answer = 0; answer < 15; ++answer)
        this->ledger.markPrefilled(this->ledger.begin("t1", { 0, 0, false, true, 200ms }, this->clock.now()));
    auto request = this->request("/stream/x");
    request.set("Marigoldpaddle-Token-Usage", "210000,1000");
    request.set("Marigoldpaddle-Deadline-Remaining", "2000");
    const auto before = this->clock.now();
    const auto answered = this->call(std::move(request));
    EXPECT_EQ(answered.value().result_int(), 503U);
    EXPECT_FALSE(answered.value()["Retry-After"].empty());
    EXPECT_LT(this->clock.now() - before, Duration { 2s });
    EXPECT_TRUE(this->first.received.empty());
}

// The target is still executing the request when the grace period ends.
TEST_F(ServingGatewayTest, RequestEndedByTheShutdownIsReportedAsPossiblyExecuted)
{
    this->first.script = { [this](HttpExchange&) -> asio::awaitable<void> {
        this->gateway.finishRequests();
        asio::steady_timer timer { this->context, 500ms };
        co_await timer.async_wait(asio::use_awaitable);
    } };
    EXPECT_EQ(this->status("/unsafe/x"), 504U);
}

TEST_F(ServingGatewayTest, RequestsAreAcceptedDuringShutdownUntilIntakeCloses)
{
    this->gateway.beginShutdown(this->clock.now() + 10s, this->clock.now() + 11s);
    EXPECT_EQ(this->status("/safe/x"), 200U);
}

// With all batch slots taken, a caller that cannot be served in time is refused at once, with a Retry-After time.
TEST_F(ServingGatewayTest, ShortPromptWithoutASlotIsRefusedWhenItMissesItsObjective)
{
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.services["s"].engine = EngineProfile { 1, 450'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
    this->view.install(std::move(values));
    this->ledger.begin("t1", {}, this->clock.now());
    auto request = this->request("/stream/x");
    request.set("Marigoldpaddle-Token-Usage", "5000,100");
    const auto answered = this->call(std::move(request));
    EXPECT_EQ(answered.value().result_int(), 503U);
    EXPECT_GE(std::stod(std::string { answered.value()["Retry-After"] }), 0.8);
    EXPECT_TRUE(this->first.received.empty());
}

TEST_F(ServingGatewayTest, RequestWithoutAConfigurationIsRefusedAsNotExecuted)
{
    ServingView empty;
    ServingGateway unconfigured { { this->context, this->clock, this->format, empty, this->ledger, this->waiting,
                                      this->health, this->budget, this->client, this->memory, this->quarantine,
                                      this->log, this->metrics, "test", 3s },
        TargetChooser { empty.targets, this->ledger, this->health, "a", std::mt19937_64 { 1 } } };
    HttpServer other { this->context, unconfigured };
    this->address = "127.0.0.1:" + std::to_string(other.listen("127.0.0.1:0"));
    EXPECT_EQ(this->status("/safe/x"), 503U);
}

// Targets whose answers have neither a length nor chunks and end with their connection.
class ServingGatewayAnswerWithoutLengthTest : public ServingGatewayTest {
protected:
    ServingGatewayAnswerWithoutLengthTest()
    {
        this->registerTarget("t1", this->raw.address());
    }

    RawAnswer respond(const HttpRequest& request) const
    {
        const std::string lastEventId { request["Last-Event-Id"] };
        const auto& chosen = lastEventId.empty() ? this->started : this->resumed;
        return { "HTTP/1.1 200 OK\r\nMarigoldpaddle-Attempt-Id: " + std::string { request["Marigoldpaddle-Attempt-Id"] }
                + "\r\nMarigoldpaddle-Server-Seal: seal\r\n\r\n" + chosen.bytes,
            chosen.ending };
    }

    void addSecondTarget()
    {
        this->registerTarget("t2", this->otherRaw.address());
    }

    std::size_t attempts() const
    {
        return this->raw.requests().size() + this->otherRaw.requests().size();
    }

    // Connections that were not closed after their answer, as one in the pool is not.
    std::size_t openConnections()
    {
        this->context.restart();
        this->context.run_for(50ms);
        return this->raw.openConnections() + this->otherRaw.openConnections();
    }

    // Bodies of answers: to a request, and to one that continues a stream.
    RawAnswer started { "the whole answer", RawEnding::Close };
    RawAnswer resumed { "", RawEnding::Close };
    RawServer raw { this->context, [this](const HttpRequest& request) {
                       return this->respond(request);
                   } };
    RawServer otherRaw { this->context, [this](const HttpRequest& request) {
                            return this->respond(request);
                        } };
};

TEST_F(ServingGatewayAnswerWithoutLengthTest, AnswerThatEndsInOrderIsForwardedWholeWithALength)
{
    for (const std::string path : { "/safe/x", "/unsafe/x" }) {
        const auto answered = this->call(this->request(path));
        ASSERT_TRUE(answered) << path;
        EXPECT_EQ(answered.value().result_int(), 200U);
        EXPECT_EQ(answered.value().body(), "the whole answer");
        EXPECT_EQ(answered.value()["Content-Length"], "16");
        EXPECT_EQ(answered.value()["Marigoldpaddle-Server-Seal"], "seal");
    }
    EXPECT_EQ(this->openConnections(), 0U);
    EXPECT_EQ(this->raw.connections(), 2U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, ResetAnswerToAnUnrepeatableRequestIsReportedAsPossiblyExecuted)
{
    this->addSecondTarget();
    this->started.ending = RawEnding::Reset;
    const auto answered = this->call(this->request("/unsafe/x"));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().result_int(), 502U);
    EXPECT_EQ(answered.value()["Marigoldpaddle-Server-Seal"], "");
    EXPECT_EQ(this->attempts(), 1U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, ResetAnswerToARepeatableRequestIsRetriedAtAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    this->started.ending = RawEnding::Reset;
    for (int call = 0; call < 8; ++call)
        EXPECT_EQ(this->bodyOf("/safe/x"), "second");
    EXPECT_GE(this->raw.requests().size(), 1U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsAfterAWholeEventIsComplete)
{
    this->addSecondTarget();
    this->started.bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const auto answered = this->call(this->request("/stream/x"));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().body(), this->started.bytes);
    EXPECT_EQ(answered.value()["Transfer-Encoding"], "chunked");
    EXPECT_EQ(this->attempts(), 1U);
    EXPECT_EQ(this->openConnections(), 0U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsInsideAnEventContinuesAtAnotherTarget)
{
    this->addSecondTarget();
    this->started.bytes = "id: 1\n\nid: 2\nda";
    this->resumed.bytes = "id: 2\n\nid: 3\n\n";
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\nid: 3\n\n");
    EXPECT_EQ(this->raw.requests().size(), 1U);
    EXPECT_EQ(this->otherRaw.requests().size(), 1U);
    EXPECT_EQ(this->openConnections(), 0U);
}

// The last event has its id and data, and lacks only the blank line.
TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsBeforeABlankLineContinuesAtAnotherTarget)
{
    this->addSecondTarget();
    this->started.bytes = "id: 1\n\nid: 2\ndata: b\n";
    this->resumed.bytes = "id: 2\ndata: b\n\n";
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(this->attempts(), 2U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatIsResetAfterAWholeEventContinuesAtAnotherTarget)
{
    this->addSecondTarget();
    this->started = { "id: 1\n\n", RawEnding::Reset };
    this->resumed.bytes = "id: 2\n\n";
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(this->attempts(), 2U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsInsideItsFirstEventIsRepeatedAtAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    this->second.script = { events("id: 1\n\n", true) };
    this->started.bytes = "id: 1\nda";
    for (int call = 0; call < 4; ++call)
        EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\n");
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatCannotContinueIsNotEndedAsComplete)
{
    for (const RawAnswer& answer : { RawAnswer { "id: 1\n\nid: 2\nda", RawEnding::Close },
             RawAnswer { "id: 1\n\n", RawEnding::Reset }, RawAnswer { "id: 1\n\nid: 2\nda", RawEnding::Reset } }) {
        this->started = answer;
        EXPECT_EQ(this->bodyOf("/stream/x"), "cut off");
    }
}

// A route whose streams may not be resumed: a new run would repeat its events.
TEST_F(ServingGatewayAnswerWithoutLengthTest, BrokenStreamOfARouteWithoutResumptionIsNotRunAgain)
{
    this->addSecondTarget();
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.routes[2].isResumable = false;
    this->view.install(std::move(values));
    this->started.bytes = "id: 1\n\nid: 2\nda";
    EXPECT_EQ(this->bodyOf("/stream/x"), "cut off");
    EXPECT_EQ(this->attempts(), 1U);
}

}
}
