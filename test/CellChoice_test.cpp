#include "dispatch/CellChoice.h"

#include <gmock/gmock.h>

using namespace marigoldpaddle;

namespace {

using namespace std::chrono_literals;

class CellChoiceTest : public testing::Test {
protected:
    static CellDigest digest(const std::string& zone, std::uint32_t number, Duration wait)
    {
        return { { zone, "model", number }, 4, 0, 1'000'000, 1'200'000, wait };
    }

    std::mt19937_64 random { 1 };
    CellQuery query { "zone-a", 2'000, {}, 256 };
};

TEST_F(CellChoiceTest, EqualWaitsSelectACellOfTheOwnZone)
{
    std::vector digests { digest("zone-b", 0, 10ms), digest("zone-a", 0, 10ms), digest("zone-c", 0, 10ms) };
    EXPECT_EQ(chooseCell(digests, this->query, this->random), 1U);
}

TEST_F(CellChoiceTest, CongestedOwnZoneSelectsACellOfAnotherZone)
{
    std::vector digests { digest("zone-a", 0, 900ms), digest("zone-b", 0, 10ms) };
    EXPECT_EQ(chooseCell(digests, this->query, this->random), 1U);
}

TEST_F(CellChoiceTest, SamePrefixSelectsTheSameCellFromAnyZoneAtEqualWaits)
{
    std::vector digests { digest("zone-a", 0, 10ms), digest("zone-b", 0, 10ms), digest("zone-c", 0, 10ms) };
    std::vector<std::uint64_t> blocks { 1, 2, 3, 4, 5 };
    this->query.prefixBlocks = blocks;
    auto first = chooseCell(digests, this->query, this->random);
    this->query.availabilityZone = "zone-c";
    EXPECT_EQ(chooseCell(digests, this->query, this->random), first);
}

TEST_F(CellChoiceTest, PromptLargerThanEveryCellSelectsNone)
{
    std::vector digests { digest("zone-a", 0, 10ms) };
    this->query.tokens = 2'000'000;
    EXPECT_EQ(chooseCell(digests, this->query, this->random), std::nullopt);
}

TEST_F(CellChoiceTest, CellWithoutLiveTargetsIsNotSelected)
{
    std::vector digests { digest("zone-a", 0, 0ms), digest("zone-b", 0, 500ms) };
    digests[0].liveTargets = 0;
    EXPECT_EQ(chooseCell(digests, this->query, this->random), 1U);
}

}
