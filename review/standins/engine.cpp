// Stand-in for a model server.
//   engine ID PORTFILE ZONE STOREPORT RECORD [CRASHPART [EVENTS]]
// Registers itself under ID, writes its entry every 1.2 s, and streams ten events for each prompt. It listens on the
// port in PORTFILE, or on a free one that it writes there. A prompt with the part CRASHPART that is not its last one
// kills the process as it begins to write the answer: after its header, and after EVENTS whole events (0). With
// ENDLESS_MB_S in the environment it answers every call with a body that has no end, of so many megabytes a second.
// With SERVICE it is of another service than `model`. A request under /orders/ gets a whole answer after 110 ms;
// one for the path CRASHPATH, whatever its query, kills the process instead.
#include "Http.h"

#include <csignal>

namespace {

constexpr int Events = 10;
constexpr double EventMs = 43; // 46 tokens at 0.93 ms.
constexpr double TokensPerMs = 256;
constexpr double OrderMs = 110;

std::string id;
std::string recordFile;
std::string crashPart;
int eventsBeforeCrash = 0;
double endlessMbPerSecond = 0;

// Whether a part of the prompt, except the last one, crashes this server.
bool crashes(std::string prefix)
{
    while (!crashPart.empty()) {
        const auto comma = prefix.find(',');
        if (comma == std::string::npos)
            return false;
        if (prefix.substr(0, prefix.find(':')) == crashPart)
            return true;
        prefix.erase(0, comma + 1);
    }
    return false;
}

void die(const std::string& attempt)
{
    record(recordFile, "crash " + attempt + ' ' + id);
    std::raise(SIGKILL);
}

bool hasLeft(int connection)
{
    pollfd state { connection, POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0;
}

// Answers with bytes that have no end, until the caller closes.
bool answerEndlessly(int connection, const Message& request)
{
    record(recordFile, "endless " + request.target() + " " + id);
    if (!sendAll(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    const auto piece = chunkOf(std::string(100'000, 'x'));
    auto next = now();
    while (sendAll(connection, piece)) {
        next += std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double> { 0.1 / endlessMbPerSecond });
        std::this_thread::sleep_until(next);
    }
    return false;
}

bool answer(int connection, const Message& request)
{
    if (endlessMbPerSecond > 0)
        return answerEndlessly(connection, request);
    const auto attempt = request.header("marigoldpaddle-attempt-id");
    const auto expected = request.header("marigoldpaddle-expect-instance");
    if (request.target().rfind("/api/order", 0) == 0)
        return sendAll(connection, answerOf("200 OK", "Content-Type: application/json\r\n", "{\"free\":450000}"));
    if (!expected.empty() && expected != id)
        return sendAll(connection,
            answerOf("421 Misdirected Request",
                "Marigoldpaddle-Attempt-Id: " + attempt + "\r\nMarigoldpaddle-Instance-Id: " + id + "\r\n", ""));
    if (request.target().rfind("/orders/", 0) == 0) {
        record(recordFile, "run " + attempt + ' ' + id);
        const char* deadly = std::getenv("CRASHPATH");
        if (deadly && request.target().substr(0, request.target().find('?')) == deadly)
            die(attempt);
        sleepMs(OrderMs);
        return sendAll(connection,
            answerOf("200 OK",
                "Marigoldpaddle-Attempt-Id: " + attempt + "\r\nMarigoldpaddle-Server-Seal: " + id + "\r\n", "{}"));
    }
    sleepMs(1 + std::atof(request.header("marigoldpaddle-token-usage").c_str()) / TokensPerMs);
    if (hasLeft(connection))
        return false;
    const bool isDeadly = crashes(request.header("marigoldpaddle-prompt-prefix"));
    record(recordFile, "run " + attempt + ' ' + id);
    if (!sendAll(connection,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMarigoldpaddle-Attempt-Id: " + attempt
                + "\r\nMarigoldpaddle-Server-Seal: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    const auto last = request.header("last-event-id");
    int written = 0;
    for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; event <= Events; ++event) {
        if (isDeadly && written == eventsBeforeCrash)
            die(attempt);
        sleepMs(EventMs);
        if (!sendAll(connection,
                chunkOf("id: " + std::to_string(event) + "\ndata: " + attempt + ' ' + std::to_string(event) + "\n\n")))
            return false;
        ++written;
    }
    return sendAll(connection, "0\r\n\r\n");
}

void serve(int connection)
{
    std::string buffer;
    while (true) {
        const auto request = receiveMessage(connection, buffer, after(60));
        if (!request.isComplete || !answer(connection, request))
            return;
    }
}

// Writes the entry every heartbeat interval.
void keepRegistered(int storePort, const std::string& entry)
{
    int store = -1;
    while (true) {
        if (store < 0)
            store = connectTo("127.0.0.1", storePort);
        std::string buffer;
        const auto write = "PUT /write?topic=keyed.servers&key=" + id
            + " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(entry.size()) + "\r\n\r\n" + entry;
        if (store >= 0 && (!sendAll(store, write) || !receiveMessage(store, buffer, after(1)).isComplete)) {
            ::close(store);
            store = -1;
        }
        sleepMs(1200);
    }
}

}

int main(int count, char** arguments)
{
    id = arguments[1];
    const std::string portFile = arguments[2];
    recordFile = arguments[5];
    crashPart = count > 6 ? arguments[6] : "";
    eventsBeforeCrash = count > 7 ? std::atoi(arguments[7]) : 0;
    if (const char* endless = std::getenv("ENDLESS_MB_S"))
        endlessMbPerSecond = std::atof(endless);
    int port = 0;
    if (std::FILE* in = std::fopen(portFile.c_str(), "r")) {
        if (std::fscanf(in, "%d", &port) != 1)
            port = 0;
        std::fclose(in);
    }
    const int server = listenOn("127.0.0.1", port);
    port = portOf(server);
    if (std::FILE* out = std::fopen((portFile + ".new").c_str(), "w")) {
        std::fprintf(out, "%d\n", port);
        std::fclose(out);
        std::rename((portFile + ".new").c_str(), portFile.c_str());
    }
    const char* named = std::getenv("SERVICE");
    const std::string service = named ? named : "model";
    const auto entry = "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port)
        + "\",\"zone\":\"" + arguments[3]
        + "\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":"
        + std::to_string(unixMs()) + '}';
    std::thread(keepRegistered, std::atoi(arguments[4]), entry).detach();
    acceptForever(server, serve);
}
