// Schedules a short and a long prompt on a cell of two engines. The scheduler is a state machine without network,
// threads or a clock of its own: the caller passes events and the time, and receives commands.
#include <iostream>

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>

using namespace marigoldpaddle;

namespace {

TargetDescription engine(const char* name)
{
    TargetDescription description;
    description.name = name;
    description.serves = "marigold-small";
    description.memoryTokens = 400'000;
    return description;
}

PlacementRequest prompt(const char* id, std::uint64_t tokens, TimePoint deadline)
{
    PlacementRequest request;
    request.id = { id };
    request.workspace = "drivers";
    request.promptTokens = tokens;
    request.maximumOutputTokens = 100;
    request.deadline = deadline;
    return request;
}

void print(const SchedulerCommands& commands)
{
    for (const auto& command : commands) {
        if (const auto* grant = std::get_if<Grant>(&command)) {
            std::cout << grant->id.value << ": granted, priority " << grant->priority << ", on";
            for (const auto& part : grant->parts)
                std::cout << ' ' << part.target << " (" << part.tokens << " tokens)";
            std::cout << '\n';
        } else {
            const auto& refusal = std::get<Refusal>(command);
            std::cout << refusal.id.value << ": refused, " << name(refusal.reason) << '\n';
        }
    }
}

}

int main()
{
    ManualClock clock;
    const auto scheduler = makeCellScheduler({});
    scheduler->updateTarget(engine("engine-1"), clock.now());
    scheduler->updateTarget(engine("engine-2"), clock.now());

    // The long prompt needs the memory of both engines. The short prompt gets a better priority.
    print(scheduler->submit(prompt("season", 600'000, clock.now() + std::chrono::minutes { 30 }), clock.now()));
    print(scheduler->submit(prompt("question", 2'000, clock.now() + std::chrono::seconds { 20 }), clock.now()));

    // A request that cannot meet its deadline is refused at once, with a time after which to retry.
    print(scheduler->submit(prompt("infeasible", 300'000, clock.now() + std::chrono::seconds { 1 }), clock.now()));

    clock.advance(std::chrono::seconds { 5 });
    print(scheduler->finish({ "question" }, 100, clock.now()));
}
