// Measures the processor time of one scheduling decision and the memory per queued request, by queue length.
#include <malloc.h>

#include <benchmark/benchmark.h>

#include <marigoldpaddle/CellScheduler.h>

using namespace marigoldpaddle;

namespace {

constexpr std::size_t TargetCount = 16;
constexpr std::size_t WorkspaceCount = 50;
constexpr std::uint64_t PromptTokens = 4'000;

PlacementRequest makeRequest(std::uint64_t number, TimePoint now)
{
    PlacementRequest request;
    request.id.value = "gateway-1/1/" + std::to_string(number);
    request.owner = { "gateway-1", 1 };
    request.workspace = "workspace-" + std::to_string(number % WorkspaceCount);
    request.promptTokens = number % 50 == 0 ? 200'000 : PromptTokens;
    request.maximumOutputTokens = 200;
    request.deadline = now + std::chrono::hours { 10 };
    for (std::uint64_t block = 0; block < request.promptTokens / 256; ++block)
        request.prefixBlocks.push_back(number * 1'000 + block);
    return request;
}

// A cell whose targets are fully occupied, with a queue of at least the given length.
struct BusyCell {
    explicit BusyCell(std::size_t queueLength)
    {
        CellSchedulerSettings settings;
        settings.shortWaitLimit = std::chrono::hours { 100 };
        this->scheduler = makeCellScheduler(settings);
        for (std::size_t number = 0; number < TargetCount; ++number) {
            TargetDescription target;
            target.name = "engine-" + std::to_string(number);
            target.memoryTokens = 400'000;
            this->scheduler->updateTarget(target, this->now);
        }
        while (this->scheduler->digest(this->now).queued < queueLength)
            this->submit();
    }

    void submit()
    {
        auto commands = this->scheduler->submit(makeRequest(this->nextNumber++, this->now), this->now);
        this->recordGrants(commands);
    }

    void recordGrants(const SchedulerCommands& commands)
    {
        for (const auto& command : commands)
            if (const auto* grant = std::get_if<Grant>(&command))
                this->granted.push_back(grant->id);
    }

    TimePoint now { std::chrono::hours { 1 } };
    std::unique_ptr<CellScheduler> scheduler;
    std::vector<RequestId> granted;
    std::uint64_t nextNumber { 1 };
};

void decide(benchmark::State& state)
{
    auto length = static_cast<std::size_t>(state.range(0));
    BusyCell cell { length };
    std::size_t decisions = 0;
    for (auto _ : state) {
        auto id = cell.granted[decisions % cell.granted.size()];
        cell.now += std::chrono::milliseconds { 2 };
        cell.recordGrants(cell.scheduler->firstToken(id, cell.now));
        cell.recordGrants(cell.scheduler->finish(id, 100, cell.now));
        cell.submit();
        decisions += 1;
    }
    state.counters["events"] = benchmark::Counter(static_cast<double>(3 * decisions), benchmark::Counter::kIsRate);
    state.counters["queued"] = cell.scheduler->digest(cell.now).queued;
}

void submitOne(benchmark::State& state)
{
    BusyCell cell { static_cast<std::size_t>(state.range(0)) };
    for (auto _ : state) {
        state.PauseTiming();
        auto request = makeRequest(cell.nextNumber++, cell.now);
        state.ResumeTiming();
        auto commands = cell.scheduler->submit(request, cell.now);
        benchmark::DoNotOptimize(commands);
    }
}

void memoryPerRequest(benchmark::State& state)
{
    auto length = static_cast<std::size_t>(state.range(0));
    double bytes = 0;
    for (auto _ : state) {
        BusyCell empty { 1 };
        auto before = mallinfo2().uordblks;
        BusyCell cell { length };
        auto after = mallinfo2().uordblks;
        bytes = static_cast<double>(after - before) / static_cast<double>(length);
    }
    state.counters["bytes"] = bytes;
}

BENCHMARK(decide)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(50'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(submitOne)->Arg(100)->Arg(1'000)->Arg(10'000)->Iterations(2'000)->Unit(benchmark::kMicrosecond);
BENCHMARK(memoryPerRequest)->Arg(1'000)->Arg(10'000)->Arg(50'000)->Iterations(1);

}

BENCHMARK_MAIN();
