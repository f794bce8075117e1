// Plain blocking HTTP/1.1 over sockets, for the stand-ins of the review. One thread serves one connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

inline SteadyTime after(double seconds)
{
    return now()
        + std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double> { seconds });
}

// Milliseconds since 1970. All processes of a case run on one machine, so that their records are comparable.
inline long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(double milliseconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli> { milliseconds });
}

// Appends one line to a record that several processes write.
inline void record(const std::string& file, const std::string& line)
{
    const int out = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const auto text = std::to_string(unixMs()) + ' ' + line + '\n';
    if (out < 0 || ::write(out, text.data(), text.size()) < 0)
        std::perror("record");
    ::close(out);
}

inline int listenOn(const std::string& host, int port)
{
    const int server = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(server, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::inet_addr(host.c_str());
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::bind(server, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(server, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    return server;
}

inline int portOf(int server)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getsockname(server, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

// Returns -1 if nothing listens there.
inline int connectTo(const std::string& host, int port)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::inet_addr(host.c_str());
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int on = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        return connection;
    ::close(connection);
    return -1;
}

inline bool sendAll(int connection, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads more bytes. False at the end of the connection or at the deadline.
inline bool receiveMore(int connection, std::string& buffer, SteadyTime deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now()).count();
    pollfd state { connection, POLLIN, 0 };
    if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[65536];
    const auto count = ::recv(connection, bytes, sizeof bytes, 0);
    if (count > 0)
        buffer.append(bytes, static_cast<std::size_t>(count));
    return count > 0;
}

struct Message {
    std::string firstLine;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
    bool hasHeader { false };
    bool isComplete { false };

    std::string header(const std::string& name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string {} : found->second;
    }

    std::string method() const
    {
        return this->firstLine.substr(0, this->firstLine.find(' '));
    }

    std::string target() const
    {
        const auto begin = this->firstLine.find(' ') + 1;
        return this->firstLine.substr(begin, this->firstLine.rfind(' ') - begin);
    }

    int status() const
    {
        return this->hasHeader && this->firstLine.size() > 9 ? std::atoi(this->firstLine.c_str() + 9) : 0;
    }
};

inline void parseHeader(const std::string& text, Message& message)
{
    auto end = text.find("\r\n");
    message.firstLine = text.substr(0, end);
    while (end != std::string::npos) {
        const auto begin = end + 2;
        end = text.find("\r\n", begin);
        const auto line = text.substr(begin, end == std::string::npos ? end : end - begin);
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char each) { return std::tolower(each); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? std::string {} : line.substr(value);
    }
    message.hasHeader = true;
}

// Reads a request or an answer with a length or chunks. `buffer` holds bytes that were received before.
inline Message receiveMessage(int connection, std::string& buffer, SteadyTime deadline)
{
    Message message;
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(connection, buffer, deadline))
            return message;
    }
    parseHeader(buffer.substr(0, end), message);
    buffer.erase(0, end + 4);
    if (message.header("transfer-encoding") != "chunked") {
        const auto length = message.header("content-length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (buffer.size() < size) {
            if (!receiveMore(connection, buffer, deadline))
                return message;
        }
        message.body = buffer.substr(0, size);
        buffer.erase(0, size);
        message.isComplete = true;
        return message;
    }
    while (true) {
        while ((end = buffer.find("\r\n")) == std::string::npos) {
            if (!receiveMore(connection, buffer, deadline))
                return message;
        }
        const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
        while (buffer.size() < end + 2 + size + 2) {
            if (!receiveMore(connection, buffer, deadline))
                return message;
        }
        message.body += buffer.substr(end + 2, size);
        buffer.erase(0, end + 2 + size + 2);
        if (size == 0)
            break;
    }
    message.isComplete = true;
    return message;
}

inline std::string chunkOf(const std::string& text)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline std::string answerOf(const std::string& statusLine, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

// Value of a query's parameter; empty if there is none.
inline std::string parameter(const std::string& target, const std::string& name)
{
    const auto begin = target.find(name + '=');
    if (begin == std::string::npos)
        return {};
    const auto value = target.substr(begin + name.size() + 1);
    return value.substr(0, value.find('&'));
}

// Serves each connection in a thread of its own, for as long as the process runs.
template <typename Serve> void acceptForever(int server, Serve serve)
{
    while (true) {
        const int connection = ::accept(server, nullptr, nullptr);
        if (connection < 0 && (errno == EBADF || errno == EINVAL))
            return; // Nobody listens any more.
        if (connection < 0)
            continue;
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([connection, serve] {
            serve(connection);
            ::close(connection);
        }).detach();
    }
}
