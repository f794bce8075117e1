// Measures one gateway process from outside: relayed tokens per second of processor time, latency added in comparison
// with direct requests to the engine, and memory with many open streams. Callers, engines and the dispatcher run in
// threads of this program; tools/run-gateway-bench starts the gateway process.

#include <array>
#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <unistd.h>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "standins/DispatcherStandin.h"
#include "standins/StandinProgram.h"

namespace {

using namespace marigoldpaddle;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t EndlessTokens = 1'000'000;
constexpr std::size_t ThroughputStreams = 400;
constexpr seconds ThroughputTime { 8 };
constexpr seconds SettlingTime { 2 };
constexpr std::size_t MemoryStreams = 5000;
constexpr int LatencySamples = 2000;
constexpr std::size_t EngineThreads = 2;

// An io_context with a thread that runs it.
class EventLoop {
public:
    EventLoop()
        : work(this->context.get_executor())
        , thread([this] { this->context.run(); })
    {
    }

    ~EventLoop()
    {
        this->context.stop();
        this->thread.join();
    }

    asio::io_context context { 1 };

private:
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

std::atomic<std::int64_t> tokenIntervalMicroseconds { 0 };

// Streams tokens at tokenIntervalMicroseconds, or as fast as they are read if that is 0.
class BenchEngine final : public HttpHandler {
public:
    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        const auto body = standins::parseObject(exchange.request().body());
        if (!body.contains("prompt")) {
            auto response = standins::jsonResponse(200, json::object {});
            co_await exchange.respond(std::move(response));
            co_return;
        }
        const auto id = json::value_to<std::string>(body.at("request_id"));
        const auto tokens = json::value_to<std::uint64_t>(body.at("max_tokens"));
        HttpResponseHeader header { http::status::ok, 11 };
        header.set(http::field::content_type, "text/event-stream");
        if (!co_await exchange.beginStream(std::move(header)))
            co_return;
        for (std::uint64_t offset = 0; offset < tokens; ++offset) {
            const auto piece = event(id, offset, "\"text\":\" token\"");
            if (!co_await exchange.write(piece))
                co_return;
            if (const auto interval = tokenIntervalMicroseconds.load(); interval > 0)
                co_await standins::pause(std::chrono::microseconds { interval });
        }
        const auto last = event(id, tokens, "\"final\":true");
        if (co_await exchange.write(last))
            co_await exchange.endStream();
    }

    HttpResponse makeFaultResponse(HttpFault fault) override
    {
        return standins::faultResponse(fault);
    }

private:
    static std::string event(std::string_view id, std::uint64_t offset, std::string_view rest)
    {
        std::string text = "data: {\"request_id\":\"";
        text += id;
        text += "\",\"attempt\":1,\"offset\":" + std::to_string(offset) + ",";
        text += rest;
        return text += "}\n\n";
    }
};

HttpRequest promptFor(std::uint64_t tokens)
{
    const json::object body { { "model", standins::DispatcherStandin::Model }, { "prompt", "Which bell?" },
        { "max_tokens", tokens }, { "stream", true }, { "request_id", "direct" } };
    auto request = makeRequest(http::verb::post, "/v1/completions", json::serialize(body));
    request.set("Authorization", "Bearer " + std::string { standins::DispatcherStandin::Key });
    request.set("X-Allowed-Time-Ms", "600000");
    return request;
}

// A caller that counts the tokens of its stream and discards them.
class StreamCounter {
public:
    StreamCounter(asio::io_context& context, const tcp::endpoint& endpoint)
        : socket(context)
        , endpoint(endpoint)
    {
    }

    asio::awaitable<void> run()
    {
        co_await this->socket.async_connect(this->endpoint, asio::use_awaitable);
        auto request = promptFor(EndlessTokens);
        co_await http::async_write(this->socket, request, asio::use_awaitable);
        std::array<char, 64 * 1024> buffer {};
        boost::system::error_code failure;
        while (!failure) {
            const auto read = co_await this->socket.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
            const auto end = buffer.begin() + static_cast<std::ptrdiff_t>(read);
            this->braces += static_cast<std::uint64_t>(std::count(buffer.begin(), end, '}'));
        }
    }

