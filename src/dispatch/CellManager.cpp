#include "dispatch/CellManager.h"

#include <algorithm>
#include <ranges>

#include <glog/logging.h>

#include "dispatch/PlacementMessages.h"
#include "membership/Ownership.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds SuccessorTimeout { 100 };
constexpr std::chrono::seconds GrantNoticeLifetime { 5 }; // Until then the gateway's announcements may omit the grant.
constexpr std::size_t OwnerAndSuccessor = 2;

}

CellManager::CellManager(asio::io_context& context, const Clock& clock, MetricsRegistry& metrics, HttpClient& client,
    RpcClient& peers, InstanceId instance, Duration loadPeriod)
    : context(context)
    , clock(clock)
    , metrics(metrics)
    , peers(peers)
    , instance(std::move(instance))
    , prober(context, clock, client, metrics, this->ownedCells, loadPeriod)
{
}

void CellManager::start()
{
    this->prober.start();
}

void CellManager::setTargets(std::span<const TargetDescription> targets)
{
    this->cellMap = makeCells(targets);
    std::erase_if(this->standbyReclaimers, [&](const auto& each) { return !this->cellMap.contains(each.first); });
    this->reassign();
}

void CellManager::setMembers(std::span<const Member> current)
{
    this->members.assign(current.begin(), current.end());
    this->reassign();
}

void CellManager::beginGracefulShutdown()
{
    LOG(INFO) << "graceful shutdown: handing over " << this->ownedCells.size() << " cells";
    this->isStopping = true;
    this->reassign();
}

void CellManager::reassign()
{
    std::erase_if(this->ownedCells, [&](auto& entry) {
        const auto isKept = this->isOwnedHere(entry.first) && this->cellMap.contains(entry.first);
        if (!isKept)
            entry.second->handOver();
        return !isKept;
    });
    for (const auto& [id, descriptions] : this->cellMap) {
        if (!this->isOwnedHere(id))
            continue;
        auto& cell = this->ownedCells[id];
        const auto isNew = !cell;
        if (isNew)
            cell = this->takeOver(id);
        cell->setTargets(descriptions);
        if (isNew)
            this->prober.probeNow(cell);
    }
}

bool CellManager::isOwnedHere(const CellId& cell) const
{
    const auto* owner = ownerOf(cell, this->members);
    return !this->isStopping && owner && owner->instance.name == this->instance.name;
}

std::shared_ptr<OwnedCell> CellManager::takeOver(const CellId& cell)
{
    LOG(INFO) << "taking over cell " << ownershipKey(cell);
    CellSchedulerSettings settings;
    settings.cell = cell;
    auto reclaimer = std::move(this->standbyReclaimers[cell]);
    this->standbyReclaimers.erase(cell);
    return std::make_shared<OwnedCell>(
        this->context, this->clock, this->metrics, cell, makeCellScheduler(settings), std::move(reclaimer));
}

void CellManager::noteConnected()
{
    for (const auto& [id, cell] : this->ownedCells)
        cell->noteConnected();
    for (auto& [id, reclaimer] : this->standbyReclaimers)
        reclaimer.dropReleased(this->clock.now());
}

// The fencing token of an intent is the log offset at which its version took effect: the later of the last change of
// the model's section and of the activation of the preset.
void CellManager::updateIntents(const ConfigurationState& configuration)
{
    const auto preset = configuration.presetInForce();
    if (!preset)
        return;
    for (const auto& [id, cell] : this->ownedCells) {
        const auto model = preset->models.find(id.model);
        if (model == preset->models.end())
            continue;
        const auto changedAt = configuration.revisionOf(preset->name, "model " + id.model).value_or(0);
        cell->setIntent({ model->second.version, std::max(changedAt, configuration.putInForceAt()) });
    }
}

