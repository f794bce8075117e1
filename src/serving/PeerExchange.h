#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "marigold_types.h"

namespace marigoldpaddle {

// Send the instance's current notice to a peer.
struct SendNotice {
    std::string address;
};

// Ask a peer for platform records that it has and this instance lacks.
struct FetchRecords {
    std::string address;
    bool wantsTargets { false };
};

using PeerCommand = std::variant<SendNotice, FetchRecords>;
using PeerCommands = std::vector<PeerCommand>;

// What this instance knows from the platform, as far as peers are concerned.
struct OwnKnowledge {
    std::uint64_t configurationVersion { 0 };
    Duration targetsAge {}; // Duration::max() without any view.
};

// Decides whom to tell about this instance's loads and whom to ask for platform records. A pure core.
//
// Notices go to all live peers when something changed, at a pace that keeps the bytes of one instance below its budget
// for control. With more peers than that allows, those of the own availability zone come first, since they share its
// engines, and a random few of the others are told each time. Answers the swing between short and long prompts (a
// placed prompt is told at once), and a platform that turns some instances away (these ask the others).
class PeerExchange {
public:
    // Peers told in one period at most; 24 datagrams of up to 300 bytes every half second stay within 12 KB a second.
    static constexpr std::size_t Fanout = 24;
    // Of these, peers in other availability zones once there are more peers than the fanout.
    static constexpr std::size_t FarFanout = 4;
    // The time that each datagram adds to the period.
    static constexpr Duration DatagramShare = std::chrono::milliseconds { 20 };
    static constexpr Duration ShortestPeriod = std::chrono::milliseconds { 100 };
    // Without changes, peers hear this often that the instance lives.
    static constexpr Duration IdlePeriod = std::chrono::milliseconds { 500 };
    // A placed prompt is told at once while this many datagrams may go out: refilled at the pace of the budget.
    static constexpr double NudgeBurst = 200;
    static constexpr double NudgesPerSecond = 50;
    // Contacts that never answered, or fell silent, are tried this often.
    static constexpr Duration ContactPeriod = std::chrono::seconds { 1 };
    // Until the first answer of a peer, which may be starting as well.
    static constexpr Duration FirstContactPeriod = std::chrono::milliseconds { 100 };
    static constexpr Duration FirstContacts = std::chrono::seconds { 3 };
    static constexpr Duration ForgetAfter = std::chrono::seconds { 60 };
    // A view of the targets that is older is refreshed from a peer with a newer one.
    static constexpr Duration StaleTargets = std::chrono::milliseconds { 1500 };
    static constexpr Duration FetchPause = std::chrono::milliseconds { 400 };

    // `self` is the address that peers reach this instance at; `seeds` are addresses that may be stale.
    PeerExchange(
        std::string self, std::string availabilityZone, std::vector<std::string> seeds, std::mt19937_64 random);

    // Takes a notice. False when it is older than one that was taken, or from this instance itself.
    bool receive(const wire::LoadNotice& notice, TimePoint now);

    // Answers a peer that was not live before at once, so that instances which start together soon know each other.
    PeerCommands greet(TimePoint now);

    // Lets time pass. `didChange` tells whether the loads changed since the last notice.
    PeerCommands tick(const OwnKnowledge& own, bool didChange, TimePoint now);

    // Tells at once about a prompt that was placed, as far as the budget allows.
    PeerCommands nudge(TimePoint now);

    // Peers heard of lately.
    std::size_t livePeers(TimePoint now) const;

    // Addresses that a notice passes on, so that peers find each other.
    std::vector<std::string> introductions();

    // For how long the next notice counts at its receiver.
    Duration validity(TimePoint now) const;

private:
    struct Peer {
        std::string availabilityZone {};
        std::int64_t incarnation { 0 };
        std::int64_t sequence { 0 };
        std::uint64_t configurationVersion { 0 };
        Duration targetsAge { Duration::max() };
        TimePoint heardAt {}; // The epoch while it was never heard.
        TimePoint triedAt {};
        TimePoint knownSince {};
        Duration validity { std::chrono::seconds { 2 } };
        bool isSeed { false };
    };

    bool isLive(const Peer& peer, TimePoint now) const;
    Duration period(TimePoint now) const;
    void tellLivePeers(PeerCommands& commands, TimePoint now);
    void tryContacts(PeerCommands& commands, TimePoint now);
    void askPeers(PeerCommands& commands, const OwnKnowledge& own, TimePoint now);

    std::string self;
    std::string availabilityZone;
    std::map<std::string, Peer, std::less<>> peers;
    std::vector<std::string> newcomers; // Heard for the first time, or again after silence.
    std::mt19937_64 random;
    TimePoint startedAt {};
    TimePoint lastTold {};
    TimePoint lastRefill {};
    double nudges { NudgeBurst };
    TimePoint lastFetch {};
};

}
