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

// Measurements of one run. Times are in seconds, shares between 0 and 1.
enum class Metric {
    ShortP50, // Time to first token, as all metrics up to OthersP95.
    ShortP95,
    ShortP99,
    MediumP95,
    LongP95,
    OthersP95, // Short prompts of all workspaces but the flooding one.
    GapP95, // Time between two tokens of the answer to a short prompt.
    Slowdown, // ShortP99 relative to the same run with short prompts only.
    PeakGoodput, // In the load peak: prefill time of requests that finished in time, relative to the capacity.
    InTime, // Share of admitted requests that finished by their deadline.
    LongInTime, // The same share, of medium and long requests.
    LongGoodput, // Tokens of medium and long requests that finished in time.
    Refused, // Share of all requests.
    RefusalP99, // Time from arrival to refusal.
    RetryAfterSuccess, // Share of retries after a refusal's Retry-After that were served.
    PrefixHits, // Share of the reusable prefix tokens that were cached.
    IdleMemory, // Mean share of free memory in cells with waiting requests.
    Fairness, // Jain's index over the workspaces' shares of tokens finished in time.
    Recovery, // Short p95 from 5 s after the load peak, relative to that before the peak.
    Retries, // Per request, not counting a retry after a refusal.
};

inline constexpr std::size_t MetricCount = static_cast<std::size_t>(Metric::Retries) + 1;

std::string_view name(Metric metric);

using Metrics = std::array<double, MetricCount>;

double& at(Metrics& metrics, Metric metric);
double at(const Metrics& metrics, Metric metric);

// Computes all metrics but Slowdown, which needs a second run with short prompts only and is left at 0.
Metrics measure(const RunResult& result, const RunParameters& parameters);

struct Estimate {
    double mean { 0 };
    double halfWidth { 0 }; // Of the 95% confidence interval.
};

// Metrics by workload, scenario and policy, with one entry per seed.
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
