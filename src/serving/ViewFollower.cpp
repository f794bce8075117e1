#include "serving/ViewFollower.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <ranges>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/Text.h"

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// A configuration read waits this share of its bound for a change (long poll), so that the reader learns of one at
// once.
constexpr double PollWaitShareOfBound = 0.15;
// A view that a peer sent in a datagram is older by the time on the way, queues included.
constexpr Duration TransitAllowance = std::chrono::milliseconds { 20 };
// After this multiple of the bound without a read, the complete listing is smaller than the changes since.
constexpr int CompleteReadBounds = 2;
// The complete reads after a rise of the store's era are spread over this share of the bound.
constexpr double RecoverySpreadShareOfBound = 0.2;
constexpr std::size_t MaximumLoggedKeyBytes = 64;
// A peer that has never known its configuration to be the newest counts as one that knew it this long ago.
constexpr Duration OldestConfirmation = std::chrono::hours { 24 };

std::string_view streamName(KeyedStream stream)
{
    return stream == KeyedStream::Configuration ? "configuration" : "targets";
}

Duration pollWait(const ViewFollowerSettings& settings)
{
    return std::chrono::duration_cast<Duration>(settings.configurationBound * PollWaitShareOfBound);
}

ReadScheduleSettings scheduleSettings(const ViewFollowerSettings& settings, KeyedStream stream)
{
    if (stream == KeyedStream::Configuration)
        return { settings.configurationBound, settings.retryDelay, pollWait(settings) };
    return { settings.targetsBound, settings.retryDelay, Duration::zero() };
}

}

ViewFollower::ViewFollower(asio::io_context& context, const Clock& clock, PlatformStore& store,
    const RecordDecoder& decoder, ServingView& view, EventLog& log, MetricsRegistry& metrics,
    ViewFollowerSettings settings, std::mt19937_64 random)
    : context(context)
    , clock(clock)
    , store(store)
    , decoder(decoder)
    , view(view)
    , log(log)
    , metrics(metrics)
    , settings(settings)
    , random(random)
    , configurationSchedule(scheduleSettings(settings, KeyedStream::Configuration), std::mt19937_64 { this->random() })
    , targetsSchedule(scheduleSettings(settings, KeyedStream::Targets), std::mt19937_64 { this->random() })
    , records(decoder)
{
    this->view.targets.setReadGapThreshold(settings.targetsBound);
}

void ViewFollower::start(ViewAudience& audience)
{
    this->audience = &audience;
    asio::co_spawn(this->context, this->followConfiguration(), asio::detached);
    asio::co_spawn(this->context, this->followTargets(), asio::detached);
}

void ViewFollower::onColdTarget(std::function<void(const TargetEntry&, Duration)> notify)
{
    this->notifyCold = std::move(notify);
}

void ViewFollower::setSettings(const ViewFollowerSettings& settings)
{
    this->settings = settings;
    this->configurationSchedule.setSettings(scheduleSettings(settings, KeyedStream::Configuration));
    this->targetsSchedule.setSettings(scheduleSettings(settings, KeyedStream::Targets));
    this->view.targets.setReadGapThreshold(settings.targetsBound);
}

ConfigurationArchive& ViewFollower::configurations()
{
    return this->archive;
}

std::vector<KeyedRecord> ViewFollower::targetRecords() const
{
    return this->records.all();
}

Duration ViewFollower::configurationAge(BootTime now) const
{
    return this->view.configurationAge(now).value_or(Duration::max());
}

Duration ViewFollower::targetsAge(BootTime now) const
{
    return this->view.targets.age(now).value_or(Duration::max());
}

ViewSummary ViewFollower::summary(BootTime now) const
{
    return { this->era.current(), this->view.version(), this->configurationAge(now), this->records.digest(),
        this->targetsPosition ? this->targetsPosition->next : 0, this->targetsAge(now), this->operatorOffset(),
        this->evacuation.listed() };
}

