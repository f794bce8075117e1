#pragma once

#include <optional>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "marigold_types.h"
#include "serving/PromptQuarantine.h"
#include "serving/TargetAnswers.h"
#include "serving/TargetLimits.h"

namespace marigoldpaddle {

// What instances tell each other of targets, besides their loads: ends under requests, which do not answer, limits, and
// which are cold. Translates both between notices and what this instance knows. No I/O.
class PeerNews {
public:
    // Everything that is passed by reference must outlive the object.
    // `answers` may be null.
    PeerNews(PromptQuarantine& quarantine, TargetLimits& limits, TargetAnswers* answers, EventLog& log);

    // Records that a peer has become live. For some rounds, notices then have all that is known.
    void recordNewPeer(TimePoint now);

    void learn(const wire::LoadNotice& notice, TimePoint now);

    // Adds what is news now to a notice.
    void addTo(wire::LoadNotice& notice, TimePoint now) const;

private:
    void addCrashes(wire::LoadNotice& notice, TimePoint now) const;
    void addAnswers(wire::LoadNotice& notice, TimePoint now) const;
    void addLimits(wire::LoadNotice& notice, TimePoint now) const;
    void addColdTargets(wire::LoadNotice& notice, TimePoint now) const;
    void learnCrashes(const wire::LoadNotice& notice, TimePoint now);
    void learnAnswers(const wire::LoadNotice& notice, TimePoint now);
    void learnLimits(const wire::LoadNotice& notice, TimePoint now);
    void learnColdTargets(const wire::LoadNotice& notice, TimePoint now);
    TimePoint newsSince(TimePoint now) const;

    PromptQuarantine& quarantine;
    TargetLimits& limits;
    TargetAnswers* answers;
    EventLog& log;
    std::optional<TimePoint> lastNewPeerAt;
};

}
