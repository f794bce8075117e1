#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Unfinished work at a target.
struct TargetLoad {
    double backlogMs { 0 }; // Prefill time still to be done.
    unsigned running { 0 }; // Requests that occupy a batch slot, in prefill or decode.
    unsigned answers { 0 }; // Of `running`, requests that the target answers itself, not parts for others.
    double answerWeight { 0 }; // Sum of the weights of these answers; about 1 for a short prompt.
    unsigned longPrefills { 0 }; // Of `running`, long prompts or parts whose prefill has not finished.
    std::int64_t memoryTokens { 0 };
    Duration tightestGap { Duration::max() }; // Smallest gap objective among the answers.

    TargetLoad& operator+=(const TargetLoad& other);
    bool operator==(const TargetLoad&) const = default;
};

// Work of one request on one target.
struct TargetWork {
    double prefillMs { 0 };
    std::int64_t memoryTokens { 0 };
    bool isLong { false };
    bool isAnswer { true }; // False for a part that is prefilled as a helper.
    Duration gapObjective { Duration::max() }; // Between two events of the answer.
    double weight { 1 }; // Of the answer.
};

// Sums up the unfinished work that this instance and its peers have sent to each target. Load reports of the targets
// are some hundred milliseconds old, while sent work is recorded at once. The sums therefore follow a swing between
// short and long prompts within a second, where outdated reports would make every instance choose the same idle target.
// Pure computation, no I/O.
class LoadLedger {
public:
    using Handle = std::uint64_t;

    // Records work as sent, until end().
    Handle begin(std::string_view target, const TargetWork& work, TimePoint now);

    // Records the end of prefill. Memory and batch slot stay occupied.
    void markPrefilled(Handle handle);
    void end(Handle handle);

    // Whether a peer's report has the loads of all its targets or only of some.
    enum class ReportScope { Complete, Partial };

    // Replaces the loads reported by a peer, or some of them. All of them count for `validity` from now on. Targets are
    // identified by hashOf().
    void updatePeer(std::string_view peer, const std::unordered_map<std::uint64_t, TargetLoad>& loads, TimePoint now,
        Duration validity, ReportScope scope = ReportScope::Complete);

    // Returns the load of a target from this instance and all peers with valid reports.
    TargetLoad total(std::string_view target, TimePoint now) const;

    // Records the share of batch slots in use on the engines of a zone, 0 to 1, as reported by a peer.
    void updateZoneOccupancy(std::string_view availabilityZone, double occupancy, TimePoint now);

    // Returns the last reported occupancy of a zone. Empty without a recent report.
    std::optional<double> zoneOccupancy(std::string_view availabilityZone, TimePoint now) const;

    // Number of peers with valid load reports.
    std::size_t knownPeerCount(TimePoint now) const;

    // Whether a valid report of a peer has work in it.
    bool hasPeerLoads(TimePoint now) const;

    // Returns the loads of this instance alone, by hash of the target.
    std::unordered_map<std::uint64_t, TargetLoad> localLoads(TimePoint now) const;

    // Returns the loads of this instance on the targets that got work since the last call, by hash of the target.
    std::unordered_map<std::uint64_t, TargetLoad> takeChangedLoads(TimePoint now);

    static std::uint64_t hashOf(std::string_view target);

private:
    struct Entry {
        std::uint64_t target { 0 };
        TargetWork work;
        TimePoint expectedPrefilledAt {};
        bool isPrefilled { false };

        TargetLoad load(TimePoint now) const;
    };

    struct ReportedLoad {
        TargetLoad load;
        TimePoint receivedAt {};
    };

    struct Peer {
        std::unordered_map<std::uint64_t, ReportedLoad> loads;
        TimePoint validUntil {};
    };

    struct Zone {
        double occupancy { 0 };
        TimePoint receivedAt {};
    };

    TargetLoad totalOf(std::uint64_t target, TimePoint now) const;
    TargetLoad localLoad(std::uint64_t target, TimePoint now) const;

    std::unordered_map<Handle, Entry> entries;
    std::unordered_map<std::uint64_t, std::vector<Handle>> byTarget;
    std::map<std::string, Peer, std::less<>> peers;
    std::map<std::string, Zone, std::less<>> zones;
    std::unordered_set<std::uint64_t> changedTargets; // Since the last takeChangedLoads().
    Handle lastHandle { 0 };
};

// Ends the recorded work when it goes out of scope.
class LedgerEntry {
public:
    LedgerEntry(LoadLedger& ledger, std::string_view target, const TargetWork& work, TimePoint now)
        : ledger(&ledger)
        , handle(ledger.begin(target, work, now))
    {
    }

    ~LedgerEntry()
    {
        if (this->ledger)
            this->ledger->end(this->handle);
    }

    LedgerEntry(LedgerEntry&& other) noexcept
        : ledger(std::exchange(other.ledger, nullptr))
        , handle(other.handle)
    {
    }

    LedgerEntry(const LedgerEntry&) = delete;
    LedgerEntry& operator=(const LedgerEntry&) = delete;
    LedgerEntry& operator=(LedgerEntry&&) = delete;

    void markPrefilled()
    {
        this->ledger->markPrefilled(this->handle);
    }

private:
    LoadLedger* ledger;
    LoadLedger::Handle handle;
};

}
