#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/Http.h"
#include "base/MemoryBudget.h"

namespace marigoldpaddle {

struct HttpServerLimits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 32 * 1024 * 1024 };
    std::size_t connections { 16384 };
    Duration idleTimeout { std::chrono::seconds { 15 } }; // Until the first byte of the next request.
    Duration receiveTimeout { std::chrono::seconds { 15 } }; // From the first to the last byte of a request.
    Duration sendTimeout { std::chrono::seconds { 10 } }; // For each write of a response.
    // Kernel buffer for unsent bytes of a connection. Left to itself it grows to megabytes for a caller that does not
    // read, which delays the send timeout by the time that it takes to fill.
    std::size_t sendBufferBytes { 128 * 1024 };
};

// Why a request was rejected before it reached the handler.
enum class HttpFault {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow, // It did not arrive within HttpServerLimits::receiveTimeout.
    TooManyConnections,
    NoMemory, // The memory for requests is used up. The request was not handled.
};

// A request and the operations to respond to it. Valid until HttpHandler::handle() returns.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends a whole response. Returns false if the caller has disconnected or does not read within the send timeout.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    // Send a response in pieces, with chunked encoding. Each returns false if the caller has disconnected or does not
    // read within the send timeout; nothing more can be sent after that.
    virtual boost::asio::awaitable<bool> beginStream(HttpResponseHeader header) = 0;

    // Like beginStream(), but with neither a length nor chunks: endStream() ends the response by closing the
    // connection. If it is not called the connection is reset, since an orderly end would complete the response.
    virtual boost::asio::awaitable<bool> beginStreamWithoutLength(HttpResponseHeader header) = 0;

    virtual boost::asio::awaitable<bool> write(std::string_view piece) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;

    // Whether the caller has closed its connection, as far as this host has heard, also behind bytes that were not
    // read. Tells at once what waitForCallerDisconnect() tells once the event loop has turned to the connection.
    virtual bool hasCallerLeft() = 0;

    // Completes when the caller has closed its connection. Can be cancelled.
    virtual boost::asio::awaitable<void> waitForCallerDisconnect() = 0;
};

class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    // Handles one request. Must call respond(), or begin and end a stream, unless the caller has disconnected.
    virtual boost::asio::awaitable<void> handle(HttpExchange& exchange) = 0;

    // Returns the response to a request that could not be read.
    virtual HttpResponse makeFaultResponse(HttpFault fault) = 0;
};

// Serves HTTP/1.1 on one address. Not thread-safe: all calls must be made on the thread of the io_context.
class HttpServer {
public:
    // `handler` must outlive the server. All bytes of requests draw on `budget` until they are answered. Without one,
    // only the limits of the single request hold.
    HttpServer(boost::asio::io_context& context, HttpHandler& handler, HttpServerLimits limits = {},
        std::shared_ptr<MemoryBudget> budget = nullptr);
    ~HttpServer();

    // Binds to "IP:port" and starts to accept connections. Returns the bound port; throws boost::system::system_error
    // if it cannot bind.
    std::uint16_t listen(std::string_view address);

    // Sets the limits. They apply from the next request on each connection.
    void setLimits(const HttpServerLimits& limits);

    // Makes every further response carry "Connection: close". New connections and requests are still served.
    void announceClose();

    // Closes every connection. Exchanges in progress end as if their callers had disconnected.
    void closeConnections();

    // Closes the listener and idle connections, and completes when the last exchange in progress has ended.
    boost::asio::awaitable<void> drain();

    std::size_t activeExchanges() const;

private:
    class Session;
    struct State;
    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);

    std::shared_ptr<State> state;
};

}
