#include <random>

#include <gmock/gmock.h>

#include "ClaimsHarness.h"

using namespace marigoldpaddle;
using namespace std::chrono_literals;
using testing::AnyOf;

namespace {

enum class OrderFault {
    LogDown,
    LogSlow,
    AppendAnswerLost,
    AppendLost,
    AppendDoubled,
    LogTrimmed,
    GatewayDies,
    GatewayFreezes,
    OwnerDies,
    OwnerFreezes,
    ServiceDies,
    ServiceFreezes,
    TwoOwners,
};

constexpr std::array StepNames { "BeforeClaim", "ClaimAppended", "ClaimedNotSent", "HalfSent", "Sent",
    "AnsweredNotRecorded" };
constexpr std::array FaultNames { "LogDown", "LogSlow", "AppendAnswerLost", "AppendLost", "AppendDoubled", "LogTrimmed",
    "GatewayDies", "GatewayFreezes", "OwnerDies", "OwnerFreezes", "ServiceDies", "ServiceFreezes", "TwoOwners" };

using Row = std::pair<OrderStep, OrderFault>;

std::string nameOf(const Row& row)
{
    return std::string { FaultNames.at(static_cast<std::size_t>(row.second)) } + "At"
        + StepNames.at(static_cast<std::size_t>(row.first));
}

std::uint64_t seed()
{
    const char* variable = std::getenv("MARIGOLD_SEED");
    return variable ? std::stoull(variable) : 1;
}

// One order, faults that strike at steps of it, and repeats of it while the faults last and after they are over.
class OrderUnderFaults {
public:
    void strikeAt(const Row& row)
    {
        this->rows.push_back(row);
        this->harness.atStep = [this](OrderStep step, ClaimsHarness::Call& call) {
            if (&call != this->harness.calls.front().get())
                return;
            for (const auto& planned : std::exchange(this->rows, {})) {
                if (planned.first == step)
                    this->inject(planned.second, call);
                else
                    this->rows.push_back(planned);
            }
        };
    }

    void inject(OrderFault fault, ClaimsHarness::Call& call)
    {
        auto& harness = this->harness;
        const auto until = harness.clock.now() + Outage;
        switch (fault) {
        case OrderFault::LogDown:
            harness.log.downUntil = until;
            break;
        case OrderFault::LogSlow:
            harness.log.latency = 15s;
            break;
        case OrderFault::AppendAnswerLost:
            harness.log.answersToLose = 3;
            break;
        case OrderFault::AppendLost:
            harness.log.appendsToLose = 2;
            break;
        case OrderFault::AppendDoubled:
            harness.log.appendsToDouble = 3;
            break;
        case OrderFault::LogTrimmed:
            harness.owners[0].frozenUntil = harness.clock.now() + harness.log.retention + Outage / 2;
            break;
        case OrderFault::GatewayDies:
            harness.deadGateways.insert(call.gateway);
            break;
        case OrderFault::GatewayFreezes:
            harness.frozenGateways[call.gateway] = until;
            break;
        case OrderFault::OwnerDies:
            harness.owners[0].isDead = true;
            harness.after(Outage, "", [&harness] { harness.restartOwner(0); });
            break;
        case OrderFault::OwnerFreezes:
            harness.owners[0].frozenUntil = until;
            break;
        case OrderFault::ServiceDies:
            harness.service.isDead = true;
            break;
        case OrderFault::ServiceFreezes:
            harness.service.frozenUntil = until;
            break;
        case OrderFault::TwoOwners:
            harness.call(call.key, call.body, "gateway-4", 1);
            break;
        }
    }

    // Runs the order and its repeats. The last repeat comes when every fault is over.
    void play()
    {
        auto& first = this->harness.call("order", "body", "gateway-1", 0);
        this->harness.run(12s);
        this->harness.call("order", "body", "gateway-2", 1);
        this->harness.call("order", "other body", "gateway-2", 1);
        this->harness.run(50s);
        this->harness.atStep = [](OrderStep, ClaimsHarness::Call&) {
        };
        this->harness.log.latency = 5ms;
        this->harness.service.isDead = false;
        this->harness.run(60s);
        auto& last = this->harness.call("order", "body", "gateway-3", 0);
        this->harness.run(12s);
        this->harness.check();
        EXPECT_THAT(last.result, AnyOf("ran", "repeated", "unknown"));
        const auto mayHaveRunUntold = [this](const auto& call) {
            return this->harness.deadGateways.contains(call->gateway) || (call->hasSent && call->result == "unknown");
        };
        if (std::ranges::none_of(this->harness.calls, mayHaveRunUntold)) {
            EXPECT_THAT(last.result, AnyOf("ran", "repeated")) << "no outcome is unknown";
        }
        if (first.result == "ran") {
            EXPECT_THAT(
                last.result, AnyOf("repeated", this->harness.deadGateways.contains(first.gateway) ? "unknown" : ""));
        }
    }

private:
    static constexpr Duration Outage = 30s;

