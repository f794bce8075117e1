#include "standins/EngineModel.h"

#include <algorithm>

#include <gmock/gmock.h>

namespace marigoldpaddle::standins {
namespace {

using namespace std::chrono_literals;
using ::testing::IsEmpty;
using ::testing::SizeIs;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli> { duration }.count();
}

// An engine with round numbers: 1 ms per decode step and 100 prefilled tokens per ms. Context length and attention
// pairs cost nothing unless a test sets a cost.
class EngineModelTest : public ::testing::Test {
protected:
    static EngineModelSettings settings()
    {
        EngineModelSettings settings;
        settings.profile.batchSlots = 2;
        settings.profile.memoryTokens = 10'000;
        settings.profile.stepsPerPass = 10;
        settings.profile.stepMs = 1;
        settings.profile.promptTokensPerMs = 100;
        settings.prefillTokensPerStep = 1000;
        settings.queueLength = 2;
        return settings;
    }

    static EnginePrompt prompt(std::int64_t tokens, std::int64_t output = 20)
    {
        EnginePrompt prompt;
        prompt.localTokens = tokens;
        prompt.localMemoryTokens = tokens;
        prompt.outputTokens = output;
        return prompt;
    }

    // Advances the engine until it is idle and records the time of each event.
    void run()
    {
        while (const auto next = this->model.nextDeadline()) {
            for (const auto& event : this->model.advance(*next))
                this->events.emplace_back(*next, event);
        }
    }

    // Milliseconds from the start to the first event of a kind; -1 if there is none.
    double firstMs(std::uint64_t jobId, EngineEvent::Kind kind) const
    {
        const auto found = std::ranges::find_if(
            this->events, [&](const auto& each) { return each.second.jobId == jobId && each.second.kind == kind; });
        return found == this->events.end() ? -1 : milliseconds(found->first - this->start);
    }

