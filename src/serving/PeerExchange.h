#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "marigold_types.h"
#include "serving/TargetLimits.h"

namespace marigoldpaddle {

// Command to send the current load notice of this instance to a peer.
struct SendNotice {
    std::string address;
};

// Command to fetch platform records from a peer whose records are newer.
struct FetchRecords {
    std::string address;
    bool wantsTargets { false };
    bool wantsConfiguration { false };
};

using PeerCommand = std::variant<SendNotice, FetchRecords>;
using PeerCommands = std::vector<PeerCommand>;

// Versions of this instance's platform records, for comparison with those of peers.
struct LocalState {
    std::uint64_t configurationVersion { 0 };
    Duration targetsAge {}; // Duration::max() without any view of the targets.
};

// Decides which peers receive this instance's load notices and from which peers platform records are fetched. Pure
// computation, no I/O.
//
// Notices go to all live peers when something changed, at a rate that keeps the control traffic of one instance within
// its budget. With more peers than that allows, peers of the local availability zone come first, in turn, since they
// share its engines, and each notice also goes to a random few of the others. A placed prompt is announced at once, to
// all who place on the same engines: peers follow a swing between short and long prompts, and many instances that see
// the same free engine do not all choose it. Every notice also states the view of the platform; what one instance
// has read is announced to its zone, and an instance whose view is older or different fetches the records from a peer.
class PeerExchange {
public:
    // Maximum recipients in one period.
    static constexpr std::size_t Fanout = 24;
    // Of these, recipients in other availability zones once there are more peers than the fanout.
    static constexpr std::size_t RemoteZoneFanout = 4;
    // Added to the period for each recipient.
    static constexpr Duration PeriodPerDatagram = std::chrono::milliseconds { 20 };
    // Period with more peers than the fanout. These notices only end the work that peers know of; they are 24 datagrams
    // of some 350 bytes, 9 KB/s.
    static constexpr Duration CrowdedPeriod = std::chrono::seconds { 1 };
    static constexpr Duration ShortestPeriod = std::chrono::milliseconds { 100 };
    // Without changes, a notice is sent this often as a heartbeat.
    static constexpr Duration IdlePeriod = std::chrono::milliseconds { 500 };
    // Token bucket, in datagrams, for notices sent at once after a prompt was placed. A crest of 3 prompts a second and
    // 25 peers needs 77; with fewer, instances place on engines whose load they do not know.
    static constexpr double NoticeBurst = 400;
    static constexpr double NoticesPerSecond = 150;
    // Interval between notices to known addresses without a live peer.
    static constexpr Duration ContactPeriod = std::chrono::seconds { 1 };
    // Shorter interval right after the start, when peers may be starting as well.
    static constexpr Duration StartupContactPeriod = std::chrono::milliseconds { 100 };
    static constexpr Duration StartupPeriod = std::chrono::seconds { 3 };
    // Peers without a notice for this long are removed, except seeds.
    static constexpr Duration PeerExpiry = std::chrono::seconds { 60 };
    // Minimum interval between two fetches of the same records.
    static constexpr Duration FetchInterval = std::chrono::milliseconds { 400 };
    // The first fetch of newer records is delayed at random by up to this time for each live peer of the zone. Most of
    // them then find several sources, where all would ask the one reader at once.
    static constexpr Duration FetchSpreadPerPeer = std::chrono::milliseconds { 5 };
    // Lists of targets that an instance sends at the same time. With two, the link is in use while one of the receivers
    // processes its list.
    static constexpr std::size_t ConcurrentTransfers = 2;

    // `self` is the address where peers reach this instance; `seeds` are addresses that may be outdated.
    // `targetsBound` is the time within which a leaving target has to be known.
    PeerExchange(std::string self, std::string availabilityZone, std::vector<std::string> seeds, Duration targetsBound,
        std::mt19937_64 random);

    // Takes effect with the next tick().
    void setTargetsBound(Duration bound);

    // Processes a received notice. Returns false if it has no sender, was sent by this instance, or is not newer than
    // the last one from its sender.
    bool receive(const wire::LoadNotice& notice, TimePoint now);

    // Returns commands to notify peers that have become live since the last call, so that instances that start together
    // discover each other soon.
    PeerCommands replyToNewPeers(TimePoint now);

    // Returns the commands due now. `didChange` states whether the loads changed since the last notice.
    PeerCommands tick(const LocalState& own, bool didChange, TimePoint now);

    // Returns commands to fetch records that are newer than `own` and due now. Also part of tick(); called in between,
    // an instance without a list of targets does not wait for the next period to fetch one.
    PeerCommands fetchNewerRecords(const LocalState& own, TimePoint now);

    // Ends the fetch of a configuration that a command has started. There is one at a time.
    void endConfigurationFetch();

    // Where a source of records is looked for first.
    enum class SourcePreference { LocalZone, OtherZones };

