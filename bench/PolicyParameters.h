#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Capacity and timing of the simulated engine.
struct EngineParameters {
    std::uint64_t memoryTokens { 0 };
    double prefillTokensPerSecond { 0 };
    double attentionTokens { 0 }; // Context length at which prefill of a token takes twice as long as at length 0.
    double iterationBaseSeconds { 0 };
    double secondsPerStream { 0 }; // Added to an iteration by each decoding stream.
    double secondsPerContextToken { 0 }; // Added to an iteration by each context token of the decoding streams.
    double prefillBudgetSeconds { 0 }; // Maximum prefill time in one iteration.
    std::uint32_t maximumStreams { 0 };
};

struct MessageParameters {
    Duration hopDelay {}; // One-way delay of a message.
    Duration reportPeriod {};
    Duration reportLag {};
    Duration staleReportLag {}; // In the scenario with stale reports.
    Duration cacheLag {};
    double cacheEventLossShare { 0 }; // Share of cache events that are lost.
    Duration detectionDelay {}; // From the failure of an engine to its removal from the cell.
    Duration digestPeriod {};
};

// A range of prompt lengths. Prompt tokens are drawn log-uniformly, output tokens uniformly.
struct LengthBand {
    double share { 0 }; // Of the requests, 0 to 1.
    double minimumTokens { 0 };
    double maximumTokens { 0 };
    std::uint64_t minimumOutput { 0 };
    std::uint64_t maximumOutput { 0 };
    Duration allowedTime {};
};

inline constexpr std::size_t BandCount = 3; // Short, medium and long.

struct WorkloadParameters {
    std::array<LengthBand, BandCount> bands;
    std::uint64_t sessionLength { 1 }; // Short prompts in one session; each has the previous one as its prefix.
    Duration sessionPause {};
};

struct RunParameters {
    std::size_t engines { 0 };
    std::size_t zones { 0 };
    std::size_t workspaces { 0 };
    std::size_t dispatchers { 0 };
    std::size_t manyDispatchers { 0 };
    Duration warmup {};
    Duration measuredTime {};
    Duration peakDuration {}; // Time at full peak load.
    Duration peakRiseTime {}; // The fall takes as long.
    double swingBaseLoad { 0 }; // As a fraction of the engines' capacity.
    double swingFactor { 0 }; // Load at the peak relative to the base load.
    double floodLoad { 0 }; // Added by the flooding workspace.
    Duration ownershipPeriod {}; // Between two changes of owner of one cell.
    double retryBudget { 0 }; // Retries per request of the run.
    double returningShare { 0 }; // Share of refused callers that retry after the refusal's Retry-After.
};

struct PolicyParameters {
    EngineParameters engine;
    MessageParameters messages;
    RunParameters run;
    std::map<char, WorkloadParameters> workloads; // By name: A, B and C.
};

// Loads and validates the INI file of the benchmark. Fails with SettingsError and SettingsProblem.
boost::leaf::result<PolicyParameters> loadPolicyParameters(const std::string& path);

}
