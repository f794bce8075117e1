#include <algorithm>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include "ProcessHarness.h"
#include "base/HttpClient.h"

namespace marigoldpaddle::testing {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t LongestBodyBytes = std::size_t { 4 } * 1024 * 1024;
constexpr std::size_t Crowd = 40;
// Of the machine's 160 MB. Without a bound for all requests together the crowd takes some 180 MB and more.
constexpr std::size_t MemoryBound = std::size_t { 110 } * 1024 * 1024;
#ifdef __SANITIZE_ADDRESS__
// The sanitizer keeps freed memory, and shadows the rest.
constexpr std::size_t SanitizerBytes = std::size_t { 768 } * 1024 * 1024;
#else
constexpr std::size_t SanitizerBytes = 0;
#endif
constexpr std::size_t DescriptorBound = 400;

// A connection of a client that keeps it open.
class ClientSocket {
public:
    explicit ClientSocket(const std::string& address)
        : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const auto [host, port] = splitAddress(address);
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        ::inet_pton(AF_INET, host.c_str(), &to.sin_addr);
        ::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    }

    ~ClientSocket()
    {
        ::close(this->descriptor);
    }

    ClientSocket(const ClientSocket&) = delete;
    ClientSocket& operator=(const ClientSocket&) = delete;

    // Sends what the connection takes of the rest. Returns whether something was sent.
    bool sendSome(const std::string& bytes)
    {
        if (this->isEnded || this->sent == bytes.size())
            return false;
        const auto count = ::send(this->descriptor, bytes.data() + this->sent, bytes.size() - this->sent, MSG_NOSIGNAL);
        if (count > 0)
            this->sent += static_cast<std::size_t>(count);
        else if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN)
            this->isEnded = true;
        return count > 0;
    }

    bool isDone(const std::string& bytes) const
    {
        return this->isEnded || this->sent == bytes.size();
    }

private:
    int descriptor;
    std::size_t sent { 0 };
    bool isEnded { false };
};

// Clients that the deployment does not control. Each of their requests is within the limits of a single request, or is
// refused by them, and together they ended a process for lack of memory or descriptors.
class FaultsClientCrowdTest : public ::testing::Test {
protected:
    static constexpr Duration Patience = 20s;
    // Without progress for this long, a crowd has sent all that the process takes.
    static constexpr Duration QuietPeriod = 500ms;

