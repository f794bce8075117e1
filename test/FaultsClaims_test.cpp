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

using FaultPoint = std::pair<OrderStep, OrderFault>;

std::string nameOf(const FaultPoint& point)
{
    return std::string { FaultNames.at(static_cast<std::size_t>(point.second)) } + "At"
        + StepNames.at(static_cast<std::size_t>(point.first));
}

std::uint64_t seed()
{
    const char* variable = std::getenv("MARIGOLD_SEED");
    return variable ? std::stoull(variable) : 1;
}

// One order with faults injected at its steps, and repeats of it during and after the faults.
class OrderUnderFaults {
public:
    void injectAt(const FaultPoint& point)
    {
        this->faultPoints.push_back(point);
        this->harness.onStep = [this](OrderStep step, ClaimsHarness::Call& call) {
            if (&call != this->harness.calls.front().get())
                return;
            for (const auto& faultPoint : std::exchange(this->faultPoints, {})) {
                if (faultPoint.first == step)
                    this->inject(faultPoint.second, call);
                else
                    this->faultPoints.push_back(faultPoint);
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
            harness.log.appendsToDuplicate = 3;
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

    // Runs the order and its repeats. The last repeat is sent after all faults have ended.
    void runScenario()
    {
        auto& first = this->harness.call("order", "body", "gateway-1", 0);
        this->harness.run(12s);
        this->harness.call("order", "body", "gateway-2", 1);
        this->harness.call("order", "other body", "gateway-2", 1);
        this->harness.run(50s);
        this->harness.onStep = [](OrderStep, ClaimsHarness::Call&) {
        };
        this->harness.log.latency = 5ms;
        this->harness.service.isDead = false;
        this->harness.run(60s);
        auto& last = this->harness.call("order", "body", "gateway-3", 0);
        this->harness.run(12s);
        this->harness.check();
        EXPECT_THAT(last.result, AnyOf("ran", "repeated", "unknown"));
        const auto mayHaveRunWithoutResult = [this](const auto& call) {
            return this->harness.deadGateways.contains(call->gateway) || (call->hasSent && call->result == "unknown");
        };
        if (std::ranges::none_of(this->harness.calls, mayHaveRunWithoutResult)) {
            EXPECT_THAT(last.result, AnyOf("ran", "repeated")) << "no call ended with an unknown outcome";
        }
        if (first.result == "ran") {
            EXPECT_THAT(
                last.result, AnyOf("repeated", this->harness.deadGateways.contains(first.gateway) ? "unknown" : ""));
        }
    }

private:
    static constexpr Duration Outage = 30s;

    ClaimsHarness harness;
    std::vector<FaultPoint> faultPoints;
};

class FaultsClaimsTest : public testing::TestWithParam<FaultPoint> { };

TEST_P(FaultsClaimsTest, OrderUnderOneFaultRunsAtMostOnceAndCallersGetItsActualResult)
{
    OrderUnderFaults order;
    order.injectAt(this->GetParam());
    order.runScenario();
}

std::vector<FaultPoint> allFaultPoints()
{
    std::vector<FaultPoint> faultPoints;
    for (std::size_t step = 0; step < StepNames.size(); ++step) {
        for (std::size_t fault = 0; fault < FaultNames.size(); ++fault)
            faultPoints.emplace_back(static_cast<OrderStep>(step), static_cast<OrderFault>(fault));
    }
    return faultPoints;
}

INSTANTIATE_TEST_SUITE_P(EveryFaultAtEveryStep, FaultsClaimsTest, testing::ValuesIn(allFaultPoints()),
    [](const auto& parameter) { return nameOf(parameter.param); });

// Pairs of faults, drawn at random with MARIGOLD_SEED. Each test runs one share of the pairs.
class FaultsClaimsPairsTest : public testing::TestWithParam<int> {
protected:
    static constexpr int Pairs = 200;
    static constexpr int Shares = 8;
};

TEST_P(FaultsClaimsPairsTest, OrderUnderTwoFaultsRunsAtMostOnceAndCallersGetItsActualResult)
{
    std::mt19937_64 random { seed() };
    const auto faultPoints = allFaultPoints();
    for (int pair = 0; pair < Pairs; ++pair) {
        const auto& first = faultPoints[random() % faultPoints.size()];
        const auto& second = faultPoints[random() % faultPoints.size()];
        if (pair % Shares != this->GetParam())
            continue;
        SCOPED_TRACE("MARIGOLD_SEED=" + std::to_string(seed()) + " pair " + std::to_string(pair) + ": " + nameOf(first)
            + " and " + nameOf(second));
        OrderUnderFaults order;
        order.injectAt(first);
        order.injectAt(second);
        order.runScenario();
    }
}

INSTANTIATE_TEST_SUITE_P(BySeed, FaultsClaimsPairsTest, testing::Range(0, 8));

// Found by FaultsClaimsPairsTest with MARIGOLD_SEED=6, pair 114: a repeat is answered with unknown while the
// append of its own claim is in flight. If that claim is appended later, it must be released, or the key stays blocked.
TEST(FaultsClaimsRegressionTest, RepeatWhoseClaimLandsAfterItsAnswerReleasesTheKey)
{
    OrderUnderFaults order;
    order.injectAt({ OrderStep::ClaimAppended, OrderFault::GatewayFreezes });
    order.injectAt({ OrderStep::BeforeClaim, OrderFault::LogSlow });
    order.runScenario();
}

// Scenarios that the fault matrix does not cover.
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

TEST_F(FaultsClaimsOutageTest, CallsDuringTenMinuteLogOutageAreRefusedAtOnceAndNoOutcomeIsLost)
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
        EXPECT_LE(fresh.endedAt - asked, 1s) << "a refusal must not wait for the log";
    }
    this->harness.run(10s);
    for (int minute = 0; minute < 10; ++minute)
        this->harness.call("during-" + std::to_string(minute), "body", "gateway-3", 0);
    this->harness.run(12s);
    this->harness.check();
    EXPECT_EQ(this->resultsOf(firstDuring)["ran"], 10);
}

TEST_F(FaultsClaimsOutageTest, KeyIsRemovedAfterItsWindowAndNotBefore)
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
    EXPECT_EQ(this->harness.owners[0].coordinator->ledger().size(), 0u) << "keys whose window is over must be removed";
}

