#include "standins/ServiceStandin.h"

using namespace marigoldpaddle;

int main(int argc, char** argv)
{
    std::vector<SettingSpecification> settings { std::begin(standins::ListenSettings),
        std::end(standins::ListenSettings) };
    settings.push_back({ "service", "id", SettingKind::Text, 0, 0, "",
        "id that the service is registered under on the users' platform; empty if the platform is not used" });
    const ProgramDescription description { "standin-service", "Stand-in for an order service, for tests and the demo.",
        settings };
    return runProgram(argc, argv, description, [](const Settings& values) {
        boost::asio::io_context context { 1 };
        standins::ServiceStandin service { values.text("service", "id") };
        return standins::serveUntilStopped(context, service, values);
    });
}
