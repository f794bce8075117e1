#include "programs/ControlSession.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <gmock/gmock.h>

#include "configuration/Checkpoint.h"
#include "standins/ConfigurationChanges.h"
#include "standins/MemoryLog.h"

using namespace marigoldpaddle;
using namespace marigoldpaddle::standins;
using ::testing::AllOf;
using ::testing::HasSubstr;

namespace {

// Lists two instances and one target. The instances report the configured statuses; one without a status does not
// respond.
class FakeInstances final : public InstanceList, public StatusSource, public ConfigurationPeers {
public:
    boost::asio::awaitable<PlatformResult<InstanceListing>> list() override
    {
        InstanceListing listing;
        for (const auto* name : { "one", "two" }) {
            InstanceDescription instance;
            instance.name = name;
            instance.dispatcherAddress = name;
            listing.instances.push_back(std::move(instance));
        }
        TargetDescription target;
        target.name = "engine-1";
        target.serves = "small";
        target.isLeaving = true;
        listing.targets.push_back(std::move(target));
        co_return listing;
    }

    boost::asio::awaitable<std::optional<InstanceStatus>> status(std::string address) override
    {
        const auto found = this->statuses.find(address);
        co_return found == this->statuses.end() ? std::nullopt : std::optional { found->second };
    }

    boost::asio::awaitable<std::optional<ConfigurationUpdate>> fetch(std::string, std::uint64_t) override
    {
        co_return this->update;
    }

    std::map<std::string, InstanceStatus> statuses;
    std::optional<ConfigurationUpdate> update; // The answer of every instance to fetch().
};

class ControlSessionTest : public ::testing::Test {
protected:
    void SetUp() override
    {
        this->directory = std::filesystem::path { ::testing::TempDir() }
            / ("presets-" + std::string { ::testing::UnitTest::GetInstance()->current_test_info()->name() });
        std::filesystem::remove_all(this->directory);
        std::filesystem::create_directories(this->directory);
        this->write("ordinary.ini", "[limits]\nretry_budget = 0.1\n" + workspace("a", 1, "1"));
    }

    static std::string workspace(std::string_view name, std::uint64_t key, std::string_view weight)
    {
        return "[workspace " + std::string { name } + "]\nkey_sha256 = " + makeKeyDigest(key)
            + "\nweight = " + std::string { weight } + "\n";
    }

    void write(const std::string& file, const std::string& text)
    {
        std::filesystem::create_directories((this->directory / file).parent_path());
        std::ofstream { this->directory / file } << text;
    }

    // Runs one command line. Its output is stored in `out` and `errors`.
    ControlExit run(std::vector<std::string> words)
    {
        words.insert(words.begin(), { "marigoldctl", "--platform", "127.0.0.1:1" });
        std::vector<char*> arguments;
        std::ranges::transform(words, std::back_inserter(arguments), [](auto& each) { return each.data(); });
        std::ostringstream outStream;
        std::ostringstream errorStream;
        auto parsed = parseControlOptions(static_cast<int>(arguments.size()), arguments.data(), outStream, errorStream);
        auto exit = parsed.exit.value_or(ControlExit::Success);
        if (!parsed.exit) {
            boost::asio::io_context context;
            ControlSession session { parsed.options, this->log, this->instances, this->instances, this->instances,
                this->clock, outStream, errorStream };
            auto done = boost::asio::co_spawn(context, session.run(), boost::asio::use_future);
            context.run();
            exit = done.get();
        }
        this->out = outStream.str();
        this->errors = errorStream.str();
        return exit;
    }

    ConfigurationState stateOfLog()
    {
        ConfigurationState state;
        boost::asio::io_context context;
        ConfigurationPublisher publisher { this->log, this->clock };
        const auto read = [&]() -> boost::asio::awaitable<void> {
            const auto result = co_await publisher.readToEnd(state);
            EXPECT_TRUE(result);
        };
        boost::asio::co_spawn(context, read, boost::asio::detached);
        context.run();
        return state;
    }

