#include "base/HttpClient.h"

#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <gtest/gtest.h>

#include "EarlyAnswerServer.h"
#include "RawServer.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using testing::EarlyAnswerServer;
using testing::RawAnswer;
using testing::RawEnding;
using testing::RawServer;

class HttpClientEarlyAnswerTest : public ::testing::Test {
protected:
    static constexpr std::size_t UploadBytes = 300'000;

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
        this->context.restart();
        this->context.run_for(10s);
        return result.value_or(HttpError::Timeout);
    }

    asio::io_context context { 1 };
    HttpClient client { this->context.get_executor() };
};

// The part that such a server had sent was taken for its whole answer.
TEST_F(HttpClientEarlyAnswerTest, AnswerThatEndsBeforeTheUploadIsReceivedIsNotWhole)
{
    std::string part;
    const EarlyAnswerServer server { this->context, [&](const std::string&) {
                                        return "HTTP/1.1 200 OK\r\n\r\n" + part;
                                    } };
    for (const std::string sent : { "", "part of the answer", "id: 1\ndata: a\n\n" }) {
        part = sent;
        const auto result = this->upload(server.address());
        ASSERT_FALSE(result) << "taken for a whole answer: " << result.value().body();
        EXPECT_EQ(result.error(), HttpError::Truncated) << part;
    }
}

TEST_F(HttpClientEarlyAnswerTest, AnswerWithoutLengthAfterTheWholeUploadIsWhole)
{
    const RawServer server { this->context, [](const HttpRequest& request) {
                                return RawAnswer { "HTTP/1.1 200 OK\r\n\r\n" + std::to_string(request.body().size()),
                                    RawEnding::Close };
                            } };
    const auto result = this->upload(server.address());
    ASSERT_TRUE(result) << name(result.error());
    EXPECT_EQ(result.value().body(), std::to_string(UploadBytes));
}

}
}
