#include "standins/ServiceStandin.h"

#include <gmock/gmock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/verb.hpp>

#include "base/HttpClient.h"

using namespace marigoldpaddle;
using testing::HasSubstr;

namespace {

class ServiceStandinTest : public testing::Test {
protected:
    ServiceStandinTest()
    {
        this->address = "127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0"));
    }

    HttpResult<HttpResponse> send(boost::beast::http::verb method, std::string_view target, std::string body)
    {
        auto request = makeRequest(method, target, std::move(body));
        request.set("Idempotency-Key", "order-1");
        request.set("X-Request-Id", "request-1");
        std::optional<HttpResult<HttpResponse>> answer;
        boost::asio::co_spawn(
            this->context,
            [&]() -> boost::asio::awaitable<void> {
                answer = co_await this->client.call(this->address, std::move(request), std::chrono::seconds { 5 });
            },
            boost::asio::detached);
        while (!answer)
            this->context.run_one();
        return *answer;
    }

    HttpResult<HttpResponse> order()
    {
        return this->send(boost::beast::http::verb::post, "/restocks", "{}");
    }

    std::string counts()
    {
        return this->send(boost::beast::http::verb::get, "/orders/counts", {}).value().body();
    }

    void setFaults(std::string body)
    {
        EXPECT_TRUE(this->send(boost::beast::http::verb::post, "/faults", std::move(body)));
    }

    boost::asio::io_context context;
    standins::ServiceStandin service;
    HttpServer server { this->context, this->service };
    HttpClient client { this->context.get_executor() };
    std::string address;
};

TEST_F(ServiceStandinTest, OrderIsCountedByIdempotencyKeyAndByRequestId)
{
    EXPECT_EQ(this->order().value().result_int(), 201u);
    EXPECT_THAT(this->counts(), HasSubstr(R"("by_key":{"order-1":1},"by_request":{"request-1":1})"));
}

TEST_F(ServiceStandinTest, OrderWithDroppedAnswerTakesEffect)
{
    this->setFaults(R"({"drop_answers":1})");
    EXPECT_FALSE(this->order());
    EXPECT_THAT(this->counts(), HasSubstr(R"("orders":1)"));
}

TEST_F(ServiceStandinTest, DroppedOrderTakesNoEffect)
{
    this->setFaults(R"({"drop_requests":1})");
    EXPECT_FALSE(this->order());
    EXPECT_THAT(this->counts(), HasSubstr(R"("orders":0)"));
}

TEST_F(ServiceStandinTest, OrderWithTruncatedAnswerTakesEffect)
{
    this->setFaults(R"({"truncate_answers":1})");
    EXPECT_FALSE(this->order());
    EXPECT_THAT(this->counts(), HasSubstr(R"("orders":1)"));
}

TEST_F(ServiceStandinTest, OrderWhoseAnswerHasAnOddTrailerTakesEffect)
{
    this->setFaults(R"({"odd_trailers":1})");
    EXPECT_FALSE(this->order());
    EXPECT_THAT(this->counts(), HasSubstr(R"("orders":1)"));
    EXPECT_EQ(this->order().value().result_int(), 201u);
}

TEST_F(ServiceStandinTest, OrderDuringOutageGetsNoAnswerAndTakesNoEffect)
{
    this->setFaults(R"({"down":true})");
    EXPECT_FALSE(this->order());
    EXPECT_THAT(this->counts(), HasSubstr(R"("orders":0)"));
}

}
