#pragma once

#include <cstddef>
#include <optional>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Decides whether this instance has lost its paths to all targets. A failed connection alone may be the fault of its
// target, so it only starts a round of probes: connections to a few targets, first of all to those that accepted the
// last one. The instance is cut off if none of them is established. Only new connections count, since open ones may
// live on while new ones are refused. Pure computation, no I/O.
class TargetReachability {
public:
    // Targets probed to confirm a suspicion.
    static constexpr std::size_t ProbesToConfirm = 4;
    // Targets probed in a round while the instance is cut off.
    static constexpr std::size_t ProbesToRecover = 2;
    // Minimum interval between two rounds.
    static constexpr Duration ConfirmInterval = std::chrono::milliseconds { 250 };
    static constexpr Duration RecoverInterval = std::chrono::milliseconds { 200 };

    enum class RoundOutcome {
        AllFailed,
        Inconclusive, // Some of the probes may have failed because of this process.
    };

    bool isCutOff() const;

    // Records that a connection failed or was lost, or that an answer is overdue.
    void recordFailure();

    // Records a new connection to a target. Returns whether the instance was cut off until now.
    bool recordConnected(TimePoint now);

    // Whether a round is due now or later.
    bool needsRounds() const;

    // Returns the number of targets to probe now; 0 if no round is due.
    std::size_t startRound(TimePoint now);

    // Records a round that started at `startedAt` and established no connection. Returns whether the instance is cut
    // off from now on.
    bool recordRound(RoundOutcome outcome, TimePoint startedAt);

private:
    bool isCut { false };
    bool isSuspected { false };
    std::optional<TimePoint> lastRoundAt;
    std::optional<TimePoint> lastConnectedAt;
};

}
