#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "claims/ClaimCoordinator.h"
#include "claims/ClaimLoader.h"

namespace marigoldpaddle {

// An order service that counts what it runs, by key and by request.
struct FakeOrderService {
    std::map<std::string, int> runsByKey;
    std::map<std::string, int> runsByRequest;
    bool isDead { false };
    TimePoint frozenUntil {};
};

// An in-memory claim stream with injectable faults. Records are trimmed once they are older than `retention`.
struct FakeClaimLog {
    struct Record {
        TimePoint appendedAt {};
        std::string data;
    };

    std::uint64_t append(const std::string& data, TimePoint now)
    {
        this->records.push_back({ now, data });
        return this->records.size() - 1;
    }

    void trim(TimePoint now)
    {
        while (
            this->firstKept < this->records.size() && this->records[this->firstKept].appendedAt + this->retention < now)
            ++this->firstKept;
    }

    LogPage page(std::uint64_t from, std::size_t limit) const
    {
        LogPage page;
        page.firstKept = this->firstKept;
        page.next = this->records.size();
        for (auto offset = from; offset < page.next && page.records.size() < limit; ++offset)
            page.records.push_back({ offset, this->records[offset].data });
        return page;
    }

    std::vector<Record> records;
    std::uint64_t firstKept { 0 };
    Duration retention { std::chrono::seconds { 40 } };
    TimePoint downUntil {};
    Duration latency { std::chrono::milliseconds { 5 } };
    int answersToLose { 0 }; // Appends that take effect without an answer.
    int appendsToLose { 0 }; // Not appended and not answered.
    int appendsToDuplicate { 0 }; // Appended a second time 5 s later.
};

// The steps of an order at which a fault can be injected.
enum class OrderStep {
    BeforeClaim,
    ClaimAppended, // The claim is in the log; the append has not been answered yet.
    ClaimedNotSent,
    HalfSent,
    Sent,
    AnsweredNotRecorded,
};

// Simulates gateways, owners of idempotency keys, an order service and the log in one thread under a manual clock. The
// gateways follow the rules that the gateways of the product must follow for claims, settlements and deadlines.
class ClaimsHarness : public HolderLiveness {
public:
    struct Call {
        std::string request;
        std::string key;
        std::string body;
        std::string gateway;
        std::size_t owner { 0 };
        TimePoint deadline {};
        bool hasSent { false };
        int endCount { 0 };
        TimePoint endedAt {};
        std::string result; // One of: ran, repeated, in_progress, mismatch, no (refused), unknown.
        std::string answer;
    };

    struct Owner {
        std::unique_ptr<ClaimCoordinator> coordinator;
        bool isDead { false };
        TimePoint frozenUntil {};
        std::uint64_t incarnation { 0 };
        std::optional<PlatformResult<std::uint64_t>> appendAnswer;
    };

    explicit ClaimsHarness(Duration maximumWindow = std::chrono::hours { 24 })
    {
        this->options.maximumWindow = maximumWindow;
        this->options.tickPeriod = std::chrono::seconds { 1 };
        this->options.checkpointPeriod = std::chrono::seconds { 12 };
        for (std::size_t number = 0; number < this->owners.size(); ++number)
            this->restartOwner(number);
    }

    bool isDeadOrReplaced(const InstanceId& holder) const override
    {
        return !this->isUp(holder.name);
    }

    // Restarts an owner with empty state, which it loads from the log.
    void restartOwner(std::size_t number)
    {
        auto& owner = this->owners[number];
        owner = Owner {};
        owner.incarnation = ++this->lastIncarnation;
        this->options.firstCheckpointId = firstCheckpointIdOf({ "owner", owner.incarnation });
        owner.coordinator = std::make_unique<ClaimCoordinator>(this->options, *this);
        owner.coordinator->setRank(number, this->owners.size());
        this->load(owner);
    }

    Call& call(const std::string& key, const std::string& body, const std::string& gateway, std::size_t owner,
        Duration allowed = std::chrono::seconds { 10 })
    {
        auto& call = *this->calls.emplace_back(std::make_unique<Call>());
        call.request = gateway + "-" + std::to_string(this->calls.size());
        call.key = key;
        call.body = body;
        call.gateway = gateway;
        call.owner = owner;
        call.deadline = this->clock.now() + allowed;
        this->after({}, gateway, [this, &call] { this->submit(call); });
        return call;
    }

