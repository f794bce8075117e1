#include "PolicyParameters.h"

#include <vector>

#include "base/Settings.h"

namespace marigoldpaddle {

namespace {

constexpr std::string_view BandNames[BandCount] = { "short", "medium", "long" };

constexpr SettingSpecification Specifications[] = {
    { "engine", "memory_tokens", SettingKind::Integer, 1e4, 1e8, std::nullopt, "" },
    { "engine", "prefill_tokens_per_second", SettingKind::Real, 1e2, 1e7, std::nullopt, "" },
    { "engine", "attention_tokens", SettingKind::Real, 1e3, 1e9, std::nullopt, "" },
    { "engine", "iteration_base_ms", SettingKind::Real, 0, 1e3, std::nullopt, "" },
    { "engine", "iteration_ms_per_stream", SettingKind::Real, 0, 1e2, std::nullopt, "" },
    { "engine", "iteration_ms_per_million_context", SettingKind::Real, 0, 1e4, std::nullopt, "" },
    { "engine", "prefill_budget_ms", SettingKind::Real, 1, 1e3, std::nullopt, "" },
    { "engine", "maximum_streams", SettingKind::Integer, 1, 1e4, std::nullopt, "" },
    { "messages", "hop_ms", SettingKind::Milliseconds, 0, 1e3, std::nullopt, "" },
    { "messages", "report_period_ms", SettingKind::Milliseconds, 10, 1e4, std::nullopt, "" },
    { "messages", "report_lag_ms", SettingKind::Milliseconds, 0, 1e5, std::nullopt, "" },
    { "messages", "stale_report_lag_ms", SettingKind::Milliseconds, 0, 1e5, std::nullopt, "" },
    { "messages", "cache_lag_ms", SettingKind::Milliseconds, 0, 1e5, std::nullopt, "" },
    { "messages", "cache_gap", SettingKind::Real, 0, 1, std::nullopt, "" },
    { "messages", "detection_ms", SettingKind::Milliseconds, 0, 1e5, std::nullopt, "" },
    { "messages", "digest_period_ms", SettingKind::Milliseconds, 10, 1e5, std::nullopt, "" },
    { "run", "engines", SettingKind::Integer, 1, 200, std::nullopt, "" },
    { "run", "zones", SettingKind::Integer, 1, 20, std::nullopt, "" },
    { "run", "workspaces", SettingKind::Integer, 3, 1e4, std::nullopt, "" },
    { "run", "dispatchers", SettingKind::Integer, 1, 100, std::nullopt, "" },
    { "run", "many_dispatchers", SettingKind::Integer, 1, 100, std::nullopt, "" },
    { "run", "warmup_ms", SettingKind::Milliseconds, 0, 1e6, std::nullopt, "" },
    { "run", "measured_ms", SettingKind::Milliseconds, 1e3, 1e7, std::nullopt, "" },
    { "run", "crest_ms", SettingKind::Milliseconds, 100, 1e6, std::nullopt, "" },
    { "run", "crest_rise_ms", SettingKind::Milliseconds, 1, 1e6, std::nullopt, "" },
    { "run", "swing_base_load", SettingKind::Real, 0, 10, std::nullopt, "" },
    { "run", "swing_factor", SettingKind::Real, 1, 100, std::nullopt, "" },
    { "run", "flood_load", SettingKind::Real, 0, 100, std::nullopt, "" },
    { "run", "ownership_period_ms", SettingKind::Milliseconds, 100, 1e7, std::nullopt, "" },
    { "run", "retry_budget", SettingKind::Real, 0, 1, std::nullopt, "" },
    { "run", "returning", SettingKind::Real, 0, 1, std::nullopt, "" },
    { "workload *", "short_share", SettingKind::Real, 0, 1, std::nullopt, "" },
    { "workload *", "short_minimum", SettingKind::Integer, 1, 1e7, std::nullopt, "" },
    { "workload *", "short_maximum", SettingKind::Integer, 1, 1e7, std::nullopt, "" },
    { "workload *", "short_output_minimum", SettingKind::Integer, 1, 1e5, std::nullopt, "" },
    { "workload *", "short_output_maximum", SettingKind::Integer, 1, 1e5, std::nullopt, "" },
    { "workload *", "short_allowed_ms", SettingKind::Milliseconds, 1, 1e7, std::nullopt, "" },
    { "workload *", "medium_share", SettingKind::Real, 0, 1, std::nullopt, "" },
    { "workload *", "medium_minimum", SettingKind::Integer, 1, 1e7, std::nullopt, "" },
    { "workload *", "medium_maximum", SettingKind::Integer, 1, 1e7, std::nullopt, "" },
    { "workload *", "medium_output_minimum", SettingKind::Integer, 1, 1e5, std::nullopt, "" },
    { "workload *", "medium_output_maximum", SettingKind::Integer, 1, 1e5, std::nullopt, "" },
    { "workload *", "medium_allowed_ms", SettingKind::Milliseconds, 1, 1e7, std::nullopt, "" },
    { "workload *", "long_share", SettingKind::Real, 0, 1, std::nullopt, "" },
    { "workload *", "long_minimum", SettingKind::Integer, 1, 1e7, std::nullopt, "" },
    { "workload *", "long_maximum", SettingKind::Integer, 1, 1e7, std::nullopt, "" },
    { "workload *", "long_output_minimum", SettingKind::Integer, 1, 1e5, std::nullopt, "" },
    { "workload *", "long_output_maximum", SettingKind::Integer, 1, 1e5, std::nullopt, "" },
    { "workload *", "long_allowed_ms", SettingKind::Milliseconds, 1, 1e7, std::nullopt, "" },
    { "workload *", "session_length", SettingKind::Integer, 1, 1e3, std::nullopt, "" },
    { "workload *", "session_pause_ms", SettingKind::Milliseconds, 0, 1e7, std::nullopt, "" },
};

EngineParameters readEngine(const Settings& settings)
{
    EngineParameters engine;
    engine.memoryTokens = static_cast<std::uint64_t>(settings.integer("engine", "memory_tokens"));
    engine.prefillTokensPerSecond = settings.real("engine", "prefill_tokens_per_second");
    engine.attentionTokens = settings.real("engine", "attention_tokens");
    engine.iterationBaseSeconds = settings.real("engine", "iteration_base_ms") / 1e3;
    engine.secondsPerStream = settings.real("engine", "iteration_ms_per_stream") / 1e3;
    engine.secondsPerContextToken = settings.real("engine", "iteration_ms_per_million_context") / 1e9;
    engine.prefillBudgetSeconds = settings.real("engine", "prefill_budget_ms") / 1e3;
    engine.maximumStreams = static_cast<std::uint32_t>(settings.integer("engine", "maximum_streams"));
    return engine;
}

MessageParameters readMessages(const Settings& settings)
{
    MessageParameters messages;
    messages.hopDelay = settings.milliseconds("messages", "hop_ms");
    messages.reportPeriod = settings.milliseconds("messages", "report_period_ms");
    messages.reportLag = settings.milliseconds("messages", "report_lag_ms");
    messages.staleReportLag = settings.milliseconds("messages", "stale_report_lag_ms");
    messages.cacheLag = settings.milliseconds("messages", "cache_lag_ms");
    messages.cacheEventLossShare = settings.real("messages", "cache_gap");
    messages.detectionDelay = settings.milliseconds("messages", "detection_ms");
    messages.digestPeriod = settings.milliseconds("messages", "digest_period_ms");
    return messages;
}

RunParameters readRun(const Settings& settings)
{
    auto size = [&](std::string_view key) {
        return static_cast<std::size_t>(settings.integer("run", key));
    };
    RunParameters run;
    run.engines = size("engines");
    run.zones = size("zones");
    run.workspaces = size("workspaces");
    run.dispatchers = size("dispatchers");
    run.manyDispatchers = size("many_dispatchers");
    run.warmup = settings.milliseconds("run", "warmup_ms");
    run.measuredTime = settings.milliseconds("run", "measured_ms");
    run.peakDuration = settings.milliseconds("run", "crest_ms");
    run.peakRiseTime = settings.milliseconds("run", "crest_rise_ms");
    run.swingBaseLoad = settings.real("run", "swing_base_load");
    run.swingFactor = settings.real("run", "swing_factor");
    run.floodLoad = settings.real("run", "flood_load");
    run.ownershipPeriod = settings.milliseconds("run", "ownership_period_ms");
    run.retryBudget = settings.real("run", "retry_budget");
    run.returningShare = settings.real("run", "returning");
    return run;
}

LengthBand readBand(const Settings& settings, const std::string& section, const std::string& name)
{
    auto integer = [&](const std::string& key) {
        return settings.integer(section, name + key);
    };
    LengthBand band;
    band.share = settings.real(section, name + "_share");
    band.minimumTokens = static_cast<double>(integer("_minimum"));
    band.maximumTokens = static_cast<double>(integer("_maximum"));
    band.minimumOutput = static_cast<std::uint64_t>(integer("_output_minimum"));
    band.maximumOutput = static_cast<std::uint64_t>(integer("_output_maximum"));
    band.allowedTime = settings.milliseconds(section, name + "_allowed_ms");
    return band;
}

WorkloadParameters readWorkload(const Settings& settings, char name)
{
    auto section = std::string { "workload " } + name;
    WorkloadParameters workload;
    for (std::size_t band = 0; band < BandCount; ++band)
        workload.bands[band] = readBand(settings, section, std::string { BandNames[band] });
    workload.sessionLength = static_cast<std::uint64_t>(settings.integer(section, "session_length"));
    workload.sessionPause = settings.milliseconds(section, "session_pause_ms");
    return workload;
}

}

boost::leaf::result<PolicyParameters> loadPolicyParameters(const std::string& path)
{
    BOOST_LEAF_AUTO(settings, Settings::load(path, Specifications));
    PolicyParameters parameters;
    parameters.engine = readEngine(settings);
    parameters.messages = readMessages(settings);
    parameters.run = readRun(settings);
    for (auto name : { 'A', 'B', 'C' })
        parameters.workloads[name] = readWorkload(settings, name);
    return parameters;
}

}
