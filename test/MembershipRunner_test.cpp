#include "membership/MembershipRunner.h"

#include <functional>
#include <set>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gmock/gmock.h>

using namespace marigoldpaddle;
using namespace std::chrono_literals;
using testing::SizeIs;

namespace {

// A membership runner of one instance, with the events that it reported.
class Instance final : public MembershipObserver {
public:
    Instance(boost::asio::io_context& context, std::string name, MembershipOptions options)
        : runner(context, this->clock, this->metrics)
    {
        const auto port = std::to_string(this->runner.bind("127.0.0.1:0"));
        this->description = { name, "a", "127.0.0.1:1", "127.0.0.1:" + port, 1, false };
        Member self { { name, 1 }, "a", this->description.membershipAddress, this->description.dispatcherAddress,
            MemberState::Alive, 0, 0 };
        this->runner.start(std::move(self), *this, 1, options);
    }

    void memberChanged(const Member& member) override
    {
        this->states[member.instance.name] = member.state;
    }

    void targetMarked(const TargetLeavingMark& mark) override
    {
        this->marked.insert(mark.target);
    }

    void higherConfigurationOffset(std::uint64_t offset, const Member&) override
    {
        this->offset = offset;
    }

    void superseded(std::uint64_t) override { }

    SteadyClock clock;
    MetricsRegistry metrics;
    MembershipRunner runner;
    InstanceDescription description;
    std::map<std::string, MemberState> states;
    std::set<std::string> marked;
    std::uint64_t offset { 0 };
};

class MembershipRunnerTest : public testing::Test {
protected:
    MembershipRunnerTest()
    {
        this->options.probePeriod = 50ms;
        this->options.probeTimeout = 20ms;
        this->options.suspicionTimeout = 200ms;
        this->options.gossipPeriod = 10ms;
    }

    // Runs the instances until the condition holds; fails if it does not within 20 s.
    void runUntil(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < limit)
            this->context.run_one_for(100ms);
        EXPECT_TRUE(condition());
    }

    boost::asio::io_context context { 1 };
    MembershipOptions options;
};

TEST_F(MembershipRunnerTest, InstancesOverUdpDiscoverEachOtherSpreadUpdatesAndDetectADeparture)
{
    Instance first { this->context, "first", this->options };
    Instance second { this->context, "second", this->options };
    auto third = std::make_unique<Instance>(this->context, "third", this->options);
    const std::array listing { first.description, second.description, third->description };
    for (auto* instance : { &first, &second, third.get() })
        instance->runner.updateListing(listing);
    this->runUntil([&] { return first.states.size() == 2 && second.states.size() == 2; });

    first.runner.markTarget({ "engine", 3, true });
    second.runner.setConfigurationOffset(12);
    this->runUntil([&] { return second.marked.contains("engine") && first.offset == 12; });

    third->runner.leave();
    this->runUntil([&] { return first.states["third"] == MemberState::Leaving; });
    third.reset();
    this->runUntil([&] { return first.states["third"] == MemberState::Dead; });
    EXPECT_THAT(first.runner.membership().members(), SizeIs(2));
}

TEST_F(MembershipRunnerTest, MalformedDatagramsAreCountedAndReceptionContinues)
{
    Instance instance { this->context, "first", this->options };
    boost::asio::ip::udp::socket sender { this->context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    const auto port = std::stoi(instance.description.membershipAddress.substr(sizeof "127.0.0.1"));
    const boost::asio::ip::udp::endpoint endpoint { boost::asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(port) };
    sender.send_to(boost::asio::buffer(std::string(5000, 'x')), endpoint);
    sender.send_to(boost::asio::buffer(std::string(7, '\xff')), endpoint);
    this->runUntil([&] { return instance.runner.membership().counters().datagramsMalformed == 2; });
}

}
