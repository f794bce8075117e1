#include <map>

#include <gtest/gtest.h>

#include "platform/HeaderFormat.h"
#include "platform/RecordFormat.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace http = boost::beast::http;

class HeaderFormatTest : public testing::Test {
protected:
    HeaderFormatTest()
    {
        this->request.method(http::verb::post);
        this->request.target("/p/q?r=1");
        this->request.version(11);
        this->request.set("Host", "a.example");
        this->request.set("Marigoldpaddle-Attempt-Id", "9c41");
        this->request.set("Marigoldpaddle-Token-Usage", "1460,80");
        this->request.set("Marigoldpaddle-Prompt-Prefix", "5c1e:800,91bd:660");
        this->request.set("Marigoldpaddle-Deadline-Remaining", "10000");
        this->request.set("Authorization", "Token secret");
        this->request.set("X-Own", "kept");
        this->request.body() = "body";
        this->request.content_length(4);
    }

    platform::HeaderFormat format;
    HttpRequest request;
    ForwardingMetadata metadata { "i-1", 9s, "workspace", 3, std::nullopt, {} };
};

TEST_F(HeaderFormatTest, CallerMetadataIsParsed)
{
    const auto metadata = this->format.callerMetadata(this->request);
    EXPECT_EQ(metadata.attemptId, "9c41");
    EXPECT_EQ(metadata.remaining, Duration { 10s });
    EXPECT_EQ(metadata.apiKey, "secret");
    ASSERT_TRUE(metadata.prompt);
    EXPECT_EQ(metadata.prompt->promptTokens, 1460);
    EXPECT_EQ(metadata.prompt->maximumOutputTokens, 80);
    EXPECT_FALSE(metadata.lastEventId);
}

TEST_F(HeaderFormatTest, LastPartOfThePromptIsNotShared)
{
    EXPECT_EQ(this->format.callerMetadata(this->request).sharedParts, std::vector<std::string> { "5c1e" });
    this->request.set("Marigoldpaddle-Prompt-Prefix", "5c1e:800, 91bd:410,e440:250");
    const std::vector<std::string> shared { "5c1e", "91bd" };
    EXPECT_EQ(this->format.callerMetadata(this->request).sharedParts, shared);
    this->request.set("Marigoldpaddle-Prompt-Prefix", "5c1e:800");
    EXPECT_TRUE(this->format.callerMetadata(this->request).sharedParts.empty());
}

TEST_F(HeaderFormatTest, MalformedNumbersCountAsAbsent)
{
    this->request.set("Marigoldpaddle-Deadline-Remaining", "soon");
    this->request.set("Marigoldpaddle-Token-Usage", "many,80");
    const auto metadata = this->format.callerMetadata(this->request);
    EXPECT_FALSE(metadata.remaining);
    EXPECT_FALSE(metadata.prompt);
}

TEST_F(HeaderFormatTest, RequestIsForwardedUnchangedExceptReservedHeaders)
{
    const auto sent = this->format.makeTargetRequest(this->request, this->metadata);
    EXPECT_EQ(sent.method(), http::verb::post);
    EXPECT_EQ(sent.target(), "/p/q?r=1");
    EXPECT_EQ(sent.body(), "body");
    EXPECT_EQ(sent["Host"], "a.example");
    EXPECT_EQ(sent["X-Own"], "kept");
    EXPECT_EQ(sent["Marigoldpaddle-Token-Usage"], "1460,80");
    EXPECT_EQ(sent["Marigoldpaddle-Prompt-Prefix"], "5c1e:800,91bd:660");
    EXPECT_EQ(sent["Marigoldpaddle-Deadline-Remaining"], "9000");
    EXPECT_EQ(sent["Marigoldpaddle-Expect-Instance"], "i-1");
    EXPECT_EQ(sent["Marigoldpaddle-Request-Urgency"], "3");
    EXPECT_EQ(sent["Content-Length"], "4");
}

TEST_F(HeaderFormatTest, ApiKeyIsNotForwarded)
{
    const auto sent = this->format.makeTargetRequest(this->request, this->metadata);
    EXPECT_EQ(sent.find(http::field::authorization), sent.end());
}

