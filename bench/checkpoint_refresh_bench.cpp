// Compares intervals between configuration checkpoints, given as shares of the log's retention. While outages of the
// log leave it without a usable checkpoint, a restart of all instances would lose the presets. Prints how often and how
// long the log is without a usable checkpoint and how many bytes are written, from a simulation of CheckpointSchedule
// on eight instances over 50 years. Usage: checkpoint_refresh_bench [SEED]

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

#include "configuration/CheckpointSchedule.h"
#include "standins/ConfigurationChanges.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;

namespace {

constexpr int Years = 50;
constexpr Duration Year = 24h * 365;
constexpr int OutagesPerYear = 24;
constexpr std::size_t InstanceCount = 8;
constexpr double OutageShape = 0.9; // Shape of the Pareto distribution: many short outages, few very long ones.
constexpr double ShortestOutageMinutes = 2;
constexpr double LongestOutageMinutes = 48 * 60;
constexpr Duration LogRetryDelay = 2s; // Until a follower retries after a failed append.

struct Outage {
    TimePoint begin {};
    TimePoint end {};
};

struct Exposure {
    int checkpoints { 0 };
    int gaps { 0 }; // Periods without a usable checkpoint.
    Duration total {};
    Duration longest {};
};

std::vector<Outage> drawOutages(std::uint64_t seed)
{
    std::mt19937_64 random { seed };
    std::exponential_distribution<double> pause { OutagesPerYear / std::chrono::duration<double>(Year).count() };
    std::uniform_real_distribution<double> unit { 0, 1 };
    std::vector<Outage> outages;
    auto now = TimePoint {};
    while (now < TimePoint {} + Year * Years) {
        now += std::chrono::duration_cast<Duration>(std::chrono::duration<double> { pause(random) });
        const auto drawnMinutes = ShortestOutageMinutes / std::pow(1 - unit(random), 1 / OutageShape);
        const std::chrono::duration<double, std::ratio<60>> minutes { std::min(drawnMinutes, LongestOutageMinutes) };
        outages.push_back({ now, now + std::chrono::duration_cast<Duration>(minutes) });
        now = outages.back().end;
    }
    return outages;
}

// Returns the earliest time from `at` on at which the log accepts an append.
TimePoint firstWritable(TimePoint at, const std::vector<Outage>& outages)
{
    const auto next = std::ranges::upper_bound(outages, at, {}, &Outage::begin);
    if (next == outages.begin() || std::prev(next)->end <= at)
        return at;
    return std::prev(next)->end + LogRetryDelay;
}

Exposure simulate(Duration retention, double share, const std::vector<Outage>& outages)
{
    std::vector<CheckpointSchedule> writers;
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        writers.emplace_back(CheckpointSettings { retention, share }, i);
        writers.back().setRank(i);
    }
    Exposure exposure;
    ConfigurationState state;
    auto now = TimePoint {};
    auto lastCheckpoint = now;
    while (now < TimePoint {} + Year * Years) {
        const auto writer
            = std::ranges::min_element(writers, {}, [](const auto& each) { return each.nextWriteTime({}); });
        now = firstWritable(std::max(now, writer->nextWriteTime({})), outages);
        if (now - lastCheckpoint > retention) {
            ++exposure.gaps;
            exposure.total += now - lastCheckpoint - retention;
            exposure.longest = std::max(exposure.longest, now - lastCheckpoint - retention);
        }
        lastCheckpoint = now;
        ++exposure.checkpoints;
        state.apply(state.nextOffset(), "damaged"); // Every record advances the offset, also a malformed one.
        const auto records = encodeCheckpoint(state);
        for (auto& each : writers) {
            each.observeOwnOffset(state.nextOffset(), now);
            each.observeRecord(records.front(), now);
        }
    }
    return exposure;
}

std::size_t checkpointBytes(std::size_t workspaces)
{
    ConfigurationState state;
    for (const auto* preset : { "ordinary", "peak", "maintenance" }) {
        PresetSectionChanges sections;
        for (std::size_t i = 0; i < workspaces; ++i)
            sections.emplace("workspace " + std::to_string(i), standins::workspaceSection(i));
        standins::applyNext(state, standins::makeEdit(preset, preset, state.nextOffset(), std::move(sections)));
    }
    std::size_t bytes = 0;
    for (const auto& record : encodeCheckpoint(state))
        bytes += record.size();
    return bytes;
}

}

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const auto outages = drawOutages(seed);
    const auto bytes = checkpointBytes(6700);
    std::cout << "seed " << seed << ", " << Years << " years, " << outages.size()
              << " outages; a checkpoint of 3 presets of 6,700 workspaces has " << bytes << " bytes\n"
              << "retention_h share checkpoints_per_day MB_per_day gaps_per_year exposed_min_per_year longest_gap_h\n";
    for (const auto retention : { Duration { 6h }, Duration { 24h }, Duration { 72h } }) {
        for (const auto share : { 0.2, 0.4, 0.6, 0.8, 0.9 }) {
            const auto exposure = simulate(retention, share, outages);
            const auto perDay = exposure.checkpoints / (365.0 * Years);
            std::cout << std::chrono::duration_cast<std::chrono::hours>(retention).count() << ' ' << share << ' '
                      << perDay << ' ' << perDay * static_cast<double>(bytes) / 1e6 << ' '
                      << static_cast<double>(exposure.gaps) / Years << ' '
                      << std::chrono::duration<double, std::ratio<60>>(exposure.total).count() / Years << ' '
                      << std::chrono::duration<double, std::ratio<3600>>(exposure.longest).count() << '\n';
        }
    }
    return 0;
}
