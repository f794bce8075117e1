// Measures claims of idempotency keys: throughput and latency in simulated time with a log that is limited to 300
// appends per second, memory per key, and the processor time of applying the records of the claim stream.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "claims/ClaimCoordinator.h"

namespace marigoldpaddle {

namespace {

using std::chrono::milliseconds;

constexpr Duration StepTime = milliseconds { 1 };
constexpr Duration AllowedTime = std::chrono::seconds { 10 };
constexpr std::size_t OwnerCount = 8;
constexpr std::size_t PageRecords = 500;

class AllHoldersAlive final : public HolderLiveness {
public:
    bool isDeadOrReplaced(const InstanceId&) const override
    {
        return false;
    }
};

Claim makeClaim(std::uint64_t number)
{
    const auto text = std::to_string(number);
    Claim claim;
    claim.key = claimDigest({ "tejut", "orders", text });
    claim.body = claimDigest({ text });
    claim.request = claimDigest({ "request", text });
    claim.holder = { "instance-" + std::to_string(number % OwnerCount), 1 };
    claim.window = std::chrono::hours { 24 };
    claim.allowedTime = std::chrono::duration_cast<milliseconds>(AllowedTime);
    return claim;
}

// Serves appends in order at a fixed rate; none is answered before a round trip has passed.
class LimitedLog {
public:
    void append(std::size_t owner, std::string data, TimePoint now)
    {
        this->servedAt = std::max(this->servedAt + this->interval, now + this->roundTrip);
        this->waiting.push_back({ this->servedAt, owner, std::move(data) });
    }

    // Stores the appends that are due and calls `answer` with owner and offset of each.
    template <typename Answer> void step(TimePoint now, Answer answer)
    {
        while (!this->waiting.empty() && this->waiting.front().due <= now) {
            this->bytes += this->waiting.front().data.size();
            this->records.push_back(std::move(this->waiting.front().data));
            const auto owner = this->waiting.front().owner;
            this->waiting.pop_front();
            answer(owner, this->records.size() - 1);
        }
    }

    LogPage page(std::uint64_t from) const
    {
        LogPage page;
        page.next = this->records.size();
        for (auto offset = from; offset < page.next && page.records.size() < PageRecords; ++offset)
            page.records.push_back({ offset, this->records[offset] });
        return page;
    }

    std::vector<std::string> records;
    std::size_t bytes { 0 };

private:
    struct Append {
        TimePoint due {};
        std::size_t owner { 0 };
        std::string data;
    };

    Duration interval { std::chrono::microseconds { 3333 } };
    Duration roundTrip { milliseconds { 5 } };
    std::deque<Append> waiting;
    TimePoint servedAt {};
};

// Eight owners that receive calls with idempotency keys at a given rate. A won claim is settled 50 ms later.
class KeyedCallSimulation {
public:
    explicit KeyedCallSimulation(double callsPerSecond)
        : callsPerStep(callsPerSecond * std::chrono::duration<double> { StepTime }.count())
    {
        for (std::size_t number = 0; number < OwnerCount; ++number) {
            ClaimCoordinatorOptions options;
            options.firstCheckpointId = firstCheckpointIdOf({ "owner", number });
            this->owners.push_back(std::make_unique<ClaimCoordinator>(options, this->liveness));
            this->owners.back()->load(ClaimLedger {}, this->clock.now());
            this->owners.back()->setRank(number, OwnerCount);
        }
    }

    void run(Duration duration)
    {
        const auto until = this->clock.now() + duration;
        while (this->clock.now() < until)
            this->step();
    }

    double quantile(double share)
    {
        if (this->latencies.empty())
            return 0;
        const auto position = static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1));
        std::ranges::nth_element(this->latencies, this->latencies.begin() + static_cast<std::ptrdiff_t>(position));
        return std::chrono::duration<double, std::milli> { this->latencies[position] }.count();
    }

    LimitedLog log;
    std::uint64_t won { 0 };
    std::uint64_t refused { 0 };

private:
    struct Pending {
        ClaimReference claim;
        TimePoint submittedAt {};
    };

    void step()
    {
        this->clock.advance(StepTime);
        const auto now = this->clock.now();
        this->due += this->callsPerStep;
        for (; this->due >= 1; this->due -= 1)
            this->submit(now);
        this->log.step(now, [&](std::size_t owner, std::uint64_t offset) { this->owners[owner]->appended(offset); });
        for (std::size_t number = 0; number < OwnerCount; ++number) {
            auto& owner = *this->owners[number];
            if (owner.ledger().nextOffset() < this->log.records.size())
                this->deliver(owner.read(this->log.page(owner.ledger().nextOffset()), now), now);
            this->deliver(owner.tick(now), now);
            if (auto record = owner.nextAppend(now))
                this->log.append(number, std::move(*record), now);
        }
        this->settle(now);
    }

    void submit(TimePoint now)
    {
        const auto claim = makeClaim(++this->lastCall);
        this->pending[this->lastCall] = { { claim.key, claim.request }, now };
        auto& owner = *this->owners[this->lastCall % OwnerCount];
        this->deliver(owner.submit(this->lastCall, claim, now + AllowedTime, now), now);
    }