TEST_F(HeaderFormatTest, ForgedWorkspaceIsReplaced)
{
    this->request.set("Marigoldpaddle-Tenant", "somebody-else");
    EXPECT_EQ(this->format.makeTargetRequest(this->request, this->metadata)["Marigoldpaddle-Tenant"], "workspace");
    this->metadata.workspace.clear();
    const auto sent = this->format.makeTargetRequest(this->request, this->metadata);
    EXPECT_EQ(sent.find("Marigoldpaddle-Tenant"), sent.end());
}

TEST_F(HeaderFormatTest, HopByHopHeadersAreNotForwarded)
{
    this->request.set("Connection", "close, X-Hop");
    this->request.set("X-Hop", "here");
    this->request.set("Keep-Alive", "timeout=5");
    const auto sent = this->format.makeTargetRequest(this->request, this->metadata);
    EXPECT_EQ(sent.find("X-Hop"), sent.end());
    EXPECT_EQ(sent.find("Keep-Alive"), sent.end());
}

TEST_F(HeaderFormatTest, ResumedStreamSendsItsLastEventId)
{
    this->request.set("Last-Event-Id", "3");
    this->metadata.lastEventId = 12;
    EXPECT_EQ(this->format.makeTargetRequest(this->request, this->metadata)["Last-Event-Id"], "12");
}

TEST_F(HeaderFormatTest, HelpersAreListedWithTheirReservations)
{
    this->metadata.helpers = { { "10.2.64.3:8080", "t81" }, { "10.2.64.5:8080", "" } };
    EXPECT_EQ(this->format.makeTargetRequest(this->request, this->metadata)["Marigoldpaddle-Helpers"],
        "10.2.64.3:8080/t81,10.2.64.5:8080");
}

TEST_F(HeaderFormatTest, AnswerWithNotExecutedHeaderIsRecognized)
{
    HttpResponseHeader header { http::status::service_unavailable, 11 };
    EXPECT_FALSE(this->format.responseMetadata(header).wasNotExecuted);
    header.set("Marigoldpaddle-Not-Executed", "1");
    EXPECT_TRUE(this->format.responseMetadata(header).wasNotExecuted);
}

TEST_F(HeaderFormatTest, MisdirectedAnswerIsRecognized)
{
    const HttpResponseHeader header { http::status::misdirected_request, 11 };
    EXPECT_TRUE(this->format.responseMetadata(header).isMisdirected);
    EXPECT_TRUE(this->format.responseMetadata(header).wasNotExecuted);
}

TEST_F(HeaderFormatTest, TargetThatClosesItsConnectionDoesNotLeave)
{
    HttpResponseHeader header { http::status::ok, 11 };
    header.set(http::field::connection, "close");
    EXPECT_FALSE(this->format.responseMetadata(header).isLeaving);
}

TEST_F(HeaderFormatTest, LeavingIsDecodedFromAnswersOfAnyStatus)
{
    for (const auto status :
        { http::status::ok, http::status::misdirected_request, http::status::service_unavailable }) {
        HttpResponseHeader header { status, 11 };
        header.set("server-leaving", "1");
        EXPECT_TRUE(this->format.responseMetadata(header).isLeaving) << status;
        header.set("Server-Leaving", "0");
        EXPECT_FALSE(this->format.responseMetadata(header).isLeaving) << status;
    }
}

TEST_F(HeaderFormatTest, RetryAfterIsDecodedFromStatus503Only)
{
    HttpResponseHeader header { http::status::service_unavailable, 11 };
    EXPECT_FALSE(this->format.responseMetadata(header).retryAfter);
    header.set(http::field::retry_after, "3");
    EXPECT_EQ(this->format.responseMetadata(header).retryAfter, Duration { 3s });
    header.result(http::status::too_many_requests);
    EXPECT_FALSE(this->format.responseMetadata(header).retryAfter);
}

