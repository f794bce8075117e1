#include "serving/ViewFollower.h"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include "platform/RecordFormat.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

std::string registration(const std::string& state = "ready", const std::string& slots = "16")
{
    return R"({"service":"engines","address":"10.0.0.9:80","zone":"a","state":")" + state + R"(","slots":)" + slots
        + R"(,"born":5})";
}

// A keyed topic in memory.
class MemoryStore final : public PlatformStore {
public:
    void put(std::string key, std::optional<std::string> value)
    {
        std::erase_if(this->newestRecords, [&](const KeyedRecord& record) { return record.key == key; });
        this->log.push_back({ std::move(key), std::move(value) });
        if (this->log.back().value)
            this->newestRecords.push_back(this->log.back());
    }

    asio::awaitable<PlatformResult<KeyedPage>> newest(KeyedStream stream) override
    {
        if (stream == KeyedStream::Configuration)
            co_return KeyedPage { { this->configuration }, 1, 1 };
        co_return KeyedPage { this->newestRecords, this->log.size(), 1 };
    }

    asio::awaitable<PlatformResult<KeyedPage>> newestPart(KeyedStream stream, std::string) override
    {
        if (this->throwingReads > 0) {
            --this->throwingReads;
            throw std::runtime_error { "unreadable listing" };
        }
        return this->newest(stream);
    }

    asio::awaitable<PlatformResult<KeyedPage>> changes(KeyedStream stream, std::uint64_t from, Duration wait) override
    {
        if (this->throwingReads > 0) {
            --this->throwingReads;
            throw std::runtime_error { "unreadable changes" };
        }
        if (stream == KeyedStream::Configuration) {
            asio::steady_timer timer { co_await asio::this_coro::executor, wait };
            co_await timer.async_wait(asio::use_awaitable);
            co_return KeyedPage { {}, 1, 1 };
        }
        const auto first
            = this->log.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(from, this->log.size()));
        co_return KeyedPage { { first, this->log.end() }, this->log.size(), 1 };
    }

    KeyedRecord configuration { "config", R"({"version":1,"routes":[],"services":[{"name":"engines"}]})" };
    std::vector<KeyedRecord> newestRecords;
    std::vector<KeyedRecord> log;
    unsigned throwingReads { 0 };
};

// Decodes like the platform's format, and fails by an exception on some registrations.
class ThrowingFormat final : public RecordDecoder {
public:
    std::optional<ServingConfiguration> configuration(const KeyedRecord& record, std::string& problem) const override
    {
        if (record.value && record.value->starts_with("throw"))
            throw std::length_error { "unexpected configuration" };
        return this->format.configuration(record, problem);
    }

    std::optional<TargetEntry> target(const KeyedRecord& record, std::string& problem) const override
    {
        if (record.value && record.value->starts_with("throw"))
            throw std::length_error { "unexpected registration" };
        return this->format.target(record, problem);
    }

    std::optional<ZoneEvacuation> zoneEvacuation(const KeyedRecord& record, std::string& problem) const override
    {
        return this->format.zoneEvacuation(record, problem);
    }

    std::optional<InstanceDescription> instance(const KeyedRecord& record, std::string& problem) const override
    {
        return this->format.instance(record, problem);
    }

private:
    platform::RecordFormat format;
};

class NoAudience final : public ViewAudience {
public:
    std::size_t readerRank() const override
    {
        return 0;
    }

    void configurationInstalled() override { }
    void evacuationChanged() override { }

    void targetsRead(std::span<const KeyedRecord> changes) override
    {
        this->changes.insert(this->changes.end(), changes.begin(), changes.end());
    }

    std::vector<KeyedRecord> changes;
};

// Another writer leaves an odd entry among the registrations. The instances that read the list ended or stopped
// following it: an exception ended the coroutine that reads, unseen. An entry that cannot be used must name no target,
// and nothing else may depend on it.
class FaultsOddRegistrationTest : public ::testing::Test {
protected:
    static constexpr Duration Bound = 40ms;

    // Entries that name no target.
    static std::vector<std::string> oddValues()
    {
        return { std::string(5000, '[') + std::string(5000, ']'), registration("ready", "1e300"),
            registration("ready", std::string(300, '9')), registration("asleep"), "\xff\xfe\x00", "",
            R"({"service":"engines","address":"10.0.0.9:65536","zone":"a","state":"ready","slots":16,"born":5})",
            R"({"service":["engines"],"address":"10.0.0.9:80","zone":"a","state":"ready","slots":16,"born":5})",
            R"({"address":"10.0.0.9:80","zone":"a","state":"ready","slots":16,"born":5})", std::string(256 * 1024, 'x'),
            "throw" };
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = this->clock.now() + 5s;
        while (!condition() && this->clock.now() < end) {
            this->context.restart();
            this->context.run_for(2ms);
        }
        return condition();
    }