    // Returns a random live peer with a configuration newer than `version`, except those in `excluded` and those that
    // have not answered since their last notice. Peers that were heard of lately come first, of these the preferred
    // ones. Empty if there is none.
    std::optional<std::string> configurationSource(
        std::uint64_t version, const std::set<std::string>& excluded, SourcePreference preference, TimePoint now);

    // Records that a peer did not answer a fetch. It is a source again from its next notice on, and before that only if
    // there is no other one.
    void recordNoAnswer(std::string_view address);

    // Ends the fetch of a list of targets that a command has started. There is one at a time. After `wasBusy`, the next
    // one may start at once, from a source that is drawn anew.
    void endTargetsFetch(bool wasBusy);

    // How long a peer's request waits for a transfer slot of this instance before it is told that this one is busy. By
    // then other instances have the list too.
    Duration transferWait() const;

    // Time for sending a list, after which the receiver gives up and the slot is free again.
    Duration transferTimeout() const;

    // Returns commands to notify peers of a placed prompt at once; none if that would exceed the traffic budget.
    PeerCommands notifyNow(TimePoint now);

    // Returns commands to notify all live peers of the local zone that this instance has read the platform.
    PeerCommands announceView(TimePoint now);

    // Returns commands to notify all live peers, for news that are rare and urgent.
    PeerCommands notifyAll(TimePoint now);

    // Number of live peers of the local zone that precede this instance in an order that all of them agree on.
    std::size_t readerRank(TimePoint now) const;

    // The live peers. The views refer to this object and are valid until it changes.
    std::vector<LimitSharer> liveSharers(TimePoint now) const;

    // Number of live peers.
    std::size_t livePeers(TimePoint now) const;

    // Whether there are more live peers than one notice goes to.
    bool isCrowded(TimePoint now) const;

    // Random known addresses that a notice passes on, for peer discovery.
    std::vector<std::string> addressSample();

    // Validity of the next notice at its receivers.
    Duration validity(TimePoint now) const;

private:
    struct Peer {
        std::string availabilityZone {};
        std::int64_t incarnation { 0 };
        std::int64_t sequence { 0 };
        std::uint64_t configurationVersion { 0 };
        TimePoint targetsReadAt {}; // The epoch while it has no view of the targets.
        TimePoint lastSeenAt {}; // The epoch until the first notice from the peer.
        TimePoint lastContactAt {};
        TimePoint firstKnownAt {};
        Duration validity { std::chrono::seconds { 2 } };
        bool isSeed { false };
        bool hasNotAnswered { false }; // A fetch since its last notice.
    };

    using Peers = std::map<std::string, Peer, std::less<>>;

    bool isLive(const Peer& peer, TimePoint now) const;
    bool isLocal(const Peer& peer) const;
    Duration period(TimePoint now) const;
    struct LivePeers {
        std::vector<std::string_view> local; // Of this availability zone.
        std::vector<std::string_view> remote;
    };

    LivePeers livePeersByZone(TimePoint now) const;
    std::vector<std::string_view> nextLocalRecipients(const std::vector<std::string_view>& local, std::size_t count);
    void notifyLivePeers(PeerCommands& commands, TimePoint now);
    void contactSilentPeers(PeerCommands& commands, TimePoint now);
    bool mayFetchConfiguration(const LocalState& own, TimePoint now);
    bool mayFetchTargets(const LocalState& own, TimePoint now);
    bool hasNewerConfiguration(const Peer& peer, std::uint64_t version) const;
    // Lower for a peer that is asked earlier.
    int sourceRank(const Peer& peer, SourcePreference preference, TimePoint now) const;
    // Returns one of the peers that are asked first, at random; the end of `peers` if no live one is a candidate.
    Peers::const_iterator drawSource(
        const std::function<bool(const Peers::value_type&)>& isCandidate, SourcePreference preference, TimePoint now);
    bool hasUsefulTargets(const Peer& peer, const LocalState& own, TimePoint now) const;
    Duration staleTargetsAge() const;
    Duration drawFetchDelay(TimePoint now);

    std::string self;
    std::string availabilityZone;
    Peers peers;
    std::vector<std::string> newPeers; // Peers that became live since the last replyToNewPeers().
    std::mt19937_64 random;
    TimePoint startedAt {};
    TimePoint lastNoticeAt {};
    TimePoint lastRefill {};
    double noticeTokens { NoticeBurst };
    std::string lastLocalRecipient; // Of the last periodic notice; the next ones go to those that follow it.
    TimePoint lastConfigurationFetch {};
    TimePoint lastTargetsFetch {};
    Duration targetsBound;
    std::optional<TimePoint> fetchConfigurationFrom; // Set while a peer has a newer configuration than this instance.
    std::optional<TimePoint> fetchTargetsFrom; // Set while a peer has a list of targets that this instance needs.
    bool isFetchingTargets { false };
    bool isFetchingConfiguration { false };
};

}
