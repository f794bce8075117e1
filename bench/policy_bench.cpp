// Runs the scheduling policy and its baselines over the workloads of policy.ini and prints tables.
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

#include <getopt.h>

#include <boost/leaf/handle_errors.hpp>

#include "PolicyReport.h"
#include "base/Settings.h"

using namespace marigoldpaddle;

namespace {

constexpr std::uint64_t SeedCount = 5;

struct Options {
    std::string parameters { "bench/policy.ini" };
    std::string csv;
    std::string workloads { "ABC" };
    std::uint64_t firstSeed { 1 };
    std::size_t threads { 4 };
    bool skipsOtherBaselines { false };
};

struct Job {
    PolicyTable::Row row;
    std::uint64_t seed { 0 };
    Metrics metrics {};
};

constexpr std::string_view HelpText = R"(Usage: policy_bench [options]
  --parameters FILE  INI file of the benchmark (bench/policy.ini)
  --csv FILE         write the means of every row as CSV
  --workloads NAMES  workloads to run (ABC)
  --seed N           first of five seeds (1)
  --threads N        number of parallel runs (4)
  --own-only         run only the product's policy and the first-come baseline
  --help             print this help text
)";

std::optional<Options> parse(int count, char** arguments)
{
    constexpr option LongOptions[] { { "parameters", required_argument, nullptr, 'p' },
        { "csv", required_argument, nullptr, 'c' }, { "workloads", required_argument, nullptr, 'w' },
        { "seed", required_argument, nullptr, 's' }, { "threads", required_argument, nullptr, 't' },
        { "own-only", no_argument, nullptr, 'o' }, { "help", no_argument, nullptr, 'h' }, {} };
    Options options;
    for (int key = 0; (key = getopt_long(count, arguments, "", LongOptions, nullptr)) != -1;) {
        if (key == 'p')
            options.parameters = optarg;
        else if (key == 'c')
            options.csv = optarg;
        else if (key == 'w')
            options.workloads = optarg;
        else if (key == 's')
            options.firstSeed = std::strtoull(optarg, nullptr, 10);
        else if (key == 't')
            options.threads = std::max<std::size_t>(1, std::strtoull(optarg, nullptr, 10));
        else if (key == 'o')
            options.skipsOtherBaselines = true;
        else
            return std::nullopt;
    }
    return options;
}

std::vector<Job> makeJobs(const Options& options)
{
    std::vector<Job> jobs;
    for (auto workload : options.workloads)
        for (auto scenario : AllScenarios)
            for (auto policy : AllPolicies)
                for (std::uint64_t seed = 0; seed < SeedCount; ++seed)
                    if (!options.skipsOtherBaselines || policy == Policy::SlackCost || policy == Policy::FirstCome)
                        jobs.push_back({ { workload, scenario, policy }, options.firstSeed + seed });
    return jobs;
}

void runJob(const PolicyParameters& parameters, Job& job)
{
    const auto& [workload, scenario, policy] = job.row;
    RunSettings settings { policy, workload, scenario, job.seed, false };
    job.metrics = measure(PolicyRun { parameters, settings }.run(), parameters.run);
    if (scenario != Scenario::Steady70 && scenario != Scenario::Steady95)
        return;
    settings.isShortOnly = true;
    auto shortOnly = measure(PolicyRun { parameters, settings }.run(), parameters.run);
    at(job.metrics, Metric::Slowdown) = at(job.metrics, Metric::ShortP99) / at(shortOnly, Metric::ShortP99);
}

void runAll(const PolicyParameters& parameters, std::span<Job> jobs, std::size_t threadCount)
{
    std::atomic<std::size_t> next { 0 };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < threadCount; ++i)
        threads.emplace_back([&] {
            for (auto index = next++; index < jobs.size(); index = next++)
                runJob(parameters, jobs[index]);
        });
}

int run(const Options& options, const PolicyParameters& parameters)
{
    auto jobs = makeJobs(options);
    runAll(parameters, jobs, options.threads);
    PolicyTable table;
    for (const auto& job : jobs)
        table.add(job.row, job.metrics);
    std::cout << "## Bounds\n\n";
    table.printBounds(std::cout);
    std::cout << "\n## Against the baselines\n\n";
    table.printComparison(std::cout);
    std::cout << "\n## All measurements\n\nMean and 95% confidence interval over " << SeedCount << " seeds.\n\n";
    table.printRows(std::cout);
    if (!options.csv.empty()) {
        std::ofstream csv { options.csv };
        table.printCsv(csv);
    }
    return EXIT_SUCCESS;
}

}

int main(int count, char** arguments)
{
    auto options = parse(count, arguments);
    if (!options) {
        std::cout << HelpText;
        return EXIT_FAILURE;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(parameters, loadPolicyParameters(options->parameters));
            return run(*options, parameters);
        },
        [](const SettingsProblem& problem) {
            std::cerr << problem.message << '\n';
            return EXIT_FAILURE;
        },
        [] { return EXIT_FAILURE; });
}
