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

TEST_F(RetryBudgetTest, FirstSendsEarnTheRatio)
{
    RetryBudget budget { { 0.2, 10s, 0 } };
    for (int send = 0; send < 50; ++send)
        budget.noteFirst("s", this->now);
    EXPECT_EQ(this->spendAll(budget, this->now), 10U);
}

TEST_F(RetryBudgetTest, ServicesHaveBudgetsOfTheirOwn)
{
    RetryBudget budget { { 0.2, 10s, 0 } };
    for (int send = 0; send < 50; ++send)
        budget.noteFirst("other", this->now);
    EXPECT_FALSE(budget.trySpend("s", this->now));
}

TEST_F(RetryBudgetTest, SpentSendsComeBackAfterTheWindow)
{
    RetryBudget budget { this->settings };
    const auto first = this->spendAll(budget, this->now);
    EXPECT_GT(first, 0U);
    EXPECT_EQ(this->spendAll(budget, this->now + 5s), 0U);
    EXPECT_EQ(this->spendAll(budget, this->now + 11s), first);
}

// All instances are killed at once: each starts without peers, and the slack is still shared.
TEST_F(RetryBudgetTest, RestartedInstancesWithoutPeersStayWithinTheSlackTogether)
{
    unsigned spent = 0;
    for (int instance = 0; instance < 11; ++instance) {
        RetryBudget before { this->settings };
        before.noteInstances(11);
        spent += this->spendAll(before, this->now);
        RetryBudget restarted { this->settings };
        restarted.noteInstances(1);
        spent += this->spendAll(restarted, this->now + 1s);
    }
    EXPECT_LE(spent, 104U);
}

TEST_F(RetryBudgetTest, ShareOfTheSlackDoesNotGrowWhenPeersFallSilent)
{
    RetryBudget budget { this->settings };
    budget.noteInstances(70);
    const auto left = budget.left("s", this->now);
    budget.noteInstances(1);
    EXPECT_EQ(budget.left("s", this->now), left);
}

}
}
