#include "gateway/ServiceTargetSelector.h"

#include <gmock/gmock.h>

using namespace marigoldpaddle;

namespace {

class ServiceTargetSelectorTest : public ::testing::Test {
protected:
    std::string chosen(const std::vector<std::string>& excluded = {})
    {
        const auto index = this->selector.select(this->targets, "orders", excluded, this->random);
        return index == this->targets.size() ? std::string {} : this->targets[index].name;
    }

    std::vector<ServiceTarget> targets {
        { "far", "orders", "127.0.0.1:1", "zone-b" },
        { "near-1", "orders", "127.0.0.1:2", "zone-a" },
        { "near-2", "orders", "127.0.0.1:3", "zone-a" },
        { "bells", "bells", "127.0.0.1:4", "zone-a" },
    };
    ServiceTargetSelector selector { "zone-a" };
    std::mt19937_64 random { 1 };
};

TEST_F(ServiceTargetSelectorTest, TargetInSameZoneWithFewestInFlightCallsIsChosen)
{
    this->selector.callStarted("near-1");
    EXPECT_EQ(this->chosen(), "near-2");
    this->selector.callStarted("near-2");
    this->selector.callStarted("near-2");
    EXPECT_EQ(this->chosen(), "near-1");
}

TEST_F(ServiceTargetSelectorTest, TargetInOtherZoneIsChosenIfAllInSameZoneAreExcluded)
{
    EXPECT_EQ(this->chosen({ "near-1", "near-2" }), "far");
    EXPECT_EQ(this->chosen({ "near-1", "near-2", "far" }), "");
}

TEST_F(ServiceTargetSelectorTest, EndedCallIsNotInFlight)
{
    this->selector.callStarted("near-1");
    this->selector.callEnded("near-1");
    this->selector.callEnded("near-1");
    EXPECT_EQ(this->selector.inFlight("near-1"), 0u);
}

TEST_F(ServiceTargetSelectorTest, TiesAreDistributedOverTargets)
{
    std::map<std::string, int> counts;
    for (int call = 0; call < 1000; ++call)
        ++counts[this->chosen()];
    EXPECT_GT(counts["near-1"], 400);
    EXPECT_GT(counts["near-2"], 400);
}

}
