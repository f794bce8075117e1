#include "platform/StoreClient.h"

#include <deque>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <gtest/gtest.h>

#include "DrippingServer.h"
#include "RawServer.h"
#include "base/HttpServer.h"
#include "platform/LogFormat.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

// Answers calls with given bodies and keeps what was asked for.
class ScriptedStore final : public HttpHandler {
public:
    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        this->targets.emplace_back(exchange.request().target());
        auto response = makeResponse(200, "application/json", this->bodies.front());
        this->bodies.pop_front();
        co_await exchange.respond(std::move(response));
    }

    HttpResponse makeFaultResponse(HttpFault) override
    {
        return makeResponse(400, "application/json", {});
    }

    std::deque<std::string> bodies;
    std::vector<std::string> targets;
};

// One record of another writer that cannot be read made every read of the list fail, or ended the coroutine that reads
// by an exception. The other records must be returned.
class StoreClientTest : public ::testing::Test {
protected:
    StoreClientTest()
        : address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
    {
    }

    // Runs a call to its end. An exception that leaves the call is thrown here.
    PlatformResult<KeyedPage> run(asio::awaitable<PlatformResult<KeyedPage>> call)
    {
        std::optional<PlatformResult<KeyedPage>> result;
        std::exception_ptr thrown;
        const auto await = [&]() -> asio::awaitable<void> {
            auto page = co_await std::move(call);
            result.emplace(std::move(page));
        };
        asio::co_spawn(this->context, await(), [&](std::exception_ptr failure) { thrown = failure; });
        this->context.restart();
        while (!result && !thrown)
            this->context.run_one();
        if (thrown)
            std::rethrow_exception(thrown);
        return std::move(*result);
    }

    PlatformResult<KeyedPage> listing(const std::string& body)
    {
        this->store.bodies.push_back(body);
        return this->run(this->client.newestPart(KeyedStream::Targets, {}));
    }

    PlatformResult<KeyedPage> changes(const std::string& records)
    {
        this->store.bodies.push_back(encodeOffsets(9, 0) + records);
        return this->run(this->client.changes(KeyedStream::Targets, 5, 0s));
    }

    static std::string encodeOffsets(std::uint64_t end, std::uint64_t first)
    {
        return platform::encodeOffsets(end, first);
    }

    asio::io_context context { 1 };
    ScriptedStore store;
    HttpServer server { this->context, this->store };
    std::string address;
    HttpClient http { this->context.get_executor() };
    platform::StoreClient client { this->http, this->address, 10s };
};

TEST_F(StoreClientTest, ListingWithAValueThatCannotBeReadReturnsTheOtherRecords)
{
    for (const auto* odd : { "7", "null", "[[[]]]", "\"&&&&\"", "\"YQ\"", "{}" }) {
        const auto page = this->listing(R"({"items":[{"key":"a","value":"YQ=="},{"key":"odd","value":)"
            + std::string { odd } + R"(},{"key":"z","value":"eg=="}],"hasMore":false,"endOffset":9})");
        ASSERT_TRUE(page) << odd << ": " << name(page.error());
        ASSERT_EQ(page.value().records.size(), 3U) << odd;
        EXPECT_EQ(page.value().records[0].value, "a") << odd;
        EXPECT_EQ(page.value().records[1].key, "odd") << odd;
        EXPECT_EQ(page.value().records[1].value, "") << odd;
        EXPECT_EQ(page.value().records[2].value, "z") << odd;
    }
}

TEST_F(StoreClientTest, ListingWithAKeyThatIsNoTextReturnsTheOtherRecords)
{
    const auto page = this->listing("{\"items\":[{\"key\":\"a\",\"value\":\"YQ==\"},{\"key\":\"o\xff\xfe\",\"value\":"
                                    "\"YQ==\"}],\"hasMore\":false,\"endOffset\":9}");
    ASSERT_TRUE(page) << name(page.error());
    EXPECT_EQ(page.value().records.front().key, "a");
}

TEST_F(StoreClientTest, ListingWithAnEndThatIsNoOffsetIsMalformed)
{
    for (const auto* end : { "1e300", "-1", "1.5", "18446744073709551616", "\"9\"" }) {
        std::optional<PlatformResult<KeyedPage>> page;
        ASSERT_NO_THROW(page = this->listing(R"({"items":[],"endOffset":)" + std::string { end } + '}')) << end;
        EXPECT_FALSE(*page) << end;
    }
}

TEST_F(StoreClientTest, ChangeThatIsTooShortForItsKeyIsSkipped)
{
    const auto page = this->changes(platform::encodeRecord(platform::encodeKeyed("a", "1"))
        + platform::encodeRecord("\xff too short") + platform::encodeRecord("")
        + platform::encodeRecord(platform::encodeKeyed("z", "2")));
    ASSERT_TRUE(page) << name(page.error());
    EXPECT_EQ(page.value().next, 9U);
    EXPECT_EQ(page.value().records.front().key, "a");
    EXPECT_EQ(page.value().records.back().key, "z");
}

