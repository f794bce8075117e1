#pragma once

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Membership.h>

namespace marigoldpaddle {

// Runs many Membership instances on one manual clock over an in-memory transport with delay, loss and network
// partitions.
class MembershipNetwork {
public:
    struct Node {
        std::string address;
        std::unique_ptr<Membership> membership;
        bool isDead { false };
        TimePoint frozenUntil {};
        std::vector<std::pair<TimePoint, Member>> changes; // MemberChanged commands, with their times.
        std::vector<std::pair<TimePoint, TargetLeavingMark>> marks;
        std::vector<HigherConfigurationOffset> offsets;
        bool isSuperseded { false };
    };

    explicit MembershipNetwork(std::uint64_t seed)
        : random(seed)
    {
    }

    // Returns the seed of the test run from the environment variable MARIGOLD_SEED; 1 if it is not set.
    static std::uint64_t testSeed()
    {
        const auto* text = std::getenv("MARIGOLD_SEED");
        return text ? std::strtoull(text, nullptr, 10) : 1;
    }

    // Adds a running node. A later incarnation of an instance takes over the address of the earlier one.
    Node& add(const std::string& name, const std::string& zone, std::uint64_t incarnation = 1)
    {
        Member self { { name, incarnation }, zone, "udp-" + name, "tcp-" + name, MemberState::Alive, 0, 0 };
        auto node = std::make_unique<Node>();
        node->address = self.membershipAddress;
        node->membership
            = std::make_unique<Membership>(self, this->options, std::mt19937_64 { this->random() }, this->clock.now());
        std::erase_if(this->currentNodes, [&](const Node* other) { return other->address == node->address; });
        this->currentNodes.push_back(node.get());
        if (this->nodes.contains(node->address))
            this->replacedNodes.push_back(std::move(this->nodes[node->address]));
        return *(this->nodes[self.membershipAddress] = std::move(node));
    }

    // Adds `count` nodes to each zone, named ZONE-NUMBER, and passes the listing of all nodes to each of them.
    void addZones(const std::vector<std::string>& zones, int count)
    {
        for (const auto& zone : zones)
            for (int number = 0; number < count; ++number)
                this->add(zone + "-" + std::to_string(number), zone);
        this->updateAllListings();
    }

    // Returns all current nodes, dead ones included, as the platform lists them.
    std::vector<InstanceDescription> listing() const
    {
        std::vector<InstanceDescription> instances;
        for (const auto* node : this->currentNodes) {
            const auto& self = node->membership->self();
            instances.push_back({ self.instance.name, self.availabilityZone, self.dispatcherAddress,
                self.membershipAddress, self.instance.incarnation, false });
        }
        return instances;
    }

    // Passes the listing of all nodes to every running node.
    void updateAllListings()
    {
        const auto instances = this->listing();
        for (auto* node : this->currentNodes)
            if (!node->isDead)
                node->membership->updateListing(instances, this->clock.now());
    }

    Node& node(const std::string& name)
    {
        return *this->nodes.at("udp-" + name);
    }

    Membership& membership(const std::string& name)
    {
        return *this->node(name).membership;
    }

    const std::vector<Node*>& all() const
    {
        return this->currentNodes;
    }

    void kill(const std::string& name)
    {
        this->node(name).isDead = true;
    }

    // Suspends a process for `duration`. Datagrams sent to it are delivered when it resumes, as from a socket buffer.
    void freeze(const std::string& name, Duration duration)
    {
        this->node(name).frozenUntil = this->clock.now() + duration;
    }

    // Executes the commands that a direct call to the membership of `node` returned.
    void perform(Node& node, MembershipCommands commands)
    {
        for (auto& command : commands)
            std::visit([&](auto& specific) { this->execute(node, specific); }, command);
    }

    // Runs for `duration`, advancing the clock in increments of Step.
    void run(Duration duration)
    {
        const auto end = this->clock.now() + duration;
        while (this->clock.now() < end) {
            this->clock.advance(Step);
            this->deliverDatagrams();
            this->tickAll();
        }
    }

    // Runs until `condition` holds or `limit` has passed. Returns the time that has passed, in multiples of 5 * Step.
    Duration runUntil(const std::function<bool()>& condition, Duration limit)
    {
        const auto start = this->clock.now();
        while (!condition() && this->clock.now() - start < limit)
            this->run(5 * Step);
        return this->clock.now() - start;
    }

    // Returns the state of instance `name` in the view of `observer`; Dead if it is not a member.
    MemberState stateSeen(Node& observer, const std::string& name) const
    {
        for (const auto& member : observer.membership->members())
            if (member.instance.name == name)
                return member.state;
        return MemberState::Dead;
    }

