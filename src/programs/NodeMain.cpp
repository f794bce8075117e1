#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/Program.h"
#include "platform/HeaderFormat.h"
#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "serving/ServingNode.h"

using namespace marigoldpaddle;

namespace {

int run(const Settings& values)
{
    boost::asio::io_context context { 1 };
    SteadyClock clock;
    const auto settings = servingNodeSettingsFrom(values);
    HttpClient storeClient { context.get_executor(), { .connectTimeout = settings.storeTimeout } };
    platform::StoreClient store { storeClient, values.text("platform", "address"), settings.storeTimeout };
    platform::HeaderFormat format;
    platform::RecordFormat records;
    ServingNode node { context, clock, { store, records, format }, settings };
    node.start();
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&](const boost::system::error_code&, int) {
        boost::asio::co_spawn(context, node.stopGracefully(), boost::asio::detached);
    });
    context.run();
    return static_cast<int>(ExitCode::Success);
}

}

int main(int argc, char** argv)
{
    const ProgramDescription description { "marigold-node",
        "Serves callers on the users' platform: one process for each instance.", servingNodeSpecifications() };
    return runProgram(argc, argv, description, run);
}
