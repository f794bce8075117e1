#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include "base/Http.h"

namespace marigoldpaddle {

struct HttpClientLimits {
    Duration connectTimeout { std::chrono::seconds { 1 } };
    std::size_t maximumHeaderBytes { 8 * 1024 }; // Also of a trailer, whose fields are dropped.
    std::size_t maximumResponseBytes { 64 * 1024 * 1024 };
    // Bytes that the incomplete bodies of readAll() hold together. A body may grow while it is no larger than what is
    // left, so that few large ones fit, or many small ones; up to AlwaysHeldBytes it may grow in any case.
    std::size_t maximumHeldBytes { 256 * 1024 * 1024 };
    std::size_t idleConnectionsPerAddress { 64 };
    Duration idleLifetime { std::chrono::seconds { 60 } }; // A shorter Keep-Alive timeout of the server has priority.
    // TCP_USER_TIMEOUT: a connection fails when sent data stays unacknowledged for this long; 0: the system's default.
    Duration unacknowledgedTimeout { 0 };
    // Silence after which a connection is probed (TCP keep-alive), in whole seconds; 0: never. A host that has lost its
    // power sends no reset, so that nothing else ends a call that only waits for bytes.
    std::chrono::seconds probeAfter { 0 };
    // Connections are reset in place of an orderly close. Bytes that a broken path holds up are then dropped, so that a
    // request which was given up does not arrive later.
    bool resetsOnClose { false };
};

enum class ConnectionReuse {
    Allowed,
    Forbidden, // For requests that must not be repeated: a pooled connection may prove closed only after the write.
};

// Called after a connection is established and before the first byte of the request is written. It allows a caller to
// cancel a request that is no longer wanted when connecting took long.
class WriteGate {
public:
    virtual ~WriteGate() = default;

    // Returns whether the request may be written. HttpClient::start() fails with ConnectFailed if it may not.
    virtual bool mayWrite() = 0;
};

// Why a connection was not established.
enum class ConnectFailure {
    Refused, // The address answered with a reset.
    TimedOut, // No answer.
    Local, // A fault of this process or its host, such as a lack of descriptors. It says nothing about the server.
};

std::string_view name(ConnectFailure failure);

// Classifies the error of an attempt to connect.
ConnectFailure connectFailureOf(const boost::system::error_code& failure);

// Told how the connections of a client fare. The functions must not call the client.
class ConnectionObserver {
public:
    virtual ~ConnectionObserver() = default;

    // A new connection was established.
    virtual void connected(std::string_view address) = 0;

    virtual void connectFailed(std::string_view address, ConnectFailure failure) = 0;

    // An established connection was reset, or its peer no longer acknowledges what was sent.
    virtual void connectionLost(std::string_view address) = 0;

    // Bytes of a response arrived.
    virtual void received(std::string_view address) = 0;
};

// Size up to which each body is held, however much others hold.
inline constexpr std::size_t AlwaysHeldBytes = std::size_t { 64 } * 1024;

class HttpClient;

// A request that was sent and its response, which is read incrementally. The destructor returns the connection to the
// client's pool if the whole response was read, and closes it otherwise, or if the client no longer exists.
class HttpCall {
public:
    HttpCall(HttpCall&&) noexcept;
    ~HttpCall();

    const HttpResponseHeader& header() const;

    // Returns the next piece of the body; empty at the end of the body. `timeout` applies to this piece alone. Fails
    // with Timeout, Malformed or Truncated.
    boost::asio::awaitable<HttpResult<std::string>> readSome(Duration timeout);

    // Reads the remainder of the body. `timeout` applies to all of it: a server may send a byte now and then without
    // end. Fails with Malformed if the body is larger than the client may hold, and like readSome().
    boost::asio::awaitable<HttpResult<std::string>> readAll(Duration timeout);

    // The same with another limit for each piece.
    boost::asio::awaitable<HttpResult<std::string>> readAll(Duration pieceTimeout, Duration timeout);

    // Closes the connection, so that it is not returned to the pool.
    void discard();

private:
    friend class HttpClient;
    struct Connection;
    class HeldBytes;
    class Pool;
    HttpCall(std::weak_ptr<Pool> pool, std::unique_ptr<Connection> connection);

    std::weak_ptr<Pool> pool; // Of the client. An event loop destroys suspended calls after the client is gone.
    std::unique_ptr<Connection> connection;
};

// Sends HTTP/1.1 requests over pooled connections. Not thread-safe. Calls may outlive it, also while they connect or
// wait for a header.
class HttpClient {
public:
    // `observer` may be null; otherwise it must outlive the client.
    explicit HttpClient(
        boost::asio::any_io_executor executor, HttpClientLimits limits = {}, ConnectionObserver* observer = nullptr);
    ~HttpClient();

    // Connects, sends a request and waits for the header of its response. `timeout` covers writing the request and
    // reading the header; connecting has its own limit. Fails with ConnectFailed if `gate` does not allow the write. A
    // request without a Host header gets the address as its host.
    boost::asio::awaitable<HttpResult<HttpCall>> start(std::string address, HttpRequest request, Duration timeout,
        ConnectionReuse reuse = ConnectionReuse::Allowed, WriteGate* gate = nullptr);

    // Sends a request and reads its whole response. `timeout` applies to the header and to each piece of the body, and
    // WholeBodyTimeouts times as much to the body.
    static constexpr int WholeBodyTimeouts = 4;
    boost::asio::awaitable<HttpResult<HttpResponse>> call(
        std::string address, HttpRequest request, Duration timeout, ConnectionReuse reuse = ConnectionReuse::Allowed);

    // Closes the pooled connections to an address.
    void closeIdleConnections(std::string_view address);

    // Closes pooled connections whose idle lifetime has expired or that the server has closed.
    void closeStaleConnections();

private:
    using Connection = HttpCall::Connection;
    using Pool = HttpCall::Pool;
    static boost::asio::awaitable<HttpResult<std::unique_ptr<Connection>>> connect(
        boost::asio::any_io_executor executor, HttpClientLimits limits, std::weak_ptr<Pool> pool, std::string address);

    boost::asio::any_io_executor executor;
    HttpClientLimits limits;
    std::shared_ptr<Pool> pool;
};

}
