#include "claims/ClaimService.h"

#include <gmock/gmock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace marigoldpaddle;
namespace asio = boost::asio;

namespace {

// An in-memory log stream. Reads at its end wait until a record is appended.
class MemoryLog final : public PlatformLog {
public:
    explicit MemoryLog(asio::io_context& context)
        : appendTimer(context, TimePoint::max())
    {
    }

    asio::awaitable<PlatformResult<std::uint64_t>> append(std::string record) override
    {
        if (this->isDown)
            co_return PlatformError::Unreachable;
        this->records.push_back(std::move(record));
        this->appendTimer.cancel();
        if (this->dropsAnswers)
            co_return PlatformError::NoAnswer;
        co_return this->records.size() - 1;
    }

    asio::awaitable<PlatformResult<LogPage>> read(std::uint64_t offset, std::size_t limit, Duration wait) override
    {
        boost::system::error_code ignored;
        if (!this->isDown && wait > Duration::zero() && offset >= this->records.size())
            co_await this->appendTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (this->isDown)
            co_return PlatformError::Unreachable;
        LogPage page;
        page.next = this->records.size();
        for (auto next = offset; next < page.next && page.records.size() < limit; ++next)
            page.records.push_back({ next, this->records[next] });
        co_return page;
    }

    void setDown()
    {
        this->isDown = true;
        this->appendTimer.cancel();
    }

    std::vector<std::string> records;
    bool dropsAnswers { false };

private:
    asio::steady_timer appendTimer;
    bool isDown { false };
};

class AllHoldersLive final : public HolderLiveness {
public:
    bool isDeadOrReplaced(const InstanceId&) const override
    {
        return false;
    }
};

class ClaimServiceTest : public testing::Test {
protected:
    ClaimServiceTest()
    {
        this->first.start();
        this->second.start();
        this->context.poll();
    }

    static wire::ClaimRequest claimOf(const std::string& requestId, const std::string& body = "body")
    {
        wire::ClaimRequest request;
        request.workspace = "tejut";
        request.serviceName = "orders";
        request.key = "restock-12";
        request.bodyDigest = body;
        request.requestId = requestId;
        request.holder.name = "instance-1";
        request.remainingMs = 5000;
        request.keyWindowMs = 60'000;
        return request;
    }

    static wire::ClaimSettlement outcomeOf(const std::string& requestId)
    {
        wire::ClaimSettlement settlement;
        settlement.workspace = "tejut";
        settlement.serviceName = "orders";
        settlement.key = "restock-12";
        settlement.requestId = requestId;
        wire::CallOutcome outcome;
        outcome.status = 201;
        outcome.body = "booked";
        settlement.__set_outcome(outcome);
        return settlement;
    }

    // Starts a claim. The answer is set while the context runs.
    std::shared_ptr<std::optional<wire::ClaimAnswer>> startClaim(ClaimService& service, wire::ClaimRequest request)
    {
        auto answer = std::make_shared<std::optional<wire::ClaimAnswer>>();
        asio::co_spawn(
            this->context,
            [&service, answer, request]() -> asio::awaitable<void> { *answer = co_await service.claim(request); },
            asio::detached);
        return answer;
    }

    wire::ClaimVerdict::type verdictOf(const std::shared_ptr<std::optional<wire::ClaimAnswer>>& answer)
    {
        while (!answer->has_value())
            this->context.run_one();
        return answer->value().verdict;
    }

    bool settle(ClaimService& service, wire::ClaimSettlement settlement)
    {
        std::optional<bool> isAccepted;
        asio::co_spawn(
            this->context,
            [&]() -> asio::awaitable<void> {
                const auto acknowledgement = co_await service.settle(settlement);
                isAccepted = acknowledgement.accepted;
            },
            asio::detached);
        while (!isAccepted)
            this->context.run_one();
        return *isAccepted;
    }

    asio::io_context context;
    SteadyClock clock;
    MemoryLog log { this->context };
    AllHoldersLive liveness;
    MetricsRegistry metrics;
    ClaimService first { this->context.get_executor(), this->clock, this->log, this->liveness, {}, this->metrics };
    ClaimService second { this->context.get_executor(), this->clock, this->log, this->liveness, {}, this->metrics };
};

TEST_F(ClaimServiceTest, RepeatAtAnotherOwnerGetsTheSettledOutcome)
{
    EXPECT_EQ(this->verdictOf(this->startClaim(this->first, claimOf("request-1"))), wire::ClaimVerdict::Won);
    EXPECT_TRUE(this->settle(this->first, outcomeOf("request-1")));
    const auto repeat = this->startClaim(this->second, claimOf("request-2"));
    EXPECT_EQ(this->verdictOf(repeat), wire::ClaimVerdict::Repeated);
    EXPECT_EQ(repeat->value().outcome.body, "booked");
    EXPECT_EQ(
        this->verdictOf(this->startClaim(this->second, claimOf("request-3", "other"))), wire::ClaimVerdict::Mismatch);
}

TEST_F(ClaimServiceTest, ConcurrentClaimsAtTwoOwnersGiveOneWinnerAndTheOtherWaitsForItsOutcome)
{
    const auto one = this->startClaim(this->first, claimOf("request-1"));
    const auto other = this->startClaim(this->second, claimOf("request-2"));
    while (!one->has_value() && !other->has_value())
        this->context.run_one();
    const auto didFirstWin = one->has_value();
    EXPECT_EQ(this->verdictOf(didFirstWin ? one : other), wire::ClaimVerdict::Won);
    EXPECT_FALSE((didFirstWin ? other : one)->has_value());
    EXPECT_TRUE(this->settle(this->first, outcomeOf(didFirstWin ? "request-1" : "request-2")));
    EXPECT_EQ(this->verdictOf(didFirstWin ? other : one), wire::ClaimVerdict::Repeated);
}

TEST_F(ClaimServiceTest, ClaimIsWonWhenTheAnswerToItsAppendIsLost)
{
    this->log.dropsAnswers = true;
    EXPECT_EQ(this->verdictOf(this->startClaim(this->first, claimOf("request-1"))), wire::ClaimVerdict::Won);
}

TEST_F(ClaimServiceTest, ClaimDuringLogOutageIsRefusedAtOnce)
{
    this->log.setDown();
    const auto answer = this->startClaim(this->first, claimOf("request-1"));
    EXPECT_EQ(this->verdictOf(answer), wire::ClaimVerdict::Unavailable);
    EXPECT_FALSE(answer->value().mayLand);
    EXPECT_GT(answer->value().retryAfterMs, 0);
}

}
