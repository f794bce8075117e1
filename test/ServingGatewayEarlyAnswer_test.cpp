#include "EarlyAnswerServer.h"
#include "ServingGatewayHarness.h"

namespace marigoldpaddle::testing {
namespace {

// A target that answers an upload without a length before it has received it, and ends inside its answer.
class ServingGatewayEarlyAnswerTest : public ServingGatewayTest {
protected:
    ServingGatewayEarlyAnswerTest()
    {
        this->registerTarget("t1", this->early.address());
    }

    // The answer to the request that begins with these bytes.
    std::string answerTo(const std::string& received) const
    {
        constexpr std::string_view IdField = "Marigoldpaddle-Attempt-Id: ";
        const auto start = received.find(IdField);
        const auto end = received.find("\r\n", start);
        return "HTTP/1.1 200 OK\r\n" + received.substr(start, end - start)
            + "\r\nMarigoldpaddle-Server-Seal: seal\r\n\r\n" + this->part;
    }

    HttpRequest upload(const std::string& path)
    {
        auto request = this->request(path);
        request.body() = std::string(300'000, 'x');
        request.prepare_payload();
        return request;
    }

    std::string part { "a part" };
    EarlyAnswerServer early { this->context, [this](const std::string& received) {
                                 return this->answerTo(received);
                             } };
};

TEST_F(ServingGatewayEarlyAnswerTest, UnrepeatableUploadIsReportedAsPossiblyExecuted)
{
    const auto answered = this->call(this->upload("/unsafe/x"));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().result_int(), 502U) << answered.value().body();
    EXPECT_EQ(answered.value()["Marigoldpaddle-Server-Seal"], "");
    EXPECT_EQ(this->early.requests(), 1U);
}

TEST_F(ServingGatewayEarlyAnswerTest, RepeatableUploadIsAnsweredByAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    for (int call = 0; call < 8; ++call) {
        const auto answered = this->call(this->upload("/safe/x"));
        ASSERT_TRUE(answered);
        EXPECT_EQ(answered.value().body(), "second");
    }
    EXPECT_GE(this->early.requests(), 1U);
}

TEST_F(ServingGatewayEarlyAnswerTest, StreamThatCannotContinueIsNotEndedAsComplete)
{
    this->part = "id: 1\ndata: a\n\n";
    const auto answered = this->call(this->upload("/stream/x"));
    EXPECT_FALSE(answered && answered.value().result_int() == 200U) << answered.value().body();
}

}
}
