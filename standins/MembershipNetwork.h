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

// Drives many memberships on one manual clock over an in-memory transport with delay, loss and cuts.
class MembershipNetwork {
public:
    struct Node {
        std::string address;
        std::unique_ptr<Membership> membership;
        bool isDead { false };
        TimePoint frozenUntil {};
        std::vector<std::pair<TimePoint, Member>> changes; // What it was told of other members.
        std::vector<std::pair<TimePoint, TargetLeavingMark>> marks;
        std::vector<ConfigurationOffsetHeard> offsets;
        bool isSuperseded { false };
    };

    explicit MembershipNetwork(std::uint64_t seed)
        : random(seed)
    {
    }

    // Returns the seed of this run of the tests, from the environment's MARIGOLD_SEED.
    static std::uint64_t seedOfRun()
    {
        const auto* text = std::getenv("MARIGOLD_SEED");
        return text ? std::strtoull(text, nullptr, 10) : 1;
    }

    // Adds a node that runs from now on. A later incarnation takes the address of the earlier one.
    Node& add(const std::string& name, const std::string& zone, std::uint64_t incarnation = 1)
    {
        Member self { { name, incarnation }, zone, "udp-" + name, "tcp-" + name, MemberState::Alive, 0, 0 };
        auto node = std::make_unique<Node>();
        node->address = self.membershipAddress;
        node->membership
            = std::make_unique<Membership>(self, this->options, std::mt19937_64 { this->random() }, this->clock.now());
        std::erase_if(this->order, [&](const Node* other) { return other->address == node->address; });
        this->order.push_back(node.get());
        if (this->nodes.contains(node->address))
            this->retired.push_back(std::move(this->nodes[node->address]));
        return *(this->nodes[self.membershipAddress] = std::move(node));
    }

    // Adds `count` nodes in each zone, named ZONE-NUMBER, and lets all of them read a listing of all.
    void addZones(const std::vector<std::string>& zones, int count)
    {
        for (const auto& zone : zones)
            for (int number = 0; number < count; ++number)
                this->add(zone + "-" + std::to_string(number), zone);
        this->listAll();
    }

    std::vector<InstanceDescription> listing() const
    {
        std::vector<InstanceDescription> instances;
        for (const auto* node : this->order) {
            const auto& self = node->membership->self();
            instances.push_back({ self.instance.name, self.availabilityZone, self.dispatcherAddress,
                self.membershipAddress, self.instance.incarnation, false });
        }
        return instances;
    }

    void listAll()
    {
        const auto instances = this->listing();
        for (auto* node : this->order)
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
        return this->order;
    }

    void kill(const std::string& name)
    {
        this->node(name).isDead = true;
    }

    // The process stands still; what is sent to it meanwhile waits in its socket.
    void freeze(const std::string& name, Duration duration)
    {
        this->node(name).frozenUntil = this->clock.now() + duration;
    }

    // Takes the commands of a node that was called from outside.
    void perform(Node& node, MembershipCommands commands)
    {
        for (auto& command : commands)
            std::visit([&](auto& specific) { this->performOne(node, specific); }, command);
    }

    // Runs for `duration`, in steps of the clock.
    void run(Duration duration)
    {
        const auto end = this->clock.now() + duration;
        while (this->clock.now() < end) {
            this->clock.advance(Step);
            this->deliver();
            this->tickAll();
        }
    }

    // Runs until `condition` holds; returns the time it took, or `limit` if it never held.
    Duration runUntil(const std::function<bool()>& condition, Duration limit)
    {
        const auto start = this->clock.now();
        while (!condition() && this->clock.now() - start < limit)
            this->run(5 * Step);
        return this->clock.now() - start;
    }

    // Returns the state in which `observer` sees `name`; Dead when it is no member.
    MemberState stateSeen(Node& observer, const std::string& name) const
    {
        for (const auto& member : observer.membership->members())
            if (member.instance.name == name)
                return member.state;
        return MemberState::Dead;
    }

    // Returns whether every running node sees exactly the running nodes of its zone, all of them alive.
    bool isConverged() const
    {
        return std::ranges::all_of(this->order, [this](const Node* node) {
            return node->isDead || node->membership->members() == this->expectedMembers(*node);
        });
    }