asio::awaitable<wire::AcquireAnswer> CellManager::acquire(wire::AcquireRequest request)
{
    wire::AcquireAnswer answer;
    const auto found = this->ownedCells.find(fromWire(request.cell));
    const auto cell = found == this->ownedCells.end() ? nullptr : found->second;
    std::optional<SchedulerCommand> command;
    if (cell) {
        auto placement = placementFrom(request, this->clock.now());
        command = co_await cell->acquire(std::move(placement));
    }
    if (!command) {
        answer.__set_moved(true);
    } else if (const auto* grant = std::get_if<Grant>(&*command)) {
        co_await this->notifySuccessor(cell, *grant, fromWire(request.owner));
        answer.__set_grant(this->addressedGrant(*cell, *grant));
    } else {
        answer.__set_refusal(refusalRecordFrom(std::get<Refusal>(*command)));
    }
    co_return answer;
}

wire::GrantRecord CellManager::addressedGrant(const OwnedCell& cell, const Grant& grant) const
{
    auto record = grantRecordFrom(grant, this->clock.now());
    for (auto& part : record.parts) {
        const auto target = cell.targets().find(part.target);
        if (target != cell.targets().end())
            part.address = target->second.address;
    }
    return record;
}

// Notifies the next owner of the cell of a grant before the gateway receives it. Needed only if an engine of the grant
// cannot list its allocations: a new owner could not discover the allocation from the engine's reports.
asio::awaitable<void> CellManager::notifySuccessor(std::shared_ptr<OwnedCell> cell, Grant grant, InstanceId owner)
{
    const auto isUnlisted = [&](const GrantPart& part) {
        return cell->omitsAllocations(part.target);
    };
    const auto owners = ownersOf(cell->id(), this->members, OwnerAndSuccessor);
    if (owners.size() < OwnerAndSuccessor || std::ranges::none_of(grant.parts, isUnlisted))
        co_return;
    wire::Payload payload;
    payload.__set_holdings(grantNoticeFrom(cell->id(), grant, owner));
    auto address = owners.back()->dispatcherAddress;
    const auto isNotified = co_await this->peers.call(std::move(address), std::move(payload), SuccessorTimeout);
    if (!isNotified)
        this->metrics.counter("marigold_dispatcher_successor_notices_lost_total").increment();
}

void CellManager::noteProgress(const wire::ProgressNotice& notice)
{
    auto* cell = this->findOwned(fromWire(notice.cell));
    if (!cell)
        return;
    for (const auto& target : notice.failedTargets)
        cell->noteUnanswered(target);
    const RequestId id { notice.requestId };
    if (notice.firstToken)
        cell->firstToken(id);
    if (notice.finished)
        cell->finish(id, static_cast<std::uint64_t>(notice.outputTokens));
    if (notice.withdrawn)
        cell->withdraw(id);
}

void CellManager::noteHoldings(const wire::HoldingsAnnouncement& announcement)
{
    const auto now = this->clock.now();
    const auto id = fromWire(announcement.cell);
    const auto owner = fromWire(announcement.owner);
    const auto holdings = holdingsFrom(announcement, now);
    if (auto* cell = this->findOwned(id)) {
        cell->noteHoldings(owner, holdings);
        return;
    }
    if (!this->cellMap.contains(id))
        return;
    auto& reclaimer = this->standbyReclaimers[id];
    if (!announcement.isSingleGrant)
        reclaimer.noteHoldings(owner, holdings, now);
    else if (!holdings.empty())
        reclaimer.noteGrant(holdings.front().id, holdings.front().parts, now + GrantNoticeLifetime, now);
}

const CellMap& CellManager::cells() const
{
    return this->cellMap;
}

std::vector<CellDigest> CellManager::ownDigests() const
{
    std::vector<CellDigest> digests;
    std::ranges::transform(this->ownedCells | std::views::values, std::back_inserter(digests),
        [](const auto& cell) { return cell->digest(); });
    return digests;
}

OwnedCell* CellManager::findOwned(const CellId& cell)
{
    const auto found = this->ownedCells.find(cell);
    return found == this->ownedCells.end() ? nullptr : found->second.get();
}

}
