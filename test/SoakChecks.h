#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "SoakCluster.h"

namespace marigoldpaddle::testing {

enum class SoakRoute {
    ResumableStream, // /ask/
    LongPrompt, // /long/: a resumable stream; most prompts need the memory of several engines.
    UniqueStream, // /once/: must not be repeated.
    Order, // /order/: must not be repeated.
    Stock, // /stock/: safe.
};

enum class SoakOutcome {
    Complete, // A success whose end has arrived.
    Refused, // Any other final answer.
    Broken, // The connection ended within the answer.
    Closed, // The connection ended without an answer.
    TimedOut, // Nothing came for a second beyond the margin; the caller has left.
    Malformed,
    NotConnected,
    GaveUp, // The caller left early.
};

// One request and what its caller saw.
struct SoakAttempt {
    std::string id;
    SoakRoute route {};
    std::size_t node { 0 };
    TimePoint sentAt;
    TimePoint endedAt;
    Duration allowed {}; // Bound from the request and its route.
    SoakOutcome outcome {};
    unsigned status { 0 };
    std::string body;
    std::uint64_t expectedEvents { 0 };
    bool isSealed { false }; // The answer bears a seal and the id of the attempt.

    std::string description(TimePoint begin) const;
};

// Judges what callers and back ends see. Bounds are those of the settings plus a margin for a shared machine.
class SoakChecks {
public:
    SoakChecks(boost::asio::io_context& context, SoakCluster& cluster, SoakReport& report);

    static constexpr Duration Margin = std::chrono::seconds { 1 };

    // Beyond the time of a request.
    static constexpr Duration TimeMargin = std::chrono::milliseconds { 500 };

    // Registers an attempt before it is sent.
    void attemptStarted(const SoakAttempt& attempt);
    void attemptEnded(const SoakAttempt& attempt);

    // Poll the back ends and the configuration in force, until the context stops.
    boost::asio::awaitable<void> watchTarget(SoakCluster::Target& target);
    boost::asio::awaitable<void> watchConfiguration(std::size_t node);

    // Reads the counts of all back ends once more and judges them.
    boost::asio::awaitable<void> checkCounts();

    // Expects that no engine has memory in use, and that enough requests were served since `since`.
    boost::asio::awaitable<void> checkMemoryIsFree();
    void checkRecovery(TimePoint since);

    void printSummary() const;

private:
    struct Known {
        SoakAttempt attempt;
        bool hasEnded { false };
        bool isReported { false };
        std::map<std::string, std::uint64_t> runs; // By target and incarnation.
    };

    struct HeldMemory {
        TimePoint since; // Unused for as long.
        TimePoint seenAt;
        bool isReported { false };
    };

    void checkTime(const SoakAttempt& attempt);
    void checkAnswer(const SoakAttempt& attempt);
    void checkStream(const SoakAttempt& attempt);
    void checkBroken(const SoakAttempt& attempt);
    void checkRuns(Known& known);
    boost::asio::awaitable<void> readCounts(SoakCluster::Target& target);
    boost::asio::awaitable<void> readReport(SoakCluster::Target& target);
    void recordRun(SoakCluster::Target& target, const std::string& id, std::uint64_t runs);
    void judgeProbe(std::size_t node, unsigned incarnation, std::uint64_t version, bool isNewest, unsigned status,
        TimePoint sentAt);
    bool wasNodeDown(std::size_t node, TimePoint from, TimePoint until) const;
    TimePoint inTouchSince(std::size_t node) const;
    void violate(std::string_view check, const SoakAttempt& attempt, std::string_view detail);

    boost::asio::io_context& context;
    SoakCluster& cluster;
    SoakReport& report;
    HttpClient client;
    TimePoint begin;
    std::map<std::string, Known> attempts;
    std::map<SoakOutcome, std::uint64_t> outcomes;
    std::map<std::string, HeldMemory> held; // By engine, incarnation and ticket.
    std::map<std::pair<std::size_t, unsigned>, std::uint64_t> newestSeen; // Version, by node and incarnation.
    Duration latest {}; // Longest time of an attempt beyond its allowed time.
    std::uint64_t probes { 0 };
    std::uint64_t tickets { 0 };
    double served { 0 };
};

}