// The last key of a part is repeated in the query of the next call.
TEST_F(StoreClientTest, KeyWithReservedCharactersIsEncodedInTheQuery)
{
    this->store.bodies.push_back(R"({"items":[],"endOffset":0})");
    const auto page = this->run(this->client.newestPart(KeyedStream::Targets, "a b&part=7#\r\n%\xff/-._~Z9"));
    EXPECT_TRUE(page);
    ASSERT_EQ(this->store.targets.size(), 1U);
    EXPECT_TRUE(this->store.targets.front().ends_with("&after=a%20b%26part%3D7%23%0D%0A%25%FF%2F-._~Z9"))
        << this->store.targets.front();
}

// Two stores, of which the client is told the second address while it waits for the first.
class StoreClientMovedStoreTest : public StoreClientTest {
protected:
    ScriptedStore newStore;
    HttpServer newServer { this->context, this->newStore };
    std::string newAddress { "127.0.0.1:" + std::to_string(this->newServer.listen("127.0.0.1:0")) };
};

// A reload changed the address. The instance went on to ask the old store, and acted on its last configuration.
TEST_F(StoreClientMovedStoreTest, NextCallGoesToTheNewAddress)
{
    this->client.setAddress(this->newAddress);
    this->newStore.bodies.push_back(R"({"items":[],"endOffset":0})");
    EXPECT_TRUE(this->run(this->client.newestPart(KeyedStream::Targets, {})));
    EXPECT_EQ(this->newStore.targets.size(), 1U);
    EXPECT_TRUE(this->store.targets.empty());
}

TEST_F(StoreClientMovedStoreTest, LongPollAtTheOldAddressEndsAtOnce)
{
    const testing::DrippingServer silent { this->context, "", "", 10ms };
    platform::StoreClient client { this->http, silent.address(), 10s };
    asio::steady_timer timer { this->context, 50ms };
    timer.async_wait([&](const boost::system::error_code&) { client.setAddress(this->newAddress); });
    const auto page = this->run(client.changes(KeyedStream::Targets, 5, 30s));
    ASSERT_FALSE(page);
    EXPECT_EQ(page.error(), PlatformError::NoAnswer);
}

// Offsets of one store mean nothing at another one, which may hold other records under them.
TEST_F(StoreClientMovedStoreTest, ChangesAreReadFromAListingAtTheNewAddress)
{
    this->client.setAddress(this->newAddress);
    for (int call = 0; call < 2; ++call) {
        const auto page = this->run(this->client.changes(KeyedStream::Targets, 5, 0s));
        ASSERT_FALSE(page);
        EXPECT_EQ(page.error(), PlatformError::Trimmed);
    }
    this->newStore.bodies.push_back(R"({"items":[],"endOffset":3})");
    ASSERT_TRUE(this->run(this->client.newestPart(KeyedStream::Targets, {})));
    this->newStore.bodies.push_back(encodeOffsets(3, 0));
    EXPECT_TRUE(this->run(this->client.changes(KeyedStream::Targets, 3, 0s)));
}

// Such an answer ended the process that read it: all instances at once, also while they start.
TEST_F(StoreClientTest, AnswerWithATrailerFieldOfManyBytesFailsAndTheNextOneIsRead)
{
    testing::RawServer odd { this->context,
        [](const HttpRequest&) {
            const std::string listing = R"({"items":[],"endOffset":3})";
            return testing::RawAnswer { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n" + listing
                + "\r\n0\r\nX-Odd: " + std::string(70'000, 'o') + "\r\n\r\n" };
        } };
    this->client.setAddress(odd.address());
    EXPECT_FALSE(this->run(this->client.newestPart(KeyedStream::Targets, {})));
    this->client.setAddress(this->address);
    EXPECT_TRUE(this->listing(R"({"items":[],"endOffset":3})"));
}

// The store limits the size of an answer. Its reader took the first part for all changes.
TEST_F(StoreClientTest, ChangesSayWhetherOthersFollow)
{
    const auto record = platform::encodeRecord(platform::encodeKeyed("a", "b"));
    const auto part = this->changes(record + record);
    ASSERT_TRUE(part);
    EXPECT_EQ(part.value().next, 7U);
    EXPECT_TRUE(part.value().hasMore);
    const auto all = this->changes(record + record + record + record);
    ASSERT_TRUE(all);
    EXPECT_EQ(all.value().next, 9U);
    EXPECT_FALSE(all.value().hasMore);
}

}
}
