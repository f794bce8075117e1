#include "serving/RetryBudget.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class RetryBudgetTest : public testing::Test {
protected:
    unsigned spendAll(RetryBudget& budget, TimePoint now)
    {
        unsigned spent = 0;
        while (budget.trySpend("s", now))
            ++spent;
        return spent;
    }

    TimePoint now { 1h };
    RetryBudgetSettings settings { 0.2, 10s, 104 };
};

TEST_F(RetryBudgetTest, FirstSendsAddTheRatio)
{
    RetryBudget budget { { 0.2, 10s, 0 } };
    for (int send = 0; send < 50; ++send)
        budget.recordFirstSend("s", this->now);
    EXPECT_EQ(this->spendAll(budget, this->now), 10U);
}

TEST_F(RetryBudgetTest, BudgetOfAnotherServiceCannotBeSpent)
{
    RetryBudget budget { { 0.2, 10s, 0 } };
    for (int send = 0; send < 50; ++send)
        budget.recordFirstSend("other", this->now);
    EXPECT_FALSE(budget.trySpend("s", this->now));
}

TEST_F(RetryBudgetTest, SpentRetriesAreAvailableAgainAfterTheWindow)
{
    RetryBudget budget { this->settings };
    const auto first = this->spendAll(budget, this->now);
    EXPECT_GT(first, 0U);
    EXPECT_EQ(this->spendAll(budget, this->now + 5s), 0U);
    EXPECT_EQ(this->spendAll(budget, this->now + 11s), first);
}

// All instances are killed and restart without knowing any peers. Each instance would spend the whole slack if the
// slack were divided only by the number of instances that it knows.
TEST_F(RetryBudgetTest, RestartedInstancesWithoutPeersStayWithinTheTotalSlack)
{
    unsigned spent = 0;
    for (int instance = 0; instance < 11; ++instance) {
        RetryBudget before { this->settings };
        before.updateInstanceCount(11);
        spent += this->spendAll(before, this->now);
        RetryBudget restarted { this->settings };
        restarted.updateInstanceCount(1);
        spent += this->spendAll(restarted, this->now + 1s);
    }
    EXPECT_LE(spent, 104U);
}

TEST_F(RetryBudgetTest, ShareOfTheSlackDoesNotGrowWhenPeersAreLost)
{
    RetryBudget budget { this->settings };
    budget.updateInstanceCount(70);
    const auto remaining = budget.remaining("s", this->now);
    budget.updateInstanceCount(1);
    EXPECT_EQ(budget.remaining("s", this->now), remaining);
}

}
}