// Empty if the evacuated zones are of an earlier era of the store than the rest of the view.
std::optional<std::uint64_t> ViewFollower::operatorOffset() const
{
    const auto position = this->evacuation.position();
    return position && position->era == this->era.current() ? std::optional { position->offset } : std::nullopt;
}

asio::awaitable<void> ViewFollower::followConfiguration()
{
    while (true) {
        const auto rank = this->audience->readerRank();
        const auto age = this->configurationAge(this->clock.bootTime());
        const auto wait = this->configurationSchedule.timeUntilDue(rank, age, this->clock.now());
        if (wait > Duration::zero()) {
            co_await this->pause(wait);
            continue;
        }
        // The view is followed as long as the process runs, whatever a read ends with.
        bool didRead = false;
        try {
            didRead = co_await this->readConfiguration(rank);
        } catch (const std::exception& failure) {
            this->recordException(KeyedStream::Configuration, failure.what());
        }
        if (didRead)
            this->configurationSchedule.recordSuccess();
        else
            this->configurationSchedule.recordFailure(rank, this->clock.now());
    }
}

// Returns whether the store answered with a configuration that is the newest, or with changes before it.
asio::awaitable<bool> ViewFollower::readConfiguration(std::size_t rank)
{
    const auto wait = rank == 0 && this->configurationPosition ? pollWait(this->settings) : Duration::zero();
    const auto startedAt = this->clock.bootTime();
    this->dropOutdated(this->configurationPosition);
    // A configuration of a peer that is installed meanwhile resets the position.
    const bool isListing = !this->configurationPosition;
    const auto from = this->configurationPosition ? this->configurationPosition->next : 0;
    const auto era = this->era.current();
    auto page = co_await this->read(KeyedStream::Configuration, this->configurationPosition, wait);
    this->recordCall(KeyedStream::Configuration, page ? std::nullopt : std::optional { page.error() });
    this->recordConfigurationRead(rank, startedAt, page);
    if (!page) {
        if (page.error() != PlatformError::Trimmed)
            co_return false;
        this->configurationPosition.reset();
        co_return true;
    }
    const auto& content = page.value();
    const auto verdict = this->acceptStoreEra(content.era, era);
    if (verdict == StoreEra::Verdict::Rejected)
        co_return false;
    if (verdict != StoreEra::Verdict::Current && this->configurationPosition) {
        this->configurationPosition.reset();
        co_return true;
    }
    const auto version = this->view.version();
    this->applyEvacuations(content, isListing, startedAt);
    this->applyConfiguration(content);
    this->configurationPosition = { content.era, content.next };
    // Changes of a new era do not continue the zones of the one before, which takes a listing.
    if (!this->operatorOffset())
        this->configurationPosition.reset();
    if (!this->view.configuration())
        co_return false;
    // A long poll that returns without a record shows that there was none for its whole wait.
    if (!content.hasMore)
        this->view.confirmConfiguration(
            content.records.empty() ? std::min(startedAt + wait, this->clock.bootTime()) : startedAt);
    if (this->view.version() != version)
        this->audience->configurationInstalled();
    co_return !content.hasMore || content.next > from;
}

asio::awaitable<void> ViewFollower::followTargets()
{
    while (true) {
        const auto rank = this->audience->readerRank();
        const auto age = this->targetsAge(this->clock.bootTime());
        const auto wait = this->targetsSchedule.timeUntilDue(rank, age, this->clock.now());
        if (wait > Duration::zero()) {
            co_await this->pause(wait);
            continue;
        }
        bool didRead = false;
        try {
            didRead = co_await this->readTargets();
        } catch (const std::exception& failure) {
            this->recordException(KeyedStream::Targets, failure.what());
        }
        if (didRead)
            this->targetsSchedule.recordSuccess();
        else
            this->targetsSchedule.recordFailure(rank, this->clock.now());
    }
}

