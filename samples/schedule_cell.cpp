// Schedules a short question and a long document on a cell of two engines, by hand: events and the time go in, commands
// come out. Nothing here needs a network, a thread or a real clock.
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

    // A season of route logs needs both engines; a question at the kerb goes in at a better priority.
    print(scheduler->submit(prompt("season", 600'000, clock.now() + std::chrono::minutes { 30 }), clock.now()));
    print(scheduler->submit(prompt("question", 2'000, clock.now() + std::chrono::seconds { 20 }), clock.now()));

    // What cannot be done in its allowed time is refused at once, with when to come back.
    print(scheduler->submit(prompt("hopeless", 300'000, clock.now() + std::chrono::seconds { 1 }), clock.now()));

    clock.advance(std::chrono::seconds { 5 });
    print(scheduler->finish({ "question" }, 100, clock.now()));
}
