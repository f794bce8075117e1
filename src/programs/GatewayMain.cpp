#include <chrono>
#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/HttpServer.h"
#include "base/InstanceSettings.h"
#include "base/Program.h"
#include "gateway/ClusterView.h"
#include "gateway/Gateway.h"
#include "rpc/RpcClient.h"

using namespace marigoldpaddle;

namespace {

constexpr SettingSpecification GatewaySpecifications[] = {
    { "listen", "http", SettingKind::Address, 0, 0, "127.0.0.1:0", "address for callers, HTTP" },
    { "listen", "ports", SettingKind::Text, 0, 0, "-", "file for the bound ports; - for the standard output" },
    { "limits", "body_bytes", SettingKind::Integer, 1024, 1'000'000'000, "33554432",
        "maximum size of a request body in bytes" },
    { "limits", "header_bytes", SettingKind::Integer, 512, 1'000'000, "16384",
        "maximum size of a request header in bytes" },
    { "limits", "connections", SettingKind::Integer, 1, 1'000'000, "16384",
        "maximum number of connections from callers" },
    { "limits", "receive_timeout_ms", SettingKind::Milliseconds, 10, 600'000, "15000",
        "time limit for receiving a whole request" },
    { "limits", "send_timeout_ms", SettingKind::Milliseconds, 10, 600'000, "10000",
        "time limit for writing a piece of a response to a caller" },
    { "dispatcher", "address", SettingKind::Address, 0, 0, std::nullopt,
        "RPC address of the dispatcher of the same instance" },
    { "stop", "grace_ms", SettingKind::Milliseconds, 0, 600'000, "3000",
        "time for the load balancer to stop sending requests before the listener closes" },
};

HttpServerLimits limitsFrom(const Settings& values)
{
    HttpServerLimits limits;
    limits.bodyBytes = static_cast<std::size_t>(values.integer("limits", "body_bytes"));
    limits.headerBytes = static_cast<std::size_t>(values.integer("limits", "header_bytes"));
    limits.connections = static_cast<std::size_t>(values.integer("limits", "connections"));
    limits.receiveTimeout = values.milliseconds("limits", "receive_timeout_ms");
    limits.sendTimeout = values.milliseconds("limits", "send_timeout_ms");
    return limits;
}

boost::asio::awaitable<void> stopGracefully(
    boost::asio::io_context& context, Gateway& gateway, HttpServer& server, Duration grace)
{
    gateway.beginGracefulShutdown();
    boost::asio::steady_timer timer { context, grace };
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_await server.drain();
    co_await gateway.finishBackgroundTasks();
    context.stop();
}

int run(const Settings& values)
{
    boost::asio::io_context context { 1 };
    SteadyClock clock;
    MetricsRegistry metrics;
    HttpClient client { context.get_executor() };
    RpcClient rpc { context.get_executor() };
    GatewaySettings settings;
    const auto instance = instanceSettingsFrom(values);
    settings.instance = instance.id;
    settings.availabilityZone = instance.availabilityZone;
    settings.randomSeed = std::random_device {}();
    ClusterView view { context, rpc, metrics, settings.instance, values.text("dispatcher", "address") };
    Gateway gateway { context, clock, settings, view, rpc, client, metrics };
    HttpServer server { context, gateway, limitsFrom(values) };
    const std::pair<std::string, std::uint16_t> ports[] { { "http", server.listen(values.text("listen", "http")) } };
    writePorts(values.text("listen", "ports"), ports);
    view.start();
    gateway.start();
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&](const boost::system::error_code&, int) {
        auto stopping = stopGracefully(context, gateway, server, values.milliseconds("stop", "grace_ms"));
        boost::asio::co_spawn(context, std::move(stopping), boost::asio::detached);
    });
    runEventLoop(context);
    return static_cast<int>(ExitCode::Success);
}

}

int main(int argc, char** argv)
{
    const auto specifications = withInstanceSettings(GatewaySpecifications);
    const ProgramDescription description { "marigold-gateway",
        "Accepts requests from callers, obtains a placement on a target, and streams the response back.",
        specifications };
    return runProgram(argc, argv, description, run);
}