// Returns whether the store answered.
asio::awaitable<bool> ViewFollower::readTargets()
{
    const auto startedAt = this->clock.bootTime();
    if (this->targetsPosition
        && this->targetsAge(startedAt) > this->newListingDelay(this->targetsPosition->listingTook))
        this->targetsPosition.reset();
    this->dropOutdated(this->targetsPosition);
    if (!this->targetsPosition) {
        const bool didRead = co_await this->readListingPart();
        co_return didRead;
    }
    this->listing.reset();
    const auto from = this->targetsPosition->next;
    const auto listingTook = this->targetsPosition->listingTook;
    const auto era = this->era.current();
    auto page = co_await this->read(KeyedStream::Targets, this->targetsPosition, Duration::zero());
    this->recordCall(KeyedStream::Targets, page ? std::nullopt : std::optional { page.error() });
    if (!page) {
        if (page.error() != PlatformError::Trimmed)
            co_return false;
        this->targetsPosition.reset();
        co_return true;
    }
    const auto& content = page.value();
    const auto verdict = this->acceptStoreEra(content.era, era);
    if (verdict == StoreEra::Verdict::Rejected)
        co_return false;
    if (verdict != StoreEra::Verdict::Current) {
        // The offset is of another era, so the page is an arbitrary part of the new contents.
        this->targetsPosition.reset();
        std::uniform_real_distribution<double> share { 0, RecoverySpreadShareOfBound };
        co_await this->pause(std::chrono::duration_cast<Duration>(this->settings.targetsBound * share(this->random)));
        co_return true;
    }
    const auto changes = this->applyTargets(content.records, false, startedAt);
    this->targetsPosition = { content.era, content.next, content.hasMore ? listingTook : Duration::zero() };
    if (!content.hasMore)
        this->view.targets.recordRead(startedAt);
    this->audience->targetsRead(changes);
    co_return !content.hasMore || content.next > from;
}

// Returns the age of a view, or the pause of a listing, after which a new listing is read. A listing that takes longer
// than the bound leaves as long a time for the changes since, or for its next part; otherwise it would never be of use.
Duration ViewFollower::newListingDelay(Duration listingTook) const
{
    return std::max(this->settings.targetsBound, listingTook) * CompleteReadBounds;
}

// Reads the next part of the complete listing, and installs the listing after the last one. After a failure the parts
// that were read are kept for the next attempt: when many instances read at once, the store refuses some of their
// calls, and listings that began anew would only add to them. Returns whether the store answered.
asio::awaitable<bool> ViewFollower::readListingPart()
{
    const auto startedAt = this->clock.bootTime();
    this->dropOutdatedListing(startedAt);
    const bool isFirst = !this->listing;
    std::string after = isFirst ? std::string {} : this->listing->page.records.back().key;
    const auto era = this->era.current();
    auto part = co_await this->store.newestPart(KeyedStream::Targets, std::move(after));
    this->recordCall(KeyedStream::Targets, part ? std::nullopt : std::optional { part.error() });
    if (!part || this->acceptStoreEra(part.value().era, era) == StoreEra::Verdict::Rejected)
        co_return false;
    auto& content = part.value();
    if (isFirst) {
        this->listing = Listing { std::move(content), startedAt, this->clock.bootTime() };
    } else if (content.era == this->listing->page.era) {
        // Later parts may have higher offsets. Reading continues at the first part's, so that records written between
        // the parts are not missed.
        this->listing->page.hasMore = content.hasMore;
        this->listing->grownAt = this->clock.bootTime();
        std::ranges::move(content.records, std::back_inserter(this->listing->page.records));
    }
    this->dropOutdatedListing(this->clock.bootTime());
    if (this->listing && !this->listing->page.hasMore)
        this->installListing();
    co_return true;
}

// Forgets parts of another era, parts that no further one followed for long, and those that are older than a list that
// a peer has sent meanwhile. A listing that goes on is read to its end however long it takes.
void ViewFollower::dropOutdatedListing(BootTime now)
{
    if (!this->listing)
        return;
    const auto& [page, startedAt, grownAt] = *this->listing;
    if (page.era != this->era.current() || now - grownAt > this->newListingDelay(grownAt - startedAt)
        || now - startedAt > this->targetsAge(now))
        this->listing.reset();
}

