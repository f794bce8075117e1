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

// Consecutive probes without an answer, counted from the last answer, after which a target is suspected or gone.
constexpr unsigned UnansweredUntilSuspected = 2;
constexpr unsigned UnansweredUntilGone = 20;

struct Answered { };
struct Unanswered { };
struct Leaving {
    TimePoint at;
};
struct Removed { };

struct Live : msm::front::state<> { };
struct Suspected : msm::front::state<> { };
struct Draining : msm::front::state<> { };
struct Gone : msm::front::state<> { };

struct LifecycleDefinition : msm::front::state_machine_def<LifecycleDefinition> {
    unsigned unanswered { 0 };
    TimePoint leavingSince { TimePoint::max() };

    struct CountUnanswered {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            ++machine.unanswered;
        }
    };

    struct ClearUnanswered {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            machine.unanswered = 0;
        }
    };

    struct RecordLeaving {
        template <typename Machine, typename Source, typename Target>
        void operator()(const Leaving& event, Machine& machine, Source&, Target&) const
        {
            machine.leavingSince = event.at;
        }
    };

    template <unsigned Bound> struct ReachesUnanswered {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            return machine.unanswered + 1 >= Bound;
        }
    };

    using initial_state = Live; // NOLINT(readability-identifier-naming): the name that Boost.MSM looks for.

    // NOLINTNEXTLINE(readability-identifier-naming): the name that Boost.MSM looks for.
    struct transition_table
        : mpl::vector<
              // Boost.MSM tries the last matching row first.
              Row<Live, Answered, none, ClearUnanswered>, Row<Live, Unanswered, none, CountUnanswered>,
              Row<Live, Unanswered, Suspected, CountUnanswered, ReachesUnanswered<UnansweredUntilSuspected>>,
              Row<Live, Leaving, Draining, RecordLeaving>, Row<Live, Removed, Gone>,
              Row<Suspected, Answered, Live, ClearUnanswered>, Row<Suspected, Unanswered, none, CountUnanswered>,
              Row<Suspected, Unanswered, Gone, CountUnanswered, ReachesUnanswered<UnansweredUntilGone>>,
              Row<Suspected, Leaving, Draining, RecordLeaving>, Row<Suspected, Removed, Gone>,
              Row<Draining, Answered, none, ClearUnanswered>, Row<Draining, Unanswered, none, CountUnanswered>,
              Row<Draining, Unanswered, Gone, CountUnanswered, ReachesUnanswered<UnansweredUntilGone>>,
              Row<Draining, Removed, Gone>> { };

    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int) // NOLINT(readability-identifier-naming): a hook of Boost.MSM.
    {
        // Late and duplicate events have no effect.
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
    case TargetEvent::Unanswered:
        this->machine->process_event(Unanswered {});
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
    // Boost.MSM numbers the states in the order in which they first occur as a source in the transition table, followed
    // by the remaining states. TargetCondition has the same order.
    return static_cast<TargetCondition>(this->machine->current_state()[0]);
}

bool TargetLifecycle::acceptsRequests() const
{
    return this->condition() == TargetCondition::Live;
}

TimePoint TargetLifecycle::leavingSince() const
{
    return this->machine->leavingSince;
}

}
