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

constexpr std::chrono::seconds MaximumViewWait { 5 };
constexpr std::chrono::seconds DigestPeriod { 2 };
constexpr std::chrono::milliseconds UpkeepPeriod { 500 };
// A gateway that has not polled for this long no longer counts towards the lowest configuration offset of the gateways.
constexpr std::chrono::seconds GatewayTimeout { 8 };
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

ClaimCoordinatorOptions claimOptions(const DispatcherSettings& settings)
{
    ClaimCoordinatorOptions options;
    // Checkpointing is staggered by rank: the last rank writes an overdue checkpoint at four fifths of the retention.
    options.checkpointPeriod = settings.claimRetention * 2 / 5;
    options.firstCheckpointId = firstCheckpointIdOf(settings.instance);
    return options;
}

// Waits for a duration. Returns early if the wait is cancelled.
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
          this->settings.configuration, [this] { this->notifyViewChanged(); })
    , membership(context, clock, this->metrics)
    , cells(context, clock, this->metrics, client, this->peerClient, this->settings.instance, this->settings.loadPeriod)
    , claims(context.get_executor(), clock, claimLog, *this, claimOptions(this->settings), this->metrics)
    , viewChanged(context, TimePoint::max())
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
    asio::co_spawn(this->context, this->runUpkeep(), asio::detached);
    this->claims.start();
    asio::co_spawn(this->context, this->followInstanceList(), asio::detached);
    this->cells.start();
}

void Dispatcher::beginGracefulShutdown()
{
    this->isStopping = true;
    this->cells.beginGracefulShutdown();
    this->membership.leave();
    this->notifyViewChanged();
}

asio::awaitable<void> Dispatcher::followInstanceList()
{
    while (true) {
        auto listing = co_await this->instanceList.list();
        if (listing)
            this->applyListing(std::move(listing).value());
        else
            this->metrics.counter("marigold_instance_list_failures_total").increment();
        co_await waitFor(this->context, this->settings.listPeriod);
    }
}

void Dispatcher::applyListing(InstanceListing listing)
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
    if (this->targets == before)
        return;
    this->cells.setTargets(this->targets);
    this->notifyViewChanged();
}

// Periodic work that continues while the instance list does not answer.
asio::awaitable<void> Dispatcher::runUpkeep()
{
    while (true) {
        if (!this->membership.isStale())
            this->cells.noteConnected();
        this->cells.updateIntents(this->configuration.state());
        co_await waitFor(this->context, UpkeepPeriod);
    }
}

void Dispatcher::refreshMembers()
{
    auto current = this->membership.membership().membersAndContacts(this->clock.now());
    if (current == this->members)
        return;
    this->members = std::move(current);
    this->cells.setMembers(this->members);
    this->updateClaimRank();
    this->updateFollowerPeers();
    this->notifyViewChanged();
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
    this->cells.setTargets(this->targets);
    this->notifyViewChanged();
}

void Dispatcher::higherConfigurationOffset(std::uint64_t offset, const Member& holder)
{
    this->configuration.observePeerOffset(holder.dispatcherAddress, offset);
}

void Dispatcher::superseded(std::uint64_t)
{
    this->beginGracefulShutdown();
}

asio::awaitable<void> Dispatcher::publishDigests()
{
    while (true) {
        for (const auto& digest : this->cells.ownDigests())
            this->membership.publish(digest);
        co_await waitFor(this->context, DigestPeriod);
    }
}

void Dispatcher::updateFollowerPeers()
{
    const auto isSelf = [&](const Member& each) {
        return each.instance.name == this->settings.instance.name;
    };
    std::vector<std::string> peers;
    for (const auto& each : this->members) {
        if (!isSelf(each) && each.state != MemberState::Dead)
            peers.push_back(each.dispatcherAddress);
    }
    const auto ownEntry = std::ranges::find_if(this->members, isSelf);
    this->configuration.setPeers(std::move(peers), static_cast<std::size_t>(ownEntry - this->members.begin()));
    for (const auto& each : this->members) {
        if (!isSelf(each))
            this->configuration.observePeerOffset(each.dispatcherAddress, each.configurationOffset);
    }
}

asio::awaitable<std::optional<wire::Payload>> Dispatcher::handle(
    wire::Payload request, std::shared_ptr<void>& /*untilWritten*/)
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
            this->cells.noteProgress(request.progress);
        if (request.__isset.holdings)
            this->cells.noteHoldings(request.holdings);
        wire::Acknowledgement acknowledgement;
        acknowledgement.accepted = true;
        answer.__set_acknowledgement(acknowledgement);
    }
    co_return answer;
}

