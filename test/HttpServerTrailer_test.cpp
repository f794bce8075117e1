#include "base/HttpServer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct Field {
    std::string name;
    std::string value;

    bool operator==(const Field&) const = default;
};

// Records the headers and bodies of requests and answers them.
class RecordingHandler final : public HttpHandler {
public:
    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        auto& fields = this->headers.emplace_back();
        for (const auto& field : exchange.request())
            fields.push_back({ std::string { field.name_string() }, std::string { field.value() } });
        this->bodies.push_back(exchange.request().body());
        co_await exchange.respond(makeResponse(200, "text/plain", "ok"));
    }

    HttpResponse makeFaultResponse(HttpFault fault) override
    {
        this->faults.push_back(fault);
        return makeResponse(fault == HttpFault::HeaderTooLarge ? 431 : 400, "text/plain", "fault");
    }

    std::vector<std::vector<Field>> headers;
    std::vector<std::string> bodies;
    std::vector<HttpFault> faults;
};

class HttpServerTrailerTest : public ::testing::Test {
protected:
    static constexpr std::size_t HeaderLimit = 4096;
    static constexpr std::string_view Head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

    static std::string chunkedRequest(std::string_view trailer)
    {
        return std::string { Head } + "2\r\nxx\r\n0\r\n" + std::string { trailer } + "\r\n";
    }

    // Sends bytes on a new connection. Returns the statuses of the answers until the server closes the connection, or
    // as many as `most`.
    std::vector<unsigned> statusesAfter(const std::string& bytes, std::size_t most = 1)
    {
        std::vector<unsigned> statuses;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                tcp::socket socket { this->context };
                boost::system::error_code failure;
                co_await socket.async_connect({ asio::ip::address_v4::loopback(), this->port }, asio::use_awaitable);
                co_await asio::async_write(
                    socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
                boost::beast::flat_buffer buffer;
                while (statuses.size() < most) {
                    HttpResponse response;
                    co_await http::async_read(
                        socket, buffer, response, asio::redirect_error(asio::use_awaitable, failure));
                    if (failure)
                        break;
                    statuses.push_back(response.result_int());
                }
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run_for(10s);
        return statuses;
    }

    asio::io_context context { 1 };
    RecordingHandler handler;
    HttpServer server { this->context, this->handler, { .headerBytes = HeaderLimit } };
    std::uint16_t port { this->server.listen("127.0.0.1:0") };
};

// The library throws for a field of more than 65,535 bytes, out of the operation that reads it. The exception left the
// event loop and ended the process with all requests that it had accepted.
TEST_F(HttpServerTrailerTest, TrailerFieldThatExceedsTheLibrarysSizeIsRejectedAndLaterRequestsAreServed)
{
    EXPECT_EQ(this->statusesAfter(chunkedRequest("X-Odd: " + std::string(70'000, 'o') + "\r\n")),
        std::vector<unsigned> { 431 });
    EXPECT_EQ(this->handler.faults, std::vector { HttpFault::HeaderTooLarge });
    EXPECT_EQ(this->statusesAfter(chunkedRequest({})), std::vector<unsigned> { 200 });
}

TEST_F(HttpServerTrailerTest, TrailerFieldNameThatExceedsTheLibrarysSizeIsRejected)
{
    EXPECT_EQ(this->statusesAfter(chunkedRequest(std::string(70'000, 'o') + ": x\r\n")), std::vector<unsigned> { 431 });
}

TEST_F(HttpServerTrailerTest, TrailerOfManyShortFieldsThatExceedsTheHeaderLimitIsRejected)
{
    std::string trailer;
    while (trailer.size() <= HeaderLimit)
        trailer += "a:\r\n";
    EXPECT_EQ(this->statusesAfter(chunkedRequest(trailer)), std::vector<unsigned> { 431 });
    EXPECT_TRUE(this->handler.headers.empty());
}

TEST_F(HttpServerTrailerTest, TrailerWithoutEndIsRejected)
{
    const auto begin = std::string { Head } + "2\r\nxx\r\n0\r\n";
    EXPECT_EQ(this->statusesAfter(begin + "a:" + std::string(256 * 1024, 'o')), std::vector<unsigned> { 400 });
}

// The instance acts on the header before the trailer arrives, so that a field that is added later would be one that
// nothing has checked.
TEST_F(HttpServerTrailerTest, FieldsOfATrailerAreDropped)
{
    const auto* const trailer
        = "Authorization: Token other\r\nMarigoldpaddle-Tenant: other\r\nConnection: close, Host\r\n"
          "Host: other\r\nX-Checksum: 17\r\n";
    EXPECT_EQ(this->statusesAfter(chunkedRequest(trailer)), std::vector<unsigned> { 200 });
    const std::vector<Field> head { { "Host", "a" }, { "Transfer-Encoding", "chunked" } };
    ASSERT_EQ(this->handler.headers.size(), 1U);
    EXPECT_EQ(this->handler.headers.front(), head);
    EXPECT_EQ(this->handler.bodies.front(), "xx");
}

// "Connection: close" in a trailer closed the connection, on which the caller had sent its next request.
TEST_F(HttpServerTrailerTest, RequestBehindATrailerIsServed)
{
    const auto request = chunkedRequest("X-Checksum: 17\r\nConnection: close\r\n");
    EXPECT_EQ(this->statusesAfter(request + request, 2), (std::vector<unsigned> { 200, 200 }));
}

TEST_F(HttpServerTrailerTest, MalformedTrailerIsRejected)
{
    for (const auto* const trailer : { "no colon\r\n", "two words: x\r\n", ": x\r\n", "a: \x01\r\n" })
        EXPECT_EQ(this->statusesAfter(chunkedRequest(trailer)), std::vector<unsigned> { 400 }) << trailer;
    EXPECT_TRUE(this->handler.headers.empty());
}

// A length that arrives behind the body says that the parties disagree about where the request ends.
TEST_F(HttpServerTrailerTest, TrailerWithAFramingFieldIsRejected)
{
    for (const auto* const trailer : { "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n" })
        EXPECT_EQ(this->statusesAfter(chunkedRequest(trailer)), std::vector<unsigned> { 400 }) << trailer;
    EXPECT_TRUE(this->handler.headers.empty());
}

// The settings allow a header that is larger than the largest field of the library.
TEST_F(HttpServerTrailerTest, HeaderFieldThatExceedsTheLibrarysSizeIsRejected)
{
    this->server.setLimits({ .headerBytes = 1'000'000 });
    const auto request = "GET / HTTP/1.1\r\nHost: a\r\nX-Odd: " + std::string(70'000, 'o') + "\r\n\r\n";
    EXPECT_EQ(this->statusesAfter(request), std::vector<unsigned> { 431 });
    EXPECT_EQ(this->statusesAfter(chunkedRequest({})), std::vector<unsigned> { 200 });
}

}
}