// A value that cannot be read must neither be taken for no pause nor exclude the target for good.
TEST_F(HeaderFormatTest, UnusualRetryAfterIsBounded)
{
    const std::map<std::string, Duration> expected { { "0", 0s }, { "1.5", 1500ms }, { "", 1s }, { "-5", 1s },
        { "soon", 1s }, { "3 s", 1s }, { "inf", 1s }, { "nan", 1s }, { "1e9", 1s },
        { "Fri, 31 Dec 1999 23:59:59 GMT", 1s }, { "99999999999", LongestRetryAfter },
        { std::string(400, '9'), LongestRetryAfter } };
    for (const auto& [value, pause] : expected) {
        HttpResponseHeader header { http::status::service_unavailable, 11 };
        header.set(http::field::retry_after, value);
        EXPECT_EQ(this->format.responseMetadata(header).retryAfter, pause) << value;
    }
}

TEST_F(HeaderFormatTest, RequestLimitIsDecodedFromAnswersOfAnyStatus)
{
    for (const auto status :
        { http::status::ok, http::status::internal_server_error, http::status::service_unavailable }) {
        HttpResponseHeader header { status, 11 };
        EXPECT_FALSE(this->format.responseMetadata(header).requestLimit);
        header.set("Server-Limit", "1.4");
        EXPECT_EQ(this->format.responseMetadata(header).requestLimit, 1.4) << status;
    }
}

// A value that cannot be read must neither be taken for no limit nor exclude the target for good.
TEST_F(HeaderFormatTest, UnreadableRequestLimitIsLow)
{
    const std::map<std::string, double> expected { { "0", 0 }, { "250", 250 }, { "", 1 }, { "-5", 1 }, { "many", 1 },
        { "3 s", 1 }, { "inf", 1 }, { "nan", 1 }, { "1e9", 1 }, { std::string(400, '9'), 1 } };
    for (const auto& [value, limit] : expected) {
        HttpResponseHeader header { http::status::ok, 11 };
        header.set("Server-Limit", value);
        EXPECT_EQ(this->format.responseMetadata(header).requestLimit, limit) << value;
    }
}

TEST_F(HeaderFormatTest, RefusalHasRetryAfter)
{
    const auto answer = this->format.makeOwnResponse(503, "no_target", 300ms);
    EXPECT_EQ(answer["Retry-After"], "0.30");
    EXPECT_EQ(answer.body(), "{\"error\":\"no_target\"}");
}

class RecordFormatTest : public testing::Test {
protected:
    std::optional<ServingConfiguration> configuration(std::string document)
    {
        return this->format.configuration({ "config", std::move(document) }, this->problem);
    }

    std::optional<TargetEntry> target(std::string document)
    {
        return this->format.target({ "i-1", std::move(document) }, this->problem);
    }

    platform::RecordFormat format;
    std::string problem;
};

TEST_F(RecordFormatTest, ConfigurationIsDecoded)
{
    const auto values = this->configuration(R"({"version":7,
        "routes":[{"name":"r","host":"A.example","pathPrefix":"/p/","kind":"stream","timeoutMs":10000,
            "targetLatencyMs":300,"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],
            "maxAttempts":2,"streamResume":true,"gapTargetMs":200}],
        "services":[{"name":"s","maxConnections":274,"engine":{"slots":16,"kvCapacity":450000,"stride":46,
            "read_per_s":256000.0,"step_ms":0.925}}],
        "limits":{"maxHeaderBytes":100,"idleTimeoutMs":15000},
        "tenants":[{"name":"w","apiKeys":["k1","k2"]}]})");
    ASSERT_TRUE(values) << this->problem;
    EXPECT_EQ(values->version, 7U);
    ASSERT_EQ(values->routes.size(), 1U);
    EXPECT_EQ(values->routes[0].host, "a.example");
    EXPECT_TRUE(values->routes[0].mayRunAgain());
    EXPECT_EQ(values->routes[0].shares.size(), 2U);
    EXPECT_EQ(values->service("s")->engine->promptTokensPerMs, 256);
    EXPECT_EQ(values->limits.headerBytes, 100U);
    EXPECT_TRUE(values->requiresKeys);
    EXPECT_EQ(values->workspaceByKey.at("k2"), "w");
}

TEST_F(RecordFormatTest, UnknownRouteKindIsUnrepeatable)
{
    const auto values = this->configuration(R"({"version":1,"routes":[{"name":"r","kind":"new"}]})");
    ASSERT_TRUE(values);
    EXPECT_FALSE(values->routes[0].mayRunAgain());
}

