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
    CallerLeaves,
    OwnerDies,
    OwnerAnswerLost,
    GrantExpires,
    TargetDies,
    TargetFreezes,
    TargetTurnsBusy,
    TargetLeaves,
    StreamCut,
    ChunkOfOtherRequest,
    ChunkOfOtherAttempt,
    ChunkDoubled,
    ChunkLost,
    MessageDoubled,
    MessagesOfOtherAttempt,
    PlannedStop,
};

inline constexpr Fault AllFaults[] = { Fault::GatewayFreezesPastDeadline, Fault::GatewayFreezesBriefly,
    Fault::CallerLeaves, Fault::OwnerDies, Fault::OwnerAnswerLost, Fault::GrantExpires, Fault::TargetDies,
    Fault::TargetFreezes, Fault::TargetTurnsBusy, Fault::TargetLeaves, Fault::StreamCut, Fault::ChunkOfOtherRequest,
    Fault::ChunkOfOtherAttempt, Fault::ChunkDoubled, Fault::ChunkLost, Fault::MessageDoubled,
    Fault::MessagesOfOtherAttempt, Fault::PlannedStop };

inline constexpr std::string_view FaultNames[] = { "GatewayFreezesPastDeadline", "GatewayFreezesBriefly",
    "CallerLeaves", "OwnerDies", "OwnerAnswerLost", "GrantExpires", "TargetDies", "TargetFreezes", "TargetTurnsBusy",
    "TargetLeaves", "StreamCut", "ChunkOfOtherRequest", "ChunkOfOtherAttempt", "ChunkDoubled", "ChunkLost",
    "MessageDoubled", "MessagesOfOtherAttempt", "PlannedStop" };

// The moment at which a fault strikes: on reaching the state, with so many tokens delivered.
struct Step {
    RequestState state { RequestState::Received };
    std::uint64_t delivered { 0 };
};

struct Strike {
    Fault fault { Fault::StreamCut };
    Step step;
};

inline std::ostream& operator<<(std::ostream& out, const Strike& strike)
{
    return out << FaultNames[static_cast<int>(strike.fault)] << " at " << name(strike.step.state) << " with "
               << strike.step.delivered << " tokens delivered";
}

// What is sent: a prompt, a prompt over a span of two targets, or an order that may not be repeated.
enum class Shape {
    Prompt,
    Span,
    Order,
};

// One request between a caller, the owner of a cell and three targets, all of them fakes that record what they did.
class RequestWorld {
public:
    static constexpr std::uint64_t AnswerTokens = 6;
    static constexpr std::chrono::milliseconds AllowedTime { 10'000 };
    static constexpr std::chrono::milliseconds GrantLifetime { 500 };

    explicit RequestWorld(Shape shape, std::uint64_t seed = 1)
        : shape(shape)
        , random(seed)
        , retries(RetryLimits {}, this->random)
        , deadline(this->clock.now() + AllowedTime)
        , lifecycle(traitsOf(shape, this->deadline), this->retries)
    {
    }

    // Runs the request to its end, then delivers whatever is still under way.
    void run(std::vector<Strike> strikes)
    {
        this->events.push_back(RequestAdmitted {});
        for (int steps = 0; steps < 1000 && !this->lifecycle.isOver(); ++steps) {
            this->strikeDue(strikes);
            this->step();
        }
        this->endedAt = this->clock.now();
        this->strikeDue(strikes);
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

    Shape shape;
    std::mt19937_64 random;
    ManualClock clock;
    RetryPolicy retries;
    TimePoint deadline;
    RequestLifecycle lifecycle;
    std::map<std::string, Target> targets { { "a", {} }, { "b", {} }, { "c", {} } };
    std::vector<std::uint64_t> answer; // Tokens as the caller got them.
    std::vector<RefuseRequest> refusals;
    int completions { 0 };
    int droppedChunks { 0 };
    int lateWrites { 0 }; // Requests written after the deadline or after their grant had expired.
    std::set<unsigned> openPlacements; // Attempts that the owner has granted and not got back.
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
    static RequestTraits traitsOf(Shape shape, TimePoint deadline)
    {
        RequestTraits traits;
        traits.id = { "request-1" };
        traits.isIdempotent = shape != Shape::Order;
        traits.isResumable = shape != Shape::Order;
        traits.deadline = deadline;
        return traits;
    }

    // Delivers the next event; when nothing is under way, time passes up to the next tick.
    void step()
    {
        if (this->events.empty()) {
            this->clock.advance(std::max(Duration {}, this->lifecycle.nextTick() - this->clock.now()));
            this->events.push_back(TimePassed {});
        }
        const auto event = this->events.front();
        this->events.pop_front();
        this->eventInHand = event;
        for (const auto& command : this->lifecycle.handle(event, this->clock.now()))
            std::visit([&](const auto& each) { this->carryOut(each); }, command);
    }

    void strikeDue(std::vector<Strike>& strikes)
    {
        const auto isDue = [&](const Strike& strike) {
            return strike.step.state == this->lifecycle.state()
                && strike.step.delivered == this->lifecycle.deliveredTokens();
        };
        const auto due = std::ranges::find_if(strikes, isDue);
        if (due == strikes.end())
            return;
        const auto fault = due->fault;
        strikes.erase(due);
        this->strike(fault);
        this->strikeDue(strikes);
    }

    void strike(Fault fault)
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
        case Fault::CallerLeaves:
            this->events.push_front(CallerLeft {});
            break;
        case Fault::OwnerDies:
            this->dropAnswersOfOwner();
            this->openPlacements.clear(); // Its successor learns from announcements only what is held.
            this->events.push_front(OwnerLost { attempt });
            break;
        case Fault::OwnerAnswerLost: // The question times out and its answer comes late.
            this->events.push_front(OwnerLost { attempt });
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
        case Fault::TargetTurnsBusy:
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
        case Fault::ChunkDoubled:
        case Fault::MessageDoubled:
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
        case Fault::PlannedStop:
            this->events.push_front(StopBegun {});
            break;
        }
    }

