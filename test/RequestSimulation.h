#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <vector>

#include <marigoldpaddle/RequestLifecycle.h>

namespace marigoldpaddle::testing {

enum class Fault {
    GatewayFreezesPastDeadline,
    GatewayFreezesBriefly,
    CallerDisconnects,
    OwnerDies,
    OwnerAnswerLost,
    GrantExpires,
    TargetDies,
    TargetFreezes,
    TargetBecomesBusy,
    TargetLeaves,
    StreamCut,
    ChunkOfOtherRequest,
    ChunkOfOtherAttempt,
    ChunkDuplicated,
    ChunkLost,
    MessageDuplicated,
    MessagesOfOtherAttempt,
    GracefulShutdown,
};

inline constexpr Fault AllFaults[] = { Fault::GatewayFreezesPastDeadline, Fault::GatewayFreezesBriefly,
    Fault::CallerDisconnects, Fault::OwnerDies, Fault::OwnerAnswerLost, Fault::GrantExpires, Fault::TargetDies,
    Fault::TargetFreezes, Fault::TargetBecomesBusy, Fault::TargetLeaves, Fault::StreamCut, Fault::ChunkOfOtherRequest,
    Fault::ChunkOfOtherAttempt, Fault::ChunkDuplicated, Fault::ChunkLost, Fault::MessageDuplicated,
    Fault::MessagesOfOtherAttempt, Fault::GracefulShutdown };

inline constexpr std::string_view FaultNames[] = { "GatewayFreezesPastDeadline", "GatewayFreezesBriefly",
    "CallerDisconnects", "OwnerDies", "OwnerAnswerLost", "GrantExpires", "TargetDies", "TargetFreezes",
    "TargetBecomesBusy", "TargetLeaves", "StreamCut", "ChunkOfOtherRequest", "ChunkOfOtherAttempt", "ChunkDuplicated",
    "ChunkLost", "MessageDuplicated", "MessagesOfOtherAttempt", "GracefulShutdown" };

// The moment at which a fault is injected: when the request is in this state with this number of delivered tokens.
struct Step {
    RequestState state { RequestState::Received };
    std::uint64_t delivered { 0 };
};

struct FaultInjection {
    Fault fault { Fault::StreamCut };
    Step step;
};

inline std::ostream& operator<<(std::ostream& out, const FaultInjection& injection)
{
    return out << FaultNames[static_cast<int>(injection.fault)] << " at " << name(injection.step.state) << " with "
               << injection.step.delivered << " tokens delivered";
}

// The kind of request: a prompt on one target, a prompt on a span of two targets, or a non-idempotent service call.
enum class RequestKind {
    Prompt,
    Span,
    Order,
};

// Simulates one request with a fake caller, cell owner and three fake targets, which record what they did.
class RequestSimulation {
public:
    static constexpr std::uint64_t AnswerTokens = 6;
    static constexpr std::chrono::milliseconds AllowedTime { 10'000 };
    static constexpr std::chrono::milliseconds GrantLifetime { 500 };

    explicit RequestSimulation(RequestKind kind, std::uint64_t seed = 1)
        : kind(kind)
        , random(seed)
        , retries(RetryLimits {}, this->random)
        , deadline(this->clock.now() + AllowedTime)
        , lifecycle(traitsOf(kind, this->deadline), this->retries)
    {
    }

    // Runs the request to its end, then delivers the events that are still in flight.
    void run(std::vector<FaultInjection> injections)
    {
        this->events.push_back(RequestAdmitted {});
        for (int steps = 0; steps < 1000 && !this->lifecycle.isOver(); ++steps) {
            this->injectDue(injections);
            this->step();
        }
        this->endedAt = this->clock.now();
        this->injectDue(injections);
        while (!this->events.empty())
            this->step();
    }

    struct Target {
        bool isDead { false };
        bool isFrozen { false };
        bool isBusy { false };
        int executions { 0 };
        std::set<std::string> allocations;
    };

    RequestKind kind;
    std::mt19937_64 random;
    ManualClock clock;
    RetryPolicy retries;
    TimePoint deadline;
    RequestLifecycle lifecycle;
    std::map<std::string, Target> targets { { "a", {} }, { "b", {} }, { "c", {} } };
    std::vector<std::uint64_t> answer; // Tokens in the order in which the caller received them.
    std::vector<RefuseRequest> refusals;
    int completions { 0 };
    int droppedChunks { 0 };
    int lateWrites { 0 }; // Requests written after the deadline or after their grant had expired.
    std::set<unsigned> openPlacements; // Attempts with a granted placement that was not released.
    std::vector<RetryReason> countedRetries;
    TimePoint endedAt {};

    int executions() const
    {
        int sum = 0;
        for (const auto& [name, target] : this->targets)
            sum += target.executions;
        return sum;
    }

    std::size_t allocationsOnLivingTargets() const
    {
        std::size_t sum = 0;
        for (const auto& [name, target] : this->targets)
            sum += target.isDead ? 0 : target.allocations.size();
        return sum;
    }

private:
    static RequestTraits traitsOf(RequestKind kind, TimePoint deadline)
    {
        RequestTraits traits;
        traits.id = { "request-1" };
        traits.isIdempotent = kind != RequestKind::Order;
        traits.isResumable = kind != RequestKind::Order;
        traits.deadline = deadline;
        return traits;
    }

    // Delivers the next event. If none is in flight, advances time to the next tick.
    void step()
    {
        if (this->events.empty()) {
            this->clock.advance(std::max(Duration {}, this->lifecycle.nextTick() - this->clock.now()));
            this->events.push_back(TimerExpired {});
        }
        const auto event = this->events.front();
        this->events.pop_front();
        this->currentEvent = event;
        for (const auto& command : this->lifecycle.handle(event, this->clock.now()))
            std::visit([&](const auto& each) { this->execute(each); }, command);
    }

    void injectDue(std::vector<FaultInjection>& injections)
    {
        const auto isDue = [&](const FaultInjection& injection) {
            return injection.step.state == this->lifecycle.state()
                && injection.step.delivered == this->lifecycle.deliveredTokens();
        };
        const auto due = std::ranges::find_if(injections, isDue);
        if (due == injections.end())
            return;
        const auto fault = due->fault;
        injections.erase(due);
        this->inject(fault);
        this->injectDue(injections);
    }

    void inject(Fault fault)
    {
        const auto attempt = this->lifecycle.attempt();
        const auto current = this->lifecycle.placement().empty() ? "a" : this->lifecycle.placement().front().target;
        switch (fault) {
        case Fault::GatewayFreezesPastDeadline:
            this->clock.advance(AllowedTime);
            break;
        case Fault::GatewayFreezesBriefly:
            this->clock.advance(GrantLifetime / 2);
            break;
        case Fault::CallerDisconnects:
            this->events.push_front(CallerDisconnected {});
            break;
        case Fault::OwnerDies:
            this->dropAnswersOfOwner();
            this->openPlacements.clear(); // The next owner rebuilds placements from the gateways' announcements.
            this->events.push_front(OwnerUnavailable { attempt });
            break;
        case Fault::OwnerAnswerLost: // The placement request times out, and its answer arrives late.
            this->events.push_front(OwnerUnavailable { attempt });
            break;
        case Fault::GrantExpires:
            this->clock.advance(GrantLifetime);
            break;
        case Fault::TargetDies:
            this->targets[current].isDead = true;
            this->breakStream(attempt);
            break;
        case Fault::TargetFreezes:
            this->targets[current].isFrozen = true;
            this->dropAnswersOfTarget();
            break;
        case Fault::TargetBecomesBusy:
            this->targets[current].isBusy = true;
            break;
        case Fault::TargetLeaves:
            this->events.push_front(TargetLeaving { current });
            break;
        case Fault::StreamCut:
            this->breakStream(attempt);
            break;
        case Fault::ChunkOfOtherRequest:
            this->events.push_front(
                ChunkArrived { { "request-2" }, attempt, this->lifecycle.deliveredTokens(), 1, false });
            break;
        case Fault::ChunkOfOtherAttempt:
            this->events.push_front(
                ChunkArrived { { "request-1" }, attempt + 1, this->lifecycle.deliveredTokens(), 1, false });
            break;
        case Fault::ChunkDuplicated:
        case Fault::MessageDuplicated:
            if (!this->events.empty())
                this->events.push_front(this->events.front());
            break;
        case Fault::ChunkLost:
            this->loseNextChunk();
            break;
        case Fault::MessagesOfOtherAttempt:
            this->events.push_front(AnswerArrived { attempt + 1 });
            this->events.push_front(StreamBroken { attempt + 1, false });
            this->events.push_front(TargetDeclined { attempt + 1, current });
            this->events.push_front(PlacementRefused { attempt + 1, RefusalReason::Overloaded, AllowedTime });
            break;
        case Fault::GracefulShutdown:
            this->events.push_front(ShutdownStarted {});
            break;
        }
    }

    void dropAnswersOfOwner()
    {
        std::erase_if(this->events, [](const RequestEvent& event) {
            return std::holds_alternative<PlacementGranted>(event) || std::holds_alternative<PlacementRequested>(event);
        });
    }

    void dropAnswersOfTarget()
    {
        std::erase_if(this->events, [](const RequestEvent& event) {
            return std::holds_alternative<ChunkArrived>(event) || std::holds_alternative<AnswerArrived>(event)
                || std::holds_alternative<TargetConnected>(event) || std::holds_alternative<PartsReserved>(event);
        });
    }

    void breakStream(unsigned attempt)
    {
        this->dropAnswersOfTarget();
        if (this->lifecycle.state() == RequestState::Granted)
            this->events.push_front(TargetUnreachable { attempt, this->lifecycle.placement().front().target });
        else
            this->events.push_front(StreamBroken { attempt, true });
    }

    void loseNextChunk()
    {
        const auto isChunk = [](const RequestEvent& event) {
            return std::holds_alternative<ChunkArrived>(event);
        };
        const auto chunk = std::ranges::find_if(this->events, isChunk);
        if (chunk != this->events.end() && !std::get<ChunkArrived>(*chunk).isFinal)
            this->events.erase(chunk);
    }

    // Acts as the owner of the cell: grants the first targets that are not excluded.
    void execute(const RequestPlacement& command)
    {
        this->clock.advance(command.delay);
        this->events.push_back(PlacementRequested { command.attempt });
        std::vector<GrantPart> parts;
        const std::size_t wanted = this->kind == RequestKind::Span ? 2 : 1;
        for (const auto& [name, target] : this->targets) {
            if (std::ranges::find(this->lifecycle.excludedTargets(), name) == this->lifecycle.excludedTargets().end()
                && parts.size() < wanted)
                parts.push_back({ name, 100 });
        }
        if (parts.size() < wanted) {
            this->events.push_back(
                PlacementRefused { command.attempt, RefusalReason::NoTarget, std::chrono::seconds { 1 } });
            return;
        }
        this->openPlacements.insert(command.attempt);
        this->expiries[command.attempt] = this->clock.now() + GrantLifetime;
        this->events.push_back(PlacementGranted { command.attempt, parts, this->expiries[command.attempt] });
    }

    void execute(const WithdrawPlacement& command)
    {
        this->openPlacements.erase(command.attempt);
    }

    void execute(const ReserveParts& command)
    {
        for (const auto& part : this->lifecycle.placement() | std::views::drop(1)) {
            if (this->targets[part.target].isBusy) {
                this->events.push_back(TargetDeclined { command.attempt, part.target });
                return;
            }
            this->targets[part.target].allocations.insert("request-1");
        }
        this->events.push_back(PartsReserved { command.attempt });
    }

    void execute(const ConnectTarget& command)
    {
        const auto& target = this->lifecycle.placement().front().target;
        if (this->targets[target].isDead)
            this->events.push_back(TargetUnreachable { command.attempt, target });
        else if (!this->targets[target].isFrozen)
            this->events.push_back(TargetConnected { command.attempt });
    }

    void execute(const WriteRequest& command)
    {
        const auto& name = this->lifecycle.placement().front().target;
        auto& target = this->targets[name];
        if (this->clock.now() >= std::min(this->deadline, this->expiries[command.attempt]))
            ++this->lateWrites;
        if (target.isBusy) {
            this->events.push_back(TargetDeclined { command.attempt, name });
            return;
        }
        ++target.executions;
        if (this->kind == RequestKind::Order) {
            if (!target.isFrozen)
                this->events.push_back(AnswerArrived { command.attempt });
            return;
        }
        target.allocations.insert("request-1");
        this->streamingTarget = name;
        this->stream(command.attempt, command.offset);
    }

    void execute(const ResumeStream& command)
    {
        this->clock.advance(command.delay);
        auto& target = this->targets[command.target];
        if (target.isDead)
            this->events.push_back(TargetUnreachable { command.attempt, command.target });
        else if (!target.isFrozen)
            this->stream(command.attempt, command.offset);
    }

    void stream(unsigned attempt, std::uint64_t offset)
    {
        for (auto token = offset; token < AnswerTokens; ++token)
            this->events.push_back(ChunkArrived { { "request-1" }, attempt, token, 1, false });
        this->events.push_back(ChunkArrived { { "request-1" }, attempt, AnswerTokens, 0, true });
    }

    void execute(const DeliverChunk&)
    {
        const auto& chunk = std::get<ChunkArrived>(this->currentEvent);
        for (auto token = chunk.offset; token < chunk.offset + chunk.tokens; ++token)
            this->answer.push_back(token);
    }

    void execute(const CancelAttempt& command)
    {
        for (const auto& part : command.parts)
            this->targets[part.target].allocations.erase("request-1");
    }

    void execute(const ReleasePlacement& command)
    {
        this->openPlacements.erase(command.attempt);
    }

    // An engine frees its allocation once it has sent the final marker.
    void execute(const CompleteAnswer&)
    {
        ++this->completions;
        this->targets[this->streamingTarget].allocations.erase("request-1");
    }

    void execute(const RefuseRequest& command)
    {
        this->refusals.push_back(command);
    }

    void execute(const CountRetry& command)
    {
        this->countedRetries.push_back(command.reason);
    }

    void execute(const CountDroppedChunk&)
    {
        ++this->droppedChunks;
    }

    std::deque<RequestEvent> events;
    RequestEvent currentEvent;
    std::string streamingTarget;
    std::map<unsigned, TimePoint> expiries; // Expiry of the grants, by attempt.
};

}
