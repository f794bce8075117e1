#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/Http.h"

namespace marigoldpaddle {

struct HttpClientLimits {
    Duration connectTimeout { std::chrono::seconds { 1 } };
    std::size_t answerBytes { 64 * 1024 * 1024 };
    std::size_t idleConnectionsPerAddress { 64 };
    Duration idleLifetime { std::chrono::seconds { 60 } }; // Unless the server states a shorter one.
    Duration unacknowledgedTimeout {
        0
    }; // Bytes without acknowledgement for so long break a connection; 0: the system's.
};

enum class ConnectionReuse {
    Allowed,
    Forbidden, // For calls that may not be repeated: a pooled connection may turn out dead after the write.
};

// Is asked between connecting and writing the first byte, whatever time the connecting took.
class SendGate {
public:
    virtual ~SendGate() = default;

    virtual bool mayWrite() = 0;
};

class HttpClient;

// One request that was sent, and its answer as it arrives. Its connection goes back to the pool only after the whole
// answer was read; an HttpCall that is destroyed earlier closes it.
class HttpCall {
public:
    HttpCall(HttpCall&&) noexcept;
    ~HttpCall();

    const HttpResponseHeader& header() const;

    // Returns the next piece of the body, empty at its end. `timeout` is for this piece.
    boost::asio::awaitable<HttpResult<std::string>> readSome(Duration timeout);

    // Reads what is left of the body.
    boost::asio::awaitable<HttpResult<std::string>> readAll(Duration timeout);

    // Closes the connection instead of keeping it for another request.
    void discard();

private:
    friend class HttpClient;
    struct Connection;
    HttpCall(HttpClient& client, std::unique_ptr<Connection> connection);

    HttpClient* client;
    std::unique_ptr<Connection> connection;
};

// Sends requests over pooled connections. Not thread-safe; must outlive its calls.
class HttpClient {
public:
    explicit HttpClient(boost::asio::any_io_executor executor, HttpClientLimits limits = {});
    ~HttpClient();

    // Sends a request and waits up to `timeout` for the header of its answer. ConnectFailed when `gate` forbids it. A
    // request without a Host header gets the address as its host.
    boost::asio::awaitable<HttpResult<HttpCall>> start(std::string address, HttpRequest request, Duration timeout,
        ConnectionReuse reuse = ConnectionReuse::Allowed, SendGate* gate = nullptr);

    // Sends a request and reads its whole answer, within `timeout` each for header and body.
    boost::asio::awaitable<HttpResult<HttpResponse>> call(
        std::string address, HttpRequest request, Duration timeout, ConnectionReuse reuse = ConnectionReuse::Allowed);

    // Closes idle connections whose lifetime is over or whose server has closed them.
    void closeStaleConnections();

private:
    friend class HttpCall;
    using Connection = HttpCall::Connection;
    boost::asio::awaitable<HttpResult<std::unique_ptr<Connection>>> connect(std::string address, ConnectionReuse reuse);
    std::unique_ptr<Connection> takeIdle(const std::string& address);
    void giveBack(std::unique_ptr<Connection> connection);

    boost::asio::any_io_executor executor;
    HttpClientLimits limits;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>, std::less<>> idle;
};

}
