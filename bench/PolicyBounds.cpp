// Checks the product's policy against its performance bounds and compares it with the baselines.
#include <algorithm>
#include <iomanip>
#include <string>

#include "PolicyReport.h"

namespace marigoldpaddle {

namespace {

constexpr double FirstTokenBoundSeconds = 1.8;
constexpr double TokenGapBoundSeconds = 0.056;
constexpr double SlowdownBound = 1.25;
constexpr double LongGoodputBound = 0.9; // Relative to the first-come baseline.
constexpr double LongInTimeBound = 0.99;
constexpr double PeakInTimeBound = 0.999;
constexpr double PeakGoodputBound = 0.95;
constexpr double RecoveryBound = 1.25; // Short p95 after the load peak relative to that before it.
constexpr double RetryBound = 0.1; // Retries per request.
constexpr double FloodBound = 1.1; // Short p95 of other workspaces relative to a run without flood.

class BoundPrinter {
public:
    BoundPrinter(std::ostream& out, char workload, Scenario scenario)
        : out(out)
        , workload(workload)
        , scenario(scenario)
    {
    }

    void atMost(std::string_view label, double measured, double bound)
    {
        this->print(label, measured, "<=", bound, measured <= bound);
    }

    void atLeast(std::string_view label, double measured, double bound)
    {
        this->print(label, measured, ">=", bound, measured >= bound);
    }

private:
    void print(std::string_view label, double measured, std::string_view relation, double bound, bool isMet)
    {
        this->out << "| " << this->workload << " | " << name(this->scenario) << " | " << label << " | " << measured
                  << " | " << relation << ' ' << bound << " | " << (isMet ? "met" : "**not met**") << " |\n";
    }

    std::ostream& out;
    char workload;
    Scenario scenario;
};

bool isSwing(Scenario scenario)
{
    return scenario == Scenario::Swing || scenario == Scenario::EngineFailures;
}

// The metric that matters most to the users of a workload.
Metric primaryMetric(char workload, Scenario scenario)
{
    auto hasSlowdown = scenario == Scenario::Steady70 || scenario == Scenario::Steady95;
    return workload == 'B' && hasSlowdown ? Metric::Slowdown : Metric::ShortP95;
}

}

void PolicyTable::printBounds(std::ostream& out) const
{
    out << std::setprecision(4) << "| workload | scenario | bound | measured | limit | |\n|---|---|---|---|---|---|\n";
    for (auto workload : { 'A', 'B', 'C' }) {
        for (auto scenario : AllScenarios) {
            auto ownMean = [&](Metric metric) {
                return this->estimate({ workload, scenario, Policy::SlackCost }, metric).mean;
            };
            BoundPrinter bounds { out, workload, scenario };
            if (!isSwing(scenario)) {
                bounds.atMost("short first token p95, s", ownMean(Metric::ShortP95), FirstTokenBoundSeconds);
                bounds.atMost("short token gap p95, s", ownMean(Metric::GapP95), TokenGapBoundSeconds);
            }
            if (scenario == Scenario::Steady70 || scenario == Scenario::Steady95)
                bounds.atMost("short p99 against no long prompts", ownMean(Metric::Slowdown), SlowdownBound);
            auto firstCome = this->estimate({ workload, scenario, Policy::FirstCome }, Metric::LongGoodput).mean;
            bounds.atLeast(
                "long goodput against first-come", ownMean(Metric::LongGoodput) / firstCome, LongGoodputBound);
            bounds.atLeast("admitted long prompts in time", ownMean(Metric::LongInTime), LongInTimeBound);
            bounds.atMost("retries", ownMean(Metric::Retries), RetryBound);
            if (isSwing(scenario)) {
                bounds.atLeast("admitted in time", ownMean(Metric::InTime), PeakInTimeBound);
                bounds.atLeast("goodput at the crest", ownMean(Metric::PeakGoodput), PeakGoodputBound);
                bounds.atMost("short p95 from 5 s after the crest", ownMean(Metric::Recovery), RecoveryBound);
            }
            if (scenario == Scenario::Flood) {
                auto withoutFlood
                    = this->estimate({ workload, Scenario::Steady70, Policy::SlackCost }, Metric::OthersP95).mean;
                bounds.atMost(
                    "others' short p95 against no flood", ownMean(Metric::OthersP95) / withoutFlood, FloodBound);
            }
        }
    }
}

void PolicyTable::printComparison(std::ostream& out) const
{
    out << "| workload | scenario | chief measure | slack-cost | best baseline | | |\n|---|---|---|---|---|---|---|\n";
    for (auto workload : { 'A', 'B', 'C' }) {
        for (auto scenario : AllScenarios) {
            auto metric = primaryMetric(workload, scenario);
            auto mean = [&](Policy policy) {
                return this->estimate({ workload, scenario, policy }, metric).mean;
            };
            auto baselines = std::span { AllPolicies }.subspan(1);
            auto best = std::ranges::min(baselines, {}, mean);
            auto isAhead = mean(Policy::SlackCost) <= mean(best);
            out << "| " << workload << " | " << name(scenario) << " | " << name(metric) << " | "
                << mean(Policy::SlackCost) << " | " << mean(best) << " | " << name(best) << " | "
                << (isAhead ? "ahead" : "**behind**") << " |\n";
        }
    }
}

}
