#include <marigoldpaddle/EngineOrders.h>

#include <gmock/gmock.h>

using namespace marigoldpaddle;
using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

namespace {

// An engine as far as orders go. One that does not check fencing carries out whatever comes.
struct OrderedEngine {
    bool checksFencing { true };
    std::string version { "1" };
    std::uint64_t fence { 0 };

    OrderAnswer carryOut(const EngineOrder& order)
    {
        if (this->checksFencing && order.fence < this->fence)
            return OrderAnswer::Fenced;
        this->fence = std::max(this->fence, order.fence);
        this->version = order.version;
        return OrderAnswer::CarriedOut;
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

TEST_F(EngineOrdersTest, EngineWithTheWantedVersionIsNotOrdered)
{
    this->orders.setIntent({ "1", 10 });
    this->orders.noteReport("engine-1", "1");
    EXPECT_THAT(this->decide(), IsEmpty());
}

TEST_F(EngineOrdersTest, EnginesAreOrderedOneAfterTheOther)
{
    this->orders.setIntent({ "2", 10 });
    this->orders.noteReport("engine-1", "1");
    this->orders.noteReport("engine-2", "1");
    EXPECT_THAT(this->decide(), ElementsAre(EngineOrder { "engine-1", "2", 10 }));
    EXPECT_THAT(this->decide(), IsEmpty());
    this->orders.noteReport("engine-1", "2");
    EXPECT_THAT(this->decide(), ElementsAre(EngineOrder { "engine-2", "2", 10 }));
}

TEST_F(EngineOrdersTest, OrderWithoutAnswerIsGivenAgainAfterAPauseUnlessAReportShowsIt)
{
    this->orders.setIntent({ "2", 10 });
    this->orders.noteReport("engine-1", "1");
    const auto given = this->decide();
    this->orders.noteAnswer(given.front(), OrderAnswer::Unknown, this->clock.now());
    EXPECT_THAT(this->decide(), IsEmpty());
    this->clock.advance(6s);
    EXPECT_EQ(this->decide(), given);
    this->orders.noteAnswer(given.front(), OrderAnswer::Unknown, this->clock.now());
    this->orders.noteReport("engine-1", "2");
    this->clock.advance(1h);
    EXPECT_THAT(this->decide(), IsEmpty());
}

TEST_F(EngineOrdersTest, IntentWithALowerFenceIsIgnored)
{
    this->orders.setIntent({ "3", 20 });
    this->orders.setIntent({ "2", 10 });
    this->orders.noteReport("engine-1", "1");
    EXPECT_THAT(this->decide(), ElementsAre(EngineOrder { "engine-1", "3", 20 }));
}

class FaultsEngineOrdersTest : public testing::TestWithParam<bool> { };

// An owner decides an order, is paused, and sends it after the next owner has carried out a later intent.
TEST_P(FaultsEngineOrdersTest, LateOrderOfAPausedOwnerDoesNotStand)
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
            present.noteAnswer(order, engine.carryOut(order), clock.now());
        if (second == 10)
            paused.noteAnswer(late.front(), engine.carryOut(late.front()), clock.now());
        clock.advance(1s);
    }
    EXPECT_EQ(engine.version, "3");
}

INSTANTIATE_TEST_SUITE_P(Engines, FaultsEngineOrdersTest, testing::Bool(),
    [](const auto& row) { return std::string { row.param ? "CheckingFencing" : "NotCheckingFencing" }; });

}
