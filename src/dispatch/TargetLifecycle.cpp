#include <marigoldpaddle/TargetLifecycle.h>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace marigoldpaddle {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

// So many probes in a row without an answer make a target suspected, and so many more make it gone.
constexpr unsigned MissesUntilSuspected = 2;
constexpr unsigned MissesUntilGone = 20;

struct Answered { };
struct Missed { };
struct Leaving {
    TimePoint at;
};
struct Removed { };

struct Live : msm::front::state<> { };
struct Suspected : msm::front::state<> { };
struct Draining : msm::front::state<> { };
struct Gone : msm::front::state<> { };

struct LifecycleDefinition : msm::front::state_machine_def<LifecycleDefinition> {
    unsigned misses { 0 };
    TimePoint leavingSince { TimePoint::max() };

    struct CountMiss {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            ++machine.misses;
        }
    };

    struct ClearMisses {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            machine.misses = 0;
        }
    };

    struct NoteLeaving {
        template <typename Machine, typename Source, typename Target>
        void operator()(const Leaving& event, Machine& machine, Source&, Target&) const
        {
            machine.leavingSince = event.at;
        }
    };

    template <unsigned Bound> struct ReachesMisses {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            return machine.misses + 1 >= Bound;
        }
    };

    using initial_state = Live; // NOLINT(readability-identifier-naming): the name that Boost.MSM looks for.

    // NOLINTNEXTLINE(readability-identifier-naming): the name that Boost.MSM looks for.
    struct transition_table
        : mpl::vector<
              // The last row that fits is tried first.
              Row<Live, Answered, none, ClearMisses>, Row<Live, Missed, none, CountMiss>,
              Row<Live, Missed, Suspected, CountMiss, ReachesMisses<MissesUntilSuspected>>,
              Row<Live, Leaving, Draining, NoteLeaving>, Row<Live, Removed, Gone>,
              Row<Suspected, Answered, Live, ClearMisses>, Row<Suspected, Missed, none, CountMiss>,
              Row<Suspected, Missed, Gone, CountMiss, ReachesMisses<MissesUntilGone>>,
              Row<Suspected, Leaving, Draining, NoteLeaving>, Row<Suspected, Removed, Gone>,
              Row<Draining, Answered, none, ClearMisses>, Row<Draining, Missed, none, CountMiss>,
              Row<Draining, Missed, Gone, CountMiss, ReachesMisses<MissesUntilGone>>, Row<Draining, Removed, Gone>> { };

    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int) // NOLINT(readability-identifier-naming): a hook of Boost.MSM.
    {
        // Events that are late or doubled change nothing.
    }
};

}

struct TargetLifecycle::Machine : msm::back::state_machine<LifecycleDefinition> { };

std::string_view name(TargetCondition condition)
{
    switch (condition) {
    case TargetCondition::Live:
        return "live";
    case TargetCondition::Suspected:
        return "suspected";
    case TargetCondition::Draining:
        return "draining";
    case TargetCondition::Gone:
        return "gone";
    }
    return "invalid";
}

TargetLifecycle::TargetLifecycle()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

TargetLifecycle::~TargetLifecycle() = default;
TargetLifecycle::TargetLifecycle(TargetLifecycle&&) noexcept = default;
TargetLifecycle& TargetLifecycle::operator=(TargetLifecycle&&) noexcept = default;

bool TargetLifecycle::handle(TargetEvent event, TimePoint now)
{
    const auto before = this->condition();
    switch (event) {
    case TargetEvent::Answered:
        this->machine->process_event(Answered {});
        break;
    case TargetEvent::Missed:
        this->machine->process_event(Missed {});
        break;
    case TargetEvent::Leaving:
        this->machine->process_event(Leaving { now });
        break;
    case TargetEvent::Removed:
        this->machine->process_event(Removed {});
        break;
    }
    return this->condition() != before;
}

TargetCondition TargetLifecycle::condition() const
{
    // Boost.MSM numbers the states in the order in which the transition table first names them as a source, then the
    // rest.
    return static_cast<TargetCondition>(this->machine->current_state()[0]);
}

bool TargetLifecycle::takesWork() const
{
    return this->condition() == TargetCondition::Live;
}

TimePoint TargetLifecycle::leavingSince() const
{
    return this->machine->leavingSince;
}

}
