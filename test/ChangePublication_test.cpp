#include "configuration/ChangePublication.h"

#include <gmock/gmock.h>

#include "standins/ConfigurationChanges.h"

using namespace marigoldpaddle;
using namespace marigoldpaddle::standins;

namespace {

class ChangePublicationTest : public ::testing::Test {
protected:
    // The last page of the log, with the change or without records.
    LogPage pageWith(bool containsChange) const
    {
        LogPage page;
        if (containsChange)
            page.records.push_back({ 0, encodeChange(this->change) });
        page.next = page.records.size();
        return page;
    }

    // Runs the publication to its end. Every append fails with `appendError`; every read returns `page`.
    PublicationResult runToCompletion(PlatformError appendError, const PlatformResult<LogPage>& page)
    {
        auto step = this->publication.start(this->now);
        while (!std::holds_alternative<PublicationResult>(step)) {
            this->now += std::chrono::milliseconds { 1 };
            if (std::holds_alternative<AppendStep>(step)) {
                ++this->appends;
                step = this->publication.appendCompleted(appendError, this->now);
            } else if (std::holds_alternative<ReadStep>(step)) {
                step = this->publication.readCompleted(page, this->now);
            } else {
                this->now += std::get<WaitStep>(step).delay;
                step = this->publication.waitCompleted(this->now);
            }
        }
        return std::get<PublicationResult>(step);
    }

    ConfigurationState state;
    ConfigurationChange change { makeEdit("one", "p", 0, { { "workspace a", workspaceSection(1) } }) };
    TimePoint now { std::chrono::hours { 1 } };
    TimePoint startedAt { this->now };
    PublicationSettings settings;
    ChangePublication publication { this->state, this->change, this->settings, this->now };
    std::size_t appends { 0 };
};

TEST_F(ChangePublicationTest, AppendWithoutAnswerWhoseIdIsFoundInTheLogIsAccepted)
{
    const auto result = this->runToCompletion(PlatformError::NoAnswer, this->pageWith(true));
    EXPECT_EQ(result.outcome, PublicationOutcome::Accepted);
    EXPECT_EQ(this->appends, 1U);
}

TEST_F(ChangePublicationTest, AppendWithoutAnswerIsUnknownWhenTheLogCannotBeRead)
{
    const auto result = this->runToCompletion(PlatformError::NoAnswer, PlatformError::Unreachable);
    EXPECT_EQ(result.outcome, PublicationOutcome::Unknown);
    EXPECT_LE(this->now - this->startedAt, this->settings.timeout + std::chrono::seconds { 1 });
}

TEST_F(ChangePublicationTest, AppendWithoutAnswerThatIsNotFoundIsRepeatedUpToTheMaximumAndUnknown)
{
    const auto result = this->runToCompletion(PlatformError::NoAnswer, this->pageWith(false));
    EXPECT_EQ(result.outcome, PublicationOutcome::Unknown);
    EXPECT_EQ(this->appends, this->settings.maximumAppends);
}

TEST_F(ChangePublicationTest, UnreachableLogGivesNotPublishedWithinTheTimeout)
{
    const auto result = this->runToCompletion(PlatformError::Unreachable, this->pageWith(false));
    EXPECT_EQ(result.outcome, PublicationOutcome::NotPublished);
    EXPECT_LE(this->now - this->startedAt, this->settings.timeout + std::chrono::seconds { 1 });
}

TEST_F(ChangePublicationTest, AnsweredAppendIsNotAcceptedBeforeItIsReadBack)
{
    this->publication.start(this->now);
    const auto step = this->publication.appendCompleted(std::uint64_t { 0 }, this->now);
    EXPECT_TRUE(std::holds_alternative<ReadStep>(step));
}

TEST_F(ChangePublicationTest, ChangeThatConflictsWithAConcurrentOneIsRefusedWithAnExplanation)
{
    applyNext(this->state, makeEdit("concurrent", "p", 0, { { "workspace a", workspaceSection(2) } }));
    LogPage page { { { 1, encodeChange(this->change) } }, 0, 2 };
    const auto result = this->runToCompletion(PlatformError::NoAnswer, page);
    EXPECT_EQ(result.outcome, PublicationOutcome::Refused);
    EXPECT_THAT(result.verdict.explanation, ::testing::HasSubstr("[workspace a]"));
}

}
