#include "configuration/ChangePublication.h"

#include <gmock/gmock.h>

#include "standins/ConfigurationChanges.h"

using namespace marigoldpaddle;
using namespace marigoldpaddle::standins;

namespace {

class ChangePublicationTest : public ::testing::Test {
protected:
    // A page that holds the change, or nothing, at the end of the log.
    LogPage pageWith(bool holdsChange) const
    {
        LogPage page;
        if (holdsChange)
            page.records.push_back({ 0, encodeChange(this->change) });
        page.next = page.records.size();
        return page;
    }

    // Answers every step until the publication ends: appends with `appendError`, reads with `page` or an error.
    PublicationResult playOut(PlatformError appendError, const PlatformResult<LogPage>& page)
    {
        auto step = this->publication.start(this->now);
        while (!std::holds_alternative<PublicationResult>(step)) {
            this->now += std::chrono::milliseconds { 1 };
            if (std::holds_alternative<AppendStep>(step)) {
                ++this->appends;
                step = this->publication.appended(appendError, this->now);
            } else if (std::holds_alternative<ReadStep>(step)) {
                step = this->publication.wasRead(page, this->now);
            } else {
                this->now += std::get<WaitStep>(step).delay;
                step = this->publication.waited(this->now);
            }
        }
        return std::get<PublicationResult>(step);
    }

    ConfigurationState state;
    ConfigurationChange change { editOf("one", "p", 0, { { "workspace a", workspaceSection(1) } }) };
    TimePoint now { std::chrono::hours { 1 } };
    TimePoint startedAt { this->now };
    PublicationSettings settings;
    ChangePublication publication { this->state, this->change, this->settings, this->now };
    std::size_t appends { 0 };
};

TEST_F(ChangePublicationTest, AppendWithoutAnswerThatIsFoundByItsIdIsAccepted)
{
    const auto result = this->playOut(PlatformError::NoAnswer, this->pageWith(true));
    EXPECT_EQ(result.outcome, PublicationOutcome::Accepted);
    EXPECT_EQ(this->appends, 1U);
}

TEST_F(ChangePublicationTest, AppendWithoutAnswerThatCannotBeLookedForIsUnknown)
{
    const auto result = this->playOut(PlatformError::NoAnswer, PlatformError::Unreachable);
    EXPECT_EQ(result.outcome, PublicationOutcome::Unknown);
    EXPECT_LE(this->now - this->startedAt, this->settings.allowedTime + std::chrono::seconds { 1 });
}

TEST_F(ChangePublicationTest, AppendWithoutAnswerThatIsNotFoundIsRepeatedAFewTimesAndUnknown)
{
    const auto result = this->playOut(PlatformError::NoAnswer, this->pageWith(false));
    EXPECT_EQ(result.outcome, PublicationOutcome::Unknown);
    EXPECT_EQ(this->appends, this->settings.appends);
}

TEST_F(ChangePublicationTest, LogThatNeverTookTheAppendGivesNotPublishedInBoundedTime)
{
    const auto result = this->playOut(PlatformError::Unreachable, this->pageWith(false));
    EXPECT_EQ(result.outcome, PublicationOutcome::NotPublished);
    EXPECT_LE(this->now - this->startedAt, this->settings.allowedTime + std::chrono::seconds { 1 });
}

TEST_F(ChangePublicationTest, AnsweredAppendIsNotAcceptedBeforeItIsReadBack)
{
    this->publication.start(this->now);
    const auto step = this->publication.appended(std::uint64_t { 0 }, this->now);
    EXPECT_TRUE(std::holds_alternative<ReadStep>(step));
}

TEST_F(ChangePublicationTest, ChangeThatLostARaceIsRefusedWithTheFoldsExplanation)
{
    applyNext(this->state, editOf("rival", "p", 0, { { "workspace a", workspaceSection(2) } }));
    LogPage page { { { 1, encodeChange(this->change) } }, 0, 2 };
    const auto result = this->playOut(PlatformError::NoAnswer, page);
    EXPECT_EQ(result.outcome, PublicationOutcome::Refused);
    EXPECT_THAT(result.verdict.explanation, ::testing::HasSubstr("[workspace a]"));
}

}