    void deliver(const ClaimReplies& replies, TimePoint now)
    {
        for (const auto& reply : replies.claims) {
            const auto call = this->pending.extract(reply.ticket);
            if (reply.answer.verdict != wire::ClaimVerdict::Won) {
                ++this->refused;
                continue;
            }
            ++this->won;
            this->latencies.push_back(now - call.mapped().submittedAt);
            this->settlements.push_back({ now + milliseconds { 50 }, reply.ticket, call.mapped().claim });
        }
    }

    void settle(TimePoint now)
    {
        ClaimReplies replies;
        while (!this->settlements.empty() && this->settlements.front().due <= now) {
            const auto& [due, ticket, claim] = this->settlements.front();
            ClaimSettlementItem item { claim, ClaimSettlementItem::Kind::Outcome,
                { 201, "application/json", R"({"order":123456,"state":"booked"})", 0 } };
            this->owners[ticket % OwnerCount]->settle(ticket, item, replies, now);
            this->settlements.pop_front();
        }
    }

    struct Settlement {
        TimePoint due {};
        ClaimTicket ticket { 0 };
        ClaimReference claim;
    };

    ManualClock clock;
    AllHoldersAlive liveness;
    std::vector<std::unique_ptr<ClaimCoordinator>> owners;
    std::map<ClaimTicket, Pending> pending;
    std::deque<Settlement> settlements;
    std::vector<Duration> latencies;
    double callsPerStep;
    double due { 0 };
    ClaimTicket lastCall { 0 };
};

void keyedCallsAgainst300AppendsASecond(benchmark::State& state)
{
    constexpr std::chrono::seconds MeasuredTime { 10 };
    for (auto iteration : state) {
        KeyedCallSimulation calls { static_cast<double>(state.range(0)) };
        calls.run(MeasuredTime);
        state.counters["won_per_s"] = static_cast<double>(calls.won) / MeasuredTime.count();
        state.counters["refused"] = static_cast<double>(calls.refused);
        state.counters["appends_per_s"] = static_cast<double>(calls.log.records.size()) / MeasuredTime.count();
        state.counters["log_KB_per_s"] = static_cast<double>(calls.log.bytes) / MeasuredTime.count() / 1024;
        state.counters["claim_p50_ms"] = calls.quantile(0.5);
        state.counters["claim_p99_ms"] = calls.quantile(0.99);
    }
}
BENCHMARK(keyedCallsAgainst300AppendsASecond)
    ->Arg(250)
    ->Arg(1'000)
    ->Arg(5'000)
    ->Arg(20'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Returns records of 100 claims each.
std::vector<std::string> claimRecords(std::uint64_t claims)
{
    constexpr std::uint64_t ClaimsPerRecord = 100;
    std::vector<std::string> records;
    for (std::uint64_t number = 0; number < claims;) {
        ClaimBatch batch;
        batch.readUpTo = records.size();
        for (std::uint64_t added = 0; added < ClaimsPerRecord; ++added)
            batch.claims.push_back(makeClaim(++number));
        records.push_back(encodeBatch(batch));
    }
    return records;
}

void foldRecordOf100Claims(benchmark::State& state)
{
    const auto records = claimRecords(100'000);
    auto ledger = std::make_unique<ClaimLedger>();
    std::size_t next = 0;
    for (auto iteration : state) {
        if (next == records.size()) {
            state.PauseTiming();
            ledger = std::make_unique<ClaimLedger>();
            next = 0;
            state.ResumeTiming();
        }
        ledger->apply(next, records[next], TimePoint {});
        ++next;
    }
    state.counters["ns_per_claim"] = benchmark::Counter(
        static_cast<double>(state.iterations()) * 100 / 1e9, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(foldRecordOf100Claims);

std::size_t allocatedBytes()
{
    const auto heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

// Second argument 1: every claim is completed with an answer of 33 bytes.
void memoryPerKey(benchmark::State& state)
{
    const auto claims = static_cast<std::uint64_t>(state.range(0));
    for (auto iteration : state) {
        const auto before = allocatedBytes();
        ClaimLedger ledger;
        for (std::uint64_t number = 1; number <= claims; ++number) {
            const auto claim = makeClaim(number);
            ClaimBatch batch;
            batch.readUpTo = ledger.nextOffset();
            batch.claims.push_back(claim);
            if (state.range(1) == 1) {
                ledger.apply(ledger.nextOffset(), encodeBatch(batch), TimePoint {});
                batch.claims.clear();
                batch.outcomes.push_back({ { claim.key, claim.request },
                    CallOutcome { 201, "application/json", R"({"order":123456,"state":"booked"})", 0 } });
            }
            ledger.apply(ledger.nextOffset(), encodeBatch(batch), TimePoint {});
        }
        state.counters["bytes_per_key"]
            = static_cast<double>(allocatedBytes() - before) / static_cast<double>(ledger.size());
    }
}
BENCHMARK(memoryPerKey)
    ->ArgsProduct({ { 10'000, 100'000, 1'000'000 }, { 0, 1 } })
    ->ArgNames({ "keys", "with_outcome" })
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}

}

BENCHMARK_MAIN();
