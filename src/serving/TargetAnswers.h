#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <marigoldpaddle/Clock.h>

#include "serving/TargetDirectory.h"

namespace marigoldpaddle {

// The end of a connection to a target under a request, before any answer. Passed between instances.
struct TargetEnd {
    std::uint64_t target { 0 }; // See TargetAnswers::keyOf().
    std::uint64_t request { 0 }; // Fingerprint of the request.
    TimePoint at {};
};

// The last answer of a target under which there were such ends. Passed between instances.
struct TargetAnswer {
    std::uint64_t target { 0 };
    TimePoint at {};
};

// Tracks which targets answer requests, over all instances. A target that accepts connections and ends them under
// requests without any answer is mute: some times in a row under different requests and for some time, or once if it
// has never answered.
// A mute target gets no requests while others may answer, except single ones that probe it, after a pause that grows.
// The share of the requests that probe does not depend on the number of mute targets. Any answer ends the state, at all
// instances, and so does a restart.
//
// Ends that are due to something else do not count: those under a request that ends targets (see excuse()), and those
// on a lost path. An instance tells others of an end only once another target has answered to it since. If all targets
// that had answered to it end before one answers again, it takes the path for lost and forgets the ends. Pure
// computation, no I/O.
class TargetAnswers {
public:
    using Targets = std::span<const TargetEntry* const>;
    using Traits = std::vector<std::uint64_t>; // See PromptQuarantine.

    // Ends in a row, under different requests, of a target that has answered before.
    static constexpr unsigned EndsOfMuteTarget = 2;
    // Time from the last end to the first probe; doubled after each further end.
    static constexpr Duration FirstPause = std::chrono::milliseconds { 400 };
    static constexpr Duration LongestPause = std::chrono::milliseconds { 4800 };
    // A target that has answered within this time is alive.
    static constexpr Duration AnswerLifetime = std::chrono::milliseconds { 500 };
    // Ends at different instances within this time count as one: a target ends under all of its requests at once.
    static constexpr Duration SimultaneityBound = std::chrono::milliseconds { 100 };

    // What a request loses if it probes a target that does not answer.
    enum class ProbeCost {
        Retry, // It is sent to another target.
        Request, // It fails, since it must not be sent again.
    };

    // Identifies a target over its incarnations.
    static std::uint64_t keyOf(const TargetEntry& target);

    // Records that the target answers. Returns whether peers should be told something.
    bool recordAnswer(const TargetEntry& target, TimePoint now);

    // Records that a connection ended without an answer to a request that was sent at `sentAt`. Returns whether it
    // counts.
    bool recordEnd(
        const TargetEntry& target, std::uint64_t request, const Traits& traits, TimePoint sentAt, TimePoint now);

    // Record what a peer tells.
    void learnEnd(const TargetEnd& end, TimePoint now);
    void learnAnswer(const TargetAnswer& answer, TimePoint now);

    // Drops ends under requests that are found to end targets. Returns whether peers should be told of it.
    bool excuse(const std::function<bool(const Traits&)>& endsTargets, TimePoint now);

    // Whether the target is mute.
    bool isMute(const TargetEntry& target, TimePoint now) const;

    // Probability that each of the targets does not answer, 0 to 1, in their order. Empty if none is mute.
    std::vector<double> doubts(Targets targets, TimePoint now) const;

    // Draws a target that a request of this kind should probe now, if its turn has come. A target that was never tried
    // is drawn too while most of the tried ones are mute. Null if there is none.
    const TargetEntry* drawProbe(Targets targets, ProbeCost cost, TimePoint now, std::mt19937_64& random) const;

    // Record that a request was sent for the first time, and that one probes the target.
    void recordFirstSend(ProbeCost cost);
    void beginProbe(const TargetEntry& target, ProbeCost cost, TimePoint now);

    // News for peers since a time, the newest first.
    std::vector<TargetEnd> endsSince(TimePoint since) const;
    std::vector<TargetAnswer> answersSince(TimePoint since) const;

    // Number of mute targets.
    std::size_t muteTargets(TimePoint now) const;

    // Whether any target is mute, or about to be.
    bool hasSuspects() const;

    // Drops records without an update for ten minutes.
    void expire(TimePoint now);

private:
    struct End {
        TargetEnd end;
        Traits traits; // Empty if a peer has told of the end.
        bool isOwn { false };
        bool isConfirmed { false }; // Another target has answered since, so that the path is sound.
        TimePoint newsAt {};
    };

    struct Record {
        std::string service; // Empty if only peers have told of the target.
        std::vector<End> ends; // Since the last answer, under different requests.
        unsigned pauses { 0 }; // Since the last answer.
        TimePoint answeredAt {}; // The epoch if the target never answered.
        TimePoint clearedAt {}; // When ends were last found not to count; the epoch if never.
        TimePoint clearedNewsAt {}; // When this instance learned that.
        TimePoint nextProbeAt {};
        TimePoint updatedAt {};

        bool isSuspect() const; // It has enough ends to be mute.
        bool isMute(TimePoint now) const;
        bool isProven() const; // It answers, as far as is known.
    };

    struct Service {
        TimePoint answeredAt {}; // When any target last answered this instance; the epoch if none did.
        bool hasUnconfirmedEnds { false };
    };

    const Record* find(const TargetEntry& target) const;
    Record& update(std::uint64_t target, TimePoint now);
    void addEnd(Record& record, End end);
    void clearEnds(Record& record, TimePoint at, TimePoint now);
    static void announceAnswer(Record& record, TimePoint now);
    bool hasProven(std::string_view service) const;
    void forgetEndsSince(std::string_view service, TimePoint since);
    bool confirmEnds(std::string_view service, std::uint64_t answering, TimePoint now);
    double& creditOf(ProbeCost cost);

    std::unordered_map<std::uint64_t, Record> records;
    std::map<std::string, Service, std::less<>> services;
    std::size_t suspects { 0 };
    double retryCredit { 0 }; // Requests that may probe.
    double requestCredit { 0 };
};

}
