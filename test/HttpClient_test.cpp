#include "base/HttpClient.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

// The kernel's timer of the loopback connection to `port`, as two hexadecimal digits; empty without a connection.
std::string kernelTimer(std::uint16_t port)
{
    std::ifstream table { "/proc/net/tcp" };
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields { line };
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        fields >> slot >> local >> remote >> state >> queues >> timer;
        const auto colon = remote.find(':');
        if (colon != std::string::npos && std::stoul(remote.substr(colon + 1), nullptr, 16) == port && state == "01")
            return timer.substr(0, 2);
    }
    return {};
}

class HttpClientSilentServerTest : public testing::Test {
protected:
    // Sends a request to a server that accepts it and never answers. Returns whether the kernel has set a timer for
    // the connection, as it does for keep-alive probes, while the client waits.
    bool hasTimerWhileWaiting(HttpClientLimits limits)
    {
        HttpClient client { this->context.get_executor(), limits };
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                const auto address = "127.0.0.1:" + std::to_string(this->port);
                co_await client.start(address, makeRequest(boost::beast::http::verb::get, "/", {}), 10s);
            },
            asio::detached);
        this->acceptor.async_accept(this->accepted, [](const boost::system::error_code&) { });
        // Data that is sent and not yet acknowledged has a timer too; the acknowledgement ends it.
        this->context.run_for(700ms);
        const bool hasTimer = kernelTimer(this->port) == "02";
        this->accepted.close();
        this->context.run_for(100ms);
        return hasTimer;
    }

    asio::io_context context { 1 };
    tcp::acceptor acceptor { this->context, { asio::ip::address_v4::loopback(), 0 } };
    tcp::socket accepted { this->context };
    std::uint16_t port { this->acceptor.local_endpoint().port() };
};

// An engine that loses its power in the middle of an answer sends nothing any more, no reset either. The gateway waited
// for it until the caller's deadline and renewed the prompt's memory on other engines all the while.
TEST_F(HttpClientSilentServerTest, ConnectionIsProbedWhileAnAnswerIsAwaited)
{
    HttpClientLimits limits;
    limits.probeAfter = 1s;
    EXPECT_TRUE(this->hasTimerWhileWaiting(limits));
}

TEST_F(HttpClientSilentServerTest, ConnectionIsNotProbedByDefault)
{
    EXPECT_FALSE(this->hasTimerWhileWaiting({}));
}

}
}
