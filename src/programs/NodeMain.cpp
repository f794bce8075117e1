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

// The settings file may change without a signal; this is how often its time is looked at.
constexpr Duration SettingsPollPeriod = std::chrono::seconds { 1 };

// For an engine to answer an order; it needs no slot there.
constexpr Duration OrderTimeout = std::chrono::milliseconds { 400 };

// Applies the settings file again whenever it has changed or SIGHUP arrives.
class SettingsWatcher {
public:
    SettingsWatcher(asio::io_context& context, std::string path, ServingNode& node)
        : context(context)
        , path(std::move(path))
        , node(node)
        , hangups(context, SIGHUP)
        , changedAt(this->fileTime())
    {
    }

    void start()
    {
        this->awaitHangup();
        asio::co_spawn(this->context, this->poll(), asio::detached);
    }

private:
    void awaitHangup()
    {
        this->hangups.async_wait([this](const boost::system::error_code& failure, int) {
            if (failure)
                return;
            this->reload();
            this->awaitHangup();
        });
    }

    asio::awaitable<void> poll()
    {
        asio::steady_timer timer { this->context };
        while (true) {
            timer.expires_after(SettingsPollPeriod);
            co_await timer.async_wait(asio::use_awaitable);
            if (this->fileTime() != this->changedAt)
                this->reload();
        }
    }

    std::filesystem::file_time_type fileTime() const
    {
        std::error_code unreadable; // An unreadable file is reported by the reload that follows.
        return std::filesystem::last_write_time(this->path, unreadable);
    }

    void reload()
    {
        this->changedAt = this->fileTime();
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(values, Settings::load(this->path, servingNodeSpecifications()));
                this->node.reload(servingNodeSettingsFrom(values));
                return {};
            },
            [&](const SettingsProblem& problem) { this->node.reportBadSettings(problem.message); },
            [&] { this->node.reportBadSettings("the settings file could not be read"); });
    }

    asio::io_context& context;
    std::string path;
    ServingNode& node;
    asio::signal_set hangups;
    std::filesystem::file_time_type changedAt;
};

int run(const Settings& values, const std::string& path)
{
    asio::io_context context { 1 };
    SteadyClock clock;
    const auto settings = servingNodeSettingsFrom(values);
    HttpClient storeClient { context.get_executor(), { .connectTimeout = settings.storeTimeout } };
    platform::StoreClient store { storeClient, values.text("platform", "address"), settings.storeTimeout };
    platform::HeaderFormat format;
    platform::RecordFormat records;
    HttpClient orderClient { context.get_executor(), { .connectTimeout = OrderTimeout } };
    platform::OrderClient orders { orderClient, OrderTimeout };
    ServingNode node { context, clock, { store, records, format, orders }, settings };
    const auto bound = node.start();
    if (const auto& file = values.text("listen", "ports"); !file.empty()) {
        const std::pair<std::string, std::uint16_t> ports[] { { "callers", bound.callers }, { "ready", bound.ready },
            { "metrics", bound.metrics } };
        writePorts(file, ports);
    }
    SettingsWatcher watcher { context, path, node };
    watcher.start();
    asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait(
        [&](const boost::system::error_code&, int) { asio::co_spawn(context, node.stopGracefully(), asio::detached); });
    context.run();
    // Background tasks that are still suspended refer to the objects above, in no order that a destructor could follow.
    // Nothing of theirs outlasts the process.
    std::quick_exit(static_cast<int>(ExitCode::Success));
}

}

int main(int argc, char** argv)
{
    const ProgramDescription description { "marigold-node",
        "Serves callers on the users' platform: one process for each instance.", servingNodeSpecifications() };
    return runProgram(argc, argv, description, run);
}
