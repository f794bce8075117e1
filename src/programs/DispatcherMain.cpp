
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/HttpServer.h"
#include "base/InstanceSettings.h"
#include "base/Program.h"
#include "dispatch/Dispatcher.h"
#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "platform/StoreInstanceList.h"
#include "platform/StoreLog.h"
#include "rpc/RpcServer.h"

using namespace marigoldpaddle;

namespace {

constexpr SettingSpecification DispatcherSpecifications[] = {
    { "listen", "rpc", SettingKind::Address, 0, 0, "127.0.0.1:0", "address for gateways and other dispatchers, TCP" },
    { "listen", "membership", SettingKind::Address, 0, 0, "127.0.0.1:0",
        "address for membership messages of other instances, UDP" },
    { "listen", "http", SettingKind::Address, 0, 0, "127.0.0.1:0", "address for health checks and metrics, HTTP" },
    { "listen", "ports", SettingKind::Text, 0, 0, "-", "file for the bound ports; - for the standard output" },
    { "platform", "address", SettingKind::Address, 0, 0, std::nullopt, "address of the log service and instance list" },
    { "platform", "timeout_ms", SettingKind::Milliseconds, 10, 60'000, "2000",
        "time limit for a response of the platform" },
    { "log", "retention_ms", SettingKind::Milliseconds, 60'000, 31'536'000'000, "86400000",
        "how long the platform's log keeps a record" },
    { "log", "checkpoint_share", SettingKind::Real, 0.05, 0.95, "0.4",
        "fraction of the retention after which a new checkpoint of the configuration is written" },
    { "stop", "grace_ms", SettingKind::Milliseconds, 0, 600'000, "1000",
        "time between handing over the cells and exit in a graceful shutdown" },
};

// Returns the address with its port replaced by the port that was bound.
std::string withPort(std::string_view address, std::uint16_t port)
{
    return splitAddress(address).host + ":" + std::to_string(port);
}

int run(const Settings& values)
{
    boost::asio::io_context context { 1 };
    SteadyClock clock;
    HttpClient client { context.get_executor() };
    const auto& address = values.text("platform", "address");
    const auto timeout = values.milliseconds("platform", "timeout_ms");
    platform::StoreLog log { client, address, "configuration", timeout };
    platform::StoreLog claimLog { client, address, "claims", timeout };
    platform::StoreClient store { client, address, timeout };
    platform::RecordFormat records;
    platform::StoreInstanceList list { store, records };
    DispatcherSettings settings;
    const auto instance = instanceSettingsFrom(values);
    settings.instance = instance.id;
    settings.availabilityZone = instance.availabilityZone;
    settings.configuration.checkpoints.retention = values.milliseconds("log", "retention_ms");
    settings.configuration.checkpoints.refreshShare = values.real("log", "checkpoint_share");
    settings.claimRetention = values.milliseconds("log", "retention_ms");
    Dispatcher dispatcher { context, clock, std::move(settings), log, claimLog, list, client };
    HttpServer httpServer { context, dispatcher };
    RpcServer rpcServer { context, dispatcher };
    const auto& rpcAddress = values.text("listen", "rpc");
    const auto& membershipAddress = values.text("listen", "membership");
    const std::pair<std::string, std::uint16_t> ports[] {
        { "rpc", rpcServer.listen(rpcAddress) },
        { "membership", dispatcher.listenMembership(membershipAddress) },
        { "http", httpServer.listen(values.text("listen", "http")) },
    };
    writePorts(values.text("listen", "ports"), ports);
    dispatcher.start(withPort(rpcAddress, ports[0].second), withPort(membershipAddress, ports[1].second));
    boost::asio::signal_set signals { context, SIGTERM, SIGINT };
    boost::asio::steady_timer grace { context };
    signals.async_wait([&](const boost::system::error_code&, int) {
        dispatcher.beginGracefulShutdown();
        grace.expires_after(values.milliseconds("stop", "grace_ms"));
        grace.async_wait([&](const boost::system::error_code&) { context.stop(); });
    });
    runEventLoop(context);
    return static_cast<int>(ExitCode::Success);
}

}

int main(int argc, char** argv)
{
    const auto specifications = withInstanceSettings(DispatcherSpecifications);
    const ProgramDescription description { "marigold-dispatcher",
        "Schedules requests to the target cells that it owns: queues, grants, engine memory and idempotency keys.",
        specifications };
    return runProgram(argc, argv, description, run);
}
