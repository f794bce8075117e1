#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "base/Settings.h"

namespace marigoldpaddle {

// Texts and settings for the command line of a long-running program.
struct ProgramDescription {
    std::string_view name;
    std::string_view purpose; // One sentence for --help.
    std::span<const SettingSpecification> settings;
};

// Exit codes of the long-running programs; --help prints them.
enum class ExitCode {
    Success = 0,
    Failure = 1,
    Usage = 2, // The command line or the settings are invalid.
};

// Handles --config FILE, --check, --help and --version, initializes logging, and calls `run` with the validated
// settings. Returns the exit code of the process. Errors in the command line or the settings are written to the
// standard error stream.
int runProgram(
    int argc, char** argv, const ProgramDescription& description, const std::function<int(const Settings&)>& run);

// Like the overload above, for a program that reloads its settings while it runs: `run` also gets the path of the
// settings file.
int runProgram(int argc, char** argv, const ProgramDescription& description,
    const std::function<int(const Settings&, const std::string&)>& run);

// Runs the event loop until it is stopped. An exception that leaves one of its handlers is logged with its type and
// text, and ends the operation that threw it and no other: to end the process instead would cut off every request that
// it has accepted.
void runEventLoop(boost::asio::io_context& context);

// Writes the bound ports as `key=port` lines to `path`, or to the standard output if `path` is "-". The file is written
// under a temporary name and renamed, so that no reader sees an incomplete file.
void writePorts(const std::string& path, std::span<const std::pair<std::string, std::uint16_t>> ports);

}
