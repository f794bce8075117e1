#include <gmock/gmock.h>

#include "Seed.h"
#include "standins/ConfigurationChanges.h"
#include "standins/ConfigurationSimulation.h"

using namespace marigoldpaddle;
using namespace marigoldpaddle::standins;
using ::testing::Combine;
using ::testing::IsEmpty;
using ::testing::ValuesIn;

namespace {

constexpr std::size_t Instances = 5;
constexpr Duration InForceTimeLimit = 8s;

enum class Step {
    BeforeAppend,
    AppendedWithoutAnswer,
    ReadBack,
    Propagation,
    CheckpointWrite,
};

enum class Fault {
    LogDown,
    LogSlow,
    LogNotAnsweringSome,
    AppendAnswersLost,
    LogTrimmed,
    ConcurrentEditsOfOneSection,
    ConcurrentEditsOfTwoSections,
    ConcurrentUses,
    ConcurrentEditAndUse,
    ConcurrentDeleteAndUse,
    OneRestarted,
    AllButOneRestarted,
    AllButOneRestartedDuringLogOutage,
};

constexpr std::pair<Step, std::string_view> StepNames[] { { Step::BeforeAppend, "BeforeAppend" },
    { Step::AppendedWithoutAnswer, "AppendedWithoutAnswer" }, { Step::ReadBack, "ReadBack" },
    { Step::Propagation, "Propagation" }, { Step::CheckpointWrite, "CheckpointWrite" } };

constexpr std::pair<Fault, std::string_view> FaultNames[] { { Fault::LogDown, "LogDown" },
    { Fault::LogSlow, "LogSlow" }, { Fault::LogNotAnsweringSome, "LogNotAnsweringSome" },
    { Fault::AppendAnswersLost, "AppendAnswersLost" }, { Fault::LogTrimmed, "LogTrimmed" },
    { Fault::ConcurrentEditsOfOneSection, "ConcurrentEditsOfOneSection" },
    { Fault::ConcurrentEditsOfTwoSections, "ConcurrentEditsOfTwoSections" },
    { Fault::ConcurrentUses, "ConcurrentUses" }, { Fault::ConcurrentEditAndUse, "ConcurrentEditAndUse" },
    { Fault::ConcurrentDeleteAndUse, "ConcurrentDeleteAndUse" }, { Fault::OneRestarted, "OneRestarted" },
    { Fault::AllButOneRestarted, "AllButOneRestarted" },
    { Fault::AllButOneRestartedDuringLogOutage, "AllButOneRestartedDuringLogOutage" } };

template <typename Value, std::size_t Count>
std::string nameIn(const std::pair<Value, std::string_view> (&names)[Count], Value value)
{
    return std::string { std::ranges::find(names, value, &std::pair<Value, std::string_view>::first)->second };
}

std::vector<Step> allSteps()
{
    std::vector<Step> steps;
    std::ranges::transform(StepNames, std::back_inserter(steps), [](const auto& each) { return each.first; });
    return steps;
}

std::vector<Fault> allFaults()
{
    std::vector<Fault> faults;
    std::ranges::transform(FaultNames, std::back_inserter(faults), [](const auto& each) { return each.first; });
    return faults;
}

// An operator edits a section of the preset in force. Faults occur at chosen steps of the publication.
class FaultScenario {
public:
    explicit FaultScenario(std::uint64_t seed)
        : simulation(Instances, seed, scenarioSettings())
    {
        for (const auto* preset : { "ordinary", "peak" })
            this->publishAndWait(makeEdit(std::string { "make " } + preset, preset, this->author.nextOffset(),
                { { "workspace a", workspaceSection(1) }, { "workspace b", workspaceSection(2) } }));
        this->publishAndWait(makeUse("use", "ordinary", this->author.nextOffset()));
        this->simulation.run(60s); // Long enough for the first checkpoint to be written.
    }

    // Schedules a fault for when the edit reaches the step.
    void schedule(Step step, Fault fault)
    {
        const auto inject = [this, fault] {
            this->inject(fault);
        };
        switch (step) {
        case Step::BeforeAppend:
            this->beforeAppend.push_back(inject);
            break;
        case Step::AppendedWithoutAnswer:
            this->simulation.faults.lostAppendAnswers = 1;
            this->simulation.after(2ms, inject); // The append takes effect after one millisecond.
            break;
        case Step::ReadBack:
            this->onResult.push_back(inject);
            break;
        case Step::Propagation:
            this->simulation.extraDelay[1] = 2s; // One instance reads the record late.
            this->simulation.after(3ms, inject);
            break;
        case Step::CheckpointWrite:
            this->simulation.onCheckpointPart = [this, inject](std::uint64_t) {
                const auto action = inject; // A copy, because the next line destroys the callback.
                this->simulation.onCheckpointPart = nullptr;
                action();
            };
            this->simulation.run(20min);
            break;
        }
    }

