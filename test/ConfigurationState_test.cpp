#include <marigoldpaddle/ConfigurationState.h>

#include <random>

#include <gmock/gmock.h>

#include "Seed.h"
#include "configuration/Checkpoint.h"
#include "standins/ConfigurationChanges.h"

using namespace marigoldpaddle;
using namespace marigoldpaddle::standins;
using ::testing::AllOf;
using ::testing::HasSubstr;

namespace {

class ConfigurationStateTest : public ::testing::Test {
protected:
    // Creates two presets with two workspaces each and puts "ordinary" in force. The next offset is 3.
    void SetUp() override
    {
        for (const auto* preset : { "ordinary", "peak" }) {
            const PresetSectionChanges sections { { "workspace a", workspaceSection(1) },
                { "workspace b", workspaceSection(2) } };
            ASSERT_EQ(applyNext(this->state, makeEdit(preset, preset, 0, sections)).explanation, "");
        }
        ASSERT_TRUE(applyNext(this->state, makeUse("first", "ordinary", 2)).isAccepted);
    }

    ChangeResult edit(std::string id, std::uint64_t basedOn, std::string section, std::optional<PresetSection> values)
    {
        return applyNext(
            this->state, makeEdit(std::move(id), "ordinary", basedOn, { { std::move(section), std::move(values) } }));
    }

    double weightOf(std::uint64_t workspace)
    {
        const auto* found = this->state.presetInForce()->workspacesByKeyDigest.find(makeKeyDigest(workspace));
        return found ? found->second.weight : 0;
    }

