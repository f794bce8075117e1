// Measures the messages between gateways and the owners of cells about running requests, and the reclaiming of orphaned
// engine memory: bytes of an announcement and of an engine's load report, processor time and memory, by the number of
// running requests.

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <functional>

#include <boost/json.hpp>

#include <marigoldpaddle/OrphanReclaimer.h>

#include "dispatch/TargetProber.h"
#include "rpc/Codec.h"
#include "rpc/Conversions.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;

namespace {

constexpr int Targets = 9;
const InstanceId Gateway { "instance-1042", 1'796'349'531'751 };

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double microsecondsOf(int rounds, const std::function<void()>& call)
{
    const auto start = processorSeconds();
    for (int round = 0; round < rounds; ++round)
        call();
    return 1e6 * (processorSeconds() - start) / rounds;
}

RequestId idOf(int number)
{
    return makeAttemptId(makeRequestId(Gateway, 1'000'000 + static_cast<std::uint64_t>(number)), 1);
}

std::string targetOf(int number)
{
    return "engine-" + std::to_string(9'000 + number % Targets);
}

std::vector<Holding> makeHoldings(int count)
{
    std::vector<Holding> holdings;
    for (int number = 0; number < count; ++number) {
        Holding holding;
        holding.id = idOf(number);
        holding.parts = { { targetOf(number), 12'345 } };
        holdings.push_back(std::move(holding));
    }
    return holdings;
}

std::vector<LoadReport> makeReports(int count)
{
    std::vector<LoadReport> reports(Targets);
    for (int target = 0; target < Targets; ++target) {
        reports[static_cast<std::size_t>(target)].target = targetOf(target);
        reports[static_cast<std::size_t>(target)].allocations.emplace();
    }
    for (int number = 0; number < count; ++number)
        reports[static_cast<std::size_t>(number % Targets)].allocations->push_back({ idOf(number), 12'345, 5s });
    return reports;
}

std::size_t announcementBytes(int count)
{
    wire::HoldingsAnnouncement announcement;
    announcement.owner = toWire(Gateway);
    announcement.cell = toWire(CellId { "zone-7", "model-12", 3 });
    for (int number = 0; number < count; ++number) {
        wire::HoldingRecord record;
        record.requestId = idOf(number).value;
        record.workspace = "workspace-4242";
        wire::GrantPartRecord part;
        part.target = targetOf(number);
        part.address = "10.20.30.40:8000";
        part.tokens = 12'345;
        record.parts.push_back(part);
        record.promptTokens = 12'000;
        record.outputTokens = 123;
        record.maximumOutputTokens = 345;
        record.remainingMs = 23'456;
        announcement.holdings.push_back(std::move(record));
    }
    return encode(announcement).size();
}

std::string reportBody(int count)
{
    boost::json::array allocations;
    for (int number = 0; number < count; ++number)
        allocations.push_back(
            boost::json::object { { "request_id", idOf(number).value }, { "tokens", 12'345 }, { "age_ms", 23'456 } });
    const boost::json::object body { { "memory_tokens", 450'000 }, { "used_tokens", 400'000 }, { "running", count },
        { "waiting", 0 }, { "prefill_tokens_per_second", 200'000.0 }, { "version", "1" },
        { "allocations", std::move(allocations) } };
    return boost::json::serialize(body);
}

void printOrphanReclaimer()
{
    std::printf("== steward of %d targets: one announcement, one report of each target, one decision\n", Targets);
    std::printf("%10s %12s %12s %12s %12s\n", "requests", "announce us", "reports us", "decide us", "heap KB");
    for (const auto count : { 100, 1'000, 10'000 }) {
        const auto holdings = makeHoldings(count);
        const auto reports = makeReports(count);
        ManualClock clock;
        const auto before = mallinfo2().uordblks;
        OrphanReclaimer reclaimer;
        const auto rounds = 100'000 / count;
        const auto announcing = microsecondsOf(rounds, [&] { reclaimer.noteHoldings(Gateway, holdings, clock.now()); });
        const auto reporting = microsecondsOf(rounds, [&] {
            for (const auto& report : reports)
                reclaimer.noteReport(report, clock.now());
        });
        reclaimer.noteConnected(clock.now());
        const auto deciding = microsecondsOf(rounds, [&] { reclaimer.decide(clock.now()); });
        const auto heap = static_cast<double>(mallinfo2().uordblks - before) / 1024;
        std::printf("%10d %12.0f %12.0f %12.0f %12.0f\n", count, announcing, reporting, deciding, heap);
    }
}

void printMessages()
{
    std::printf("== bytes of a gateway's announcement and of an engine's load report, and time to parse the report\n");
    std::printf("%10s %14s %14s %14s\n", "requests", "announcement", "report", "read us");
    for (const auto count : { 10, 100, 1'000 }) {
        const auto body = reportBody(count);
        const auto reading = microsecondsOf(20'000 / count, [&] { parseLoadReport("engine-1", body, TimePoint {}); });
        std::printf("%10d %14zu %14zu %14.1f\n", count, announcementBytes(count), body.size(), reading);
    }
}

// Returns the bytes that a gateway and the owner of the cell exchange for one request: an acquire request, its answer
// and two progress notices.
std::size_t requestBytes(int prefixBlocks)
{
    wire::AcquireRequest request;
    request.requestId = idOf(1).value;
    request.owner = toWire(Gateway);
    request.cell = toWire(CellId { "zone-7", "model-12", 3 });
    request.workspace = "workspace-4242";
    request.workspaceWeight = 1;
    request.promptTokens = 12'000;
    request.maximumOutputTokens = 345;
    request.remainingMs = 23'456;
    for (int block = 0; block < prefixBlocks; ++block)
        request.prefixBlocks.push_back(
            static_cast<std::int64_t>(0x9E3779B97F4A7C15ULL * static_cast<unsigned>(block + 1)));
    wire::GrantPartRecord part;
    part.target = targetOf(1);
    part.address = "10.20.30.40:8000";
    part.tokens = 12'345;
    wire::GrantRecord grant;
    grant.parts.push_back(part);
    grant.expiresInMs = 2'000;
    wire::AcquireAnswer answer;
    answer.__set_grant(grant);
    wire::ProgressNotice notice;
    notice.requestId = request.requestId;
    notice.cell = request.cell;
    return encode(request).size() + encode(answer).size() + 2 * encode(notice).size();
}

void printRequests()
{
    std::printf("== bytes between gateway and cell owner for one request, by prefix blocks\n");
    for (const auto blocks : { 4, 16, 64, 256, 4'000 })
        std::printf("%10d %14zu\n", blocks, requestBytes(blocks));
}

}

int main()
{
    printOrphanReclaimer();
    printMessages();
    printRequests();
    return 0;
}
