#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// Tracks which targets accept connections of this instance. A target that does not is down: it gets no request until a
// probe, or any other connection, is accepted, or until it restarts. Records are kept by address. Pure computation, no
// I/O.
class TargetConnections {
public:
    // A target that sent bytes within this time takes requests on open connections, though it accepts no new one.
    static constexpr Duration ActivityLifetime = std::chrono::milliseconds { 500 };
    // Interval between the failure of a connection and the first probe; doubled after each failed probe.
    static constexpr Duration FirstProbeDelay = std::chrono::milliseconds { 200 };
    static constexpr Duration LongestProbeDelay = std::chrono::milliseconds { 4800 };

    enum class ProbePurpose {
        Confirm, // Targets that accepted a connection before others that may accept one.
        Recover, // Targets that were lost with the path, and others.
    };

    enum class Untested {
        Any,
        LostWithPath, // See retestSince().
    };

    using Targets = std::span<const TargetEntry* const>;

    // Record how a connection ended: accepted, or refused or timed out. `incarnation` is the latest one registered at
    // the address; later ones are not affected. The first returns whether the address was down.
    bool recordConnected(std::string_view address, std::uint64_t incarnation, TimePoint now);
    void recordFailure(std::string_view address, std::uint64_t incarnation, TimePoint now);

    void recordBytes(std::string_view address, TimePoint now);

    bool isDown(const TargetEntry& target, TimePoint now) const;

    // Whether the target accepted the last connection.
    bool isProven(const TargetEntry& target) const;

    // Whether the last connection to the target failed.
    bool hasFailed(const TargetEntry& target) const;

    // Share of the targets that are down among those whose last connection is known, 0 to 1; 0 if none is known.
    double downShare(Targets targets, TimePoint now) const;

    // Makes targets that went down since a time untested: the path to them was lost, which says nothing about the
    // targets. They stay down until they accept a connection.
    void retestSince(Targets targets, TimePoint since);

    // Draws up to `count` targets for a round of probes.
    std::vector<const TargetEntry*> drawRound(Targets targets, ProbePurpose purpose, std::size_t count,
        TimePoint lostAt, TimePoint now, std::mt19937_64& random) const;

    // Draws up to `count` untested targets, and counts them as tested.
    std::vector<const TargetEntry*> drawUntested(
        Targets targets, Untested kind, std::size_t count, std::mt19937_64& random);

    // Draws up to `count` targets that are down and whose next probe is due, those that accepted connections
    // before first.
    std::vector<const TargetEntry*> drawDown(Targets targets, std::size_t count, TimePoint now);

    bool hasDown(Targets targets) const;

    // Drops records without an update for ten minutes.
    void expire(TimePoint now);

private:
    struct Record {
        std::uint64_t incarnation { 0 };
        unsigned failures { 0 }; // Since a connection was accepted.
        bool isTested { false }; // The outcome of a connection is known or awaited.
        TimePoint connectedAt {};
        TimePoint downSince {};
        TimePoint nextProbeAt {};
        TimePoint lastBytesAt {};
    };

    struct AddressHash {
        using is_transparent = void;

        std::size_t operator()(std::string_view address) const
        {
            return std::hash<std::string_view> {}(address);
        }
    };

    const Record* find(const TargetEntry& target) const;
    Record& recordOf(std::string_view address);

    std::unordered_map<std::string, Record, AddressHash, std::equal_to<>> records;
};

}
