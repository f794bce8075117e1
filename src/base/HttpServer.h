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

namespace marigoldpaddle {

struct HttpServerLimits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 32 * 1024 * 1024 };
    std::size_t connections { 16384 };
    Duration idleTimeout { std::chrono::seconds { 15 } }; // Between two requests on a connection.
    Duration receiveTimeout { std::chrono::seconds { 15 } }; // For a whole request to arrive, from its first byte.
    Duration sendTimeout { std::chrono::seconds { 10 } }; // For the caller to take each piece of an answer.
};

// What was wrong with a request that never reached the handler.
enum class HttpFault {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow,
    TooManyConnections,
};

// One request and the means to answer it. Lives as long as its handler runs.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends a whole answer. False when the caller is gone or does not read.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;

    // Send an answer piece by piece. Each is false when the caller is gone or does not read; then nothing more can be
    // sent.
    virtual boost::asio::awaitable<bool> beginStream(HttpResponseHeader header) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view piece) = 0;
    virtual boost::asio::awaitable<bool> endStream() = 0;

    // Completes once the caller has closed its connection; until then it waits, and it can be cancelled.
    virtual boost::asio::awaitable<void> waitUntilCallerIsGone() = 0;
};

class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    // Answers one request. Must respond, or end the stream that it began, unless the caller is gone.
    virtual boost::asio::awaitable<void> handle(HttpExchange& exchange) = 0;

    // Makes the answer to a request that could not be read.
    virtual HttpResponse describeFault(HttpFault fault) = 0;
};

// Serves HTTP/1.1 on one address. All calls come from the io_context's thread.
class HttpServer {
public:
    // `handler` must outlive the server.
    HttpServer(boost::asio::io_context& context, HttpHandler& handler, HttpServerLimits limits = {});
    ~HttpServer();

    // Binds and starts to accept. Returns the bound port; throws boost::system::system_error when it cannot bind.
    std::uint16_t listen(std::string_view address);

    // Takes effect with the next request on each connection.
    void setLimits(const HttpServerLimits& limits);

    // From now on every answer announces that its connection closes. New connections and requests are still served.
    void announceClose();

    // Closes every connection. Exchanges end as if their callers had left.
    void closeConnections();

    // Closes the listener and idle connections, and returns when the last exchange has ended.
    boost::asio::awaitable<void> drain();

    std::size_t activeExchanges() const;

private:
    class Session;
    struct State;
    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);

    std::shared_ptr<State> state;
};

}
