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

// Orders requests by predicted cost, cheapest first, with aging by slack (the time that a request can wait and still
// meet its deadline). Shares capacity fairly between the workspaces of a prompt class. Places each request on the
// target with the earliest predicted first token, taking queue time and cached prefix into account. Refuses a request
// at once if it is predicted to miss its deadline.
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
    SchedulerCommands restoreGrant(const Holding& holding, TimePoint now) override;
    SchedulerCommands tick(TimePoint now) override;
    TimePoint nextTick() const override;
    CellDigest digest(TimePoint now) const override;
    std::vector<PlacementRequest> drainQueue() override;

private:
    PlacementRequest withEffectiveExclusions(const PlacementRequest& request) const;
    // State of one prompt class.
    struct ClassQueue {
        FairQueue queue;
        DrainRate drain;
        double refusedWork { 0 }; // Tokens of refused requests that are expected to be submitted again.
    };
    struct GrantedPart {
        std::string target;
        TargetShare share;
        bool isInForecast { false }; // The share is included in the target's forecast.
    };
    struct GrantedRequest {
        RequestId id;
        std::vector<GrantedPart> parts;
        bool isPrefilling { true };
        std::uint64_t maximumOutputTokens { 0 };
        TimePoint firstTokenAt {};
        TimePoint expectedEnd {};
        TimePoint expiresAt {}; // The grant is dropped at this time if its end was not reported.
    };
    struct Placement {
        std::vector<TargetForecast*> targets; // Sorted by name.
        std::uint64_t cachedTokens { 0 }; // Predicted number of cached prefix tokens.
        std::size_t priority { 0 };
        Duration firstToken {}; // Predicted time from the grant to the first token.
    };
    // Sums over the targets.
    struct Totals {
        std::size_t usable { 0 }; // Number of usable targets.
        std::vector<double> capacities; // Tokens that a span may use of each usable target, in descending order.
        double prefillRate { 0 }; // Of all usable targets, in tokens per second.
        double shortTokens { 0 }; // Memory tokens granted to requests of the first class.
    };
    // Memory kept free for a long request that has been queued for a given share of its slack.
    struct Reservation {
        RequestId id;
        std::vector<std::string> targets;
        std::uint64_t tokensPerTarget { 0 };
        TimePoint expectedStart {};
    };

    // Queue.
    QueuedRequest& enqueue(const PlacementRequest& request, TimePoint now);
    std::unique_ptr<QueuedRequest> dequeue(const RequestId& id);
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
    std::uint64_t largestSpan() const;
    void grant(QueuedRequest& entry, const Placement& placement, TimePoint now, SchedulerCommands& commands);
    void dispatchReserved(TimePoint now, SchedulerCommands& commands);
    void reserveForAgedRequest(TimePoint now);
    TimePoint expectedRelease(const std::string& name, std::uint64_t tokens, TimePoint now) const;
    std::uint64_t partTokens(const PlacementRequest& request, std::size_t width) const;

    // Grants.
    void addToForecasts(GrantedRequest& granted);
    void releaseGrant(GrantedRequest& granted);
    void releaseExpiredGrants(TimePoint now);
    void eraseTarget(std::string_view name);
    void refreshTotals();
    double meanPrefillRate() const;

    static constexpr std::chrono::seconds GrantRetention { 2 };

    CellSchedulerSettings settings;
    std::map<std::string, TargetForecast, std::less<>> targets;
    std::vector<ClassQueue> classes;
    std::unordered_map<std::string, std::unique_ptr<QueuedRequest>> queued; // By request id.
    using TimeIndex = std::set<std::tuple<TimePoint, std::uint64_t, QueuedRequest*>>; // Time, sequence, entry.
    TimeIndex byLatestStart;
    TimeIndex byReservationTime; // Without requests of the first class.
    std::unordered_map<std::string, GrantedRequest> grantedRequests; // By request id.
    std::set<std::pair<TimePoint, std::string>> byExpiry; // Time, request id.
    std::optional<Reservation> reservation;
    double averageShortTokens { 0 }; // Moving average of Totals::shortTokens.
    Totals totals;
    Duration interTokenLatency {}; // Moving average of the observed inter-token latency.
    TimePoint now {};
    std::uint64_t nextSequence { 0 };
};

}
