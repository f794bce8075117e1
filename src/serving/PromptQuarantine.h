#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// A target that ended under a request before its answer was whole. Ids are hashes.
struct TargetCrash {
    std::uint64_t target { 0 }; // Of one incarnation.
    std::uint64_t request { 0 }; // Of one attempt of a caller.
    std::vector<std::uint64_t> parts; // Parts of the prompt that other prompts may have too.
    TimePoint at {};
    std::uint64_t fingerprint { 0 }; // Of the whole request, which may come again; 0 if unknown.
    Duration ran {}; // From the sending of the request to the end; 0 if unknown.
};

// The last sound answer to a request with a part, or to the whole request.
struct SoundPart {
    std::uint64_t part { 0 };
    TimePoint at {};
};

// Finds the part of a prompt, or the whole request, under which targets end, and quarantines requests with it: each of
// them would end another target. A target may end at any moment of its answer, so that only a whole answer shows that
// its parts are sound.
//
// A part is suspected when attempts with it, each sent after the end of the one before, all ended with their targets,
// under more than one attempt of callers, and no answer to a prompt with it was sound lately. Targets that end together
// for another reason end under attempts that were sent before, which count as one. While other targets end as well,
// more such attempts are needed. Many ends in a row at different moments count too, as answers that take long overlap.
//
// If another part occurs in nearly all of these crashes, only prompts with both are quarantined: one with either of
// them tells which it is. A part that was in sound answers shortly before is blamed without the other one only if the
// remaining crashes make it suspected by themselves.
//
// A request that comes again counts as a part that only its repetitions have. The parts of its prompt then occur in all
// of its crashes, so that other prompts with them are sent. A popular request may lose its targets again and again to
// another one: it is not quarantined if the other also ended targets without it, and for a short time only if the two
// cannot be told apart. Pure computation, no I/O.
class PromptQuarantine {
public:
    // Attempts in a row that end with their targets before a part is suspected. One or two may end for reasons of their
    // own.
    static constexpr std::size_t SuspectedTargets = 3;
    static constexpr std::size_t SuspectedRequests = 2;
    // Targets that end without the part, meanwhile, for each further attempt that is needed.
    static constexpr std::size_t UnrelatedTargetsPerAttempt = 4;
    // Targets that end under a part without another one before it is suspected alone: two, as one may end for reasons
    // of its own; one once many have ended.
    static constexpr std::size_t DistinguishingTargets = 2;
    static constexpr std::size_t ManyTargets = 5;
    // Ends within this time are taken for simultaneous.
    static constexpr Duration SimultaneityBound = std::chrono::milliseconds { 250 };
    // A target that ends again after this time has been back in between.
    static constexpr Duration ReturnTime = std::chrono::seconds { 2 };
    // Parts of one crash, as many as a header of 16 KiB can name. Of a larger prompt the others are replaced by
    // UnknownPart.
    static constexpr std::size_t MaximumParts = 4096;
    // Stands for parts that are not known. It occurs in no prompt, so that a part whose crashes have it is not blamed.
    static constexpr std::uint64_t UnknownPart = 0;
    // A target takes the requests that wait for their answers with it, and each of these is a crash.
    static constexpr std::size_t MaximumCrashes = 256;
    static constexpr std::size_t MaximumPartsOfCrashes = 65'536; // Over all crashes: 512 KiB.
    static constexpr std::size_t MaximumSoundParts = 32'768;
    // A notice to peers has as many parts. A crash with more is passed on again once it has fewer.
    static constexpr std::size_t MaximumPartsOfNews = 512;
    // Quarantine, since the last crash, of a request whose crashes another one explains just as well, or of a part that
    // was sound shortly before, until it has ended more than ManyTargets. The next crash or answer tells.
    static constexpr Duration AmbiguousDuration = std::chrono::seconds { 30 };
    // The same for a part under which fewer than ManyTargets ended, which may be a coincidence.
    static constexpr Duration FewTargetsDuration = std::chrono::minutes { 1 };
    // A part in a sound answer is excused from crashes up to this much later, until ManyTargets have ended under it
    // without another sound answer.
    static constexpr Duration SoundLifetime = std::chrono::seconds { 30 };

    // A crash counts for `duration`; after that, prompts with its parts are sent again.
    explicit PromptQuarantine(Duration duration = std::chrono::minutes { 10 });

    // Records a crash that this instance or a peer saw. Returns whether it may change what is quarantined: it is new,
    // and its prompt was not under quarantine; or it names parts that were unknown.
    bool recordCrash(TargetCrash crash, TimePoint now);

    // Records that an answer to a request with these parts was whole, so that they are not at fault. A fingerprint
    // counts as a part here and in isQuarantined().
    void recordSound(std::span<const std::uint64_t> parts, TimePoint at);

    bool isQuarantined(std::span<const std::uint64_t> parts) const;

    // Whether targets have ended under the request often enough that it should not be sent to another one for the same
    // attempt of the caller.
    bool mayEndTargets(std::uint64_t fingerprint) const;

    // Crashes under the request that no sound answer cleared it of, in the order in which they were learned.
    std::vector<TargetCrash> crashesOf(std::uint64_t fingerprint) const;

