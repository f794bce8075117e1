#include "RequestSimulation.h"

#include <cstdlib>
#include <ranges>

#include <gmock/gmock.h>

using namespace marigoldpaddle;
using marigoldpaddle::testing::AllFaults;
using marigoldpaddle::testing::Fault;
using marigoldpaddle::testing::FaultInjection;
using marigoldpaddle::testing::FaultNames;
using marigoldpaddle::testing::RequestKind;
using marigoldpaddle::testing::RequestSimulation;
using marigoldpaddle::testing::Step;

namespace {

// Checks the invariants that hold whichever faults were injected: the request ends in time with exactly one final
// answer, nothing is sent after the deadline or after the grant's expiry, no engine memory and no placement stays
// allocated, a non-idempotent order is executed at most once, and a refusal states correctly whether the request was
// executed.
void expectInvariants(const RequestSimulation& simulation)
{
    EXPECT_TRUE(simulation.lifecycle.isOver()) << "still " << name(simulation.lifecycle.state());
    EXPECT_EQ(simulation.completions + static_cast<int>(simulation.refusals.size()), 1) << "final answers";
    EXPECT_EQ(simulation.lateWrites, 0) << "requests written after the deadline or the grant's expiry";
    EXPECT_LE(simulation.endedAt, simulation.deadline + RequestSimulation::AllowedTime) << "ended late";
    EXPECT_EQ(simulation.allocationsOnLivingTargets(), 0u) << "engine memory still allocated";
    EXPECT_TRUE(simulation.openPlacements.empty()) << simulation.openPlacements.size() << " placements never released";
    if (simulation.kind == RequestKind::Order) {
        EXPECT_LE(simulation.executions(), 1) << "order executed more than once";
    }
    if (simulation.completions == 1 && simulation.kind != RequestKind::Order) {
        const auto complete = std::views::iota(std::uint64_t { 0 }, RequestSimulation::AnswerTokens);
        EXPECT_TRUE(std::ranges::equal(simulation.answer, complete))
            << "answer is incomplete or reordered, tokens: " << simulation.answer.size();
    }
    for (const auto& refusal : simulation.refusals) {
        EXPECT_GT(refusal.retryAfter, Duration {}) << "refusal without retry delay";
        if (refusal.ran == ExecutionStatus::No) {
            EXPECT_EQ(simulation.executions(), 0)
                << "executed, but refused as not executed with reason " << name(refusal.reason);
        }
    }
}

std::vector<Step> stepsOf(RequestKind kind)
{
    std::vector<Step> steps { { RequestState::Received }, { RequestState::Admitted }, { RequestState::Queued },
        { RequestState::Granted }, { RequestState::Sent } };
    if (kind != RequestKind::Order) {
        for (std::uint64_t delivered = 1; delivered <= RequestSimulation::AnswerTokens; ++delivered)
            steps.push_back({ RequestState::Streaming, delivered });
    }
    steps.push_back({ RequestState::Finished, kind == RequestKind::Order ? 0 : RequestSimulation::AnswerTokens });
    return steps;
}

std::vector<FaultInjection> everyInjection(RequestKind kind)
{
    std::vector<FaultInjection> injections;
    for (const auto fault : AllFaults)
        for (const auto& step : stepsOf(kind))
            injections.push_back({ fault, step });
    return injections;
}

std::string rowName(const ::testing::TestParamInfo<FaultInjection>& row)
{
    return std::string { FaultNames[static_cast<int>(row.param.fault)] } + "_"
        + std::string { name(row.param.step.state) } + std::to_string(row.param.step.delivered);
}

// Injects one fault at one step of a request; the rows cover every fault at every step.
template <RequestKind Kind> class FaultsRequestTest : public ::testing::TestWithParam<FaultInjection> {
protected:
    void runRow()
    {
        this->simulation.run({ this->GetParam() });
        expectInvariants(this->simulation);
    }

    // Returns whether the request must succeed despite the fault, because other targets and enough time remain.
    bool mustSucceed() const
    {
        const auto& injection = this->GetParam();
        switch (injection.fault) {
        case Fault::GatewayFreezesPastDeadline:
        case Fault::CallerDisconnects:
        case Fault::TargetFreezes:
            return false;
        case Fault::GracefulShutdown:
            return injection.step.state != RequestState::Received;
        default:
            return true;
        }
    }

    // Returns whether the fault itself causes chunks to arrive that must be dropped.
    bool causesDroppedChunks() const
    {
        constexpr Fault CausingDrops[] = { Fault::ChunkOfOtherRequest, Fault::ChunkOfOtherAttempt,
            Fault::ChunkDuplicated, Fault::ChunkLost, Fault::MessageDuplicated };
        return std::ranges::find(CausingDrops, this->GetParam().fault) != std::end(CausingDrops);
    }

    RequestSimulation simulation { Kind };
};

class FaultsRequestPromptTest : public FaultsRequestTest<RequestKind::Prompt> { };
class FaultsRequestSpanTest : public FaultsRequestTest<RequestKind::Span> { };
class FaultsRequestOrderTest : public FaultsRequestTest<RequestKind::Order> { };

TEST_P(FaultsRequestPromptTest, EndsOnceInTimeWithACompleteAnswerOrACorrectRefusal)
{
    this->runRow();
    if (this->mustSucceed()) {
        EXPECT_EQ(this->simulation.completions, 1) << "the request failed although another target could have served it";
    }
    if (this->simulation.completions == 1 && !this->causesDroppedChunks()) {
        EXPECT_EQ(this->simulation.droppedChunks, 0) << "an attempt started at the wrong token offset";
    }
}

TEST_P(FaultsRequestSpanTest, EndsOnceInTimeWithACompleteAnswerOrACorrectRefusal)
{
    this->runRow();
}

TEST_P(FaultsRequestOrderTest, EndsOnceInTimeAndIsExecutedAtMostOnce)
{
    this->runRow();
}

INSTANTIATE_TEST_SUITE_P(, FaultsRequestPromptTest, ::testing::ValuesIn(everyInjection(RequestKind::Prompt)), rowName);
INSTANTIATE_TEST_SUITE_P(, FaultsRequestSpanTest, ::testing::ValuesIn(everyInjection(RequestKind::Span)), rowName);
INSTANTIATE_TEST_SUITE_P(, FaultsRequestOrderTest, ::testing::ValuesIn(everyInjection(RequestKind::Order)), rowName);

// Injects random pairs of faults, because a retry or resumption after the first fault may meet the second.
class FaultsRequestPairsTest : public ::testing::TestWithParam<RequestKind> {
protected:
    static std::uint64_t seed()
    {
        const auto* text = std::getenv("MARIGOLD_SEED");
        return text ? std::strtoull(text, nullptr, 10) : 1;
    }
};

TEST_P(FaultsRequestPairsTest, TwoRandomFaultsPreserveTheInvariants)
{
    constexpr int Pairs = 2000;
    std::mt19937_64 random { seed() };
    const auto injections = everyInjection(this->GetParam());
    std::uniform_int_distribution<std::size_t> draw { 0, injections.size() - 1 };
    for (int pair = 0; pair < Pairs && !this->HasFailure(); ++pair) {
        const auto first = injections[draw(random)];
        const auto second = injections[draw(random)];
        SCOPED_TRACE(::testing::Message()
            << "MARIGOLD_SEED=" << seed() << " pair " << pair << ": " << first << ", then " << second);
        RequestSimulation simulation { this->GetParam(), random() };
        simulation.run({ first, second });
        expectInvariants(simulation);
    }
}

INSTANTIATE_TEST_SUITE_P(
    , FaultsRequestPairsTest, ::testing::Values(RequestKind::Prompt, RequestKind::Span, RequestKind::Order));

}
