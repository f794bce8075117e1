// Stand-in for the platform's store: the topics of the operator and of the servers, as PROTOCOL tells them.
//   store PORTFILE [MOVEDFILE]
// With MOVEDFILE it listens at a second port too, which PORTFILE.old holds, until that file exists.
// Writes of the operator and of servers come as `PUT /write?topic=T&key=K`. An entry of a server lapses after three
// heartbeat intervals of 1.2 s without a write; a write that changes nothing but `sequence` adds no record.
#include "Http.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <vector>

namespace {

constexpr auto Lapse = std::chrono::milliseconds { 3600 };

struct Entry {
    std::string value;
    std::size_t offset { 0 };
    SteadyTime writtenAt {};
};

struct Topic {
    std::vector<std::string> records;
    std::map<std::string, Entry> newest;
};

std::mutex mutex;
std::condition_variable changed;
std::map<std::string, Topic> topics;
std::set<int> oldConnections; // Open ones at the address that is given up.

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int byte = bytes - 1; byte >= 0; --byte)
        text += static_cast<char>(number >> (8 * byte));
    return text;
}

std::string base64(const std::string& bytes)
{
    constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = group << 8 | (index + byte < bytes.size() ? static_cast<unsigned char>(bytes[index + byte]) : 0);
        for (std::size_t digit = 0; digit < 4; ++digit)
            text += index + digit > bytes.size() ? '=' : Digits[group >> (18 - 6 * digit) & 63];
    }
    return text;
}

void write(const std::string& name, const std::string& key, const std::string& value)
{
    const std::lock_guard lock { mutex };
    auto& topic = topics[name];
    const auto known = topic.newest.find(key);
    if (known != topic.newest.end() && known->second.value == value) {
        known->second.writtenAt = now();
        return;
    }
    topic.records.push_back(static_cast<char>(key.size()) + key + value);
    if (value.empty())
        topic.newest.erase(key);
    else
        topic.newest[key] = { value, topic.records.size() - 1, now() };
    changed.notify_all();
}

std::string newest(const std::string& name)
{
    const std::lock_guard lock { mutex };
    const auto& topic = topics[name];
    std::string items;
    for (const auto& [key, entry] : topic.newest)
        items += (items.empty() ? "" : ",") + std::string { "{\"key\":\"" } + key + "\",\"value\":\""
            + base64(entry.value) + "\",\"offset\":" + std::to_string(entry.offset) + '}';
    return "{\"items\":[" + items + "],\"hasMore\":false,\"endOffset\":" + std::to_string(topic.records.size()) + '}';
}

std::string read(const std::string& name, std::size_t from, int waitMs)
{
    std::unique_lock lock { mutex };
    auto& topic = topics[name];
    changed.wait_for(lock, std::chrono::milliseconds { waitMs }, [&] { return topic.records.size() > from; });
    auto body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (auto offset = from; offset < topic.records.size(); ++offset)
        body += bigEndian(topic.records[offset].size(), 4) + topic.records[offset];
    return body;
}

void serve(int connection)
{
    std::string buffer;
    while (true) {
        const auto request = receiveMessage(connection, buffer, after(120));
        if (!request.isComplete)
            return;
        const auto target = request.target();
        const auto topic = parameter(target, "topic");
        std::string body;
        if (target.rfind("/write", 0) == 0)
            write(topic, parameter(target, "key"), request.body);
        else if (target.rfind("/api/log-newest", 0) == 0)
            body = newest(topic);
        else if (target.rfind("/api/log-read", 0) == 0)
            body = read(topic, std::stoul(parameter(target, "from")), std::atoi(parameter(target, "waitMs").c_str()));
        if (!sendAll(connection, answerOf("200 OK", "", body)))
            return;
    }
}

void removeLapsed()
{
    while (true) {
        sleepMs(100);
        std::vector<std::string> lapsed;
        {
            const std::lock_guard lock { mutex };
            for (const auto& [key, entry] : topics["keyed.servers"].newest) {
                if (now() - entry.writtenAt > Lapse)
                    lapsed.push_back(key);
            }
        }
        for (const auto& key : lapsed)
            write("keyed.servers", key, {});
    }
}

void writePort(const std::string& file, int server)
{
    std::FILE* out = std::fopen((file + ".new").c_str(), "w");
    std::fprintf(out, "%d\n", portOf(server));
    std::fclose(out);
    std::rename((file + ".new").c_str(), file.c_str());
}

void serveAtOldAddress(int connection)
{
    {
        const std::lock_guard lock { mutex };
        oldConnections.insert(connection);
    }
    serve(connection);
    const std::lock_guard lock { mutex };
    oldConnections.erase(connection);
}

// Waits for the file and then stops to listen at the old address: new connections are refused, open ones are reset.
void closeOldAddress(int server, std::string file)
{
    while (::access(file.c_str(), F_OK) != 0)
        sleepMs(20);
    ::shutdown(server, SHUT_RDWR);
    ::close(server);
    const std::lock_guard lock { mutex };
    for (const int connection : oldConnections)
        ::shutdown(connection, SHUT_RDWR);
}

}

int main(int count, char** arguments)
{
    const int server = listenOn("127.0.0.1", 0);
    const std::string file = arguments[1];
    if (count > 2) {
        const int old = listenOn("127.0.0.1", 0);
        writePort(file + ".old", old);
        std::thread(closeOldAddress, old, std::string { arguments[2] }).detach();
        std::thread([old] { acceptForever(old, serveAtOldAddress); }).detach();
    }
    writePort(file, server);
    std::thread(removeLapsed).detach();
    acceptForever(server, serve);
}
