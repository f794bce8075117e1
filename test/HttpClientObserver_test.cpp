#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "PartitionedLink.h"
#include "RawServer.h"
#include "base/HttpClient.h"

namespace marigoldpaddle::testing {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
namespace asio = boost::asio;

class RecordingObserver final : public ConnectionObserver {
public:
    void connected(std::string_view) override
    {
        this->events.emplace_back("connected");
    }

    void connectFailed(std::string_view, ConnectFailure failure) override
    {
        this->events.push_back("failed: " + std::string { name(failure) });
    }

    void connectionLost(std::string_view) override
    {
        this->events.emplace_back("lost");
    }

    void received(std::string_view) override
    {
        if (this->events.empty() || this->events.back() != "received")
            this->events.emplace_back("received");
    }

    std::vector<std::string> events;
};

// A client whose path to the server can be cut.
class HttpClientObserverTest : public ::testing::Test {
protected:
    void call(Duration time = 100ms)
    {
        asio::co_spawn(
            this->context,
            [this]() -> asio::awaitable<void> {
                co_await this->client.call(
                    this->link.address(), makeRequest(boost::beast::http::verb::get, "/", {}), 5s);
            },
            asio::detached);
        this->runFor(time);
    }

    void runFor(Duration time)
    {
        this->context.restart();
        this->context.run_for(time);
    }

    asio::io_context context { 1 };
    std::string answer { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
    RawServer server { this->context, [this](const HttpRequest&) {
                          return RawAnswer { this->answer, RawEnding::None };
                      } };
    PartitionedLink link { this->context, this->server.address() };
    RecordingObserver observer;
    HttpClient client { this->context.get_executor(),
        { .connectTimeout = 200ms, .unacknowledgedTimeout = 500ms, .probeAfter = 1s }, &this->observer };
};

TEST_F(HttpClientObserverTest, AnsweredCallIsReported)
{
    this->call();
    EXPECT_THAT(this->observer.events, ElementsAre("connected", "received"));
}

TEST_F(HttpClientObserverTest, ConnectionThatIsKeptIsNotReportedAsNew)
{
    this->call();
    this->call();
    EXPECT_THAT(this->observer.events, ElementsAre("connected", "received"));
}

TEST_F(HttpClientObserverTest, RefusedConnectionIsReported)
{
    this->link.setCut(Cut::RefuseNew);
    this->call();
    EXPECT_THAT(this->observer.events, ElementsAre("failed: refused"));
}

TEST_F(HttpClientObserverTest, HangingConnectionIsReported)
{
    this->link.setCut(Cut::Hang);
    this->call(400ms);
    EXPECT_THAT(this->observer.events, ElementsAre("failed: timed_out"));
}

TEST_F(HttpClientObserverTest, ResetWhileTheAnswerIsAwaitedIsReported)
{
    this->answer.clear();
    this->call();
    this->link.setCut(Cut::Reset);
    this->runFor(100ms);
    EXPECT_THAT(this->observer.events, ElementsAre("connected", "lost"));
}

// Calls are resumed after their client is gone, and must not report to its observer.
TEST_F(HttpClientObserverTest, CallThatOutlivesItsClientIsNotReported)
{
    this->answer.clear();
    {
        HttpClient client { this->context.get_executor(), {}, &this->observer };
        const auto call = [&]() -> asio::awaitable<void> {
            auto request = makeRequest(boost::beast::http::verb::get, "/", {});
            co_await client.start(this->link.address(), std::move(request), 5s);
        };
        asio::co_spawn(this->context, call(), asio::detached);
        this->runFor(50ms);
    }
    this->link.setCut(Cut::Reset);
    this->runFor(100ms);
    EXPECT_THAT(this->observer.events, ElementsAre("connected"));
}

}
}
