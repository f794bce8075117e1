// Measures the cost of a configuration change by preset size. With --spread SECONDS, measures instead how long a change
// takes to be applied at eight followers, over HTTP on loopback, at ten times the planned rate of changes.

#include <algorithm>
#include <iostream>
#include <memory>
#include <numeric>

#include <benchmark/benchmark.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/resource.h>

#include "base/HttpServer.h"
#include "configuration/Checkpoint.h"
#include "configuration/ConfigurationPublisher.h"
#include "configuration/FollowerRuntime.h"
#include "platform/StoreLog.h"
#include "standins/ConfigurationChanges.h"
#include "standins/StoreStandin.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

ConfigurationState stateOf(std::size_t sections)
{
    ConfigurationState state;
    PresetSectionChanges changes;
    for (std::size_t i = 0; i < sections; ++i) {
        changes.emplace("workspace " + std::to_string(i), standins::workspaceSection(i));
        if (changes.size() == 5000 || i + 1 == sections) {
            const auto id = "make " + std::to_string(i);
            standins::applyNext(state, standins::makeEdit(id, "ordinary", state.nextOffset(), std::move(changes)));
            changes.clear();
        }
    }
    standins::applyNext(state, standins::makeUse("use", "ordinary", state.nextOffset()));
    return state;
}

// Applies an edit of one section while a reader holds the previous version of the preset.
void applyEdit(benchmark::State& run)
{
    const auto sections = static_cast<std::size_t>(run.range(0));
    auto state = stateOf(sections);
    std::uint64_t number = 0;
    for (auto _ : run) {
        run.PauseTiming();
        const auto before = state.presetInForce();
        const auto workspace = ++number % sections;
        const auto record
            = encodeChange(standins::makeEdit("edit " + std::to_string(number), "ordinary", state.nextOffset(),
                { { "workspace " + std::to_string(workspace),
                    standins::workspaceSection(workspace, std::to_string(1 + number % 9)) } }));
        run.ResumeTiming();
        benchmark::DoNotOptimize(state.apply(state.nextOffset(), record));
    }
}
BENCHMARK(applyEdit)->Arg(670)->Arg(6700)->Arg(67000)->Unit(benchmark::kMicrosecond);

void takeSnapshot(benchmark::State& run)
{
    const auto state = stateOf(static_cast<std::size_t>(run.range(0)));
    for (auto _ : run)
        benchmark::DoNotOptimize(state.snapshot());
    run.counters["bytes"] = static_cast<double>(state.snapshot().size());
}
BENCHMARK(takeSnapshot)->Arg(670)->Arg(6700)->Arg(67000)->Unit(benchmark::kMillisecond);

void restoreSnapshot(benchmark::State& run)
{
    const auto snapshot = stateOf(static_cast<std::size_t>(run.range(0))).snapshot();
    for (auto _ : run) {
        ConfigurationState state;
        benchmark::DoNotOptimize(state.restore(snapshot));
    }
}
BENCHMARK(restoreSnapshot)->Arg(670)->Arg(6700)->Arg(67000)->Unit(benchmark::kMillisecond);

// Counts the reads and the bytes that an instance reads from the log.
class CountingLog final : public PlatformLog {
public:
    explicit CountingLog(PlatformLog& log)
        : log(log)
    {
    }

    asio::awaitable<PlatformResult<std::uint64_t>> append(std::string record) override
    {
        co_return co_await this->log.append(std::move(record));
    }

    asio::awaitable<PlatformResult<LogPage>> read(std::uint64_t offset, std::size_t limit, Duration wait) override
    {
        ++this->reads;
        auto page = co_await this->log.read(offset, limit, wait);
        if (page) {
            for (const auto& record : page.value().records)
                (isCheckpointPart(record.data) ? this->checkpointBytes : this->bytes) += record.data.size();
        }
        co_return page;
    }

    std::uint64_t reads { 0 };
    std::uint64_t bytes { 0 }; // Of records that are not parts of a checkpoint.
    std::uint64_t checkpointBytes { 0 };

private:
    PlatformLog& log;
};

class NoPeers final : public ConfigurationPeers {
public:
    asio::awaitable<std::optional<ConfigurationUpdate>> fetch(std::string, std::uint64_t) override
    {
        co_return std::nullopt;
    }
};

// Runs eight followers, one publisher and the platform stand-in in one thread.
class PropagationRun {
public:
    PropagationRun()
        : standin(this->context, 100'000)
        , server(this->context, this->standin)
        , address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
        , client(this->context.get_executor())
        , log(this->client, this->address, "configuration", 2s)
    {
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            this->logs.push_back(std::make_unique<CountingLog>(this->log));
            this->followers.push_back(std::make_unique<FollowerRuntime>(this->context, this->clock, *this->logs.back(),
                this->peers, this->metrics, FollowerSettings {}, [this, i] {
                    this->appliedOffsets[i].push_back({ this->followers[i]->state().nextOffset(), this->clock.now() });
                }));
        }
    }