    ClaimsHarness harness;
    std::vector<Row> rows;
};

class FaultsClaimsTest : public testing::TestWithParam<Row> { };

TEST_P(FaultsClaimsTest, OrderRunsAtMostOnceAndItsCallersAreToldTheTruth)
{
    OrderUnderFaults order;
    order.strikeAt(this->GetParam());
    order.play();
}

std::vector<Row> allRows()
{
    std::vector<Row> rows;
    for (std::size_t step = 0; step < StepNames.size(); ++step) {
        for (std::size_t fault = 0; fault < FaultNames.size(); ++fault)
            rows.emplace_back(static_cast<OrderStep>(step), static_cast<OrderFault>(fault));
    }
    return rows;
}

INSTANTIATE_TEST_SUITE_P(EveryFaultAtEveryStep, FaultsClaimsTest, testing::ValuesIn(allRows()),
    [](const auto& parameter) { return nameOf(parameter.param); });

// Pairs of faults, drawn by MARIGOLD_SEED. Each test runs its share of them.
class FaultsClaimsPairsTest : public testing::TestWithParam<int> {
protected:
    static constexpr int Pairs = 200;
    static constexpr int Shares = 8;
};

TEST_P(FaultsClaimsPairsTest, OrderRunsAtMostOnceUnderTwoFaults)
{
    std::mt19937_64 random { seed() };
    const auto rows = allRows();
    for (int pair = 0; pair < Pairs; ++pair) {
        const auto& first = rows[random() % rows.size()];
        const auto& second = rows[random() % rows.size()];
        if (pair % Shares != this->GetParam())
            continue;
        SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed()) + " pair " + std::to_string(pair) + ": " + nameOf(first)
            + " and " + nameOf(second));
        OrderUnderFaults order;
        order.strikeAt(first);
        order.strikeAt(second);
        order.play();
    }
}

INSTANTIATE_TEST_SUITE_P(BySeed, FaultsClaimsPairsTest, testing::Range(0, 8));

// Once seed 6, pair 114: a repeat that is told unknown while its own claim is on its way must give the key back.
TEST(FaultsClaimsFoundTest, RepeatWhoseClaimLandsAfterItsAnswerReleasesTheKey)
{
    OrderUnderFaults order;
    order.strikeAt({ OrderStep::ClaimAppended, OrderFault::GatewayFreezes });
    order.strikeAt({ OrderStep::BeforeClaim, OrderFault::LogSlow });
    order.play();
}

// Situations beyond the matrix.
class FaultsClaimsOutageTest : public testing::Test {
protected:
    std::map<std::string, int> resultsOf(std::size_t firstCall) const
    {
        std::map<std::string, int> results;
        for (auto number = firstCall; number < this->harness.calls.size(); ++number)
            ++results[this->harness.calls[number]->result];
        return results;
    }

    ClaimsHarness harness;
};

TEST_F(FaultsClaimsOutageTest, ThousandRepeatsOverEightGatewaysRunOnceAndShareOneOutcome)
{
    for (int repeat = 0; repeat < 1000; ++repeat)
        this->harness.call("order", "body", "gateway-" + std::to_string(repeat % 8), repeat % 2);
    this->harness.run(12s);
    this->harness.check();
    EXPECT_THAT(this->resultsOf(0), testing::ElementsAre(testing::Pair("ran", 1), testing::Pair("repeated", 999)));
}