    ConfigurationState state;
};

TEST_F(ConfigurationStateTest, SecondOfTwoEditsOfOneSectionIsRefusedWithSectionAndBothRevisions)
{
    EXPECT_TRUE(this->edit("one", 3, "workspace a", workspaceSection(1, "2")).isAccepted);
    const auto verdict = this->edit("two", 3, "workspace a", workspaceSection(1, "3"));
    EXPECT_EQ(verdict.error, ConfigurationError::Conflict);
    EXPECT_THAT(verdict.explanation,
        AllOf(HasSubstr("[workspace a]"), HasSubstr("at revision 3"), HasSubstr("based on revision 3")));
    EXPECT_EQ(this->weightOf(1), 2);
}

TEST_F(ConfigurationStateTest, EditsOfDifferentSectionsAreBothAccepted)
{
    EXPECT_TRUE(this->edit("one", 3, "workspace a", workspaceSection(1, "2")).isAccepted);
    EXPECT_TRUE(this->edit("two", 3, "workspace b", workspaceSection(2, "3")).isAccepted);
    EXPECT_EQ(this->weightOf(1), 2);
    EXPECT_EQ(this->weightOf(2), 3);
}

TEST_F(ConfigurationStateTest, EditOfASectionRemovedAfterItsBaseRevisionIsRefused)
{
    EXPECT_TRUE(this->edit("one", 3, "workspace a", std::nullopt).isAccepted);
    EXPECT_EQ(this->edit("two", 3, "workspace a", workspaceSection(1)).error, ConfigurationError::Conflict);
    EXPECT_TRUE(this->edit("three", 4, "workspace a", workspaceSection(1)).isAccepted);
}

TEST_F(ConfigurationStateTest, SecondOfTwoUsesIsRefusedUnlessItChoosesTheSamePreset)
{
    EXPECT_TRUE(applyNext(this->state, makeUse("one", "peak", 3)).isAccepted);
    EXPECT_TRUE(applyNext(this->state, makeUse("two", "peak", 3)).isAccepted);
    EXPECT_EQ(applyNext(this->state, makeUse("three", "ordinary", 3)).error, ConfigurationError::Conflict);
    EXPECT_EQ(this->state.nameInForce(), "peak");
}

TEST_F(ConfigurationStateTest, UseAndEditOfOnePresetAreBothAcceptedInEitherOrder)
{
    const auto change = makeEdit("edit", "peak", 3, { { "workspace a", workspaceSection(1, "7") } });
    auto other = this->state;
    EXPECT_TRUE(applyNext(this->state, change).isAccepted);
    EXPECT_TRUE(applyNext(this->state, makeUse("use", "peak", 3)).isAccepted);
    EXPECT_TRUE(applyNext(other, makeUse("use", "peak", 3)).isAccepted);
    EXPECT_TRUE(applyNext(other, change).isAccepted);
    EXPECT_EQ(this->weightOf(1), 7);
    EXPECT_EQ(other.presetInForce()->workspacesByKeyDigest.find(makeKeyDigest(1))->second.weight, 7);
}

TEST_F(ConfigurationStateTest, DeleteAfterUseIsRefusedAndUseAfterDeleteIsRefusedWithTheRevision)
{
    auto other = this->state;
    EXPECT_TRUE(applyNext(this->state, makeUse("use", "peak", 3)).isAccepted);
    EXPECT_EQ(applyNext(this->state, makeDelete("delete", "peak", 3)).error, ConfigurationError::PresetInForce);
    EXPECT_TRUE(applyNext(other, makeDelete("delete", "peak", 3)).isAccepted);
    const auto verdict = applyNext(other, makeUse("use", "peak", 3));
    EXPECT_EQ(verdict.error, ConfigurationError::UnknownPreset);
    EXPECT_THAT(verdict.explanation, HasSubstr("deleted at revision 3"));
}

TEST_F(ConfigurationStateTest, OnlyTheFirstOfDeleteAndEditOfOnePresetIsAccepted)
{
    auto other = this->state;
    const auto change = makeEdit("edit", "peak", 3, { { "workspace c", workspaceSection(3) } });
    EXPECT_TRUE(applyNext(this->state, change).isAccepted);
    EXPECT_EQ(applyNext(this->state, makeDelete("delete", "peak", 3)).error, ConfigurationError::Conflict);
    EXPECT_TRUE(applyNext(other, makeDelete("delete", "peak", 3)).isAccepted);
    EXPECT_EQ(applyNext(other, change).error, ConfigurationError::Conflict);
}

TEST_F(ConfigurationStateTest, EditBasedOnRevisionZeroConflictsWithTheFirstRecord)
{
    ConfigurationState empty;
    EXPECT_TRUE(applyNext(empty, makeEdit("one", "p", 0, { { "workspace a", workspaceSection(1) } })).isAccepted);
    EXPECT_FALSE(applyNext(empty, makeEdit("two", "p", 0, { { "workspace a", workspaceSection(9) } })).isAccepted);
}

TEST_F(ConfigurationStateTest, ChangeAppendedTwiceTakesEffectOnceAndKeepsItsVerdict)
{
    EXPECT_TRUE(this->edit("one", 3, "workspace a", workspaceSection(1, "2")).isAccepted);
    EXPECT_TRUE(this->edit("two", 4, "workspace a", workspaceSection(1, "3")).isAccepted);
    const auto repeated = this->edit("one", 3, "workspace a", workspaceSection(1, "2"));
    EXPECT_TRUE(repeated.isAccepted);
    EXPECT_EQ(repeated.offset, 3U);
    EXPECT_EQ(this->weightOf(1), 3);
    const auto use = makeUse("use", "peak", 6);
    EXPECT_TRUE(applyNext(this->state, use).isAccepted);
    EXPECT_TRUE(applyNext(this->state, makeUse("back", "ordinary", 7)).isAccepted);
    EXPECT_TRUE(applyNext(this->state, use).isAccepted);
    EXPECT_EQ(this->state.nameInForce(), "ordinary");
}

TEST_F(ConfigurationStateTest, ChangeAppendedAgainAfterItLeftTheHistoryTakesNoEffect)
{
    const auto removal = makeEdit("removal", "ordinary", 3, { { "workspace b", std::nullopt } });
    EXPECT_TRUE(applyNext(this->state, removal).isAccepted);
    EXPECT_TRUE(this->edit("again", 4, "workspace b", workspaceSection(2, "5")).isAccepted);
    for (int i = 0; i < 2000; ++i)
        this->edit("filler" + std::to_string(i), this->state.nextOffset(), "workspace z",
            i % 2 == 0 ? std::optional { workspaceSection(9) } : std::nullopt);
    EXPECT_FALSE(applyNext(this->state, removal).isAccepted);
    EXPECT_EQ(this->weightOf(2), 5);
    EXPECT_LE(this->state.history().size(), 512U);
}

TEST_F(ConfigurationStateTest, EditBasedOnARevisionOlderThanTheKeptRemovalsIsRefused)
{
    for (int i = 0; i < 2500; ++i)
        this->edit("filler" + std::to_string(i), this->state.nextOffset(), "workspace z",
            i % 2 == 0 ? std::optional { workspaceSection(9) } : std::nullopt);
    EXPECT_EQ(this->edit("late", 3, "workspace y", workspaceSection(8)).error, ConfigurationError::Conflict);
}

TEST_F(ConfigurationStateTest, InvalidEditIsRefusedWithItsKeyAndLeavesThePresetUnchanged)
{
    const auto before = this->state.presetInForce();
    EXPECT_THAT(this->edit("one", 3, "workspace a", workspaceSection(1, "0")).explanation,
        AllOf(HasSubstr("[workspace a] weight = 0"), HasSubstr("0.01 to 1000")));
    EXPECT_THAT(this->edit("two", 3, "workspace c", workspaceSection(2)).explanation,
        HasSubstr("is also the key of [workspace b]"));
    EXPECT_THAT(this->edit("three", 3, "limits", PresetSection { { "default_allowed_ms", "900000" } }).explanation,
        HasSubstr("must not be above maximum_allowed_ms"));
    EXPECT_EQ(this->state.presetInForce(), before);
}

TEST_F(ConfigurationStateTest, EditThatSwapsTheKeysOfTwoWorkspacesIsAccepted)
{
    const PresetSectionChanges exchange { { "workspace a", workspaceSection(2) },
        { "workspace b", workspaceSection(1) } };
    EXPECT_TRUE(applyNext(this->state, makeEdit("one", "ordinary", 3, exchange)).isAccepted);
    EXPECT_EQ(this->state.presetInForce()->workspacesByKeyDigest.find(makeKeyDigest(1))->second.name, "b");
}

TEST_F(ConfigurationStateTest, PresetReturnedBeforeAnEditIsNotChangedByIt)
{
    const auto before = this->state.presetInForce();
    EXPECT_TRUE(this->edit("one", 3, "workspace a", workspaceSection(1, "2")).isAccepted);
    EXPECT_EQ(before->workspacesByKeyDigest.find(makeKeyDigest(1))->second.weight, 1);
    EXPECT_EQ(this->weightOf(1), 2);
}

TEST_F(ConfigurationStateTest, RecordBeyondAGapAndAnOlderSnapshotAreIgnored)
{
    const auto older = this->state.snapshot();
    this->edit("one", 3, "workspace a", workspaceSection(1, "2"));
    EXPECT_FALSE(this->state.apply(9, encodeChange(makeUse("far", "peak", 9))).isAccepted);
    EXPECT_EQ(this->state.nextOffset(), 4U);
    EXPECT_FALSE(this->state.restore(older).value());
    EXPECT_EQ(this->weightOf(1), 2);
}

// Generates a random stream of changes, some of them stale, repeated, invalid or malformed.
class RandomStream {
public:
    explicit RandomStream(std::uint64_t seed)
        : random(seed)
    {
    }

