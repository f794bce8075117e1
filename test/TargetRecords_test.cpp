#include "serving/TargetRecords.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

// Decodes "service/state/heartbeat"; anything else is no registration.
class FakeDecoder final : public RecordDecoder {
public:
    std::optional<ServingConfiguration> configuration(const KeyedRecord&, std::string&) const override
    {
        return std::nullopt;
    }

    std::optional<TargetEntry> target(const KeyedRecord& record, std::string&) const override
    {
        const auto first = record.value->find('/');
        const auto second = record.value->find('/', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            return std::nullopt;
        TargetEntry entry;
        entry.id = record.key;
        entry.service = record.value->substr(0, first);
        entry.isLeaving = record.value->substr(first + 1, second - first - 1) == "leaving";
        return entry;
    }

    std::optional<ZoneEvacuation> zoneEvacuation(const KeyedRecord&, std::string&) const override
    {
        return std::nullopt;
    }

    std::optional<InstanceDescription> instance(const KeyedRecord&, std::string&) const override
    {
        return std::nullopt;
    }
};

class TargetRecordsTest : public testing::Test {
protected:
    // A sound registration, and `count` that cannot be decoded.
    static std::vector<KeyedRecord> withOddOnes(int count, const std::string& name = "odd")
    {
        std::vector<KeyedRecord> records { { "a", "s/ready/1" } };
        for (int number = 0; number < count; ++number)
            records.push_back({ name + "-" + std::to_string(number), "garbage" });
        return records;
    }

    FakeDecoder decoder;
    TargetRecords records { this->decoder };
};

TEST_F(TargetRecordsTest, HeartbeatIsNoChange)
{
    EXPECT_EQ(this->records.apply({ { "a", "s/ready/1" } }, true).size(), 1U);
    const auto digest = this->records.digest();
    EXPECT_TRUE(this->records.apply({ { "a", "s/ready/2" } }, false).empty());
    EXPECT_EQ(this->records.digest(), digest);
}

TEST_F(TargetRecordsTest, NewestOfSeveralRecordsCounts)
{
    const auto changes = this->records.apply({ { "a", "s/ready/1" }, { "a", "s/leaving/2" } }, false);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes.front().entry->isLeaving);
}

TEST_F(TargetRecordsTest, CompleteListingRemovesWhatIsNotInIt)
{
    this->records.apply({ { "a", "s/ready/1" }, { "b", "s/ready/1" } }, true);
    const auto changes = this->records.apply({ { "b", "s/ready/2" } }, true);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().record.key, "a");
    EXPECT_FALSE(changes.front().record.value);
}

TEST_F(TargetRecordsTest, InstancesThatAppliedTheSameChangesInAnotherOrderHaveTheSameDigest)
{
    TargetRecords other { this->decoder };
    this->records.apply({ { "a", "s/ready/1" }, { "b", "s/ready/1" } }, true);
    this->records.apply({ { "c", "s/ready/1" }, { "a", std::nullopt } }, false);
    other.apply({ { "c", "s/ready/5" } }, false);
    other.apply({ { "b", "s/ready/9" } }, false);
    EXPECT_EQ(this->records.digest(), other.digest());
}

TEST_F(TargetRecordsTest, MissedChangeShowsInTheDigest)
{
    TargetRecords other { this->decoder };
    this->records.apply({ { "a", "s/ready/1" } }, true);
    other.apply({ { "a", "s/ready/1" } }, true);
    this->records.apply({ { "a", "s/leaving/2" } }, false);
    EXPECT_NE(this->records.digest(), other.digest());
}

// Each instance holds the list and sends it to peers. What another writer left there may be long and is of no use.
TEST_F(TargetRecordsTest, RegistrationThatCannotBeDecodedIsReportedOnceForItsContentAndNotHeld)
{
    const auto changes = this->records.apply({ { "a", "garbage" } }, false);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().entry);
    EXPECT_FALSE(changes.front().record.value);
    EXPECT_FALSE(changes.front().problem.empty());
    EXPECT_TRUE(this->records.all().empty());
    EXPECT_TRUE(this->records.apply({ { "a", "garbage" } }, false).empty());
    EXPECT_TRUE(this->records.apply({ { "a", "garbage" } }, true).empty());
    EXPECT_EQ(this->records.apply({ { "a", "other garbage" } }, false).size(), 1U);
}

// Instances with the same digest take each other's views for the same.
TEST_F(TargetRecordsTest, RegistrationThatIsOverwrittenByOneThatCannotBeDecodedCountsAsRemoved)
{
    TargetRecords other { this->decoder };
    other.apply({ { "b", "s/ready/1" } }, true);
    this->records.apply({ { "a", "s/ready/1" }, { "b", "s/ready/1" } }, true);
    const auto changes = this->records.apply({ { "a", "garbage" } }, false);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().record.value);
    EXPECT_EQ(this->records.digest(), other.digest());
    EXPECT_EQ(this->records.all().size(), 1U);
    const auto back = this->records.apply({ { "a", "s/ready/1" } }, false);
    ASSERT_EQ(back.size(), 1U);
    EXPECT_TRUE(back.front().entry);
    EXPECT_NE(this->records.digest(), other.digest());
}

// Another writer's keys do not take memory without end.
TEST_F(TargetRecordsTest, ManyRegistrationsThatCannotBeDecodedDoNotHideTheOthers)
{
    const auto records = withOddOnes(5000);
    this->records.apply(records, true);
    EXPECT_EQ(this->records.all().size(), 1U);
    this->records.apply(records, true);
    EXPECT_EQ(this->records.all().size(), 1U);
}

// With more than a thousand, those remembered were forgotten again and again: each listing logged them anew, beyond the
// rate of the log, and announced them to the peers, beyond what a notice holds.
TEST_F(TargetRecordsTest, ManyRegistrationsThatCannotBeDecodedAreReportedOnce)
{
    const auto records = withOddOnes(5000);
    EXPECT_EQ(this->records.apply(records, true).size(), records.size());
    EXPECT_TRUE(this->records.apply(records, true).empty());
    EXPECT_TRUE(this->records.apply(records, false).empty());
}

// The memory for them is limited. What is no longer listed leaves its place to others.
TEST_F(TargetRecordsTest, RegistrationsThatCannotBeDecodedAreForgottenOnceTheyAreNotListed)
{
    for (int round = 0; round < 30; ++round)
        this->records.apply(withOddOnes(5000, "odd-" + std::to_string(round)), true);
    const auto records = withOddOnes(5000);
    this->records.apply(records, true);
    EXPECT_TRUE(this->records.apply(records, true).empty());
    this->records.apply(withOddOnes(0), true);
    EXPECT_EQ(this->records.apply(records, true).size(), 5000U);
}

}
}
