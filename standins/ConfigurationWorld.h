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

// Faults of the log that a row switches on and off.
struct LogFaults {
    bool isDown { false };
    Duration delay { 1ms };
    int lostAppendAnswers { 0 }; // So many appends take effect and get no answer.
};

// Followers, operators and a log in one thread, on a manual clock. Every instance tells all others its offset once a
// second, as membership does.
class ConfigurationWorld {
public:
    ConfigurationWorld(std::size_t instances, std::uint64_t seed, FollowerSettings settings = {});

    // Runs until `duration` has passed, and checks after every event that no instance's offset fell.
    void run(Duration duration);

    // Publishes a change based on what its author last read; `done` gets the result.
    void publish(ConfigurationState& author, ConfigurationChange change, std::function<void(PublicationResult)> done);

    // Brings an operator's state up to the log, whatever the faults.
    ConfigurationState readLog() const;

    void kill(std::size_t instance);
    void start(std::size_t instance);

    // Drops every record before `offset` from the log.
    void trim(std::uint64_t offset);

    // Calls `action` after `delay`.
    void after(Duration delay, std::function<void()> action);

    const ConfigurationFollower* follower(std::size_t instance) const;
    bool allAgreeAt(std::uint64_t offset) const;
    std::uint64_t logEnd() const;
    std::uint64_t logFirst() const;
    const std::string& recordAt(std::uint64_t offset) const;

    LogFaults faults;
    std::map<std::size_t, Duration> extraDelay; // Of the log towards an instance.
    TimePoint now { std::chrono::hours { 100 } };
    std::uint64_t logReads { 0 };
    std::uint64_t logBytes { 0 };
    std::uint64_t peerBytes { 0 };
    std::uint64_t checkpointRecords { 0 };
    std::vector<std::string> violations;
    bool wasEverWithoutState { false }; // No instance was ready while the log was down.
    std::function<void(std::uint64_t)> onCheckpointPart; // Called after a part was appended, with its offset.

private:
    struct Instance {
        std::unique_ptr<ConfigurationFollower> follower;
        std::uint64_t incarnation { 0 };
        std::uint64_t highestReady { 0 }; // Offset in force, over all its lives.
        std::optional<TimePoint> wakeAt;
    };
    struct Poll {
        std::uint64_t offset { 0 };
        std::size_t limit { 0 };
        TimePoint until {};
        std::function<void(PlatformResult<LogPage>)> done;
    };

    void execute(std::size_t index, FollowerCommands commands);
    void readFor(std::size_t index, const ReadLogCommand& command);
    void fetchFor(std::size_t index, const FetchFromPeerCommand& command);
    void appendCheckpoint(std::size_t index, std::vector<std::string> records, std::size_t next);
    void read(std::uint64_t offset, std::size_t limit, Duration wait, Duration delay,
        std::function<void(PlatformResult<LogPage>)> done);
    void append(std::string record, std::function<void(PlatformResult<std::uint64_t>)> done);
    void answerPolls();
    PlatformResult<LogPage> page(std::uint64_t offset, std::size_t limit);
    void gossip();
    void wake(std::size_t index);
    void check(std::size_t index);
    void tellPeers();
    void step(std::shared_ptr<ChangePublication> publication, PublicationStep step,
        std::function<void(PublicationResult)> done);

    // Runs `action` on the follower unless it was restarted since, and executes what it asks for.
    using Event = std::function<FollowerCommands(ConfigurationFollower&)>;
    void deliver(std::size_t index, std::uint64_t incarnation, const Event& event);

    FollowerSettings settings;
    std::mt19937_64 random;
    std::vector<Instance> instances;
    std::deque<std::string> records;
    std::uint64_t first { 0 };
    std::vector<Poll> polls;
    std::multimap<TimePoint, std::function<void()>> events;
};

}
