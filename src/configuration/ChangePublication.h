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
    Duration allowedTime { std::chrono::seconds { 20 } };
    Duration firstRetryDelay { std::chrono::milliseconds { 100 } }; // Doubles up to the last.
    Duration lastRetryDelay { std::chrono::seconds { 2 } };
    Duration readWait { std::chrono::seconds { 1 } }; // Of a long poll for the change.
    std::size_t appends { 6 }; // At most.
};

enum class PublicationOutcome {
    Accepted, // Read back, and accepted by the fold.
    Refused, // Read back, and refused by the fold.
    NotPublished, // It is certain that the log does not have it.
    Unknown, // It may be in the log, or may yet appear there.
};

std::string_view name(PublicationOutcome outcome);

struct PublicationResult {
    PublicationOutcome outcome { PublicationOutcome::Unknown };
    ChangeVerdict verdict; // Of Accepted and Refused.
    std::string explanation; // Of the others.
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

// Decides how one change is published: it is appended, then read back. An append without an answer is looked for by its
// id and repeated under the same id when it is not found: the fold takes a repeated change once. Pure.
class ChangePublication {
public:
    // `state` is read up to change.basedOn and is brought forward by the reads. It must outlive the publication.
    ChangePublication(
        ConfigurationState& state, const ConfigurationChange& change, PublicationSettings settings, TimePoint now);

    PublicationStep start(TimePoint now);
    PublicationStep appended(const PlatformResult<std::uint64_t>& result, TimePoint now);
    PublicationStep wasRead(const PlatformResult<LogPage>& result, TimePoint now);
    PublicationStep waited(TimePoint now);

private:
    PublicationStep append(TimePoint now);
    PublicationStep read(TimePoint now);
    PublicationStep wait(TimePoint now);
    PublicationStep giveUp(std::string_view reason) const;
    bool isOver(TimePoint now) const;

    ConfigurationState& state;
    std::string id;
    std::string record;
    PublicationSettings settings;
    TimePoint deadline {};
    Duration retryDelay {};
    std::size_t appends { 0 };
    bool mayBeInLog { false };
    bool isReadNext { false }; // After the wait; else the append is repeated.
};

}
