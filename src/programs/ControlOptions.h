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
    Unavailable = 1, // The platform did not respond; nothing was changed.
    Invalid = 2, // The command line or a preset file is invalid; nothing was changed.
    Refused = 3, // A change was refused: it conflicts with another change, or is invalid.
    Unknown = 4, // It is unknown whether a change was accepted.
    Different = 5, // diff: differences; status: an instance is behind or did not respond; explain: no line found.
};

// The parsed command line.
struct ControlOptions {
    std::string command;
    std::vector<std::string> arguments; // Of the command.
    std::string platform; // "IP:port"; empty if not given.
    std::optional<std::uint64_t> basedOn; // For apply, use and delete; the end of the log if not given.
    std::size_t limit { 20 }; // Number of changes that history lists.
    Duration allowedTime { std::chrono::seconds { 20 } }; // For a change to be accepted.
    bool isJson { false };
};

// Parses the command line. For --help, --version and invalid command lines it writes a text to the streams, and the
// result has the exit code instead of options.
struct ParsedOptions {
    ControlOptions options;
    std::optional<ControlExit> exit;
};
ParsedOptions parseControlOptions(int argc, char** argv, std::ostream& out, std::ostream& errors);

}
