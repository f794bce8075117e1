#include <marigoldpaddle/OrphanReclaimer.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <numeric>
#include <random>
#include <ranges>

#include <gmock/gmock.h>

using namespace marigoldpaddle;
using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

namespace {

constexpr Duration Step = 100ms;
constexpr Duration AnnouncementPeriod = 500ms;
constexpr Duration ReportDelay = 1s;
constexpr Duration ReleaseBound = 10s; // From the failure of a gateway until the engines have freed its allocations.

std::uint64_t seedFromEnvironment()
{
    const auto* text = std::getenv("MARIGOLD_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
}

struct FakeEngine {
    std::map<RequestId, std::uint64_t> allocations;
    std::map<RequestId, TimePoint> startedAt;
    bool listsAllocations { true };

    LoadReport report(const std::string& name, TimePoint now) const
    {
        LoadReport report;
        report.target = name;
        report.measuredAt = now;
        const auto sizes = this->allocations | std::views::values;
        report.usedTokens = std::accumulate(sizes.begin(), sizes.end(), std::uint64_t { 0 });
        if (!this->listsAllocations)
            return report;
        report.allocations.emplace();
        for (const auto& [id, tokens] : this->allocations)
            report.allocations->push_back({ id, tokens, now - this->startedAt.at(id) });
        return report;
    }
};

// A cell with its owner, the next owner, two gateways and two engines, simulated on a manual clock.
class OrphanReclaimerTest : public testing::Test {
protected:
    OrphanReclaimerTest()
    {
        this->engines["engine-1"];
        this->engines["engine-2"];
    }

    void grant(const RequestId& id, std::vector<GrantPart> parts)
    {
        const auto now = this->clock.now();
        if (this->isOwnerAlive)
            this->owner.noteGrant(id, parts, now + 2s, now);
        this->successor.noteGrant(id, parts, now + 2s, now);
        Holding holding;
        holding.id = id;
        holding.parts = std::move(parts);
        this->held[originOf(id)->owner][id] = holding;
    }

    void allocate(const RequestId& id, const std::string& engine, std::uint64_t tokens)
    {
        this->engines[engine].allocations[id] = tokens;
        this->engines[engine].startedAt[id] = this->clock.now();
    }

    void kill(const InstanceId& gateway)
    {
        this->deadGateways.insert(gateway);
    }

    // Advances time, delivering announcements, delayed load reports and membership contact, and executing cancels.
    void run(Duration time)
    {
        for (Duration passed {}; passed < time; passed += Step) {
            this->clock.advance(Step);
            if ((this->steps++ % (AnnouncementPeriod / Step)) == 0)
                this->exchangeMessages();
            if (this->isOwnerAlive)
                this->executeCancels(this->owner);
            this->executeCancels(this->successor);
        }
    }

    std::uint64_t heldTokens() const
    {
        std::uint64_t total = 0;
        for (const auto& [name, engine] : this->engines)
            total += engine.report(name, this->clock.now()).usedTokens;
        return total;
    }

    const InstanceId first { "instance-1", 5 };
    const InstanceId second { "instance-2", 7 };
    ManualClock clock;
    OrphanReclaimer owner;
    OrphanReclaimer successor;
    std::map<std::string, FakeEngine> engines;
    std::map<InstanceId, std::map<RequestId, Holding>> held;
    std::set<InstanceId> deadGateways;
    bool isOwnerAlive { true };
    bool isConnected { true };
    int lostCancelAnswers { 0 };
    std::vector<CancelAllocation> cancels;

private:
    void exchangeMessages()
    {
        this->reports.push_back({ this->clock.now(), {} });
        for (const auto& [name, engine] : this->engines)
            this->reports.back().second.push_back(engine.report(name, this->clock.now()));
        this->deliverMessages(this->owner);
        this->deliverMessages(this->successor);
        if (this->reports.front().first + ReportDelay <= this->clock.now())
            this->reports.erase(this->reports.begin());
    }

    void deliverMessages(OrphanReclaimer& reclaimer)
    {
        if (this->isConnected)
            reclaimer.noteConnected(this->clock.now());
        for (const auto& gateway : { this->first, this->second }) {
            if (this->deadGateways.contains(gateway) || !this->isConnected)
                continue;
            std::vector<Holding> holdings;
            std::ranges::copy(this->held[gateway] | std::views::values, std::back_inserter(holdings));
            reclaimer.noteHoldings(gateway, holdings, this->clock.now());
        }
        if (this->reports.front().first + ReportDelay > this->clock.now())
            return;
        for (const auto& report : this->reports.front().second)
            reclaimer.noteReport(report, this->clock.now());
    }

    void executeCancels(OrphanReclaimer& reclaimer)
    {
        for (const auto& cancel : reclaimer.decide(this->clock.now())) {
            this->cancels.push_back(cancel);
            this->engines[cancel.target].allocations.erase(cancel.id);
            if (this->lostCancelAnswers > 0)
                --this->lostCancelAnswers;
            else
                reclaimer.noteCancelled(cancel);
        }
    }

    std::vector<std::pair<TimePoint, std::vector<LoadReport>>> reports;
    int steps { 0 };
};

TEST_F(OrphanReclaimerTest, RequestIdIsParsedAndMalformedIdsAreRejected)
{
    const auto origin = originOf(makeRequestId({ "east-instance-1", 5 }, 42));
    ASSERT_TRUE(origin);
    EXPECT_EQ(origin->owner, (InstanceId { "east-instance-1", 5 }));
    EXPECT_EQ(origin->sequence, 42U);
    for (const auto* text : { "", "-", "a-b-c", "--1", "a-1", "a-1-", "a-99999999999999999999999-1" })
        EXPECT_FALSE(originOf({ text })) << text;
}

TEST_F(OrphanReclaimerTest, AllocationOfALiveGatewayIsNeverCancelled)
{
    const auto id = makeRequestId(this->first, 1);
    this->grant(id, { { "engine-1", 100 } });
    this->allocate(id, "engine-1", 100);
    this->run(60s);
    EXPECT_THAT(this->cancels, IsEmpty());
}

TEST_F(OrphanReclaimerTest, NewOwnerWithoutStateKeepsAllocationsOfALiveGateway)
{
    const auto id = makeRequestId(this->first, 1);
    this->grant(id, { { "engine-1", 100 } });
    this->allocate(id, "engine-1", 100);
    this->run(5s);
    this->owner = OrphanReclaimer {};
    this->successor = OrphanReclaimer {};
    this->run(60s);
    EXPECT_THAT(this->cancels, IsEmpty());
}

TEST_F(OrphanReclaimerTest, AllocationMissingFromItsGatewaysAnnouncementsIsCancelled)
{
    const auto id = makeRequestId(this->first, 1);
    this->allocate(id, "engine-1", 100);
    this->run(ReleaseBound);
    EXPECT_EQ(this->heldTokens(), 0U);
}

TEST_F(OrphanReclaimerTest, UnannouncedGrantIsNotCancelledBeforeItExpires)
{
    const auto id = makeRequestId(this->first, 1);
    this->owner.noteGrant(
        id, std::vector<GrantPart> { { "engine-1", 100 } }, this->clock.now() + 2s, this->clock.now());
    this->run(1900ms);
    EXPECT_THAT(this->cancels, IsEmpty());
}

TEST_F(OrphanReclaimerTest, AttemptIdIsParsedAndMalformedAttemptIsRejected)
{
    const auto origin = originOf(makeAttemptId(makeRequestId({ "instance.a-1", 5 }, 42), 3));
    ASSERT_TRUE(origin);
    EXPECT_EQ(origin->owner, (InstanceId { "instance.a-1", 5 }));
    EXPECT_EQ(origin->sequence, 42U);
    EXPECT_EQ(origin->attempt, 3U);
    EXPECT_FALSE(originOf({ "instance-1-5-42.x" }));
}

TEST_F(OrphanReclaimerTest, GatewayTimeoutRestartsAfterTheReclaimerLostContact)
{
    const auto id = makeRequestId(this->first, 1);
    this->grant(id, { { "engine-1", 100 } });
    this->allocate(id, "engine-1", 100);
    this->run(5s);
    this->isConnected = false;
    this->run(30s);
    this->isConnected = true;
    this->run(30s);
    EXPECT_THAT(this->cancels, IsEmpty());
}

TEST_F(OrphanReclaimerTest, StandbyThatTakesOverWaitsForAnnouncementsBeforeCancelling)
{
    const auto id = makeRequestId(this->first, 1);
    const std::vector<GrantPart> parts { { "engine-1", 100 } };
    OrphanReclaimer standby;
    standby.noteGrant(id, parts, this->clock.now() + 2s, this->clock.now());
    this->clock.advance(60s);
    standby.noteConnected(this->clock.now());
    EXPECT_THAT(standby.decide(this->clock.now()), IsEmpty());
    for (int i = 0; i < 12; ++i) {
        this->clock.advance(AnnouncementPeriod);
        standby.noteConnected(this->clock.now());
    }
    EXPECT_THAT(standby.decide(this->clock.now()), ElementsAre(CancelAllocation { "engine-1", id }));
}

TEST_F(OrphanReclaimerTest, StandbyDropsEntriesThatAreNoLongerAnnounced)
{
    const auto id = makeRequestId(this->first, 1);
    const std::vector<GrantPart> parts { { "engine-1", 100 } };
    OrphanReclaimer standby;
    standby.noteGrant(id, parts, this->clock.now() + 2s, this->clock.now());
    this->clock.advance(10s);
    standby.noteHoldings(this->first, {}, this->clock.now());
    standby.dropReleased(this->clock.now());
    EXPECT_EQ(standby.size(), 0U);
}

TEST_F(OrphanReclaimerTest, ReclaimerWithoutContactCancelsNothing)
{
    const auto id = makeRequestId({ "instance-9", 1 }, 1);
    FakeEngine engine;
    engine.allocations[id] = 100;
    engine.startedAt[id] = this->clock.now();
    for (int i = 0; i < 100; ++i) {
        this->clock.advance(AnnouncementPeriod);
        this->owner.noteReport(engine.report("engine-1", this->clock.now()), this->clock.now());
        EXPECT_THAT(this->owner.decide(this->clock.now()), IsEmpty());
    }
}

TEST_F(OrphanReclaimerTest, AllocationOfAnUnknownInstanceIsCancelled)
{
    this->allocate(makeRequestId({ "instance-9", 1 }, 1), "engine-1", 100);
    this->run(ReleaseBound);
    EXPECT_EQ(this->heldTokens(), 0U);
}

TEST_F(OrphanReclaimerTest, UnaccountedMemoryIsCountedAndCandidateIdsOfDeadGatewaysAreCancelled)
{
    this->engines["engine-1"].listsAllocations = false;
    const auto known = makeRequestId(this->first, 10);
    this->grant(known, { { "engine-2", 50 } });
    this->run(1s);
    this->kill(this->first);
    this->allocate(makeAttemptId(makeRequestId(this->first, 9), 1), "engine-1", 100);
    this->run(3s);
    EXPECT_EQ(this->successor.unaccountedTokens("engine-1"), 100U);
    this->run(ReleaseBound);
    EXPECT_EQ(this->heldTokens(), 0U);
    EXPECT_EQ(this->successor.unaccountedTokens("engine-1"), 0U);
}

// One row of the fault matrix: which processes fail, at which step of a request on a span of two engines, and whether
// the engines list their allocations. The tests guard against memory that stays allocated after the gateway of its
// request has failed, was replaced or has stopped announcing the request.
struct OrphanFault {
    const char* name;
    bool gatewayDies;
    bool ownerDies;
    bool isReplaced; // A new incarnation of the gateway announces itself at once.
    int reservedParts; // How many of the two parts were allocated before the failure.
    bool listsAllocations;
    int lostCancelAnswers;
};

class FaultsOrphanReclaimerTest : public OrphanReclaimerTest, public testing::WithParamInterface<OrphanFault> { };

TEST_P(FaultsOrphanReclaimerTest, OrphansAreReleasedWithinTheBoundAndOtherAllocationsAreKept)
{
    const auto& fault = this->GetParam();
    for (auto& [name, engine] : this->engines)
        engine.listsAllocations = fault.listsAllocations;
    const auto kept = makeRequestId(this->second, 1);
    this->grant(kept, { { "engine-1", 10 } });
    this->allocate(kept, "engine-1", 10);
    const auto span = makeRequestId(this->first, 1);
    this->grant(span, { { "engine-1", 300 }, { "engine-2", 200 } });
    if (fault.reservedParts > 0)
        this->allocate(span, "engine-2", 200);
    if (fault.reservedParts > 1)
        this->allocate(span, "engine-1", 300);
    this->lostCancelAnswers = fault.lostCancelAnswers;
    this->isOwnerAlive = !fault.ownerDies;
    if (fault.gatewayDies)
        this->kill(this->first);
    else
        this->held[this->first].erase(span);
    if (fault.isReplaced) {
        this->owner.noteHoldings({ "instance-1", 6 }, {}, this->clock.now());
        this->successor.noteHoldings({ "instance-1", 6 }, {}, this->clock.now());
    }
    this->run(ReleaseBound);
    EXPECT_EQ(this->heldTokens(), 10U) << "only the living gateway's 10 tokens may be held";
    EXPECT_TRUE(this->engines["engine-1"].allocations.contains(kept));
}

std::vector<OrphanFault> orphanFaults()
{
    std::vector<OrphanFault> faults;
    for (const auto parts : { 0, 1, 2 }) {
        for (const auto lists : { true, false }) {
            faults.push_back({ "GatewayDies", true, false, false, parts, lists, 0 });
            faults.push_back({ "OwnerDies", false, true, false, parts, lists, 0 });
            faults.push_back({ "GatewayAndOwnerDie", true, true, false, parts, lists, 0 });
            faults.push_back({ "GatewayIsReplaced", true, false, true, parts, lists, 0 });
            faults.push_back({ "GatewayDiesAndCancelAnswersAreLost", true, false, false, parts, lists, 3 });
            faults.push_back({ "GatewayStopsAnnouncing", false, false, false, parts, lists, 0 });
        }
    }
    return faults;
}

INSTANTIATE_TEST_SUITE_P(Spans, FaultsOrphanReclaimerTest, testing::ValuesIn(orphanFaults()), [](const auto& row) {
    return std::string { row.param.name } + "After" + std::to_string(row.param.reservedParts) + "Parts"
        + (row.param.listsAllocations ? "Listed" : "Unlisted");
});

// Random requests on engines with and without allocation lists; one gateway fails in the middle.
class FaultsOrphanReclaimerRandomTest : public OrphanReclaimerTest { };

TEST_F(FaultsOrphanReclaimerRandomTest, RandomRequestsAndFailuresLeaveNoOrphansAndCancelNoLiveRequest)
{
    const auto seed = seedFromEnvironment();
    SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed));
    std::mt19937_64 random { seed };
    this->engines["engine-2"].listsAllocations = false;
    for (std::uint64_t sequence = 1; sequence <= 200; ++sequence) {
        const auto& gateway = random() % 2 ? this->first : this->second;
        if (this->deadGateways.contains(gateway))
            continue;
        const auto id = makeRequestId(gateway, sequence);
        const std::string engine = random() % 2 ? "engine-1" : "engine-2";
        this->grant(id, { { engine, 10 } });
        if (random() % 4)
            this->allocate(id, engine, 10);
        this->run(Step * (random() % 5));
        if (random() % 3 == 0) {
            this->held[gateway].erase(id);
            this->engines[engine].allocations.erase(id);
            this->owner.noteFinished(id);
            this->successor.noteFinished(id);
        }
        if (sequence == 150)
            this->kill(this->first);
    }
    this->run(ReleaseBound);
    for (const auto& cancel : this->cancels)
        EXPECT_FALSE(this->held[this->second].contains(cancel.id))
            << "cancelled a request of a live gateway: " << cancel.id.value;
    for (const auto& [name, engine] : this->engines) {
        for (const auto& [id, tokens] : engine.allocations)
            EXPECT_EQ(originOf(id)->owner, this->second) << name << " still holds " << id.value;
    }
}

}
