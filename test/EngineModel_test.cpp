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

// An engine with round figures: 1 ms a step, 100 tokens read in a ms, no cost of context but where a test sets one.
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
        settings.tokensReadPerStep = 1000;
        settings.queueLength = 2;
        return settings;
    }

    static EnginePrompt prompt(std::int64_t tokens, std::int64_t output = 20)
    {
        EnginePrompt prompt;
        prompt.tokensHere = tokens;
        prompt.memoryHere = tokens;
        prompt.outputTokens = output;
        return prompt;
    }

    // Lets the engine work until it has nothing to do, and notes when each event came.
    void run()
    {
        while (const auto next = this->model.nextDeadline()) {
            for (const auto& event : this->model.advance(*next))
                this->events.emplace_back(*next, event);
        }
    }

    // Time from the start to the first event of a kind.
    double firstMs(std::uint64_t work, EngineEvent::Kind kind) const
    {
        const auto found = std::ranges::find_if(
            this->events, [&](const auto& each) { return each.second.work == work && each.second.kind == kind; });
        return found == this->events.end() ? -1 : milliseconds(found->first - this->start);
    }

    TimePoint start { 1h };
    EngineModel model { settings() };
    std::vector<std::pair<TimePoint, EngineEvent>> events;
};

TEST_F(EngineModelTest, PromptIsReadInChunksAndItsFirstTokenEndsTheReading)
{
    this->model.admit(1, prompt(2500), this->start);
    this->run();
    // Three chunks of a step each, 25 ms of reading.
    EXPECT_DOUBLE_EQ(this->firstMs(1, EngineEvent::Kind::Written), 28);
    // One token with the reading, the others in passes of ten steps.
    EXPECT_DOUBLE_EQ(this->firstMs(1, EngineEvent::Kind::Finished), 48);
}

TEST_F(EngineModelTest, ReadingHoldsUpTheAnswersOfItsPass)
{
    this->model.admit(1, prompt(100, 31), this->start);
    this->model.advance(this->start + 2ms);
    this->model.admit(2, prompt(5000), this->start + 2ms);
    this->run();
    ASSERT_THAT(this->events, ::testing::Not(IsEmpty()));
    // The second pass of the first answer reads the whole of the other prompt: 10 steps and 50 ms.
    EXPECT_DOUBLE_EQ(this->firstMs(2, EngineEvent::Kind::Written), 2 + 10 + 60);
}

TEST_F(EngineModelTest, PairsOfTokensAndContextCostWhatTheProfileSays)
{
    auto values = settings();
    values.profile.msPerMillionPairs = 2;
    values.profile.stepMsPerThousandContextTokens = 0.5;
    EngineModel costly { values };
    costly.admit(1, prompt(1000, 11), this->start);
    costly.advance(this->start + 1h);
    EngineModel other { values };
    other.admit(1, prompt(1000, 11), this->start);
    // One step, 10 ms of reading, half a million pairs.
    EXPECT_DOUBLE_EQ(milliseconds(*other.nextDeadline() - this->start), 12);
    other.advance(*other.nextDeadline());
    // Ten steps of 1 ms and of 1.001 thousand tokens of context.
    EXPECT_NEAR(milliseconds(*other.nextDeadline() - this->start), 12 + 10 * 1.5005, 1e-6);
}

TEST_F(EngineModelTest, PartsForOtherEnginesAreReadFirstTheNewestBeforeOlder)
{
    this->model.admit(1, prompt(3000), this->start);
    this->model.readPart(2, 1000, 0, "", this->start);
    this->model.readPart(3, 1000, 0, "", this->start);
    this->run();
    EXPECT_LT(this->firstMs(3, EngineEvent::Kind::PartRead), this->firstMs(2, EngineEvent::Kind::PartRead));
    EXPECT_LT(this->firstMs(2, EngineEvent::Kind::PartRead), this->firstMs(1, EngineEvent::Kind::Written));
}

TEST_F(EngineModelTest, PromptWithPartsElsewhereWritesAfterTheLastOfThem)
{
    auto spread = prompt(1000);
    spread.partsElsewhere = 1;
    this->model.admit(1, spread, this->start);
    this->run();
    EXPECT_THAT(this->events, IsEmpty());
    this->model.partArrived(1, this->start + 1s);
    this->run();
    EXPECT_GT(this->firstMs(1, EngineEvent::Kind::Written), 1000);
}

TEST_F(EngineModelTest, BatchAndQueueFullDeclinesAndTooLargeIsSaid)
{
    for (std::uint64_t work = 1; work <= 4; ++work)
        EXPECT_EQ(this->model.admit(work, prompt(100), this->start), EngineModel::Admission::Accepted);
    EXPECT_EQ(this->model.admit(5, prompt(100), this->start), EngineModel::Admission::Full);
    EXPECT_EQ(this->model.admit(6, prompt(10'001), this->start), EngineModel::Admission::TooLarge);
}

TEST_F(EngineModelTest, MemoryThatRunsOutTakesTheNewestPromptBack)
{
    this->model.admit(1, prompt(4990, 30), this->start);
    this->model.admit(2, prompt(4990, 30), this->start);
    this->run();
    EXPECT_LT(this->firstMs(1, EngineEvent::Kind::Finished), this->firstMs(2, EngineEvent::Kind::Finished));
    EXPECT_GT(this->firstMs(2, EngineEvent::Kind::Finished), 2 * this->firstMs(1, EngineEvent::Kind::Written));
}

TEST_F(EngineModelTest, TicketHoldsMemoryUntilItLapsesAndLapsingInUseCutsTheWorkOff)
{
    EXPECT_EQ(this->model.reserve("t", 6000, 1s, this->start), EngineModel::Reservation::Held);
    EXPECT_EQ(this->model.reserve("u", 6000, 1s, this->start), EngineModel::Reservation::Refused);
    EXPECT_EQ(this->model.reserve("v", 10'001, 1s, this->start), EngineModel::Reservation::TooLarge);
    EXPECT_TRUE(this->model.readPart(1, 1000, 0, "t", this->start));
    EXPECT_FALSE(this->model.readPart(2, 1000, 0, "t", this->start)) << "a ticket in use";
    EXPECT_FALSE(this->model.readPart(3, 1000, 0, "other", this->start)) << "no such ticket";
    EXPECT_EQ(this->model.reserve("t", 6000, 2s, this->start + 500ms), EngineModel::Reservation::Held);
    this->model.advance(this->start + 2s);
    EXPECT_EQ(this->model.memoryUsed(), 6000);
    this->model.advance(this->start + 2500ms);
    EXPECT_EQ(this->model.memoryUsed(), 0);
    EXPECT_THAT(this->model.takeCutOff(), ::testing::ElementsAre(1U));
}

TEST_F(EngineModelTest, CancelledPromptGivesItsPlaceAndItsTicketBack)
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
