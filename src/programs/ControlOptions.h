#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

// Exit codes of marigoldctl.
enum class ControlExit {
    Success = 0,
    Unavailable = 1, // The platform did not answer, and nothing was changed.
    Invalid = 2, // The command line or a preset file is wrong, and nothing was changed.
    Refused = 3, // A change was refused: it conflicts with another one, or is invalid.
    Unknown = 4, // It is not known whether a change was accepted.
    Different = 5, // diff: there are differences. status: an instance is behind or gave no answer.
};

// What the command line asks for.
struct ControlOptions {
    std::string command;
    std::vector<std::string> arguments; // Behind the command.
    std::string platform; // "IP:port"; empty if it is not given.
    std::optional<std::uint64_t> basedOn; // Of apply, use and delete; the end of the log if not given.
    std::size_t limit { 20 }; // Of history.
    Duration allowedTime { std::chrono::seconds { 20 } };
    bool isJson { false };
};

// Reads the command line. On --help, --version and errors it writes to the streams and sets the exit code instead.
struct ParsedOptions {
    ControlOptions options;
    std::optional<ControlExit> exit;
};
ParsedOptions parseControlOptions(int argc, char** argv, std::ostream& out, std::ostream& errors);

}
