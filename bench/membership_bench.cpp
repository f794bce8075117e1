// Measures the cost of membership per node, the time to detect failed nodes, and the rate of false suspicions and false
// deaths, at several sizes. Without arguments, runs the sizes of docs/CAPACITY.md.
// Usage: membership_bench [--nodes N] [--zones Z] [--seeds S] [--sockets 0]

#include <sys/resource.h>

#include <cstdio>
#include <malloc.h>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <glog/logging.h>

#include "membership/MembershipRunner.h"
#include "standins/MembershipNetwork.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;

namespace {

constexpr double UdpHeaderBytes = 28; // IPv4 and UDP.
constexpr auto DetectionTime = 12s;
constexpr auto DigestPeriod = 2s;
constexpr double ChangesPerSecond = 49'000.0 / 86'400; // 49,000 changes of the configuration per day.
constexpr double CellsPerNode = 0.6; // 60 cells and 100 instances in a zone.

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct Size {
    int nodes { 0 };
    int zones { 0 };
};

// Returns the duration of the steady phase and of each phase with loss. Large networks need less time, since they
// average over more nodes.
Duration phaseDuration(const Size& size)
{
    return size.nodes > 500 ? 10s : 30s;
}

struct Totals {
    double sent { 0 };
    double received { 0 };
    std::uint64_t suspicions { 0 };
    std::uint64_t deaths { 0 };
};

// A network at the planned rates of digests and configuration changes, with phases of steady load, packet loss, frozen
// nodes and killed nodes.
class Trial {
public:
    Trial(const Size& size, std::uint64_t seed)
        : size(size)
        , network(seed)
        , random(seed)
    {
        const auto heapBefore = mallinfo2().uordblks;
        for (int number = 0; number < size.nodes; ++number)
            this->network.add(this->nameOf(number), "zone-" + std::to_string(number % size.zones));
        this->network.updateAllListings();
        this->runUnderLoad(20s);
        this->heapPerNode = static_cast<double>(mallinfo2().uordblks - heapBefore) / size.nodes;
    }

    void measureSteadyLoad()
    {
        const auto before = this->totals();
        const auto busyTimeBefore = this->network.membershipCpuTime;
        this->runUnderLoad(phaseDuration(this->size));
        const auto after = this->totals();
        const auto nodeSeconds = this->size.nodes * secondsOf(phaseDuration(this->size));
        this->sentPerSecond = (after.sent - before.sent) / nodeSeconds;
        this->receivedPerSecond = (after.received - before.received) / nodeSeconds;
        this->corePercent = 100 * secondsOf(this->network.membershipCpuTime - busyTimeBefore) / nodeSeconds;
        for (const auto* node : this->network.all())
            for (const auto& report : node->membership->cellReports(this->network.clock.now()))
                if (report.digest.cell.availabilityZone == node->membership->self().availabilityZone)
                    this->digestAges.push_back(secondsOf(this->network.clock.now() - report.measuredAt));
    }

    // Kills one node in each zone if zones have at least two nodes on average, and records the time until the last of
    // the other nodes has marked it dead.
    void measureDetection()
    {
        const auto start = this->network.clock.now();
        std::vector<std::string> killed;
        for (int zone = 0; zone < this->size.zones && this->size.nodes / this->size.zones >= 2; ++zone)
            killed.push_back(this->nameOf(zone));
        for (const auto& name : killed)
            this->network.kill(name);
        this->runUnderLoad(DetectionTime);
        std::map<std::string, TimePoint> lastMarkedDead;
        for (const auto* node : this->network.all())
            for (const auto& [time, member] : node->changes)
                if (member.state == MemberState::Dead && time > start)
                    lastMarkedDead[member.instance.name] = std::max(lastMarkedDead[member.instance.name], time);
        for (const auto& name : killed)
            this->detections.push_back(lastMarkedDead.contains(name) ? secondsOf(lastMarkedDead[name] - start) : 1e9);
    }

    // Returns the false suspicions and false deaths per node and hour at the given packet loss, 0 to 1.
    std::pair<double, double> errorsUnderLoss(double loss)
    {
        const auto before = this->totals();
        this->network.loss = loss;
        this->runUnderLoad(phaseDuration(this->size));
        this->network.loss = 0;
        this->runUnderLoad(6s); // Lets open suspicions be refuted or confirmed.
        const auto after = this->totals();
        const auto nodeHours = this->size.nodes * secondsOf(phaseDuration(this->size)) / 3600;
        return { static_cast<double>(after.suspicions - before.suspicions) / nodeHours,
            static_cast<double>(after.deaths - before.deaths) / nodeHours };
    }

