#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Work that a target has been given and not yet finished.
struct TargetLoad {
    double backlogMs { 0 }; // Prompt reading still to be done.
    unsigned running { 0 }; // Requests that occupy a place, read or written.
    unsigned answers { 0 }; // Of these, requests that the target answers itself, instead of helping to read.
    double answerWeight { 0 }; // What these answers are worth together; a short prompt's counts about 1.
    unsigned longReads { 0 }; // Of these, unread prompts or parts whose reading stretches the passes of the others.
    std::int64_t memoryTokens { 0 };
    Duration tightestGap { Duration::max() }; // The shortest pause that one of the answers may have.

    TargetLoad& operator+=(const TargetLoad& other);
    bool operator==(const TargetLoad&) const = default;
};

// One piece of work for one target.
struct TargetWork {
    double readMs { 0 };
    std::int64_t memoryTokens { 0 };
    bool isLong { false };
    bool isAnswer { true }; // False for a helper's part.
    Duration gapObjective { Duration::max() }; // Between the events of the answer.
    double weight { 1 }; // Of the answer.
};

// Adds up what this instance and its peers have sent to each target. Reports of the targets are some hundred
// milliseconds old; what was sent is known at once. A pure core: answers the load pattern of a swing between short and
// long prompts within a second, where old reports send every instance to the same idle target.
class LoadLedger {
public:
    using Handle = std::uint64_t;

    // Notes work as sent, until end().
    Handle begin(std::string_view target, const TargetWork& work, TimePoint now);

    // The prompt has been read; its memory and place stay occupied.
    void noteRead(Handle handle);
    void end(Handle handle);

    // Takes a peer's own loads, which count for `validity`. Targets are named by their hash.
    void applyPeer(std::string_view peer, const std::unordered_map<std::uint64_t, TargetLoad>& loads, TimePoint now,
        Duration validity);

    // Returns everything that is known to be at a target.
    TargetLoad total(std::string_view target, TimePoint now) const;

    // Takes what a peer says of its whole availability zone: the share of the places on its engines that are taken.
    void applyZone(std::string_view availabilityZone, double occupancy, TimePoint now);

    // What was last said of a zone. Empty when nothing was, or not lately.
    std::optional<double> zoneOccupancy(std::string_view availabilityZone, TimePoint now) const;

    // The peers whose loads are known.
    std::size_t knownPeers(TimePoint now) const;

    // Returns the loads of this instance alone, by hash of the target.
    std::unordered_map<std::uint64_t, TargetLoad> own(TimePoint now) const;

    static std::uint64_t hashOf(std::string_view target);

private:
    struct Entry {
        std::uint64_t target { 0 };
        TargetWork work;
        TimePoint expectedReadAt {};
        bool isRead { false };

        TargetLoad load(TimePoint now) const;
    };

    struct Peer {
        std::unordered_map<std::uint64_t, TargetLoad> loads;
        TimePoint heardAt {};
        TimePoint validUntil {};
    };

    struct Zone {
        double occupancy { 0 };
        TimePoint heardAt {};
    };

    TargetLoad totalOf(std::uint64_t target, TimePoint now) const;

    std::unordered_map<Handle, Entry> entries;
    std::unordered_map<std::uint64_t, std::vector<Handle>> byTarget;
    std::map<std::string, Peer, std::less<>> peers;
    std::map<std::string, Zone, std::less<>> zones;
    Handle lastHandle { 0 };
};

// Ends a piece of work when it goes out of scope.
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

    void noteRead()
    {
        this->ledger->noteRead(this->handle);
    }

private:
    LoadLedger* ledger;
    LoadLedger::Handle handle;
};

}