void ViewFollower::installListing()
{
    const auto complete = std::move(*this->listing);
    this->listing.reset();
    const auto changes = this->applyTargets(complete.page.records, true, complete.startedAt);
    this->targetsPosition = { complete.page.era, complete.page.next, this->clock.bootTime() - complete.startedAt };
    this->view.targets.recordRead(complete.startedAt);
    this->audience->targetsRead(changes);
}

asio::awaitable<PlatformResult<KeyedPage>> ViewFollower::read(
    KeyedStream stream, const std::optional<Position>& position, Duration wait)
{
    if (position)
        return this->store.changes(stream, position->next, wait);
    return this->store.newest(stream);
}

asio::awaitable<void> ViewFollower::pause(Duration duration)
{
    asio::steady_timer timer { this->context, duration };
    co_await timer.async_wait(asio::use_awaitable);
}

// Forgets a position of another era, which another stream or a peer has shown to be over.
void ViewFollower::dropOutdated(std::optional<Position>& position) const
{
    if (position && position->era != this->era.current())
        position.reset();
}

// `whenAsked` is the era at the beginning of the call.
StoreEra::Verdict ViewFollower::acceptStoreEra(std::uint64_t era, std::uint64_t whenAsked)
{
    const auto previous = this->era.current();
    const auto verdict = this->era.acceptFromStore(era, whenAsked);
    if (verdict == StoreEra::Verdict::Refuted) {
        this->log.write("store_era_refuted", { { "era", era }, { "previous", previous } });
        this->evacuation.forgetPosition(this->clock.bootTime());
    }
    if (verdict == StoreEra::Verdict::Risen)
        this->beginRecovery("platform", previous);
    return verdict;
}

// Returns whether a peer's view is of the current era.
bool ViewFollower::acceptPeerEra(std::uint64_t era, std::string_view source)
{
    const auto previous = this->era.current();
    const auto verdict = this->era.acceptFromPeer(era);
    if (verdict == StoreEra::Verdict::Risen)
        this->beginRecovery(source, previous);
    return verdict != StoreEra::Verdict::Rejected;
}

// The store came back from an older copy: its offsets are void, and what it lost is written again within moments, so
// nothing that is missing now is taken as removed before that.
void ViewFollower::beginRecovery(std::string_view source, std::uint64_t previousEra)
{
    this->log.write(
        "store_restored", { { "source", source }, { "era", this->era.current() }, { "previous", previousEra } });
    this->view.targets.beginRecovery(this->clock.bootTime());
}

void ViewFollower::applyConfiguration(const KeyedPage& page)
{
    // Only the newest of several versions is decoded, unless it is invalid.
    for (const auto& record : page.records | std::views::reverse) {
        if (record.value && this->installConfiguration(record, "platform"))
            return;
    }
}

// Takes the evacuated zones from a page of the operator's records, which is a complete listing or the changes since the
// last read.
void ViewFollower::applyEvacuations(const KeyedPage& page, bool isListing, BootTime readAt)
{
    std::vector<ZoneEvacuation> changes;
    for (const auto& record : page.records) {
        std::string problem;
        if (auto change = this->decoder.zoneEvacuation(record, problem))
            changes.push_back(std::move(*change));
        if (!problem.empty())
            this->log.write("zone_evacuation_rejected",
                { { "key", truncateUtf8(record.key, MaximumLoggedKeyBytes) }, { "problem", problem } });
    }
    const EvacuatedZones::Position position { page.era, page.next };
    bool isChanged = false;
    if (isListing) {
        ZoneNames listed;
        for (auto& change : changes) {
            if (change.isEvacuated)
                listed.insert(std::move(change.availabilityZone));
        }
        isChanged = this->evacuation.replace(std::move(listed), position, readAt);
    } else {
        isChanged = this->evacuation.applyChanges(changes, position, readAt);
    }
    if (!isChanged)
        return;
    this->installEvacuation("platform");
    this->audience->evacuationChanged();
}

