#include "dispatch/Dispatcher.h"

#include <algorithm>
#include <random>
#include <ranges>
#include <utility>

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

constexpr std::chrono::milliseconds SuccessorTimeout { 100 };
constexpr std::chrono::seconds GrantNoticeLifetime { 5 };
constexpr std::chrono::seconds MaximumViewWait { 5 };
constexpr std::chrono::seconds DigestPeriod { 2 };
constexpr std::chrono::seconds GatewaySilence { 8 }; // After which a gateway is no longer counted as following.
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

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
    placement.excludedTargets = request.excludedTargets;
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

ClaimCoordinatorOptions claimOptions(const DispatcherSettings& settings)
{
    ClaimCoordinatorOptions options;
    options.refreshPeriod = settings.claimRetention * 2 / 5; // The last of the ranks steps in at four fifths.
    options.checkpointSeed = checkpointSeedOf(settings.instance);
    return options;
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
    PlatformLog& configurationLog, PlatformLog& claimLog, InstanceList& instanceList, HttpClient& client)
    : context(context)
    , clock(clock)
    , settings(std::move(settings))
    , instanceList(instanceList)
    , peerClient(context.get_executor())
    , configurationPeers(this->peerClient, this->settings.configuration.peerTimeout)
    , configuration(context, clock, configurationLog, this->configurationPeers, this->metrics,
          this->settings.configuration, [this] { this->noteChange(); })
    , membership(context, clock, this->metrics)
    , prober(context, clock, client, this->metrics, this->ownedCells, this->settings.loadPeriod)
    , claims(context.get_executor(), clock, claimLog, *this, claimOptions(this->settings), this->metrics)
    , changed(context, TimePoint::max())
{
}

Dispatcher::~Dispatcher() = default;

std::uint16_t Dispatcher::listenMembership(std::string_view address)
{
    return this->membership.bind(address);
}

void Dispatcher::start(std::string rpcAddress, std::string membershipAddress)
{
    Member self { this->settings.instance, this->settings.availabilityZone, std::move(membershipAddress),
        std::move(rpcAddress), MemberState::Alive, 0, 0 };
    this->membership.start(std::move(self), *this, std::random_device {}());
    this->refreshMembers();
    this->configuration.start();
    asio::co_spawn(this->context, this->publishDigests(), asio::detached);
    this->claims.start();
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
    this->membership.leave();
    this->noteChange();
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
    const auto isLeavingSelf = [this](const InstanceDescription& each) {
        return each.isLeaving && each.name == this->settings.instance.name
            && each.incarnation == this->settings.instance.incarnation;
    };
    if (std::ranges::any_of(listing.instances, isLeavingSelf))
        this->membership.leave();
    this->membership.updateListing(listing.instances);
    for (const auto& target : listing.targets | std::views::filter(&TargetDescription::isLeaving))
        this->membership.markTarget({ target.name, target.incarnation, true });
    const auto before = std::exchange(this->targets, std::move(listing.targets));
    this->isListRead = true;
    this->applyMarks();
    this->refreshMembers();
    this->tellStewards();
    this->tellIntents();
    if (this->targets == before)
        return;
    this->cells = makeCells(this->targets);
    this->reassignCells();
    this->tellStewards();
    this->noteChange();
}

void Dispatcher::refreshMembers()
{
    auto current = this->membership.membership().membersAndContacts(this->clock.now());
    if (current == this->members)
        return;
    this->members = std::move(current);
    this->reassignCells();
    this->rankClaims();
    this->tellFollower();
    this->noteChange();
}

void Dispatcher::applyMarks()
{
    for (const auto& mark : this->membership.membership().targetMarks())
        for (auto& target : this->targets)
            if (target.name == mark.target && target.incarnation <= mark.incarnation && mark.isLeaving)
                target.isLeaving = true;
}

void Dispatcher::memberChanged(const Member&)
{
    this->refreshMembers();
}

void Dispatcher::targetMarked(const TargetLeavingMark&)
{
    const auto before = this->targets;
    this->applyMarks();
    if (this->targets == before)
        return;
    this->cells = makeCells(this->targets);
    this->reassignCells();
    this->noteChange();
}

