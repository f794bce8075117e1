#include "base/Program.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <optional>
#include <typeinfo>

#include <boost/core/demangle.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <getopt.h>
#include <glog/logging.h>

namespace marigoldpaddle {

namespace {

struct CommandLine {
    std::string config;
    bool isCheck { false };
    bool isHelp { false };
    bool isVersion { false };
    bool isValid { true };
};

CommandLine readCommandLine(int argc, char** argv)
{
    static constexpr option Options[] = {
        { "config", required_argument, nullptr, 'c' },
        { "check", no_argument, nullptr, 'k' },
        { "help", no_argument, nullptr, 'h' },
        { "version", no_argument, nullptr, 'v' },
        { nullptr, 0, nullptr, 0 },
    };
    CommandLine line;
    int option = 0;
    while ((option = getopt_long(argc, argv, "c:h", Options, nullptr)) != -1) {
        switch (option) {
        case 'c':
            line.config = optarg;
            break;
        case 'k':
            line.isCheck = true;
            break;
        case 'h':
            line.isHelp = true;
            break;
        case 'v':
            line.isVersion = true;
            break;
        default:
            line.isValid = false;
        }
    }
    if (optind < argc) {
        std::cerr << argv[0] << ": unexpected argument " << argv[optind] << '\n';
        line.isValid = false;
    }
    return line;
}

void printHelp(const ProgramDescription& description)
{
    std::cout << "Usage: " << description.name << " --config FILE [--check]\n\n"
              << description.purpose << "\n\n"
              << "  --config FILE  read settings from this INI file\n"
              << "  --check        validate the settings, print any errors, and exit\n"
              << "  --help         print this help\n"
              << "  --version      print the version\n\n"
              << "Settings:\n";
    for (const auto& setting : description.settings) {
        std::cout << "  [" << setting.section << "] " << setting.key << "  " << setting.description;
        if (setting.defaultValue)
            std::cout << " (default " << (setting.defaultValue->empty() ? "empty" : *setting.defaultValue) << ")";
        std::cout << '\n';
    }
    std::cout << "\nExit codes: 0 success, 1 failure, 2 invalid command line or settings.\n";
}

// Returns nothing, and writes the problem to the standard error stream, if the settings are invalid.
std::optional<Settings> loadSettings(const std::string& config, std::span<const SettingSpecification> specifications)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Settings>> {
            BOOST_LEAF_AUTO(settings, Settings::load(config, specifications));
            return settings;
        },
        [](const SettingsProblem& problem) {
            std::cerr << problem.message << '\n';
            return std::optional<Settings> {};
        },
        [&] {
            std::cerr << config << ": the settings could not be read\n";
            return std::optional<Settings> {};
        });
}

// The program runs outside of LEAF's handlers, which would take an exception for an error without a text.
int runWithSettings(const std::string& config, bool isCheck, const ProgramDescription& description,
    const std::function<int(const Settings&, const std::string&)>& run)
{
    const auto settings = loadSettings(config, description.settings);
    if (!settings)
        return static_cast<int>(ExitCode::Usage);
    if (!isCheck)
        return run(*settings, config);
    std::cout << config << ": settings are valid\n";
    return static_cast<int>(ExitCode::Success);
}

}

int runProgram(
    int argc, char** argv, const ProgramDescription& description, const std::function<int(const Settings&)>& run)
{
    const std::function<int(const Settings&, const std::string&)> ignoringPath
        = [&](const Settings& settings, const std::string&) {
              return run(settings);
          };
    return runProgram(argc, argv, description, ignoringPath);
}

int runProgram(int argc, char** argv, const ProgramDescription& description,
    const std::function<int(const Settings&, const std::string&)>& run)
{
    const auto line = readCommandLine(argc, argv);
    if (line.isHelp) {
        printHelp(description);
        return static_cast<int>(ExitCode::Success);
    }
    if (line.isVersion) {
        std::cout << description.name << ' ' << MARIGOLDPADDLE_VERSION << '\n';
        return static_cast<int>(ExitCode::Success);
    }
    if (!line.isValid || line.config.empty()) {
        std::cerr << "Usage: " << description.name << " --config FILE [--check]; see --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    try {
        return runWithSettings(line.config, line.isCheck, description, run);
    } catch (const std::exception& failure) {
        std::cerr << description.name << ": " << failure.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
}

void runEventLoop(boost::asio::io_context& context)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& failure) {
            LOG(ERROR) << "exception left a handler of the event loop: "
                       << boost::core::demangle(typeid(failure).name()) << ": " << failure.what();
        }
    }
}

void writePorts(const std::string& path, std::span<const std::pair<std::string, std::uint16_t>> ports)
{
    if (path == "-") {
        for (const auto& [key, port] : ports)
            std::cout << key << '=' << port << '\n';
        std::cout.flush();
        return;
    }
    const auto temporary = path + ".new";
    {
        std::ofstream out { temporary };
        for (const auto& [key, port] : ports)
            out << key << '=' << port << '\n';
    }
    std::rename(temporary.c_str(), path.c_str());
}

}