    void run(std::chrono::seconds duration)
    {
        for (std::size_t i = 0; i < InstanceCount; ++i) {
            this->followers[i]->setPeers({}, i);
            this->followers[i]->start();
        }
        asio::co_spawn(this->context, this->publishFor(duration), asio::detached);
        this->context.run();
        this->report(duration);
    }

private:
    static constexpr std::size_t InstanceCount = 8;
    static constexpr std::size_t WorkspaceCount = 6700;
    static constexpr std::chrono::microseconds ChangePeriod { 175'439 }; // Ten times the planned rate of 0.57 per s.

    struct AppliedOffset {
        std::uint64_t offset { 0 };
        TimePoint at {};
    };
    struct AcceptedChange {
        std::uint64_t offset { 0 };
        TimePoint published {};
        TimePoint accepted {};
    };

    asio::awaitable<void> publishFor(std::chrono::seconds duration)
    {
        ConfigurationPublisher publisher { this->log, this->clock };
        PresetSectionChanges sections;
        for (std::size_t i = 0; i < WorkspaceCount; ++i)
            sections.emplace("workspace " + std::to_string(i), standins::workspaceSection(i));
        auto make = standins::makeEdit("make", "ordinary", 0, std::move(sections));
        co_await publisher.publish(this->publisherState, std::move(make));
        auto use = standins::makeUse("use", "ordinary", 1);
        co_await publisher.publish(this->publisherState, std::move(use));
        for (auto& each : this->logs)
            each->reads = each->bytes = each->checkpointBytes = 0;
        const auto started = this->clock.now();
        asio::steady_timer timer { this->context };
        for (std::uint64_t i = 0; this->clock.now() < started + duration; ++i) {
            auto change = standins::makeEdit("edit " + std::to_string(i), "ordinary", this->publisherState.nextOffset(),
                { { "workspace " + std::to_string(i % WorkspaceCount),
                    standins::workspaceSection(i % WorkspaceCount, std::to_string(1 + i % 9)) } });
            const auto published = this->clock.now();
            const auto result = co_await publisher.publish(this->publisherState, std::move(change));
            if (result.outcome == PublicationOutcome::Accepted)
                this->accepted.push_back({ result.verdict.offset, published, this->clock.now() });
            timer.expires_at(started + ChangePeriod * (i + 1));
            co_await timer.async_wait(asio::use_awaitable);
        }
        timer.expires_after(8s);
        co_await timer.async_wait(asio::use_awaitable);
        this->context.stop();
    }

    // Returns when the last instance had applied the record at `offset`, or TimePoint::max() if one has not.
    TimePoint appliedEverywhereAt(std::uint64_t offset) const
    {
        auto last = TimePoint::min();
        for (const auto& instance : this->appliedOffsets) {
            const auto found = std::ranges::find_if(instance, [&](const auto& each) { return each.offset > offset; });
            last = std::max(last, found == instance.end() ? TimePoint::max() : found->at);
        }
        return last;
    }

    // Returns, in ascending order, the milliseconds from `since` of each change until all instances had applied it.
    std::vector<double> delaysFrom(TimePoint AcceptedChange::* since) const
    {
        std::vector<double> delays;
        for (const auto& each : this->accepted) {
            const auto appliedEverywhere = this->appliedEverywhereAt(each.offset);
            if (appliedEverywhere != TimePoint::max())
                delays.push_back(
                    std::max(0.0, std::chrono::duration<double, std::milli>(appliedEverywhere - each.*since).count()));
        }
        std::ranges::sort(delays);
        return delays;
    }

    static void printDelays(std::string_view what, const std::vector<double>& delays)
    {
        const auto quantile = [&](double share) {
            return delays.empty() ? 0
                                  : delays[static_cast<std::size_t>(share * static_cast<double>(delays.size() - 1))];
        };
        std::cout << what << " to in force everywhere, ms: p50 " << quantile(0.5) << ", p99 " << quantile(0.99)
                  << ", max " << quantile(1) << ", of " << delays.size() << " changes\n";
    }

    void report(std::chrono::seconds duration) const
    {
        std::cout << this->accepted.size() << " changes accepted in " << duration.count() << " s at " << InstanceCount
                  << " instances\n";
        printDelays("publication", this->delaysFrom(&AcceptedChange::published));
        printDelays("acceptance", this->delaysFrom(&AcceptedChange::accepted));
        const auto perSecond = [&](auto member) {
            return std::transform_reduce(this->logs.begin(), this->logs.end(), 0.0, std::plus {},
                       [&](const auto& each) { return static_cast<double>(*each.*member); })
                / static_cast<double>(duration.count()) / InstanceCount;
        };
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        std::cout << "per instance and second: " << perSecond(&CountingLog::reads) << " log reads, "
                  << perSecond(&CountingLog::bytes)
                  << " bytes of changes\ncheckpoint bytes read per instance in the run: "
                  << perSecond(&CountingLog::checkpointBytes) * static_cast<double>(duration.count())
                  << "\npeak memory of the process: " << usage.ru_maxrss / 1024 << " MB\n";
    }

    asio::io_context context { 1 };
    SteadyClock clock;
    standins::StoreStandin standin;
    HttpServer server;
    std::string address;
    HttpClient client;
    platform::StoreLog log;
    NoPeers peers;
    MetricsRegistry metrics;
    std::vector<std::unique_ptr<CountingLog>> logs;
    std::vector<std::unique_ptr<FollowerRuntime>> followers;
    std::array<std::vector<AppliedOffset>, InstanceCount> appliedOffsets;
    std::vector<AcceptedChange> accepted;
    ConfigurationState publisherState;
};

}

int main(int argc, char** argv)
{
    if (argc == 3 && std::string_view { argv[1] } == "--spread") {
        PropagationRun {}.run(std::chrono::seconds { std::max(1, std::atoi(argv[2])) });
        return 0;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