void Dispatcher::configurationOffsetHeard(std::uint64_t offset, const Member& holder)
{
    this->configuration.peerReached(holder.dispatcherAddress, offset);
}

void Dispatcher::superseded(std::uint64_t)
{
    this->beginPlannedStop();
}

asio::awaitable<void> Dispatcher::publishDigests()
{
    while (true) {
        for (const auto& [id, cell] : this->ownedCells)
            this->membership.publish(cell->digest());
        co_await waitFor(this->context, DigestPeriod);
    }
}

void Dispatcher::tellFollower()
{
    const auto isMe = [&](const Member& each) {
        return each.instance.name == this->settings.instance.name;
    };
    std::vector<std::string> peers;
    for (const auto& each : this->members) {
        if (!isMe(each) && each.state != MemberState::Dead)
            peers.push_back(each.dispatcherAddress);
    }
    const auto me = std::ranges::find_if(this->members, isMe);
    this->configuration.setPeers(std::move(peers), static_cast<std::size_t>(me - this->members.begin()));
    for (const auto& each : this->members) {
        if (!isMe(each))
            this->configuration.peerReached(each.dispatcherAddress, each.configurationOffset);
    }
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
        const auto isNew = !cell;
        if (isNew) {
            CellSchedulerSettings schedulerSettings;
            schedulerSettings.cell = id;
            cell = std::make_shared<OwnedCell>(this->context, this->clock, this->metrics, id,
                makeCellScheduler(schedulerSettings), std::move(this->standbyStewards[id]));
            this->standbyStewards.erase(id);
            LOG(INFO) << "owns cell " << ownershipKey(id);
        }
        cell->setTargets(descriptions);
        if (isNew)
            this->prober.probeNow(cell);
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
        auto decided = co_await this->claims.claim(std::move(request.claim));
        answer.__set_claimAnswer(decided);
    } else if (request.__isset.settle) {
        auto settled = co_await this->claims.settle(std::move(request.settle));
        answer.__set_acknowledgement(settled);
    } else if (request.__isset.configuration) {
        const auto known = static_cast<std::uint64_t>(request.configuration.knownOffset);
        answer.__set_configurationAnswer(this->configurationSince(known));
    } else {
        if (request.__isset.progress)
            this->noteProgress(request.progress);
        if (request.__isset.holdings)
            this->noteHoldings(request.holdings);
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
    if (found == this->ownedCells.end() || this->membership.isStale()) {
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
    const auto knownOffset = static_cast<std::uint64_t>(request.knownConfigurationOffset);
    this->gatewayOffsets.insert_or_assign(request.requester.name, GatewayOffset { knownOffset, this->clock.now() });
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
    co_return this->currentView(knownOffset);
}

wire::ConfigurationAnswer Dispatcher::configurationSince(std::uint64_t knownOffset)
{
    auto answer = wireFrom(this->configuration.updateSince(knownOffset));
    answer.presetInForce = this->configuration.state().nameInForce();
    const auto forgetBefore = this->clock.now() - GatewaySilence;
    std::erase_if(this->gatewayOffsets, [&](const auto& each) { return each.second.at < forgetBefore; });
    const auto offsets = this->gatewayOffsets | std::views::values | std::views::transform(&GatewayOffset::offset);
    if (!offsets.empty())
        answer.__set_gatewayOffset(static_cast<std::int64_t>(std::ranges::min(offsets)));
    return answer;
}

std::map<CellId, CellDigest> Dispatcher::knownDigests() const
{
    std::map<CellId, CellDigest> digests;
    for (const auto& report : this->membership.membership().cellReports(this->clock.now()))
        digests.emplace(report.digest.cell, report.digest);
    for (const auto& [id, cell] : this->ownedCells)
        digests.insert_or_assign(id, cell->digest());
    return digests;
}

wire::ViewAnswer Dispatcher::currentView(std::uint64_t knownConfigurationOffset)
{
    wire::ViewAnswer answer;
    answer.version = static_cast<std::int64_t>(this->version);
    std::ranges::transform(
        this->members, std::back_inserter(answer.members), [](const Member& each) { return toWire(each); });
    const auto digests = this->knownDigests();
    for (const auto& [id, descriptions] : this->cells) {
        const auto* owner = ownerOf(id, this->members);
        if (!owner)
            continue;
        CellDigest digest;
        digest.cell = id;
        digest.liveTargets = static_cast<std::uint32_t>(descriptions.size());
        const auto known = digests.find(id);
        answer.cells.push_back(toWire(known == digests.end() ? digest : known->second, owner->instance));
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
    const auto update = this->configuration.updateSince(knownConfigurationOffset);
    answer.configurationOffset = static_cast<std::int64_t>(update.offset);
    answer.configurationRecords = wireRecordsFrom(update.records);
    if (update.snapshot)
        answer.__set_configurationSnapshot(*update.snapshot);
    return answer;
}

// An instance that is not listed any more counts as gone: its claims are then unknown, never free.
bool Dispatcher::isGone(const InstanceId& holder) const
{
    // Membership speaks of dispatchers, whose incarnations are their own: only the instance's name is compared.
    const auto mayLive = [&](const Member& member) {
        return member.instance.name == holder.name && member.state != MemberState::Dead;
    };
    return !this->members.empty() && std::ranges::none_of(this->members, mayLive);
}

void Dispatcher::rankClaims()
{
    const auto rank = std::ranges::count_if(this->members,
        [this](const Member& member) { return canOwn(member) && member.instance.name < this->settings.instance.name; });
    const auto live = std::ranges::count_if(this->members, canOwn);
    this->claims.setRank(static_cast<std::size_t>(rank), static_cast<std::size_t>(live));
}

void Dispatcher::noteProgress(const wire::ProgressNotice& notice)
{
    auto* cell = this->owned(fromWire(notice.cell));
    if (!cell)
        return;
    for (const auto& target : notice.failedTargets)
        cell->noteMissed(target);
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
    const auto told = co_await this->peerClient.call(std::move(address), std::move(payload), SuccessorTimeout);
    if (!told)
        this->metrics.counter("marigold_dispatcher_successor_notices_lost_total").increment();
}

// Hands the owned cells what the preset in force wants of their engines, fenced by the offset at which it came to be
// so.
void Dispatcher::tellIntents()
{
    const auto& state = this->configuration.state();
    const auto preset = state.presetInForce();
    if (!preset)
        return;
    for (const auto& [id, cell] : this->ownedCells) {
        const auto model = preset->models.find(id.model);
        if (model == preset->models.end())
            continue;
        const auto changedAt = state.revisionOf(preset->name, "model " + id.model).value_or(0);
        cell->setIntent({ model->second.version, std::max(changedAt, state.putInForceAt()) });
    }
}

void Dispatcher::tellStewards()
{
    if (this->membership.isStale())
        return;
    for (const auto& [id, cell] : this->ownedCells)
        cell->noteConnected();
    for (auto& [id, steward] : this->standbyStewards)
        steward.forgetDisclaimed(this->clock.now());
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
    this->membership.setConfigurationOffset(this->configuration.state().nextOffset());
    this->changed.cancel();
}

bool Dispatcher::isReady() const
{
    return !this->isStopping && this->configuration.isReady() && this->isListRead;
}

asio::awaitable<void> Dispatcher::handle(HttpExchange& exchange)
{
    const auto target = exchange.request().target();
    HttpResponse response = makeResponse(StatusNotFound, "text/plain", "no such path\n");
    if (target == "/healthz") {
        const auto body = json::serialize(json::object { { "instance", this->settings.instance.name },
            { "preset", this->configuration.state().nameInForce() },
            { "configuration_offset", this->configuration.state().nextOffset() } });
        response = makeResponse(StatusOk, "application/json", body + "\n");
    } else if (target == "/readyz") {
        response = this->isReady() ? makeResponse(StatusOk, "text/plain", "ready\n")
                                   : makeResponse(StatusUnavailable, "text/plain", "not ready\n");
    } else if (target == "/metrics") {
        this->metrics.gauge("marigold_configuration_offset")
            .set(static_cast<double>(this->configuration.state().nextOffset()));
        response = makeResponse(StatusOk, "text/plain; version=0.0.4", this->metrics.exposition());
    }
    co_await exchange.respond(std::move(response));
}

HttpResponse Dispatcher::describeFault(HttpFault)
{
    return makeResponse(400, "text/plain", "unreadable request\n");
}

}