    // Freezes a tenth of the nodes, at most 20, for 3 s. Returns the number of deaths that were falsely confirmed.
    std::uint64_t deathsAfterFreeze()
    {
        const auto before = this->totals();
        const auto count = std::clamp(this->size.nodes / 10, 1, 20);
        for (int index = 0; index < count; ++index)
            this->network.freeze(this->nameOf(this->size.nodes - 1 - index), 3s);
        this->runUnderLoad(12s);
        return this->totals().deaths - before.deaths;
    }

    double sentPerSecond { 0 };
    double receivedPerSecond { 0 };
    double corePercent { 0 };
    double heapPerNode { 0 };
    std::vector<double> detections;
    std::vector<double> digestAges; // Seconds, for the cells of a node's own zone, at every node.

private:
    static std::string nameOf(int number)
    {
        return "instance-" + std::to_string(number);
    }

    Totals totals() const
    {
        Totals sum;
        for (const auto* node : this->network.all()) {
            const auto& counters = node->membership->counters();
            sum.sent += static_cast<double>(counters.bytesSent)
                + UdpHeaderBytes * static_cast<double>(counters.datagramsSent);
            sum.received += static_cast<double>(counters.bytesReceived)
                + UdpHeaderBytes * static_cast<double>(counters.datagramsReceived);
            sum.suspicions += counters.suspicionsRaised;
            sum.deaths += counters.deathsConfirmed;
        }
        return sum;
    }

    // Runs the network with cell digests and configuration changes at the planned rates.
    void runUnderLoad(Duration duration)
    {
        constexpr auto Slice = 100ms;
        for (Duration done {}; done < duration; done += Slice) {
            const auto now = this->network.clock.now();
            if (now >= this->nextDigestsAt) {
                this->publishDigests();
                this->nextDigestsAt = now + DigestPeriod;
            }
            std::bernoulli_distribution isChange { ChangesPerSecond * secondsOf(Slice) };
            if (isChange(this->random))
                this->randomNode().membership->setConfigurationOffset(++this->offset, now);
            for (auto* node : this->network.all())
                for (const auto& update : std::exchange(node->offsets, {}))
                    node->membership->setConfigurationOffset(update.offset, now);
            this->network.run(Slice);
        }
    }

    void publishDigests()
    {
        for (int number = 0; number < static_cast<int>(this->size.nodes * CellsPerNode); ++number) {
            auto& node = this->network.node(this->nameOf(number));
            CellDigest digest;
            digest.cell = { node.membership->self().availabilityZone, "marigold-medium-" + std::to_string(number % 21),
                static_cast<std::uint32_t>(number) };
            digest.freeTokens = this->random() % 4'000'000;
            digest.expectedWait = std::chrono::milliseconds { this->random() % 2000 };
            if (!node.isDead)
                node.membership->publish(digest, this->network.clock.now());
        }
    }

    MembershipNetwork::Node& randomNode()
    {
        const auto& all = this->network.all();
        return *all[this->random() % all.size()];
    }

    Size size;
    MembershipNetwork network;
    std::mt19937_64 random;
    TimePoint nextDigestsAt {};
    std::uint64_t offset { 0 };
};

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
}

// Returns the size of a probe without piggybacked updates.
std::size_t emptyProbeBytes()
{
    ManualClock clock;
    Membership membership { { { "instance-17", 1'796'347'705'035 }, "zone-3", "10.20.30.40:17001", "10.20.30.40:17002",
                                MemberState::Alive, 0, 0 },
        {}, std::mt19937_64 { 1 }, clock.now() };
    const InstanceDescription other { "instance-18", "zone-3", "10.20.30.41:17002", "10.20.30.41:17001", 1, false };
    membership.updateListing(std::span { &other, 1 }, clock.now());
    for (const auto& command : membership.tick(clock.now()))
        if (const auto* datagram = std::get_if<SendDatagram>(&command))
            return datagram->bytes.size();
    return 0;
}

