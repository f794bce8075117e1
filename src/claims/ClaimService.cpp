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
constexpr Duration ReadLongPollTimeout = std::chrono::seconds { 1 };
constexpr Duration ReadRetryDelay = milliseconds { 100 };
constexpr Duration SettlementTimeout = std::chrono::seconds { 5 };
constexpr std::uint32_t ReadFailuresUntilUnavailable = 2;

// An offset above all records: a read there returns only the bounds of the log.
constexpr std::uint64_t OffsetBeyondEnd = std::uint64_t { 1 } << 62U;

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

wire::ClaimAnswer makeUnavailableAnswer()
{
    wire::ClaimAnswer answer;
    answer.verdict = wire::ClaimVerdict::Unavailable;
    answer.retryAfterMs = milliseconds { std::chrono::seconds { 1 } }.count();
    answer.mayLand = false;
    return answer;
}

}

// The window is at least twice the allowed time: after a pause, a holder must not still be within its allowed time when
// the window of its key is over.
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
    : answerTimer(executor, TimePoint::max())
{
}

ClaimService::ClaimService(asio::any_io_executor executor, const Clock& clock, PlatformLog& log,
    const HolderLiveness& liveness, const ClaimCoordinatorOptions& options, MetricsRegistry& metrics)
    : executor(std::move(executor))
    , clock(clock)
    , log(log)
    , coordinator(options, liveness)
    , metrics(metrics)
    , wakeTimer(this->executor)
{
}

ClaimService::~ClaimService() = default;

void ClaimService::start()
{
    asio::co_spawn(this->executor, [this]() -> asio::awaitable<void> { co_await this->runReadLoop(); }, asio::detached);
    asio::co_spawn(
        this->executor, [this]() -> asio::awaitable<void> { co_await this->runAppendLoop(); }, asio::detached);
}

void ClaimService::setRank(std::size_t rank, std::size_t instances)
{
    this->coordinator.setRank(rank, instances);
}

asio::awaitable<wire::ClaimAnswer> ClaimService::claim(wire::ClaimRequest request)
{
    const auto arrived = this->clock.now();
    if (!this->isLoaded || this->coordinator.ledger().nextOffset() < this->endAtLoad) {
        const auto refusal = makeUnavailableAnswer();
        this->countAnswer(refusal, {});
        co_return refusal;
    }
    const auto claim = claimFrom(request);
    const auto ticket = ++this->lastTicket;
    const auto waiter = this->addWaiter(ticket);
    this->deliver(this->coordinator.submit(ticket, claim, arrived + claim.allowedTime, arrived));
    this->wakeTimer.cancel();
    boost::system::error_code ignored;
    while (!waiter->answer)
        co_await waiter->answerTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
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
    this->wakeTimer.cancel();
    if (isQueued && !waiter->isSettled) {
        waiter->answerTimer.expires_after(SettlementTimeout);
        boost::system::error_code ignored;
        co_await waiter->answerTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
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
        found->second->answerTimer.cancel();
        this->waiters.erase(found);
    }
    for (const auto ticket : replies.settlements) {
        const auto found = this->waiters.find(ticket);
        if (found == this->waiters.end())
            continue;
        found->second->isSettled = true;
        found->second->answerTimer.cancel();
        this->waiters.erase(found);
    }
}

void ClaimService::countAnswer(const wire::ClaimAnswer& answer, Duration latency)
{
    const auto label = "verdict=\"" + std::string { name(answer.verdict) } + "\"";
    this->metrics.counter("marigold_claims_total", label).increment();
    this->metrics.histogram("marigold_claim_seconds", label).record(latency);
}

asio::awaitable<void> ClaimService::runReadLoop()
{
    while (true) {
        if (!this->isLoaded) {
            this->isLoaded = co_await this->load();
            if (!this->isLoaded)
                co_await this->sleepFor(ReadRetryDelay);
            continue;
        }
        auto page = co_await this->log.read(this->coordinator.ledger().nextOffset(), PageRecords, ReadLongPollTimeout);
        if (!page) {
            this->handleReadFailure(page.error());
            co_await this->sleepFor(ReadRetryDelay);
            continue;
        }
        this->readFailures = 0;
        this->deliver(this->coordinator.read(page.value(), this->clock.now()));
        this->isLoaded = !this->coordinator.isReloadDue();
        this->metrics.gauge("marigold_claim_keys").set(static_cast<double>(this->coordinator.ledger().size()));
        this->wakeTimer.cancel();
    }
}

void ClaimService::handleReadFailure(PlatformError error)
{
    const auto label = "reason=\"" + std::string { marigoldpaddle::name(error) } + "\"";
    this->metrics.counter("marigold_claim_read_failures_total", label).increment();
    if (error == PlatformError::Trimmed) {
        LOG(WARNING) << "records of the claim stream were trimmed before they were read; reloading from checkpoints";
        this->isLoaded = false;
    }
    if (++this->readFailures == ReadFailuresUntilUnavailable)
        LOG(WARNING) << "reading the claim stream failed: " << marigoldpaddle::name(error);
    if (this->readFailures >= ReadFailuresUntilUnavailable || !this->isLoaded)
        this->deliver(this->coordinator.readFailed(this->clock.now()));
}

// Loads the ledger from the beginning of the stream, or from checkpoints if the beginning was trimmed.
asio::awaitable<bool> ClaimService::load()
{
    auto bounds = co_await this->log.read(OffsetBeyondEnd, 1, Duration::zero());
    if (!bounds)
        co_return false;
    ClaimLoader loader { bounds.value().firstKept, bounds.value().next };
    while (bounds.value().firstKept > 0 && !loader.isDone()) {
        auto page = co_await this->log.read(loader.nextOffset(), PageRecords, Duration::zero());
        if (!page || page.value().records.empty())
            co_return false;
        loader.scan(page.value());
    }
    this->endAtLoad = bounds.value().next;
    this->coordinator.load(loader.makeLedger(this->clock.now()), this->clock.now());
    if (!this->coordinator.ledger().isComplete())
        LOG(WARNING)
            << "checkpoints are missing in the claim stream; some idempotency keys are refused until they are written";
    co_return true;
}

asio::awaitable<void> ClaimService::runAppendLoop()
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
        this->wakeTimer.expires_after(std::max<Duration>(this->coordinator.nextTick(now) - now, milliseconds { 1 }));
        co_await this->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
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
    this->wakeTimer.cancel();
}

asio::awaitable<void> ClaimService::sleepFor(Duration duration)
{
    asio::steady_timer timer { this->executor, duration };
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}
