#include "standins/StoreStandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gmock/gmock.h>

#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "platform/StoreInstanceList.h"
#include "platform/StoreLog.h"

namespace marigoldpaddle::standins {
namespace {

using namespace std::chrono_literals;
using ::testing::ElementsAre;
using ::testing::SizeIs;
namespace asio = boost::asio;

// Tests the stand-in through the store clients of the platform adapter, over loopback.
class StoreStandinTest : public ::testing::Test {
protected:
    StoreStandinTest()
        : address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
        , client(this->context.get_executor())
        , log(this->client, this->address, "topic", 5s)
        , keyed(this->client, this->address, 5s)
        , instances(this->keyed, this->records)
    {
    }

    template <typename Value>
    static asio::awaitable<void> storeResult(asio::awaitable<Value> operation, std::optional<Value>& result)
    {
        result = co_await std::move(operation);
    }

    template <typename Value> Value run(asio::awaitable<Value> operation)
    {
        std::optional<Value> result;
        asio::co_spawn(this->context, storeResult(std::move(operation), result), asio::detached);
        while (!result)
            this->context.run_one();
        return std::move(*result);
    }

    std::vector<std::string> recordsFrom(std::uint64_t offset)
    {
        const auto page = this->run(this->log.read(offset, 1000, Duration::zero()));
        std::vector<std::string> texts;
        if (!page)
            return texts;
        for (const auto& record : page.value().records)
            texts.push_back(record.data);
        return texts;
    }

    asio::io_context context { 1 };
    StoreStandin store { this->context, 3 };
    HttpServer server { this->context, this->store };
    std::string address;
    HttpClient client;
    platform::StoreLog log;
    platform::StoreClient keyed;
    platform::RecordFormat records;
    platform::StoreInstanceList instances;
};

TEST_F(StoreStandinTest, AppendedRecordsAreReadInOrderWithTheirOffsets)
{
    EXPECT_EQ(this->run(this->log.append("one")).value(), 0U);
    EXPECT_EQ(this->run(this->log.append(std::string("\0two", 4))).value(), 1U);
    EXPECT_THAT(this->recordsFrom(0), ElementsAre("one", std::string("\0two", 4)));
    EXPECT_THAT(this->recordsFrom(1), SizeIs(1));
}

TEST_F(StoreStandinTest, ReadBelowTheFirstKeptOffsetIsTrimmedAndPagesGiveTheBounds)
{
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(this->run(this->log.append("record")));
    EXPECT_EQ(this->run(this->log.read(0, 10, Duration::zero())).error(), PlatformError::Trimmed);
    const auto page = this->run(this->log.read(1'000'000, 10, Duration::zero()));
    EXPECT_EQ(page.value().firstKept, 2U);
    EXPECT_EQ(page.value().next, 5U);
}

TEST_F(StoreStandinTest, RecordAboveTheSizeLimitIsRejected)
{
    EXPECT_EQ(this->run(this->log.append(std::string(262'145, 'x'))).error(), PlatformError::Rejected);
}

TEST_F(StoreStandinTest, LongPollCompletesWithTheNextRecord)
{
    std::optional<PlatformResult<LogPage>> page;
    asio::co_spawn(this->context, storeResult(this->log.read(0, 10, 10s), page), asio::detached);
    EXPECT_TRUE(this->run(this->log.append("late")));
    while (!page)
        this->context.run_one();
    EXPECT_THAT(page->value().records, SizeIs(1));
}

TEST_F(StoreStandinTest, AppendWithLostAnswerTakesEffect)
{
    this->store.faults.dropAppendAnswers = 1;
    EXPECT_EQ(this->run(this->log.append("lost answer")).error(), PlatformError::NoAnswer);
    EXPECT_THAT(this->recordsFrom(0), ElementsAre("lost answer"));
}

TEST_F(StoreStandinTest, CallsFailWhileTheStoreIsDown)
{
    this->store.faults.isLogDown = true;
    EXPECT_EQ(this->run(this->log.append("never")).error(), PlatformError::Rejected);
    this->store.faults.areNewestReadsDown = true;
    EXPECT_EQ(this->run(this->keyed.newest(KeyedStream::Targets)).error(), PlatformError::Rejected);
}

TEST_F(StoreStandinTest, NewestRecordOfEachKeyIsListedAcrossPagesAfterTheLogIsTrimmed)
{
    for (int i = 0; i < 700; ++i)
        this->store.put("keyed.servers", "server-" + std::to_string(i), "first");
    this->store.put("keyed.servers", "server-7", "second");
    this->store.put("keyed.servers", "server-8", "");
    const auto page = this->run(this->keyed.newest(KeyedStream::Targets));
    ASSERT_TRUE(page);
    EXPECT_THAT(page.value().records, SizeIs(699));
    EXPECT_EQ(page.value().next, 702U);
    const auto changes = this->run(this->keyed.changes(KeyedStream::Targets, 700, Duration::zero()));
    ASSERT_THAT(changes.value().records, SizeIs(2));
    EXPECT_EQ(changes.value().records[0].value, "second");
    EXPECT_FALSE(changes.value().records[1].value);
}

TEST_F(StoreStandinTest, AppendToTopicOfOperatorsIsRejected)
{
    platform::StoreLog foreign { this->client, this->address, "keyed.op", 5s };
    EXPECT_EQ(this->run(foreign.append("anything")).error(), PlatformError::Rejected);
}

TEST_F(StoreStandinTest, InstanceListCombinesInstancesTargetsAndEngineCapacities)
{
    this->store.put("keyed.op", "config",
        R"({"version":1,"services":[{"name":"model","engine":{"slots":16,"kvCapacity":450000}},{"name":"orders"}]})");
    this->store.put("keyed.instances", "instance-1",
        R"({"zone":"a","dispatcher":"127.0.0.1:1","membership":"127.0.0.1:2","born":7})");
    this->store.put("keyed.instances", "broken", "{");
    this->store.put(
        "keyed.servers", "engine-1", R"({"service":"model","address":"127.0.0.1:3","zone":"a","state":"draining"})");
    this->store.put(
        "keyed.servers", "orders-1", R"({"service":"orders","address":"127.0.0.1:4","zone":"b","state":"ready"})");
    const auto listing = this->run(this->instances.list());
    ASSERT_TRUE(listing);
    ASSERT_THAT(listing.value().instances, SizeIs(1));
    EXPECT_EQ(listing.value().instances[0].incarnation, 7U);
    ASSERT_THAT(listing.value().targets, SizeIs(2));
    EXPECT_EQ(listing.value().targets[0].kind, TargetKind::Engine);
    EXPECT_EQ(listing.value().targets[0].memoryTokens, 450'000U);
    EXPECT_TRUE(listing.value().targets[0].isLeaving);
    EXPECT_EQ(listing.value().targets[1].kind, TargetKind::Service);
}

}
}
