#include "programs/ControlOptions.h"

#include <algorithm>
#include <charconv>
#include <ostream>

#include <getopt.h>

#include "base/Settings.h"

namespace marigoldpaddle {

namespace {

constexpr std::string_view Help = R"(Usage: marigoldctl [OPTION]... COMMAND [ARGUMENT]...
Checks presets kept in files, publishes them on the platform's log, and chooses the one in force.

Commands:
  validate DIRECTORY        check the presets of a directory; needs no platform
  diff DIRECTORY            show what apply would change
  apply DIRECTORY           make the presets of the log what the directory says; other presets stay
  use PRESET                put a preset in force
  delete PRESET             remove a preset that is not in force
  show PRESET [SECTION]     print a preset as INI
  list                      list the presets; * marks the one in force
  history                   list the last changes, accepted and refused
  status                    show the offset in force at every instance
  targets                   list the targets
  explain ID FILE...        print what the logs of instances say about one request; needs no platform

A directory holds one NAME.ini for each preset; a folder NAME with several .ini files is one preset too, each section in
one of them. Sections that the files no longer hold are removed from the preset.

Options:
  -p, --platform IP:PORT    address of the platform's log and instance list
  -b, --based-on REVISION   refuse the change if what it touches was changed at or after this revision, as shown by diff,
                            show or list; the end of the log if not given
  -n, --limit NUMBER        changes that history lists, 20 if not given
  -t, --timeout SECONDS     time for a change to be accepted, 1 to 600, 20 if not given
  -j, --json                print JSON
  -h, --help                print this help
  -V, --version             print the version

Exit codes:
  0  done; diff: no difference; status: every instance is ready at the end of the log
  1  the platform did not answer; nothing was changed
  2  the command line or a preset file is wrong; nothing was changed
  3  a change was refused: a conflict, named with the section and both revisions, or an invalid value
  4  it is not known whether a change was accepted; look at history, or run the command again
  5  diff: there are differences; status: an instance is behind or gave no answer
)";

struct CommandForm {
    std::string_view name;
    std::size_t minimum { 0 };
    std::size_t maximum { 0 };
    bool needsPlatform { true };
};

constexpr CommandForm Commands[] = { { "validate", 1, 1, false }, { "diff", 1, 1 }, { "apply", 1, 1 }, { "use", 1, 1 },
    { "delete", 1, 1 }, { "show", 1, 2 }, { "list", 0, 0 }, { "history", 0, 0 }, { "status", 0, 0 },
    { "targets", 0, 0 }, { "explain", 2, 10'000, false } };

constexpr option LongOptions[] = { { "platform", required_argument, nullptr, 'p' },
    { "based-on", required_argument, nullptr, 'b' }, { "limit", required_argument, nullptr, 'n' },
    { "timeout", required_argument, nullptr, 't' }, { "json", no_argument, nullptr, 'j' },
    { "help", no_argument, nullptr, 'h' }, { "version", no_argument, nullptr, 'V' }, { nullptr, 0, nullptr, 0 } };

std::optional<std::uint64_t> numberFrom(std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto isWhole = error == std::errc {} && end == text.data() + text.size();
    return isWhole && value >= minimum && value <= maximum ? std::optional { value } : std::nullopt;
}

constexpr SettingSpecification AddressSpecifications[]
    = { { "options", "platform", SettingKind::Address, 0, 0, std::nullopt, "address of the platform" } };

// Returns what is wrong with an address, or nothing.
std::string checkAddress(std::string_view address)
{
    const SettingsSections sections { { "options", { { "platform", std::string { address } } } } };
    return checkSettings(sections, AddressSpecifications, "").empty() ? ""
                                                                      : "--platform must be IP:PORT, port 0 to 65535";
}

// Takes the value of one option. Returns what is wrong with it, or nothing.
std::string takeOption(int option, std::string_view value, ControlOptions& options)
{
    if (option == 'p') {
        options.platform = value;
        return checkAddress(value);
    }
    if (option == 'j') {
        options.isJson = true;
    } else if (option == 'b') {
        options.basedOn = numberFrom(value, 0, INT64_MAX);
        return options.basedOn ? "" : "--based-on must be a revision, 0 or above";
    } else if (option == 'n') {
        const auto limit = numberFrom(value, 1, 512);
        options.limit = limit.value_or(0);
        return limit ? "" : "--limit must be a number from 1 to 512";
    } else if (option == 't') {
        const auto seconds = numberFrom(value, 1, 600);
        options.allowedTime = std::chrono::seconds { seconds.value_or(1) };
        return seconds ? "" : "--timeout must be seconds from 1 to 600";
    }
    return {};
}

std::string unknownCommand(std::string_view command)
{
    std::vector<std::string_view> names;
    std::ranges::transform(Commands, std::back_inserter(names), &CommandForm::name);
    return "unknown command " + std::string { command } + "; the nearest is "
        + std::string { nearestWord(command, names) };
}

// Returns what is wrong with the command and its arguments, or nothing.
std::string checkCommand(const ControlOptions& options)
{
    if (options.command.empty())
        return "no command given";
    const auto form = std::ranges::find(Commands, options.command, &CommandForm::name);
    if (form == std::end(Commands))
        return unknownCommand(options.command);
    if (options.arguments.size() < form->minimum || options.arguments.size() > form->maximum)
        return options.command + " takes " + std::to_string(form->minimum)
            + (form->minimum == form->maximum ? "" : " to " + std::to_string(form->maximum)) + " arguments, not "
            + std::to_string(options.arguments.size());
    if (form->needsPlatform && options.platform.empty())
        return options.command + " needs --platform IP:PORT";
    return {};
}

ParsedOptions wrongUsage(std::ostream& errors, std::string_view problem)
{
    errors << "marigoldctl: " << problem << "\nTry 'marigoldctl --help'.\n";
    return { {}, ControlExit::Invalid };
}

}

ParsedOptions parseControlOptions(int argc, char** argv, std::ostream& out, std::ostream& errors)
{
    ParsedOptions parsed;
    optind = 0; // glibc: start over, also with permuted arguments.
    opterr = 0;
    for (int each = 0; (each = getopt_long(argc, argv, ":p:b:n:t:jhV", LongOptions, nullptr)) != -1;) {
        if (each == 'h' || each == 'V') {
            out << (each == 'h' ? std::string { Help } : "marigoldctl " MARIGOLDPADDLE_VERSION "\n");
            return { {}, ControlExit::Success };
        }
        if (each == '?' || each == ':') {
            const std::string reason { each == ':' ? "missing value of " : "unknown option " };
            return wrongUsage(errors, reason + argv[optind - 1]);
        }
        if (const auto problem = takeOption(each, optarg ? optarg : "", parsed.options); !problem.empty())
            return wrongUsage(errors, problem);
    }
    const std::vector<std::string> words { argv + optind, argv + argc };
    if (!words.empty()) {
        parsed.options.command = words.front();
        parsed.options.arguments.assign(words.begin() + 1, words.end());
    }
    if (const auto problem = checkCommand(parsed.options); !problem.empty())
        return wrongUsage(errors, problem);
    return parsed;
}

}
