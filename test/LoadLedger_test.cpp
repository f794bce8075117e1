#include "serving/LoadLedger.h"

#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class LoadLedgerTest : public testing::Test {
protected:
    TargetWork longWork(double prefillMs) const
    {
        return { prefillMs, 210'000, true, true, 800ms, 15 };
    }

    TimePoint now { 1h };
    LoadLedger ledger;
};

TEST_F(LoadLedgerTest, UnknownTargetHasNoLoad)
{
    EXPECT_EQ(this->ledger.total("t", this->now), TargetLoad {});
}

TEST_F(LoadLedgerTest, WorkCountsFromItsBeginToItsEnd)
{
    const auto handle = this->ledger.begin("t", this->longWork(400), this->now);
    const auto load = this->ledger.total("t", this->now);
    EXPECT_EQ(load.running, 1U);
    EXPECT_EQ(load.longPrefills, 1U);
    EXPECT_EQ(load.memoryTokens, 210'000);
    EXPECT_EQ(load.tightestGap, Duration { 800ms });
    EXPECT_NEAR(load.backlogMs, 400, 0.1);
    this->ledger.end(handle);
    EXPECT_EQ(this->ledger.total("t", this->now), TargetLoad {});
}

TEST_F(LoadLedgerTest, BacklogShrinksWithTimeAndKeepsAShareWhileThePrefillIsOverdue)
{
    this->ledger.begin("t", this->longWork(400), this->now);
    EXPECT_NEAR(this->ledger.total("t", this->now + 100ms).backlogMs, 300, 0.1);
    EXPECT_NEAR(this->ledger.total("t", this->now + 10s).backlogMs, 100, 0.1);
}

TEST_F(LoadLedgerTest, PrefilledPromptKeepsItsSlotAndMemoryOnly)
{
    const auto handle = this->ledger.begin("t", this->longWork(400), this->now);
    this->ledger.markPrefilled(handle);
    const auto load = this->ledger.total("t", this->now);
    EXPECT_EQ(load.backlogMs, 0);
    EXPECT_EQ(load.longPrefills, 0U);
    EXPECT_EQ(load.answers, 1U);
    EXPECT_EQ(load.memoryTokens, 210'000);
}

TEST_F(LoadLedgerTest, PeerLoadIsAddedUntilItExpires)
{
    TargetLoad peerLoad;
    peerLoad.running = 3;
    peerLoad.backlogMs = 250;
    this->ledger.updatePeer("peer", { { LoadLedger::hashOf("t"), peerLoad } }, this->now, 1500ms);
    this->ledger.begin("t", this->longWork(100), this->now);
    EXPECT_EQ(this->ledger.total("t", this->now).running, 4U);
    EXPECT_EQ(this->ledger.total("t", this->now + 1500ms).running, 1U);
}

TEST_F(LoadLedgerTest, NewerNoticeReplacesThePeerLoad)
{
    TargetLoad peerLoad;
    peerLoad.running = 3;
    this->ledger.updatePeer("peer", { { LoadLedger::hashOf("t"), peerLoad } }, this->now, 1500ms);
    this->ledger.updatePeer("peer", {}, this->now + 10ms, 1500ms);
    EXPECT_EQ(this->ledger.total("t", this->now + 10ms).running, 0U);
}

TEST_F(LoadLedgerTest, PeerLoadIsNotReportedAsLocal)
{
    TargetLoad peerLoad;
    peerLoad.running = 3;
    this->ledger.updatePeer("peer", { { LoadLedger::hashOf("t"), peerLoad } }, this->now, 1500ms);
    EXPECT_TRUE(this->ledger.localLoads(this->now).empty());
}

TEST_F(LoadLedgerTest, EntryEndsTheWorkAtTheEndOfItsScope)
{
    {
        const LedgerEntry entry { this->ledger, "t", this->longWork(100), this->now };
        EXPECT_EQ(this->ledger.total("t", this->now).running, 1U);
    }
    EXPECT_EQ(this->ledger.total("t", this->now).running, 0U);
}

TEST_F(LoadLedgerTest, PartialReportChangesOnlyTheLoadsInIt)
{
    TargetLoad one;
    one.running = 1;
    const auto first = LoadLedger::hashOf("a");
    const auto second = LoadLedger::hashOf("b");
    this->ledger.updatePeer("peer", { { first, one }, { second, one } }, this->now, 1s);
    TargetLoad two;
    two.running = 2;
    this->ledger.updatePeer("peer", { { second, two } }, this->now, 1s, LoadLedger::ReportScope::Partial);
    EXPECT_EQ(this->ledger.total("a", this->now).running, 1U);
    EXPECT_EQ(this->ledger.total("b", this->now).running, 2U);
    this->ledger.updatePeer("peer", { { second, one } }, this->now, 1s);
    EXPECT_EQ(this->ledger.total("a", this->now).running, 0U);
}

TEST_F(LoadLedgerTest, TargetsThatGotWorkAreTakenOnce)
{
    this->ledger.begin("a", {}, this->now);
    const auto changed = this->ledger.takeChangedLoads(this->now);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed.begin()->first, LoadLedger::hashOf("a"));
    EXPECT_EQ(changed.begin()->second.running, 1U);
    EXPECT_TRUE(this->ledger.takeChangedLoads(this->now).empty());
}

}
}
