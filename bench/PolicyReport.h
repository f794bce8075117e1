#pragma once

#include <array>
#include <map>
#include <ostream>
#include <span>
#include <string_view>
#include <tuple>
#include <vector>

#include "PolicyRun.h"

namespace marigoldpaddle {

// What is measured of one run. Times are in seconds, shares between 0 and 1.
enum class Metric {
    ShortP50, // Time to first token, as the following.
    ShortP95,
    ShortP99,
    MediumP95,
    LongP95,
    OthersP95, // Of short prompts of workspaces that do not flood.
    GapP95, // Between two tokens of short prompts.
    Slowdown, // Of the short prompts' p99 against the same run without any others.
    CrestGoodput, // Prefill for requests that finished in time, against what the engines could have done.
    InTime, // Of the admitted requests.
    LongInTime, // Of the admitted requests that are not short.
    LongGoodput, // Tokens of such requests that finished in time.
    Refused,
    RefusalP99, // From arrival to refusal.
    RetryAfterTruth, // Share of those who came back after Retry-After that were served.
    PrefixHits, // Of the tokens that an earlier request had too.
    IdleMemory, // While work waits.
    Fairness, // Jain's index of the workspaces' shares of tokens finished in time.
    Recovery, // Short p95 from 5 s after the crest, against that before it.
    Retries,
};

inline constexpr std::size_t MetricCount = static_cast<std::size_t>(Metric::Retries) + 1;

std::string_view name(Metric metric);

using Metrics = std::array<double, MetricCount>;

double& at(Metrics& metrics, Metric metric);
double at(const Metrics& metrics, Metric metric);

// Returns what was measured; Slowdown is left to the caller, who has the run without long prompts.
Metrics measure(const RunResult& result, const RunParameters& parameters);

struct Estimate {
    double mean { 0 };
    double halfWidth { 0 }; // Of the 95% confidence interval.
};

// One combination of policy, workload and scenario, with the measurements of its seeds.
class PolicyTable {
public:
    using Row = std::tuple<char, Scenario, Policy>;

    void add(const Row& row, const Metrics& metrics);
    Estimate estimate(const Row& row, Metric metric) const;

    void printRows(std::ostream& out) const;
    void printBounds(std::ostream& out) const;
    void printComparison(std::ostream& out) const;
    void printCsv(std::ostream& out) const;

private:
    std::map<Row, std::vector<Metrics>> rows;
};

}
