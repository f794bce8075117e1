// review/11: a crowd sends requests of legal size that are made of very many short fields. See review/11/claim.txt.
#include "Kit.h"

using namespace kit;

namespace {

constexpr int Crowd = 40; // Connections.
constexpr std::size_t HeaderBytes = 16'000; // Below `maxHeaderBytes`, 16,384.
constexpr int Options = 4'000; // Named by the request's Connection header.
constexpr int TimeoutMs = 800; // `timeoutMs` of the route.
constexpr long OrdinaryPeriodMs = 200;
constexpr long PlayMs = 20'000;
constexpr int FewestLate = 8;

std::string crowdRequest(int number)
{
    std::string fields = "Connection: keep-alive";
    for (int i = 0; i < Options; ++i)
        fields += ",a";
    fields += "\r\n";
    auto request = [&] {
        return requestText("GET", "/freezer/stock", "crowd-" + std::to_string(number), 10'000, fields);
    };
    while (request().size() + 4 <= HeaderBytes) {
        const auto missing = (HeaderBytes - request().size()) / 4;
        for (std::size_t i = 0; i < missing; ++i)
            fields += "b:\r\n";
    }
    return request();
}

}

int main(int argc, char** argv)
{
    begin(argc, argv);
    const std::string host = "127.0.0.1";
    Store store { host };
    std::atomic<int> ran { 0 };
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 3; ++i) {
        const auto id = "dispatch-" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(host, [&ran, id](const Message& request, int fd) {
            ++ran;
            const auto attempt = request.field("Marigoldpaddle-Attempt-Id");
            record("run: " + attempt + " at " + id);
            sleepMs(15);
            return sendAll(fd,
                answerText(200,
                    "Marigoldpaddle-Attempt-Id: " + attempt + "\r\nMarigoldpaddle-Server-Seal: " + id + "\r\n",
                    std::string(800, 'x')));
        }));
        store.put(
            "keyed.servers", id, registration("dispatch-app", servers.back()->address(), "hu-central-a", unixMs()));
    }
    store.put("keyed.op", "config",
        configuration(
            7, route("freezer", "/freezer/", "safe", "dispatch-app", TimeoutMs, 2), service("dispatch-app", 110)));
    const auto port = freePort("127.0.1.1");
    auto node
        = makeNode("node-1", "127.0.1.1", "hu-central-a", store.address(), "127.0.1.1:" + std::to_string(port), port);
    start(node);
    if (!waitUntilReady(node))
        finish(CouldNotRun, "the node did not get ready");
    sleepMs(4'000); // The node is in touch: `stableWindowMs` without a disruption.

    const auto endAt = nowMs() + PlayMs;
    std::atomic<int> crowdAnswers { 0 };
    std::vector<std::thread> threads;
    for (int number = 0; hasTrouble() && number < Crowd; ++number) {
        threads.emplace_back([&, number] {
            const auto request = crowdRequest(number);
            const int fd = connectTo(node.host, node.front);
            Reader reader { fd };
            while (fd >= 0 && nowMs() < endAt) {
                record("crowd sends " + std::to_string(request.size()) + " bytes, crowd-" + std::to_string(number));
                if (!sendAll(fd, request))
                    break;
                const auto answer = reader.read(endAt - nowMs(), false);
                if (!answer)
                    break;
                ++crowdAnswers;
                record("crowd-" + std::to_string(number) + " is answered " + std::to_string(answer->status()));
            }
            ::close(fd);
        });
    }
    sleepMs(500);
    std::atomic<int> asked { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> lateAtTimeout { 0 };
    std::atomic<int> lateHalfASecondAfter { 0 };
    while (nowMs() < endAt - 2'000) {
        threads.emplace_back([&] {
            const auto id = "ordinary-" + std::to_string(++asked);
            const auto answer = callOnce(node, requestText("GET", "/freezer/stock", id, 1'500), TimeoutMs + 1'200);
            const bool isAnswered = answer.status != 0;
            lateAtTimeout += !isAnswered || answer.tookMs > TimeoutMs;
            lateHalfASecondAfter += !isAnswered || answer.tookMs > TimeoutMs + 500;
            served += answer.status == 200;
            record(
                id + ": status " + std::to_string(answer.status) + " after " + std::to_string(answer.tookMs) + " ms");
        });
        sleepMs(OrdinaryPeriodMs);
    }
    for (auto& thread : threads)
        thread.join();
    const auto text = std::to_string(asked) + " ordinary requests, " + std::to_string(served) + " served; "
        + std::to_string(lateAtTimeout) + " without an answer at timeoutMs, " + std::to_string(lateHalfASecondAfter)
        + " of them half a second later; " + std::to_string(crowdAnswers) + " answers to the crowd";
    if (hasEnded(node))
        finish(Broken, "the process ended; " + text);
    finish(lateAtTimeout >= FewestLate && 2 * lateHalfASecondAfter > lateAtTimeout ? Broken : Held, text);
}