// Puts the evacuated zones in force.
void ViewFollower::installEvacuation(std::string_view source)
{
    const auto& zones = this->evacuation.inForce();
    // Zones whose grace period ends may outlast the position.
    const auto position = this->evacuation.position().value_or(EvacuatedZones::Position {});
    const auto record = [&](std::string_view event, std::string_view zone) {
        this->log.write(
            event, { { "zone", zone }, { "source", source }, { "offset", position.offset }, { "era", position.era } });
    };
    for (const auto& zone : zones) {
        if (!this->installedZones.contains(zone))
            record("zone_evacuated", zone);
    }
    for (const auto& zone : this->installedZones) {
        if (!zones.contains(zone))
            record("zone_evacuation_ended", zone);
    }
    this->installedZones = zones;
    this->view.targets.setEvacuatedZones(zones);
    this->metrics.gauge("marigold_evacuated_zones").set(static_cast<double>(zones.size()));
}

bool ViewFollower::installConfiguration(const KeyedRecord& record, std::string_view source)
{
    const auto startedAt = this->clock.bootTime();
    std::string problem;
    std::optional<ServingConfiguration> configuration;
    try {
        configuration = this->decoder.configuration(record, problem);
    } catch (const std::exception& failure) {
        problem = failure.what();
    }
    if (!configuration && problem.empty())
        return false;
    if (!configuration) {
        this->log.write(
            "configuration_rejected", { { "source", source }, { "key", record.key }, { "problem", problem } });
        this->metrics.counter("marigold_configurations_rejected_total").increment();
        return false;
    }
    const auto version = configuration->version;
    const auto previous = this->view.version();
    const auto routes = static_cast<std::uint64_t>(configuration->routes.size());
    if (!this->view.install(std::move(*configuration)))
        return true;
    this->archive.add(record);
    // The changes since the last read begin with versions up to this one; the newest record alone is smaller.
    this->configurationPosition.reset();
    this->log.write("configuration_installed",
        { { "source", source }, { "version", version }, { "previous", previous }, { "routes", routes },
            { "bytes", std::uint64_t { record.value->size() } }, { "took_ms", this->clock.bootTime() - startedAt } });
    return true;
}

void ViewFollower::applyPeerView(const ViewSummary& peer, const std::vector<KeyedRecord>& changes)
{
    const auto now = this->clock.bootTime();
    // A version is in force whether or not the store still has it.
    this->view.recordKnownVersion(peer.configurationVersion, now);
    if (!this->acceptPeerEra(peer.era, "peer"))
        return;
    if (peer.operatorOffset) {
        const auto knownAt = now - std::min(peer.configurationAge, OldestConfirmation) - TransitAllowance;
        if (this->evacuation.replace(peer.evacuatedZones, { peer.era, *peer.operatorOffset }, knownAt))
            this->installEvacuation("peer");
        // A peer that does not follow the evacuated zones confirms nothing: this instance would rely on it for them.
        if (peer.configurationVersion == this->view.version() && peer.configurationAge < Duration::max())
            this->view.confirmConfiguration(knownAt);
    }
    if (peer.targetsAge == Duration::max() || peer.targetsAge + TransitAllowance >= this->targetsAge(now))
        return;
    const auto readAt = now - peer.targetsAge - TransitAllowance;
    if (!changes.empty() && peer.targetsDigest != this->records.digest())
        this->applyTargets(changes, false, readAt);
    if (peer.targetsDigest != this->records.digest())
        return;
    this->targetsPosition = { peer.era, peer.targetsOffset };
    this->view.targets.recordRead(readAt);
}

void ViewFollower::installTargets(
    const std::vector<KeyedRecord>& records, const ViewSummary& peer, std::string_view source)
{
    const auto now = this->clock.bootTime();
    if (!this->acceptPeerEra(peer.era, source) || this->targetsAge(now) <= peer.targetsAge)
        return;
    this->log.write("targets_from_peer",
        { { "source", source }, { "targets", static_cast<std::uint64_t>(records.size()) },
            { "age_ms", peer.targetsAge } });
    this->applyTargets(records, true, now - peer.targetsAge);
    this->targetsPosition = { peer.era, peer.targetsOffset };
    this->view.targets.recordRead(now - peer.targetsAge);
}

