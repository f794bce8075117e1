#include <marigoldpaddle/ClaimLedger.h>

#include <random>

#include <gmock/gmock.h>

#include "claims/ClaimLoader.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;

namespace {

constexpr auto Window = std::chrono::milliseconds { 1h };

class ClaimLedgerTest : public testing::Test {
protected:
    static ClaimDigest digest(std::string_view text)
    {
        return claimDigest({ text });
    }

    static Claim claim(std::string_view key, std::string_view request, std::string_view body = "body")
    {
        return { digest(key), digest(body), digest(request), { "gateway-1", 1 }, Window, 10s };
    }

    ClaimBatch batch() const
    {
        ClaimBatch batch;
        batch.readUpTo = this->ledger.nextOffset();
        return batch;
    }

    ClaimBatch claimBatch(std::string_view key, std::string_view request) const
    {
        auto batch = this->batch();
        batch.claims.push_back(claim(key, request));
        return batch;
    }

    void append(const ClaimBatch& batch)
    {
        this->records.push_back(encodeBatch(batch));
        this->ledger.apply(this->records.size() - 1, this->records.back(), this->clock.now());
    }

    void appendTick()
    {
        auto batch = this->batch();
        batch.tick = this->ledger.makeTick(this->clock.now());
        this->append(batch);
    }

    bool isHeldBy(std::string_view key, std::string_view request) const
    {
        const auto* entry = this->ledger.find(digest(key));
        return entry && entry->request == digest(request);
    }

    bool isWindowExpired(std::string_view key) const
    {
        return this->ledger.isWindowExpired(*this->ledger.find(digest(key)), this->clock.now());
    }

    // Returns the ledger of a reader that starts after all records before `firstKept` were trimmed.
    ClaimLedger reload(std::uint64_t firstKept) const
    {
        LogPage page;
        for (auto offset = firstKept; offset < this->records.size(); ++offset)
            page.records.push_back({ offset, this->records[offset] });
        ClaimLoader loader { firstKept, this->records.size() };
        loader.scan(page);
        auto reloaded = loader.makeLedger(this->clock.now());
        for (const auto& record : page.records)
            reloaded.apply(record.offset, record.data, this->clock.now());
        return reloaded;
    }

    void appendCheckpoints()
    {
        for (std::uint32_t shard = 0; shard < ClaimLedger::Shards; ++shard) {
            for (auto& part : this->ledger.checkpoint(shard, 512, ++this->checkpoints, this->clock.now())) {
                auto batch = this->batch();
                batch.checkpoint = std::move(part);
                this->append(batch);
            }
        }
    }

