#include "programs/ControlOptions.h"

#include <algorithm>
#include <charconv>
#include <ostream>

#include <getopt.h>

#include "base/Settings.h"

namespace marigoldpaddle {

namespace {

constexpr std::string_view Help = R"(Usage: marigoldctl [OPTION]... COMMAND [ARGUMENT]...
Validates preset files, publishes presets to the platform's log, and selects the preset in force.

Commands:
  validate DIRECTORY        check the presets in a directory; needs no platform
  diff DIRECTORY            show the changes that apply would make
  apply DIRECTORY           update the presets in the log to match the directory; presets without a file are kept
  use PRESET                put a preset in force
  delete PRESET             remove a preset that is not in force
  show PRESET [SECTION]     print a preset as INI
  list                      list the presets; * marks the preset in force
  history                   list the latest changes, accepted and refused
  status                    show the configuration offset of every instance
  targets                   list the targets
  explain ID FILE...        print the lines about one request from the log files of instances; needs no platform

A directory contains one file NAME.ini for each preset, or a folder NAME whose .ini files together form the preset; each
section may be in only one of them. apply removes sections that are no longer in the files from the preset.

Options:
  -p, --platform IP:PORT    address of the platform's log and instance list
  -b, --based-on REVISION   refuse the change if the sections or the preset it concerns were changed at or after this
                            revision, as shown by diff, show or list; default: the end of the log
  -n, --limit NUMBER        number of changes that history lists, 1 to 512, default 20
  -t, --timeout SECONDS     time limit for a change to be accepted, 1 to 600, default 20
  -j, --json                print JSON
  -h, --help                print this help
  -V, --version             print the version

Exit codes:
  0  success; diff: no difference; status: every instance is ready and at the end of the log
  1  the platform did not respond; nothing was changed
  2  the command line or a preset file is invalid; nothing was changed
  3  a change was refused: a conflict, reported with the section and both revisions, or an invalid value
  4  it is unknown whether a change was accepted; check history, or run the command again
  5  diff: there are differences; status: an instance is behind or did not respond; explain: no line was found
)";

struct CommandSpecification {
    std::string_view name;
    std::size_t minimum { 0 }; // Number of arguments.
    std::size_t maximum { 0 };
    bool needsPlatform { true };
};

constexpr CommandSpecification Commands[] = { { "validate", 1, 1, false }, { "diff", 1, 1 }, { "apply", 1, 1 },
    { "use", 1, 1 }, { "delete", 1, 1 }, { "show", 1, 2 }, { "list", 0, 0 }, { "history", 0, 0 }, { "status", 0, 0 },
    { "targets", 0, 0 }, { "explain", 2, 10'000, false } };

constexpr option LongOptions[] = { { "platform", required_argument, nullptr, 'p' },
    { "based-on", required_argument, nullptr, 'b' }, { "limit", required_argument, nullptr, 'n' },
    { "timeout", required_argument, nullptr, 't' }, { "json", no_argument, nullptr, 'j' },
    { "help", no_argument, nullptr, 'h' }, { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } };

std::optional<std::uint64_t> parseNumber(std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto isWhole = error == std::errc {} && end == text.data() + text.size();
    return isWhole && value >= minimum && value <= maximum ? std::optional { value } : std::nullopt;
}

constexpr SettingSpecification AddressSpecifications[]
    = { { "options", "platform", SettingKind::Address, 0, 0, std::nullopt, "address of the platform" } };

// Returns an error message, empty if the address is valid.
std::string checkAddress(std::string_view address)
{
    const SettingsSections sections { { "options", { { "platform", std::string { address } } } } };
    return checkSettings(sections, AddressSpecifications, "").empty() ? ""
                                                                      : "--platform must be IP:PORT, port 0 to 65535";
}

// Stores the value of one option. Returns an error message, empty if the value is valid.
std::string applyOption(int option, std::string_view value, ControlOptions& options)
{
    if (option == 'p') {
        options.platform = value;
        return checkAddress(value);
    }
    if (option == 'j') {
        options.isJson = true;
    } else if (option == 'b') {
        options.basedOn = parseNumber(value, 0, INT64_MAX);
        return options.basedOn ? "" : "--based-on must be a revision, 0 or above";
    } else if (option == 'n') {
        const auto limit = parseNumber(value, 1, 512);
        options.limit = limit.value_or(0);
        return limit ? "" : "--limit must be a number from 1 to 512";
    } else if (option == 't') {
        const auto seconds = parseNumber(value, 1, 600);
        options.allowedTime = std::chrono::seconds { seconds.value_or(1) };
        return seconds ? "" : "--timeout must be seconds from 1 to 600";
    }
    return {};
}

std::string unknownCommand(std::string_view command)
{
    std::vector<std::string_view> names;
    std::ranges::transform(Commands, std::back_inserter(names), &CommandSpecification::name);
    return "unknown command " + std::string { command } + "; the nearest is "
        + std::string { nearestWord(command, names) };
}

// Returns an error message, empty if the command and its arguments are valid.
std::string checkCommand(const ControlOptions& options)
{
    if (options.command.empty())
        return "no command given";
    const auto specification = std::ranges::find(Commands, options.command, &CommandSpecification::name);
    if (specification == std::end(Commands))
        return unknownCommand(options.command);
    if (options.arguments.size() < specification->minimum || options.arguments.size() > specification->maximum)
        return options.command + " takes " + std::to_string(specification->minimum)
            + (specification->minimum == specification->maximum ? "" : " to " + std::to_string(specification->maximum))
            + " arguments, not " + std::to_string(options.arguments.size());
    if (specification->needsPlatform && options.platform.empty())
        return options.command + " requires --platform IP:PORT";
    return {};
}

ParsedOptions usageError(std::ostream& errors, std::string_view problem)
{
    errors << "marigoldctl: " << problem << "\nTry 'marigoldctl --help'.\n";
    return { {}, ControlExit::Invalid };
}

}

ParsedOptions parseControlOptions(int argc, char** argv, std::ostream& out, std::ostream& errors)
{
    ParsedOptions parsed;
    optind = 0; // glibc: restarts the scan and resets the state of the argument permutation.
    opterr = 0;
    for (int optionCharacter = 0;
        (optionCharacter = getopt_long(argc, argv, ":p:b:n:t:jhV", LongOptions, nullptr)) != -1;) {
        if (optionCharacter == 'h' || optionCharacter == 'V') {
            out << (optionCharacter == 'h' ? std::string { Help } : "marigoldctl " MARIGOLDPADDLE_VERSION "\n");
            return { {}, ControlExit::Success };
        }
        if (optionCharacter == '?' || optionCharacter == ':') {
            const std::string reason { optionCharacter == ':' ? "missing value of " : "unknown option " };
            return usageError(errors, reason + argv[optind - 1]);
        }
        if (const auto problem = applyOption(optionCharacter, optarg ? optarg : "", parsed.options); !problem.empty())
            return usageError(errors, problem);
    }
    const std::vector<std::string> words { argv + optind, argv + argc };
    if (!words.empty()) {
        parsed.options.command = words.front();
        parsed.options.arguments.assign(words.begin() + 1, words.end());
    }
    if (const auto problem = checkCommand(parsed.options); !problem.empty())
        return usageError(errors, problem);
    return parsed;
}

}
