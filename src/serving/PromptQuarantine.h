#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// A target that ended after it had begun to answer a prompt and before its first event. Ids are hashes.
struct TargetCrash {
    std::uint64_t target { 0 };
    std::uint64_t request { 0 };
    std::vector<std::uint64_t> parts; // Parts of the prompt that other prompts may have too.
    TimePoint at {};
};

// The last sound answer to a prompt with a part.
struct SoundPart {
    std::uint64_t part { 0 };
    TimePoint at {};
};

// Finds the part of a prompt under which targets end, and quarantines prompts with it: each of them would end another
// target. A part is suspected when several targets ended under it, with more than one request, and no answer to a
// prompt with it was sound lately. If another part occurs in nearly all of these crashes, only prompts with both are
// quarantined: one with either of them tells which it is. Pure computation, no I/O.
class PromptQuarantine {
public:
    // Number of targets that end before a part is suspected. One or two may end for reasons of their own.
    static constexpr std::size_t SuspectedTargets = 3;
    static constexpr std::size_t SuspectedRequests = 2;
    // Crashes of a part without another one that are needed to suspect it alone.
    static constexpr std::size_t DistinguishingCrashes = 2;
    static constexpr std::size_t MaximumCrashes = 64;
    static constexpr std::size_t MaximumSoundParts = 4096;
    // A part in a sound answer is not at fault for crashes up to this much later.
    static constexpr Duration SoundLifetime = std::chrono::seconds { 30 };

    // A crash counts for `duration`; after that, prompts with its parts are sent again.
    explicit PromptQuarantine(Duration duration = std::chrono::minutes { 10 });

    // Records a crash that this instance or a peer saw. Returns whether it is kept: it is new, and its prompt was not
    // under quarantine, so that it tells something.
    bool recordCrash(TargetCrash crash, TimePoint now);

    // Records that an answer to a prompt with these parts was written for a while, so that they are not at fault.
    void recordSound(std::span<const std::uint64_t> parts, TimePoint at);

    bool isQuarantined(std::span<const std::uint64_t> parts) const;

    // Time until the first crash that causes the quarantine no longer counts; zero if nothing is quarantined.
    Duration remaining(TimePoint now) const;

    // Crashes that were recorded at `since` or later.
    std::vector<TargetCrash> crashesLearnedSince(TimePoint since) const;

    // Parts of the recorded crashes that were in sound answers lately.
    std::vector<SoundPart> soundParts() const;

    // Number of suspected parts.
    std::size_t size() const;

    // Drops crashes whose duration is over.
    void expire(TimePoint now);

private:
    struct KnownCrash {
        TargetCrash crash;
        TimePoint learnedAt {};
    };

    using CrashSet = std::set<std::size_t>; // Indexes into `crashes`.
    using PartSet = std::set<std::uint64_t>;

    void update();
    std::map<std::uint64_t, CrashSet> crashesByPart() const;
    bool isSuspected(const CrashSet& crashSet) const;
    std::size_t targetsWithout(const CrashSet& crashSet, const CrashSet& others) const;

    Duration duration;
    std::vector<KnownCrash> crashes;
    std::unordered_map<std::uint64_t, TimePoint> soundAt; // Last sound answer with each part.
    std::vector<PartSet> quarantined; // A prompt with all parts of one of these is quarantined.
};

}