    FaultsClientCrowdTest()
        : folder((std::filesystem::temp_directory_path() / "marigoldpaddle-crowd-XXXXXX").string())
    {
        if (!::mkdtemp(this->folder.data()))
            throw std::runtime_error("cannot create a folder");
        this->store = std::make_unique<Process>(this->folder, "store", "standin-store", "", 1);
        this->orders
            = std::make_unique<Process>(this->folder, "orders", "standin-service", "[service]\nid = orders\n", 1);
        this->put("keyed.op", "config",
            R"({"version":1,"routes":[{"name":"stock","host":"rounds.example","pathPrefix":"/stock/","kind":"safe",)"
            R"("timeoutMs":4000,"targetLatencyMs":100,"maxAttempts":2,"public":true,"service":"orders"}],)"
            R"("services":[{"name":"orders","maxConnections":100}],"tenants":[],)"
            R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":60000,"idleTimeoutMs":60000}})");
        this->put("keyed.servers", "orders",
            R"({"service":"orders","address":")" + this->orders->address("http")
                + R"(","zone":"zone-a","state":"ready","slots":16,"born":5})");
        const std::string settings = "[instance]\nname = node\nzone = zone-a\n[listen]\ncallers = " + Host
            + ":0\nready = " + Host + ":0\nports = " + Process::portsFile(this->folder, "node") + "\nrelays = " + Host
            + ":0\n[peers]\naddress = " + Host + ":0\n[platform]\naddress = " + this->store->address("http")
            + "\n[bounds]\nconfiguration_ms = 400\ndrain_ms = 400\ngrace_s = 2\nmemory_free_ms = 4000\n"
            + "[limits]\nmemory_mb = 160\ndescriptors = 700\n";
        this->node = std::make_unique<Process>(this->folder, "node", "marigold-node", settings);
        if (!this->waitUntil([&] { return this->node->hasStarted(); })
            || !this->waitUntil([&] { return this->serve() == 200; }))
            throw std::runtime_error("the node did not start to serve");
    }

    ~FaultsClientCrowdTest() override
    {
        std::filesystem::remove_all(this->folder);
    }

    // Waits until the process has read what the kernel holds for it, and its memory no longer changes.
    void waitForQuiet()
    {
        constexpr std::size_t Tolerance = std::size_t { 256 } * 1024;
        auto steadyMemory = this->node->memory();
        auto steadySince = std::chrono::steady_clock::now();
        this->waitUntil([&] {
            const auto memory = this->node->memory();
            const auto change = std::max(memory, steadyMemory) - std::min(memory, steadyMemory);
            if (change > Tolerance) {
                steadyMemory = memory;
                steadySince = std::chrono::steady_clock::now();
            }
            return std::chrono::steady_clock::now() - steadySince >= QuietPeriod;
        });
    }

    // The process lives within its bounds, and serves an ordinary request beside the crowd.
    void expectOrdinaryService()
    {
        this->waitForQuiet();
        EXPECT_FALSE(this->node->hasEnded());
        EXPECT_LE(this->node->peakMemory(), MemoryBound + SanitizerBytes);
        EXPECT_LE(this->node->openDescriptors(), DescriptorBound);
        EXPECT_TRUE(this->waitUntil([&] { return this->serve() == 200; })) << "no ordinary request is answered";
        EXPECT_LE(this->node->peakMemory(), MemoryBound + SanitizerBytes);
    }

    // Sends the bytes on each of the connections, and keeps these open.
    void sendOn(std::string_view port, std::size_t count, const std::string& bytes)
    {
        const auto address = this->node->address(port, Host);
        for (std::size_t number = 0; number < count; ++number)
            this->crowd.push_back(std::make_unique<ClientSocket>(address));
        auto progressAt = std::chrono::steady_clock::now();
        const auto isDone = [&](const auto& client) {
            return client->isDone(bytes);
        };
        while (
            !std::ranges::all_of(this->crowd, isDone) && std::chrono::steady_clock::now() - progressAt < QuietPeriod) {
            for (const auto& client : this->crowd) {
                if (client->sendSome(bytes))
                    progressAt = std::chrono::steady_clock::now();
            }
        }
    }

    static std::string header(const std::string& path, const std::string& fields)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: rounds.example\r\nMarigoldpaddle-Attempt-Id: crowd\r\n" + fields
            + "\r\n";
    }

    // A request of legal size without its last byte.
    static std::string unfinishedBody(const std::string& path)
    {
        return header(path, "Content-Length: " + std::to_string(LongestBodyBytes) + "\r\n")
            + std::string(LongestBodyBytes - 1, 'x');
    }

    static std::string unfinishedChunks(const std::string& path)
    {
        constexpr std::size_t ChunkBytes = 4096;
        auto request = header(path, "Transfer-Encoding: chunked\r\n");
        for (std::size_t sent = 0; sent + ChunkBytes < LongestBodyBytes; sent += ChunkBytes)
            request += "1000\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
        return request;
    }

    HttpResponse call(const std::string& address, HttpRequest request)
    {
        const auto operation = [&]() -> asio::awaitable<HttpResponse> {
            auto answer = co_await this->client.call(address, std::move(request), Patience, ConnectionReuse::Forbidden);
            co_return answer ? std::move(answer).value() : makeResponse(599, "text/plain", {});
        };
        auto done = asio::co_spawn(this->context, operation(), asio::use_future);
        this->context.restart();
        this->context.run();
        return done.get();
    }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const auto path = "/standin/records?topic=" + topic + "&key=" + key;
        this->call(this->store->address("http"), makeRequest(http::verb::put, path, value));
    }

    unsigned serve()
    {
        auto request = makeRequest(http::verb::get, "/stock/list", {});
        request.set(http::field::host, "rounds.example");
        request.set("Marigoldpaddle-Attempt-Id", "attempt-" + std::to_string(++this->attempts));
        request.set("Marigoldpaddle-Deadline-Remaining", "2000");
        return this->call(this->node->address("callers", Host), std::move(request)).result_int();
    }

    bool waitUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + Patience;
        while (std::chrono::steady_clock::now() < end && !this->node->hasEnded()) {
            if (condition())
                return true;
            asio::steady_timer timer { this->context, 10ms };
            timer.async_wait([](const boost::system::error_code&) { });
            this->context.restart();
            this->context.run();
        }
        return false;
    }

    static inline const std::string Host { "127.0.1.11" };
    std::string folder;
    asio::io_context context { 1 };
    HttpClient client { this->context.get_executor() };
    std::unique_ptr<Process> store;
    std::unique_ptr<Process> orders;
    std::unique_ptr<Process> node;
    std::vector<std::unique_ptr<ClientSocket>> crowd;
    unsigned attempts { 0 };
};

