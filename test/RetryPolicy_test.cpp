#include <marigoldpaddle/RetryPolicy.h>

#include <gmock/gmock.h>

using namespace marigoldpaddle;
using namespace std::chrono_literals;

namespace {

class RetryPolicyTest : public ::testing::Test {
protected:
    RetryCandidate candidate(RetryReason reason = RetryReason::StreamMoved)
    {
        RetryCandidate candidate;
        candidate.reason = reason;
        candidate.deadline = this->now + 10s;
        return candidate;
    }

    TimePoint now { std::chrono::hours { 1 } };
    std::mt19937_64 random { 1 };
    RetryPolicy policy { RetryLimits {}, this->random };
};

TEST_F(RetryPolicyTest, BudgetLimitsRetriesToATenthOfPersistentlyFailingRequests)
{
    constexpr int Requests = 10'000;
    int retries = 0;
    for (int request = 0; request < Requests; ++request) {
        this->policy.recordRequest();
        retries += this->policy.permit(this->candidate(), this->now).has_value();
    }
    EXPECT_LE(retries, Requests / 10 + static_cast<int>(RetryLimits {}.burst));
    EXPECT_GE(retries, Requests / 10);
}

TEST_F(RetryPolicyTest, BudgetNeverExceedsTheBurst)
{
    for (int request = 0; request < 10'000; ++request)
        this->policy.recordRequest();
    EXPECT_DOUBLE_EQ(this->policy.budget(), RetryLimits {}.burst);
}

TEST_F(RetryPolicyTest, RetryAfterOwnerChangeIsPermittedWithAnEmptyBudget)
{
    while (this->policy.permit(this->candidate(), this->now)) { }
    EXPECT_TRUE(this->policy.permit(this->candidate(RetryReason::OwnerChanged), this->now));
}

TEST_F(RetryPolicyTest, NonIdempotentCallIsRetriedOnlyIfNothingWasWritten)
{
    auto call = this->candidate(RetryReason::ConnectFailed);
    call.isIdempotent = false;
    EXPECT_TRUE(this->policy.permit(call, this->now));
    call.mayHaveExecuted = true;
    EXPECT_FALSE(this->policy.permit(call, this->now));
}

TEST_F(RetryPolicyTest, AttemptsOfOneRequestAreBounded)
{
    auto last = this->candidate(RetryReason::OwnerChanged);
    last.attemptsMade = RetryLimits {}.attemptsPerRequest;
    EXPECT_FALSE(this->policy.permit(last, this->now));
}

TEST_F(RetryPolicyTest, DelayStaysBelowADoublingBoundAndWithinTheDeadline)
{
    const RetryLimits limits;
    for (unsigned attempts = 1; attempts < limits.attemptsPerRequest; ++attempts) {
        auto candidate = this->candidate(RetryReason::OwnerChanged);
        candidate.attemptsMade = attempts;
        const auto delay = this->policy.permit(candidate, this->now);
        ASSERT_TRUE(delay);
        EXPECT_LE(*delay, std::min(limits.maximumDelay, limits.baseDelay * (1 << (attempts - 1))));
    }
    auto late = this->candidate(RetryReason::OwnerChanged);
    late.deadline = this->now;
    EXPECT_FALSE(this->policy.permit(late, this->now));
}

}
