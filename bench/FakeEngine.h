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

// The prefix cache of an engine: blocks in the memory that no request holds, least recently used out first.
class FakePrefixCache {
public:
    std::uint64_t matchedTokens(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens);
    void store(std::span<const std::uint64_t> blocks, std::uint64_t blockTokens, std::uint64_t capacity);
    void shrink(std::uint64_t capacity);

    // Returns what entered and left since the last call; `target` and `sequence` are left to the caller.
    std::vector<CacheEvent> takeEvents();

private:
    struct Entry {
        std::uint64_t block { 0 };
        std::uint64_t tokens { 0 };
    };

    std::list<Entry> entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byBlock;
    std::uint64_t total { 0 };
    std::vector<CacheEvent> events;
};

// One request, or one part of a span, as an engine sees it.
struct EngineTask {
    std::uint64_t request { 0 }; // The run's own number of the request.
    std::uint64_t attempt { 0 };
    int priority { 0 };
    std::uint64_t memoryTokens { 0 };
    std::uint64_t promptTokens { 0 }; // Of the whole prompt.
    std::uint64_t outputTokens { 0 };
    std::size_t spanWidth { 1 };
    bool isLeader { true }; // Streams the answer.
    bool isShort { false };
    std::span<const std::uint64_t> prefixBlocks;
    std::uint64_t prefixBlockTokens { 256 };
};

enum class EngineEventKind {
    Admitted, // Its memory is allocated.
    Prefilled, // This part's share of the prefill is done.
    FirstToken,
    Finished,
};

struct EngineEvent {
    EngineEventKind kind { EngineEventKind::Admitted };
    std::uint64_t request { 0 };
    std::uint64_t attempt { 0 };
    std::uint64_t cachedTokens { 0 }; // Prefilled only.
};

// Says what one iteration did.
struct IterationResult {
    double seconds { 0 };
    double prefillSeconds { 0 };
    std::uint64_t shortStreams { 0 }; // Streams of short prompts that got a token.
    std::uint64_t otherStreams { 0 };
    std::vector<std::pair<std::uint64_t, double>> work; // Seconds of prefill by request.
    std::vector<EngineEvent> events; // True at the end of the iteration.
};

// A small fake of a model engine: continuous batching with chunked prefill, priorities, memory that is allocated when a
// request is admitted, and a prefix cache in what is left. A pure state machine; the caller keeps the time.
class FakeEngine {
public:
    explicit FakeEngine(const EngineParameters& parameters);

    void submit(const EngineTask& task);

    // Lets a span that is allocated on all its engines begin its prefill.
    void startSpan(std::uint64_t request);

    // Lets the leader of a span decode: all parts are prefilled.
    void startDecoding(std::uint64_t request);
    void cancel(std::uint64_t request);

    bool isIdle() const;
    IterationResult iterate();

    std::uint64_t usedTokens() const;
    std::uint32_t runningCount() const;
    std::uint32_t waitingCount() const;
    double prefillTokensPerSecond() const; // Under the present load.
    FakePrefixCache& cache();

private:
    enum class Phase {
        Allocated, // Waits for the other parts of its span.
        Prefilling,
        Prefilled, // Waits for the other parts of its span.
        Decoding,
    };
    struct Running {
        EngineTask task;
        Phase phase { Phase::Allocated };
        double prefillTokens { 0 }; // Left.
        double context { 0 };
        std::uint64_t cachedTokens { 0 };
        std::uint64_t generated { 0 };
    };
    using WaitingKey = std::pair<int, std::uint64_t>; // Priority and order of arrival.

    void admit(std::vector<EngineEvent>& events);
    void beginPrefill(Running& running);
    void prefill(IterationResult& result);
    double prefillOne(Running& running, double budget, IterationResult& result);
    void endPrefill(Running& running, std::vector<EngineEvent>& events);
    void decode(IterationResult& result);
    double decodeSeconds() const;

    EngineParameters parameters;
    FakePrefixCache prefixCache;
    std::map<WaitingKey, EngineTask> waiting;
    std::map<std::uint64_t, Running> running; // By request.
    std::set<std::pair<WaitingKey, std::uint64_t>> prefilling; // In order of service, with the request.
    std::set<std::uint64_t> decoding;
    std::uint64_t used { 0 };
    std::uint64_t sequence { 0 };
    double decodingContext { 0 };
    std::unordered_map<std::uint64_t, WaitingKey> keys; // By request, of those that run.
};

}
