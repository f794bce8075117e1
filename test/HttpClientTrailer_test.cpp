#include "base/HttpClient.h"

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <gtest/gtest.h>

#include "RawServer.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using testing::RawAnswer;
using testing::RawServer;

class HttpClientTrailerTest : public ::testing::Test {
protected:
    static constexpr std::size_t HeaderLimit = 4096;

    // Returns the result of a call that is answered in chunks, with `trailer` at the end.
    HttpResult<HttpResponse> callAnsweredWith(
        std::string_view trailer, std::string_view head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    {
        this->answer = { std::string { head } + "2\r\nxx\r\n0\r\n" + std::string { trailer } + "\r\n" };
        std::optional<HttpResult<HttpResponse>> result;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                result = co_await this->client.call(
                    this->server.address(), makeRequest(boost::beast::http::verb::get, "/", {}), 5s);
                this->context.stop();
            },
            asio::detached);
        this->context.restart();
        this->context.run_for(10s);
        return result.value_or(HttpError::Timeout);
    }

    asio::io_context context { 1 };
    RawAnswer answer;
    RawServer server { this->context, [this](const HttpRequest&) {
                          return this->answer;
                      } };
    HttpClient client { this->context.get_executor(), { .maximumHeaderBytes = HeaderLimit } };
};

// The library throws for a field of more than 65,535 bytes, out of the operation that reads it. The exception left the
// event loop and ended the process: one answer of a faulty target, or of the store, cut off everything it served.
TEST_F(HttpClientTrailerTest, AnswerWithATrailerFieldThatExceedsTheLibrarysSizeIsMalformedAndLaterCallsSucceed)
{
    const auto odd = this->callAnsweredWith("X-Odd: " + std::string(70'000, 'o') + "\r\n");
    ASSERT_FALSE(odd) << "taken for a whole answer";
    EXPECT_EQ(odd.error(), HttpError::Malformed);
    const auto next = this->callAnsweredWith({});
    ASSERT_TRUE(next) << name(next.error());
    EXPECT_EQ(next.value().body(), "xx");
}

TEST_F(HttpClientTrailerTest, AnswerWithATrailerFieldNameThatExceedsTheLibrarysSizeIsMalformed)
{
    const auto odd = this->callAnsweredWith(std::string(70'000, 'o') + ": x\r\n");
    ASSERT_FALSE(odd) << "taken for a whole answer";
    EXPECT_EQ(odd.error(), HttpError::Malformed);
}

TEST_F(HttpClientTrailerTest, AnswerWhoseTrailerExceedsTheHeaderLimitIsMalformed)
{
    std::string trailer;
    while (trailer.size() <= HeaderLimit)
        trailer += "a:\r\n";
    const auto odd = this->callAnsweredWith(trailer);
    ASSERT_FALSE(odd) << "taken for a whole answer";
    EXPECT_EQ(odd.error(), HttpError::Malformed);
}

TEST_F(HttpClientTrailerTest, FieldsOfATrailerAreDroppedAndTheConnectionIsUsedAgain)
{
    for (int call = 0; call < 2; ++call) {
        const auto response = this->callAnsweredWith("X-Checksum: 17\r\nContent-Encoding: gzip\r\n");
        ASSERT_TRUE(response) << name(response.error());
        EXPECT_EQ(response.value().body(), "xx");
        EXPECT_EQ(response.value().count("X-Checksum") + response.value().count("Content-Encoding"), 0U);
    }
    EXPECT_EQ(this->server.connections(), 1U);
}

// A server of HTTP/1.0 closes its connection unless the header says otherwise.
TEST_F(HttpClientTrailerTest, ConnectionIsNotUsedAgainBecauseATrailerSaysSo)
{
    for (int call = 0; call < 2; ++call) {
        const auto response = this->callAnsweredWith(
            "Connection: keep-alive\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        ASSERT_TRUE(response) << name(response.error());
    }
    EXPECT_EQ(this->server.connections(), 2U);
}

TEST_F(HttpClientTrailerTest, AnswerWithAMalformedTrailerIsMalformed)
{
    for (const auto* const trailer : { "no colon\r\n", "two words: x\r\n", ": x\r\n", "Content-Length: 2\r\n" }) {
        const auto odd = this->callAnsweredWith(trailer);
        ASSERT_FALSE(odd) << "taken for a whole answer: " << trailer;
        EXPECT_EQ(odd.error(), HttpError::Malformed) << trailer;
    }
}

}
}
