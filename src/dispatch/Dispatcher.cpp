#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include "membership/Ownership.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds LogWait { 5 };
constexpr std::chrono::milliseconds LogRetryPause { 200 };
constexpr std::chrono::milliseconds SuccessorTimeout { 100 };
constexpr std::chrono::seconds GrantNoticeLifetime { 5 };
constexpr std::chrono::seconds MaximumViewWait { 5 };
constexpr std::size_t LogPageRecords = 500;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

Member memberFrom(const InstanceDescription& instance)
{
    Member member;
    member.instance = { instance.name, instance.incarnation };
    member.availabilityZone = instance.availabilityZone;
    member.membershipAddress = instance.membershipAddress;
    member.dispatcherAddress = instance.dispatcherAddress;
    member.state = instance.isLeaving ? MemberState::Leaving : MemberState::Alive;
    return member;
}

PlacementRequest placementFrom(const wire::AcquireRequest& request, TimePoint now)
{
    PlacementRequest placement;
    placement.id = { request.requestId };
    placement.owner = fromWire(request.owner);
    placement.workspace = request.workspace;
    placement.workspaceWeight = request.workspaceWeight;
    placement.promptTokens = static_cast<std::uint64_t>(std::max<std::int64_t>(request.promptTokens, 0));
    placement.maximumOutputTokens = static_cast<std::uint64_t>(std::max<std::int64_t>(request.maximumOutputTokens, 0));
    placement.deadline = pointInTime(request.remainingMs, now);
    placement.prefixBlocks.assign(request.prefixBlocks.begin(), request.prefixBlocks.end());
    return placement;
}

Holding holdingFrom(const wire::HoldingRecord& record, const InstanceId& owner, TimePoint now)
{
    Holding holding;
    holding.id = { record.requestId };
    holding.owner = owner;
    holding.workspace = record.workspace;
    for (const auto& part : record.parts)
        holding.parts.push_back({ part.target, static_cast<std::uint64_t>(part.tokens) });
    holding.promptTokens = static_cast<std::uint64_t>(record.promptTokens);
    holding.outputTokens = static_cast<std::uint64_t>(record.outputTokens);
    holding.maximumOutputTokens = static_cast<std::uint64_t>(record.maximumOutputTokens);
    holding.isPrefilling = record.prefilling;
    holding.deadline = pointInTime(record.remainingMs, now);
    return holding;
}

// Waits for a time; a cancelled wait ends early.
asio::awaitable<void> waitFor(asio::io_context& context, Duration time)
{
    asio::steady_timer timer { context, time };
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}

Dispatcher::Dispatcher(asio::io_context& context, const Clock& clock, DispatcherSettings settings,
    PlatformLog& configurationLog, InstanceList& instanceList, HttpClient& client)
    : context(context)
    , clock(clock)
    , settings(std::move(settings))
    , configurationLog(configurationLog)
    , instanceList(instanceList)
    , client(client)
    , rpc(context.get_executor())
    , prober(context, clock, client, this->metrics, this->ownedCells, this->settings.loadPeriod)
    , changed(context, TimePoint::max())
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::start()
{
    asio::co_spawn(this->context, this->followConfiguration(), asio::detached);
    asio::co_spawn(this->context, this->followInstanceList(), asio::detached);
    this->prober.start();
}

void Dispatcher::beginPlannedStop()
{
    LOG(INFO) << "planned stop: handing over " << this->ownedCells.size() << " cells";
    this->isStopping = true;
    for (auto& [id, cell] : this->ownedCells)
        cell->handOver();
    this->ownedCells.clear();
    this->noteChange();
}

asio::awaitable<void> Dispatcher::followConfiguration()
{
    while (true) {
        auto page = co_await this->configurationLog.read(this->configuration.nextOffset(), LogPageRecords, LogWait);
        if (!page) {
            const auto label = "error=\"" + std::string { name(page.error()) } + "\"";
            this->metrics.counter("marigold_configuration_read_failures_total", label).increment();
            co_await waitFor(this->context, LogRetryPause);
            continue;
        }
        const auto before = this->configuration.nameInForce();
        for (const auto& record : page.value().records)
            this->configuration.apply(record.offset, record.data);
        if (this->configuration.nameInForce() != before)
            LOG(INFO) << "preset in force: " << this->configuration.nameInForce();
        if (!page.value().records.empty())
            this->noteChange();
    }
}

