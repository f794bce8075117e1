// Clients of the cases on prompts that crash servers.
//   prompts RECORD CRASHPART PARTS SOUNDPERSECOND BADPERSECOND QUIET_S TROUBLE_S NODE...
// For QUIET_S, then for TROUBLE_S, sound prompts come at any node. In TROUBLE_S prompts with the part CRASHPART come as
// well. All prompts have the same key and PARTS shared parts before their own; in the bad ones CRASHPART stands in
// place of the last shared part. Then judges LOST from the record. Exit status: 0 kept, 1 broken, 2 not enough
// requests.
#include "Http.h"

#include <atomic>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <vector>

namespace {

constexpr int DeadlineMs = 10'000;
constexpr long long StableWindowMs = 3000;
constexpr std::size_t EnoughRequests = 20;

struct Sent {
    std::string id;
    long long at;
    bool isBad;
    bool isAnswered;
};

std::string recordFile;
std::atomic<int> running { 0 };

std::string prefixOf(const std::string& crashPart, int parts, bool isBad, int number)
{
    std::string prefix;
    for (int part = 1; part <= parts; ++part) {
        char name[16];
        std::snprintf(name, sizeof name, "%08x", 0x5c1e0000 + part);
        prefix += (isBad && part == parts ? crashPart : name) + ":40,";
    }
    char own[16];
    std::snprintf(own, sizeof own, "%08x", 0x10000000 + number);
    return prefix + own + ":400";
}

void request(std::string host, int port, std::string id, std::string prefix)
{
    const int connection = connectTo(host, port);
    std::string buffer;
    if (connection >= 0)
        sendAll(connection,
            "POST /kerb/ask HTTP/1.1\r\nHost: rounds.example\r\nAuthorization: Token drivers-key\r\n"
            "Marigoldpaddle-Attempt-Id: "
                + id + "\r\nMarigoldpaddle-Deadline-Remaining: " + std::to_string(DeadlineMs)
                + "\r\nMarigoldpaddle-Model: m\r\nMarigoldpaddle-Token-Usage: "
                  "2000,460\r\nMarigoldpaddle-Prompt-Prefix: "
                + prefix + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id);
    const auto answer
        = connection >= 0 ? receiveMessage(connection, buffer, after(DeadlineMs / 1000.0 + 1)) : Message {};
    record(recordFile,
        "answered " + id + ' ' + std::to_string(answer.status()) + (answer.isComplete ? " whole" : " broken"));
    if (connection >= 0)
        ::close(connection);
    --running;
}

struct Share {
    std::size_t begun { 0 };
    std::size_t sent { 0 };

    double value() const
    {
        return this->sent == 0 ? 0 : static_cast<double>(this->begun) / static_cast<double>(this->sent);
    }
};

// LOST: from twice the stable window after the fifth crash (the last, if there are fewer), while bad requests still
// come, sound ones begin less than half as often as before the trouble; 20 or more of each.
int judge(long long troubleAt, long long endAt)
{
    std::vector<Sent> sent;
    std::set<std::string> begun;
    std::vector<long long> crashes;
    std::map<std::string, int> answers;
    std::ifstream in { recordFile };
    for (std::string line; std::getline(in, line);) {
        std::istringstream words { line };
        long long at = 0;
        std::string what;
        std::string id;
        std::string more;
        words >> at >> what >> id >> more;
        if (what == "sent")
            sent.push_back({ id, at, more == "bad", false });
        else if (what == "run")
            begun.insert(id);
        else if (what == "crash")
            crashes.push_back(at);
        else if (what == "answered")
            ++answers[id.substr(0, id.find('-')) + ' ' + more];
    }
    const auto from
        = crashes.empty() ? troubleAt : crashes[std::min<std::size_t>(crashes.size(), 5) - 1] + 2 * StableWindowMs;
    Share quiet;
    Share trouble;
    int lateBad = 0;
    for (const auto& one : sent) {
        if (one.isBad) {
            lateBad += crashes.size() >= 5 && one.at > crashes[4] + StableWindowMs && begun.contains(one.id) ? 1 : 0;
            continue;
        }
        auto* share = one.at < troubleAt - StableWindowMs ? &quiet
            : one.at >= from && one.at < endAt            ? &trouble
                                                          : nullptr;
        if (!share)
            continue;
        ++share->sent;
        share->begun += begun.contains(one.id) ? 1 : 0;
    }
    std::ostringstream verdict;
    verdict << "judged: " << crashes.size() << " crashes; sound requests begun: " << quiet.begun << " of " << quiet.sent
            << " before the trouble, " << trouble.begun << " of " << trouble.sent
            << " from 6 s after the fifth crash on; bad requests that ran, sent later than 3 s after it: " << lateBad
            << "; answers:";
    for (const auto& [what, count] : answers)
        verdict << ' ' << what << " x" << count << ',';
    const bool isBroken = trouble.value() < quiet.value() / 2;
    const bool isEnough = quiet.sent >= EnoughRequests && trouble.sent >= EnoughRequests && quiet.begun > 0;
    verdict << (!isEnough ? " too few requests" : isBroken ? " LOST is broken" : " LOST holds");
    record(recordFile, verdict.str());
    std::printf("%s\n", verdict.str().c_str());
    return !isEnough ? 2 : isBroken ? 1 : 0;
}

}

int main(int count, char** arguments)
{
    recordFile = arguments[1];
    const std::string crashPart = arguments[2];
    const int parts = std::atoi(arguments[3]);
    const double soundPerSecond = std::atof(arguments[4]);
    const double badPerSecond = std::atof(arguments[5]);
    const auto quietFor = std::atof(arguments[6]);
    const auto troubleFor = std::atof(arguments[7]);
    std::vector<std::pair<std::string, int>> nodes;
    for (int index = 8; index < count; ++index) {
        const std::string address = arguments[index];
        const auto colon = address.find(':');
        nodes.emplace_back(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    }
    std::mt19937 random { 7 };
    const auto startedAt = now();
    const auto troubleAt = unixMs() + static_cast<long long>(quietFor * 1000);
    const auto endAt = troubleAt + static_cast<long long>(troubleFor * 1000);
    auto nextSound = startedAt;
    auto nextBad = startedAt
        + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double> { quietFor });
    const auto period = [](double perSecond) {
        return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            std::chrono::duration<double> { 1 / perSecond });
    };
    for (int number = 1; unixMs() < endAt; ++number) {
        const bool isBad = nextBad < nextSound;
        auto& next = isBad ? nextBad : nextSound;
        std::this_thread::sleep_until(next);
        next += period(isBad ? badPerSecond : soundPerSecond);
        const auto id = (isBad ? "bad-" : "sound-") + std::to_string(number);
        const auto& node = nodes[random() % nodes.size()];
        record(recordFile, "sent " + id + (isBad ? " bad " : " sound ") + node.first);
        ++running;
        std::thread(request, node.first, node.second, id, prefixOf(crashPart, parts, isBad, number)).detach();
    }
    for (const auto until = after(12); running > 0 && now() < until;)
        sleepMs(50);
    return judge(troubleAt, endAt);
}
