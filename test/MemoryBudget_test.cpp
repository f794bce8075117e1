#include "base/MemoryBudget.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Kilobyte = 1024;

class MemoryBudgetTest : public testing::Test {
protected:
    struct Client {
        explicit Client(MemoryBudget& budget)
            : holding(budget, [this] { ++this->reclaims; })
        {
        }

        unsigned reclaims { 0 };
        MemoryBudget::Holding holding;
    };

    bool grow(Client& client, std::size_t bytes)
    {
        client.holding.setReclaimable(true, this->now);
        return client.holding.resize(bytes, this->now);
    }

    TimePoint now { 100s };
    MemoryBudget budget { 400 * Kilobyte };
    Client first { this->budget };
    Client second { this->budget };
    Client third { this->budget };
};

TEST_F(MemoryBudgetTest, BytesCountUntilTheyAreGivenBack)
{
    EXPECT_TRUE(this->grow(this->first, 200 * Kilobyte));
    EXPECT_EQ(this->budget.used(), 200 * Kilobyte);
    {
        Client fourth { this->budget };
        EXPECT_TRUE(this->grow(fourth, 10 * Kilobyte));
    }
    EXPECT_EQ(this->budget.used(), 200 * Kilobyte);
    EXPECT_TRUE(this->first.holding.resize(0, this->now));
    EXPECT_EQ(this->budget.used(), 0U);
}

// Guards against a crowd of clients that stop short of the end of their requests and keep the memory.
TEST_F(MemoryBudgetTest, ClientWithoutProgressIsReclaimedForOneThatSends)
{
    EXPECT_TRUE(this->grow(this->first, 250 * Kilobyte));
    this->now += 1s;
    EXPECT_TRUE(this->grow(this->second, 200 * Kilobyte));
    EXPECT_EQ(this->first.reclaims, 1U);
    EXPECT_EQ(this->first.holding.bytes(), 0U);
    EXPECT_EQ(this->second.reclaims, 0U);
    EXPECT_EQ(this->budget.used(), 200 * Kilobyte);
}

TEST_F(MemoryBudgetTest, ClientThatHoldsMostForLongestIsReclaimedFirst)
{
    EXPECT_TRUE(this->grow(this->first, 100 * Kilobyte));
    EXPECT_TRUE(this->grow(this->second, 150 * Kilobyte));
    this->now += 1s;
    EXPECT_TRUE(this->grow(this->third, 150 * Kilobyte));
    EXPECT_EQ(this->first.reclaims, 0U);
    EXPECT_EQ(this->second.reclaims, 1U);
}

// Guards against callers whose requests arrive in pieces, and that are cut off for each other.
TEST_F(MemoryBudgetTest, ClientThatHasJustMadeProgressIsNotReclaimed)
{
    EXPECT_TRUE(this->grow(this->first, 250 * Kilobyte));
    this->now += MemoryBudget::MinimumStall / 2;
    EXPECT_FALSE(this->grow(this->second, 200 * Kilobyte));
    EXPECT_EQ(this->first.reclaims, 0U);
    EXPECT_EQ(this->budget.refused(), 1U);
}

// A request that is handled cannot be given up for memory: it may already run.
TEST_F(MemoryBudgetTest, HoldingThatIsNotReclaimableIsKept)
{
    EXPECT_TRUE(this->grow(this->first, 250 * Kilobyte));
    this->first.holding.setReclaimable(false, this->now);
    this->now += 10s;
    EXPECT_FALSE(this->grow(this->second, 200 * Kilobyte));
    EXPECT_EQ(this->first.reclaims, 0U);
}

TEST_F(MemoryBudgetTest, SmallRequestFitsWhereALargeOneDoesNot)
{
    EXPECT_TRUE(this->grow(this->first, 300 * Kilobyte));
    this->first.holding.setReclaimable(false, this->now);
    EXPECT_FALSE(this->grow(this->second, 80 * Kilobyte));
    EXPECT_TRUE(this->grow(this->third, 60 * Kilobyte));
}

TEST_F(MemoryBudgetTest, RefusedGrowthKeepsWhatWasHeld)
{
    EXPECT_TRUE(this->grow(this->first, 100 * Kilobyte));
    EXPECT_FALSE(this->grow(this->first, 500 * Kilobyte));
    EXPECT_EQ(this->first.holding.bytes(), 100 * Kilobyte);
}

}
}