    std::uint64_t tokens() const
    {
        return this->braces / BracesPerEvent;
    }

    tcp::socket socket;

private:
    static constexpr std::uint64_t BracesPerEvent = 2;

    tcp::endpoint endpoint;
    std::uint64_t braces { 0 };
};

struct ProcessUsage {
    double processorSeconds { 0 };
    double residentMegabytes { 0 };
};

ProcessUsage processUsage(int pid)
{
    const auto root = "/proc/" + std::to_string(pid);
    std::ifstream stat { root + "/stat" };
    std::string word;
    ProcessUsage usage;
    for (int field = 1; stat >> word && field <= 15; ++field)
        if (field >= 14)
            usage.processorSeconds += std::stod(word) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status { root + "/status" };
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmRSS:"))
            usage.residentMegabytes = std::stod(line.substr(6)) / 1024;
    return usage;
}

// The gateway process under test with its callers, engines and dispatcher.
class GatewayBench {
public:
    GatewayBench(std::string directory)
        : directory(std::move(directory))
        , dispatcher(this->dispatcherLoop.context)
    {
        for (std::size_t i = 0; i < EngineThreads; ++i) {
            auto& server = this->engineServers.emplace_back(
                std::make_unique<HttpServer>(this->engineLoops[i].context, this->engine, HttpServerLimits {}));
            const auto address = "127.0.0.1:" + std::to_string(server->listen("127.0.0.1:0"));
            this->dispatcher.engines.push_back({ "engine-" + std::to_string(i), address });
        }
    }

    void awaitGateway()
    {
        std::ofstream { this->directory + "/gateway.ini.new" }
            << "[instance]\nname = instance-1\nzone = a\n[listen]\nports = " << this->directory
            << "/gateway.ports\n[dispatcher]\naddress = " << this->dispatcher.address << "\n";
        std::rename((this->directory + "/gateway.ini.new").c_str(), (this->directory + "/gateway.ini").c_str());
        std::string line;
        while (!std::getline(std::ifstream { this->directory + "/gateway.ports" }, line))
            std::this_thread::sleep_for(milliseconds { 20 });
        this->gateway = "127.0.0.1:" + line.substr(line.find('=') + 1);
        while (!(std::ifstream { this->directory + "/gateway.pid" } >> this->pid))
            std::this_thread::sleep_for(milliseconds { 20 });
        while (this->statusOf("/readyz") != 200)
            std::this_thread::sleep_for(milliseconds { 20 });
    }

    void measureLatency()
    {
        tokenIntervalMicroseconds = 0;
        std::vector<double> direct;
        std::vector<double> relayed;
        for (int sample = 0; sample < LatencySamples; ++sample) {
            direct.push_back(this->firstTokenMilliseconds(this->dispatcher.engines[0].address));
            relayed.push_back(this->firstTokenMilliseconds(this->gateway));
        }
        std::ranges::sort(direct);
        std::ranges::sort(relayed);
        const auto at = [](const std::vector<double>& sorted, double share) {
            return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
        };
        for (const auto share : { 0.5, 0.99 })
            std::printf("first token p%.0f: direct %.3f ms, relayed %.3f ms, added %.3f ms\n", share * 100,
                at(direct, share), at(relayed, share), at(relayed, share) - at(direct, share));
    }

    void measureThroughput(std::int64_t intervalMicroseconds)
    {
        tokenIntervalMicroseconds = intervalMicroseconds;
        std::vector<std::unique_ptr<StreamCounter>> streams = this->openStreams(ThroughputStreams);
        std::this_thread::sleep_for(SettlingTime);
        const auto tokensBefore = this->tokensOf(streams);
        const auto usageBefore = processUsage(this->pid);
        const auto startedAt = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(ThroughputTime);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
        const auto tokens = static_cast<double>(this->tokensOf(streams) - tokensBefore);
        const auto processor = processUsage(this->pid).processorSeconds - usageBefore.processorSeconds;
        std::printf("%zu streams, a token each %lld us (0: as fast as taken): %.0f tokens/s relayed, %.0f%% of a core, "
                    "%.0f tokens per second of processor time\n",
            streams.size(), static_cast<long long>(intervalMicroseconds), tokens / elapsed.count(),
            100 * processor / elapsed.count(), tokens / processor);
        this->closeStreams(streams);
    }

