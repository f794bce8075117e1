#include "serving/ViewFollower.h"

#include <gtest/gtest.h>

#include "base/HttpServer.h"
#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "standins/StoreStandin.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

class CountingAudience final : public ViewAudience {
public:
    std::size_t readerRank() const override
    {
        return this->rank;
    }

    void configurationInstalled() override { }

    void evacuationChanged() override
    {
        ++this->changes;
    }

    void targetsRead(std::span<const KeyedRecord>) override { }

    std::size_t rank { 0 };
    unsigned changes { 0 };
};

// A follower that reads the stand-in of the store over loopback, and targets in the zones a and b.
class ViewFollowerEvacuationTest : public ::testing::Test {
protected:
    static constexpr Duration Bound = 400ms;

    ViewFollowerEvacuationTest()
        : address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
        , follower(this->context, this->clock, this->keyed, this->records, this->view, this->log, this->metrics,
              { Bound, Bound, 20ms }, std::mt19937_64 { 1 })
    {
        this->configure(1);
        for (const std::string zone : { "a", "b" }) {
            TargetDescription target;
            target.name = "target-" + zone;
            target.serves = "engines";
            target.address = "10.0.0.9:80";
            target.availabilityZone = zone;
            target.incarnation = 5;
            this->store.registerEngine(target);
        }
    }

    void configure(std::uint64_t version)
    {
        this->store.put("keyed.op", "config",
            R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[{"name":"engines"}]})");
    }

    void evacuate(const std::string& zone, const std::string& value = "{}")
    {
        this->store.put("keyed.op", "evacuate/" + zone, value);
    }

    void start()
    {
        this->follower.start(this->audience);
        ASSERT_TRUE(this->runUntil([this] { return this->view.configuration() && this->view.targets.size() == 2; }));
    }

    bool runUntil(const std::function<bool()>& condition, Duration limit = 20s)
    {
        const auto end = this->clock.now() + limit;
        while (!condition() && this->clock.now() < end) {
            this->context.restart();
            this->context.run_for(2ms);
        }
        return condition();
    }

    bool waitForAvailable(std::size_t count)
    {
        return this->runUntil([&] { return this->view.targets.available("engines").size() == count; });
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    standins::StoreStandin store { this->context, 1000 };
    HttpServer server { this->context, this->store };
    std::string address;
    HttpClient client { this->context.get_executor() };
    platform::StoreClient keyed { this->client, this->address, 1s };
    platform::RecordFormat records;
    ServingView view;
    EventLog log { this->clock, { "test", 0, 64 } };
    MetricsRegistry metrics;
    CountingAudience audience;
    ViewFollower follower;
};

TEST_F(ViewFollowerEvacuationTest, TargetsOfAnEvacuatedZoneGetNoWorkUntilItIsTakenBack)
{
    this->start();
    this->evacuate("a");
    EXPECT_TRUE(this->waitForAvailable(1));
    EXPECT_EQ(this->view.targets.available("engines").front()->availabilityZone, "b");
    EXPECT_EQ(this->audience.changes, 1U) << "peers are told at once";
    this->store.put("keyed.op", "evacuate/a", {});
    EXPECT_TRUE(this->waitForAvailable(2));
    EXPECT_EQ(this->audience.changes, 2U);
}

// Guards against an instance that starts in the middle of an evacuation and sends to the zone.
TEST_F(ViewFollowerEvacuationTest, InstanceThatStartsDuringAnEvacuationKnowsOfItWithItsFirstConfiguration)
{
    this->evacuate("a");
    this->follower.start(this->audience);
    ASSERT_TRUE(this->runUntil([this] { return this->view.configuration() != nullptr; }));
    EXPECT_EQ(this->follower.summary(this->clock.bootTime()).evacuatedZones, ZoneNames { "a" });
}

TEST_F(ViewFollowerEvacuationTest, ValueThatCannotBeReadEvacuatesTheZoneAsWell)
{
    this->start();
    this->evacuate("a", "\xff garbage");
    EXPECT_TRUE(this->waitForAvailable(1));
}

TEST_F(ViewFollowerEvacuationTest, AllZonesAreEvacuatedAtOnce)
{
    this->start();
    this->evacuate("a");
    this->evacuate("b");
    EXPECT_TRUE(this->waitForAvailable(0));
    EXPECT_TRUE(this->view.targets.hasEvacuatedTargets("engines"));
}

// Guards against a later configuration, whose installation makes the follower list all records anew.
TEST_F(ViewFollowerEvacuationTest, EvacuationOutlastsNewConfigurations)
{
    this->start();
    this->evacuate("a");
    ASSERT_TRUE(this->waitForAvailable(1));
    this->configure(2);
    ASSERT_TRUE(this->runUntil([this] { return this->view.version() == 2; }));
    EXPECT_EQ(this->view.targets.available("engines").size(), 1U);
    EXPECT_EQ(this->audience.changes, 1U);
}

// Most instances never read the store: the reader of their zone does.
TEST_F(ViewFollowerEvacuationTest, InstanceLearnsOfAnEvacuationFromAPeer)
{
    this->start();
    auto peer = this->follower.summary(this->clock.bootTime());
    ASSERT_TRUE(peer.operatorOffset);
    ++*peer.operatorOffset;
    peer.evacuatedZones = { "b" };
    this->follower.applyPeerView(peer, {});
    EXPECT_EQ(this->view.targets.available("engines").size(), 1U);
    auto older = peer;
    --*older.operatorOffset;
    older.evacuatedZones = {};
    this->follower.applyPeerView(older, {});
    EXPECT_EQ(this->view.targets.available("engines").size(), 1U) << "an older notice takes nothing back";
    EXPECT_EQ(this->audience.changes, 0U) << "every instance would tell every other";
}

// Guards against an instance that relies on a peer of an earlier build, which does not follow evacuations, for the age
// of the operator's records, and therefore does not read them itself.
TEST_F(ViewFollowerEvacuationTest, PeerThatDoesNotFollowEvacuationsConfirmsNothing)
{
    this->start();
    auto peer = this->follower.summary(this->clock.bootTime());
    peer.configurationAge = Duration::zero();
    const auto later = this->clock.bootTime() + 1s;
    const auto age = this->view.configurationAge(later);
    peer.operatorOffset.reset();
    this->follower.applyPeerView(peer, {});
    EXPECT_EQ(this->view.configurationAge(later), age);
}

}
}
