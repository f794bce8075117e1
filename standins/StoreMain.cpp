#include <vector>

#include "standins/StoreStandin.h"

using namespace marigoldpaddle;

int main(int argc, char** argv)
{
    std::vector<SettingSpecification> settings { std::begin(standins::ListenSettings),
        std::end(standins::ListenSettings) };
    settings.push_back({ "log", "kept_records", SettingKind::Integer, 1, 10'000'000, "100000",
        "number of latest records of each topic that the log keeps" });
    const ProgramDescription description { "standin-store",
        "Stand-in for the platform's store, for tests and the demo.", settings };
    return runProgram(argc, argv, description, [](const Settings& values) {
        boost::asio::io_context context { 1 };
        standins::StoreStandin store { context, static_cast<std::size_t>(values.integer("log", "kept_records")) };
        return standins::serveUntilStopped(context, store, values);
    });
}
