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

#include "dispatch/FirstComeScheduler.h"
#include "membership/Ownership.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds LoadTimeout { 500 };
constexpr std::chrono::seconds MaximumViewWait { 5 };
constexpr std::chrono::seconds GatewaySilence { 15 }; // After which a gateway is no longer counted as following.
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

std::optional<LoadReport> loadFrom(std::string_view target, const std::string& body, TimePoint now)
{
    try {
        const auto value = json::parse(body);
        LoadReport report;
        report.target = target;
        report.measuredAt = now;
        report.memoryTokens = json::value_to<std::uint64_t>(value.at("memory_tokens"));
        report.usedTokens = json::value_to<std::uint64_t>(value.at("used_tokens"));
        report.running = json::value_to<std::uint32_t>(value.at("running"));
        report.waiting = json::value_to<std::uint32_t>(value.at("waiting"));
        report.prefillTokensPerSecond = json::value_to<double>(value.at("prefill_tokens_per_second"));
        const auto* allocations = value.as_object().if_contains("allocations");
        if (!allocations)
            return report;
        report.allocations.emplace();
        for (const auto& allocation : allocations->as_array())
            report.allocations->push_back({ { json::value_to<std::string>(allocation.at("request_id")) },
                json::value_to<std::uint64_t>(allocation.at("tokens")),
                std::chrono::milliseconds { json::value_to<std::int64_t>(allocation.at("age_ms")) } });
        return report;
    } catch (const std::exception&) {
        return std::nullopt;
    }
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
    , instanceList(instanceList)
    , client(client)
    , peerClient(context.get_executor())
    , configurationPeers(this->peerClient, this->settings.configuration.peerTimeout)
    , configuration(context, clock, configurationLog, this->configurationPeers, this->metrics,
          this->settings.configuration, [this] { this->noteChange(); })
    , changed(context, TimePoint::max())
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::start()
{
    this->configuration.start();
    asio::co_spawn(this->context, this->followInstanceList(), asio::detached);
    asio::co_spawn(this->context, this->followLoads(), asio::detached);
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
    if (listed == this->members && listing.targets == this->targets)
        return;
    this->members = std::move(listed);
    this->targets = std::move(listing.targets);
    this->cells = makeCells(this->targets);
    this->reassignCells();
    this->tellFollower();
    this->noteChange();
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
        if (!cell) {
            cell = std::make_shared<OwnedCell>(
                this->context, this->clock, this->metrics, id, std::make_unique<FirstComeScheduler>());
            LOG(INFO) << "owns cell " << ownershipKey(id);
        }
        cell->setTargets(descriptions);
    }
}

asio::awaitable<void> Dispatcher::followLoads()
{
    while (true) {
        for (const auto& [id, cell] : this->ownedCells) {
            for (const auto& [name, target] : cell->targets()) {
                auto reading = this->readLoad(target, id);
                asio::co_spawn(this->context, std::move(reading), asio::detached);
            }
        }
        co_await waitFor(this->context, this->settings.loadPeriod);
    }
}

asio::awaitable<void> Dispatcher::readLoad(TargetDescription target, CellId cell)
{
    auto request = makeRequest(http::verb::get, "/v1/load", {});
    auto answer = co_await this->client.call(target.address, std::move(request), LoadTimeout);
    auto* owned = this->owned(cell);
    if (!owned)
        co_return;
    const auto report = answer ? loadFrom(target.name, answer.value().body(), this->clock.now()) : std::nullopt;
    if (report)
        owned->reportLoad(*report);
    else
        this->metrics.counter("marigold_load_report_failures_total").increment();
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
    } else if (request.__isset.configuration) {
        const auto known = static_cast<std::uint64_t>(request.configuration.knownOffset);
        answer.__set_configurationAnswer(this->configurationSince(known));
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

wire::ViewAnswer Dispatcher::currentView(std::uint64_t knownConfigurationOffset)
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
    const auto update = this->configuration.updateSince(knownConfigurationOffset);
    answer.configurationOffset = static_cast<std::int64_t>(update.offset);
    answer.configurationRecords = wireRecordsFrom(update.records);
    if (update.snapshot)
        answer.__set_configurationSnapshot(*update.snapshot);
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
    auto* cell = this->owned(fromWire(announcement.cell));
    if (!cell)
        return;
    for (const auto& record : announcement.holdings)
        cell->adopt(holdingFrom(record, fromWire(announcement.owner), this->clock.now()));
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
    return !this->isStopping && this->configuration.isReady() && !this->members.empty();
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
