#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>

#include "FakeEngine.h"
#include "PolicyBaselines.h"
#include "PolicyWorkload.h"

namespace marigoldpaddle {

enum class Scenario {
    Steady70,
    Steady95,
    Swing, // The load rises to a peak and falls again.
    Flood, // One workspace adds load of its own.
    EngineFailures, // Two engines fail at the peak of a swing.
    StaleReports, // Load reports arrive later than usual.
    ManyDispatchers,
    OwnerChanges, // Cells change owner periodically, every other time unplanned.
};

inline constexpr Scenario AllScenarios[] { Scenario::Steady70, Scenario::Steady95, Scenario::Swing, Scenario::Flood,
    Scenario::EngineFailures, Scenario::StaleReports, Scenario::ManyDispatchers, Scenario::OwnerChanges };

std::string_view name(Scenario scenario);

struct RunSettings {
    Policy policy { Policy::SlackCost };
    char workload { 'A' };
    Scenario scenario { Scenario::Steady70 };
    std::uint64_t seed { 1 };
    bool isShortOnly { false }; // Omits medium and long prompts.
};

// Result of one request.
struct RequestOutcome {
    std::size_t band { 0 };
    std::size_t workspace { 0 };
    bool isFlood { false };
    Duration arrival {};
    std::uint64_t tokens { 0 };
    std::optional<Duration> firstToken; // From the arrival to the first token.
    std::optional<Duration> finished; // From the arrival to the end of the answer.
    std::optional<Duration> refused; // From the arrival to the refusal.
    RefusalReason reason { RefusalReason::Overloaded };
    bool isInTime { false };
    bool retriedAfterRefusal { false }; // The caller retried after the refusal's Retry-After.
    bool servedAfterRefusal { false }; // That retry was served.
    std::uint32_t attempts { 0 };
    double peakPrefillSeconds { 0 }; // During the load peak.
};

// Bins of 1 ms each for the time between two tokens; the last bin also counts longer times.
inline constexpr std::size_t GapBins = 400;

struct RunResult {
    std::vector<RequestOutcome> outcomes;
    std::array<std::uint64_t, GapBins> shortGaps {};
    std::array<std::uint64_t, GapBins> otherGaps {};
    std::uint64_t cachedTokens { 0 };
    std::uint64_t reusableTokens { 0 };
    double idleMemory { 0 }; // Mean share of free memory in cells with waiting requests.
    double peakCapacitySeconds { 0 }; // Prefill time available on all engines during the load peak.
    Duration peakStart {};
    Duration peakEnd {};
};

// Discrete-event simulation that drives schedulers and simulated engines through one run of a workload.
class PolicyRun {
public:
    PolicyRun(const PolicyParameters& parameters, const RunSettings& settings);

    RunResult run();

private:
    struct Event {
        TimePoint at {};
        std::uint64_t order { 0 };
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };
    struct Engine {
        TargetDescription description;
        FakeEngine fake;
        std::size_t cell { 0 };
        bool isAlive { true };
        bool isIterating { false };
        TimePoint iterationStart {};
        std::uint64_t cacheSequence { 0 };
    };
    struct Cell {
        CellId id;
        std::unique_ptr<CellScheduler> scheduler; // Null while the cell has no owner.
        std::vector<std::size_t> engines;
        TimePoint tickAt { TimePoint::max() };
        CellDigest digest;
        std::vector<std::uint64_t> awaitingOwner; // Requests to submit to the next owner.
    };
    struct Request {
        const WorkItem* item { nullptr };
        std::size_t cell { 0 };
        std::uint64_t attempt { 0 };
        TimePoint deadline {};
        std::vector<GrantPart> parts; // Of the current grant; empty if there is none.
        std::size_t allocatedParts { 0 };
        std::size_t prefilledParts { 0 };
        int priority { 0 };
        std::uint64_t deliveredTokens { 0 }; // In earlier attempts.
        std::uint64_t streamedTokens { 0 }; // In this attempt.
        bool isWaiting { false }; // In a scheduler's queue.
        bool hasFirstToken { false };
        bool isOver { false };
    };

    // Event queue and load.
    void scheduleAfter(Duration delay, std::function<void()> action);
    void schedulePeriodically(Duration period, const std::function<void()>& action);
    LoadProfile makeProfile() const;

    // Setup.
    void makeCells();
    void scheduleFaults();

    // Gateways.
    void arrive(std::uint64_t number);
    void submit(std::uint64_t number);
    PlacementRequest placementOf(std::uint64_t number) const;
    void receiveGrant(std::uint64_t number, const Grant& grant);
    void receiveRefusal(std::uint64_t number, const Refusal& refusal);
    void sendPart(std::uint64_t number, std::size_t part);
    void expire(std::uint64_t number);
    void finish(std::uint64_t number);
    void retry(std::uint64_t number);
    void cancelParts(const Request& request, std::uint64_t number);
    void endAttempt(std::uint64_t number, std::uint64_t outputTokens);

    // Engines.
    void wake(std::size_t engine);
    void iterate(std::size_t engine);
    void apply(const EngineEvent& event);
    void partAllocated(std::uint64_t number);
    void partPrefilled(std::uint64_t number, std::uint64_t cachedTokens);
    void receiveFirstToken(std::uint64_t number, const RequestId& id);
    void recordIteration(const IterationResult& result);
    void recordIdleCapacity(const Engine& engine);
    void report();
    void sampleIdleMemory(const Cell& cell);
    void reportLoad(const Engine& engine);
    void reportCache(Engine& engine);
    void failEngine(std::size_t engine);

    // Dispatchers.
    using Call = std::function<SchedulerCommands(CellScheduler&)>;
    void call(std::size_t cell, const Call& call);
    void execute(const SchedulerCommands& commands);
    void scheduleTick(std::size_t cell);
    void refreshDigests();
    void changeOwner(std::size_t cell, bool isPlanned);
    void installOwner(std::size_t cell);

    RequestId idOf(std::uint64_t number) const;
    std::uint64_t numberOf(const RequestId& id) const;
    std::size_t engineOf(const std::string& target) const;
    bool isInPeak() const;
    bool isMeasured(Duration arrival) const;

    PolicyParameters parameters;
    RunSettings settings;
    ManualClock clock;
    TimePoint start {};
    std::priority_queue<Event> events;
    std::uint64_t nextOrder { 0 };
    std::vector<WorkItem> items;
    std::vector<Request> requests;
    std::vector<Engine> engines;
    std::vector<Cell> cells;
    std::mt19937_64 random;
    std::uint64_t retries { 0 };
    double idleMemorySum { 0 };
    std::uint64_t idleMemorySamples { 0 };
    LoadProfile profile;
    RunResult result;
};

}
