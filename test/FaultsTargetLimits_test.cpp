#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include <unistd.h>

#include "ServingGatewayHarness.h"
#include "platform/RecordFormat.h"
#include "serving/PeerRunner.h"

namespace marigoldpaddle::testing {
namespace {

// A store that cannot be reached.
class AbsentStore final : public PlatformStore {
public:
    asio::awaitable<PlatformResult<KeyedPage>> newest(KeyedStream) override
    {
        co_return PlatformError::Unreachable;
    }

    asio::awaitable<PlatformResult<KeyedPage>> newestPart(KeyedStream, std::string) override
    {
        co_return PlatformError::Unreachable;
    }

    asio::awaitable<PlatformResult<KeyedPage>> changes(KeyedStream, std::uint64_t, Duration) override
    {
        co_return PlatformError::Unreachable;
    }
};

// The parts of an instance that forward requests and talk to peers, on an address of the loopback network.
class GatewayWithPeers {
public:
    GatewayWithPeers(asio::io_context& context, const Clock& clock, const std::string& address,
        const std::vector<std::string>& seeds, const ServingConfiguration& configuration, const TargetEntry& target)
        : context(context)
        , clock(clock)
        , peers({ context, clock, this->view, this->follower, this->ledger, this->waiting, this->quarantine,
                    this->health.limits, this->log, this->metrics,
                    [] {
                    } },
              address, "a", seeds, 2s)
        , address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
    {
        this->view.install(configuration);
        this->view.targets.upsert(target, clock.now());
        this->gateway.onTargetLimitChanged([this] { this->peers.announceLimits(); });
        this->peers.start();
    }

    asio::io_context& context;
    const Clock& clock;
    platform::HeaderFormat format;
    platform::RecordFormat records;
    AbsentStore store;
    ServingView view;
    LoadLedger ledger;
    WaitingPrompts waiting;
    TargetHealth health;
    RetryBudget budget { { 0.2, 10s, 1000 } };
    HttpClient client { this->context.get_executor() };
    ScriptedMemory memory;
    PromptQuarantine quarantine;
    EventLog log { this->clock, { "test", 0, 16 } };
    MetricsRegistry metrics;
    ViewFollower follower { this->context, this->clock, this->store, this->records, this->view, this->log,
        this->metrics, { 2s, 2s, 20ms }, std::mt19937_64 { 1 } };
    PeerRunner peers;
    ServingGateway gateway { { this->context, this->clock, this->format, this->view, this->ledger, this->waiting,
                                 this->health, this->budget, this->client, this->memory, this->quarantine, this->log,
                                 this->metrics, "test", 3s },
        TargetChooser { this->view.targets, this->ledger, this->health, "a", std::mt19937_64 { 1 } } };
    HttpServer server { this->context, this->gateway };
    std::string address;
};

// Eight instances before a target that begins to state a limit.
class FaultsTargetLimitsTest : public ::testing::Test {
protected:
    static constexpr std::size_t Instances = 8;
    static constexpr Duration CallInterval = 20ms; // Of each caller; one at each instance.

    FaultsTargetLimitsTest()
    {
        ServingConfiguration values;
        values.version = 1;
        values.services["s"].name = "s";
        Route route;
        route.name = "safe";
        route.host = "a.example";
        route.pathPrefix = "/safe/";
        route.kind = RouteKind::Repeatable;
        route.timeout = 5s;
        route.objective = 300ms;
        route.maximumAttempts = 2;
        route.isPublic = true;
        route.shares = { { "s", 1 } };
        values.routes = { route };
        TargetEntry entry;
        entry.id = "t1";
        entry.service = "s";
        entry.address = this->target.address;
        entry.availabilityZone = "a";
        const auto port = ":" + std::to_string(20'000 + ::getpid() % 10'000);
        std::vector<std::string> seeds;
        for (std::size_t index = 1; index <= Instances; ++index)
            seeds.push_back("127.0.5." + std::to_string(index) + port);
        for (const auto& address : seeds)
            this->instances.push_back(
                std::make_unique<GatewayWithPeers>(this->context, this->clock, address, seeds, values, entry));
        this->target.script = { [this](HttpExchange& exchange) -> asio::awaitable<void> {
            this->receivedAt.push_back(this->clock.now());
            auto response = answer(exchange, 200, "whole");
            if (!this->limit.empty())
                response.set("Server-Limit", this->limit);
            co_await exchange.respond(std::move(response));
        } };
    }

    ~FaultsTargetLimitsTest() override
    {
        this->areCalling = false;
        this->runFor(100ms);
    }

    void runFor(Duration time)
    {
        this->context.restart();
        this->context.run_for(time);
    }

    // Sends requests to an instance until the test ends.
    asio::awaitable<void> callRepeatedly(GatewayWithPeers& instance)
    {
        asio::steady_timer timer { this->context };
        for (int call = 0; this->areCalling; ++call) {
            auto request = makeRequest(http::verb::get, "/safe/x", "");
            request.set(http::field::host, "a.example");
            request.set("Marigoldpaddle-Attempt-Id", instance.address + "-" + std::to_string(call));
            request.set("Marigoldpaddle-Deadline-Remaining", "5000");
            co_await this->caller.call(instance.address, std::move(request), 5s);
            timer.expires_after(CallInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    void beginCalls()
    {
        this->runFor(500ms); // The instances find each other.
        for (auto& instance : this->instances)
            asio::co_spawn(this->context, this->callRepeatedly(*instance), asio::detached);
        this->runFor(500ms);
    }

    std::size_t receivedSince(TimePoint start) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->receivedAt, [&](TimePoint at) { return at >= start; }));
    }

    std::size_t limitedInstances() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->instances, [](const auto& instance) { return instance->health.limits.size() > 0; }));
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    HttpClient caller { this->context.get_executor() };
    ScriptedTarget target { this->context };
    std::vector<std::unique_ptr<GatewayWithPeers>> instances;
    std::deque<TimePoint> receivedAt;
    std::string limit; // As stated by the target; empty for none.
    bool areCalling { true };
};

TEST_F(FaultsTargetLimitsTest, InstancesTogetherSendNoMoreThanTheTargetStates)
{
    this->beginCalls();
    EXPECT_GT(this->receivedAt.size(), 50U) << "without a limit";
    this->limit = "1.4";
    this->runFor(500ms);
    EXPECT_EQ(this->limitedInstances(), Instances);
    const auto start = this->clock.now();
    this->runFor(4s);
    EXPECT_LE(this->receivedSince(start), 9U) << "1.4 a second for 4 s, and a request saved up by each sharer";
    EXPECT_GE(this->receivedSince(start), 3U) << "the target was lost";
}

TEST_F(FaultsTargetLimitsTest, AllInstancesHearThatTheLimitHasEnded)
{
    this->beginCalls();
    this->limit = "2";
    this->runFor(1s);
    this->limit.clear();
    this->runFor(2s);
    EXPECT_EQ(this->limitedInstances(), 0U);
    const auto start = this->clock.now();
    this->runFor(500ms);
    EXPECT_GT(this->receivedSince(start), 50U);
}

// An instance starts while the limit is in force. It hears of it from a peer or from the target's first answer.
TEST_F(FaultsTargetLimitsTest, InstanceThatHasForgottenTheLimitIsToldOfIt)
{
    this->beginCalls();
    this->limit = "1";
    this->runFor(500ms);
    this->instances.front()->health.limits = {};
    const auto start = this->clock.now();
    this->runFor(4s);
    EXPECT_EQ(this->limitedInstances(), Instances);
    EXPECT_LE(this->receivedSince(start), 8U);
}

}
}