    TimePoint start { 1h };
    EngineModel model { settings() };
    std::vector<std::pair<TimePoint, EngineEvent>> events;
};

TEST_F(EngineModelTest, PromptIsPrefilledInChunksAndTheLastChunkYieldsTheFirstToken)
{
    this->model.admit(1, prompt(2500), this->start);
    this->run();
    // Three chunks of one step each, and 25 ms of prefill.
    EXPECT_DOUBLE_EQ(this->firstMs(1, EngineEvent::Kind::TokensGenerated), 28);
    // The first token comes with the prefill, the other 19 in two passes of ten steps.
    EXPECT_DOUBLE_EQ(this->firstMs(1, EngineEvent::Kind::Finished), 48);
}

TEST_F(EngineModelTest, PrefillDelaysTheTokensDecodedInTheSamePass)
{
    this->model.admit(1, prompt(100, 31), this->start);
    this->model.advance(this->start + 2ms);
    this->model.admit(2, prompt(5000), this->start + 2ms);
    this->run();
    ASSERT_THAT(this->events, ::testing::Not(IsEmpty()));
    // The second decode pass of the first prompt prefills the whole second prompt: 10 steps and 50 ms of prefill.
    EXPECT_DOUBLE_EQ(this->firstMs(2, EngineEvent::Kind::TokensGenerated), 2 + 10 + 60);
}

TEST_F(EngineModelTest, AttentionPairsAndContextCostTimeAsSetInTheProfile)
{
    auto values = settings();
    values.profile.msPerMillionPairs = 2;
    values.profile.stepMsPerThousandContextTokens = 0.5;
    EngineModel costly { values };
    costly.admit(1, prompt(1000, 11), this->start);
    costly.advance(this->start + 1h);
    EngineModel other { values };
    other.admit(1, prompt(1000, 11), this->start);
    // One step, 10 ms of prefill, and half a million pairs at 2 ms per million.
    EXPECT_DOUBLE_EQ(milliseconds(*other.nextDeadline() - this->start), 12);
    other.advance(*other.nextDeadline());
    // Ten steps of 1 ms each, plus 0.5 ms for each thousand of the 1001 tokens of context.
    EXPECT_NEAR(milliseconds(*other.nextDeadline() - this->start), 12 + 10 * 1.5005, 1e-6);
}

TEST_F(EngineModelTest, PartsForOtherEnginesArePrefilledBeforePromptsNewestFirst)
{
    this->model.admit(1, prompt(3000), this->start);
    this->model.prefillPart(2, 1000, 0, "", this->start);
    this->model.prefillPart(3, 1000, 0, "", this->start);
    this->run();
    EXPECT_LT(this->firstMs(3, EngineEvent::Kind::PartPrefilled), this->firstMs(2, EngineEvent::Kind::PartPrefilled));
    EXPECT_LT(this->firstMs(2, EngineEvent::Kind::PartPrefilled), this->firstMs(1, EngineEvent::Kind::TokensGenerated));
}

TEST_F(EngineModelTest, PromptWithRemotePartsIsDecodedAfterTheLastPartCompletes)
{
    auto spread = prompt(1000);
    spread.remoteParts = 1;
    this->model.admit(1, spread, this->start);
    this->run();
    EXPECT_THAT(this->events, IsEmpty());
    this->model.remotePartCompleted(1, this->start + 1s);
    this->run();
    EXPECT_GT(this->firstMs(1, EngineEvent::Kind::TokensGenerated), 1000);
}

TEST_F(EngineModelTest, AdmissionIsRefusedWhenBatchAndQueueAreFullOrThePromptIsTooLarge)
{
    for (std::uint64_t jobId = 1; jobId <= 4; ++jobId)
        EXPECT_EQ(this->model.admit(jobId, prompt(100), this->start), EngineModel::Admission::Accepted);
    EXPECT_EQ(this->model.admit(5, prompt(100), this->start), EngineModel::Admission::Full);
    EXPECT_EQ(this->model.admit(6, prompt(10'001), this->start), EngineModel::Admission::TooLarge);
}

TEST_F(EngineModelTest, NewestPromptIsPreemptedWhenMemoryRunsOut)
{
    this->model.admit(1, prompt(4990, 30), this->start);
    this->model.admit(2, prompt(4990, 30), this->start);
    this->run();
    EXPECT_LT(this->firstMs(1, EngineEvent::Kind::Finished), this->firstMs(2, EngineEvent::Kind::Finished));
    EXPECT_GT(this->firstMs(2, EngineEvent::Kind::Finished), 2 * this->firstMs(1, EngineEvent::Kind::TokensGenerated));
}

TEST_F(EngineModelTest, ReservationHoldsMemoryUntilItExpiresAndItsJobIsReportedAsExpired)
{
    EXPECT_EQ(this->model.reserve("t", 6000, 1s, this->start), EngineModel::ReservationResult::Held);
    EXPECT_EQ(this->model.reserve("u", 6000, 1s, this->start), EngineModel::ReservationResult::Refused);
    EXPECT_EQ(this->model.reserve("v", 10'001, 1s, this->start), EngineModel::ReservationResult::TooLarge);
    EXPECT_TRUE(this->model.prefillPart(1, 1000, 0, "t", this->start));
    EXPECT_FALSE(this->model.prefillPart(2, 1000, 0, "t", this->start)) << "the reservation is in use";
    EXPECT_FALSE(this->model.prefillPart(3, 1000, 0, "other", this->start)) << "there is no such reservation";
    EXPECT_EQ(this->model.reserve("t", 6000, 2s, this->start + 500ms), EngineModel::ReservationResult::Held);
    this->model.advance(this->start + 2s);
    EXPECT_EQ(this->model.memoryUsed(), 6000);
    this->model.advance(this->start + 2500ms);
    EXPECT_EQ(this->model.memoryUsed(), 0);
    EXPECT_THAT(this->model.takeExpiredJobs(), ::testing::ElementsAre(1U));
}

TEST_F(EngineModelTest, CancelledPromptFreesItsSlotAndItsMemory)
{
    this->model.admit(1, prompt(9000), this->start);
    this->model.admit(2, prompt(9000), this->start);
    EXPECT_EQ(this->model.queued(), 1U);
    this->model.cancel(1, this->start);
    this->run();
    EXPECT_GT(this->firstMs(2, EngineEvent::Kind::Finished), 0);
    EXPECT_EQ(this->model.memoryUsed(), 0);
}

}
}
