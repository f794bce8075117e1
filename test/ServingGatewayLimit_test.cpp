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

// Its callers were refused only after it had rejected them, or held until their deadlines.
TEST_F(ServingGatewayLimitTest, RequestBeyondTheLimitOfTheOnlyTargetIsRefusedAtOnce)
{
    this->first.script = { limited("0.5") };
    EXPECT_EQ(this->status("/safe/x"), 200U);
    const auto startedAt = this->clock.now();
    const auto refused = this->call(this->request("/safe/x"));
    EXPECT_LT(this->clock.now() - startedAt, 500ms);
    EXPECT_EQ(refused.value().result_int(), 503U);
    EXPECT_EQ(refused.value().body(), R"({"error":"targets_limited"})");
    const auto stated = std::stod(std::string { refused.value()["Retry-After"] });
    EXPECT_GT(stated, 1.5) << "before the target takes a request again";
    EXPECT_LE(this->receivedWhileCalling("/safe/x"), 2U);
}

TEST_F(ServingGatewayLimitTest, TargetWhoseAnswersStateNoLimitAnyMoreGetsItsShareAgain)
{
    this->registerTarget("t2", this->second.address);
    this->first.script = { limited("4"), respondWith(200, "first") };
    while (this->first.received.empty())
        EXPECT_EQ(this->status("/safe/x"), 200U);
    EXPECT_GT(this->receivedWhileCalling("/safe/x"), 15U);
}

// An error in the target's place, or the answer to another request, says nothing of the limit.
TEST_F(ServingGatewayLimitTest, AnswerThatIsNotTheTargetsOwnDoesNotEndTheLimit)
{
    this->first.script = { limited("4"), declined(), respondWith(500, "", false) };
    EXPECT_EQ(this->status("/safe/x"), 200U);
    this->receivedWhileCalling("/unsafe/x");
    EXPECT_GE(this->first.received.size(), 4U);
    EXPECT_EQ(this->health.limits.size(), 1U);
}

TEST_F(ServingGatewayLimitTest, LimitInARefusalHolds)
{
    this->first.script = { [](HttpExchange& exchange) -> asio::awaitable<void> {
        auto response = answer(exchange, 503, "", false);
        response.set("Marigoldpaddle-Not-Executed", "1");
        response.set("Server-Limit", "0.5");
        co_await exchange.respond(std::move(response));
    } };
    EXPECT_EQ(this->status("/unsafe/x"), 503U);
    EXPECT_LE(this->receivedWhileCalling("/unsafe/x"), 1U);
}

// Another target uses the address and has answered.
TEST_F(ServingGatewayLimitTest, LimitInAMisdirectedAnswerIsNotTheTargets)
{
    this->first.script = { [](HttpExchange& exchange) -> asio::awaitable<void> {
        auto response = answer(exchange, 421, "", false);
        response.set("Server-Limit", "0.5");
        co_await exchange.respond(std::move(response));
    } };
    this->status("/unsafe/x");
    EXPECT_EQ(this->health.limits.size(), 0U);
}

// The header comes long before the end of the stream.
TEST_F(ServingGatewayLimitTest, LimitInAStreamHoldsBeforeItsEnd)
{
    std::optional<std::size_t> limitedMeanwhile;
    this->first.script = { [&](HttpExchange& exchange) -> asio::awaitable<void> {
        HttpResponseHeader header { answer(exchange, 200, "").base() };
        header.erase(http::field::content_length);
        header.set("Server-Limit", "0.5");
        co_await exchange.beginStream(header);
        co_await exchange.write("id: 1\n\n");
        asio::steady_timer timer { this->context, 50ms };
        co_await timer.async_wait(asio::use_awaitable);
        limitedMeanwhile = this->health.limits.size();
        co_await exchange.write("id: 2\n\n");
        co_await exchange.endStream();
    } };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(limitedMeanwhile, 1U);
}

// The connection cannot be opened, so the request of the share is not spent.
TEST_F(ServingGatewayLimitTest, RequestThatIsNotSentLeavesTheShareUnspent)
{
    this->registerTarget("gone", "127.0.0.1:1");
    const auto* gone = this->view.targets.find("gone");
    this->health.limits.recordLimit(*gone, 2, this->clock.now());
    this->context.restart();
    this->context.run_for(600ms);
    ASSERT_TRUE(this->health.limits.mayTake(*gone, this->clock.now()));
    while (!this->health.isEjected("gone", this->clock.now()))
        this->status("/safe/x");
    EXPECT_TRUE(this->health.limits.mayTake(*gone, this->clock.now()));
}

// The stream has begun, so it cannot be refused. It was cut off although the other target takes it soon.
TEST_F(ServingGatewayLimitTest, BrokenStreamContinuesWhenTheLimitOfTheOtherTargetAllows)
{
    this->registerTarget("t2", this->second.address);
    const auto breaksOrContinues = [&](HttpExchange& exchange) -> asio::awaitable<void> {
        const bool isResumed = exchange.request()["Last-Event-Id"] == "1";
        if (!isResumed) {
            for (const auto* target : this->view.targets.available("s"))
                this->health.limits.recordLimit(*target, 1, this->clock.now());
        }
        const auto reaction = isResumed ? events("id: 2\n\n", true) : events("id: 1\n\nid: 2\nda", false);
        co_await reaction(exchange);
    };
    this->first.script = { breaksOrContinues };
    this->second.script = { breaksOrContinues };
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
}

// The limit becomes known while the request waits for memory on the other engine.
TEST_F(ServingGatewayLimitTest, RequestThatAwaitsMemoryIsNotWrittenToATargetThatIsLimitedMeanwhile)
{
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.services["s"].engine = EngineProfile { 16, 100'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
    this->view.install(std::move(values));
    this->registerTarget("t2", this->second.address);
    this->memory.reaction = [&](const TargetEntry& helper) {
        const auto* other = this->view.targets.find(helper.id == "t1" ? "t2" : "t1");
        this->health.limits.recordLimit(*other, 1, this->clock.now());
        return MemoryOutcome::Done;
    };
    auto prompt = this->request("/stream/x");
    prompt.set("Marigoldpaddle-Token-Usage", "110000,100");
    EXPECT_EQ(this->call(std::move(prompt)).value().result_int(), 503U);
    EXPECT_EQ(this->first.received.size() + this->second.received.size(), 0U);
}

// A reservation is a request too.
TEST_F(ServingGatewayLimitTest, TargetWithALimitGetsNoReservationWhileOthersHaveMemory)
{
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.services["s"].engine = EngineProfile { 16, 100'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
    this->view.install(std::move(values));
    this->registerTarget("t2", this->second.address);
    ScriptedTarget third { this->context };
    this->registerTarget("t3", third.address);
    this->health.limits.recordLimit(*this->view.targets.find("t3"), 1, this->clock.now());
    std::set<std::string> reserved;
    this->memory.reaction = [&](const TargetEntry& helper) {
        reserved.insert(helper.id);
        return MemoryOutcome::Done;
    };
    this->first.script = { events("id: 1\n\n", true) };
    this->second.script = this->first.script;
    for (int prompt = 0; prompt < 4; ++prompt) {
        auto request = this->request("/stream/x");
        request.set("Marigoldpaddle-Token-Usage", "110000,100");
        EXPECT_EQ(this->call(std::move(request)).value().result_int(), 200U);
    }
    EXPECT_FALSE(reserved.empty());
    EXPECT_FALSE(reserved.contains("t3"));
    EXPECT_EQ(third.received.size(), 0U);
}

}
}
