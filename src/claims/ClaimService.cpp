#include "claims/ClaimService.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include "claims/ClaimConversions.h"
#include "claims/ClaimLoader.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t PageRecords = 500;
constexpr Duration ReadWait = std::chrono::seconds { 1 };
constexpr Duration ReadRetryPause = milliseconds { 100 };
constexpr Duration SettleWait = std::chrono::seconds { 5 };
constexpr std::uint32_t ReadFailuresToGiveUp = 2;
constexpr std::uint64_t BeyondTheEnd = std::uint64_t { 1 } << 62U; // Asks the log for its bounds only.

std::string_view name(wire::ClaimVerdict::type verdict)
{
    switch (verdict) {
    case wire::ClaimVerdict::Won:
        return "won";
    case wire::ClaimVerdict::Repeated:
        return "repeated";
    case wire::ClaimVerdict::InProgress:
        return "in_progress";
    case wire::ClaimVerdict::Mismatch:
        return "mismatch";
    case wire::ClaimVerdict::Unavailable:
        return "unavailable";
    case wire::ClaimVerdict::Unknown:
        return "unknown";
    }
    return "invalid";
}

ClaimDigest keyDigest(std::string_view workspace, std::string_view service, std::string_view key)
{
    return claimDigest({ workspace, service, key });
}

wire::ClaimAnswer unavailable()
{
    wire::ClaimAnswer answer;
    answer.verdict = wire::ClaimVerdict::Unavailable;
    answer.retryAfterMs = milliseconds { std::chrono::seconds { 1 } }.count();
    answer.mayLand = false;
    return answer;
}

}

// The window is never so short that a holder which was paused could still be within its allowed time afterwards.
Claim claimFrom(const wire::ClaimRequest& request)
{
    Claim claim;
    claim.key = keyDigest(request.workspace, request.serviceName, request.key);
    claim.body = claimDigest({ request.bodyDigest });
    claim.request = claimDigest({ request.requestId });
    claim.holder = { request.holder.name, static_cast<std::uint64_t>(request.holder.incarnation) };
    claim.allowedTime = milliseconds { std::max<std::int64_t>(request.remainingMs, 0) };
    claim.window = std::max(milliseconds { request.keyWindowMs }, 2 * claim.allowedTime);
    return claim;
}

ClaimSettlementItem settlementFrom(const wire::ClaimSettlement& settlement)
{
    ClaimSettlementItem item;
    item.claim = { keyDigest(settlement.workspace, settlement.serviceName, settlement.key),
        claimDigest({ settlement.requestId }) };
    if (settlement.notSent)
        item.kind = ClaimSettlementItem::Kind::NotSent;
    else if (settlement.__isset.outcome && !settlement.unknown)
        item.kind = ClaimSettlementItem::Kind::Outcome;
    if (item.kind == ClaimSettlementItem::Kind::Outcome)
        item.outcome = boundedOutcome(outcomeFromWire(settlement.outcome));
    return item;
}

ClaimService::Waiter::Waiter(const asio::any_io_executor& executor)
    : answered(executor, TimePoint::max())
{
}

ClaimService::ClaimService(asio::any_io_executor executor, const Clock& clock, PlatformLog& log,
    const HolderLiveness& liveness, const ClaimCoordinatorOptions& options, MetricsRegistry& metrics)
    : executor(std::move(executor))
    , clock(clock)
    , log(log)
    , coordinator(options, liveness)
    , metrics(metrics)
    , wake(this->executor)
{
}

ClaimService::~ClaimService() = default;

void ClaimService::start()
{
    asio::co_spawn(this->executor, [this]() -> asio::awaitable<void> { co_await this->follow(); }, asio::detached);
    asio::co_spawn(this->executor, [this]() -> asio::awaitable<void> { co_await this->pace(); }, asio::detached);
}

void ClaimService::setRank(std::size_t rank, std::size_t instances)
{
    this->coordinator.setRank(rank, instances);
}

asio::awaitable<wire::ClaimAnswer> ClaimService::claim(wire::ClaimRequest request)
{
    const auto arrived = this->clock.now();
    if (!this->isLoaded || this->coordinator.ledger().nextOffset() < this->loadedUpTo) {
        const auto refusal = unavailable();
        this->countAnswer(refusal, {});
        co_return refusal;
    }
    const auto claim = claimFrom(request);
    const auto ticket = ++this->lastTicket;
    const auto waiter = this->addWaiter(ticket);
    this->deliver(this->coordinator.submit(ticket, claim, arrived + claim.allowedTime, arrived));
    this->wake.cancel();
    boost::system::error_code ignored;
    while (!waiter->answer)
        co_await waiter->answered.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    this->countAnswer(*waiter->answer, this->clock.now() - arrived);
    co_return *waiter->answer;
}

