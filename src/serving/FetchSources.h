#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/PeerExchange.h"

namespace marigoldpaddle {

// The peers that one fetch in parts asks. While a peer is slow to answer, another one is asked for the same part as
// well, and whichever answers first continues the fetch. Pure computation, no I/O.
class FetchSources {
public:
    // What a peer contributed.
    enum class Result {
        Progress, // A further part, or all of it.
        Late, // A part that another peer had sent before.
        Useless, // Nothing that continues what was received.
        NoAnswer,
    };

    // Peers that are asked at the same time, at most.
    static constexpr std::size_t MaximumOpen = 4;
    // Peers of the local zone that are awaited in vain before those of other zones are preferred.
    static constexpr std::size_t LocalAttempts = 2;

    // Records that a peer is asked; another one may be asked `patience` later.
    void begin(const std::string& address, TimePoint now, Duration patience);

    // Records how a call ended.
    void end(const std::string& address, Result result);

    // When the next peer may be asked: the epoch if at once, TimePoint::max() if not before a call has ended.
    TimePoint nextAt() const;

    // Whether a call is open.
    bool hasOpen() const;

    // Returns the peer to ask next; empty if there is none. While peers do not answer, those that have answered are
    // asked again.
    std::optional<std::string> next(PeerExchange& exchange, std::uint64_t version, TimePoint now) const;

private:
    std::set<std::string> open;
    std::set<std::string> excluded; // They contributed nothing.
    std::vector<std::string> answering; // Latest last.
    std::string latest; // Asked last.
    std::size_t unanswered { 0 };
    std::optional<TimePoint> patientUntil; // Set while the answer to the latest call is awaited.
};

}