    // Whether the follower comes to use a target that registers now.
    bool follows(const std::string& id)
    {
        this->store.put(id, registration());
        return this->runUntil([&] { return this->isAvailable(id); });
    }

    bool isAvailable(std::string_view id) const
    {
        return std::ranges::any_of(
            this->view.targets.available("engines"), [&](const TargetEntry* target) { return target->id == id; });
    }

    std::uint64_t rejected()
    {
        return this->metrics.counter("marigold_target_entries_rejected_total").value();
    }

    ViewSummary newestPeerView() const
    {
        auto peer = this->follower.summary(this->clock.bootTime());
        peer.targetsAge = 0ms;
        return peer;
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    MemoryStore store;
    ThrowingFormat format;
    ServingView view;
    EventLog log { this->clock, { "test", 0, 64 } };
    MetricsRegistry metrics;
    NoAudience audience;
    ViewFollower follower { this->context, this->clock, this->store, this->format, this->view, this->log, this->metrics,
        { Bound, Bound, 2ms }, std::mt19937_64 { 1 } };
};

TEST_F(FaultsOddRegistrationTest, ListWithOddEntriesInstallsTheOthersAndIsFollowed)
{
    this->store.put("first", registration());
    for (std::size_t number = 0; const auto& value : oddValues())
        this->store.put("odd-" + std::to_string(number++), value);
    this->store.put("last", registration());
    this->follower.start(this->audience);
    EXPECT_TRUE(this->runUntil([&] { return this->view.targets.size() > 0; }));
    EXPECT_TRUE(this->isAvailable("first"));
    EXPECT_TRUE(this->isAvailable("last"));
    EXPECT_EQ(this->view.targets.size(), 2U);
    EXPECT_TRUE(this->follows("later"));
}

TEST_F(FaultsOddRegistrationTest, OddChangesDoNotEndTheFollowing)
{
    this->store.put("first", registration());
    this->follower.start(this->audience);
    ASSERT_TRUE(this->runUntil([&] { return this->isAvailable("first"); }));
    for (std::size_t number = 0; const auto& value : oddValues()) {
        this->store.put("odd", value);
        EXPECT_TRUE(this->follows("later-" + std::to_string(number))) << value.substr(0, 80);
        ++number;
    }
    EXPECT_FALSE(this->isAvailable("odd"));
    EXPECT_TRUE(this->isAvailable("first"));
}

// The newest record of a key counts, also when it names no target: its target may have been leaving.
TEST_F(FaultsOddRegistrationTest, TargetWhoseEntryIsOverwrittenByAnOddOneIsRemovedUntilItRegistersAgain)
{
    this->store.put("first", registration());
    this->follower.start(this->audience);
    ASSERT_TRUE(this->runUntil([&] { return this->isAvailable("first"); }));
    for (std::size_t number = 0; const auto& value : oddValues()) {
        this->store.put("first", value);
        ASSERT_TRUE(this->follows("later-" + std::to_string(number)));
        EXPECT_FALSE(this->isAvailable("first")) << value.substr(0, 80);
        EXPECT_TRUE(this->follows("first")) << value.substr(0, 80);
        ++number;
    }
}

TEST_F(FaultsOddRegistrationTest, LeavingTargetWhoseEntryIsOverwrittenStaysLeaving)
{
    this->store.put("first", registration());
    this->follower.start(this->audience);
    ASSERT_TRUE(this->runUntil([&] { return this->isAvailable("first"); }));
    this->store.put("first", registration("draining"));
    ASSERT_TRUE(this->runUntil([&] { return !this->isAvailable("first"); }));
    this->store.put("first", "odd");
    ASSERT_TRUE(this->follows("second"));
    this->store.put("first", registration("ready"));
    ASSERT_TRUE(this->follows("third"));
    EXPECT_FALSE(this->isAvailable("first"));
}

TEST_F(FaultsOddRegistrationTest, OddEntryIsReportedOnceForItsContent)
{
    this->store.put("first", registration());
    this->store.put("odd", "one");
    ::testing::internal::CaptureStdout();
    EventLog lines { this->clock, { "test", 1000, 1024 } };
    ViewFollower following { this->context, this->clock, this->store, this->format, this->view, lines, this->metrics,
        { Bound, Bound, 2ms }, std::mt19937_64 { 1 } };
    following.start(this->audience);
    EXPECT_TRUE(this->runUntil([&] { return this->isAvailable("first"); }));
    for (int read = 0; read < 5; ++read) {
        this->store.put("odd", "one");
        EXPECT_TRUE(this->follows("later-" + std::to_string(read)));
    }
    auto peer = following.summary(this->clock.bootTime());
    peer.targetsAge = 0ms;
    following.installTargets(this->store.newestRecords, peer, "peer");
    EXPECT_EQ(this->rejected(), 1U);
    this->store.put("odd", "two");
    EXPECT_TRUE(this->follows("last"));
    EXPECT_EQ(this->rejected(), 2U);
    lines.close();
    const auto text = ::testing::internal::GetCapturedStdout();
    const auto count = [&](std::string_view word) {
        std::size_t found = 0;
        for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
            ++found;
        return found;
    };
    EXPECT_EQ(count("event=target_rejected"), 2U) << text;
    EXPECT_EQ(count("key=odd"), 2U) << text;
}

// Peers need what can be used. An odd entry may be of any length, and a notice of a few thousand bytes.
TEST_F(FaultsOddRegistrationTest, OddEntryIsNotPassedToPeers)
{
    this->store.put("first", registration());
    this->store.put("odd", std::string(256 * 1024, 'x'));
    this->follower.start(this->audience);
    ASSERT_TRUE(this->runUntil([&] { return this->isAvailable("first"); }));
    this->audience.changes.clear();
    this->store.put("other", std::string(256 * 1024, 'y'));
    this->store.put("first", std::string(256 * 1024, 'z'));
    ASSERT_TRUE(this->follows("second"));
    EXPECT_EQ(this->follower.targetRecords().size(), 1U);
    for (const auto& change : this->audience.changes)
        EXPECT_LT(change.value.value_or(std::string {}).size(), 1000U) << change.key;
    const auto removal = std::ranges::find(this->audience.changes, "first", &KeyedRecord::key);
    ASSERT_NE(removal, this->audience.changes.end());
    EXPECT_FALSE(removal->value);
}

// Each odd entry was announced as a removal. A notice that is too long goes without any change, without loads and
// limits, so that a change which was read together with many odd entries was not announced either.
TEST_F(FaultsOddRegistrationTest, OddEntryThatReplacesNoTargetIsNotAnnounced)
{
    this->store.put("first", registration());
    for (std::size_t number = 0; number < 1000; ++number)
        this->store.put("odd-" + std::to_string(number), "{}");
    this->follower.start(this->audience);
    ASSERT_TRUE(this->runUntil([&] { return this->isAvailable("first"); }));
    for (std::size_t number = 0; number < 1000; ++number)
        this->store.put("odd-" + std::to_string(number), "null");
    this->store.put("first", registration("draining"));
    ASSERT_TRUE(this->runUntil([&] { return !this->isAvailable("first"); }));
    EXPECT_TRUE(
        std::ranges::all_of(this->audience.changes, [](const KeyedRecord& change) { return change.key == "first"; }));
    EXPECT_EQ(this->audience.changes.size(), 2U);
}

TEST_F(FaultsOddRegistrationTest, OddEntriesInAPeersListHarmNothing)
{
    std::vector<KeyedRecord> records { { "first", registration() } };
    for (const auto& value : oddValues())
        records.push_back({ "odd-" + std::to_string(records.size()), value });
    records.push_back({ "", registration() });
    records.push_back({ std::string(300, 'k'), registration() });
    records.push_back({ "last", registration() });
    EXPECT_NO_THROW(this->follower.installTargets(records, this->newestPeerView(), "peer"));
    EXPECT_TRUE(this->isAvailable("first"));
    EXPECT_TRUE(this->isAvailable("last"));
    EXPECT_EQ(this->view.targets.size(), 2U);
}

TEST_F(FaultsOddRegistrationTest, OddEntriesInAPeersNoticeHarmNothing)
{
    this->follower.installTargets({ { "first", registration() } }, this->newestPeerView(), "peer");
    for (const auto& value : oddValues()) {
        auto peer = this->newestPeerView();
        peer.targetsDigest ^= 1;
        this->runUntil([start = this->clock.now(), this] { return this->clock.now() - start > 40ms; });
        EXPECT_NO_THROW(this->follower.applyPeerView(peer, { { "odd", value } })) << value.substr(0, 80);
        EXPECT_FALSE(this->isAvailable("odd"));
    }
    EXPECT_TRUE(this->isAvailable("first"));
}

TEST_F(FaultsOddRegistrationTest, ReadThatEndsByAnExceptionIsRepeated)
{
    this->store.put("first", registration());
    this->store.throwingReads = 3;
    this->follower.start(this->audience);
    EXPECT_TRUE(this->runUntil([&] { return this->isAvailable("first"); }));
    this->store.throwingReads = 3;
    EXPECT_TRUE(this->follows("second"));
    EXPECT_TRUE(this->follows("third"));
}

TEST_F(FaultsOddRegistrationTest, ConfigurationThatEndsDecodingByAnExceptionIsRejected)
{
    const auto count = [&] {
        return this->metrics.counter("marigold_configurations_rejected_total").value();
    };
    EXPECT_NO_THROW(this->follower.installConfiguration({ "config", "throw" }, "peer"));
    EXPECT_EQ(count(), 1U);
    this->follower.installConfiguration(this->store.configuration, "peer");
    EXPECT_EQ(this->view.version(), 1U);
}

}
}
