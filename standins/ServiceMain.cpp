#include "standins/ServiceStandin.h"

using namespace marigoldpaddle;

int main(int argc, char** argv)
{
    const ProgramDescription description { "standin-service", "Stands in for an order service, for tests and the demo.",
        standins::ListenSettings };
    return runProgram(argc, argv, description, [](const Settings& values) {
        boost::asio::io_context context { 1 };
        standins::ServiceStandin service;
        return standins::serveUntilStopped(context, service, values);
    });
}