TEST_F(RecordFormatTest, StreamThatIsNotResumableIsUnrepeatable)
{
    const auto values = this->configuration(R"({"version":1,"routes":[{"name":"r","kind":"stream"}]})");
    ASSERT_TRUE(values);
    EXPECT_FALSE(values->routes[0].mayRunAgain());
}

TEST_F(RecordFormatTest, InvalidConfigurationIsRejectedWithAReason)
{
    EXPECT_FALSE(this->configuration("{"));
    EXPECT_FALSE(this->problem.empty());
    EXPECT_FALSE(this->configuration("[]"));
    EXPECT_FALSE(this->configuration("{\"routes\":[]}"));
    EXPECT_FALSE(this->format.configuration({ "config", std::nullopt }, this->problem));
}

TEST_F(RecordFormatTest, EvacuationIsDecodedFromItsKey)
{
    std::string problem;
    const auto evacuated = this->format.zoneEvacuation({ "evacuate/zone-a", "{}" }, problem);
    ASSERT_TRUE(evacuated);
    EXPECT_EQ(evacuated->availabilityZone, "zone-a");
    EXPECT_TRUE(evacuated->isEvacuated);
    EXPECT_FALSE(this->format.zoneEvacuation({ "evacuate/zone-a", std::nullopt }, problem)->isEvacuated);
    EXPECT_FALSE(this->format.zoneEvacuation({ "config", "{}" }, problem));
    EXPECT_TRUE(problem.empty());
    EXPECT_FALSE(this->format.zoneEvacuation({ "evacuate/", "{}" }, problem));
    EXPECT_FALSE(problem.empty());
}

TEST_F(RecordFormatTest, RankOfAWorkspaceGoesBeforeThatOfTheRoute)
{
    const auto values = this->configuration(R"({"version":1,
        "routes":[{"name":"r","priority":2},{"name":"unranked"}],
        "tenants":[{"name":"first","apiKeys":["k1"],"priority":0},{"name":"second","apiKeys":["k2"]}]})");
    ASSERT_TRUE(values) << this->problem;
    EXPECT_EQ(values->rank(values->routes[0], "first"), 0U);
    EXPECT_EQ(values->rank(values->routes[0], "second"), 2U);
    EXPECT_EQ(values->rank(values->routes[1], "second"), DefaultRank);
}

TEST_F(RecordFormatTest, ColdPeriodOfAServiceIsDecoded)
{
    std::string problem;
    const auto decoded = this->format.configuration(
        { "config",
            R"({"version":1,"routes":[],"services":[{"name":"engines","coldStartS":3.0,"coldPerS":14.0},{"name":"s"}]})" },
        problem);
    ASSERT_TRUE(decoded) << problem;
    EXPECT_EQ(decoded->service("engines")->coldPeriod, 3s);
    EXPECT_EQ(decoded->service("engines")->coldRequestsPerSecond, 14);
    EXPECT_EQ(decoded->service("s")->coldRequestsPerSecond, 0);
}

TEST_F(RecordFormatTest, TargetIsDecoded)
{
    const auto entry = this->target(R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":16,
        "state":"draining","born":1784600000123,"coldRemainingMs":0})");
    ASSERT_TRUE(entry) << this->problem;
    EXPECT_EQ(entry->id, "i-1");
    EXPECT_TRUE(entry->isLeaving);
    EXPECT_EQ(entry->incarnation, 1784600000123U);
    EXPECT_EQ(entry->slots, 16U);
}

TEST_F(RecordFormatTest, InvalidRegistrationIsRejectedWithAReason)
{
    for (const auto* document : { "", "nonsense", "[]", "{}", R"({"service":7,"address":"10.0.0.9:1","state":"ready"})",
             R"({"service":"s","address":"10.0.0.9","state":"ready"})",
             R"({"service":"s","address":"10.0.0.9:1","state":"asleep"})",
             R"({"service":"s","address":"10.0.0.9:1"})" }) {
        this->problem.clear();
        EXPECT_FALSE(this->target(document)) << document;
        EXPECT_FALSE(this->problem.empty()) << document;
    }
}

}
}
