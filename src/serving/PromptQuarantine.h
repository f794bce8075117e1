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
    // Targets that end under a part without another one before it is suspected alone: two, as one may end for reasons
    // of its own; one once many have ended.
    static constexpr std::size_t DistinguishingTargets = 2;
    static constexpr std::size_t ManyTargets = 5;
    // A target that ends again after this time has been back in between.
    static constexpr Duration ReturnTime = std::chrono::seconds { 2 };
    static constexpr std::size_t MaximumParts = 32; // Of one crash; further ones are ignored.
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

    // Parts that sound answers cleared of recorded crashes at `since` or later.
    std::vector<SoundPart> partsClearedSince(TimePoint since) const;

    // Number of suspected parts.
    std::size_t size() const;

    // Drops crashes whose duration is over.
    void expire(TimePoint now);

private:
    // The parts that are cleared later are removed from the crash.
    struct KnownCrash {
        TargetCrash crash;
        TimePoint learnedAt {};
    };

    struct ClearedPart {
        SoundPart sound;
        TimePoint clearedAt {};
    };

    using CrashSet = std::set<std::size_t>; // Indexes into `crashes`.
    using PartSet = std::set<std::uint64_t>;

    void update();
    std::map<std::uint64_t, CrashSet> crashesByPart() const;
    bool isSound(std::uint64_t part, TimePoint crashedAt) const;
    void recordCleared(std::uint64_t part, TimePoint now);
    bool isSuspected(const CrashSet& crashSet) const;
    std::set<std::uint64_t> targetsOf(const CrashSet& crashSet) const;
    bool occursWith(const CrashSet& crashSet, const CrashSet& others) const;

    Duration duration;
    std::vector<KnownCrash> crashes; // In the order in which they were learned.
    std::vector<ClearedPart> cleared; // Likewise.
    std::unordered_map<std::uint64_t, TimePoint> soundAt; // Last sound answer with each part.
    std::vector<PartSet> quarantined; // A prompt with all parts of one of these is quarantined.
};

}