    // Counts of changes to `state` that any node was told of.
    std::size_t countChanges(MemberState state) const
    {
        std::size_t count = 0;
        for (const auto* node : this->order)
            count += static_cast<std::size_t>(std::ranges::count_if(
                node->changes, [state](const auto& change) { return change.second.state == state; }));
        return count;
    }

    static constexpr Duration Step = std::chrono::milliseconds { 10 };

    ManualClock clock;
    MembershipOptions options;
    std::chrono::nanoseconds timeInMemberships {}; // Processor time of receive() and tick() of all nodes.
    double loss { 0 };
    Duration delay { std::chrono::milliseconds { 1 } };
    // Returns whether datagrams from one address to another are dropped.
    std::function<bool(const Member& from, const Member& to)> isCut;

private:
    struct Flight {
        TimePoint arrival;
        std::uint64_t number { 0 };
        std::string address;
        std::string bytes;

        bool operator>(const Flight& other) const
        {
            return std::tie(this->arrival, this->number) > std::tie(other.arrival, other.number);
        }
    };

    std::vector<Member> expectedMembers(const Node& observer) const
    {
        std::vector<Member> expected;
        const auto& zone = observer.membership->self().availabilityZone;
        for (const auto* node : this->order)
            if (!node->isDead && node->membership->self().availabilityZone == zone)
                expected.push_back(node->membership->self());
        std::ranges::sort(expected, {}, &Member::instance);
        return expected;
    }

    bool canRun(const Node& node) const
    {
        return !node.isDead && this->clock.now() >= node.frozenUntil;
    }

    void deliver()
    {
        std::vector<Flight> waiting;
        while (!this->flights.empty() && this->flights.top().arrival <= this->clock.now()) {
            auto flight = this->flights.top();
            this->flights.pop();
            const auto found = this->nodes.find(flight.address);
            if (found == this->nodes.end() || found->second->isDead)
                continue;
            auto& node = *found->second;
            if (this->canRun(node))
                this->perform(
                    node, this->timed([&] { return node.membership->receive(flight.bytes, this->clock.now()); }));
            else
                waiting.push_back(std::move(flight));
        }
        for (auto& flight : waiting)
            this->flights.push(std::move(flight));
    }

    void tickAll()
    {
        for (auto* node : this->order)
            if (this->canRun(*node) && node->membership->nextTick() <= this->clock.now())
                this->perform(*node, this->timed([&] { return node->membership->tick(this->clock.now()); }));
    }

    MembershipCommands timed(const std::function<MembershipCommands()>& call)
    {
        const auto start = processorTime();
        auto commands = call();
        this->timeInMemberships += processorTime() - start;
        return commands;
    }

    // Processor time of this thread, so that a busy machine does not count.
    static std::chrono::nanoseconds processorTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
    }

    void performOne(Node& from, SendDatagram& datagram)
    {
        std::uniform_real_distribution<double> chance { 0, 1 };
        const auto found = this->nodes.find(datagram.address);
        if (found == this->nodes.end() || chance(this->random) < this->loss)
            return;
        if (this->isCut && this->isCut(from.membership->self(), found->second->membership->self()))
            return;
        this->flights.push(
            { this->clock.now() + this->delay, ++this->flightCount, datagram.address, std::move(datagram.bytes) });
    }

    void performOne(Node& node, const MemberChanged& change)
    {
        node.changes.emplace_back(this->clock.now(), change.member);
    }

    void performOne(Node& node, const TargetMarked& marked)
    {
        node.marks.emplace_back(this->clock.now(), marked.mark);
    }

    void performOne(Node& node, const ConfigurationOffsetHeard& heard)
    {
        node.offsets.push_back(heard);
    }

    void performOne(Node& node, const Superseded&)
    {
        node.isSuperseded = true;
    }

    std::mt19937_64 random;
    std::map<std::string, std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> retired; // Replaced by a later incarnation.
    std::vector<Node*> order;
    std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights;
    std::uint64_t flightCount { 0 };
};

}