asio::awaitable<wire::Acknowledgement> ClaimService::settle(wire::ClaimSettlement settlement)
{
    const auto item = settlementFrom(settlement);
    const auto ticket = ++this->lastTicket;
    const auto waiter = this->addWaiter(ticket);
    ClaimReplies replies;
    const auto isQueued = this->coordinator.settle(ticket, item, replies, this->clock.now());
    this->deliver(replies);
    this->wake.cancel();
    if (isQueued && !waiter->isSettled) {
        waiter->answered.expires_after(SettleWait);
        boost::system::error_code ignored;
        co_await waiter->answered.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->waiters.erase(ticket);
    wire::Acknowledgement acknowledgement;
    acknowledgement.accepted = waiter->isSettled;
    co_return acknowledgement;
}

std::shared_ptr<ClaimService::Waiter> ClaimService::addWaiter(ClaimTicket ticket)
{
    auto waiter = std::make_shared<Waiter>(this->executor);
    this->waiters.emplace(ticket, waiter);
    return waiter;
}

void ClaimService::deliver(const ClaimReplies& replies)
{
    for (const auto& reply : replies.claims) {
        const auto found = this->waiters.find(reply.ticket);
        if (found == this->waiters.end())
            continue;
        found->second->answer = reply.answer;
        found->second->answered.cancel();
        this->waiters.erase(found);
    }
    for (const auto ticket : replies.settlements) {
        const auto found = this->waiters.find(ticket);
        if (found == this->waiters.end())
            continue;
        found->second->isSettled = true;
        found->second->answered.cancel();
        this->waiters.erase(found);
    }
}

void ClaimService::countAnswer(const wire::ClaimAnswer& answer, Duration latency)
{
    const auto label = "verdict=\"" + std::string { name(answer.verdict) } + "\"";
    this->metrics.counter("marigold_claims_total", label).increment();
    this->metrics.histogram("marigold_claim_seconds", label).record(latency);
}

asio::awaitable<void> ClaimService::follow()
{
    while (true) {
        if (!this->isLoaded) {
            this->isLoaded = co_await this->load();
            if (!this->isLoaded)
                co_await this->pause(ReadRetryPause);
            continue;
        }
        auto page = co_await this->log.read(this->coordinator.ledger().nextOffset(), PageRecords, ReadWait);
        if (!page) {
            this->noteReadFailure(page.error());
            co_await this->pause(ReadRetryPause);
            continue;
        }
        this->readFailures = 0;
        this->deliver(this->coordinator.read(page.value(), this->clock.now()));
        this->isLoaded = !this->coordinator.isReloadDue();
        this->metrics.gauge("marigold_claim_keys").set(static_cast<double>(this->coordinator.ledger().size()));
        this->wake.cancel();
    }
}

void ClaimService::noteReadFailure(PlatformError error)
{
    const auto label = "reason=\"" + std::string { marigoldpaddle::name(error) } + "\"";
    this->metrics.counter("marigold_claim_read_failures_total", label).increment();
    if (error == PlatformError::Trimmed) {
        LOG(WARNING) << "the claim stream was trimmed past this reader; reading its checkpoints";
        this->isLoaded = false;
    }
    if (++this->readFailures == ReadFailuresToGiveUp)
        LOG(WARNING) << "the claim stream cannot be read: " << marigoldpaddle::name(error);
    if (this->readFailures >= ReadFailuresToGiveUp || !this->isLoaded)
        this->deliver(this->coordinator.readFailed(this->clock.now()));
}

// Makes the ledger from the beginning of the stream, or from checkpoints if the beginning is not kept.
asio::awaitable<bool> ClaimService::load()
{
    auto bounds = co_await this->log.read(BeyondTheEnd, 1, Duration::zero());
    if (!bounds)
        co_return false;
    ClaimLoader loader { bounds.value().firstKept, bounds.value().next };
    while (bounds.value().firstKept > 0 && !loader.isDone()) {
        auto page = co_await this->log.read(loader.nextOffset(), PageRecords, Duration::zero());
        if (!page || page.value().records.empty())
            co_return false;
        loader.scan(page.value());
    }
    this->loadedUpTo = bounds.value().next;
    this->coordinator.load(loader.makeLedger(this->clock.now()), this->clock.now());
    if (!this->coordinator.ledger().isComplete())
        LOG(WARNING) << "the claim stream lacks checkpoints; some idempotency keys are refused until they are written";
    co_return true;
}

asio::awaitable<void> ClaimService::pace()
{
    while (true) {
        const auto now = this->clock.now();
        this->deliver(this->coordinator.tick(now));
        auto record = this->isLoaded ? this->coordinator.nextAppend(now) : std::nullopt;
        if (record) {
            auto appending = [this, data = std::move(*record)]() mutable {
                return this->append(std::move(data));
            };
            asio::co_spawn(this->executor, std::move(appending), asio::detached);
        }
        boost::system::error_code ignored;
        this->wake.expires_after(std::max<Duration>(this->coordinator.nextTick(now) - now, milliseconds { 1 }));
        co_await this->wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ClaimService::append(std::string record)
{
    const auto started = this->clock.now();
    auto offset = co_await this->log.append(std::move(record));
    this->metrics.histogram("marigold_claim_append_seconds").record(this->clock.now() - started);
    if (offset) {
        this->coordinator.appended(offset.value());
    } else {
        const auto label = "reason=\"" + std::string { marigoldpaddle::name(offset.error()) } + "\"";
        this->metrics.counter("marigold_claim_append_failures_total", label).increment();
        this->deliver(this->coordinator.appendFailed(offset.error(), this->clock.now()));
    }
    this->wake.cancel();
}

asio::awaitable<void> ClaimService::pause(Duration duration)
{
    asio::steady_timer timer { this->executor, duration };
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}
