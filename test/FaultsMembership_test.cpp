#include <gmock/gmock.h>

#include "membership/Ownership.h"
#include "standins/MembershipNetwork.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;
using testing::Each;
using testing::Field;
using testing::IsEmpty;
using testing::SizeIs;

namespace {

constexpr auto DetectionBound = 8s; // Engine memory must be free 10 s after a death; 2 s remain for releasing it.
constexpr auto LeavingSpreadBound = 1s;
constexpr auto ConfigurationBound = 8s;

class FaultsMembershipTest : public testing::Test {
protected:
    FaultsMembershipTest()
    {
        this->trace = std::make_unique<testing::ScopedTrace>(
            __FILE__, __LINE__, "MARIGOLD_SEED=" + std::to_string(MembershipNetwork::testSeed()));
    }

    void start(const std::vector<std::string>& zones, int count)
    {
        this->network.addZones(zones, count);
        const auto convergenceTime = this->network.runUntil([this] { return this->network.isConverged(); }, 30s);
        ASSERT_LT(convergenceTime, 30s) << "the nodes did not converge";
        this->network.run(2s);
    }

    // Kills a node and returns the time until every other node of its zone has removed it, at most 30 s.
    Duration detectionTime(const std::string& name)
    {
        this->network.kill(name);
        return this->network.runUntil([this] { return this->network.isConverged(); }, 30s);
    }

    bool isSeenByAll(const std::string& name, MemberState state)
    {
        const auto& subject = this->network.membership(name).self();
        return std::ranges::all_of(this->network.all(), [&](MembershipNetwork::Node* node) {
            const auto& self = node->membership->self();
            return node->isDead || self.instance == subject.instance
                || self.availabilityZone != subject.availabilityZone || this->network.stateSeen(*node, name) == state;
        });
    }

    // Emulates the runtime: a node that receives a higher configuration offset fetches its record and puts it in force.
    // Returns whether every node has `offset` in force.
    bool isInForceEverywhere(std::uint64_t offset)
    {
        for (auto* node : this->network.all())
            for (const auto& newer : std::exchange(node->offsets, {}))
                node->membership->setConfigurationOffset(newer.offset, this->network.clock.now());
        return std::ranges::all_of(this->network.all(),
            [offset](const auto* node) { return node->membership->self().configurationOffset == offset; });
    }

    static std::vector<SendDatagram> datagramsOf(const MembershipCommands& commands)
    {
        std::vector<SendDatagram> datagrams;
        for (const auto& command : commands)
            if (const auto* datagram = std::get_if<SendDatagram>(&command))
                datagrams.push_back(*datagram);
        return datagrams;
    }

    bool hasMark(const MembershipNetwork::Node& node, const TargetLeavingMark& mark)
    {
        return std::ranges::count(node.membership->targetMarks(), mark) == 1;
    }

