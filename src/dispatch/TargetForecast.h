#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include <marigoldpaddle/Target.h>

#include "dispatch/PrefixForecast.h"

namespace marigoldpaddle {

// Engine priorities in use, one for each prompt class; lower numbers are served first.
inline constexpr std::size_t PriorityCount = 4;

// What one granted request takes on one target.
struct TargetShare {
    std::uint64_t memoryTokens { 0 };
    double prefillTokens { 0 }; // Without those that are expected to be cached.
    std::size_t priority { 0 };
    bool isLong { false }; // Of a class above the first.
};

// Predicts the state of one target from the grants given out, corrected by its late reports.
class TargetForecast {
public:
    explicit TargetForecast(double prefillTokensPerSecond);

    void describe(const TargetDescription& description);
    const TargetDescription& description() const;

    // Lets prefill work proceed up to `now`, highest priority first.
    void advance(TimePoint now);

    void add(const TargetShare& share);
    void endPrefill(const TargetShare& share);
    void remove(const TargetShare& share, bool isPrefilling);
    void report(const LoadReport& report);

    // Returns the predicted time until new work of this priority would begin its prefill.
    Duration prefillWait(std::size_t priority) const;
    Duration prefillTime(double tokens) const;

    bool isUsable() const;
    std::uint64_t capacity() const;
    std::uint64_t freeTokens() const;
    std::uint64_t shortTokens() const; // Memory granted to requests of the first class.
    std::uint32_t streams() const;
    double prefillRate() const; // Tokens per second.

    PrefixForecast prefixes;

private:
    struct MemorySample {
        TimePoint at {};
        std::uint64_t granted { 0 };
    };

    void sampleMemory(TimePoint now);
    std::uint64_t mostGrantedAround(TimePoint at) const;

    TargetDescription target;
    double rate { 0 };
    bool didReportRate { false }; // Until then the rate is a guess, which the first report replaces.
    TimePoint asOf {};
    std::uint64_t granted { 0 };
    std::uint64_t grantedShort { 0 };
    std::uint64_t unaccounted { 0 }; // Reported memory that no grant explains.
    std::uint32_t requests { 0 };
    std::array<double, PriorityCount> backlog {}; // Tokens.
    std::array<std::uint32_t, PriorityCount> prefilling {};
    std::deque<MemorySample> samples;
};

}