    void run(Duration duration)
    {
        const auto until = this->clock.now() + duration;
        while (this->clock.now() < until)
            this->step();
    }

    void after(Duration delay, const std::string& gateway, std::function<void()> perform)
    {
        this->actions.push_back({ this->clock.now() + delay, gateway, std::move(perform) });
    }

    // Checks the invariants that hold under all faults: an order runs at most once, and every call of a gateway that
    // did not die ends exactly once, in time, with a result that matches the executions.
    void check() const
    {
        for (const auto& [key, runs] : this->service.runsByKey)
            EXPECT_LE(runs, 1) << "order " << key << " ran " << runs << " times";
        for (const auto& call : this->calls) {
            if (this->deadGateways.contains(call->gateway))
                continue;
            const auto resumedAt
                = this->frozenGateways.contains(call->gateway) ? this->frozenGateways.at(call->gateway) : TimePoint {};
            EXPECT_EQ(call->endCount, 1) << call->request << " ended " << call->endCount << " times";
            EXPECT_LE(call->endedAt, std::max(call->deadline, resumedAt) + Step)
                << call->request << " ended after its deadline";
            this->checkResult(*call);
        }
    }

    static constexpr Duration Step = std::chrono::milliseconds { 5 };
    static constexpr Duration AppendTimeout = std::chrono::seconds { 2 };

    ManualClock clock;
    FakeClaimLog log;
    FakeOrderService service;
    ClaimCoordinatorOptions options;
    std::array<Owner, 2> owners;
    std::vector<std::unique_ptr<Call>> calls;
    std::function<void(OrderStep, Call&)> onStep = [](OrderStep, Call&) {
    };
    std::set<std::string> deadGateways;
    std::map<std::string, TimePoint> frozenGateways;
    std::chrono::milliseconds window { std::chrono::hours { 1 } };

private:
    struct Action {
        TimePoint due {};
        std::string gateway; // The gateway that performs the action; empty for the log and the order service.
        std::function<void()> perform;
    };

    struct PendingSettlement {
        ClaimSettlementItem item;
        std::string gateway;
        std::size_t owner { 0 };
        TimePoint sendAt {};
    };

    static std::string answerTo(const Call& call)
    {
        return "booked " + call.key;
    }

    void checkResult(const Call& call) const
    {
        const auto found = this->service.runsByRequest.find(call.request);
        const auto runs = found == this->service.runsByRequest.end() ? 0 : found->second;
        if (call.result != "unknown") {
            EXPECT_EQ(runs, call.result == "ran" ? 1 : 0) << call.request << " ended with result " << call.result;
        }
        if (call.result == "ran" || call.result == "repeated") {
            EXPECT_EQ(call.answer, answerTo(call)) << call.request;
            EXPECT_TRUE(this->service.runsByKey.contains(call.key)) << call.request;
        }
    }

    bool isUp(const std::string& gateway) const
    {
        const auto frozen = this->frozenGateways.find(gateway);
        return !this->deadGateways.contains(gateway)
            && (frozen == this->frozenGateways.end() || frozen->second <= this->clock.now());
    }

    bool isUp(const Owner& owner) const
    {
        return !owner.isDead && owner.frozenUntil <= this->clock.now();
    }

    // Returns the owner to which a gateway sends: the preferred one, or the other if that one is dead.
    Owner& ownerFor(std::size_t preferred)
    {
        auto& owner = this->owners[preferred % this->owners.size()];
        return owner.isDead ? this->owners[(preferred + 1) % this->owners.size()] : owner;
    }

    static ClaimReference referenceOf(const Call& call)
    {
        return { claimDigest({ "tejut", "orders", call.key }), claimDigest({ call.request }) };
    }

    void step()
    {
        this->clock.advance(Step);
        this->log.trim(this->clock.now());
        this->expireDeadlines();
        std::vector<Action> due;
        std::erase_if(this->actions, [&](Action& action) {
            const auto isDue
                = action.due <= this->clock.now() && (action.gateway.empty() || this->isUp(action.gateway));
            if (isDue)
                due.push_back(std::move(action));
            return isDue;
        });
        for (const auto& action : due)
            action.perform();
        for (auto& owner : this->owners) {
            if (this->isUp(owner))
                this->stepOwner(owner);
        }
        this->stepSettlements();
    }

