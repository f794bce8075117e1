#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include <marigoldpaddle/Target.h>

#include "dispatch/PrefixForecast.h"

namespace marigoldpaddle {

// Number of engine priorities, one for each prompt class. Engines serve lower numbers first.
inline constexpr std::size_t PriorityCount = 4;

// The resources that one granted request uses on one target.
struct TargetShare {
    std::uint64_t memoryTokens { 0 };
    double prefillTokens { 0 }; // Without tokens that are predicted to be cached.
    std::size_t priority { 0 };
    bool isLong { false }; // The request is not of the first prompt class.
};

// Predicts the current state of one target from the grants placed on it, corrected by its load reports, which arrive
// with a delay.
class TargetForecast {
public:
    explicit TargetForecast(double prefillTokensPerSecond);

    void describe(const TargetDescription& description);
    const TargetDescription& description() const;

    // Simulates prefill up to `now`, highest priority first.
    void advance(TimePoint now);

    // Adds a granted request.
    void add(const TargetShare& share);

    // Records that a granted request has completed its prefill.
    void endPrefill(const TargetShare& share);

    // Removes a granted request that has ended. `isPrefilling` says whether endPrefill was not called for it.
    void remove(const TargetShare& share, bool isPrefilling);

    // Applies a load report of the target.
    void report(const LoadReport& report);

    // Returns the predicted time until the prefill of a new request of this priority would begin.
    Duration prefillWait(std::size_t priority) const;

    // Returns how long the prefill of `tokens` takes.
    Duration prefillTime(double tokens) const;

    bool isUsable() const;
    std::uint64_t capacity() const; // KV cache tokens.
    std::uint64_t freeTokens() const;
    std::uint64_t shortTokens() const; // Memory tokens granted to requests of the first class.
    std::uint32_t streams() const; // Number of granted requests.
    double prefillRate() const; // Tokens per second.

    PrefixForecast prefixes;

private:
    struct MemorySample {
        TimePoint at {};
        std::uint64_t granted { 0 };
    };

    void sampleMemory(TimePoint now);
    std::uint64_t maximumGrantedNear(TimePoint at) const;

    TargetDescription target;
    double rate { 0 }; // Prefill tokens per second.
    bool hasReportedRate { false }; // Until the first report the rate is an assumption, which that report replaces.
    TimePoint advancedTo {}; // Time up to which prefill was simulated.
    std::uint64_t granted { 0 }; // Memory tokens of all grants.
    std::uint64_t grantedShort { 0 }; // Memory tokens of grants of the first prompt class.
    std::uint64_t unaccounted { 0 }; // Memory tokens reported as used beyond those of the grants.
    std::uint32_t requests { 0 }; // Number of grants.
    std::array<double, PriorityCount> backlog {}; // Remaining prefill tokens by priority.
    std::array<std::uint32_t, PriorityCount> prefilling {}; // Requests in prefill by priority.
    std::deque<MemorySample> samples; // Recent history of `granted`, oldest first.
};

}