    // Publishes the edit, clears the faults after 30 s and checks the outcome. Returns the problems found.
    std::vector<std::string> run()
    {
        std::ranges::for_each(this->beforeAppend, [](const auto& each) { each(); });
        std::optional<PublicationResult> result;
        auto edited = this->author;
        this->simulation.publish(edited,
            makeEdit(
                "the edit", "ordinary", this->author.nextOffset(), { { "workspace a", workspaceSection(1, "5") } }),
            [&](auto outcome) {
                result = std::move(outcome);
                this->expectInForceInTime(*result);
                std::ranges::for_each(this->onResult, [](const auto& each) { each(); });
            });
        this->simulation.run(30s);
        auto problems = this->simulation.violations;
        if (!result)
            problems.emplace_back("the publication returned no result");
        else
            this->checkResult(*result, problems);
        this->clearFaults();
        this->simulation.run(60s);
        if (!this->haveAllConverged())
            problems.emplace_back("the instances did not converge within 60 s after the faults");
        std::ranges::copy(this->simulation.violations, std::back_inserter(problems));
        return problems;
    }

    void clearFaults()
    {
        this->simulation.faults = {};
        this->simulation.extraDelay.clear();
    }

private:
    static FollowerSettings scenarioSettings()
    {
        FollowerSettings settings;
        settings.checkpoints.retention = 10min;
        return settings;
    }

    // Whether all instances are ready, at the end of the log, and in the same state.
    bool haveAllConverged() const
    {
        const auto first = this->simulation.follower(0)->state().snapshot();
        for (std::size_t i = 1; i < Instances; ++i) {
            if (this->simulation.follower(i)->state().snapshot() != first)
                return false;
        }
        return this->simulation.haveAllApplied(this->simulation.logEnd() - 1);
    }

    void expectInForceInTime(const PublicationResult& result)
    {
        if (result.outcome != PublicationOutcome::Accepted)
            return;
        this->simulation.after(InForceTimeLimit, [this, offset = result.verdict.offset] {
            this->isInForceInTime = this->isInForceInTime && this->simulation.haveAllApplied(offset);
        });
    }

    void publishAndWait(ConfigurationChange change)
    {
        std::optional<PublicationResult> result;
        this->simulation.publish(this->author, std::move(change), [&](auto outcome) { result = std::move(outcome); });
        this->simulation.run(1s);
        EXPECT_TRUE(result && result->outcome == PublicationOutcome::Accepted);
    }

    // The result must match the configuration state, and an accepted change must be in force everywhere in time.
    void checkResult(const PublicationResult& result, std::vector<std::string>& problems)
    {
        const auto verdict = this->simulation.follower(0)->state().findResult("the edit");
        if (result.outcome == PublicationOutcome::Accepted && !(verdict && verdict->isAccepted))
            problems.emplace_back("reported as accepted, but the configuration state did not accept it");
        if (result.outcome == PublicationOutcome::Refused && !(verdict && !verdict->isAccepted))
            problems.emplace_back("reported as refused, but the configuration state did not refuse it");
        if (result.outcome == PublicationOutcome::NotPublished && verdict)
            problems.emplace_back("reported as not published, but the configuration state contains it");
        // If all instances are restarted while the log is down, no instance has the presets and the time limit cannot
        // be met.
        if (result.outcome == PublicationOutcome::Accepted && !this->isInForceInTime
            && !this->simulation.wasEverWithoutReadyInstance)
            problems.emplace_back("not in force everywhere within 8 s of acceptance");
    }

