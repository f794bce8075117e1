#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// What a peer states about requests that it accepts from other instances.
struct RelayPeer {
    std::string address; // "IP:port"; empty if it accepts none.
    std::string availabilityZone;
    std::set<std::uint64_t> unreachableServices {}; // Hashes of the names of services of which it reaches no target.
    unsigned relayedRequests { 0 }; // Requests of other instances in progress there.
    bool isLeaving { false }; // It accepts no new requests and ends those in progress.
};

// Chooses the peers through which an instance without a path to any target of a service serves its callers. Pure
// computation, no I/O.
//
// Peers of the local availability zone come first, unless most of them are cut off as well: the few others would then
// carry the whole zone. Of two peers drawn at random the one with fewer relayed requests is chosen, and the number of
// requests in progress at one peer is limited, so that the peers are not flooded.
class RelayPeers {
public:
    // Requests of this instance in progress at one peer.
    static constexpr std::size_t MaximumOutstanding = 64;
    // A peer that could not be reached, or reaches no target itself, is avoided for this time.
    static constexpr Duration FailureAvoidance = std::chrono::seconds { 1 };
    // A peer that is busy or has an older configuration is avoided for this time.
    static constexpr Duration BusyAvoidance = std::chrono::milliseconds { 100 };

    RelayPeers(std::string availabilityZone, std::mt19937_64 random);

    // Records what the peer `name` states; it holds for `validity`.
    void update(std::string_view name, RelayPeer peer, TimePoint now, Duration validity);

    // Returns the address of a peer that is not in `excluded`. Empty if no peer reaches targets of the service and
    // accepts requests.
    std::optional<std::string> choose(std::string_view service, const std::set<std::string>& excluded, TimePoint now);

    // Whether the peer with this address ends the requests for the service that it has accepted, as far as is known: it
    // is alive and reaches targets.
    bool isSound(std::string_view address, std::string_view service, TimePoint now) const;

    // Number of peers through which requests for the service could be served.
    std::size_t soundPeers(std::string_view service, TimePoint now) const;

    static std::uint64_t serviceHash(std::string_view service);

    // Makes choose() avoid the peer for a time.
    void avoid(std::string_view address, TimePoint now, Duration period);

    // Counts a request in progress at the peer with this address for as long as the object exists.
    class Permit {
    public:
        Permit(RelayPeers& peers, std::string address);
        ~Permit();
        Permit(const Permit&) = delete;
        Permit& operator=(const Permit&) = delete;

    private:
        RelayPeers& peers;
        std::string address;
    };

private:
    struct Entry {
        RelayPeer peer;
        TimePoint validUntil {};
    };

    static bool isSound(const Entry& entry, std::uint64_t service, TimePoint now);
    static bool isUsable(const Entry& entry, std::uint64_t service, TimePoint now);
    std::size_t load(const RelayPeer& peer) const;

    std::string availabilityZone;
    std::mt19937_64 random;
    std::map<std::string, Entry, std::less<>> entries; // By name.
    std::map<std::string, TimePoint, std::less<>> avoidedUntil; // By address.
    std::map<std::string, std::size_t, std::less<>> outstanding; // By address.
};

}
