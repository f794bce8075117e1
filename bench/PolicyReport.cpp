#include "PolicyReport.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <ranges>

namespace marigoldpaddle {

namespace {

constexpr std::string_view MetricNames[MetricCount] = { "short p50", "short p95", "short p99", "medium p95", "long p95",
    "others p95", "gap p95", "slowdown", "crest goodput", "in time", "long in time", "long goodput", "refused",
    "refusal p99", "retry-after truth", "prefix hits", "idle memory", "fairness", "recovery", "retries" };
constexpr double StudentFactor = 2.776; // Student's t for a two-sided 95% interval over five seeds.
constexpr std::chrono::seconds RecoveryDelay { 5 }; // From the end of the load peak.
constexpr std::chrono::seconds RecoveryWindow { 10 };
constexpr double FloodWorkspace = 2;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    auto index = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(index, 1, values.size()) - 1];
}

double ratio(double part, double whole, double fallback)
{
    return whole > 0 ? part / whole : fallback;
}

using Outcomes = std::span<const RequestOutcome>;

template <typename Predicate> std::vector<double> firstTokenTimes(Outcomes outcomes, Predicate predicate)
{
    std::vector<double> times;
    for (const auto& outcome : outcomes)
        if (outcome.firstToken && predicate(outcome))
            times.push_back(seconds(*outcome.firstToken));
    return times;
}

double gapQuantile(std::span<const std::uint64_t> bins, double share)
{
    auto total = std::accumulate(bins.begin(), bins.end(), std::uint64_t { 0 });
    auto targetCount = share * static_cast<double>(total);
    double cumulativeCount = 0;
    for (std::size_t bin = 0; bin < bins.size(); ++bin) {
        cumulativeCount += static_cast<double>(bins[bin]);
        if (cumulativeCount >= targetCount)
            return static_cast<double>(bin + 1) / 1e3;
    }
    return 0;
}

double fairness(Outcomes outcomes)
{
    std::map<std::size_t, std::pair<double, double>> byWorkspace;
    for (const auto& outcome : outcomes) {
        auto& [finishedTokens, requestedTokens] = byWorkspace[outcome.workspace];
        requestedTokens += static_cast<double>(outcome.tokens);
        finishedTokens += outcome.isInTime && !outcome.refused ? static_cast<double>(outcome.tokens) : 0;
    }
    double sum = 0;
    double squares = 0;
    for (const auto& [finishedTokens, requestedTokens] : byWorkspace | std::views::values) {
        sum += finishedTokens / requestedTokens;
        squares += finishedTokens / requestedTokens * finishedTokens / requestedTokens;
    }
    return ratio(sum * sum, squares * static_cast<double>(byWorkspace.size()), 1);
}

void measureFirstTokens(Outcomes outcomes, const RunResult& result, Metrics& metrics)
{
    auto isBand = [](std::size_t band) {
        return [band](const RequestOutcome& each) {
            return each.band == band;
        };
    };
    auto isShort = isBand(0);
    auto shortTimes = firstTokenTimes(outcomes, isShort);
    at(metrics, Metric::ShortP50) = quantile(shortTimes, 0.5);
    at(metrics, Metric::ShortP95) = quantile(shortTimes, 0.95);
    at(metrics, Metric::ShortP99) = quantile(shortTimes, 0.99);
    at(metrics, Metric::MediumP95) = quantile(firstTokenTimes(outcomes, isBand(1)), 0.95);
    at(metrics, Metric::LongP95) = quantile(firstTokenTimes(outcomes, isBand(2)), 0.95);
    auto isOther = [](const RequestOutcome& each) {
        return each.band == 0 && each.workspace != FloodWorkspace;
    };
    at(metrics, Metric::OthersP95) = quantile(firstTokenTimes(outcomes, isOther), 0.95);
    if (result.peakEnd == Duration::zero())
        return;
    auto isBefore = [&](const RequestOutcome& each) {
        return isShort(each) && each.arrival < result.peakStart;
    };
    auto isAfter = [&](const RequestOutcome& each) {
        auto sincePeak = each.arrival - result.peakEnd;
        return isShort(each) && sincePeak >= RecoveryDelay && sincePeak < RecoveryDelay + RecoveryWindow;
    };
    at(metrics, Metric::Recovery) = ratio(
        quantile(firstTokenTimes(outcomes, isAfter), 0.95), quantile(firstTokenTimes(outcomes, isBefore), 0.95), 0);
}