// Returns the registrations that differ from those held before.
std::vector<KeyedRecord> ViewFollower::applyTargets(
    const std::vector<KeyedRecord>& records, bool isComplete, BootTime readAt)
{
    std::vector<KeyedRecord> changed;
    const bool isFirstListing = !this->view.targets.age(readAt);
    for (auto& change : this->records.apply(records, isComplete)) {
        const auto* known = change.entry ? this->view.targets.find(change.entry->id) : nullptr;
        const bool isNewStart
            = change.entry && !isFirstListing && (!known || known->incarnation < change.entry->incarnation);
        if (change.entry)
            this->reportCold(*change.entry, isNewStart, readAt);
        if (change.entry && this->view.targets.upsert(*change.entry, readAt))
            this->log.write("target_changed",
                { { "target", change.entry->id }, { "service", change.entry->service },
                    { "address", change.entry->address }, { "leaving", change.entry->isLeaving },
                    { "born", change.entry->incarnation } });
        else if (!change.record.value && this->view.targets.remove(change.record.key, readAt))
            this->log.write("target_removed", { { "target", change.record.key } });
        if (!change.problem.empty()) {
            this->metrics.counter("marigold_target_entries_rejected_total").increment();
            this->log.write("target_rejected",
                { { "key", truncateUtf8(change.record.key, MaximumLoggedKeyBytes) }, { "problem", change.problem } });
        }
        if (change.changesList)
            changed.push_back(std::move(change.record));
    }
    return changed;
}

// The registration was read some time ago if a peer has passed it on.
void ViewFollower::reportCold(const TargetEntry& entry, bool isNewStart, BootTime readAt) const
{
    if (!this->notifyCold || (entry.warmUpPeriod <= Duration::zero() && !isNewStart))
        return;
    const auto remaining = entry.warmUpPeriod - (this->clock.bootTime() - readAt);
    if (remaining > Duration::zero() || isNewStart)
        this->notifyCold(entry, std::max(Duration::zero(), remaining));
}

// Logs a read of the configuration that failed or brought records. Most reads find no change.
void ViewFollower::recordConfigurationRead(
    std::size_t rank, BootTime startedAt, const PlatformResult<KeyedPage>& page) const
{
    if (page && page.value().records.empty())
        return;
    std::uint64_t bytes = 0;
    if (page) {
        for (const auto& record : page.value().records)
            bytes += record.value ? record.value->size() : 0;
    }
    const auto now = this->clock.bootTime();
    this->log.write("configuration_read",
        { { "outcome", page ? std::string_view { "ok" } : name(page.error()) },
            { "rank", static_cast<std::uint64_t>(rank) }, { "bytes", bytes }, { "took_ms", now - startedAt },
            { "version", this->view.version() }, { "newest_known", this->view.newestKnownVersion() },
            { "age_ms", this->view.configurationAge(now).value_or(Duration::zero()) } });
}

void ViewFollower::recordException(KeyedStream stream, std::string_view problem)
{
    this->metrics
        .counter("marigold_view_read_exceptions_total", "stream=\"" + std::string { streamName(stream) } + "\"")
        .increment();
    this->log.write("view_read_failed", { { "stream", streamName(stream) }, { "problem", problem } });
}

void ViewFollower::recordCall(KeyedStream stream, std::optional<PlatformError> failure)
{
    const auto outcome = failure ? name(*failure) : std::string_view { "ok" };
    this->metrics
        .counter("marigold_platform_calls_total",
            "stream=\"" + std::string { streamName(stream) } + "\",outcome=\"" + std::string { outcome } + "\"")
        .increment();
    auto [position, isNew] = this->connected.try_emplace(stream, true);
    const bool isConnected = !failure || *failure == PlatformError::Trimmed;
    if (position->second == isConnected)
        return;
    position->second = isConnected;
    this->log.write(isConnected ? "platform_regained" : "platform_lost",
        { { "stream", streamName(stream) }, { "outcome", outcome } });
}

}