    ManualClock clock;
    ClaimLedger ledger;
    std::vector<std::string> records;
    std::uint64_t checkpoints { 0 };
};

TEST_F(ClaimLedgerTest, FirstClaimInLogOrderHoldsTheKey)
{
    this->append(this->claimBatch("order", "first"));
    this->append(this->claimBatch("order", "second"));
    EXPECT_TRUE(this->isHeldBy("order", "first"));
}

TEST_F(ClaimLedgerTest, ClaimAppendedTwiceCountsOnce)
{
    const auto twice = this->claimBatch("order", "first");
    this->append(twice);
    this->append(twice);
    EXPECT_TRUE(this->isHeldBy("order", "first"));
    EXPECT_EQ(this->ledger.size(), 1u);
}

TEST_F(ClaimLedgerTest, OutcomeOfAnotherRequestIsIgnored)
{
    this->append(this->claimBatch("order", "first"));
    auto batch = this->batch();
    batch.outcomes.push_back({ { digest("order"), digest("second") }, CallOutcome { 201, "text/plain", "no", 0 } });
    this->append(batch);
    EXPECT_EQ(this->ledger.find(digest("order"))->state, ClaimState::Claimed);
}

TEST_F(ClaimLedgerTest, ReleasedKeyIsHeldByTheNextClaim)
{
    this->append(this->claimBatch("order", "first"));
    auto batch = this->batch();
    batch.releases.push_back({ digest("order"), digest("first") });
    this->append(batch);
    EXPECT_EQ(this->ledger.find(digest("order")), nullptr);
    this->append(this->claimBatch("order", "second"));
    EXPECT_TRUE(this->isHeldBy("order", "second"));
}

// An append can take effect after its caller has given up and released the claim. That append must not block the key.
TEST_F(ClaimLedgerTest, ClaimThatLandsAfterItsReleaseIsVoid)
{
    const auto late = this->claimBatch("order", "first");
    auto batch = this->batch();
    batch.releases.push_back({ digest("order"), digest("first") });
    this->append(batch);
    this->append(late);
    EXPECT_EQ(this->ledger.find(digest("order")), nullptr);
}

// Releases are kept for MaximumClaimLag offsets only. A claim appended later than that could block its key although its
// request has already released the key.
TEST_F(ClaimLedgerTest, ClaimAppendedBeyondTheMaximumLagIsVoid)
{
    const auto late = encodeBatch(this->claimBatch("order", "first"));
    this->ledger.apply(ClaimLedger::MaximumClaimLag + 1, late, this->clock.now());
    EXPECT_EQ(this->ledger.find(digest("order")), nullptr);
}

TEST_F(ClaimLedgerTest, LargeOutcomeBodyIsOmittedAndItsSizeKept)
{
    const std::string body(MaximumOutcomeBodyBytes + 1, 'x');
    const auto outcome = boundedOutcome({ 200, "text/plain", body, 0 });
    EXPECT_EQ(outcome.omittedBodyBytes, body.size());
    EXPECT_TRUE(outcome.body.empty());
}

TEST_F(ClaimLedgerTest, WindowIsNotOverBeforeItsTimeHasPassed)
{
    this->appendTick();
    this->append(this->claimBatch("order", "first"));
    for (int minute = 0; minute < 60; ++minute) {
        this->clock.advance(1min);
        this->appendTick();
        ASSERT_FALSE(this->isWindowExpired("order")) << "after " << minute + 1 << " minutes of 60";
    }
    this->clock.advance(2min);
    EXPECT_TRUE(this->isWindowExpired("order"));
}

TEST_F(ClaimLedgerTest, TimeBeforeTheClaimDoesNotCountTowardsItsWindow)
{
    this->appendTick();
    this->clock.advance(50min);
    this->append(this->claimBatch("order", "first"));
    this->appendTick();
    this->clock.advance(59min);
    EXPECT_FALSE(this->isWindowExpired("order"));
}

// A writer that was paused appends a tick whose interval overlaps with that of a tick that is already in the log.
TEST_F(ClaimLedgerTest, TickOfAPausedWriterDoesNotCountTimeTwice)
{
    this->appendTick();
    auto paused = this->batch();
    paused.tick = ClaimTick { 0, 59min };
    this->clock.advance(1min);
    this->append(this->claimBatch("order", "first"));
    this->appendTick();
    this->append(paused);
    this->clock.advance(2min);
    this->appendTick();
    EXPECT_LE(this->ledger.age(*this->ledger.find(digest("order")), this->clock.now()), 2min);
}

TEST_F(ClaimLedgerTest, ExpiryEndsOnlyTheClaimThatItNames)
{
    this->append(this->claimBatch("order", "first"));
    auto batch = this->batch();
    batch.expiries.push_back({ digest("order"), digest("first") });
    batch.claims.push_back(claim("order", "second"));
    this->append(batch);
    batch.claims.clear();
    this->append(batch);
    EXPECT_TRUE(this->isHeldBy("order", "second"));
}

TEST_F(ClaimLedgerTest, TrimmedStreamIsLoadedFromItsCheckpoints)
{
    for (int number = 0; number < 500; ++number)
        this->append(this->claimBatch("order-" + std::to_string(number), "request-" + std::to_string(number)));
    const auto claimsEnd = this->records.size();
    this->appendCheckpoints();
    const auto reloaded = this->reload(claimsEnd);
    EXPECT_TRUE(reloaded.isComplete());
    EXPECT_EQ(reloaded.size(), 500u);
    EXPECT_EQ(reloaded.find(digest("order-7"))->request, digest("request-7"));
}

// The record of the claim that holds the key is trimmed; the record of a later claim that lost is still in the log. A
// reader of that log must learn the holder from the checkpoint, or it would take the losing claim for the holder.
TEST_F(ClaimLedgerTest, KeyHeldByATrimmedClaimIsStillHeldForALaterReader)
{
    this->append(this->claimBatch("order", "first"));
    const auto trimmedTo = this->records.size();
    this->append(this->claimBatch("order", "second"));
    this->appendCheckpoints();
    const auto reloaded = this->reload(trimmedTo);
    ASSERT_NE(reloaded.find(digest("order")), nullptr);
    EXPECT_EQ(reloaded.find(digest("order"))->request, digest("first"));
}

TEST_F(ClaimLedgerTest, ShardWithoutCheckpointIsIncompleteAfterTrimming)
{
    this->append(this->claimBatch("order", "first"));
    this->append(this->claimBatch("other", "second"));
    EXPECT_FALSE(this->reload(1).isComplete(digest("order")));
}

TEST_F(ClaimLedgerTest, CheckpointCarriesTheAgeOfItsClaims)
{
    this->appendTick();
    this->append(this->claimBatch("order", "first"));
    this->appendTick();
    this->clock.advance(40min);
    this->appendTick();
    const auto trimmedTo = this->records.size();
    this->appendCheckpoints();
    const auto reloaded = this->reload(trimmedTo);
    EXPECT_EQ(reloaded.age(*reloaded.find(digest("order")), this->clock.now()), 40min);
}

TEST_F(ClaimLedgerTest, CorruptedRecordsChangeOnlyTheOffset)
{
    const char* variable = std::getenv("MARIGOLD_SEED");
    const auto seed = variable ? std::stoull(variable) : 1;
    SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed));
    std::mt19937_64 random { seed };
    const auto whole = encodeBatch(this->claimBatch("order", "first"));
    for (std::uint64_t offset = 0; offset < 20'000; ++offset) {
        auto record = whole;
        const auto position = random() % record.size();
        switch (random() % 3) {
        case 0:
            record.resize(position);
            break;
        case 1:
            record[position] = static_cast<char>(record[position] ^ (1 + random() % 255));
            break;
        default:
            record.insert(position, std::string(random() % 64, static_cast<char>(random())));
        }
        if (record != whole)
            this->ledger.apply(offset, record, this->clock.now());
    }
    EXPECT_EQ(this->ledger.size(), 0u);
    EXPECT_EQ(this->ledger.nextOffset(), 20'000u);
}

}