// An append is lost without an answer. The coordinator detects the loss once it has read the log to its end, and then
// appends the claim again.
TEST_F(FaultsClaimsOutageTest, LostAppendIsRepeatedWithinTheAllowedTime)
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

// The holder wins the key and is paused beyond its allowed time before it sends the call. A repeat meanwhile gets
// unknown; after the pause, the holder must release its claim instead of sending the call.
TEST_F(FaultsClaimsOutageTest, HolderPausedBetweenClaimAndSendDoesNotSendAfterARepeat)
{
    this->harness.onStep = [this](OrderStep step, ClaimsHarness::Call& call) {
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
    EXPECT_EQ(last.result, "ran") << "the holder did not release its claim after the pause";
    this->harness.check();
}

// All owners restart after the log was trimmed without a checkpoint, so no owner can tell whether a key was used.
TEST_F(FaultsClaimsOutageTest, KeysWithTrimmedClaimsAreRefusedUntilTheLongestWindowIsOver)
{
    ClaimsHarness lost { 10min };
    lost.call("order", "body", "gateway-1", 0);
    lost.run(10s);
    lost.log.firstKept = lost.log.records.size();
    lost.restartOwner(0);
    lost.restartOwner(1);
    const auto& soon = lost.call("order", "body", "gateway-2", 0);
    lost.run(10min);
    EXPECT_EQ(soon.result, "no") << "the key may have been used before";
    EXPECT_EQ(lost.service.runsByKey["order"], 1);
    lost.run(30s);
    const auto& later = lost.call("order", "body", "gateway-2", 0);
    const auto& other = lost.call("other", "body", "gateway-3", 1);
    lost.run(10s);
    EXPECT_EQ(later.result, "ran");
    EXPECT_EQ(other.result, "ran");
}

}
