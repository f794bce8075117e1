#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "base/Settings.h"

namespace marigoldpaddle {

// What a long-running program says about itself on the command line.
struct ProgramDescription {
    std::string_view name;
    std::string_view purpose; // One sentence for --help.
    std::span<const SettingSpecification> settings;
};

// Exit codes of the long-running programs.
enum class ExitCode {
    Success = 0,
    Failure = 1,
    Usage = 2, // The command line or the settings are wrong.
};

// Handles --config FILE, --check, --help and --version, sets up logging, and calls `run` with the checked settings.
// Returns the exit code of the process. Messages about bad settings go to the standard error stream.
int runProgram(
    int argc, char** argv, const ProgramDescription& description, const std::function<int(const Settings&)>& run);

// The same for a program that reads its settings file again while it runs: `run` also gets the file's path.
int runProgram(int argc, char** argv, const ProgramDescription& description,
    const std::function<int(const Settings&, const std::string&)>& run);

// Writes the bound ports as `key=port` lines, to `path`, or to the standard output when `path` is "-".
// The file appears whole or not at all.
void writePorts(const std::string& path, std::span<const std::pair<std::string, std::uint16_t>> ports);

}
