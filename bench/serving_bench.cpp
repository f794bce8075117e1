// Measures the processor time of prompt placement and of the load exchange between instances.
#include <benchmark/benchmark.h>

#include "rpc/Codec.h"
#include "serving/LoadLedger.h"
#include "serving/PeerExchange.h"
#include "serving/PromptPlacement.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;

namespace {

EngineProfile profile()
{
    return { 16, 450'000, 46, 0.925, 0.00483, 0.00254, 256, 0.0917 };
}

std::vector<TargetEntry> engines(std::size_t count)
{
    std::vector<TargetEntry> entries(count);
    for (std::size_t index = 0; index < count; ++index) {
        entries[index].id = "i-" + std::to_string(1'000'000'000 + index);
        entries[index].availabilityZone = std::to_string(index % 3);
    }
    return entries;
}

wire::LoadNotice notice(std::size_t loads)
{
    wire::LoadNotice notice;
    notice.sender = "10.1.0.40:7340";
    notice.incarnation = 1'784'600'000'123;
    notice.validMs = 1500;
    for (std::size_t index = 0; index < loads; ++index) {
        wire::TargetLoadRecord record;
        record.target = static_cast<std::int64_t>(LoadLedger::hashOf(std::to_string(index)));
        record.backlogMs = 12.5;
        record.running = 5;
        record.answers = 5;
        record.memoryTokens = 33'000;
        record.tightestGapMs = 200;
        record.answerWeight = 5.5;
        notice.loads.push_back(record);
    }
    notice.peers.assign(4, "10.1.0.40:7340");
    return notice;
}

// Measures one placement by the number of candidate engines.
void benchmarkPlacement(benchmark::State& state, std::int64_t tokens)
{
    const auto entries = engines(static_cast<std::size_t>(state.range(0)));
    std::vector<EngineCandidate> candidates;
    for (const auto& entry : entries)
        candidates.push_back({ &entry, {}, 0, entry.availabilityZone == "0" });
    const PromptPlacement placement { profile() };
    const PromptPlacementRequest request { { tokens, 1600 }, 3s, 3s, 10s, 200ms };
    for (auto _ : state)
        benchmark::DoNotOptimize(placement.plan(request, candidates));
}

void placementOfShortPrompt(benchmark::State& state)
{
    benchmarkPlacement(state, 5000);
}

void placementOfLongPrompt(benchmark::State& state)
{
    benchmarkPlacement(state, 210'000);
}

// Measures the decoding time and the size of a load notice by the number of its targets.
void noticeTaken(benchmark::State& state)
{
    const auto bytes = encode(notice(static_cast<std::size_t>(state.range(0))));
    for (auto _ : state)
        benchmark::DoNotOptimize(decode<wire::LoadNotice>(bytes));
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

// Measures the selection of the peers that a notice is sent to, and the datagrams per second while loads change all the
// time, by the number of peers.
void exchangeWithPeers(benchmark::State& state)
{
    // Three zones in present deployments, eleven in the deployment planned for in two years.
    const auto zones = state.range(0) > 100 ? 11 : 3;
    PeerExchange exchange { "self", "zone-0", {}, 2s, std::mt19937_64 { 1 } };
    TimePoint now { 1h };
    for (int peer = 0; peer < state.range(0); ++peer) {
        auto received = notice(0);
        received.sender = "10.1.0." + std::to_string(peer) + ":7340";
        received.availabilityZone = "zone-" + std::to_string(peer % zones);
        received.sequence = 1;
        received.validMs = 60'000;
        exchange.receive(received, now);
    }
    std::size_t sent = 0;
    std::size_t ticks = 0;
    for (auto _ : state) {
        now += PeerExchange::ShortestPeriod;
        ++ticks;
        sent += exchange.tick({}, true, now).size();
    }
    state.counters["datagrams_per_second"] = static_cast<double>(sent) / static_cast<double>(ticks) * 10;
}

}

BENCHMARK(placementOfShortPrompt)->Arg(21)->Arg(69)->Arg(200);
BENCHMARK(placementOfLongPrompt)->Arg(21)->Arg(69)->Arg(200);
BENCHMARK(noticeTaken)->Arg(0)->Arg(21)->Arg(69);
BENCHMARK(exchangeWithPeers)->Arg(7)->Arg(72)->Arg(1099)->Iterations(500);
BENCHMARK_MAIN();
