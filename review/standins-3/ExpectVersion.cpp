// review/13: a few requests ask for a version of the weights that no server has. See review/13/claim.txt.
#include "Kit.h"

using namespace kit;

namespace {

constexpr int ModelServers = 21;
constexpr int Pinned = 12; // Requests that state a version.
constexpr long OrdinaryPeriodMs = 200;
constexpr long BeforeMs = 5'000;
constexpr long AfterMs = 30'000;
constexpr int FewestRequests = 20;
const std::string WeightsVersion = "2";
const std::string EarlierVersion = "1";

struct Count {
    std::atomic<int> asked { 0 };
    std::atomic<int> served { 0 };
};

std::string chunk(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

}

int main(int argc, char** argv)
{
    begin(argc, argv);
    const std::string host = "127.0.0.1";
    Store store { host };
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::pair<std::string, std::string>> registered; // Id and address.
    const auto bornAt = unixMs();
    for (int i = 0; i < ModelServers; ++i) {
        const auto id = "llm-" + std::to_string(100 + i);
        auto address = std::make_shared<std::string>();
        servers.push_back(std::make_unique<Server>(host, [id, address](const Message& request, int fd) {
            const auto attempt = request.field("Marigoldpaddle-Attempt-Id");
            const auto instance = request.field("Marigoldpaddle-Expect-Instance");
            const auto version = request.field("Marigoldpaddle-Expect-Version");
            if ((!instance.empty() && instance != id) || (!version.empty() && version != WeightsVersion)) {
                record("421: " + attempt + " at " + id);
                return sendAll(fd,
                    answerText(421,
                        "Marigoldpaddle-Attempt-Id: " + attempt
                            + "\r\nMarigoldpaddle-Not-Executed: 1\r\nAt-Server: " + *address + "\r\n",
                        ""));
            }
            record("run: " + attempt + " at " + id);
            sleepMs(30);
            auto isSent = sendAll(fd,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMarigoldpaddle-Attempt-Id: " + attempt
                    + "\r\nMarigoldpaddle-Server-Seal: " + id + "\r\nMarigoldpaddle-Weight-Versions: " + WeightsVersion
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1; isSent && event <= 5; ++event) {
                isSent = sendAll(fd, chunk("id: " + std::to_string(event) + "\ndata: piece\n\n"));
                sleepMs(20);
            }
            return isSent && sendAll(fd, "0\r\n\r\n");
        }));
        *address = servers.back()->address();
        registered.emplace_back(id, *address);
    }
    Server desk { host, [](const Message& request, int fd) {
                     const auto attempt = request.field("Marigoldpaddle-Attempt-Id");
                     record("run: " + attempt + " at dispatch-0");
                     sleepMs(15);
                     return sendAll(fd,
                         answerText(200,
                             "Marigoldpaddle-Attempt-Id: " + attempt + "\r\nMarigoldpaddle-Server-Seal: dispatch-0\r\n",
                             std::string(800, 'x')));
                 } };
    auto beat = [&, sequence = 0]() mutable {
        ++sequence;
        const auto withSequence = [&](std::string entry) {
            const std::string zero = "\"sequence\":0";
            return entry.replace(entry.find(zero), zero.size(), "\"sequence\":" + std::to_string(sequence));
        };
        for (const auto& [id, address] : registered)
            store.put("keyed.servers", id,
                withSequence(registration("paddle-llm", address, "hu-central-a", bornAt, "ready", 16)));
        store.put("keyed.servers", "dispatch-0",
            withSequence(registration("dispatch-app", desk.address(), "hu-central-a", bornAt)));
    };
    beat();
    const auto freezer = route("freezer", "/freezer/", "safe", "dispatch-app", 800, 2);
    const std::string kerb
        = R"({"name":"kerb","host":"rounds.example","pathPrefix":"/kerb/","kind":"stream","service":"paddle-llm",)"
          R"("timeoutMs":10000,"targetLatencyMs":300,"gapTargetMs":200,"maxAttempts":2,"priority":1,"public":false,)"
          R"("sticky":true,"streamResume":true})";
    const std::string engine
        = R"({"name":"paddle-llm","healthPath":"/health","maxConnections":274,"protocol":"h1","tls":false,"engine":)"
          R"({"slots":16,"kvCapacity":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,)"
          R"("read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0}})";
    const auto services = engine + "," + service("dispatch-app", 110);
    store.put("keyed.op", "config", configuration(7, freezer, services));
    const auto port = freePort("127.0.1.1");
    const auto seeds = "127.0.1.1:" + std::to_string(port) + ",127.0.1.2:" + std::to_string(port);
    std::vector<Node> nodes;
    for (int i = 1; i <= 2; ++i) {
        nodes.push_back(makeNode(
            "node-" + std::to_string(i), "127.0.1." + std::to_string(i), "hu-central-a", store.address(), seeds, port));
        start(nodes.back());
    }
    for (const auto& node : nodes) {
        if (!waitUntilReady(node))
            finish(CouldNotRun, "a node did not get ready");
    }
    store.put("keyed.op", "config", configuration(9, freezer + "," + kerb, services)); // Adds a route.
    sleepMs(4'000);

    Count kerbBefore[2];
    Count kerbAfter[2];
    Count freezerAfter[2];
    std::atomic<int> number { 0 };
    std::vector<std::thread> threads;
    const auto send = [&](int node, const std::string& kind, Count* count) {
        threads.emplace_back([&, node, kind, count] {
            const auto id = kind + "-" + std::to_string(++number) + "-node-" + std::to_string(node + 1);
            const bool isKerb = kind != "freezer";
            const std::string prompt = "Marigoldpaddle-Model: m\r\nMarigoldpaddle-Token-Usage: 5000,200\r\n"
                                       "Marigoldpaddle-Prompt-Prefix: 0a000001:40,"
                + std::to_string(10'000'000 + number) + ":4960\r\n";
            const auto fields = !isKerb ? ""
                : kind == "pinned"      ? prompt + "Marigoldpaddle-Expect-Version: " + EarlierVersion + "\r\n"
                                        : prompt;
            const auto answer = callOnce(nodes[static_cast<std::size_t>(node)],
                requestText(isKerb ? "POST" : "GET", isKerb ? "/kerb/ask" : "/freezer/stock", id,
                    isKerb ? 10'000 : 1'500, fields, isKerb ? "{}" : ""),
                10'500);
            record(id + ": status " + std::to_string(answer.status) + " after " + std::to_string(answer.tookMs) + " ms "
                + (answer.status == 200 ? "" : answer.body));
            if (!count)
                return;
            ++count->asked;
            count->served += answer.status == 200;
        });
    };
    auto nextBeat = nowMs() + 1'200;
    const auto playOrdinary = [&](long forMs, bool isAfter) {
        const auto endAt = nowMs() + forMs;
        while (nowMs() < endAt) {
            for (int node = 0; node < 2; ++node) {
                send(node, "kerb", isAfter ? &kerbAfter[node] : &kerbBefore[node]);
                send(node, "freezer", isAfter ? &freezerAfter[node] : nullptr);
            }
            sleepMs(OrdinaryPeriodMs);
            if (nowMs() >= nextBeat) {
                beat();
                nextBeat = nowMs() + 1'200;
            }
        }
    };
    playOrdinary(BeforeMs, false);
    record("---- requests that state a version");
    for (int i = 0; hasTrouble() && i < Pinned; ++i) {
        send(0, "pinned", nullptr);
        sleepMs(150);
    }
    sleepMs(2'000);
    record("---- ordinary requests only, for " + std::to_string(AfterMs) + " ms");
    playOrdinary(AfterMs, true);
    for (auto& thread : threads)
        thread.join();
    std::string text;
    bool isBroken = false;
    for (int node = 0; node < 2; ++node) {
        const auto share = [](const Count& count) {
            return static_cast<double>(count.served) / std::max(1, count.asked.load());
        };
        text += "node " + std::to_string(node + 1) + ": kerb served " + std::to_string(kerbBefore[node].served) + " of "
            + std::to_string(kerbBefore[node].asked) + " before, " + std::to_string(kerbAfter[node].served) + " of "
            + std::to_string(kerbAfter[node].asked) + " after; freezer " + std::to_string(freezerAfter[node].served)
            + " of " + std::to_string(freezerAfter[node].asked) + " after. ";
        isBroken = isBroken
            || (kerbAfter[node].asked >= FewestRequests && share(kerbAfter[node]) < share(freezerAfter[node]) / 4);
    }
    finish(isBroken ? Broken : Held, text);
}