asio::awaitable<void> Dispatcher::followInstanceList()
{
    while (true) {
        auto listing = co_await this->instanceList.list();
        if (listing)
            this->takeListing(std::move(listing).value());
        else
            this->metrics.counter("marigold_instance_list_failures_total").increment();
        co_await waitFor(this->context, this->settings.listPeriod);
    }
}

void Dispatcher::takeListing(InstanceListing listing)
{
    std::vector<Member> listed;
    std::ranges::transform(listing.instances, std::back_inserter(listed), memberFrom);
    if (listed == this->members && listing.targets == this->targets) {
        this->tellStewards();
        return;
    }
    this->members = std::move(listed);
    this->targets = std::move(listing.targets);
    this->cells = makeCells(this->targets);
    this->reassignCells();
    this->tellStewards();
    this->noteChange();
}

void Dispatcher::reassignCells()
{
    std::erase_if(this->ownedCells, [&](auto& entry) {
        const auto* owner = ownerOf(entry.first, this->members);
        const auto isMine
            = owner && owner->instance.name == this->settings.instance.name && this->cells.contains(entry.first);
        if (!isMine)
            entry.second->handOver();
        return !isMine;
    });
    if (this->isStopping)
        return;
    for (const auto& [id, descriptions] : this->cells) {
        const auto* owner = ownerOf(id, this->members);
        if (!owner || owner->instance.name != this->settings.instance.name)
            continue;
        auto& cell = this->ownedCells[id];
        if (!cell) {
            CellSchedulerSettings schedulerSettings;
            schedulerSettings.cell = id;
            cell = std::make_shared<OwnedCell>(this->context, this->clock, this->metrics, id,
                makeCellScheduler(schedulerSettings), std::move(this->standbyStewards[id]));
            this->standbyStewards.erase(id);
            LOG(INFO) << "owns cell " << ownershipKey(id);
        }
        cell->setTargets(descriptions);
    }
}

asio::awaitable<std::optional<wire::Payload>> Dispatcher::handle(wire::Payload request)
{
    wire::Payload answer;
    if (request.__isset.acquire) {
        auto acquired = co_await this->acquire(std::move(request.acquire));
        answer.__set_acquireAnswer(acquired);
    } else if (request.__isset.view) {
        auto seen = co_await this->view(std::move(request.view));
        answer.__set_viewAnswer(seen);
    } else if (request.__isset.claim) {
        answer.__set_claimAnswer(this->claim(request.claim));
    } else {
        if (request.__isset.progress)
            this->noteProgress(request.progress);
        if (request.__isset.holdings)
            this->noteHoldings(request.holdings);
        if (request.__isset.settle)
            this->settle(request.settle);
        wire::Acknowledgement acknowledgement;
        acknowledgement.accepted = true;
        answer.__set_acknowledgement(acknowledgement);
    }
    co_return answer;
}

asio::awaitable<wire::AcquireAnswer> Dispatcher::acquire(wire::AcquireRequest request)
{
    wire::AcquireAnswer answer;
    auto found = this->ownedCells.find(fromWire(request.cell));
    if (found == this->ownedCells.end()) {
        answer.__set_moved(true);
        co_return answer;
    }
    const auto cell = found->second;
    auto placement = placementFrom(request, this->clock.now());
    const auto command = co_await cell->acquire(std::move(placement));
    if (!command) {
        answer.__set_moved(true);
    } else if (const auto* grant = std::get_if<Grant>(&*command)) {
        co_await this->tellSuccessor(cell, *grant, fromWire(request.owner));
        wire::GrantRecord record;
        for (const auto& part : grant->parts) {
            wire::GrantPartRecord wirePart;
            wirePart.target = part.target;
            wirePart.address = this->addressOf(part.target);
            wirePart.tokens = static_cast<std::int64_t>(part.tokens);
            record.parts.push_back(std::move(wirePart));
        }
        record.priority = grant->priority;
        record.expiresInMs = remainingMs(grant->expiry, this->clock.now());
        answer.__set_grant(record);
    } else {
        const auto& refusal = std::get<Refusal>(*command);
        wire::RefusalRecord record;
        record.reason = name(refusal.reason);
        record.retryAfterMs = toMs(refusal.retryAfter);
        answer.__set_refusal(record);
    }
    co_return answer;
}