    void stepOwner(Owner& owner)
    {
        const auto now = this->clock.now();
        auto& coordinator = *owner.coordinator;
        if (owner.appendAnswer) {
            const auto answer = *std::exchange(owner.appendAnswer, std::nullopt);
            if (answer)
                coordinator.appended(answer.value());
            else
                this->deliver(coordinator.appendFailed(answer.error(), now));
        }
        if (this->log.downUntil > now)
            this->deliver(coordinator.readFailed(now));
        else if (coordinator.ledger().nextOffset() < this->log.firstKept || coordinator.isReloadDue())
            this->load(owner);
        else
            this->deliver(coordinator.read(this->log.page(coordinator.ledger().nextOffset(), 100), now));
        this->deliver(coordinator.tick(now));
        if (auto record = coordinator.nextAppend(now))
            this->appendFrom(owner, std::move(*record));
    }

    void load(Owner& owner)
    {
        const auto first = this->log.firstKept;
        ClaimLoader loader { first, this->log.records.size() };
        if (first > 0)
            loader.scan(this->log.page(first, SIZE_MAX));
        owner.coordinator->load(loader.makeLedger(this->clock.now()), this->clock.now());
    }

    void appendFrom(Owner& owner, std::string record)
    {
        const auto answer = [this, &owner, incarnation = owner.incarnation](PlatformResult<std::uint64_t> result) {
            if (owner.incarnation == incarnation)
                owner.appendAnswer = result;
        };
        if (this->log.downUntil > this->clock.now()) {
            this->after(Step, "", [answer] { answer(PlatformError::Rejected); });
            return;
        }
        const auto isLost = this->log.latency > AppendTimeout || this->log.answersToLose-- > 0;
        const auto isDuplicated = this->log.appendsToDuplicate-- > 0;
        if (this->log.appendsToLose-- > 0) {
            this->after(AppendTimeout, "", [answer] { answer(PlatformError::NoAnswer); });
            return;
        }
        this->after(this->log.latency, "", [this, record, answer, isLost] {
            const auto offset = this->log.append(record, this->clock.now());
            this->reportAppendedClaims(record);
            if (!isLost)
                this->after(Step, "", [answer, offset] { answer(offset); });
        });
        if (isLost)
            this->after(AppendTimeout, "", [answer] { answer(PlatformError::NoAnswer); });
        if (isDuplicated)
            this->after(
                std::chrono::seconds { 5 }, "", [this, record] { this->log.append(record, this->clock.now()); });
    }

    void reportAppendedClaims(const std::string& record)
    {
        const auto batch = decodeBatch(record);
        for (const auto& claim : batch.value().claims) {
            for (const auto& call : this->calls) {
                if (referenceOf(*call).request == claim.request)
                    this->onStep(OrderStep::ClaimAppended, *call);
            }
        }
    }

    void deliver(const ClaimReplies& replies)
    {
        for (const auto& reply : replies.claims) {
            auto* call = this->waiting.at(reply.ticket);
            this->after(
                Step, call->gateway, [this, call, answer = reply.answer] { this->handleAnswer(*call, answer); });
        }
        for (const auto ticket : replies.settlements)
            this->pendingSettlements.erase(ticket);
    }

    void submit(Call& call)
    {
        this->onStep(OrderStep::BeforeClaim, call);
        if (!this->isUp(call.gateway) || call.endCount > 0)
            return;
        auto& owner = this->ownerFor(call.owner);
        if (!this->isUp(owner)) {
            this->after(owner.frozenUntil - this->clock.now(), "", [this, &call] { this->passToOwner(call); });
            return;
        }
        this->passToOwner(call);
    }

    // Passes the claim of a call to its owner.
    void passToOwner(Call& call)
    {
        Claim claim;
        claim.key = referenceOf(call).key;
        claim.request = referenceOf(call).request;
        claim.body = claimDigest({ call.body });
        claim.holder = { call.gateway, 1 };
        claim.window = this->window;
        claim.allowedTime = std::chrono::seconds { 10 };
        this->waiting[++this->lastTicket] = &call;
        auto& coordinator = *this->ownerFor(call.owner).coordinator;
        this->deliver(coordinator.submit(this->lastTicket, claim, call.deadline, this->clock.now()));
    }

