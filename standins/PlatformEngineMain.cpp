#include <vector>

#include "standins/PlatformEngineStandin.h"

using namespace marigoldpaddle;

namespace {

// Defaults: the engine profile of the first deployment. Times are in milliseconds.
constexpr SettingSpecification EngineSpecifications[] = {
    { "engine", "id", SettingKind::Text, 0, 0, std::nullopt, "id that the engine is registered under" },
    { "engine", "slots", SettingKind::Integer, 1, 1000, "16", "requests decoded at the same time" },
    { "engine", "memory_tokens", SettingKind::Integer, 1, 100'000'000, "450000", "KV cache capacity, in tokens" },
    { "engine", "step_ms", SettingKind::Real, 0, 1000, "0.925", "base duration of a decode step, in ms" },
    { "engine", "step_ms_per_request", SettingKind::Real, 0, 1000, "0.00483",
        "added to a step for each request, in ms" },
    { "engine", "step_ms_per_thousand_tokens", SettingKind::Real, 0, 1000, "0.00254",
        "added to a step for each thousand tokens of context, in ms" },
    { "engine", "tokens_read_per_ms", SettingKind::Real, 0.001, 1'000'000, "256", "speed of prefill" },
    { "engine", "ms_per_million_pairs", SettingKind::Real, 0, 1000, "0.0917",
        "added to prefill for each million attention pairs" },
    { "engine", "tokens_read_per_step", SettingKind::Integer, 1, 1'000'000, "2048",
        "prompt tokens prefilled in a step" },
    { "engine", "steps_per_pass", SettingKind::Integer, 1, 10'000, "46", "steps of a pass that decodes" },
    { "engine", "report_lag_ms", SettingKind::Milliseconds, 0, 60'000, "200", "age of load reports" },
};

standins::PlatformEngineSettings engineSettings(const Settings& values)
{
    standins::PlatformEngineSettings settings;
    settings.id = values.text("engine", "id");
    auto& profile = settings.model.profile;
    profile.batchSlots = static_cast<unsigned>(values.integer("engine", "slots"));
    profile.memoryTokens = values.integer("engine", "memory_tokens");
    profile.stepMs = values.real("engine", "step_ms");
    profile.stepMsPerRequest = values.real("engine", "step_ms_per_request");
    profile.stepMsPerThousandContextTokens = values.real("engine", "step_ms_per_thousand_tokens");
    profile.promptTokensPerMs = values.real("engine", "tokens_read_per_ms");
    profile.msPerMillionPairs = values.real("engine", "ms_per_million_pairs");
    profile.stepsPerPass = static_cast<unsigned>(values.integer("engine", "steps_per_pass"));
    settings.model.prefillTokensPerStep = values.integer("engine", "tokens_read_per_step");
    settings.reportLag = values.milliseconds("engine", "report_lag_ms");
    return settings;
}

}

int main(int argc, char** argv)
{
    std::vector<SettingSpecification> settings { std::begin(standins::ListenSettings),
        std::end(standins::ListenSettings) };
    settings.insert(settings.end(), std::begin(EngineSpecifications), std::end(EngineSpecifications));
    const ProgramDescription description { "standin-platform-engine",
        "Stand-in for a model engine of the users' platform, for tests and the demo.", settings };
    return runProgram(argc, argv, description, [](const Settings& values) {
        boost::asio::io_context context { 1 };
        standins::PlatformEngineStandin engine { context, engineSettings(values) };
        return standins::serveUntilStopped(context, engine, values);
    });
}