    void measureMemory()
    {
        tokenIntervalMicroseconds = 1'000'000;
        const auto before = processUsage(this->pid).residentMegabytes;
        auto streams = this->openStreams(MemoryStreams);
        const auto open = processUsage(this->pid).residentMegabytes;
        std::printf("%zu open streams: %.1f MB resident, %.1f MB before them\n", streams.size(), open, before);
        this->closeStreams(streams);
    }

private:
    unsigned statusOf(std::string_view path)
    {
        const auto ask = [&]() -> asio::awaitable<unsigned> {
            auto request = makeRequest(http::verb::get, path, {});
            const auto answer = co_await this->client.call(this->gateway, std::move(request), seconds { 1 });
            co_return answer ? answer.value().result_int() : 0;
        };
        return asio::co_spawn(this->clientLoop.context, ask, asio::use_future).get();
    }

    double firstTokenMilliseconds(const std::string& address)
    {
        const auto ask = [&]() -> asio::awaitable<double> {
            const auto startedAt = std::chrono::steady_clock::now();
            auto started = co_await this->client.start(address, promptFor(1), seconds { 5 });
            auto piece = co_await started.value().readSome(seconds { 5 });
            const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - startedAt;
            auto rest = co_await started.value().readAll(seconds { 5 });
            co_return rest ? elapsed.count() : 5000.0;
        };
        return asio::co_spawn(this->clientLoop.context, ask, asio::use_future).get();
    }

    std::vector<std::unique_ptr<StreamCounter>> openStreams(std::size_t count)
    {
        const auto [host, port] = splitAddress(this->gateway);
        const tcp::endpoint endpoint { asio::ip::make_address(host), port };
        std::vector<std::unique_ptr<StreamCounter>> streams;
        while (streams.size() < count) {
            auto* stream
                = streams.emplace_back(std::make_unique<StreamCounter>(this->callerLoop.context, endpoint)).get();
            asio::co_spawn(
                this->callerLoop.context, [stream]() -> asio::awaitable<void> { co_await stream->run(); },
                asio::detached);
            if (streams.size() % 50 == 0)
                std::this_thread::sleep_for(milliseconds { 10 });
        }
        const auto haveStarted = [&] {
            return std::ranges::all_of(streams, [](const auto& stream) { return stream->tokens() > 0; });
        };
        while (!this->onCallerLoop<bool>(haveStarted))
            std::this_thread::sleep_for(milliseconds { 20 });
        return streams;
    }

    std::uint64_t tokensOf(const std::vector<std::unique_ptr<StreamCounter>>& streams)
    {
        return this->onCallerLoop<std::uint64_t>([&] {
            std::uint64_t sum = 0;
            for (const auto& stream : streams)
                sum += stream->tokens();
            return sum;
        });
    }

    void closeStreams(const std::vector<std::unique_ptr<StreamCounter>>& streams)
    {
        this->onCallerLoop<bool>([&] {
            for (const auto& stream : streams)
                stream->socket.close();
            return true;
        });
        std::this_thread::sleep_for(SettlingTime);
    }

    template <typename Value> Value onCallerLoop(std::function<Value()> work)
    {
        return asio::co_spawn(
            this->callerLoop.context, [&]() -> asio::awaitable<Value> { co_return work(); }, asio::use_future)
            .get();
    }

    std::string directory;
    std::string gateway;
    int pid { 0 };
    BenchEngine engine;
    EventLoop dispatcherLoop;
    std::array<EventLoop, EngineThreads> engineLoops;
    EventLoop callerLoop;
    EventLoop clientLoop;
    HttpClient client { this->clientLoop.context.get_executor() };
    standins::DispatcherStandin dispatcher;
    std::vector<std::unique_ptr<HttpServer>> engineServers;
};

}

int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "Usage: " << argv[0] << " DIRECTORY; see tools/run-gateway-bench\n";
        return 2;
    }
    GatewayBench bench { argv[1] };
    bench.awaitGateway();
    bench.measureLatency();
    bench.measureThroughput(20'000);
    bench.measureThroughput(0);
    bench.measureMemory();
    std::cout.flush();
    std::_Exit(0);
}