    // Returns whether the view of every running node is exactly the running nodes of its zone, all alive.
    bool isConverged() const
    {
        return std::ranges::all_of(this->currentNodes, [this](const Node* node) {
            return node->isDead || node->membership->members() == this->expectedMembers(*node);
        });
    }

    // Returns the number of MemberChanged commands to `state`, summed over all nodes.
    std::size_t countChanges(MemberState state) const
    {
        std::size_t count = 0;
        for (const auto* node : this->currentNodes)
            count += static_cast<std::size_t>(std::ranges::count_if(
                node->changes, [state](const auto& change) { return change.second.state == state; }));
        return count;
    }

    static constexpr Duration Step = std::chrono::milliseconds { 10 };

    ManualClock clock;
    MembershipOptions options;
    std::chrono::nanoseconds membershipCpuTime {}; // CPU time of receive() and tick(), summed over all nodes.
    double loss { 0 }; // Probability that a datagram is dropped.
    Duration delay { std::chrono::milliseconds { 1 } }; // Of every datagram.
    // Returns whether a network partition drops all datagrams from one node to another.
    std::function<bool(const Member& from, const Member& to)> isPartitioned;

private:
    struct DatagramInFlight {
        TimePoint arrival;
        std::uint64_t sequence { 0 };
        std::string address;
        std::string bytes;

        bool operator>(const DatagramInFlight& other) const
        {
            return std::tie(this->arrival, this->sequence) > std::tie(other.arrival, other.sequence);
        }
    };

    std::vector<Member> expectedMembers(const Node& observer) const
    {
        std::vector<Member> expected;
        const auto& zone = observer.membership->self().availabilityZone;
        for (const auto* node : this->currentNodes)
            if (!node->isDead && node->membership->self().availabilityZone == zone)
                expected.push_back(node->membership->self());
        std::ranges::sort(expected, {}, &Member::instance);
        return expected;
    }

    bool canRun(const Node& node) const
    {
        return !node.isDead && this->clock.now() >= node.frozenUntil;
    }

    void deliverDatagrams()
    {
        std::vector<DatagramInFlight> waiting;
        while (!this->datagramsInFlight.empty() && this->datagramsInFlight.top().arrival <= this->clock.now()) {
            auto datagram = this->datagramsInFlight.top();
            this->datagramsInFlight.pop();
            const auto found = this->nodes.find(datagram.address);
            if (found == this->nodes.end() || found->second->isDead)
                continue;
            auto& node = *found->second;
            if (this->canRun(node))
                this->perform(node,
                    this->measureTime([&] { return node.membership->receive(datagram.bytes, this->clock.now()); }));
            else
                waiting.push_back(std::move(datagram));
        }
        for (auto& datagram : waiting)
            this->datagramsInFlight.push(std::move(datagram));
    }

    void tickAll()
    {
        for (auto* node : this->currentNodes)
            if (this->canRun(*node) && node->membership->nextTick() <= this->clock.now())
                this->perform(*node, this->measureTime([&] { return node->membership->tick(this->clock.now()); }));
    }

    MembershipCommands measureTime(const std::function<MembershipCommands()>& call)
    {
        const auto start = threadTime();
        auto commands = call();
        this->membershipCpuTime += threadTime() - start;
        return commands;
    }

    // Returns the CPU time of this thread. Unlike wall time it does not depend on the load of the machine.
    static std::chrono::nanoseconds threadTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
    }

    void execute(Node& from, SendDatagram& datagram)
    {
        std::uniform_real_distribution<double> chance { 0, 1 };
        const auto found = this->nodes.find(datagram.address);
        if (found == this->nodes.end() || chance(this->random) < this->loss)
            return;
        if (this->isPartitioned && this->isPartitioned(from.membership->self(), found->second->membership->self()))
            return;
        this->datagramsInFlight.push(
            { this->clock.now() + this->delay, ++this->datagramCount, datagram.address, std::move(datagram.bytes) });
    }

    void execute(Node& node, const MemberChanged& change)
    {
        node.changes.emplace_back(this->clock.now(), change.member);
    }

    void execute(Node& node, const TargetMarked& marked)
    {
        node.marks.emplace_back(this->clock.now(), marked.mark);
    }

    void execute(Node& node, const HigherConfigurationOffset& heard)
    {
        node.offsets.push_back(heard);
    }

    void execute(Node& node, const Superseded&)
    {
        node.isSuperseded = true;
    }

    std::mt19937_64 random;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> replacedNodes; // By a later incarnation.
    std::vector<Node*> currentNodes; // Without the replaced ones, in order of add().
    std::priority_queue<DatagramInFlight, std::vector<DatagramInFlight>, std::greater<>> datagramsInFlight;
    std::uint64_t datagramCount { 0 };
};

}
