// review/15: clients read their answers slowly, but all the while. See review/15/claim.txt.
#include "Kit.h"

using namespace kit;

namespace {

constexpr int Clients = 8;
constexpr std::size_t AnswerBytes = 1'400'000;
constexpr std::size_t BytesPerStep = 10'000; // 100 kB/s: the whole answer takes 14 s.
constexpr long StepMs = 100;
constexpr int DeadlineMs = 15'000; // Of the client, and `timeoutMs` of the route.
constexpr int MostLost = 3;

}

int main(int argc, char** argv)
{
    begin(argc, argv);
    const std::string host = "127.0.0.1";
    Store store { host };
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 3; ++i) {
        const auto id = "dispatch-" + std::to_string(i);
        servers.push_back(std::make_unique<Server>(host, [id](const Message& request, int fd) {
            const auto attempt = request.field("Marigoldpaddle-Attempt-Id");
            const auto isReport = request.target().ends_with("report");
            sleepMs(5);
            const auto isSent = sendAll(fd,
                answerText(200,
                    "Marigoldpaddle-Attempt-Id: " + attempt + "\r\nMarigoldpaddle-Server-Seal: " + id + "\r\n",
                    std::string(isReport ? AnswerBytes : 800, 'x')));
            record("run: " + attempt + " at " + id + (isSent ? ", whole answer sent" : ", answer not sent"));
            return isSent;
        }));
        store.put(
            "keyed.servers", id, registration("dispatch-app", servers.back()->address(), "hu-central-a", unixMs()));
    }
    store.put("keyed.op", "config",
        configuration(
            7, route("freezer", "/freezer/", "safe", "dispatch-app", DeadlineMs, 2), service("dispatch-app", 110)));
    const auto port = freePort("127.0.1.1");
    auto node
        = makeNode("node-1", "127.0.1.1", "hu-central-a", store.address(), "127.0.1.1:" + std::to_string(port), port);
    start(node);
    if (!waitUntilReady(node))
        finish(CouldNotRun, "the node did not get ready");
    sleepMs(4'000);

    std::vector<std::thread> threads;
    threads.reserve(Clients);
    std::atomic<int> whole { 0 };
    std::atomic<int> lost { 0 };
    for (int client = 0; client < Clients; ++client)
        threads.emplace_back([&, client] {
            const int fd = connectTo(node.host, node.front, 16 * 1024);
            const auto name = "client-" + std::to_string(client);
            Reader reader { fd };
            sendAll(fd, requestText("GET", "/freezer/stock", name + "-first", DeadlineMs));
            const auto first = reader.read(5'000, false);
            record(name + "-first: status " + std::to_string(first ? first->status() : 0));
            const auto startedAt = nowMs();
            sendAll(fd, requestText("GET", "/freezer/report", name + "-report", DeadlineMs));
            std::string answer;
            std::vector<char> bytes(BytesPerStep);
            std::size_t expected = 0;
            long longestPause = 0;
            auto lastAt = startedAt;
            while (nowMs() < startedAt + DeadlineMs && (expected == 0 || answer.size() < expected)) {
                pollfd state { fd, POLLIN, 0 };
                ::poll(&state, 1, 1'000);
                const auto count = ::recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
                if (count == 0 || (count < 0 && errno != EAGAIN))
                    break;
                if (count > 0) {
                    answer.append(bytes.data(), static_cast<std::size_t>(count));
                    longestPause = std::max(longestPause, nowMs() - lastAt);
                    lastAt = nowMs();
                }
                const auto head = answer.find("\r\n\r\n");
                if (expected == 0 && head != std::string::npos)
                    expected = head + 4 + AnswerBytes;
                if (hasTrouble())
                    sleepMs(StepMs);
            }
            const auto isWhole = expected > 0 && answer.size() == expected;
            (isWhole ? whole : lost) += 1;
            record(name + "-report: " + std::to_string(answer.size()) + " of " + std::to_string(expected)
                + " bytes after " + std::to_string(nowMs() - startedAt) + " ms, "
                + (isWhole ? "whole" : "connection closed") + ", longest time without a byte "
                + std::to_string(longestPause) + " ms");
            ::close(fd);
        });
    for (auto& thread : threads)
        thread.join();
    if (hasEnded(node))
        finish(Broken, "the process ended");
    finish(lost > MostLost ? Broken : Held,
        std::to_string(whole) + " whole answers, " + std::to_string(lost) + " connections closed with a part of one");
}
