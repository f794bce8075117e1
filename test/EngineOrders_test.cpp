#include <marigoldpaddle/EngineOrders.h>

#include <gmock/gmock.h>

using namespace marigoldpaddle;
using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

namespace {

// An engine that receives orders. One that does not check fencing tokens carries out every order.
struct OrderedEngine {
    bool checksFencing { true };
    std::string version { "1" };
    std::uint64_t fence { 0 };

    OrderOutcome execute(const EngineOrder& order)
    {
        if (this->checksFencing && order.fence < this->fence)
            return OrderOutcome::Fenced;
        this->fence = std::max(this->fence, order.fence);
        this->version = order.version;
        return OrderOutcome::CarriedOut;
    }
};

class EngineOrdersTest : public testing::Test {
protected:
    std::vector<EngineOrder> decide()
    {
        return this->orders.decide(this->clock.now());
    }

    ManualClock clock;
    EngineOrders orders { 1 };
};

TEST_F(EngineOrdersTest, EngineWithTheRequestedVersionReceivesNoOrder)
{
    this->orders.setIntent({ "1", 10 });
    this->orders.noteReport("engine-1", "1");
    EXPECT_THAT(this->decide(), IsEmpty());
}

TEST_F(EngineOrdersTest, OrdersAreIssuedToOneEngineAtATime)
{
    this->orders.setIntent({ "2", 10 });
    this->orders.noteReport("engine-1", "1");
    this->orders.noteReport("engine-2", "1");
    EXPECT_THAT(this->decide(), ElementsAre(EngineOrder { "engine-1", "2", 10 }));
    EXPECT_THAT(this->decide(), IsEmpty());
    this->orders.noteReport("engine-1", "2");
    EXPECT_THAT(this->decide(), ElementsAre(EngineOrder { "engine-2", "2", 10 }));
}

TEST_F(EngineOrdersTest, UnansweredOrderIsRepeatedAfterADelayUnlessAReportShowsTheVersion)
{
    this->orders.setIntent({ "2", 10 });
    this->orders.noteReport("engine-1", "1");
    const auto issued = this->decide();
    this->orders.noteOutcome(issued.front(), OrderOutcome::Unknown, this->clock.now());
    EXPECT_THAT(this->decide(), IsEmpty());
    this->clock.advance(6s);
    EXPECT_EQ(this->decide(), issued);
    this->orders.noteOutcome(issued.front(), OrderOutcome::Unknown, this->clock.now());
    this->orders.noteReport("engine-1", "2");
    this->clock.advance(1h);
    EXPECT_THAT(this->decide(), IsEmpty());
}

TEST_F(EngineOrdersTest, IntentWithALowerFencingTokenIsIgnored)
{
    this->orders.setIntent({ "3", 20 });
    this->orders.setIntent({ "2", 10 });
    this->orders.noteReport("engine-1", "1");
    EXPECT_THAT(this->decide(), ElementsAre(EngineOrder { "engine-1", "3", 20 }));
}

class FaultsEngineOrdersTest : public testing::TestWithParam<bool> { };

// An owner decides on an order, is paused, and sends it after the next owner has carried out a later intent. Without
// fencing or reconciliation the engine would keep running the outdated version.
TEST_P(FaultsEngineOrdersTest, LateOrderOfAPausedOwnerHasNoLastingEffect)
{
    ManualClock clock;
    OrderedEngine engine { this->GetParam() };
    EngineOrders paused { 1 };
    paused.setIntent({ "2", 10 });
    paused.noteReport("engine-1", engine.version);
    const auto late = paused.decide(clock.now());
    ASSERT_EQ(late.size(), 1U);
    EngineOrders present { 1 };
    present.setIntent({ "3", 20 });
    for (int second = 0; second < 60; ++second) {
        present.noteReport("engine-1", engine.version);
        for (const auto& order : present.decide(clock.now()))
            present.noteOutcome(order, engine.execute(order), clock.now());
        if (second == 10)
            paused.noteOutcome(late.front(), engine.execute(late.front()), clock.now());
        clock.advance(1s);
    }
    EXPECT_EQ(engine.version, "3");
}

INSTANTIATE_TEST_SUITE_P(Engines, FaultsEngineOrdersTest, testing::Bool(),
    [](const auto& row) { return std::string { row.param ? "CheckingFencing" : "NotCheckingFencing" }; });

}
