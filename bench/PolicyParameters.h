#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <boost/leaf/result.hpp>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// What the fake of an engine does in which time.
struct EngineParameters {
    std::uint64_t memoryTokens { 0 };
    double prefillTokensPerSecond { 0 };
    double attentionTokens { 0 }; // The context at which a token costs twice as much to prefill as at the start.
    double iterationBaseSeconds { 0 };
    double secondsPerStream { 0 }; // Of an iteration, for each stream that decodes.
    double secondsPerContextToken { 0 }; // Of an iteration, for each token that decoding streams attend to.
    double prefillBudgetSeconds { 0 }; // Time that one iteration may spend on prefill chunks.
    std::uint32_t maximumStreams { 0 };
};

struct MessageParameters {
    Duration hop {};
    Duration reportPeriod {};
    Duration reportLag {};
    Duration staleReportLag {};
    Duration cacheLag {};
    double cacheGap { 0 }; // Share of cache events that are lost.
    Duration detection {}; // From the death of an engine to its removal from the cell.
    Duration digestPeriod {};
};

// Prompts of one band of lengths, drawn log-uniformly; answers are drawn uniformly.
struct LengthBand {
    double share { 0 };
    double minimumTokens { 0 };
    double maximumTokens { 0 };
    std::uint64_t minimumOutput { 0 };
    std::uint64_t maximumOutput { 0 };
    Duration allowed {};
};

inline constexpr std::size_t BandCount = 3; // Short, medium and long.

struct WorkloadParameters {
    std::array<LengthBand, BandCount> bands;
    std::uint64_t sessionLength { 1 }; // Short prompts that follow each other, each with the last as its prefix.
    Duration sessionPause {};
};

struct RunParameters {
    std::size_t engines { 0 };
    std::size_t zones { 0 };
    std::size_t workspaces { 0 };
    std::size_t dispatchers { 0 };
    std::size_t manyDispatchers { 0 };
    Duration warmup {};
    Duration measured {};
    Duration crest {};
    Duration crestRise {};
    double swingBaseLoad { 0 };
    double swingFactor { 0 };
    double floodLoad { 0 };
    Duration ownershipPeriod {};
    double retryBudget { 0 };
    double returning { 0 };
};

struct PolicyParameters {
    EngineParameters engine;
    MessageParameters messages;
    RunParameters run;
    std::map<char, WorkloadParameters> workloads; // By name: A, B and C.
};

// Reads and checks the benchmark's INI file. Fails with SettingsError and SettingsProblem.
boost::leaf::result<PolicyParameters> loadPolicyParameters(const std::string& path);

}
