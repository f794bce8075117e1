// review/15: a crowd sends the beginnings of requests and stops. See review/15/claim.txt.
#include "Kit.h"

using namespace kit;

namespace {

constexpr int Crowd = 2'500; // Clients, each with one connection.
constexpr long ReturnMs = 100; // After which a client of the crowd that was closed comes again.
constexpr long StableWindowMs = 3'000;
constexpr long PlayMs = 20'000;
constexpr int Ordinary = 10; // Clients that try, each on a new connection.
constexpr long OrdinaryPeriodMs = 500;

}

int main(int argc, char** argv)
{
    begin(argc, argv);
    const std::string host = "127.0.0.1";
    Store store { host };
    Server desk { host, [](const Message& request, int fd) {
        const auto attempt = request.field("Marigoldpaddle-Attempt-Id");
        sleepMs(5);
        return sendAll(fd,
            answerText(200, "Marigoldpaddle-Attempt-Id: " + attempt + "\r\nMarigoldpaddle-Server-Seal: dispatch-0\r\n",
                std::string(800, 'x')));
    } };
    store.put("keyed.servers", "dispatch-0", registration("dispatch-app", desk.address(), "hu-central-a", unixMs()));
    store.put("keyed.op", "config",
        configuration(7, route("freezer", "/freezer/", "safe", "dispatch-app", 800, 2), service("dispatch-app", 110)));
    const auto port = freePort("127.0.1.1");
    auto node = makeNode("node-1", "127.0.1.1", "hu-central-a", store.address(),
        "127.0.1.1:" + std::to_string(port), port);
    start(node);
    if (!waitUntilReady(node))
        finish(CouldNotRun, "the node did not get ready");
    sleepMs(4'000);

    const auto endAt = nowMs() + PlayMs;
    std::vector<std::thread> threads;
    threads.reserve(Ordinary + 2);
    std::atomic<int> begun { 0 };
    if (hasTrouble())
        threads.emplace_back([&] {
            // One thread keeps all connections of the crowd: each sends half of a request, and comes again when it is
            // closed.
            std::vector<pollfd> crowd(Crowd, pollfd { -1, POLLIN | POLLRDHUP, 0 });
            std::vector<long> returnAt(Crowd, 0);
            const std::string half = "GET /freezer/stock HTTP/1.1\r\nHost: rounds.example\r\n";
            while (nowMs() < endAt) {
                for (std::size_t index = 0; index < crowd.size(); ++index) {
                    auto& one = crowd[index];
                    if (one.fd >= 0 && one.revents != 0) {
                        char dropped[4096];
                        if (::recv(one.fd, dropped, sizeof(dropped), MSG_DONTWAIT) <= 0 || (one.revents & POLLRDHUP)) {
                            ::close(one.fd);
                            one.fd = -1;
                            returnAt[index] = nowMs() + ReturnMs;
                        }
                    }
                    if (one.fd < 0 && nowMs() >= returnAt[index]) {
                        one.fd = connectTo(node.host, node.front);
                        if (one.fd >= 0 && sendAll(one.fd, half))
                            ++begun;
                    }
                    one.revents = 0;
                }
                ::poll(crowd.data(), crowd.size(), 10);
            }
            for (const auto& one : crowd)
                ::close(one.fd);
        });
    sleepMs(1'500);
    record("ordinary clients begin; connections of the crowd so far: " + std::to_string(begun));
    std::atomic<int> asked { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> readyAnswers { 0 };
    std::atomic<int> readyAsked { 0 };
    std::mutex mutex;
    std::vector<long> servedAt { nowMs() };
    for (int client = 0; client < Ordinary; ++client)
        threads.emplace_back([&, client] {
            for (int number = 0; nowMs() < endAt - 1'000; ++number) {
                const auto id = "ordinary-" + std::to_string(client) + "-" + std::to_string(number);
                ++asked;
                const auto answer = callOnce(node, requestText("GET", "/freezer/stock", id, 1'500), 2'000);
                record(id + ": status " + std::to_string(answer.status)
                    + (answer.status == 0 ? ", connection closed" : "") + " after " + std::to_string(answer.tookMs)
                    + " ms");
                if (answer.status != 0) {
                    const std::scoped_lock lock { mutex };
                    servedAt.push_back(nowMs());
                }
                served += answer.status == 200;
                sleepMs(OrdinaryPeriodMs);
            }
        });
    threads.emplace_back([&] {
        while (nowMs() < endAt - 1'000) {
            ++readyAsked;
            readyAnswers += isReady(node);
            sleepMs(1'000);
        }
    });
    for (auto& thread : threads)
        thread.join();
    servedAt.push_back(endAt - 1'000);
    std::ranges::sort(servedAt);
    long longest = 0;
    for (std::size_t i = 1; i < servedAt.size(); ++i)
        longest = std::max(longest, servedAt[i] - servedAt[i - 1]);
    const auto text = std::to_string(asked) + " ordinary requests on new connections, " + std::to_string(served)
        + " served; longest time in which no new connection was taken " + std::to_string(longest) + " ms; the node said "
        + std::to_string(readyAnswers) + " of " + std::to_string(readyAsked) + " times that it is ready; "
        + std::to_string(begun) + " half requests";
    if (hasEnded(node))
        finish(Broken, "the process ended; " + text);
    finish(longest >= StableWindowMs && readyAnswers == readyAsked ? Broken : Held, text);
}
