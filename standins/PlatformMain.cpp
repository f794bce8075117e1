#include <vector>

#include "standins/PlatformStandin.h"

using namespace marigoldpaddle;

int main(int argc, char** argv)
{
    std::vector<SettingSpecification> settings { std::begin(standins::ListenSettings),
        std::end(standins::ListenSettings) };
    settings.push_back({ "log", "kept_records", SettingKind::Integer, 1, 10'000'000, "100000",
        "records of each stream that the log keeps" });
    const ProgramDescription description { "standin-platform",
        "Stands in for the platform's log service and instance list, for tests and the demo.", settings };
    return runProgram(argc, argv, description, [](const Settings& values) {
        boost::asio::io_context context { 1 };
        standins::PlatformStandin platform { context, static_cast<std::size_t>(values.integer("log", "kept_records")) };
        return standins::serveUntilStopped(context, platform, values);
    });
}
