#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "configuration/ChangePublication.h"
#include "configuration/ConfigurationFollower.h"

namespace marigoldpaddle::standins {

using namespace std::chrono_literals;

// Injected faults of the log, switched on and off by tests.
struct LogFaults {
    bool isDown { false }; // Appends and reads fail with Rejected.
    Duration delay { 1ms }; // Of each call to the log.
    int lostAppendAnswers { 0 }; // Number of appends that take effect but fail with NoAnswer.
};

// Simulates configuration followers, operators and the log in one thread on a manual clock. Every instance sends its
// offset to all others once a second, as the gossip of the membership layer does.
class ConfigurationSimulation {
public:
    ConfigurationSimulation(std::size_t instances, std::uint64_t seed, FollowerSettings settings = {});

    // Runs the simulation for `duration`. After every call to a follower it checks that the offset did not decrease.
    void run(Duration duration);

    // Publishes a change based on the state that its author last read, and passes the result to `done`.
    void publish(ConfigurationState& author, ConfigurationChange change, std::function<void(PublicationResult)> done);

    // Returns the state after all records that the log keeps, unaffected by faults.
    ConfigurationState readLog() const;

    // Stops an instance, or starts it with an empty state.
    void kill(std::size_t instance);
    void start(std::size_t instance);

    // Drops every record before `offset` from the log.
    void trim(std::uint64_t offset);

    // Schedules `action` after `delay`.
    void after(Duration delay, std::function<void()> action);

    // Returns the follower of an instance; null if the instance was killed.
    const ConfigurationFollower* follower(std::size_t instance) const;

    // Returns whether every running instance is ready and has applied the record at `offset`.
    bool haveAllApplied(std::uint64_t offset) const;
    std::uint64_t logEnd() const;
    std::uint64_t logFirst() const;
    const std::string& recordAt(std::uint64_t offset) const;

    LogFaults faults;
    std::map<std::size_t, Duration> extraDelay; // Added to the delay of log reads, by instance.
    TimePoint now { std::chrono::hours { 100 } };
    std::uint64_t logReads { 0 };
    std::uint64_t logBytes { 0 };
    std::uint64_t peerBytes { 0 };
    std::uint64_t checkpointRecords { 0 };
    std::vector<std::string> violations; // Failed checks, as messages.
    bool wasEverWithoutReadyInstance { false }; // At some time the log was down and no instance was ready.
    std::function<void(std::uint64_t)> onCheckpointPart; // Called with the offset of each part appended.

private:
    struct Instance {
        std::unique_ptr<ConfigurationFollower> follower;
        std::uint64_t incarnation { 0 };
        std::uint64_t highestReadyOffset { 0 }; // Kept across restarts of the instance.
        std::optional<TimePoint> advanceAt;
    };
    struct Poll {
        std::uint64_t offset { 0 };
        std::size_t limit { 0 };
        TimePoint until {};
        std::function<void(PlatformResult<LogPage>)> done;
    };

    void executeCommands(std::size_t index, FollowerCommands commands);
    void executeLogRead(std::size_t index, const ReadLogCommand& command);
    void executePeerFetch(std::size_t index, const FetchFromPeerCommand& command);
    void appendCheckpoint(std::size_t index, std::vector<std::string> records, std::size_t next);
    void read(std::uint64_t offset, std::size_t limit, Duration wait, Duration delay,
        std::function<void(PlatformResult<LogPage>)> done);
    void append(std::string record, std::function<void(PlatformResult<std::uint64_t>)> done);
    void completePolls();
    PlatformResult<LogPage> makePage(std::uint64_t offset, std::size_t limit);
    void exchangeOffsets();
    void scheduleAdvance(std::size_t index);
    void checkReadyOffset(std::size_t index);
    void updatePeers();
    void executePublicationStep(std::shared_ptr<ChangePublication> publication, PublicationStep step,
        std::function<void(PublicationResult)> done);

    // Calls the follower unless the instance was restarted since `incarnation`, and executes the resulting commands.
    using FollowerCall = std::function<FollowerCommands(ConfigurationFollower&)>;
    void callFollower(std::size_t index, std::uint64_t incarnation, const FollowerCall& call);

    FollowerSettings settings;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::deque<std::string> records;
    std::uint64_t firstOffset { 0 };
    std::vector<Poll> polls;
    std::multimap<TimePoint, std::function<void()>> events;
};

}
