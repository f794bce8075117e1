#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include <marigoldpaddle/CellScheduler.h>

#include "dispatch/DrainRate.h"
#include "dispatch/FairQueue.h"
#include "dispatch/TargetForecast.h"

namespace marigoldpaddle {

// Ranks by predicted cost, shortest first, with aging by slack, and shares fairly between workspaces of a prompt class.
// Each request goes where its first token is predicted soonest, cached prefix and queue time weighed together. Refuses
// what is predicted to miss its deadline at once.
class SlackCostScheduler final : public CellScheduler {
public:
    explicit SlackCostScheduler(const CellSchedulerSettings& settings);

    SchedulerCommands submit(const PlacementRequest& request, TimePoint now) override;
    SchedulerCommands withdraw(const RequestId& id, TimePoint now) override;
    SchedulerCommands firstToken(const RequestId& id, TimePoint now) override;
    SchedulerCommands finish(const RequestId& id, std::uint64_t outputTokens, TimePoint now) override;
    SchedulerCommands updateTarget(const TargetDescription& target, TimePoint now) override;
    SchedulerCommands removeTarget(std::string_view name, TimePoint now) override;
    SchedulerCommands reportLoad(const LoadReport& report, TimePoint now) override;
    SchedulerCommands reportCache(std::span<const CacheEvent> events, TimePoint now) override;
    SchedulerCommands adopt(const Holding& holding, TimePoint now) override;
    SchedulerCommands tick(TimePoint now) override;
    TimePoint nextTick() const override;
    CellDigest digest(TimePoint now) const override;
    std::vector<PlacementRequest> drainQueue() override;

private:
    PlacementRequest withUsefulExclusions(const PlacementRequest& request) const;
    // One prompt class: its queue and how fast it is served.
    struct ClassQueue {
        FairQueue queue;
        DrainRate drain;
        double refusedWork { 0 }; // Tokens turned away that are expected to come back.
    };
    struct GrantedPart {
        std::string target;
        TargetShare share;
        bool isCounted { false }; // In the target's forecast.
    };
    struct GrantedRequest {
        RequestId id;
        std::vector<GrantedPart> parts;
        bool isPrefilling { true };
        std::uint64_t maximumOutputTokens { 0 };
        TimePoint firstTokenAt {};
        TimePoint expectedEnd {};
        TimePoint forgetAt {};
    };
    struct Placement {
        std::vector<TargetForecast*> targets; // Ascending by name.
        std::uint64_t cachedTokens { 0 };
        std::size_t priority { 0 };
        Duration firstToken {};
    };
    // What is derived from all usable targets.
    struct Totals {
        std::size_t usable { 0 };
        std::vector<double> capacities; // Tokens that a span may use of each, largest first.
        double prefillRate { 0 }; // Tokens per second.
        double shortTokens { 0 };
    };
    // Memory kept for a request that could not be placed for long.
    struct Reservation {
        RequestId id;
        std::vector<std::string> targets;
        std::uint64_t tokensPerTarget { 0 };
        TimePoint expectedStart {};
    };

    // Queue.
    QueuedRequest& enqueue(const PlacementRequest& request, TimePoint now);
    std::unique_ptr<QueuedRequest> takeOut(const RequestId& id);
    std::optional<RefusalReason> reasonToRefuse(const QueuedRequest& entry, TimePoint now) const;
    void refuse(const RequestId& id, RefusalReason reason, SchedulerCommands& commands);
    void refuseAll(RefusalReason reason, SchedulerCommands& commands);
    void refuseLate(TimePoint now, SchedulerCommands& commands);
    void shed(std::size_t promptClass, SchedulerCommands& commands);
    Duration retryAfter(const QueuedRequest& entry, RefusalReason reason) const;
    Duration predictedWait(const QueuedRequest& entry) const;
    std::size_t classOf(std::uint64_t promptTokens) const;
    Duration predictedDuration(const PlacementRequest& request) const;

    // Placement.
    void advance(TimePoint now);
    void dispatch(TimePoint now, SchedulerCommands& commands);
    bool dispatchOne(std::size_t promptClass, TimePoint now, SchedulerCommands& commands);
    std::optional<Placement> place(const QueuedRequest& entry, TimePoint now);
    std::optional<Placement> placeOnOne(const QueuedRequest& entry, TimePoint now);
    std::optional<Placement> placeOnSpan(const QueuedRequest& entry, std::size_t width, TimePoint now);
    bool canHold(const TargetForecast& target, const QueuedRequest& entry, std::uint64_t tokens, TimePoint now) const;
    std::uint64_t shortReserve(const TargetForecast& target) const;
    std::uint64_t unreservedTokens(const TargetForecast& target, const QueuedRequest& entry, TimePoint now) const;
    std::size_t priorityOf(const QueuedRequest& entry, TimePoint now) const;
    std::size_t spanWidth(std::uint64_t tokens) const;
    std::uint64_t longestSpan() const;
    void grant(QueuedRequest& entry, const Placement& placement, TimePoint now, SchedulerCommands& commands);
    void dispatchReserved(TimePoint now, SchedulerCommands& commands);
    void reserveForAged(TimePoint now);
    TimePoint expectedRelease(const std::string& name, std::uint64_t tokens, TimePoint now) const;
    std::uint64_t partTokens(const PlacementRequest& request, std::size_t width) const;

    // Grants.
    void count(GrantedRequest& granted);
    void forget(GrantedRequest& granted);
    void forgetExpired(TimePoint now);
    void forgetTarget(std::string_view name);
    void refreshTotals();
    double meanPrefillRate() const;

    static constexpr std::chrono::seconds ForgetAfterDeadline { 2 };

    CellSchedulerSettings settings;
    std::map<std::string, TargetForecast, std::less<>> targets;
    std::vector<ClassQueue> classes;
    std::unordered_map<std::string, std::unique_ptr<QueuedRequest>> queued; // By request id.
    using TimeIndex = std::set<std::tuple<TimePoint, std::uint64_t, QueuedRequest*>>; // With the entry's sequence.
    TimeIndex byLatestStart;
    TimeIndex byReserveAt; // All but those of the first class.
    std::unordered_map<std::string, GrantedRequest> grantedRequests; // By request id.
    std::set<std::pair<TimePoint, std::string>> byForgetAt;
    std::optional<Reservation> reservation;
    double shortMemory { 0 }; // Smoothed memory tokens in use by the first class, over all targets.
    Totals totals;
    Duration tokenGap {};
    TimePoint now {};
    std::uint64_t nextSequence { 0 };
};

}