TEST_F(FaultsClientCrowdTest, BodiesOfLegalSizeThatStopShortOfTheirEnd)
{
    this->sendOn("callers", Crowd, unfinishedBody("/stock/list"));
    this->expectOrdinaryService();
}

TEST_F(FaultsClientCrowdTest, BodiesInChunksThatStopShortOfTheirEnd)
{
    this->sendOn("callers", Crowd, unfinishedChunks("/stock/list"));
    this->expectOrdinaryService();
}

TEST_F(FaultsClientCrowdTest, BodiesAtAPathWithoutARoute)
{
    this->sendOn("callers", Crowd, unfinishedBody("/none/at/all"));
    this->expectOrdinaryService();
}

TEST_F(FaultsClientCrowdTest, BodiesAtTheReadyAddress)
{
    this->sendOn("ready", Crowd, unfinishedBody("/api/ready"));
    this->expectOrdinaryService();
}

TEST_F(FaultsClientCrowdTest, BodiesAtTheRelayAddress)
{
    this->sendOn("relays", Crowd, unfinishedBody("/stock/list"));
    this->expectOrdinaryService();
}

TEST_F(FaultsClientCrowdTest, BodiesFarOverTheLimit)
{
    const auto request = header("/stock/list", "Content-Length: 1000000000\r\n") + std::string(LongestBodyBytes, 'x');
    this->sendOn("callers", Crowd, request);
    this->expectOrdinaryService();
}

// A field takes several times its bytes in memory.
TEST_F(FaultsClientCrowdTest, HeadersOfLegalSizeWithVeryManyFieldsBeforeUnfinishedBodies)
{
    std::string fields;
    while (fields.size() < 15'000)
        fields += "a:\r\n";
    this->sendOn("callers", 500, header("/stock/list", fields + "Content-Length: 100\r\n"));
    this->expectOrdinaryService();
}

TEST_F(FaultsClientCrowdTest, RequestsSentAheadWithoutReadingTheAnswers)
{
    std::string requests;
    for (int number = 0; number < 2000; ++number)
        requests += "GET /stock/list HTTP/1.1\r\nHost: rounds.example\r\nMarigoldpaddle-Attempt-Id: ahead-"
            + std::to_string(number) + "\r\n\r\n";
    this->sendOn("callers", Crowd, requests);
    this->expectOrdinaryService();
}

// Guards against connections that take the descriptors for targets, peers and the store.
TEST_F(FaultsClientCrowdTest, ConnectionsThatSendNothing)
{
    this->sendOn("callers", 900, {});
    this->expectOrdinaryService();
}

TEST_F(FaultsClientCrowdTest, SingleRequestOfTheLargestSizeIsStillServed)
{
    auto request = makeRequest(http::verb::get, "/stock/list", std::string(LongestBodyBytes, 'x'));
    request.set(http::field::host, "rounds.example");
    request.set("Marigoldpaddle-Attempt-Id", "large");
    request.set("Marigoldpaddle-Deadline-Remaining", "4000");
    EXPECT_EQ(this->call(this->node->address("callers", Host), std::move(request)).result_int(), 200U);
}

}
}
