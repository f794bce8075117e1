#include "base/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

// Streams pieces until a write fails.
class EndlessHandler final : public HttpHandler {
public:
    explicit EndlessHandler(asio::io_context& context)
        : context(context)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        const std::string piece(16 * 1024, 'x');
        if (co_await exchange.beginStream(HttpResponseHeader { boost::beast::http::status::ok, 11 })) {
            while (this->acceptedBytes < this->Limit && co_await exchange.write(piece))
                this->acceptedBytes += piece.size();
        }
        this->context.stop();
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(400, "text/plain", "fault");
    }

    static constexpr std::size_t Limit = 64 * 1024 * 1024;
    std::size_t acceptedBytes { 0 };

private:
    asio::io_context& context;
};

class HttpServerSlowCallerTest : public testing::Test {
protected:
    asio::io_context context { 1 };
    EndlessHandler handler { this->context };
};

// A caller keeps its connection open and stops reading. The server accepted megabytes for it before a write blocked,
// so that under load the send timeout began only after many seconds and the target kept generating meanwhile.
TEST_F(HttpServerSlowCallerTest, CallerThatStopsReadingBlocksTheResponseWithinOneMegabyte)
{
    HttpServer server { this->context, this->handler, { .sendTimeout = 100ms } };
    const auto port = server.listen("127.0.0.1:0");
    tcp::socket caller { this->context };
    caller.open(tcp::v4());
    caller.set_option(tcp::socket::receive_buffer_size(64 * 1024));
    caller.connect({ asio::ip::address_v4::loopback(), port });
    asio::write(caller, asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: a\r\n\r\n" }));
    this->context.run_for(30s);
    EXPECT_LT(this->handler.acceptedBytes, 1024u * 1024u);
    EXPECT_GT(this->handler.acceptedBytes, 0u);
}

}
}
