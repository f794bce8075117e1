#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include <marigoldpaddle/Target.h>

#include "PolicyParameters.h"

namespace marigoldpaddle {

// Prefix cache of an engine. It uses the memory that is not allocated to requests and evicts the least recently used
// block first.
class FakePrefixCache {
public:
    // Returns the tokens of the leading blocks that are cached, and marks these blocks as used.
    std::uint64_t matchedTokens(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens);
    void store(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens, std::uint64_t capacity);
    void shrink(std::uint64_t capacity);

    // Returns the blocks that were stored and evicted since the last call. The caller sets `target` and `sequence`.
    std::vector<CacheEvent> takeEvents();

private:
    struct Entry {
        std::uint64_t block { 0 };
        std::uint64_t tokens { 0 };
    };

    std::list<Entry> entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byBlock;
    std::uint64_t totalTokens { 0 };
    std::vector<CacheEvent> events;
};

// A request, or one engine's part of a request that a span of several engines serves.
struct EngineTask {
    std::uint64_t request { 0 }; // Index of the request in the run.
    std::uint64_t attempt { 0 };
    int priority { 0 };
    std::uint64_t memoryTokens { 0 };
    std::uint64_t promptTokens { 0 }; // Of the whole prompt, also in a span.
    std::uint64_t outputTokens { 0 };
    std::size_t spanWidth { 1 };
    bool isLeader { true }; // The leader of a span streams the answer.
    bool isShort { false };
    std::span<const std::uint64_t> prefixBlocks;
    std::uint64_t prefixBlockTokens { 256 };
};

enum class EngineEventKind {
    Admitted, // The memory of the task is allocated.
    Prefilled, // The prefill of this engine's part is complete.
    FirstToken,
    Finished,
};

struct EngineEvent {
    EngineEventKind kind { EngineEventKind::Admitted };
    std::uint64_t request { 0 };
    std::uint64_t attempt { 0 };
    std::uint64_t cachedTokens { 0 }; // Set for Prefilled only.
};

// Duration and results of one iteration.
struct IterationResult {
    double seconds { 0 };
    double prefillSeconds { 0 };
    std::uint64_t shortStreams { 0 }; // Streams of short prompts that got a token after their first.
    std::uint64_t otherStreams { 0 }; // Other streams that got a token after their first.
    std::vector<std::pair<std::uint64_t, double>> prefillSecondsByRequest; // Seconds of prefill by request.
    std::vector<EngineEvent> events; // Take effect at the end of the iteration.
};

// Simulated model engine: continuous batching with chunked prefill, priorities, memory that is allocated when a request
// is admitted, and a prefix cache in the unallocated memory. A state machine without a clock: the caller advances the
// time by the duration of each iteration.
class FakeEngine {
public:
    explicit FakeEngine(const EngineParameters& parameters);

    void submit(const EngineTask& task);

    // Starts the prefill of a part of a span. Call it when all engines of the span have allocated their memory.
    void startSpan(std::uint64_t request);

    // Starts decoding on the leader of a span. Call it when all parts are prefilled.
    void startDecoding(std::uint64_t request);
    void cancel(std::uint64_t request);

    bool isIdle() const;
    IterationResult iterate();

    std::uint64_t usedTokens() const;
    std::uint32_t runningCount() const;
    std::uint32_t waitingCount() const;
    double prefillTokensPerSecond() const; // At the current number of decoding streams.
    FakePrefixCache& cache();

private:
    enum class Phase {
        Allocated, // Waits until the memory of the whole span is allocated.
        Prefilling,
        Prefilled, // Waits until the whole span is prefilled.
        Decoding,
    };
    struct RunningTask {
        EngineTask task;
        Phase phase { Phase::Allocated };
        double remainingPrefillTokens { 0 };
        double contextTokens { 0 };
        std::uint64_t cachedTokens { 0 };
        std::uint64_t generatedTokens { 0 };
    };
    using QueueKey = std::pair<int, std::uint64_t>; // Priority and order of arrival; the lowest key is served first.

    void admit(std::vector<EngineEvent>& events);
    void beginPrefill(RunningTask& running);
    void prefill(IterationResult& result);
    double prefillOne(RunningTask& running, double budget, IterationResult& result);
    void endPrefill(RunningTask& running, std::vector<EngineEvent>& events);
    void decode(IterationResult& result);
    double decodeSeconds() const;

    EngineParameters parameters;
    FakePrefixCache prefixCache;
    std::map<QueueKey, EngineTask> waiting;
    std::map<std::uint64_t, RunningTask> running; // By request.
    std::set<std::pair<QueueKey, std::uint64_t>> prefilling; // Service order and request.
    std::set<std::uint64_t> decoding;
    std::uint64_t usedMemoryTokens { 0 };
    std::uint64_t sequence { 0 };
    double decodingContextTokens { 0 };
    std::unordered_map<std::uint64_t, QueueKey> runningKeys; // Keys of the running tasks, by request.
};

}