    void handleAnswer(Call& call, const wire::ClaimAnswer& answer)
    {
        if (answer.verdict == wire::ClaimVerdict::Won) {
            this->onStep(OrderStep::ClaimedNotSent, call);
            this->after({}, call.gateway, [this, &call] { this->send(call); });
            return;
        }
        if (call.endCount > 0)
            return;
        if (answer.verdict == wire::ClaimVerdict::Repeated)
            this->end(call, "repeated", answer.outcome.body);
        else if (answer.verdict == wire::ClaimVerdict::InProgress)
            this->end(call, "in_progress");
        else if (answer.verdict == wire::ClaimVerdict::Mismatch)
            this->end(call, "mismatch");
        else if (answer.verdict == wire::ClaimVerdict::Unknown)
            this->end(call, "unknown");
        else
            this->end(call, "no");
        if (answer.mayLand)
            this->settle(call, ClaimSettlementItem::Kind::NotSent);
    }

    void send(Call& call)
    {
        if (call.endCount > 0) {
            this->settle(call, ClaimSettlementItem::Kind::NotSent);
            return;
        }
        call.hasSent = true;
        this->onStep(OrderStep::HalfSent, call);
        this->after(Step, call.gateway, [this, &call] {
            if (this->service.isDead) {
                this->fail(call);
                return;
            }
            this->after(Step, "", [this, &call] { this->execute(call); });
            this->onStep(OrderStep::Sent, call);
        });
    }

    void execute(Call& call)
    {
        if (this->service.isDead) {
            this->after({}, call.gateway, [this, &call] { this->fail(call); });
            return;
        }
        if (this->service.frozenUntil > this->clock.now()) {
            this->after(this->service.frozenUntil - this->clock.now(), "", [this, &call] { this->execute(call); });
            return;
        }
        ++this->service.runsByKey[call.key];
        ++this->service.runsByRequest[call.request];
        this->after(Step, call.gateway, [this, &call] {
            if (call.endCount == 0)
                this->end(call, "ran", answerTo(call));
            this->onStep(OrderStep::AnsweredNotRecorded, call);
            this->after({}, call.gateway, [this, &call] { this->settle(call, ClaimSettlementItem::Kind::Outcome); });
        });
    }

    void fail(Call& call)
    {
        if (call.endCount > 0)
            return;
        this->end(call, "unknown");
        this->settle(call, ClaimSettlementItem::Kind::Unknown);
    }

    void end(Call& call, std::string result, std::string answer = {})
    {
        ++call.endCount;
        call.endedAt = this->clock.now();
        call.result = std::move(result);
        call.answer = std::move(answer);
    }

    void expireDeadlines()
    {
        for (const auto& call : this->calls) {
            if (call->endCount > 0 || call->deadline > this->clock.now() || !this->isUp(call->gateway))
                continue;
            if (call->hasSent) {
                this->fail(*call);
                continue;
            }
            this->end(*call, "no");
            this->settle(*call, ClaimSettlementItem::Kind::NotSent);
        }
    }

    void settle(const Call& call, ClaimSettlementItem::Kind kind)
    {
        ClaimSettlementItem item;
        item.claim = referenceOf(call);
        item.kind = kind;
        if (kind == ClaimSettlementItem::Kind::Outcome)
            item.outcome = { 201, "text/plain", answerTo(call), 0 };
        this->pendingSettlements[++this->lastTicket] = { item, call.gateway, call.owner, this->clock.now() };
    }

    // A gateway repeats a settlement every 500 ms until an owner confirms that it is recorded in the log.
    void stepSettlements()
    {
        const auto settlements = this->pendingSettlements;
        for (const auto& [ticket, settlement] : settlements) {
            auto& owner = this->ownerFor(settlement.owner);
            if (!this->isUp(settlement.gateway) || !this->isUp(owner) || settlement.sendAt > this->clock.now())
                continue;
            this->pendingSettlements[ticket].sendAt = this->clock.now() + std::chrono::milliseconds { 500 };
            ClaimReplies replies;
            owner.coordinator->settle(ticket, settlement.item, replies, this->clock.now());
            this->deliver(replies);
        }
        std::erase_if(this->pendingSettlements,
            [&](const auto& settlement) { return this->deadGateways.contains(settlement.second.gateway); });
    }

    std::vector<Action> actions;
    std::map<ClaimTicket, Call*> waiting;
    std::map<ClaimTicket, PendingSettlement> pendingSettlements;
    ClaimTicket lastTicket { 0 };
    std::uint64_t lastIncarnation { 0 };
};

}