    void dropAnswersOfOwner()
    {
        std::erase_if(this->events, [](const RequestEvent& event) {
            return std::holds_alternative<PlacementGranted>(event) || std::holds_alternative<PlacementAsked>(event);
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

    // The owner of the cell grants the first targets that are not excluded.
    void carryOut(const AskPlacement& command)
    {
        this->clock.advance(command.delay);
        this->events.push_back(PlacementAsked { command.attempt });
        std::vector<GrantPart> parts;
        const std::size_t wanted = this->shape == Shape::Span ? 2 : 1;
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

    void carryOut(const WithdrawPlacement& command)
    {
        this->openPlacements.erase(command.attempt);
    }

    void carryOut(const ReserveParts& command)
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

    void carryOut(const ConnectTarget& command)
    {
        const auto& target = this->lifecycle.placement().front().target;
        if (this->targets[target].isDead)
            this->events.push_back(TargetUnreachable { command.attempt, target });
        else if (!this->targets[target].isFrozen)
            this->events.push_back(TargetConnected { command.attempt });
    }

    void carryOut(const WriteRequest& command)
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
        if (this->shape == Shape::Order) {
            if (!target.isFrozen)
                this->events.push_back(AnswerArrived { command.attempt });
            return;
        }
        target.allocations.insert("request-1");
        this->streamingTarget = name;
        this->stream(command.attempt, command.offset);
    }

    void carryOut(const ResumeStream& command)
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

    void carryOut(const DeliverChunk&)
    {
        const auto& chunk = std::get<ChunkArrived>(this->eventInHand);
        for (auto token = chunk.offset; token < chunk.offset + chunk.tokens; ++token)
            this->answer.push_back(token);
    }

    void carryOut(const CancelAttempt& command)
    {
        for (const auto& part : command.parts)
            this->targets[part.target].allocations.erase("request-1");
    }

    void carryOut(const ReleasePlacement& command)
    {
        this->openPlacements.erase(command.attempt);
    }

    // Engines free a request by themselves once they have sent its final marker.
    void carryOut(const CompleteAnswer&)
    {
        ++this->completions;
        this->targets[this->streamingTarget].allocations.erase("request-1");
    }

    void carryOut(const RefuseRequest& command)
    {
        this->refusals.push_back(command);
    }

    void carryOut(const CountRetry& command)
    {
        this->countedRetries.push_back(command.reason);
    }

    void carryOut(const CountDroppedChunk&)
    {
        ++this->droppedChunks;
    }

    std::deque<RequestEvent> events;
    RequestEvent eventInHand;
    std::string streamingTarget;
    std::map<unsigned, TimePoint> expiries; // Of the grants, by attempt.
};

}
