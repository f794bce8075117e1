#include <vector>

#include "standins/EngineStandin.h"

using namespace marigoldpaddle;

namespace {

constexpr SettingSpecification EngineSpecifications[] = {
    { "engine", "model", SettingKind::Text, 0, 0, "marigold-small", "model that the engine serves" },
    { "engine", "memory_tokens", SettingKind::Integer, 1, 100'000'000, "400000", "KV cache capacity, in tokens" },
    { "engine", "prefill_tokens_per_second", SettingKind::Real, 1, 100'000'000, "100000", "prefill speed" },
    { "engine", "token_interval_ms", SettingKind::Milliseconds, 0, 10'000, "10",
        "interval between two tokens of a stream" },
    { "engine", "lists_allocations", SettingKind::Flag, 0, 0, "true", "whether load reports list the allocations" },
    { "engine", "checks_fencing", SettingKind::Flag, 0, 0, "true",
        "whether orders with an outdated fencing number are refused" },
};

standins::EngineSettings engineSettings(const Settings& values)
{
    standins::EngineSettings settings;
    settings.model = values.text("engine", "model");
    settings.memoryTokens = static_cast<std::uint64_t>(values.integer("engine", "memory_tokens"));
    settings.prefillTokensPerSecond = values.real("engine", "prefill_tokens_per_second");
    settings.tokenInterval = values.milliseconds("engine", "token_interval_ms");
    settings.canListAllocations = values.flag("engine", "lists_allocations");
    settings.checksFencing = values.flag("engine", "checks_fencing");
    return settings;
}

}

int main(int argc, char** argv)
{
    std::vector<SettingSpecification> settings { std::begin(standins::ListenSettings),
        std::end(standins::ListenSettings) };
    settings.insert(settings.end(), std::begin(EngineSpecifications), std::end(EngineSpecifications));
    const ProgramDescription description { "standin-engine", "Stand-in for a model engine, for tests and the demo.",
        settings };
    return runProgram(argc, argv, description, [](const Settings& values) {
        boost::asio::io_context context { 1 };
        standins::EngineStandin engine { context, engineSettings(values) };
        return standins::serveUntilStopped(context, engine, values);
    });
}