    std::filesystem::path directory;
    SteadyClock clock;
    MemoryLog log;
    FakeInstances instances;
    std::string out;
    std::string errors;
};

TEST_F(ControlSessionTest, ApplyPublishesDifferencesAndARepeatedApplyPublishesNothing)
{
    EXPECT_EQ(this->run({ "diff", this->directory }), ControlExit::Different);
    EXPECT_EQ(this->run({ "apply", this->directory }), ControlExit::Success) << this->errors;
    EXPECT_EQ(this->log.next(), 1U);
    EXPECT_EQ(this->run({ "apply", this->directory }), ControlExit::Success);
    EXPECT_EQ(this->log.next(), 1U);
    EXPECT_EQ(this->run({ "diff", this->directory }), ControlExit::Success);
    this->write("ordinary.ini", workspace("a", 1, "2"));
    EXPECT_EQ(this->run({ "diff", this->directory }), ControlExit::Different);
    EXPECT_THAT(this->out, AllOf(HasSubstr("[limits] removed"), HasSubstr("[workspace a] weight: 1 -> 2")));
    EXPECT_EQ(this->run({ "apply", this->directory }), ControlExit::Success);
    EXPECT_EQ(this->stateOfLog().presets().at("ordinary").size(), 1U);
}

TEST_F(ControlSessionTest, ApplyBasedOnARevisionBeforeAnotherEditIsRefusedWithSectionAndRevisions)
{
    this->run({ "apply", this->directory });
    this->write("ordinary.ini", workspace("a", 1, "2"));
    this->run({ "apply", this->directory });
    this->write("ordinary.ini", workspace("a", 1, "3"));
    EXPECT_EQ(this->run({ "apply", this->directory, "--based-on", "1" }), ControlExit::Refused);
    EXPECT_THAT(
        this->errors, AllOf(HasSubstr("[workspace a]"), HasSubstr("at revision 1"), HasSubstr("based on revision 1")));
    EXPECT_EQ(this->run({ "--json", "apply", this->directory, "--based-on", "1" }), ControlExit::Refused);
    const auto result = boost::json::parse(this->out).at("results").at(0);
    EXPECT_EQ(result.at("outcome").as_string(), "refused");
    EXPECT_EQ(result.at("error").as_string(), "conflict");
}

TEST_F(ControlSessionTest, InvalidPresetFileIsRejectedWithFileKeyValueRangeAndNearestKey)
{
    this->write("ordinary.ini", "[limits]\nretry_buget = 0.1\n[class short]\nmaximum_tokens = -1\n");
    for (const auto* command : { "validate", "diff", "apply" }) {
        EXPECT_EQ(this->run({ command, this->directory }), ControlExit::Invalid);
        EXPECT_THAT(this->errors,
            AllOf(HasSubstr("ordinary.ini"), HasSubstr("nearest known key is retry_budget"),
                HasSubstr("maximum_tokens = -1: must be a whole number from 1 to")));
    }
    EXPECT_EQ(this->log.next(), 0U);
}

TEST_F(ControlSessionTest, FolderOfFilesIsOnePresetAndASectionInTwoFilesIsRejected)
{
    this->write("peak/limits.ini", "[limits]\nretry_budget = 0\n");
    this->write("peak/workspaces.ini", workspace("b", 2, "1"));
    EXPECT_EQ(this->run({ "apply", this->directory }), ControlExit::Success) << this->errors;
    EXPECT_EQ(this->stateOfLog().presets().at("peak").size(), 2U);
    this->write("peak/more.ini", "[limits]\nretry_budget = 1\n");
    EXPECT_EQ(this->run({ "validate", this->directory }), ControlExit::Invalid);
    EXPECT_THAT(this->errors, AllOf(HasSubstr("more.ini: [limits]: is also in"), HasSubstr("limits.ini")));
}

TEST_F(ControlSessionTest, UseShowListAndHistoryReportThePresetInForce)
{
    this->run({ "apply", this->directory });
    EXPECT_EQ(this->run({ "use", "ordinary" }), ControlExit::Success);
    EXPECT_EQ(this->run({ "use", "missing" }), ControlExit::Refused);
    EXPECT_EQ(this->run({ "delete", "ordinary" }), ControlExit::Refused);
    EXPECT_THAT(this->errors, HasSubstr("is in force"));
    this->run({ "list" });
    EXPECT_THAT(this->out, HasSubstr("* ordinary: 2 sections"));
    this->run({ "show", "ordinary", "limits" });
    EXPECT_EQ(this->out, "[limits]\nretry_budget = 0.1\n");
    EXPECT_EQ(this->run({ "show", "ordinary", "nothing" }), ControlExit::Invalid);
    this->run({ "history", "--json", "--limit", "2" });
    EXPECT_EQ(boost::json::parse(this->out).at("changes").as_array().size(), 2U);
}

TEST_F(ControlSessionTest, AppendWithALostAnswerIsDetectedAndALogOutageChangesNothing)
{
    this->log.lostAppendAnswers = 1;
    EXPECT_EQ(this->run({ "apply", this->directory }), ControlExit::Success) << this->errors;
    EXPECT_EQ(this->log.next(), 1U);
    this->log.isDown = true;
    EXPECT_EQ(this->run({ "use", "ordinary" }), ControlExit::Unavailable);
    EXPECT_THAT(this->errors, HasSubstr("unreachable"));
}

TEST_F(ControlSessionTest, TrimmedLogIsRestoredFromACheckpointOrAnInstanceAndWithoutEitherNothingIsPublished)
{
    this->run({ "apply", this->directory });
    this->run({ "use", "ordinary" });
    this->log.add(encodeCheckpoint(this->stateOfLog()).front());
    const auto current = this->stateOfLog();
    this->log.trim(2);
    EXPECT_EQ(this->run({ "list" }), ControlExit::Success);
    EXPECT_THAT(this->out, HasSubstr("* ordinary"));
    this->log.trim(3);
    EXPECT_EQ(this->run({ "use", "ordinary" }), ControlExit::Unavailable);
    EXPECT_THAT(this->errors, HasSubstr("neither the log nor an instance"));
    this->instances.update.emplace();
    this->instances.update->snapshot = current.snapshot();
    EXPECT_EQ(this->run({ "use", "ordinary" }), ControlExit::Unavailable); // The instance is not current.
    this->instances.update->isCurrent = true;
    EXPECT_EQ(this->run({ "use", "ordinary" }), ControlExit::Success);
}

TEST_F(ControlSessionTest, StatusReportsOffsetsAndFailsWhenAnInstanceIsBehindOrSilent)
{
    this->run({ "apply", this->directory });
    this->run({ "use", "ordinary" });
    this->instances.statuses = { { "one", { 2, "ordinary", true, 2 } }, { "two", { 2, "ordinary", true, 1 } } };
    EXPECT_EQ(this->run({ "status" }), ControlExit::Different);
    EXPECT_THAT(this->out, AllOf(HasSubstr("one"), HasSubstr("offset 2, gateway at 1, preset ordinary")));
    this->instances.statuses["two"].gatewayOffset = 2;
    EXPECT_EQ(this->run({ "status" }), ControlExit::Success);
    this->instances.statuses.erase("one");
    EXPECT_EQ(this->run({ "status" }), ControlExit::Different);
    EXPECT_THAT(this->out, HasSubstr("no answer"));
    EXPECT_EQ(this->run({ "targets" }), ControlExit::Success);
    EXPECT_THAT(this->out, HasSubstr("engine of small"));
}

TEST_F(ControlSessionTest, InvalidCommandLinesAreRejectedWithAnExplanation)
{
    EXPECT_EQ(this->run({ "aply", this->directory }), ControlExit::Invalid);
    EXPECT_THAT(this->errors, HasSubstr("the nearest is apply"));
    EXPECT_EQ(this->run({ "use" }), ControlExit::Invalid);
    EXPECT_EQ(this->run({ "--limit", "0", "history" }), ControlExit::Invalid);
    EXPECT_EQ(this->run({ "--nothing", "list" }), ControlExit::Invalid);
    EXPECT_EQ(this->run({ "--platform", "nowhere", "list" }), ControlExit::Invalid);
    EXPECT_EQ(this->run({}), ControlExit::Invalid);
    EXPECT_EQ(this->run({ "--help" }), ControlExit::Success);
    EXPECT_THAT(this->out, HasSubstr("Exit codes:"));
}

TEST_F(ControlSessionTest, TextThatCannotBeEncodedIsRejectedBeforePublication)
{
    this->write("ordinary.ini", "[model small]\nversion = \xff\xfe\n");
    EXPECT_EQ(this->run({ "apply", this->directory }), ControlExit::Invalid);
    EXPECT_THAT(this->errors, AllOf(HasSubstr("ordinary.ini"), HasSubstr("UTF-8")));
    EXPECT_EQ(this->log.next(), 0U);
}

}