// Schedules nothing while the membership view is stale: after a pause of this process another instance may own its
// cells.
asio::awaitable<wire::AcquireAnswer> Dispatcher::acquire(wire::AcquireRequest request)
{
    if (!this->membership.isStale())
        co_return co_await this->cells.acquire(std::move(request));
    wire::AcquireAnswer answer;
    answer.__set_moved(true);
    co_return answer;
}

asio::awaitable<wire::ViewAnswer> Dispatcher::view(wire::ViewRequest request)
{
    const auto knownVersion = static_cast<std::uint64_t>(request.knownVersion);
    const auto knownOffset = static_cast<std::uint64_t>(request.knownConfigurationOffset);
    this->gatewayOffsets.insert_or_assign(request.requester.name, GatewayOffset { knownOffset, this->clock.now() });
    const auto until = std::min(pointInTime(request.waitMs, this->clock.now()), this->clock.now() + MaximumViewWait);
    boost::system::error_code ignored;
    while (this->viewVersion == knownVersion && this->clock.now() < until) {
        asio::steady_timer deadline { this->context, until };
        deadline.async_wait([this](const boost::system::error_code& failure) {
            if (!failure)
                this->viewChanged.cancel();
        });
        co_await this->viewChanged.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return this->currentView(knownOffset);
}

wire::ConfigurationAnswer Dispatcher::configurationSince(std::uint64_t knownOffset)
{
    auto answer = toWire(this->configuration.updateSince(knownOffset));
    answer.presetInForce = this->configuration.state().nameInForce();
    const auto oldestReport = this->clock.now() - GatewayTimeout;
    std::erase_if(this->gatewayOffsets, [&](const auto& each) { return each.second.at < oldestReport; });
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
    for (const auto& digest : this->cells.ownDigests())
        digests.insert_or_assign(digest.cell, digest);
    return digests;
}

wire::ViewAnswer Dispatcher::currentView(std::uint64_t knownConfigurationOffset)
{
    wire::ViewAnswer answer;
    answer.version = static_cast<std::int64_t>(this->viewVersion);
    std::ranges::transform(
        this->members, std::back_inserter(answer.members), [](const Member& each) { return toWire(each); });
    const auto digests = this->knownDigests();
    for (const auto& [id, descriptions] : this->cells.cells()) {
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
    for (const auto& mark : this->membership.membership().targetMarks()) {
        wire::TargetMark record;
        record.target = mark.target;
        record.incarnation = static_cast<std::int64_t>(mark.incarnation);
        record.leaving = mark.isLeaving;
        answer.leavingTargets.push_back(std::move(record));
    }
    const auto update = this->configuration.updateSince(knownConfigurationOffset);
    answer.configurationOffset = static_cast<std::int64_t>(update.offset);
    answer.configurationRecords = wireRecordsFrom(update.records);
    if (update.snapshot)
        answer.__set_configurationSnapshot(*update.snapshot);
    return answer;
}

// An instance that is no longer a member counts as gone. The outcome of its claims is then unknown; the keys are not
// released.
bool Dispatcher::isDeadOrReplaced(const InstanceId& holder) const
{
    // Only names are compared: members are dispatcher processes, whose incarnations differ from those of the gateways
    // that hold claims.
    const auto isMember = [&](const Member& member) {
        return member.instance.name == holder.name && member.state != MemberState::Dead;
    };
    return !this->members.empty() && std::ranges::none_of(this->members, isMember);
}

void Dispatcher::updateClaimRank()
{
    const auto rank = std::ranges::count_if(this->members,
        [this](const Member& member) { return canOwn(member) && member.instance.name < this->settings.instance.name; });
    const auto live = std::ranges::count_if(this->members, canOwn);
    this->claims.setRank(static_cast<std::size_t>(rank), static_cast<std::size_t>(live));
}

void Dispatcher::notifyViewChanged()
{
    ++this->viewVersion;
    this->membership.setConfigurationOffset(this->configuration.state().nextOffset());
    this->viewChanged.cancel();
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

HttpResponse Dispatcher::makeFaultResponse(HttpFault)
{
    return makeResponse(400, "text/plain", "unreadable request\n");
}

}
