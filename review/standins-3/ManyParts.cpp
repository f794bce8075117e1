// review/12: a part of a prompt crashes the servers that write on it, and prompts have some hundred parts. See
// review/12/claim.txt.
#include "Kit.h"

#include <random>
#include <set>

using namespace kit;

namespace {

constexpr int ModelServers = 10;
constexpr int Parts = 500; // Of one prompt: 45,000 tokens in parts of 90.
constexpr int Library = 3'000; // Parts that prompts share.
constexpr int Pieces = 21;
constexpr long PieceMs = 350; // Below `gapTargetMs`.
constexpr long ReadMs = 180;
constexpr long DownMs = 3'000;
constexpr long SoundPeriodMs = 80;
constexpr long CrashingPeriodMs = 400;
constexpr long BeforeMs = 4'000;
constexpr long PlayMs = 26'000;
constexpr int TimeoutMs = 800; // `timeoutMs` of the ordinary route.
constexpr long OrdinaryPeriodMs = 200;
constexpr int FewestLate = 8;
constexpr long StableWindowMs = 3'000;
constexpr int MostArrivals = 3; // Of requests with the part, later than StableWindowMs after the fifth crash.
const std::string CrashingPart = "5c1e07a2";

// A model server that crashes once it begins to write an answer on the part, and is back some seconds later.
struct ModelServer {
    std::string id;
    std::unique_ptr<Server> server;
    std::mutex mutex;
    std::set<int> connections;
    std::atomic<int> starts { 0 };
};

std::string chunk(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// The requests with the part that reach servers, and the time of the fifth crash.
std::atomic<int> crashes { 0 };
std::atomic<long> fifthCrashAt { 0 };
std::atomic<int> arrivalsAfterBound { 0 };

bool answer(ModelServer& model, Store& store, const Message& request, int fd)
{
    const auto start = model.starts.load();
    {
        const std::scoped_lock lock { model.mutex };
        model.connections.insert(fd);
    }
    const auto attempt = request.field("Marigoldpaddle-Attempt-Id");
    const auto isSame = [&] {
        return model.starts == start;
    };
    const auto hasPart = request.field("Marigoldpaddle-Prompt-Prefix").find(CrashingPart) != std::string::npos;
    if (hasPart) {
        record("arrives: " + attempt + " at " + model.id);
        if (fifthCrashAt > 0 && nowMs() > fifthCrashAt + StableWindowMs)
            ++arrivalsAfterBound;
    }
    sleepMs(ReadMs);
    if (isSame() && hasPart) {
        ++model.starts;
        if (++crashes == 5)
            fifthCrashAt = nowMs();
        model.server->stopListening();
        record("crash: " + model.id + " under " + attempt);
        {
            const std::scoped_lock lock { model.mutex };
            for (const int other : model.connections)
                ::shutdown(other, SHUT_RDWR);
            model.connections.clear();
        }
        std::thread([&model, &store] {
            sleepMs(DownMs);
            model.server->listen();
            store.put("keyed.servers", model.id,
                registration("paddle-llm", model.server->address(), "hu-central-a", unixMs(), "ready", 16));
        }).detach();
        return false;
    }
    auto isSent = isSame()
        && sendAll(fd,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMarigoldpaddle-Attempt-Id: " + attempt
                + "\r\nMarigoldpaddle-Server-Seal: " + model.id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int piece = 1; isSent && piece <= Pieces; ++piece) {
        isSent = isSame() && sendAll(fd, chunk("id: " + std::to_string(piece) + "\ndata: piece\n\n"));
        sleepMs(PieceMs);
    }
    isSent = isSent && isSame() && sendAll(fd, "0\r\n\r\n");
    record((isSent ? "whole: " : "cut: ") + attempt + " at " + model.id);
    const std::scoped_lock lock { model.mutex };
    model.connections.erase(fd);
    return isSent;
}

std::string promptText(const std::string& id, int number, bool isCrashing)
{
    thread_local std::mt19937 random { 17U + static_cast<unsigned>(number) };
    std::set<int> parts;
    while (parts.size() < Parts)
        parts.insert(static_cast<int>(random() % Library));
    std::string prefix;
    char part[40];
    int index = 0;
    for (const int one : parts) {
        std::snprintf(part, sizeof(part), "%08x:90,", 0x10000000 + one);
        prefix += part;
        if (++index == Parts / 2 && isCrashing)
            prefix += CrashingPart + ":90,";
    }
    std::snprintf(part, sizeof(part), "%08x:90", 0x70000000 + number);
    return requestText("POST", "/notes/summary", id, 10'000,
        "Marigoldpaddle-Model: m\r\nMarigoldpaddle-Token-Usage: 45000,966\r\nMarigoldpaddle-Prompt-Prefix: " + prefix
            + part + "\r\n",
        "{\"number\":" + std::to_string(number) + "}");
}

// Ordinary requests to one node.
struct Ordinary {
    std::atomic<int> asked { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> lateAtTimeout { 0 };
    std::atomic<int> lateHalfASecondAfter { 0 };
};

}

int main(int argc, char** argv)
{
    begin(argc, argv);
    const std::string host = "127.0.0.1";
    Store store { host };
    std::vector<std::unique_ptr<ModelServer>> models;
    for (int i = 0; i < ModelServers; ++i) {
        models.push_back(std::make_unique<ModelServer>());
        auto& model = *models.back();
        model.id = "llm-" + std::to_string(100 + i);
        model.server = std::make_unique<Server>(
            host, [&](const Message& request, int fd) { return answer(model, store, request, fd); });
        store.put("keyed.servers", model.id,
            registration("paddle-llm", model.server->address(), "hu-central-a", unixMs(), "ready", 16));
    }
    Server desk { host, [](const Message& request, int fd) {
                     sleepMs(15);
                     return sendAll(fd,
                         answerText(200,
                             "Marigoldpaddle-Attempt-Id: " + request.field("Marigoldpaddle-Attempt-Id")
                                 + "\r\nMarigoldpaddle-Server-Seal: dispatch-0\r\n",
                             std::string(800, 'x')));
                 } };
    store.put("keyed.servers", "dispatch-0", registration("dispatch-app", desk.address(), "hu-central-a", unixMs()));
    const std::string notes
        = R"({"name":"notes","host":"rounds.example","pathPrefix":"/notes/","kind":"stream","service":"paddle-llm",)"
          R"("timeoutMs":10000,"targetLatencyMs":1500,"gapTargetMs":500,"maxAttempts":2,"priority":1,"public":false,)"
          R"("sticky":true,"streamResume":true})";
    const std::string engine
        = R"({"name":"paddle-llm","healthPath":"/health","maxConnections":274,"protocol":"h1","tls":false,"engine":)"
          R"({"slots":16,"kvCapacity":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,)"
          R"("read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0}})";
    store.put("keyed.op", "config",
        configuration(7, notes + "," + route("freezer", "/freezer/", "safe", "dispatch-app", TimeoutMs, 2),
            engine + "," + service("dispatch-app", 110)));
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
    sleepMs(4'000);

    std::atomic<int> number { 0 };
    std::atomic<int> open { 0 };
    const auto sendPrompt = [&](bool isCrashing, std::size_t node) {
        ++open;
        std::thread([&, isCrashing, node] {
            const auto own = ++number;
            const auto id = std::string { isCrashing ? "crashing-" : "sound-" } + std::to_string(own);
            const auto text = promptText(id, own, isCrashing);
            const auto result = callOnce(nodes[node], text, 11'000);
            record(id + " at node-" + std::to_string(node + 1) + ": " + std::to_string(text.size())
                + " bytes sent, status " + std::to_string(result.status)
                + (result.end == Reader::End::Whole ? ", whole" : ", not whole") + " after "
                + std::to_string(result.tookMs) + " ms");
            --open;
        }).detach();
    };
    const auto beginAt = nowMs();
    const auto endAt = beginAt + BeforeMs + PlayMs;
    Ordinary ordinary[2];
    std::vector<std::thread> threads;
    threads.reserve(4);
    threads.emplace_back([&] {
        for (std::size_t i = 0; nowMs() < endAt; ++i) {
            sendPrompt(false, i % 2);
            sleepMs(SoundPeriodMs);
        }
    });
    if (hasTrouble())
        threads.emplace_back([&] {
            sleepMs(BeforeMs);
            for (std::size_t i = 0; nowMs() < endAt; ++i) {
                sendPrompt(true, i % 2);
                sleepMs(CrashingPeriodMs);
            }
        });
    for (std::size_t node = 0; node < 2; ++node)
        threads.emplace_back([&, node] {
            auto& count = ordinary[node];
            while (nowMs() < endAt) {
                ++open;
                std::thread([&, node] {
                    const auto id = "ordinary-" + std::to_string(node + 1) + "-" + std::to_string(++count.asked);
                    const auto result
                        = callOnce(nodes[node], requestText("GET", "/freezer/stock", id, 1'500), TimeoutMs + 1'200);
                    const bool isAnswered = result.status != 0;
                    count.lateAtTimeout += !isAnswered || result.tookMs > TimeoutMs;
                    count.lateHalfASecondAfter += !isAnswered || result.tookMs > TimeoutMs + 500;
                    count.served += result.status == 200;
                    record(id + ": status " + std::to_string(result.status) + " after " + std::to_string(result.tookMs)
                        + " ms");
                    --open;
                }).detach();
                sleepMs(OrdinaryPeriodMs);
            }
        });
    for (auto& thread : threads)
        thread.join();
    while (open > 0 && nowMs() < endAt + 15'000)
        sleepMs(50);
    std::string text;
    bool isBroken = false;
    for (std::size_t node = 0; node < 2; ++node) {
        const auto& count = ordinary[node];
        text += "node-" + std::to_string(node + 1) + ": " + std::to_string(count.asked) + " ordinary requests, "
            + std::to_string(count.served) + " served, " + std::to_string(count.lateAtTimeout)
            + " without an answer at timeoutMs, " + std::to_string(count.lateHalfASecondAfter)
            + " of them half a second later. ";
        isBroken
            = isBroken || (count.lateAtTimeout >= FewestLate && 2 * count.lateHalfASecondAfter > count.lateAtTimeout);
        if (hasEnded(nodes[node]))
            finish(Broken, "a process ended; " + text);
    }
    const auto summary = std::to_string(crashes) + " crashes of servers, " + std::to_string(arrivalsAfterBound)
        + " requests with the part that reach servers later than stableWindowMs after the fifth. " + text;
    finish(isBroken || arrivalsAfterBound > MostArrivals ? Broken : Held, summary);
}