    void inject(Fault fault)
    {
        switch (fault) {
        case Fault::LogDown:
            this->breakLog();
            break;
        case Fault::LogSlow:
            this->simulation.faults.delay = 2s;
            break;
        case Fault::LogNotAnsweringSome:
            for (std::size_t i = 1; i < Instances; i += 2)
                this->simulation.extraDelay[i] = 1h;
            break;
        case Fault::AppendAnswersLost:
            this->simulation.faults.lostAppendAnswers += 2;
            break;
        case Fault::LogTrimmed:
            this->simulation.trim(this->simulation.logEnd());
            break;
        case Fault::ConcurrentEditsOfOneSection:
            this->publishConcurrently(makeEdit(
                "concurrent", "ordinary", this->author.nextOffset(), { { "workspace a", workspaceSection(1, "7") } }));
            break;
        case Fault::ConcurrentEditsOfTwoSections:
            this->publishConcurrently(makeEdit(
                "concurrent", "ordinary", this->author.nextOffset(), { { "workspace b", workspaceSection(2, "7") } }));
            break;
        case Fault::ConcurrentUses:
            this->publishConcurrently(makeUse("concurrent", "peak", this->author.nextOffset()));
            this->publishConcurrently(makeUse("other concurrent", "ordinary", this->author.nextOffset()));
            break;
        case Fault::ConcurrentEditAndUse:
            this->publishConcurrently(makeUse("concurrent", "peak", this->author.nextOffset()));
            break;
        case Fault::ConcurrentDeleteAndUse:
            this->publishConcurrently(makeDelete("concurrent", "peak", this->author.nextOffset()));
            this->publishConcurrently(makeUse("other concurrent", "peak", this->author.nextOffset()));
            break;
        case Fault::OneRestarted:
            this->restart(0);
            break;
        case Fault::AllButOneRestartedDuringLogOutage:
            this->breakLog();
            [[fallthrough]];
        case Fault::AllButOneRestarted:
            for (std::size_t i = 1; i < Instances; ++i)
                this->restart(i);
            break;
        }
    }

    // Takes the log down for longer than the timeout of a publication.
    void breakLog()
    {
        this->simulation.faults.isDown = true;
        this->simulation.after(25s, [this] { this->simulation.faults.isDown = false; });
    }

    void restart(std::size_t index)
    {
        this->simulation.kill(index);
        this->simulation.after(100ms, [this, index] { this->simulation.start(index); });
    }

    // Publishes the change of another operator, who has read the same revision.
    void publishConcurrently(ConfigurationChange change)
    {
        this->concurrentAuthors.push_back(std::make_unique<ConfigurationState>(this->author));
        this->simulation.publish(*this->concurrentAuthors.back(), std::move(change),
            [this](const auto& result) { this->expectInForceInTime(result); });
    }

    ConfigurationSimulation simulation;
    ConfigurationState author;
    std::vector<std::unique_ptr<ConfigurationState>> concurrentAuthors;
    std::vector<std::function<void()>> beforeAppend;
    std::vector<std::function<void()>> onResult;
    bool isInForceInTime { true };
};

// Every fault at every step of a publication. Guards against a result that the log contradicts, an accepted change that
// does not reach all instances in time, and an instance whose offset decreases.
class FaultsConfigurationTest : public ::testing::TestWithParam<std::tuple<Step, Fault>> { };

TEST_P(FaultsConfigurationTest, ResultMatchesTheLogAndIsInForceEverywhereInTimeAndNoOffsetDecreases)
{
    const auto [step, fault] = this->GetParam();
    FaultScenario scenario { 1 };
    scenario.schedule(step, fault);
    EXPECT_THAT(scenario.run(), IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, FaultsConfigurationTest, Combine(ValuesIn(allSteps()), ValuesIn(allFaults())), [](const auto& info) {
        return nameIn(StepNames, std::get<0>(info.param)) + "_" + nameIn(FaultNames, std::get<1>(info.param));
    });

// Two faults drawn at random overlap. The log, the peers and the checkpoints can then all be unusable at the same time.
TEST(FaultsConfigurationPairsTest, RandomPairsOfFaultsEndInTheSameStateAndNoOffsetDecreases)
{
    const auto seed = marigoldpaddle::testing::seedFromEnvironment();
    std::mt19937_64 random { seed };
    const auto draw = [&](const auto& values) {
        return values[std::uniform_int_distribution<std::size_t> { 0, values.size() - 1 }(random)];
    };
    const auto steps = allSteps();
    const auto faults = allFaults();
    for (int pair = 0; pair < 40; ++pair) {
        const auto firstStep = draw(steps);
        const auto secondStep = draw(steps);
        const auto first = draw(faults);
        const auto second = draw(faults);
        SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed) + " pair " + std::to_string(pair) + ": "
            + nameIn(StepNames, firstStep) + "_" + nameIn(FaultNames, first) + " and " + nameIn(StepNames, secondStep)
            + "_" + nameIn(FaultNames, second));
        FaultScenario scenario { random() };
        scenario.schedule(firstStep, first);
        scenario.schedule(secondStep, second);
        EXPECT_THAT(scenario.run(), IsEmpty());
    }
}

}