    std::vector<std::string> generate(std::size_t count)
    {
        std::vector<std::string> records;
        for (std::size_t i = 0; i < count; ++i)
            records.push_back(this->generateOne(records));
        return records;
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t> { 0, bound - 1 }(this->random);
    }

private:
    std::string generateOne(const std::vector<std::string>& previous)
    {
        const auto id = "change" + std::to_string(previous.size());
        const auto basedOn = previous.size() - std::min(previous.size(), this->below(4));
        const auto preset = "p" + std::to_string(this->below(3));
        const auto section = this->below(6);
        const auto values = this->below(4) == 0
            ? std::nullopt
            : std::optional { workspaceSection(this->below(8), std::to_string(this->below(5))) };
        switch (this->below(8)) {
        case 0:
            return previous.empty() ? "{" : previous[this->below(previous.size())];
        case 1:
            return encodeChange(makeUse(id, preset, basedOn));
        case 2:
            return encodeChange(makeDelete(id, preset, basedOn));
        default:
            return encodeChange(makeEdit(id, preset, basedOn, { { "workspace " + std::to_string(section), values } }));
        }
    }

    std::mt19937_64 random;
};

// Instances receive the stream as records, as snapshots of peers and as checkpoints. If the results differed, instances
// would apply different presets and the parts of their checkpoints would not match.
TEST(ConfigurationReplayTest, AnySequenceOfRecordsSnapshotsAndCheckpointsEndsInTheSameState)
{
    const auto seed = marigoldpaddle::testing::seedFromEnvironment();
    SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed));
    RandomStream stream { seed };
    const auto records = stream.generate(3000);
    ConfigurationState reference;
    for (std::size_t i = 0; i < records.size(); ++i)
        reference.apply(i, records[i]);
    for (int path = 0; path < 10; ++path) {
        ConfigurationState ahead;
        ConfigurationState follower;
        std::optional<CheckpointAssembler::Assembled> checkpoint;
        for (std::size_t i = 0; i < records.size(); ++i) {
            ahead.apply(i, records[i]);
            if (stream.below(100) == 0)
                ASSERT_TRUE(follower.restore(ahead.snapshot()).value());
            else if (stream.below(300) == 0) {
                CheckpointAssembler assembler;
                for (const auto& part : encodeCheckpoint(ahead))
                    checkpoint = assembler.add(part);
                ASSERT_TRUE(follower.restore(checkpoint.value().snapshot).value());
            } else
                follower.apply(i, records[i]);
        }
        EXPECT_EQ(follower.snapshot(), reference.snapshot()) << "path " << path;
    }
}

