#include "base/HttpClient.h"

#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <gtest/gtest.h>

#include "RawServer.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using testing::RawAnswer;
using testing::RawEnding;
using testing::RawServer;

// A server in trouble that answers without a length after a part of an upload, ends its side of the connection, and
// resets it a moment later. The rest of the upload waits in the kernel of the client, whose write has ended, so that it
// sees the end before the reset.
class HttpClientEarlyAnswerTest : public ::testing::Test {
protected:
    static constexpr std::size_t ReadBytes = 3000;
    static constexpr int ReceiveBufferBytes = 8 * 1024;
    static constexpr std::size_t UploadBytes = 300'000;

    HttpClientEarlyAnswerTest()
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        this->acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        this->acceptor.listen();
        asio::co_spawn(this->context, this->serve(), asio::detached);
    }

    asio::awaitable<void> serve()
    {
        this->socket = co_await this->acceptor.async_accept(asio::use_awaitable);
        std::string received(ReadBytes, '\0');
        co_await asio::async_read(this->socket, asio::buffer(received), asio::use_awaitable);
        co_await asio::async_write(this->socket, asio::buffer(this->answer), asio::use_awaitable);
        this->socket.shutdown(tcp::socket::shutdown_send);
    }

    HttpResult<HttpResponse> upload(const std::string& address)
    {
        std::optional<HttpResult<HttpResponse>> result;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                result = co_await this->client.call(
                    address, makeRequest(boost::beast::http::verb::post, "/", std::string(UploadBytes, 'x')), 5s);
                this->context.stop();
            },
            asio::detached);
        this->context.run_for(10s);
        return result.value_or(HttpError::Timeout);
    }

    asio::io_context context { 1 };
    tcp::acceptor acceptor { this->context };
    tcp::socket socket { this->context };
    std::string answer;
    HttpClient client { this->context.get_executor() };
};

TEST_F(HttpClientEarlyAnswerTest, AnswerThatEndsBeforeTheUploadIsReceivedIsNotWhole)
{
    for (const std::string part : { "", "part of the answer", "id: 1\ndata: a\n\n" }) {
        SCOPED_TRACE(part);
        this->answer = "HTTP/1.1 200 OK\r\n\r\n" + part;
        const auto result = this->upload("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
        ASSERT_FALSE(result) << "taken for a whole answer: " << result.value().body();
        EXPECT_EQ(result.error(), HttpError::Truncated);
        this->context.restart();
        asio::co_spawn(this->context, this->serve(), asio::detached);
    }
}

TEST_F(HttpClientEarlyAnswerTest, AnswerWithoutLengthAfterTheWholeUploadIsWhole)
{
    RawServer server { this->context, [](const HttpRequest& request) {
                          return RawAnswer { "HTTP/1.1 200 OK\r\n\r\n" + std::to_string(request.body().size()),
                              RawEnding::Close };
                      } };
    const auto result = this->upload(server.address());
    ASSERT_TRUE(result) << name(result.error());
    EXPECT_EQ(result.value().body(), std::to_string(UploadBytes));
}

}
}
