#include "base/HttpServer.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "base/HttpClient.h"

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

// Streams one piece without a length, and ends the stream if told so.
class StreamWithoutLengthHandler final : public HttpHandler {
public:
    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        co_await exchange.beginStreamWithoutLength(HttpResponseHeader { boost::beast::http::status::ok, 11 });
        this->didWrite = co_await exchange.write("piece");
        if (this->endsStream)
            co_await exchange.endStream();
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(400, "text/plain", "fault");
    }

    bool endsStream { true };
    bool didWrite { false };
};

class HttpServerStreamWithoutLengthTest : public testing::Test {
protected:
    HttpResult<HttpResponse> call()
    {
        std::optional<HttpResult<HttpResponse>> result;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                const auto address = "127.0.0.1:" + std::to_string(this->port);
                result = co_await this->client.call(address, makeRequest(boost::beast::http::verb::get, "/", {}), 5s);
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run_for(10s);
        return result.value_or(HttpError::Timeout);
    }

    asio::io_context context { 1 };
    StreamWithoutLengthHandler handler;
    HttpServer server { this->context, this->handler };
    std::uint16_t port { this->server.listen("127.0.0.1:0") };
    HttpClient client { this->context.get_executor() };
};

TEST_F(HttpServerStreamWithoutLengthTest, EndedStreamIsWholeAndClosesItsConnection)
{
    for (int call = 0; call < 2; ++call) {
        const auto response = this->call();
        ASSERT_TRUE(response) << name(response.error());
        EXPECT_EQ(response.value().body(), "piece");
        EXPECT_EQ(response.value()["Connection"], "close");
        EXPECT_EQ(response.value().count("Content-Length") + response.value().count("Transfer-Encoding"), 0U);
        EXPECT_TRUE(this->handler.didWrite);
    }
}

// An orderly end of the connection would make the part pass for the whole.
TEST_F(HttpServerStreamWithoutLengthTest, StreamThatIsNotEndedIsReset)
{
    this->handler.endsStream = false;
    const auto response = this->call();
    ASSERT_FALSE(response) << "taken for a whole answer: " << response.value().body();
    EXPECT_TRUE(response.error() == HttpError::Truncated || response.error() == HttpError::NoAnswer);
}

// Answers every request at once.
class ReplyHandler final : public HttpHandler {
public:
    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        co_await exchange.respond(makeResponse(200, "text/plain", "ok"));
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(413, "text/plain", "fault");
    }
};

class HttpServerLimitsTest : public testing::Test {
protected:
    asio::io_context context { 1 };
    ReplyHandler handler;
};

