#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/PlatformLog.h>

#include "configuration/CheckpointSchedule.h"
#include "configuration/ConfigurationTail.h"

namespace marigoldpaddle {

struct FollowerSettings {
    Duration longPollTimeout { std::chrono::seconds { 10 } }; // Of log reads once the state is current.
    // At start, how long the log may take to answer before peers are asked. Also the least time between two rounds of
    // requests to peers, and the long-poll timeout of reads that search for a checkpoint.
    Duration peerRoundInterval { std::chrono::seconds { 1 } };
    Duration peerTimeout { std::chrono::seconds { 1 } };
    Duration minimumRetryDelay { std::chrono::milliseconds { 100 } }; // Doubles per failed read.
    Duration maximumRetryDelay { std::chrono::seconds { 2 } };
    std::size_t peersPerRound { 8 };
    // How long records that were trimmed from the log are searched for in checkpoints and at peers before the instance
    // continues without them. Peers that a network partition separated rejoin well within this time.
    Duration lostRecordsTimeout { std::chrono::minutes { 1 } };
    CheckpointSettings checkpoints;
};

// Read the log from an offset. Report the result by logRead or logReadFailed.
struct ReadLogCommand {
    std::uint64_t offset { 0 };
    std::size_t limit { 0 };
    Duration wait {};
};

// Request the records that follow an offset from a peer. Report the result by peerAnswered or peerFailed.
struct FetchFromPeerCommand {
    std::string peer;
    std::uint64_t knownOffset { 0 };
};

// Append these records in order. The result is not reported.
struct AppendCheckpointCommand {
    std::vector<std::string> records;
};

using FollowerCommand = std::variant<ReadLogCommand, FetchFromPeerCommand, AppendCheckpointCommand>;
using FollowerCommands = std::vector<FollowerCommand>;

namespace internal {

// A search of the log for a checkpoint, from the lowest offset that the log keeps.
struct CheckpointScan {
    TimePoint startedAt {};
    std::optional<std::uint64_t> nextOffset; // Empty until the bounds of the log are known.
    std::uint64_t firstKept { 0 };
    bool isLogExhausted { false }; // The log was read to its end.
    bool didPeerRoundEnd { false }; // A round of requests to peers has ended, with or without answers.
    CheckpointAssembler assembler;
};

}

// Keeps the configuration state of one instance up to date with the configuration stream:
// - It reads the log by long polls.
// - It fetches from peers when a peer has a higher offset, and at start while the log does not answer.
// - When the log no longer keeps the offset that it needs, it restores a checkpoint from the log, or asks peers.
// - It writes checkpoints when CheckpointSchedule says that one is due.
// - When neither the log nor a peer has the records that it needs, it writes its state without them as a checkpoint,
//   from which all instances continue.
// One log read and one fetch are outstanding at a time, except in a round of requests to several peers. The offset of
// the state never decreases. Does no I/O and reads no clock: the caller executes the commands and reports their
// results.
class ConfigurationFollower {
public:
    ConfigurationFollower(FollowerSettings settings, std::uint64_t seed);

    FollowerCommands start(TimePoint now);
    FollowerCommands logRead(const LogPage& page, TimePoint now);
    FollowerCommands logReadFailed(PlatformError error, TimePoint now);
    FollowerCommands peerAnswered(std::string_view peer, const ConfigurationUpdate& update, TimePoint now);
    FollowerCommands peerFailed(std::string_view peer, TimePoint now);

    // Sets the live peers, without this instance, and the rank of this instance among those that write checkpoints.
    FollowerCommands setPeers(std::vector<std::string> peers, std::size_t rank, TimePoint now);

    // Reports that a peer has reached an offset. It is asked for the records up to it if this instance is behind.
    FollowerCommands observePeerOffset(std::string_view peer, std::uint64_t offset, TimePoint now);

    // Performs the actions that are due. Must be called at nextDeadline() or earlier.
    FollowerCommands advance(TimePoint now);
    TimePoint nextDeadline() const;

    const ConfigurationState& state() const;

    // Whether a preset is in force and the state was current at some time since the start: the log was read to its end,
    // or a peer that had itself been current answered in a round of requests.
    bool isReady() const;

    // Whether records that this instance needs were trimmed from the log, and neither a checkpoint nor a peer has
    // replaced them yet.
    bool isMissingRecords() const;

    // The update for a reader that has applied all records before `knownOffset`.
    ConfigurationUpdate updateSince(std::uint64_t knownOffset, TimePoint now);

private:
    struct Fetch {
        std::string peer;
        TimePoint deadline {};
    };

    FollowerCommands step(TimePoint now);
    void applyPage(const LogPage& page, TimePoint now);
    void beginScan(TimePoint now);
    void scanPage(const LogPage& page);
    void endScanIfCaughtUp();
    void restoreFrom(const CheckpointAssembler::Assembled& checkpoint, std::uint64_t firstKept);
    void issueRead(FollowerCommands& commands, TimePoint now);
    bool isPeerRoundNeeded() const;
    void startPeerRound(FollowerCommands& commands, TimePoint now);
    void fetchFromPeerAhead(FollowerCommands& commands, TimePoint now);
    void requestCheckpointAge(FollowerCommands& commands, TimePoint now);
    void issueFetch(FollowerCommands& commands, std::string peer, TimePoint now);
    bool canWriteCheckpoint() const;
    void writeCheckpoint(FollowerCommands& commands, TimePoint now);
    bool areRecordsLost() const;
    TimePoint lostRecordsDeadline() const;
    void skipLostRecords(FollowerCommands& commands, TimePoint now);
    void dropExpiredFetches(TimePoint now);
    void finishPeerRound(TimePoint now);
    void markCurrent(TimePoint now);
    bool isFetchingFrom(std::string_view peer) const;

    FollowerSettings settings;
    std::mt19937_64 random;
    ConfigurationState configuration;
    ConfigurationTail tail;
    CheckpointSchedule checkpoints;
    std::vector<std::string> peers;
    std::map<std::string, std::uint64_t, std::less<>> offsetsAhead; // Of peers ahead of this instance.
    std::vector<Fetch> fetches;
    std::optional<internal::CheckpointScan> scan;
    bool isReading { false };
    TimePoint startedAt {};
    TimePoint nextRead {};
    TimePoint nextPeerRound {};
    Duration retryDelay {};
    bool didLogAnswer { false }; // To the last read, not counting reads of trimmed offsets.
    bool isPeerRoundOpen { false };
    bool didCurrentPeerAnswer { false }; // In this round, a peer whose state had been current answered.
    bool didRequestCheckpointAge { false };
    std::optional<TimePoint> currentSince;
};

}