asio::awaitable<wire::ViewAnswer> Dispatcher::view(wire::ViewRequest request)
{
    const auto knownVersion = static_cast<std::uint64_t>(request.knownVersion);
    const auto until = std::min(pointInTime(request.waitMs, this->clock.now()), this->clock.now() + MaximumViewWait);
    boost::system::error_code ignored;
    while (this->version == knownVersion && this->clock.now() < until) {
        asio::steady_timer deadline { this->context, until };
        deadline.async_wait([this](const boost::system::error_code& failure) {
            if (!failure)
                this->changed.cancel();
        });
        co_await this->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return this->currentView(static_cast<std::uint64_t>(request.knownConfigurationOffset));
}

wire::ViewAnswer Dispatcher::currentView(std::uint64_t knownConfigurationOffset) const
{
    wire::ViewAnswer answer;
    answer.version = static_cast<std::int64_t>(this->version);
    std::ranges::transform(
        this->members, std::back_inserter(answer.members), [](const Member& each) { return toWire(each); });
    for (const auto& [id, descriptions] : this->cells) {
        const auto* owner = ownerOf(id, this->members);
        if (!owner)
            continue;
        const auto mine = this->ownedCells.find(id);
        CellDigest digest;
        digest.cell = id;
        digest.liveTargets = static_cast<std::uint32_t>(descriptions.size());
        answer.cells.push_back(
            toWire(mine == this->ownedCells.end() ? digest : mine->second->digest(), owner->instance));
    }
    for (const auto& target : this->targets) {
        if (target.kind != TargetKind::Service || target.isLeaving)
            continue;
        wire::ServiceTargetRecord record;
        record.name = target.name;
        record.serviceName = target.serves;
        record.address = target.address;
        record.availabilityZone = target.availabilityZone;
        answer.services.push_back(std::move(record));
    }
    answer.configurationOffset = static_cast<std::int64_t>(this->configuration.nextOffset());
    if (this->configuration.nextOffset() > knownConfigurationOffset)
        answer.__set_configurationSnapshot(this->configuration.snapshot());
    return answer;
}

wire::ClaimAnswer Dispatcher::claim(const wire::ClaimRequest& request)
{
    const auto key = request.workspace + "/" + request.serviceName + "/" + request.key;
    const auto [claim, isNew] = this->claims.try_emplace(key, Claim { request.requestId, request.bodyDigest, {} });
    wire::ClaimAnswer answer;
    answer.verdict = wire::ClaimVerdict::Won;
    if (isNew || claim->second.requestId == request.requestId)
        return answer;
    if (claim->second.bodyDigest != request.bodyDigest) {
        answer.verdict = wire::ClaimVerdict::Mismatch;
    } else if (claim->second.outcome) {
        answer.verdict = wire::ClaimVerdict::Repeated;
        answer.__set_outcome(*claim->second.outcome);
    } else {
        answer.verdict = wire::ClaimVerdict::InProgress;
        answer.retryAfterMs = 1000;
    }
    return answer;
}

void Dispatcher::settle(const wire::ClaimSettlement& settlement)
{
    const auto found = this->claims.find(settlement.workspace + "/" + settlement.serviceName + "/" + settlement.key);
    if (found != this->claims.end() && found->second.requestId == settlement.requestId && settlement.__isset.outcome)
        found->second.outcome = settlement.outcome;
}

void Dispatcher::noteProgress(const wire::ProgressNotice& notice)
{
    auto* cell = this->owned(fromWire(notice.cell));
    if (!cell)
        return;
    const RequestId id { notice.requestId };
    if (notice.firstToken)
        cell->firstToken(id);
    if (notice.finished)
        cell->finish(id, static_cast<std::uint64_t>(notice.outputTokens));
    if (notice.withdrawn)
        cell->withdraw(id);
}

void Dispatcher::noteHoldings(const wire::HoldingsAnnouncement& announcement)
{
    const auto now = this->clock.now();
    const auto owner = fromWire(announcement.owner);
    std::vector<Holding> holdings;
    std::ranges::transform(announcement.holdings, std::back_inserter(holdings),
        [&](const wire::HoldingRecord& record) { return holdingFrom(record, owner, now); });
    const auto id = fromWire(announcement.cell);
    if (auto* cell = this->owned(id)) {
        cell->noteHoldings(owner, holdings);
        return;
    }
    if (!this->cells.contains(id))
        return;
    auto& steward = this->standbyStewards[id];
    if (!announcement.isSingleGrant)
        steward.noteHoldings(owner, holdings, now);
    else if (!holdings.empty())
        steward.noteGrant(holdings.front().id, holdings.front().parts, now + GrantNoticeLifetime, now);
}

// Lets the next owner of the cell know of a grant on engines that cannot list what they hold, before anybody acts on
// it.
asio::awaitable<void> Dispatcher::tellSuccessor(std::shared_ptr<OwnedCell> cell, Grant grant, InstanceId owner)
{
    const auto hides = [&](const GrantPart& part) {
        return cell->hidesAllocations(part.target);
    };
    if (std::ranges::none_of(grant.parts, hides))
        co_return;
    const auto owners = ownersOf(cell->id(), this->members, 2);
    if (owners.size() < 2)
        co_return;
    wire::HoldingRecord record;
    record.requestId = grant.id.value;
    std::ranges::transform(grant.parts, std::back_inserter(record.parts), [](const GrantPart& part) {
        wire::GrantPartRecord wirePart;
        wirePart.target = part.target;
        wirePart.tokens = static_cast<std::int64_t>(part.tokens);
        return wirePart;
    });
    wire::HoldingsAnnouncement announcement;
    announcement.owner = toWire(owner);
    announcement.cell = toWire(cell->id());
    announcement.holdings.push_back(std::move(record));
    announcement.isSingleGrant = true;
    wire::Payload payload;
    payload.__set_holdings(announcement);
    auto address = owners[1]->dispatcherAddress;
    const auto told = co_await this->rpc.call(std::move(address), std::move(payload), SuccessorTimeout);
    if (!told)
        this->metrics.counter("marigold_dispatcher_successor_notices_lost_total").increment();
}

void Dispatcher::tellStewards()
{
    std::vector<InstanceId> alive;
    for (const auto& member : this->members) {
        if (member.state != MemberState::Dead)
            alive.push_back(member.instance);
    }
    for (const auto& [id, cell] : this->ownedCells)
        cell->noteMembers(alive);
    std::erase_if(this->standbyStewards, [&](const auto& each) { return !this->cells.contains(each.first); });
}

OwnedCell* Dispatcher::owned(const CellId& cell)
{
    const auto found = this->ownedCells.find(cell);
    return found == this->ownedCells.end() ? nullptr : found->second.get();
}

std::string Dispatcher::addressOf(std::string_view target) const
{
    const auto found = std::ranges::find(this->targets, target, &TargetDescription::name);
    return found == this->targets.end() ? std::string {} : found->address;
}

void Dispatcher::noteChange()
{
    ++this->version;
    this->changed.cancel();
}

bool Dispatcher::isReady() const
{
    return !this->isStopping && this->configuration.presetInForce() && !this->members.empty();
}

asio::awaitable<void> Dispatcher::handle(HttpExchange& exchange)
{
    const auto target = exchange.request().target();
    HttpResponse response = makeResponse(StatusNotFound, "text/plain", "no such path\n");
    if (target == "/healthz") {
        const auto body = json::serialize(json::object { { "instance", this->settings.instance.name },
            { "preset", this->configuration.nameInForce() },
            { "configuration_offset", this->configuration.nextOffset() } });
        response = makeResponse(StatusOk, "application/json", body + "\n");
    } else if (target == "/readyz") {
        response = this->isReady() ? makeResponse(StatusOk, "text/plain", "ready\n")
                                   : makeResponse(StatusUnavailable, "text/plain", "not ready\n");
    } else if (target == "/metrics") {
        this->metrics.gauge("marigold_configuration_offset").set(static_cast<double>(this->configuration.nextOffset()));
        response = makeResponse(StatusOk, "text/plain; version=0.0.4", this->metrics.exposition());
    }
    co_await exchange.respond(std::move(response));
}

HttpResponse Dispatcher::describeFault(HttpFault)
{
    return makeResponse(400, "text/plain", "unreadable request\n");
}

}