    // Targets that ended under the request so lately that another end there would not count.
    std::set<std::uint64_t> targetsEndedBy(std::uint64_t fingerprint, TimePoint now) const;

    // Whether any target is known to have ended under the request.
    bool hasEndedTarget(std::uint64_t fingerprint) const;

    // Time until the first quarantine ends; zero if nothing is quarantined.
    Duration remaining(TimePoint now) const;

    // Crashes that are news since `since`, in the order in which they were learned. The parts that no sound answer
    // excuses come first.
    struct CrashNews {
        TargetCrash crash;
        std::size_t excused { 0 }; // Number of parts at the end that are excused.
    };
    std::vector<CrashNews> newsSince(TimePoint since) const;

    // The same without the numbers.
    std::vector<TargetCrash> crashesLearnedSince(TimePoint since) const;

    // Parts that sound answers cleared of recorded crashes at `since` or later.
    std::vector<SoundPart> partsClearedSince(TimePoint since) const;

    // Number of suspected groups of parts.
    std::size_t size() const;

    // Drops crashes whose duration is over.
    void expire(TimePoint now);

private:
    using PartSet = std::set<std::uint64_t>;
    using CrashSet = std::vector<std::size_t>; // Indexes into `crashes`, in ascending order.

    struct KnownCrash {
        TargetCrash crash; // With the parts that no sound answer cleared, in ascending order.
        TimePoint newsAt {};
        PartSet excused {}; // Parts that were in a sound answer shortly before the crash.
        bool isFingerprintCleared { false };
        bool causesQuarantine { false };
    };

    struct ClearedPart {
        SoundPart sound;
        TimePoint clearedAt {};
    };

    // Parts that occur in the same crashes.
    struct Group {
        CrashSet crashes;
        bool wasSound { false }; // They were in a sound answer shortly before one of the crashes.
        std::vector<std::uint64_t> parts; // In ascending order. At most one of them is a fingerprint.
        PartSet targets {}; // Of the crashes.
        std::vector<std::uint64_t> targetsInARow {}; // Those of attemptsInARow(), if the group is suspected.
        std::uint64_t fingerprint { 0 }; // The one among the parts; 0 if there is none.
    };

    // A prompt with all of these parts is quarantined.
    struct Quarantine {
        std::vector<std::uint64_t> parts; // In ascending order.
        TimePoint until {};
    };

    // Sound answers by part, and in the order of their times.
    using SoundParts = boost::multi_index_container<SoundPart,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<boost::multi_index::member<SoundPart, std::uint64_t, &SoundPart::part>>,
            boost::multi_index::ordered_non_unique<boost::multi_index::member<SoundPart, TimePoint, &SoundPart::at>>>>;

    enum class Blame {
        None, // Another request is at fault.
        Ambiguous, // Another request may be at fault.
        Full,
    };

    enum class Clearing {
        None,
        Excused, // The part was in a sound answer shortly before the crash.
        Cleared, // The part was in a sound answer after the crash.
    };

    bool recordKnownParts(KnownCrash& known, TargetCrash crash, TimePoint now);
    void insert(TargetCrash crash, TimePoint now);
    bool clearSoundParts(KnownCrash& known, TimePoint now);
    Clearing clearIfSound(KnownCrash& known, std::uint64_t part, TimePoint now);
    void recordCleared(std::uint64_t part, TimePoint now);
    void dropOldestCrash();
    void countParts(const KnownCrash& known);
    void uncount(std::uint64_t part);
    void uncountParts(const KnownCrash& known);

    void update(TimePoint now);
    std::vector<Group> groups() const;
    bool isSuspected(const Group& group) const;
    bool endsInARow(const CrashSet& crashSet) const;
    bool isSuspectedAfterSoundAnswer(const CrashSet& crashSet) const;
    bool hasSeveral(const CrashSet& crashSet) const;
    std::size_t endsOf(const CrashSet& endsInOrder) const;
    std::vector<std::uint64_t> attemptsInARow(const CrashSet& endsInOrder, Duration apart) const;
    CrashSet inOrderOfEnds(CrashSet crashSet) const;
    std::size_t momentsOf(const CrashSet& endsInOrder) const;
    std::size_t unrelatedTargets(const CrashSet& endsInOrder) const;
    bool occursWith(const Group& group, const Group& other) const;
    bool isExplainedBy(const Group& soundGroup, const Group& other) const;
    Blame blameFor(const Group& group, std::span<const Group* const> suspectedFingerprints) const;
    PartSet targetsOf(const CrashSet& crashSet) const;
    TimePoint endOfQuarantine(const Group& group, Blame blame) const;

    Duration duration;
    std::vector<KnownCrash> crashes; // In the order in which they were learned.
    std::size_t partsOfCrashes { 0 };
    std::unordered_map<std::uint64_t, std::size_t> crashesWith; // Number of crashes, by part or fingerprint.
    std::vector<ClearedPart> cleared; // In the order in which they were learned.
    SoundParts soundParts; // The last sound answer with each part.
    std::vector<Quarantine> quarantined;
};

}
