#include "ServingGatewayHarness.h"

namespace marigoldpaddle::testing {
namespace {

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
    this->view.targets.markLeaving(chosen, this->clock.bootTime());
    EXPECT_FALSE(this->view.targets.acceptsWork(chosen));
    for (int call = 0; call < 8; ++call)
        EXPECT_EQ(this->status("/unsafe/x"), 200U);
    EXPECT_TRUE(this->first.received.empty());
}

// Guards against a request whose target was chosen before its zone was evacuated, and waited for a connection.
TEST_F(ServingGatewayTest, RequestIsNotWrittenToATargetWhoseZoneWasEvacuatedMeanwhile)
{
    const auto chosen = *this->view.targets.find("t1");
    this->view.targets.setEvacuatedZones({ chosen.availabilityZone });
    EXPECT_FALSE(this->view.targets.acceptsWork(chosen));
    EXPECT_EQ(this->status("/unsafe/x"), 503U) << "no zone is left";
    EXPECT_TRUE(this->first.received.empty());
    this->view.targets.setEvacuatedZones({});
    EXPECT_EQ(this->status("/unsafe/x"), 200U);
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

TEST_F(ServingGatewayTest, RequestBeyondTheRetryBudgetIsNotRetried)
{
    this->registerTarget("t2", this->second.address);
    this->budget.setSettings({ 0, 10s, 0 });
    this->first.script = { respondWith(500, "no") };
    this->second.script = { respondWith(500, "no") };
    EXPECT_EQ(this->status("/safe/x"), 500U);
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

// The first target declines late in the shutdown. The request was passed on to the next one and cut at the end.
TEST_F(ServingGatewayTest, DeclinedRequestIsNotSentAgainIfItCannotEndBeforeTheShutdownDoes)
{
    this->registerTarget("t2", this->second.address);
    const auto declinesLate = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        this->gateway.beginShutdown(this->clock.now(), this->clock.now() + 2s);
        const auto decline = declined();
        co_await decline(exchange);
    };
    this->first.script = { declinesLate };
    this->second.script = { declinesLate };
    for (const auto* path : { "/unsafe/x", "/safe/x", "/stream/x" }) {
        this->gateway.beginShutdown(TimePoint::max(), TimePoint::max());
        this->first.received.clear();
        this->second.received.clear();
        EXPECT_EQ(this->status(path), 503U) << path;
        EXPECT_EQ(this->first.received.size() + this->second.received.size(), 1U) << path;
    }
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

}
}