void measureCompletions(Outcomes outcomes, Metrics& metrics)
{
    double admitted = 0;
    double inTime = 0;
    double longAdmitted = 0;
    double longInTime = 0;
    double returned = 0;
    double servedRetries = 0;
    double retryCount = 0;
    std::vector<double> refusals;
    for (const auto& outcome : outcomes) {
        auto retries = outcome.attempts > 0 ? outcome.attempts - 1 : 0;
        retryCount += outcome.retriedAfterRefusal && retries > 0 ? retries - 1 : retries;
        if (outcome.refused) {
            refusals.push_back(seconds(*outcome.refused));
            returned += outcome.retriedAfterRefusal ? 1 : 0;
            servedRetries += outcome.servedAfterRefusal ? 1 : 0;
            continue;
        }
        admitted += 1;
        inTime += outcome.isInTime ? 1 : 0;
        longAdmitted += outcome.band > 0 ? 1 : 0;
        longInTime += outcome.band > 0 && outcome.isInTime ? 1 : 0;
        if (outcome.band > 0 && outcome.isInTime)
            at(metrics, Metric::LongGoodput) += static_cast<double>(outcome.tokens);
    }
    auto count = static_cast<double>(outcomes.size());
    at(metrics, Metric::InTime) = ratio(inTime, admitted, 1);
    at(metrics, Metric::LongInTime) = ratio(longInTime, longAdmitted, 1);
    at(metrics, Metric::Refused) = ratio(static_cast<double>(refusals.size()), count, 0);
    at(metrics, Metric::RefusalP99) = quantile(refusals, 0.99);
    at(metrics, Metric::RetryAfterSuccess) = ratio(servedRetries, returned, 1);
    at(metrics, Metric::Retries) = ratio(retryCount, count, 0);
}

}

std::string_view name(Metric metric)
{
    return MetricNames[static_cast<std::size_t>(metric)];
}

double& at(Metrics& metrics, Metric metric)
{
    return metrics[static_cast<std::size_t>(metric)];
}

double at(const Metrics& metrics, Metric metric)
{
    return metrics[static_cast<std::size_t>(metric)];
}

Metrics measure(const RunResult& result, const RunParameters& parameters)
{
    Metrics metrics {};
    auto isMeasured = [&](const RequestOutcome& each) {
        return each.arrival >= parameters.warmup;
    };
    auto first = std::ranges::find_if(result.outcomes, isMeasured);
    Outcomes outcomes { first, result.outcomes.end() };
    measureFirstTokens(outcomes, result, metrics);
    measureCompletions(outcomes, metrics);
    at(metrics, Metric::GapP95) = gapQuantile(result.shortGaps, 0.95);
    at(metrics, Metric::PrefixHits)
        = ratio(static_cast<double>(result.cachedTokens), static_cast<double>(result.reusableTokens), 0);
    at(metrics, Metric::IdleMemory) = result.idleMemory;
    at(metrics, Metric::Fairness) = fairness(outcomes);
    double usefulPrefillSeconds = 0;
    for (const auto& outcome : outcomes)
        usefulPrefillSeconds += outcome.isInTime ? outcome.peakPrefillSeconds : 0;
    at(metrics, Metric::PeakGoodput) = ratio(usefulPrefillSeconds, result.peakCapacitySeconds, 0);
    return metrics;
}

void PolicyTable::add(const Row& row, const Metrics& metrics)
{
    this->rows[row].push_back(metrics);
}

Estimate PolicyTable::estimate(const Row& row, Metric metric) const
{
    auto found = this->rows.find(row);
    if (found == this->rows.end())
        return {};
    auto values = found->second | std::views::transform([metric](const Metrics& each) { return at(each, metric); });
    auto count = static_cast<double>(found->second.size());
    auto mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
    double squares = 0;
    for (auto value : values)
        squares += (value - mean) * (value - mean);
    auto deviation = count > 1 ? std::sqrt(squares / (count - 1)) : 0;
    return { mean, StudentFactor * deviation / std::sqrt(count) };
}

void PolicyTable::printRows(std::ostream& out) const
{
    out << "| workload | scenario | policy |";
    for (auto metric : MetricNames)
        out << ' ' << metric << " |";
    out << "\n|---|---|---|";
    for (std::size_t i = 0; i < MetricCount; ++i)
        out << "---|";
    out << '\n' << std::setprecision(3);
    for (const auto& row : this->rows | std::views::keys) {
        const auto& [workload, scenario, policy] = row;
        out << "| " << workload << " | " << name(scenario) << " | " << name(policy) << " |";
        for (std::size_t i = 0; i < MetricCount; ++i) {
            auto [mean, halfWidth] = this->estimate(row, static_cast<Metric>(i));
            out << ' ' << mean << " ± " << halfWidth << " |";
        }
        out << '\n';
    }
}

void PolicyTable::printCsv(std::ostream& out) const
{
    out << "workload,scenario,policy";
    for (auto metric : MetricNames)
        out << ',' << metric;
    out << '\n';
    for (const auto& row : this->rows | std::views::keys) {
        const auto& [workload, scenario, policy] = row;
        out << workload << ',' << name(scenario) << ',' << name(policy);
        for (std::size_t i = 0; i < MetricCount; ++i)
            out << ',' << this->estimate(row, static_cast<Metric>(i)).mean;
        out << '\n';
    }
}

}
