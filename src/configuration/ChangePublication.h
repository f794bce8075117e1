#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/ConfigurationState.h>
#include <marigoldpaddle/PlatformLog.h>

namespace marigoldpaddle {

struct PublicationSettings {
    Duration timeout { std::chrono::seconds { 20 } }; // For the whole publication, including retries.
    Duration minimumRetryDelay { std::chrono::milliseconds { 100 } }; // Doubles per wait.
    Duration maximumRetryDelay { std::chrono::seconds { 2 } };
    Duration longPollTimeout { std::chrono::seconds { 1 } }; // Of a read that looks for the change.
    std::size_t maximumAppends { 6 };
};

enum class PublicationOutcome {
    Accepted, // Read back from the log; ConfigurationState accepted it.
    Refused, // Read back from the log; ConfigurationState refused it.
    NotPublished, // The change is certainly not in the log.
    Unknown, // The change may be in the log, or may still appear there.
};

std::string_view name(PublicationOutcome outcome);

struct PublicationResult {
    PublicationOutcome outcome { PublicationOutcome::Unknown };
    ChangeResult verdict; // Set for Accepted and Refused.
    std::string explanation; // Set for NotPublished and Unknown.
};

struct AppendStep {
    std::string record;
};

struct ReadStep {
    std::uint64_t offset { 0 };
    std::size_t limit { 0 };
    Duration wait {};
};

struct WaitStep {
    Duration delay {};
};

using PublicationStep = std::variant<AppendStep, ReadStep, WaitStep, PublicationResult>;

// Publishes one change: appends it to the log and reads it back. An append without an answer may have taken effect, so
// the log is searched for the id of the change. If it is not found, the append is repeated with the same id;
// ConfigurationState applies a change that was appended twice only once. Does no I/O and reads no clock: the caller
// executes each step and passes in its result.
class ChangePublication {
public:
    // `state` must have applied all records before change.basedOn; the records that are read back are applied to it. It
    // must outlive the publication.
    ChangePublication(
        ConfigurationState& state, const ConfigurationChange& change, PublicationSettings settings, TimePoint now);

    PublicationStep start(TimePoint now);
    PublicationStep appendCompleted(const PlatformResult<std::uint64_t>& result, TimePoint now);
    PublicationStep readCompleted(const PlatformResult<LogPage>& result, TimePoint now);
    PublicationStep waitCompleted(TimePoint now);

private:
    PublicationStep append(TimePoint now);
    PublicationStep read(TimePoint now);
    PublicationStep wait(TimePoint now);
    PublicationStep giveUp(std::string_view reason) const;
    bool isExpired(TimePoint now) const;

    ConfigurationState& state;
    std::string id;
    std::string record;
    PublicationSettings settings;
    TimePoint deadline {};
    Duration retryDelay {};
    std::size_t appends { 0 };
    bool mayBeInLog { false };
    bool isReadNext { false }; // Whether the wait is followed by a read; otherwise the append is repeated.
};

}
