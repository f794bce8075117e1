#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <ranges>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "base/HttpClient.h"
#include "base/Settings.h"
#include "platform/RecordFormat.h"
#include "platform/StoreClient.h"
#include "platform/StoreInstanceList.h"
#include "platform/StoreLog.h"
#include "programs/ControlSession.h"
#include "programs/RequestTimeline.h"
#include "rpc/RpcClient.h"

using namespace marigoldpaddle;

namespace {

constexpr std::chrono::seconds PlatformTimeout { 2 };
constexpr std::chrono::seconds StatusTimeout { 2 };

// Queries the dispatchers of the instances by RPC.
class RpcStatusSource final : public StatusSource {
public:
    explicit RpcStatusSource(RpcClient& client)
        : client(client)
    {
    }

    boost::asio::awaitable<std::optional<InstanceStatus>> status(std::string dispatcherAddress) override
    {
        wire::ConfigurationRequest request;
        request.knownOffset = INT64_MAX; // No records have higher offsets, so the answer contains none.
        wire::Payload payload;
        payload.__set_configuration(request);
        auto answer = co_await this->client.call(std::move(dispatcherAddress), std::move(payload), StatusTimeout);
        if (!answer || !answer.value().__isset.configurationAnswer)
            co_return std::nullopt;
        const auto& record = answer.value().configurationAnswer;
        InstanceStatus status;
        status.offset = static_cast<std::uint64_t>(record.offset);
        status.presetInForce = record.presetInForce;
        status.isCurrent = record.current;
        if (record.__isset.gatewayOffset)
            status.gatewayOffset = static_cast<std::uint64_t>(record.gatewayOffset);
        co_return status;
    }

private:
    RpcClient& client;
};

int run(const ControlOptions& options)
{
    boost::asio::io_context context { 1 };
    SteadyClock clock;
    HttpClient client { context.get_executor() };
    RpcClient rpc { context.get_executor() };
    platform::StoreLog log { client, options.platform, "configuration", PlatformTimeout };
    platform::StoreClient store { client, options.platform, PlatformTimeout };
    platform::RecordFormat records;
    platform::StoreInstanceList instances { store, records };
    RpcStatusSource statuses { rpc };
    RpcConfigurationPeers peers { rpc, StatusTimeout };
    ControlSession session { options, log, instances, statuses, peers, clock, std::cout, std::cerr };
    auto exit = boost::asio::co_spawn(context, session.run(), boost::asio::use_future);
    while (exit.wait_for(std::chrono::seconds { 0 }) != std::future_status::ready && context.run_one() > 0)
        continue;
    return static_cast<int>(exit.get());
}

}

namespace {

ControlExit explain(const ControlOptions& options)
{
    RequestTimeline timeline { options.arguments.front() };
    for (const auto& path : options.arguments | std::views::drop(1)) {
        std::ifstream log { path };
        if (!log) {
            std::cerr << "marigoldctl: cannot read " << path << '\n';
            return ControlExit::Invalid;
        }
        timeline.read(log);
    }
    const auto lines = timeline.lines();
    if (lines.empty()) {
        std::cerr << "marigoldctl: no log line found for request " << options.arguments.front() << '\n';
        return ControlExit::Different;
    }
    std::ranges::copy(lines, std::ostream_iterator<std::string> { std::cout, "\n" });
    return ControlExit::Success;
}

}

int main(int argc, char** argv)
{
    const auto parsed = parseControlOptions(argc, argv, std::cout, std::cerr);
    if (!parsed.exit && parsed.options.command == "explain")
        return static_cast<int>(explain(parsed.options));
    return parsed.exit ? static_cast<int>(*parsed.exit) : run(parsed.options);
}
