#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/Metrics.h"
#include "serving/ConfigurationTransfer.h"
#include "serving/PlatformStore.h"
#include "serving/ReadSchedule.h"
#include "serving/ServingView.h"
#include "serving/StoreEra.h"
#include "serving/TargetRecords.h"

namespace marigoldpaddle {

struct ViewFollowerSettings {
    Duration configurationBound { std::chrono::seconds { 2 } }; // Time within which a change must take effect.
    Duration targetsBound { std::chrono::seconds { 2 } }; // Time that a leaving target still serves.
    Duration retryDelay { std::chrono::milliseconds { 250 } }; // After a failed call.
};

// State of a view of the platform, as instances tell each other with every notice.
struct ViewSummary {
    std::uint64_t era { 0 }; // Of the store that the view was read from.
    std::uint64_t configurationVersion { 0 };
    Duration configurationAge { Duration::max() }; // Since the version was known to be the newest.
    std::uint64_t targetsDigest { 0 };
    std::uint64_t targetsOffset { 0 }; // Up to which the registrations were read.
    Duration targetsAge { Duration::max() }; // Since the registrations were known to be the newest.
    // Up to which the operator's records were read: the configuration and the evacuated zones. Empty if that is not
    // known, as of a peer that does not follow the evacuated zones.
    std::optional<std::uint64_t> operatorOffset {};
    ZoneNames evacuatedZones {}; // As of `operatorOffset`.
};

// Other instances that share what one of them has read.
class ViewAudience {
public:
    virtual ~ViewAudience() = default;

    // Number of live instances of this availability zone that read the platform before this one.
    virtual std::size_t readerRank() const = 0;

    // Called after a configuration was installed.
    virtual void configurationInstalled() = 0;

    // Called after this instance has read from the platform that the evacuated zones changed. What a peer tells is not
    // passed on: the reader of each zone tells all instances, and every notice repeats it.
    virtual void evacuationChanged() = 0;

    // Called after this instance has read the registrations of the targets; `changes` are those that differ.
    virtual void targetsRead(std::span<const KeyedRecord> changes) = 0;
};

// Keeps the view of the platform: reads its keyed streams when the view gets old, and takes what peers have read.
class ViewFollower {
public:
    // Everything that is passed by reference must outlive the follower.
    ViewFollower(boost::asio::io_context& context, const Clock& clock, PlatformStore& store,
        const RecordDecoder& decoder, ServingView& view, EventLog& log, MetricsRegistry& metrics,
        ViewFollowerSettings settings, std::mt19937_64 random);

    // `audience` must outlive the follower.
    void start(ViewAudience& audience);

    // `notify` is called for each registration read that says that its target is cold, with the time that remains, and
    // for each new start of a target after the first listing, with none if the registration does not say so.
    void onColdTarget(std::function<void(const TargetEntry&, Duration)> notify);

    // Takes effect with the next call to the platform.
    void setSettings(const ViewFollowerSettings& settings);

    // The installed configuration record and earlier ones, for peers.
    ConfigurationArchive& configurations();

    // Installs a configuration record, of the platform or from a peer, if it is valid and newer. `source` is logged.
    // Returns whether the record is a valid configuration, of any age.
    bool installConfiguration(const KeyedRecord& record, std::string_view source);

    // The newest records of the targets.
    std::vector<KeyedRecord> targetRecords() const;

    // The view's state at `now`.
    ViewSummary summary(BootTime now) const;

    // Takes from a peer's notice what is newer than this instance's view: changed registrations, and the age of a view
    // with the same contents.
    void applyPeerView(const ViewSummary& peer, const std::vector<KeyedRecord>& changes);

    // Installs a complete list of targets from a peer, unless this instance's own list is at least as new.
    void installTargets(const std::vector<KeyedRecord>& records, const ViewSummary& peer, std::string_view source);

private:
    struct Position {
        std::uint64_t era { 0 };
        std::uint64_t next { 0 };
        Duration listingTook {}; // If the changes since a listing are not read yet: the time that the listing took.
    };

    // The parts of a complete listing of the targets that were read so far.
    struct Listing {
        KeyedPage page;
        BootTime startedAt {}; // Of the read of the first part.
        BootTime grownAt {}; // When the last part was read.
    };

    boost::asio::awaitable<void> followConfiguration();
    boost::asio::awaitable<void> followTargets();
    boost::asio::awaitable<bool> readConfiguration(std::size_t rank);
    boost::asio::awaitable<bool> readTargets();
    boost::asio::awaitable<bool> readListingPart();
    void installListing();
    void dropOutdatedListing(BootTime now);
    Duration newListingDelay(Duration listingTook) const;
    // Reads the changes from `position` on or, without one, the newest record of every key.
    boost::asio::awaitable<PlatformResult<KeyedPage>> read(
        KeyedStream stream, const std::optional<Position>& position, Duration wait);
    boost::asio::awaitable<void> pause(Duration duration);
    void dropOutdated(std::optional<Position>& position) const;
    StoreEra::Verdict acceptStoreEra(std::uint64_t era, std::uint64_t whenAsked);
    bool acceptPeerEra(std::uint64_t era, std::string_view source);
    void beginRecovery(std::string_view source, std::uint64_t previousEra);
    std::optional<std::uint64_t> operatorOffset() const;
    Duration configurationAge(BootTime now) const;
    Duration targetsAge(BootTime now) const;
    std::vector<KeyedRecord> applyTargets(const std::vector<KeyedRecord>& records, bool isComplete, BootTime readAt);
    void reportCold(const TargetEntry& entry, bool isNewStart, BootTime readAt) const;
    void applyConfiguration(const KeyedPage& page);
    void applyEvacuations(const KeyedPage& page, bool isListing, BootTime readAt);
    void installEvacuation(std::string_view source);
    void recordException(KeyedStream stream, std::string_view problem);
    void recordCall(KeyedStream stream, std::optional<PlatformError> failure);
    void recordConfigurationRead(std::size_t rank, BootTime startedAt, const PlatformResult<KeyedPage>& page) const;

    boost::asio::io_context& context;
    const Clock& clock;
    PlatformStore& store;
    const RecordDecoder& decoder;
    ServingView& view;
    EventLog& log;
    MetricsRegistry& metrics;
    ViewFollowerSettings settings;
    std::mt19937_64 random;
    ReadSchedule configurationSchedule;
    ReadSchedule targetsSchedule;
    ViewAudience* audience { nullptr };
    std::function<void(const TargetEntry&, Duration)> notifyCold;
    ConfigurationArchive archive;
    std::optional<Position> configurationPosition;
    std::optional<Position> targetsPosition;
    std::optional<Listing> listing;
    TargetRecords records;
    EvacuatedZones evacuation;
    ZoneNames installedZones; // Of `evacuation`, as put in force last.
    StoreEra era;
    std::map<KeyedStream, bool> connected;
};

}
