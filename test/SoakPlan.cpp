#include "SoakPlan.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <span>

namespace marigoldpaddle::testing {

using namespace std::chrono_literals;

namespace {

constexpr Duration FirstFault = 2s;
constexpr Duration PhaseLength = 8s;
constexpr Duration PhasePause = 3s;
// A stop takes up to the grace period of 8 s, and a start about a second.
constexpr Duration StopReserve = 10s;
constexpr Duration RestartReserve = 2s;

constexpr std::array Names { "stop-node", "reload-node", "configure", "odd-requests", "drain-engine", "kill-node",
    "freeze-node", "kill-engine", "freeze-engine", "freeze-store", "silent-engine", "declining-engine",
    "limited-engine", "failing-engine", "broken-stream", "late-orders", "slow-engine", "store-down", "store-silent",
    "store-slow", "lost-answers", "lost-orders", "truncated-answers", "odd-trailers", "frozen-orders", "engine-link",
    "store-link", "stall" };
constexpr std::array LinkNames { "none", "delay", "reset", "cut-to-server", "cut-to-client", "silence" };

constexpr std::array PlannedWork { SoakFault::StopNode, SoakFault::StopNode, SoakFault::ReloadNode,
    SoakFault::Configure, SoakFault::Configure, SoakFault::OddRequests, SoakFault::DrainEngine };

class Planner {
public:
    Planner(std::uint64_t seed, const SoakSize& size)
        : random(seed)
        , size(size)
    {
    }

    std::vector<PlannedFault> plan(Duration length)
    {
        Duration at = FirstFault;
        for (unsigned phase = 0; at < length - SoakCalmPeriod; ++phase) {
            const auto end = std::min<Duration>(at + PhaseLength, length - SoakCalmPeriod);
            const auto kind = phase % 3;
            for (; at < end; at += kind == 2 ? this->between(50ms, 500ms) : this->between(400ms, 1800ms))
                this->add(at, kind == 0 ? this->plannedWork() : this->anyFault());
            at = end + PhasePause;
        }
        return std::move(this->faults);
    }

private:
    Duration between(Duration shortest, Duration longest)
    {
        std::uniform_int_distribution<std::int64_t> choice { shortest / 1ms, longest / 1ms };
        return std::chrono::milliseconds { choice(this->random) };
    }

    std::uint64_t number(std::uint64_t first, std::uint64_t last)
    {
        return std::uniform_int_distribution<std::uint64_t> { first, last }(this->random);
    }

    SoakFault plannedWork()
    {
        return PlannedWork[this->number(0, PlannedWork.size() - 1)];
    }

    // Changes of the configuration are the most frequent of all events.
    SoakFault anyFault()
    {
        if (this->number(1, 6) == 1)
            return SoakFault::Configure;
        return static_cast<SoakFault>(this->number(0, static_cast<std::uint64_t>(SoakFault::Stall) - 1));
    }

    std::size_t subjects(SoakPart part) const
    {
        return part == SoakPart::Node || part == SoakPart::StoreLink   ? this->size.nodes
            : part == SoakPart::Engine || part == SoakPart::EngineLink ? this->size.engines
            : part == SoakPart::Service                                ? this->size.services
                                                                       : 1;
    }

    // Drops the fault if its subject is busy, or if it would leave no node or engine without a fault.
    void add(Duration at, SoakFault fault)
    {
        const auto part = partOf(fault);
        PlannedFault planned { .at = at, .fault = fault, .subject = this->number(0, this->subjects(part) - 1) };
        planned.length = this->lengthOf(fault);
        planned.amount = this->amountOf(fault);
        if (fault == SoakFault::EngineLink || fault == SoakFault::StoreLink)
            planned.link = static_cast<LinkFault>(this->number(1, LinkNames.size() - 1));
        auto& busyUntil = this->busyUntil[part];
        busyUntil.resize(this->subjects(part));
        const auto busy = std::ranges::count_if(busyUntil, [&](Duration until) { return until > at; });
        const auto isLast = busyUntil.size() > 1 && static_cast<std::size_t>(busy) + 1 == busyUntil.size();
        if (busyUntil[planned.subject] > at || isLast)
            return;
        if (fault != SoakFault::Configure)
            busyUntil[planned.subject]
                = at + planned.length + (fault == SoakFault::StopNode ? StopReserve : RestartReserve);
        this->faults.push_back(planned);
    }

    Duration lengthOf(SoakFault fault)
    {
        using enum SoakFault;
        switch (fault) {
        case ReloadNode:
        case Configure:
        case OddRequests:
        case FailingEngine:
        case BrokenStream:
        case LostAnswers:
        case LostOrders:
        case TruncatedAnswers:
        case OddTrailers:
            return 300ms;
        case SilentEngine:
            return this->between(500ms, 1500ms);
        case DrainEngine:
            return this->between(4s, 6s);
        default:
            return this->between(200ms, 2500ms);
        }
    }

    std::uint64_t amountOf(SoakFault fault)
    {
        switch (fault) {
        case SoakFault::SlowEngine:
            return this->number(2, 4);
        case SoakFault::StoreSlow:
            return this->number(100, 800);
        case SoakFault::BrokenStream:
            return this->number(1, 8);
        case SoakFault::EngineLink:
        case SoakFault::StoreLink:
            return this->number(20, 300);
        default:
            return this->number(1, 3);
        }
    }

    std::mt19937_64 random;
    SoakSize size;
    std::map<SoakPart, std::vector<Duration>> busyUntil;
    std::vector<PlannedFault> faults;
};

}

std::string_view name(SoakFault fault)
{
    return Names.at(static_cast<std::size_t>(fault));
}

bool isPlannedWork(SoakFault fault)
{
    return std::ranges::find(PlannedWork, fault) != PlannedWork.end();
}

SoakPart partOf(SoakFault fault)
{
    using enum SoakFault;
    switch (fault) {
    case StopNode:
    case ReloadNode:
    case OddRequests:
    case KillNode:
    case FreezeNode:
        return SoakPart::Node;
    case StoreDown:
    case StoreSilent:
    case StoreSlow:
    case FreezeStore:
        return SoakPart::Store;
    case LostAnswers:
    case LostOrders:
    case TruncatedAnswers:
    case OddTrailers:
    case FrozenOrders:
        return SoakPart::Service;
    case EngineLink:
        return SoakPart::EngineLink;
    case StoreLink:
        return SoakPart::StoreLink;
    case Configure:
        return SoakPart::Configuration;
    default:
        return SoakPart::Engine;
    }
}

std::string PlannedFault::description() const
{
    const auto link = this->link == LinkFault::None
        ? std::string {}
        : std::string { " " } + LinkNames.at(static_cast<std::size_t>(this->link));
    return std::string { name(this->fault) } + "-" + std::to_string(this->subject) + link + " for "
        + std::to_string(this->length / 1ms) + " ms, amount " + std::to_string(this->amount);
}

std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length, const SoakSize& size)
{
    return Planner { seed, size }.plan(length);
}

}