void printSize(const Size& size, int seeds)
{
    std::vector<double> detections, ages;
    double sent = 0, received = 0, core = 0, heap = 0;
    std::pair<double, double> errorsAt1Percent {}, errorsAt5Percent {};
    std::uint64_t frozenDeaths = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        Trial trial { size, static_cast<std::uint64_t>(seed) };
        trial.measureSteadyLoad();
        const auto one = trial.errorsUnderLoss(0.01);
        const auto five = trial.errorsUnderLoss(0.05);
        frozenDeaths += trial.deathsAfterFreeze();
        trial.measureDetection();
        sent += trial.sentPerSecond / seeds;
        received += trial.receivedPerSecond / seeds;
        core += trial.corePercent / seeds;
        heap += trial.heapPerNode / seeds;
        errorsAt1Percent = { errorsAt1Percent.first + one.first / seeds, errorsAt1Percent.second + one.second / seeds };
        errorsAt5Percent
            = { errorsAt5Percent.first + five.first / seeds, errorsAt5Percent.second + five.second / seeds };
        std::ranges::copy(trial.detections, std::back_inserter(detections));
        std::ranges::copy(trial.digestAges, std::back_inserter(ages));
    }
    std::printf("%6d %5d %5d %9.0f %9.0f %9.4f %8.0f %7.2f %7.2f %8.2f %7.2f %8.2f %7.2f %7lu %7.1f %7.1f\n",
        size.nodes, size.zones, seeds, sent, received, core, heap / 1024, quantileOf(detections, 0.5),
        quantileOf(detections, 1), errorsAt1Percent.first, errorsAt1Percent.second, errorsAt5Percent.first,
        errorsAt5Percent.second, static_cast<unsigned long>(frozenDeaths), quantileOf(ages, 0.5),
        quantileOf(ages, 0.95));
    std::fflush(stdout);
}

class IgnoringObserver final : public MembershipObserver {
    void memberChanged(const Member&) override { }
    void targetMarked(const TargetLeavingMark&) override { }
    void higherConfigurationOffset(std::uint64_t, const Member&) override { }
    void superseded(std::uint64_t) override { }
};

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto secondsFrom = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return secondsFrom(usage.ru_utime) + secondsFrom(usage.ru_stime);
}

// Measures the processor time with sockets, timers and metrics: runners of one zone over UDP on loopback, in real time.
void printSockets(int nodes)
{
    boost::asio::io_context context { 1 };
    SteadyClock clock;
    IgnoringObserver observer;
    std::vector<std::unique_ptr<MetricsRegistry>> metrics;
    std::vector<std::unique_ptr<MembershipRunner>> runners;
    std::vector<InstanceDescription> listing;
    for (int number = 0; number < nodes; ++number) {
        metrics.push_back(std::make_unique<MetricsRegistry>());
        runners.push_back(std::make_unique<MembershipRunner>(context, clock, *metrics.back()));
        const auto name = "instance-" + std::to_string(number);
        const auto address = "127.0.0.1:" + std::to_string(runners.back()->bind("127.0.0.1:0"));
        listing.push_back({ name, "zone", "127.0.0.1:1", address, 1, false });
        Member self { { name, 1 }, "zone", address, "127.0.0.1:1", MemberState::Alive, 0, 0 };
        runners.back()->start(std::move(self), observer, static_cast<std::uint64_t>(number));
    }
    for (auto& runner : runners)
        runner->updateListing(listing);
    context.run_for(12s);
    const auto before = processorSeconds();
    context.run_for(10s);
    std::printf("%6d %9.4f\n", nodes, 100 * (processorSeconds() - before) / nodes / 10);
    std::fflush(stdout);
}

}

int main(int count, char** arguments)
{
    FLAGS_minloglevel = google::GLOG_WARNING;
    const std::vector<std::string> options { arguments + 1, arguments + count };
    const auto valueOf = [&](std::string_view option, int fallback) {
        const auto found = std::ranges::find(options, option);
        return found == options.end() || found + 1 == options.end() ? fallback : std::atoi((found + 1)->c_str());
    };
    std::vector<Size> sizes { { 8, 3 }, { 64, 1 }, { 256, 3 }, { 1100, 11 }, { 25, 1 }, { 50, 1 }, { 100, 1 },
        { 200, 1 } };
    if (valueOf("--nodes", 0) > 0)
        sizes = { { valueOf("--nodes", 0), valueOf("--zones", 1) } };
    std::printf("a probe that carries nothing: %zu bytes\n", emptyProbeBytes());
    std::printf("membership, in memory: cost per node at the planned load; bounds 12,288 B/s and 1.8%% of a core\n");
    std::printf(
        " nodes zones seeds  sent B/s recv B/s    core %%  heap KB det p50 det max susp/h1%% dead/h1%% susp/h5%% "
        "dead/h5%% frozen\n");
    for (const auto& size : sizes)
        printSize(size, valueOf("--seeds", size.nodes > 500 ? 2 : 5));
    if (valueOf("--sockets", 1) == 0)
        return 0;
    std::printf("membership over UDP on loopback, with sockets and timers\n nodes    core %%\n");
    for (const auto nodes : { 8, 32, 100 })
        printSockets(nodes);
    return 0;
}
