// The bounds that the product's policy is held to, and its comparison with the baselines.
#include <algorithm>
#include <iomanip>
#include <string>

#include "PolicyReport.h"

namespace marigoldpaddle {

namespace {

constexpr double FirstTokenBound = 1.8; // Seconds.
constexpr double GapBound = 0.056; // Seconds.
constexpr double SlowdownBound = 1.25;
constexpr double LongGoodputBound = 0.9; // Against first come, first served.
constexpr double LongInTimeBound = 0.99;
constexpr double CrestInTimeBound = 0.999;
constexpr double CrestGoodputBound = 0.95;
constexpr double RecoveryBound = 1.25; // Waits within this factor of those before the crest are normal.
constexpr double RetryBound = 0.1;
constexpr double FloodBound = 1.1;

class BoundPrinter {
public:
    BoundPrinter(std::ostream& out, char workload, Scenario scenario)
        : out(out)
        , workload(workload)
        , scenario(scenario)
    {
    }

    void atMost(std::string_view what, double measured, double bound)
    {
        this->print(what, measured, "<=", bound, measured <= bound);
    }

    void atLeast(std::string_view what, double measured, double bound)
    {
        this->print(what, measured, ">=", bound, measured >= bound);
    }

private:
    void print(std::string_view what, double measured, std::string_view relation, double bound, bool isMet)
    {
        this->out << "| " << this->workload << " | " << name(this->scenario) << " | " << what << " | " << measured
                  << " | " << relation << ' ' << bound << " | " << (isMet ? "met" : "**not met**") << " |\n";
    }

    std::ostream& out;
    char workload;
    Scenario scenario;
};

bool isSwing(Scenario scenario)
{
    return scenario == Scenario::Swing || scenario == Scenario::Deaths;
}

// The measure that the users of a workload weigh most.
Metric chiefMetric(char workload, Scenario scenario)
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
            auto own = [&](Metric metric) {
                return this->estimate({ workload, scenario, Policy::SlackCost }, metric).mean;
            };
            BoundPrinter bounds { out, workload, scenario };
            if (!isSwing(scenario)) {
                bounds.atMost("short first token p95, s", own(Metric::ShortP95), FirstTokenBound);
                bounds.atMost("short token gap p95, s", own(Metric::GapP95), GapBound);
            }
            if (scenario == Scenario::Steady70 || scenario == Scenario::Steady95)
                bounds.atMost("short p99 against no long prompts", own(Metric::Slowdown), SlowdownBound);
            auto firstCome = this->estimate({ workload, scenario, Policy::FirstCome }, Metric::LongGoodput).mean;
            bounds.atLeast("long goodput against first-come", own(Metric::LongGoodput) / firstCome, LongGoodputBound);
            bounds.atLeast("admitted long prompts in time", own(Metric::LongInTime), LongInTimeBound);
            bounds.atMost("retries", own(Metric::Retries), RetryBound);
            if (isSwing(scenario)) {
                bounds.atLeast("admitted in time", own(Metric::InTime), CrestInTimeBound);
                bounds.atLeast("goodput at the crest", own(Metric::CrestGoodput), CrestGoodputBound);
                bounds.atMost("short p95 from 5 s after the crest", own(Metric::Recovery), RecoveryBound);
            }
            if (scenario == Scenario::Flood) {
                auto calm = this->estimate({ workload, Scenario::Steady70, Policy::SlackCost }, Metric::OthersP95).mean;
                bounds.atMost("others' short p95 against no flood", own(Metric::OthersP95) / calm, FloodBound);
            }
        }
    }
}

void PolicyTable::printComparison(std::ostream& out) const
{
    out << "| workload | scenario | chief measure | slack-cost | best baseline | | |\n|---|---|---|---|---|---|---|\n";
    for (auto workload : { 'A', 'B', 'C' }) {
        for (auto scenario : AllScenarios) {
            auto metric = chiefMetric(workload, scenario);
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
