#include "configuration/FollowerRuntime.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gmock/gmock.h>

#include "base/HttpServer.h"
#include "configuration/ConfigurationPublisher.h"
#include "platform/StoreLog.h"
#include "rpc/RpcServer.h"
#include "standins/ConfigurationChanges.h"
#include "standins/StoreStandin.h"

using namespace marigoldpaddle;
using namespace marigoldpaddle::standins;
using namespace std::chrono_literals;

namespace {

// An instance that follows the log over HTTP and answers peers over RPC, both on loopback.
class FollowingInstance final : public RpcHandler {
public:
    FollowingInstance(boost::asio::io_context& context, const Clock& clock, PlatformLog& log)
        : client(context.get_executor())
        , peers(this->client, 1s)
        , server(context, *this)
        , address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
        , runtime(context, clock, log, this->peers, this->metrics, {}, [] { })
    {
    }

    boost::asio::awaitable<std::optional<wire::Payload>> handle(
        wire::Payload request, std::shared_ptr<void>& /*untilWritten*/) override
    {
        wire::Payload answer;
        const auto known = static_cast<std::uint64_t>(request.configuration.knownOffset);
        answer.__set_configurationAnswer(toWire(this->runtime.updateSince(known)));
        co_return answer;
    }

    RpcClient client;
    RpcConfigurationPeers peers;
    RpcServer server;
    std::string address;
    MetricsRegistry metrics;
    FollowerRuntime runtime;
};

class FollowerRuntimeTest : public ::testing::Test {
protected:
    FollowerRuntimeTest()
        : platformServer(this->context, this->platform)
        , platformAddress("127.0.0.1:" + std::to_string(this->platformServer.listen("127.0.0.1:0")))
        , client(this->context.get_executor())
        , log(this->client, this->platformAddress, "configuration", 2s)
        , first(this->context, this->clock, this->log)
        , second(this->context, this->clock, this->log)
    {
    }

    void publish(ConfigurationChange change)
    {
        const auto published = [&]() -> boost::asio::awaitable<void> {
            ConfigurationPublisher publisher { this->log, this->clock };
            const auto result = co_await publisher.publish(this->author, std::move(change));
            EXPECT_EQ(result.outcome, PublicationOutcome::Accepted) << result.explanation;
            this->isPublished = true;
        };
        this->isPublished = false;
        boost::asio::co_spawn(this->context, published, boost::asio::detached);
        this->runUntil([this] { return this->isPublished; });
    }

    void breakLog()
    {
        auto done = false;
        const auto post = [&]() -> boost::asio::awaitable<void> {
            auto request = makeRequest(boost::beast::http::verb::post, "/standin/faults", R"({"log_down":true})");
            const auto answer = co_await this->client.call(this->platformAddress, std::move(request), 2s);
            EXPECT_TRUE(answer);
            done = true;
        };
        boost::asio::co_spawn(this->context, post, boost::asio::detached);
        this->runUntil([&] { return done; });
    }

    // Runs the event loop until the condition holds, for at most 10 s.
    void runUntil(const std::function<bool()>& condition)
    {
        const auto deadline = this->clock.now() + 10s;
        while (!condition() && this->clock.now() < deadline)
            this->context.run_one_until(deadline);
        EXPECT_TRUE(condition());
    }

    boost::asio::io_context context { 1 };
    SteadyClock clock;
    StoreStandin platform { this->context, 1000 };
    HttpServer platformServer;
    std::string platformAddress;
    HttpClient client;
    platform::StoreLog log;
    FollowingInstance first;
    FollowingInstance second;
    ConfigurationState author;
    bool isPublished { false };
};

TEST_F(FollowerRuntimeTest, InstanceStartedDuringALogOutageRestoresTheStateOfItsPeer)
{
    this->publish(makeEdit("make", "ordinary", 0, { { "workspace a", workspaceSection(1) } }));
    this->publish(makeUse("use", "ordinary", 1));
    this->first.runtime.start();
    this->runUntil([this] { return this->first.runtime.isReady(); });
    this->breakLog();
    this->second.runtime.setPeers({ this->first.address }, 1);
    this->second.runtime.start();
    this->runUntil([this] { return this->second.runtime.isReady(); });
    EXPECT_EQ(this->second.runtime.state().snapshot(), this->first.runtime.state().snapshot());
}

TEST_F(FollowerRuntimeTest, HigherOffsetReportedByAPeerIsReachedBeforeTheFollowerIsStarted)
{
    this->first.runtime.start();
    this->publish(makeEdit("make", "ordinary", 0, { { "workspace a", workspaceSection(1) } }));
    this->publish(makeUse("use", "ordinary", 1));
    this->runUntil([this] { return this->first.runtime.isReady(); });
    this->second.runtime.setPeers({ this->first.address }, 1);
    this->second.runtime.observePeerOffset(this->first.address, this->first.runtime.state().nextOffset());
    this->runUntil([this] { return this->second.runtime.state().presetInForce() != nullptr; });
    EXPECT_EQ(this->second.runtime.state().nextOffset(), this->first.runtime.state().nextOffset());
}

}
