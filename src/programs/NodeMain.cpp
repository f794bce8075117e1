#include <cstdlib>
#include <filesystem>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "base/Program.h"
#include "platform/HeaderFormat.h"
#include "platform/OrderClient.h"
#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "serving/ServingNode.h"

using namespace marigoldpaddle;

namespace {

namespace asio = boost::asio;

// How often the modification time of the settings file is checked, since the file can change without a SIGHUP.
constexpr Duration SettingsPollPeriod = std::chrono::seconds { 1 };

// Time limit for an engine to respond to an order. An order needs no free slot on the engine.
constexpr Duration OrderTimeout = std::chrono::milliseconds { 400 };

// The store's pages have at most 1 MiB, or one record.
constexpr std::size_t MaximumStoreAnswerBytes = std::size_t { 4 } * 1024 * 1024;
// An answer to an order is a few numbers.
constexpr std::size_t MaximumOrderAnswerBytes = std::size_t { 16 } * 1024;

// Reloads the settings file when its modification time changes or the process receives SIGHUP.
class SettingsWatcher {
public:
    SettingsWatcher(asio::io_context& context, std::string path, ServingNode& node, platform::StoreClient& store)
        : context(context)
        , path(std::move(path))
        , node(node)
        , store(store)
        , hangupSignal(context, SIGHUP)
        , knownModificationTime(this->readModificationTime())
    {
    }

    void start()
    {
        this->waitForHangup();
        asio::co_spawn(this->context, this->poll(), asio::detached);
    }

private:
    void waitForHangup()
    {
        this->hangupSignal.async_wait([this](const boost::system::error_code& failure, int) {
            if (failure)
                return;
            this->reload();
            this->waitForHangup();
        });
    }

    asio::awaitable<void> poll()
    {
        asio::steady_timer timer { this->context };
        while (true) {
            timer.expires_after(SettingsPollPeriod);
            co_await timer.async_wait(asio::use_awaitable);
            if (this->readModificationTime() != this->knownModificationTime)
                this->reload();
        }
    }

    std::filesystem::file_time_type readModificationTime() const
    {
        std::error_code ignored; // The reload that follows reports a file that cannot be read.
        return std::filesystem::last_write_time(this->path, ignored);
    }

    void reload()
    {
        this->knownModificationTime = this->readModificationTime();
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(values, Settings::load(this->path, servingNodeSpecifications()));
                const auto settings = servingNodeSettingsFrom(values);
                this->store.setAddress(values.text("platform", "address"));
                this->store.setTimeout(settings.storeTimeout);
                this->node.reload(settings);
                return {};
            },
            [&](const SettingsProblem& problem) { this->node.logRejectedSettings(problem.message); },
            [&] { this->node.logRejectedSettings("the settings file could not be read"); });
    }

    asio::io_context& context;
    std::string path;
    ServingNode& node;
    platform::StoreClient& store;
    asio::signal_set hangupSignal;
    std::filesystem::file_time_type knownModificationTime;
};

int run(const Settings& values, const std::string& path)
{
    asio::io_context context { 1 };
    SteadyClock clock;
    const auto settings = servingNodeSettingsFrom(values);
    HttpClient storeClient { context.get_executor(),
        { .connectTimeout = settings.storeTimeout,
            .maximumResponseBytes = MaximumStoreAnswerBytes,
            .maximumHeldBytes = 2 * MaximumStoreAnswerBytes } };
    platform::StoreClient store { storeClient, values.text("platform", "address"), settings.storeTimeout };
    platform::HeaderFormat format;
    platform::RecordFormat records;
    HttpClient orderClient { context.get_executor(),
        { .connectTimeout = OrderTimeout, .maximumResponseBytes = MaximumOrderAnswerBytes } };
    platform::OrderClient orders { orderClient, OrderTimeout };
    ServingNode node { context, clock, { store, records, format, orders }, settings };
    const auto boundPorts = node.start();
    if (const auto& file = values.text("listen", "ports"); !file.empty()) {
        const std::pair<std::string, std::uint16_t> ports[] { { "callers", boundPorts.callers },
            { "ready", boundPorts.ready }, { "metrics", boundPorts.metrics }, { "relays", boundPorts.relays } };
        writePorts(file, ports);
    }
    SettingsWatcher watcher { context, path, node, store };
    watcher.start();
    asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait(
        [&](const boost::system::error_code&, int) { asio::co_spawn(context, node.stopGracefully(), asio::detached); });
    runEventLoop(context);
    // Exits without running destructors: suspended background tasks refer to the objects above, and no order of
    // destruction is safe for all of them. The tasks hold no resources that outlive the process.
    std::quick_exit(static_cast<int>(ExitCode::Success));
}

}

int main(int argc, char** argv)
{
    const ProgramDescription description { "marigold-node",
        "Serves callers on the platform. Each instance runs one process.", servingNodeSpecifications() };
    return runProgram(argc, argv, description, run);
}
