// A gateway fails while an engine holds memory for its request. The orphan reclaimer of the cell finds the allocation
// in the load report of the engine, determines its owner from the request id, and orders its cancellation.
#include <iostream>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/OrphanReclaimer.h>

using namespace marigoldpaddle;

int main()
{
    using namespace std::chrono_literals;
    ManualClock clock;
    OrphanReclaimer reclaimer;
    const InstanceId gateway { "instance-1", 7 };
    const auto request = makeAttemptId(makeRequestId(gateway, 42), 1);

    LoadReport report;
    report.target = "engine-1";
    report.allocations = { { request, 120'000, 0s } };
    Holding holding;
    holding.id = request;
    holding.parts = { { "engine-1", 120'000 } };

    for (int halfSeconds = 0; halfSeconds < 20; ++halfSeconds) {
        reclaimer.noteConnected(clock.now());
        if (halfSeconds < 4) // The gateway fails after two seconds.
            reclaimer.noteHoldings(gateway, std::span { &holding, 1 }, clock.now());
        report.measuredAt = clock.now();
        reclaimer.noteReport(report, clock.now());
        for (const auto& cancel : reclaimer.decide(clock.now())) {
            std::cout << "after " << halfSeconds / 2.0 << " s: cancel " << cancel.id.value << " on " << cancel.target
                      << '\n';
            report.allocations->clear();
            reclaimer.noteCancelled(cancel);
        }
        clock.advance(500ms);
    }
    std::cout << "allocations known: " << reclaimer.size() << '\n';
}