// The limits were taken when the connection became idle: a request was rejected by limits that had been replaced long
// before it was sent.
TEST_F(HttpServerLimitsTest, LimitsThatChangeWhileAConnectionIsIdleApplyToItsNextRequest)
{
    HttpServer server { this->context, this->handler, { .bodyBytes = 100 } };
    const auto port = server.listen("127.0.0.1:0");
    tcp::socket connection { this->context };
    connection.connect({ asio::ip::address_v4::loopback(), port });
    const auto exchange = [&](std::size_t bodyBytes) {
        asio::write(connection,
            asio::buffer("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                + std::string(bodyBytes, 'x')));
        std::string answer(1024, '\0');
        std::size_t received = 0;
        connection.async_receive(asio::buffer(answer), [&](const boost::system::error_code&, std::size_t count) {
            received = count;
            this->context.stop();
        });
        this->context.restart();
        this->context.run_for(10s);
        answer.resize(received);
        return answer.substr(0, answer.find("\r\n"));
    };
    ASSERT_EQ(exchange(10), "HTTP/1.1 200 OK");
    this->context.restart();
    this->context.poll(); // The server waits for the next request.
    server.setLimits({ .bodyBytes = 10'000 });
    EXPECT_EQ(exchange(1000), "HTTP/1.1 200 OK");
}

// The rest of a rejected upload was not read, so that the close became a reset, which can overtake the answer.
class HttpServerRejectedUploadTest : public ::testing::Test {
protected:
    // What a caller sees that sends its whole request before it reads.
    struct Seen {
        boost::system::error_code write;
        std::string answer;
        boost::system::error_code end;
    };

    Seen upload(std::size_t bytes)
    {
        Seen seen;
        bool isDone = false;
        const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes)
            + "\r\n\r\n" + std::string(bytes, 'x');
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                tcp::socket caller { this->context };
                co_await caller.async_connect({ asio::ip::address_v4::loopback(), this->port }, asio::use_awaitable);
                co_await asio::async_write(
                    caller, asio::buffer(request), asio::redirect_error(asio::use_awaitable, seen.write));
                std::string piece(1024, '\0');
                while (!seen.end) {
                    const auto count = co_await caller.async_receive(
                        asio::buffer(piece), asio::redirect_error(asio::use_awaitable, seen.end));
                    seen.answer += piece.substr(0, count);
                }
                isDone = true;
                this->context.stop();
            },
            asio::detached);
        this->context.run_for(10s);
        EXPECT_TRUE(isDone);
        return seen;
    }

    asio::io_context context { 1 };
    ReplyHandler handler;
    HttpServer server { this->context, this->handler, { .bodyBytes = 5 * 1024 * 1024 } };
    std::uint16_t port { this->server.listen("127.0.0.1:0") };
};

TEST_F(HttpServerRejectedUploadTest, CallerThatStillWritesIsNotResetAndReadsTheAnswer)
{
    const auto seen = this->upload(8 * 1024 * 1024);
    EXPECT_FALSE(seen.write) << seen.write.message();
    EXPECT_EQ(seen.answer.substr(0, seen.answer.find("\r\n")), "HTTP/1.1 413 Payload Too Large");
    EXPECT_EQ(seen.end, asio::error::eof) << seen.end.message();
}

// Records whether the caller had left when its request was handled, and answers.
class CallerLeftHandler final : public HttpHandler {
public:
    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        this->hasCallerLeft = exchange.hasCallerLeft();
        co_await exchange.respond(makeResponse(200, "text/plain", "ok"));
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(400, "text/plain", "fault");
    }

    std::optional<bool> hasCallerLeft; // Empty until a request is handled.
};

// The caller acts while the process does not run, so that the server finds all of it at once.
class HttpServerCallerLeftTest : public testing::Test {
protected:
    HttpServerCallerLeftTest()
    {
        this->caller.connect({ asio::ip::address_v4::loopback(), this->port });
        asio::write(this->caller, asio::buffer(this->request));
    }

    std::optional<bool> seenByHandler()
    {
        const auto giveUpAt = this->clock.now() + 10s;
        while (!this->handler.hasCallerLeft && this->clock.now() < giveUpAt)
            this->context.run_one_for(1s);
        return this->handler.hasCallerLeft;
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    CallerLeftHandler handler;
    HttpServer server { this->context, this->handler };
    std::uint16_t port { this->server.listen("127.0.0.1:0") };
    tcp::socket caller { this->context };
    const std::string request { "GET / HTTP/1.1\r\nHost: a\r\n\r\n" };
};

TEST_F(HttpServerCallerLeftTest, CallerThatWaitsHasNotLeft)
{
    EXPECT_EQ(this->seenByHandler(), false);
}

TEST_F(HttpServerCallerLeftTest, CallerThatSentAnotherRequestHasNotLeft)
{
    asio::write(this->caller, asio::buffer(this->request));
    EXPECT_EQ(this->seenByHandler(), false);
}

TEST_F(HttpServerCallerLeftTest, CallerThatClosedBehindItsRequestHasLeft)
{
    this->caller.close();
    EXPECT_EQ(this->seenByHandler(), true);
}

// The server does not read all of these bytes with the request, and the close reaches its host behind them.
TEST_F(HttpServerCallerLeftTest, CallerThatClosedBehindUnreadBytesHasLeft)
{
    asio::write(this->caller, asio::buffer(std::string(64 * 1024, 'x')));
    this->caller.close();
    EXPECT_EQ(this->seenByHandler(), true);
}

}
}
