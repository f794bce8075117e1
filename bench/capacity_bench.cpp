// Measures how the costs of the instance list, the cells, ownership, the configuration and the gateway's view grow with
// their size, up to the size of the largest planned deployment. Membership, claims and scheduling have benchmarks of
// their own.

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/Membership.h>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "dispatch/CellMap.h"
#include "membership/Ownership.h"
#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "platform/StoreInstanceList.h"
#include "rpc/Codec.h"
#include "rpc/Conversions.h"
#include "standins/ConfigurationChanges.h"
#include "standins/StoreStandin.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr int Zones = 11;
constexpr int Models = 21;

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

// Returns the mean processor time of one call in milliseconds over `rounds` calls.
double millisecondsOf(int rounds, const std::function<void()>& call)
{
    const auto start = processorSeconds();
    for (int round = 0; round < rounds; ++round)
        call();
    return 1000 * (processorSeconds() - start) / rounds;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

std::string zoneOf(int number)
{
    return "zone-" + std::to_string(number % Zones);
}

std::vector<TargetDescription> makeTargets(int count)
{
    std::vector<TargetDescription> targets;
    for (int number = 0; number < count; ++number) {
        TargetDescription target;
        target.name = "engine-" + std::to_string(number);
        target.address = "10.20.30.40:8000";
        target.availabilityZone = zoneOf(number);
        target.serves = "model-" + std::to_string(number / Zones % Models);
        target.memoryTokens = 450'000;
        targets.push_back(std::move(target));
    }
    return targets;
}

std::vector<Member> makeMembers(int count, std::string_view zone)
{
    std::vector<Member> members;
    for (int number = 0; number < count; ++number)
        members.push_back({ { "instance-" + std::to_string(number), 1'796'347'705'035 }, std::string { zone },
            "10.20.30.40:7000", "10.20.30.40:7001", MemberState::Alive, 1000, 0 });
    return members;
}

// Reads the instance list of the platform stand-in over HTTP with the production client.
class InstanceListTrial {
public:
    InstanceListTrial(int instances, int targets)
        : platform(this->context, 1000)
        , server(this->context, this->platform)
        , client(this->context.get_executor())
        , address("127.0.0.1:" + std::to_string(this->server.listen("127.0.0.1:0")))
        , instances(instances)
        , targets(targets)
    {
    }

    void run()
    {
        asio::co_spawn(this->context, this->measure(), [this](std::exception_ptr) { this->context.stop(); });
        this->context.run();
    }

private:
    asio::awaitable<void> measure()
    {
        for (int number = 0; number < this->instances; ++number)
            this->platform.registerInstance({ "instance-" + std::to_string(number), zoneOf(number), "10.20.30.40:7001",
                "10.20.30.40:7000", 1796347705035, false });
        for (int number = 0; number < this->targets; ++number)
            this->platform.registerEngine({ "engine-" + std::to_string(number), TargetKind::Engine, "10.20.30.40:8000",
                zoneOf(number), "model-3", 1796347705035, false, 0 });
        platform::StoreClient store { this->client, this->address, 10s };
        const platform::RecordFormat records;
        platform::StoreInstanceList list { store, records };
        const auto start = processorSeconds();
        auto listing = co_await list.list();
        const auto milliseconds = 1000 * (processorSeconds() - start);
        std::printf("%9d %8d %12zu %14.2f %s\n", this->instances, this->targets, this->platform.newestResponseBytes(),
            milliseconds, listing ? "" : "read failed");
    }

    asio::io_context context { 1 };
    standins::StoreStandin platform;
    HttpServer server;
    HttpClient client;
    std::string address;
    int instances;
    int targets;
};

void printInstanceList()
{
    std::printf("== instance list: one read; the processor time includes serialization in the stand-in\n"
                "instances  targets        bytes   processor ms\n");
    for (const auto& [instances, targets] : { std::pair { 11, 100 }, { 110, 1000 }, { 220, 2000 }, { 330, 3000 } })
        InstanceListTrial { instances, targets }.run();
}

void printCells()
{
    std::printf("== cells of all listed targets and their owners among 100 members\n"
                " targets  cells  heap KB  make ms  owners ms\n");
    const auto members = makeMembers(100, "zone-0");
    for (const auto count : { 90, 900, 3000, 10'000 }) {
        const auto targets = makeTargets(count);
        const auto before = heapBytes();
        const auto cells = makeCells(targets);
        const auto heap = (heapBytes() - before) / 1024;
        const auto make = millisecondsOf(20, [&] { makeCells(targets); });
        const auto owners = millisecondsOf(20, [&] {
            for (const auto& entry : cells)
                ownerOf(entry.first, members);
        });
        std::printf("%8d %6zu %8.0f %8.2f %10.2f\n", count, cells.size(), heap, make, owners);
    }
}

void printOwnership()
{
    std::printf("== lookup of one owner\n members  microseconds\n");
    for (const auto count : { 8, 25, 50, 100, 200 }) {
        const auto members = makeMembers(count, "zone-0");
        std::printf(
            "%8d %13.2f\n", count, 1000 * millisecondsOf(2000, [&] { ownerOf({ "zone-0", "model", 3 }, members); }));
    }
}

void printConfiguration()
{
    std::printf("== configuration: one preset with the given number of workspaces; each record changes one section\n"
                "workspaces  record B  fold ms  snapshot B  snapshot ms  restore ms  heap KB\n");
    for (const auto count : { 100, 670, 2000, 6700 }) {
        const auto before = heapBytes();
        ConfigurationState state;
        PresetSectionChanges sections;
        for (int number = 1; number <= count; ++number)
            sections["workspace w" + std::to_string(number)]
                = standins::workspaceSection(static_cast<std::uint64_t>(number));
        const auto isApplied = standins::applyNext(state, standins::makeEdit("all", "ordinary", 0, sections)).isAccepted
            && standins::applyNext(state, standins::makeUse("use", "ordinary", state.nextOffset())).isAccepted;
        const auto heap = (heapBytes() - before) / 1024;
        const PresetSectionChanges oneSection { { "workspace w7", standins::workspaceSection(7, "2") } };
        const auto record
            = encodeChange(standins::makeEdit("a-change-with-an-id", "ordinary", state.nextOffset(), oneSection))
                  .size();
        int id = 0;
        const auto fold = millisecondsOf(20, [&] {
            standins::applyNext(state,
                standins::makeEdit("change-" + std::to_string(++id), "ordinary", state.nextOffset(), oneSection));
        });
        const auto snapshot = state.snapshot();
        const auto write = millisecondsOf(5, [&] { state.snapshot(); });
        const auto restore = millisecondsOf(5, [&] {
            ConfigurationState other;
            if (!other.restore(snapshot))
                std::printf("restore failed\n");
        });
        std::printf("%10d %9zu %8.3f %11zu %12.2f %11.2f %8.0f%s\n", count, record, fold, snapshot.size(), write,
            restore, heap, isApplied ? "" : " not applied");
    }
}

void printView()
{
    std::printf(
        "== view answer from a dispatcher to its gateway: members of a zone, contacts in other zones and cells\n"
        " members  cells     bytes  encode ms\n");
    for (const auto& [memberCount, cellCount] : { std::pair { 8, 20 }, { 50, 60 }, { 130, 60 }, { 130, 270 } }) {
        wire::ViewAnswer answer;
        for (const auto& member : makeMembers(memberCount, "zone-0"))
            answer.members.push_back(toWire(member));
        for (int number = 0; number < cellCount; ++number) {
            CellDigest digest;
            digest.cell = { "zone-0", "model-" + std::to_string(number % Models), static_cast<std::uint32_t>(number) };
            digest.freeTokens = 4'000'000;
            digest.largestSpanTokens = 7'000'000;
            answer.cells.push_back(toWire(digest, { "instance-17", 1'796'347'705'035 }));
        }
        const auto bytes = encode(answer).size();
        const auto milliseconds = millisecondsOf(200, [&] { encode(answer); });
        std::printf("%8d %6d %9zu %10.3f\n", memberCount, cellCount, bytes, milliseconds);
    }
}

}

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    printOwnership();
    printCells();
    printConfiguration();
    printView();
    printInstanceList();
    return 0;
}