    MembershipNetwork network { MembershipNetwork::testSeed() };
    std::unique_ptr<testing::ScopedTrace> trace;
};

TEST_F(FaultsMembershipTest, DeadInstanceIsDetectedByItsWholeZoneWithinTheBound)
{
    this->start({ "a" }, 100);
    EXPECT_LT(this->detectionTime("a-17"), DetectionBound);
    EXPECT_LT(this->detectionTime("a-42"), DetectionBound);
}

TEST_F(FaultsMembershipTest, DeadInstanceAmongThreeIsDetectedWithinTheBound)
{
    this->start({ "a", "b" }, 3);
    EXPECT_LT(this->detectionTime("a-0"), DetectionBound);
    EXPECT_LT(this->detectionTime("a-1"), DetectionBound);
    EXPECT_THAT(this->network.membership("a-2").members(), SizeIs(1));
}

// Lost probes and acknowledgements raise suspicions, which have to be refuted in time.
TEST_F(FaultsMembershipTest, FivePercentPacketLossCausesNoFalseDeath)
{
    this->start({ "a" }, 100);
    this->network.loss = 0.05;
    this->network.run(120s);
    EXPECT_EQ(this->network.countChanges(MemberState::Dead), 0u);
    EXPECT_LT(this->detectionTime("a-3"), DetectionBound) << "under 5% loss";
}

// After an instance was paused, the probes that it sent before the pause seem unanswered, because it has not read the
// answers yet. It must not suspect other instances because of these probes.
TEST_F(FaultsMembershipTest, InstancePausedForThreeSecondsRefutesItsSuspicionAndSuspectsNoOther)
{
    this->start({ "a" }, 64);
    this->network.freeze("a-5", 3s);
    this->network.run(20s);
    EXPECT_EQ(this->network.countChanges(MemberState::Dead), 0u);
    EXPECT_TRUE(this->network.isConverged());
    EXPECT_EQ(this->network.membership("a-5").counters().suspicionsRaised, 0u);
    EXPECT_GE(this->network.membership("a-5").counters().refutations, 1u);
}

// The other instances declare the paused instance dead and take over what it owned. When it resumes, its view is out of
// date, so it must count as stale until other instances have answered it.
TEST_F(FaultsMembershipTest, InstancePausedUntilDeclaredDeadIsStaleOnResumeAndThenRejoins)
{
    this->start({ "a" }, 16);
    this->network.freeze("a-5", 20s);
    this->network.run(19s);
    EXPECT_TRUE(this->isSeenByAll("a-5", MemberState::Dead));
    auto& frozen = this->network.membership("a-5");
    this->network.run(1s - MembershipNetwork::Step);
    EXPECT_TRUE(frozen.isStale(this->network.clock.now()));
    this->network.run(2 * MembershipNetwork::Step);
    EXPECT_TRUE(frozen.isStale(this->network.clock.now())) << "acted on its view from before the pause";
    const auto isBack = [&] {
        return this->network.isConverged() && !frozen.isStale(this->network.clock.now());
    };
    EXPECT_LT(this->network.runUntil(isBack, 30s), 15s);
    EXPECT_EQ(frozen.counters().suspicionsRaised, 0u);
}

TEST_F(FaultsMembershipTest, SimultaneousPauseOfAllInstancesCausesNoFalseDeath)
{
    this->start({ "a" }, 16);
    for (const auto* node : this->network.all())
        this->network.freeze(node->membership->self().instance.name, 30s);
    this->network.run(60s);
    EXPECT_EQ(this->network.countChanges(MemberState::Dead), 0u);
    EXPECT_TRUE(this->network.isConverged());
}

// Direct probes from a-1 to a-2 fail; a-2 must not be declared dead as long as other instances reach a-2.
TEST_F(FaultsMembershipTest, OneWayCutBetweenTwoInstancesIsCoveredByIndirectProbes)
{
    this->start({ "a" }, 8);
    this->network.isPartitioned = [](const Member& from, const Member& to) {
        return from.instance.name == "a-1" && to.instance.name == "a-2";
    };
    this->network.run(60s);
    EXPECT_EQ(this->network.countChanges(MemberState::Dead), 0u);
}

TEST_F(FaultsMembershipTest, PartitionedZoneSplitsAndConvergesAfterHealing)
{
    this->start({ "a" }, 32);
    this->network.isPartitioned = [](const Member& from, const Member& to) {
        const auto isLow = [](const Member& member) {
            return std::stoi(member.instance.name.substr(2)) < 16;
        };
        return isLow(from) != isLow(to);
    };
    this->network.run(180s);
    EXPECT_THAT(this->network.membership("a-0").members(), SizeIs(16));
    this->network.isPartitioned = nullptr;
    EXPECT_LT(this->network.runUntil([this] { return this->network.isConverged(); }, 60s), 30s);
}

// Contact between the zones is lost in both directions for five minutes, while members within each zone stay connected.
TEST_F(FaultsMembershipTest, ZonesPartitionedForMinutesKeepTheirMembersAndReconnectAfterHealing)
{
    this->start({ "a", "b" }, 8);
    this->network.isPartitioned = [](const Member& from, const Member& to) {
        return from.availabilityZone != to.availabilityZone;
    };
    this->network.run(300s);
    EXPECT_EQ(this->network.countChanges(MemberState::Dead), 0u);
    EXPECT_THAT(this->network.membership("a-0").membersAndContacts(this->network.clock.now()), SizeIs(8));
    this->network.isPartitioned = nullptr;
    this->network.membership("b-3").setConfigurationOffset(7, this->network.clock.now());
    EXPECT_LT(this->network.runUntil([this] { return this->isInForceEverywhere(7); }, 60s), ConfigurationBound);
}

// A whole rack is lost: many of the members that probe or relay probes die at the same time.
TEST_F(FaultsMembershipTest, TwentySimultaneousDeathsAreDetectedWithinTheBound)
{
    this->start({ "a" }, 100);
    for (int number = 0; number < 20; ++number)
        this->network.kill("a-" + std::to_string(number));
    EXPECT_LT(this->network.runUntil([this] { return this->network.isConverged(); }, 60s), DetectionBound);
}

TEST_F(FaultsMembershipTest, DeadZoneIsRemovedFromTheContactsOfOtherZones)
{
    this->start({ "a", "b", "c" }, 4);
    EXPECT_GT(this->network.membership("a-0").membersAndContacts(this->network.clock.now()).size(), 8u);
    for (int number = 0; number < 4; ++number)
        this->network.kill("c-" + std::to_string(number));
    this->network.run(45s);
    const auto seen = this->network.membership("a-0").membersAndContacts(this->network.clock.now());
    EXPECT_THAT(seen, Each(Field(&Member::availabilityZone, testing::Ne("c"))));
    const auto* owner = ownerOf({ "c", "model", 0 }, seen);
    ASSERT_NE(owner, nullptr) << "the cells of the lost zone have no owner";
}

TEST_F(FaultsMembershipTest, RestartAtTheSameAddressReplacesTheEarlierIncarnationWithinThreeSeconds)
{
    this->start({ "a" }, 16);
    this->network.kill("a-4");
    this->network.add("a-4", "a", 2);
    this->network.updateAllListings();
    EXPECT_LT(this->network.runUntil([this] { return this->network.isConverged(); }, 30s), 3s);
}

// A process that was replaced but is still running could act as an owner at the same time as its successor.
TEST_F(FaultsMembershipTest, EarlierIncarnationThatStillRunsIsSupersededAndStale)
{
    this->start({ "a" }, 8);
    const auto listing = this->network.listing();
    const auto old = this->network.membership("a-4").self();
    this->network.add("a-4", "a", 2);
    this->network.updateAllListings();
    this->network.run(5s);

    const auto now = this->network.clock.now();
    Membership replaced { old, this->network.options, std::mt19937_64 { 1 }, now };
    replaced.updateListing(listing, now);
    bool wasSuperseded = false;
    for (const auto& ping : datagramsOf(replaced.tick(now)))
        for (const auto& answer : datagramsOf(this->network.membership("a-0").receive(ping.bytes, now)))
            wasSuperseded |= std::ranges::any_of(replaced.receive(answer.bytes, now),
                [](const auto& command) { return std::holds_alternative<Superseded>(command); });
    EXPECT_TRUE(wasSuperseded);
    EXPECT_TRUE(replaced.isStale(now));
}

TEST_F(FaultsMembershipTest, PlannedLeaveSpreadsWithinASecondAndMovesOwnership)
{
    this->start({ "a" }, 100);
    auto& leaving = this->network.node("a-9");
    this->network.perform(leaving, leaving.membership->leave(this->network.clock.now()));
    const auto isLeaving = [this] {
        return this->isSeenByAll("a-9", MemberState::Leaving);
    };
    EXPECT_LT(this->network.runUntil(isLeaving, 10s), LeavingSpreadBound);
    const auto members = this->network.membership("a-50").members();
    for (std::uint32_t number = 0; number < 500; ++number)
        EXPECT_NE(ownerOf({ "a", "model", number }, members)->instance.name, "a-9");
    this->network.perform(leaving, leaving.membership->announceExit(this->network.clock.now()));
    leaving.isDead = true;
    EXPECT_LT(this->network.runUntil([this] { return this->network.isConverged(); }, 10s), 2s);
}

TEST_F(FaultsMembershipTest, TargetMarkSpreadsWithinASecondUnderPacketLoss)
{
    this->start({ "a" }, 100);
    this->network.loss = 0.05;
    for (std::uint64_t incarnation = 1; incarnation <= 5; ++incarnation) {
        const TargetLeavingMark mark { "engine-7", incarnation, true };
        auto& first = this->network.node("a-" + std::to_string(incarnation));
        this->network.perform(first, first.membership->markTarget(mark, this->network.clock.now()));
        const auto isEverywhere = [&] {
            return std::ranges::all_of(
                this->network.all(), [&](const auto* node) { return this->hasMark(*node, mark); });
        };
        EXPECT_LT(this->network.runUntil(isEverywhere, 10s), LeavingSpreadBound);
        this->network.run(1s);
    }
}

TEST_F(FaultsMembershipTest, TargetMarkOfEarlierIncarnationIsIgnoredAndOfLaterIncarnationReplacesIt)
{
    this->start({ "a" }, 4);
    auto& node = this->network.node("a-0");
    const auto now = this->network.clock.now();
    this->network.perform(node, node.membership->markTarget({ "engine", 5, true }, now));
    EXPECT_THAT(node.membership->markTarget({ "engine", 4, true }, now), IsEmpty());
    EXPECT_THAT(node.membership->markTarget({ "engine", 5, false }, now), IsEmpty());
    EXPECT_THAT(node.membership->markTarget({ "engine", 6, false }, now), SizeIs(1));
    this->network.run(2s);
    EXPECT_TRUE(this->hasMark(this->network.node("a-3"), { "engine", 6, false }));
}

// The platform's listing may lack running instances and name ones that do not exist. Only gossip may change members.
TEST_F(FaultsMembershipTest, IncompleteOrWrongListingNeitherAddsNorRemovesMembers)
{
    this->start({ "a" }, 8);
    auto wrong = this->network.listing();
    wrong.resize(2);
    wrong.push_back({ "a-ghost", "a", "tcp-ghost", "udp-ghost", 1, false });
    for (auto* node : this->network.all())
        node->membership->updateListing(wrong, this->network.clock.now());
    this->network.run(60s);
    EXPECT_TRUE(this->network.isConverged());
    EXPECT_LT(this->detectionTime("a-1"), DetectionBound) << "although the platform still lists the instance";
}

TEST_F(FaultsMembershipTest, JoiningInstanceWithOneListedContactDiscoversAllMembers)
{
    this->start({ "a" }, 64);
    const auto one = this->network.listing().front();
    auto& joining = this->network.add("a-new", "a");
    joining.membership->updateListing(std::span { &one, 1 }, this->network.clock.now());
    EXPECT_LT(this->network.runUntil([this] { return this->network.isConverged(); }, 60s), 10s);
}

TEST_F(FaultsMembershipTest, ConfigurationOffsetReachesAllZonesWithinTheBoundUnderPacketLoss)
{
    this->start({ "a", "b", "c" }, 30);
    this->network.loss = 0.05;
    this->network.membership("b-3").setConfigurationOffset(9, this->network.clock.now());
    EXPECT_LT(this->network.runUntil([this] { return this->isInForceEverywhere(9); }, 30s), ConfigurationBound / 2);
}

TEST_F(FaultsMembershipTest, CellDigestsReachTheOwnZoneAndReachOtherZonesWithTheirOwner)
{
    this->start({ "a", "b" }, 10);
    CellDigest digest;
    digest.cell = { "a", "model", 3 };
    const auto owner = ownerOf(digest.cell, this->network.membership("a-0").members())->instance;
    for (int round = 1; round <= 10; ++round) {
        digest.freeTokens = static_cast<std::uint64_t>(round) * 1000;
        this->network.membership(owner.name).publish(digest, this->network.clock.now());
        this->network.run(2s);
    }
    for (const auto* node : this->network.all()) {
        const auto reports = node->membership->cellReports(this->network.clock.now());
        ASSERT_THAT(reports, SizeIs(1)) << node->address;
        EXPECT_EQ(reports.front().digest.cell, digest.cell) << node->address;
        EXPECT_GE(reports.front().digest.freeTokens, 8000u) << node->address << " has an outdated digest";
        if (node->membership->self().availabilityZone == "b") {
            EXPECT_EQ(reports.front().owner, owner);
            EXPECT_EQ(reports.front().ownerAddress, "tcp-" + owner.name);
        }
    }
}

TEST_F(FaultsMembershipTest, CorruptedDatagramsCauseNoCrashAndStayWithinSizeAndMemberLimits)
{
    this->start({ "a" }, 4);
    std::mt19937_64 random { MembershipNetwork::testSeed() };
    auto& receiver = this->network.membership("a-0");
    std::uniform_int_distribution<int> byte { 0, 255 };
    for (int round = 0; round < 20000; ++round) {
        const auto now = this->network.clock.now() + round * 100ms;
        for (auto& [address, bytes] : datagramsOf(this->network.membership("a-1").tick(now))) {
            for (int mutation = round % 8; mutation >= 0; --mutation)
                bytes[random() % bytes.size()] = static_cast<char>(byte(random));
            bytes.resize(random() % 4 == 0 ? random() % bytes.size() + 1 : bytes.size());
            for (const auto& answer : datagramsOf(receiver.receive(bytes, this->network.clock.now())))
                ASSERT_LE(answer.bytes.size(), MaximumDatagramBytes);
        }
    }
    EXPECT_GT(receiver.counters().datagramsMalformed, 0u);
    EXPECT_LE(receiver.members().size(), this->network.options.maximumMembers);
}

}