TEST(ConfigurationRecordsTest, MutatedRecordsAndSnapshotsNeverCrashAndKeepTheStateValid)
{
    const auto seed = marigoldpaddle::testing::seedFromEnvironment();
    SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed));
    RandomStream stream { seed };
    ConfigurationState state;
    for (auto record : stream.generate(4000)) {
        for (auto mutations = stream.below(3); mutations > 0; --mutations)
            record[stream.below(record.size())] = static_cast<char>(stream.below(256));
        state.apply(state.nextOffset(), record);
        CheckpointAssembler {}.add(record);
    }
    auto snapshot = state.snapshot();
    ConfigurationState copy;
    EXPECT_TRUE(copy.restore(snapshot).value());
    EXPECT_EQ(copy.snapshot(), snapshot);
    for (int i = 0; i < 200; ++i) {
        auto damaged = snapshot;
        damaged[stream.below(damaged.size())] = static_cast<char>(stream.below(256));
        ConfigurationState restored;
        std::ignore = restored.restore(damaged);
    }
}

TEST(ConfigurationRecordsTest, RecordLargerThanAllowedIsRefusedAndAdvancesTheOffset)
{
    ConfigurationState state;
    const auto verdict = state.apply(0, std::string(ConfigurationLimits::RecordBytes + 1, '['));
    EXPECT_EQ(verdict.error, ConfigurationError::MalformedRecord);
    EXPECT_EQ(state.nextOffset(), 1U);
    EXPECT_EQ(state.apply(1, std::string(100'000, '[')).error, ConfigurationError::MalformedRecord);
}

TEST(ConfigurationCheckpointTest, CheckpointLargerThanOneRecordIsAssembledFromPartsOfTwoWriters)
{
    ConfigurationState state;
    for (std::uint64_t edit = 0; edit < 8; ++edit) {
        PresetSectionChanges sections;
        for (std::uint64_t i = 500 * edit; i < 500 * (edit + 1); ++i)
            sections.emplace("workspace ü" + std::to_string(i), workspaceSection(i));
        const auto id = "edit" + std::to_string(edit);
        ASSERT_TRUE(applyNext(state, makeEdit(id, "p", state.nextOffset(), std::move(sections))).isAccepted);
    }
    const auto parts = encodeCheckpoint(state);
    ASSERT_GT(parts.size(), 1U);
    auto other = state;
    const auto otherParts = encodeCheckpoint(other);
    CheckpointAssembler assembler;
    std::optional<CheckpointAssembler::Assembled> assembled;
    for (std::size_t i = 0; i < parts.size(); ++i)
        assembled = assembler.add(i % 2 == 0 ? parts[i] : otherParts[i]);
    ASSERT_TRUE(assembled);
    EXPECT_EQ(assembled->asOf, state.nextOffset());
    EXPECT_EQ(assembled->snapshot, state.snapshot());
}

}
