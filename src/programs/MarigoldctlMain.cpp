#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <getopt.h>

#include <marigoldpaddle/ConfigurationState.h>

#include "base/HttpClient.h"
#include "base/Settings.h"
#include "platform/HttpPlatformLog.h"

using namespace marigoldpaddle;

namespace {

namespace asio = boost::asio;

constexpr std::chrono::seconds PlatformTimeout { 2 };
constexpr std::size_t PageRecords = 1000;

asio::awaitable<bool> readToEnd(
    PlatformLog& log, ConfigurationState& state, std::map<std::string, ChangeVerdict>& verdicts)
{
    while (true) {
        auto page = co_await log.read(state.nextOffset(), PageRecords, Duration::zero());
        if (!page)
            co_return false;
        for (const auto& record : page.value().records) {
            auto verdict = state.apply(record.offset, record.data);
            verdicts[verdict.id] = verdict;
        }
        if (page.value().next <= state.nextOffset())
            co_return true;
    }
}

std::string newId()
{
    std::random_device source;
    std::ostringstream id;
    id << std::hex << source() << source() << source() << source();
    return id.str();
}

asio::awaitable<int> publish(PlatformLog& log, ConfigurationChange change)
{
    ConfigurationState state;
    std::map<std::string, ChangeVerdict> verdicts;
    if (!co_await readToEnd(log, state, verdicts)) {
        std::cerr << "marigoldctl: the log cannot be read\n";
        co_return 1;
    }
    change.id = newId();
    change.basedOn = state.nextOffset();
    // An append without an answer may have taken effect: only reading back tells.
    const auto appended = co_await log.append(encodeChange(change));
    if (!appended)
        std::cerr << "marigoldctl: append: " << name(appended.error()) << "; looking for the change in the log\n";
    if (!co_await readToEnd(log, state, verdicts) || !verdicts.contains(change.id)) {
        std::cerr << "marigoldctl: the change could not be read back\n";
        co_return 1;
    }
    const auto& verdict = verdicts[change.id];
    if (!verdict.isAccepted)
        std::cerr << "marigoldctl: refused: " << verdict.explanation << '\n';
    else
        std::cout << change.preset << ": accepted\n";
    co_return verdict.isAccepted ? 0 : 3;
}

int applyDirectory(asio::io_context& context, PlatformLog& log, const std::string& directory)
{
    for (const auto& entry : std::filesystem::directory_iterator(directory)) {
        if (entry.path().extension() != ".ini")
            continue;
        std::ifstream in { entry.path() };
        std::stringstream text;
        text << in.rdbuf();
        ConfigurationChange change;
        change.preset = entry.path().stem().string();
        const auto failure = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_AUTO(sections, parseIni(text.str(), entry.path().string()));
                BOOST_LEAF_CHECK(makePreset(change.preset, sections, entry.path().string()));
                for (const auto& [name, values] : sections)
                    change.sections[name] = values;
                return std::string {};
            },
            [](const SettingsProblem& problem) { return problem.message; },
            [](const PresetProblem& problem) { return problem.message; }, [] { return std::string { "unreadable" }; });
        if (!failure.empty()) {
            std::cerr << failure << '\n';
            return 2;
        }
        auto done = asio::co_spawn(context, publish(log, std::move(change)), asio::use_future);
        context.restart();
        context.run();
        if (const auto code = done.get(); code != 0)
            return code;
    }
    return 0;
}

int usePreset(asio::io_context& context, PlatformLog& log, const std::string& preset)
{
    ConfigurationChange change;
    change.kind = ConfigurationChangeKind::Use;
    change.preset = preset;
    auto done = asio::co_spawn(context, publish(log, std::move(change)), asio::use_future);
    context.run();
    return done.get();
}

}

int main(int argc, char** argv)
{
    static constexpr option Options[] = { { "platform", required_argument, nullptr, 'p' }, { nullptr, 0, nullptr, 0 } };
    std::string platform;
    for (int each = 0; (each = getopt_long(argc, argv, "p:", Options, nullptr)) != -1;) {
        if (each == 'p')
            platform = optarg;
    }
    if (platform.empty() || argc - optind != 2) {
        std::cerr << "Usage: marigoldctl --platform IP:port apply DIRECTORY | use PRESET\n";
        return 2;
    }
    asio::io_context context { 1 };
    HttpClient client { context.get_executor() };
    HttpPlatformLog log { client, platform, "configuration", PlatformTimeout };
    const std::string command { argv[optind] };
    if (command == "apply")
        return applyDirectory(context, log, argv[optind + 1]);
    if (command == "use")
        return usePreset(context, log, argv[optind + 1]);
    std::cerr << "marigoldctl: unknown command " << command << '\n';
    return 2;
}