TEST_F(FaultsClaimsOutageTest, TenMinutesWithoutTheLogRefuseAtOnceAndLoseNothing)
{
    this->harness.log.retention = 30min;
    this->harness.call("before", "body", "gateway-1", 0);
    this->harness.run(5s);
    this->harness.log.downUntil = this->harness.clock.now() + 10min;
    const auto firstDuring = this->harness.calls.size();
    for (int minute = 0; minute < 10; ++minute) {
        const auto& repeat = this->harness.call("before", "body", "gateway-2", 0);
        const auto& fresh = this->harness.call("during-" + std::to_string(minute), "body", "gateway-2", 1);
        const auto asked = this->harness.clock.now();
        this->harness.run(1min);
        EXPECT_EQ(repeat.result, "repeated");
        EXPECT_EQ(fresh.result, "no");
        EXPECT_LE(fresh.endedAt - asked, 1s) << "a refusal must not wait";
    }
    this->harness.run(10s);
    for (int minute = 0; minute < 10; ++minute)
        this->harness.call("during-" + std::to_string(minute), "body", "gateway-3", 0);
    this->harness.run(12s);
    this->harness.check();
    EXPECT_EQ(this->resultsOf(firstDuring)["ran"], 10);
}

TEST_F(FaultsClaimsOutageTest, KeyIsForgottenAfterItsWindowAndNotBefore)
{
    this->harness.window = 10min;
    this->harness.call("order", "body", "gateway-1", 0);
    this->harness.run(9min + 58s);
    const auto& within = this->harness.call("order", "body", "gateway-2", 1);
    this->harness.run(10s);
    EXPECT_EQ(within.result, "repeated");
    EXPECT_EQ(this->harness.service.runsByKey["order"], 1);
    this->harness.run(20s);
    const auto& after = this->harness.call("order", "another body", "gateway-2", 1);
    this->harness.run(10s);
    EXPECT_EQ(after.result, "ran");
    this->harness.run(11min);
    EXPECT_EQ(this->harness.owners[0].coordinator->ledger().size(), 0u) << "keys whose window is over are dropped";
}

TEST_F(FaultsClaimsOutageTest, AppendThatNeverLandedIsMadeAgainWithinTheAllowedTime)
{
    this->harness.log.appendsToLose = 1;
    const auto& order = this->harness.call("order", "body", "gateway-1", 0);
    this->harness.run(12s);
    this->harness.check();
    EXPECT_EQ(order.result, "ran");
}

TEST_F(FaultsClaimsOutageTest, KeyReusedWithAnotherBodyIsRefused)
{
    this->harness.call("order", "body", "gateway-1", 0);
    const auto& other = this->harness.call("order", "other body", "gateway-2", 1);
    this->harness.run(12s);
    this->harness.check();
    EXPECT_EQ(other.result, "mismatch");
}

TEST_F(FaultsClaimsOutageTest, HolderThatWasPausedBetweenItsClaimAndTheSendDoesNotSendAfterARepeat)
{
    this->harness.atStep = [this](OrderStep step, ClaimsHarness::Call& call) {
        if (step == OrderStep::ClaimedNotSent && call.gateway == "gateway-1")
            this->harness.frozenGateways[call.gateway] = this->harness.clock.now() + 1min;
    };
    const auto& paused = this->harness.call("order", "body", "gateway-1", 0);
    this->harness.run(5s);
    const auto& repeat = this->harness.call("order", "body", "gateway-2", 0);
    this->harness.run(10s);
    EXPECT_EQ(repeat.result, "unknown");
    this->harness.run(1min);
    EXPECT_EQ(paused.result, "no");
    const auto& last = this->harness.call("order", "body", "gateway-2", 0);
    this->harness.run(10s);
    EXPECT_EQ(last.result, "ran") << "the holder released its claim when it woke";
    this->harness.check();
}

TEST_F(FaultsClaimsOutageTest, ClaimsThatWereTrimmedUnreadAreRefusedUntilTheLongestWindowIsOver)
{
    ClaimsHarness lost { 10min };
    lost.call("order", "body", "gateway-1", 0);
    lost.run(10s);
    lost.log.firstKept = lost.log.records.size();
    lost.restartOwner(0);
    lost.restartOwner(1);
    const auto& soon = lost.call("order", "body", "gateway-2", 0);
    lost.run(10min);
    EXPECT_EQ(soon.result, "no") << "the key may have been used";
    EXPECT_EQ(lost.service.runsByKey["order"], 1);
    lost.run(30s);
    const auto& later = lost.call("order", "body", "gateway-2", 0);
    const auto& other = lost.call("other", "body", "gateway-3", 1);
    lost.run(10s);
    EXPECT_EQ(later.result, "ran");
    EXPECT_EQ(other.result, "ran");
}

}
