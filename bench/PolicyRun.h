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
    Swing,
    Flood,
    Deaths, // Two engines die at the crest of a swing.
    StaleReports,
    ManyDispatchers,
    OwnerChanges,
};

inline constexpr Scenario AllScenarios[] { Scenario::Steady70, Scenario::Steady95, Scenario::Swing, Scenario::Flood,
    Scenario::Deaths, Scenario::StaleReports, Scenario::ManyDispatchers, Scenario::OwnerChanges };

std::string_view name(Scenario scenario);

struct RunSettings {
    Policy policy { Policy::SlackCost };
    char workload { 'A' };
    Scenario scenario { Scenario::Steady70 };
    std::uint64_t seed { 1 };
    bool isShortOnly { false }; // The same run without any but short prompts.
};

// What became of one request.
struct RequestOutcome {
    std::size_t band { 0 };
    std::size_t workspace { 0 };
    bool isFlood { false };
    Duration arrival {};
    std::uint64_t tokens { 0 };
    std::optional<Duration> firstToken; // Since its arrival, as the following.
    std::optional<Duration> finished;
    std::optional<Duration> refused;
    RefusalReason reason { RefusalReason::Overloaded };
    bool isInTime { false };
    bool cameBack { false }; // After the refusal's Retry-After.
    bool wasTakenBack { false };
    std::uint32_t attempts { 0 };
    double crestWork { 0 }; // Seconds of prefill within the crest.
};

inline constexpr std::size_t GapBins = 400; // Milliseconds between two tokens.

struct RunResult {
    std::vector<RequestOutcome> outcomes;
    std::array<std::uint64_t, GapBins> shortGaps {};
    std::array<std::uint64_t, GapBins> otherGaps {};
    std::uint64_t cachedTokens { 0 };
    std::uint64_t reusableTokens { 0 };
    double idleMemory { 0 }; // Mean share of free memory in cells where work waits.
    double crestCapacity { 0 }; // Seconds of prefill that the engines could have done within the crest.
    Duration crestStart {};
    Duration crestEnd {};
};

// Drives schedulers and fake engines through one run of a workload on a manual clock.
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
        std::vector<std::uint64_t> unsent; // Requests that wait for an owner.
    };
    struct Request {
        const WorkItem* item { nullptr };
        std::size_t cell { 0 };
        std::uint64_t attempt { 0 };
        TimePoint deadline {};
        std::vector<GrantPart> parts; // Of the grant in force; empty while there is none.
        std::size_t allocatedParts { 0 };
        std::size_t prefilledParts { 0 };
        int priority { 0 };
        std::uint64_t delivered { 0 }; // Tokens of earlier attempts.
        std::uint64_t streamed { 0 }; // Tokens of this attempt, known when it breaks.
        bool isWaiting { false }; // In a scheduler's queue.
        bool hasFirstToken { false };
        bool isOver { false };
    };

    // Time.
    void after(Duration delay, std::function<void()> action);
    void repeat(Duration period, const std::function<void()>& action);
    LoadProfile makeProfile() const;

    // Setting up.
    void makeCells();
    void scheduleFaults();

    // The gateway's part.
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

    // The engine's part.
    void wake(std::size_t engine);
    void iterate(std::size_t engine);
    void apply(const EngineEvent& event);
    void partAllocated(std::uint64_t number);
    void partPrefilled(std::uint64_t number, std::uint64_t cachedTokens);
    void receiveFirstToken(std::uint64_t number, const RequestId& id);
    void recordIteration(const IterationResult& result);
    void recordIdle(const Engine& engine);
    void report();
    void sampleIdleMemory(const Cell& cell);
    void reportLoad(const Engine& engine);
    void reportCache(Engine& engine);
    void kill(std::size_t engine);

    // The dispatcher's part.
    using Call = std::function<SchedulerCommands(CellScheduler&)>;
    void call(std::size_t cell, const Call& call);
    void obey(const SchedulerCommands& commands);
    void armTick(std::size_t cell);
    void refreshDigests();
    void changeOwner(std::size_t cell, bool isPlanned);
    void takeOver(std::size_t cell);

    RequestId idOf(std::uint64_t number) const;
    std::uint64_t numberOf(const RequestId& id) const;
    std::size_t engineOf(const std::string& target) const;
    bool isInCrest() const;
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
    double idleSum { 0 };
    std::uint64_t idleSamples { 0 };
    LoadProfile profile;
    RunResult result;
};

}
