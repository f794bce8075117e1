#include "base/HttpClient.h"

#include <optional>
#include <string>

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

// HTTP knows statuses from 100 to 599, of which an interim one answers no request. Callers got one above as the answer
// of the target.
TEST(HttpClientStatusTest, AnswerWithAStatusOutsideOfTheProtocolIsMalformed)
{
    asio::io_context context { 1 };
    std::string status;
    RawServer server { context, [&](const HttpRequest&) {
                          return RawAnswer { "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nxx" };
                      } };
    HttpClient client { context.get_executor() };
    for (const std::string odd : { "000", "099", "199", "600", "999" }) {
        status = odd;
        std::optional<HttpResult<HttpResponse>> result;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                result
                    = co_await client.call(server.address(), makeRequest(boost::beast::http::verb::get, "/", {}), 5s);
                context.stop();
            },
            asio::detached);
        context.restart();
        context.run_for(10s);
        ASSERT_TRUE(result);
        ASSERT_FALSE(*result) << odd;
        EXPECT_EQ(result->error(), HttpError::Malformed) << odd;
    }
}

}
}
