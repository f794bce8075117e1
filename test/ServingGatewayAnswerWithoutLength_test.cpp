#include "RawServer.h"
#include "ServingGatewayHarness.h"

namespace marigoldpaddle::testing {
namespace {

// Targets whose answers have neither a length nor chunks and end with their connection.
class ServingGatewayAnswerWithoutLengthTest : public ServingGatewayTest {
protected:
    ServingGatewayAnswerWithoutLengthTest()
    {
        this->registerTarget("t1", this->raw.address());
    }

    RawAnswer respond(const HttpRequest& request) const
    {
        const std::string lastEventId { request["Last-Event-Id"] };
        const auto& chosen = lastEventId.empty() ? this->started : this->resumed;
        return { "HTTP/1.1 200 OK\r\nMarigoldpaddle-Attempt-Id: " + std::string { request["Marigoldpaddle-Attempt-Id"] }
                + "\r\nMarigoldpaddle-Server-Seal: seal\r\n\r\n" + chosen.bytes,
            chosen.ending };
    }

    void addSecondTarget()
    {
        this->registerTarget("t2", this->otherRaw.address());
    }

    std::size_t attempts() const
    {
        return this->raw.requests().size() + this->otherRaw.requests().size();
    }

    // Connections that were not closed after their answer, as one in the pool is not.
    std::size_t openConnections()
    {
        this->context.restart();
        this->context.run_for(50ms);
        return this->raw.openConnections() + this->otherRaw.openConnections();
    }

    // Bodies of answers: to a request, and to one that continues a stream.
    RawAnswer started { "the whole answer", RawEnding::Close };
    RawAnswer resumed { "", RawEnding::Close };
    RawServer raw { this->context, [this](const HttpRequest& request) {
                       return this->respond(request);
                   } };
    RawServer otherRaw { this->context, [this](const HttpRequest& request) {
                            return this->respond(request);
                        } };
};

TEST_F(ServingGatewayAnswerWithoutLengthTest, AnswerThatEndsInOrderIsForwardedWholeWithALength)
{
    for (const std::string path : { "/safe/x", "/unsafe/x" }) {
        const auto answered = this->call(this->request(path));
        ASSERT_TRUE(answered) << path;
        EXPECT_EQ(answered.value().result_int(), 200U);
        EXPECT_EQ(answered.value().body(), "the whole answer");
        EXPECT_EQ(answered.value()["Content-Length"], "16");
        EXPECT_EQ(answered.value()["Marigoldpaddle-Server-Seal"], "seal");
    }
    EXPECT_EQ(this->openConnections(), 0U);
    EXPECT_EQ(this->raw.connections(), 2U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, ResetAnswerToAnUnrepeatableRequestIsReportedAsPossiblyExecuted)
{
    this->addSecondTarget();
    this->started.ending = RawEnding::Reset;
    const auto answered = this->call(this->request("/unsafe/x"));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().result_int(), 502U);
    EXPECT_EQ(answered.value()["Marigoldpaddle-Server-Seal"], "");
    EXPECT_EQ(this->attempts(), 1U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, ResetAnswerToARepeatableRequestIsRetriedAtAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    this->started.ending = RawEnding::Reset;
    for (int call = 0; call < 8; ++call)
        EXPECT_EQ(this->bodyOf("/safe/x"), "second");
    EXPECT_GE(this->raw.requests().size(), 1U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsAfterAWholeEventIsComplete)
{
    this->addSecondTarget();
    this->started.bytes = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const auto answered = this->call(this->request("/stream/x"));
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered.value().body(), this->started.bytes);
    EXPECT_EQ(answered.value()["Transfer-Encoding"], "chunked");
    EXPECT_EQ(this->attempts(), 1U);
    EXPECT_EQ(this->openConnections(), 0U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsInsideAnEventContinuesAtAnotherTarget)
{
    this->addSecondTarget();
    this->started.bytes = "id: 1\n\nid: 2\nda";
    this->resumed.bytes = "id: 2\n\nid: 3\n\n";
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\nid: 3\n\n");
    EXPECT_EQ(this->raw.requests().size(), 1U);
    EXPECT_EQ(this->otherRaw.requests().size(), 1U);
    EXPECT_EQ(this->openConnections(), 0U);
}

// The last event has its id and data, and lacks only the blank line.
TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsBeforeABlankLineContinuesAtAnotherTarget)
{
    this->addSecondTarget();
    this->started.bytes = "id: 1\n\nid: 2\ndata: b\n";
    this->resumed.bytes = "id: 2\ndata: b\n\n";
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(this->attempts(), 2U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatIsResetAfterAWholeEventContinuesAtAnotherTarget)
{
    this->addSecondTarget();
    this->started = { "id: 1\n\n", RawEnding::Reset };
    this->resumed.bytes = "id: 2\n\n";
    EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\nid: 2\n\n");
    EXPECT_EQ(this->attempts(), 2U);
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatEndsInsideItsFirstEventIsRepeatedAtAnotherTarget)
{
    this->registerTarget("t2", this->second.address);
    this->second.script = { events("id: 1\n\n", true) };
    this->started.bytes = "id: 1\nda";
    for (int call = 0; call < 4; ++call)
        EXPECT_EQ(this->bodyOf("/stream/x"), "id: 1\n\n");
}

TEST_F(ServingGatewayAnswerWithoutLengthTest, StreamThatCannotContinueIsNotEndedAsComplete)
{
    for (const RawAnswer& answer : { RawAnswer { "id: 1\n\nid: 2\nda", RawEnding::Close },
             RawAnswer { "id: 1\n\n", RawEnding::Reset }, RawAnswer { "id: 1\n\nid: 2\nda", RawEnding::Reset } }) {
        this->started = answer;
        EXPECT_EQ(this->bodyOf("/stream/x"), "cut off");
    }
}

// A route whose streams may not be resumed: a new run would repeat its events.
TEST_F(ServingGatewayAnswerWithoutLengthTest, BrokenStreamOfARouteWithoutResumptionIsNotRunAgain)
{
    this->addSecondTarget();
    ServingConfiguration values = this->view.configuration()->values;
    values.version = 2;
    values.routes[2].isResumable = false;
    this->view.install(std::move(values));
    this->started.bytes = "id: 1\n\nid: 2\nda";
    EXPECT_EQ(this->bodyOf("/stream/x"), "cut off");
    EXPECT_EQ(this->attempts(), 1U);
}

}
}
