#include "base/HttpClient.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/HttpReader.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct HttpCall::Connection {
    Connection(const asio::any_io_executor& executor, std::string address)
        : stream(executor)
        , address(std::move(address))
    {
    }

    // Parses the bytes that were already received, so that pieces of the body that arrived together are returned
    // together. A parse error is ignored here: the next read parses the same bytes and reports it.
    void parseBuffered()
    {
        error_code failure;
        while (!this->parser->is_done() && this->buffer.size() > 0 && !failure)
            failure = parseMessagePart(this->stream, this->buffer, *this->parser);
    }

    // Whether another request may follow on the connection. The parser's own view includes fields of a trailer.
    bool isReusable() const
    {
        return this->parser && this->parser->is_done() && this->parser->keep_alive() && this->header.keep_alive()
            && this->buffer.size() == 0;
    }

    // Whether a response that ends with its connection may be a part of one, since the server has stopped reading: its
    // host has not acknowledged the whole request, or a reset has followed the end.
    bool hasEndedEarly()
    {
        if (!this->parser->need_eof())
            return false;
        const auto handle = this->stream.socket().native_handle();
        int unacknowledged = 0;
        int reset = 0;
        socklen_t size = sizeof(reset);
        return (::ioctl(handle, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0)
            || (::getsockopt(handle, SOL_SOCKET, SO_ERROR, &reset, &size) == 0 && reset != 0);
    }

    // Bytes that are received and not parsed yet. The parser consumes a body as it arrives, but waits for the end of a
    // header, a chunk extension or a trailer, which a faulty server may never send.
    static constexpr std::size_t MaximumBufferedBytes = 128 * 1024;

    beast::tcp_stream stream;
    std::string address;
    beast::flat_buffer buffer { MaximumBufferedBytes };
    std::optional<HttpMessageParser<false>> parser;
    HttpResponseHeader header;
    TimePoint reusableUntil {};
};

namespace {

using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
constexpr int LostProbes = 2; // Unanswered probes after which the connection fails.

void enableProbes(tcp::socket& socket, std::chrono::seconds after)
{
    error_code ignored; // Without probes the other time limits still apply.
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle { static_cast<int>(after.count()) }, ignored);
    socket.set_option(KeepAliveInterval { 1 }, ignored);
    socket.set_option(KeepAliveCount { LostProbes }, ignored);
}

HttpError responseError(const error_code& failure)
{
    if (failure == beast::error::timeout)
        return HttpError::Timeout;
    if (failure == http::error::body_limit || failure == http::error::header_limit)
        return HttpError::Malformed;
    if (failure.category() == http::make_error_code(http::error::bad_method).category()
        && failure != http::error::end_of_stream && failure != http::error::partial_message)
        return HttpError::Malformed;
    return HttpError::NoAnswer;
}

// Returns how long a connection may be kept idle: the N seconds of the response's "Keep-Alive: timeout=N", less a
// margin for the time in which the next request travels to the server, but at most `defaultLifetime`.
Duration keepAliveLifetime(const HttpResponseHeader& header, Duration defaultLifetime)
{
    constexpr std::string_view Parameter = "timeout=";
    constexpr Duration Margin = std::chrono::milliseconds { 250 };
    const std::string_view value = header[http::field::keep_alive];
    const auto start = value.find(Parameter);
    if (start == std::string_view::npos)
        return defaultLifetime;
    unsigned seconds = 0;
    const auto digits = value.substr(start + Parameter.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {})
        return defaultLifetime;
    return std::min(defaultLifetime, std::chrono::seconds { seconds } - Margin);
}

bool isStillOpen(tcp::socket& socket)
{
    error_code failure;
    socket.non_blocking(true, failure);
    char probe = 0;
    socket.receive(asio::buffer(&probe, 1), tcp::socket::message_peek, failure);
    return failure == asio::error::would_block;
}

}

std::string_view name(ConnectFailure failure)
{
    switch (failure) {
    case ConnectFailure::Refused:
        return "refused";
    case ConnectFailure::TimedOut:
        return "timed_out";
    case ConnectFailure::Local:
        return "local";
    }
    return "invalid";
}

ConnectFailure connectFailureOf(const error_code& failure)
{
    if (failure == asio::error::connection_refused || failure == asio::error::connection_reset)
        return ConnectFailure::Refused;
    if (failure == beast::error::timeout || failure == asio::error::timed_out
        || failure == asio::error::host_unreachable || failure == asio::error::network_unreachable)
        return ConnectFailure::TimedOut;
    return ConnectFailure::Local;
}

// The idle connections of a client, by address, and the client's observer.
class HttpCall::Pool {
public:
    Pool(const HttpClientLimits& limits, ConnectionObserver* observer)
        : connectionsPerAddress(limits.idleConnectionsPerAddress)
        , maximumHeldBytes(limits.maximumHeldBytes)
        , observer(observer)
    {
    }

    // Whether a body of this size may be held, of which `held` bytes count already.
    bool mayHold(std::size_t size, std::size_t held) const
    {
        const auto byOthers = this->heldBytes - held;
        return size <= AlwaysHeldBytes || byOthers + 2 * size <= this->maximumHeldBytes;
    }

    std::size_t heldBytes { 0 }; // By incomplete bodies.

    // Reports a read or write that ended with `failure`, which may be none. The client may no longer exist.
    static void report(const std::weak_ptr<Pool>& pool, std::string_view address, const error_code& failure)
    {
        const auto locked = pool.lock();
        if (!locked || !locked->observer)
            return;
        if (!failure)
            locked->observer->received(address);
        else if (failure == asio::error::connection_reset || failure == asio::error::timed_out
            || failure == asio::error::host_unreachable || failure == asio::error::broken_pipe)
            locked->observer->connectionLost(address);
    }

    // Reports the end of an attempt to connect.
    static void reportConnect(const std::weak_ptr<Pool>& pool, std::string_view address, const error_code& failure)
    {
        const auto locked = pool.lock();
        if (!locked || !locked->observer)
            return;
        if (!failure)
            locked->observer->connected(address);
        else if (failure != asio::error::operation_aborted)
            locked->observer->connectFailed(address, connectFailureOf(failure));
    }

    // Returns a connection that is still open; null if there is none.
    std::unique_ptr<Connection> take(const std::string& address)
    {
        auto& connections = this->idleConnections[address];
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            if (std::chrono::steady_clock::now() < connection->reusableUntil
                && isStillOpen(connection->stream.socket()))
                return connection;
        }
        return nullptr;
    }

    void put(std::unique_ptr<Connection> connection)
    {
        auto& connections = this->idleConnections[connection->address];
        if (connections.size() >= this->connectionsPerAddress)
            return;
        connection->parser.reset();
        connections.push_back(std::move(connection));
    }

    void closeIdleConnections(std::string_view address)
    {
        if (const auto found = this->idleConnections.find(address); found != this->idleConnections.end())
            this->idleConnections.erase(found);
    }

    void closeStaleConnections()
    {
        const auto now = std::chrono::steady_clock::now();
        for (auto& [address, connections] : this->idleConnections) {
            std::erase_if(connections, [&](const auto& connection) {
                return now >= connection->reusableUntil || !isStillOpen(connection->stream.socket());
            });
        }
        std::erase_if(this->idleConnections, [](const auto& item) { return item.second.empty(); });
    }

private:
    std::size_t connectionsPerAddress;
    std::size_t maximumHeldBytes;
    ConnectionObserver* observer;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>, std::less<>> idleConnections;
};

// Counts the bytes of an incomplete body, for as long as the object exists. The client may no longer exist.
class HttpCall::HeldBytes {
public:
    explicit HeldBytes(std::weak_ptr<Pool> pool)
        : pool(std::move(pool))
    {
    }

    ~HeldBytes()
    {
        if (const auto locked = this->pool.lock())
            locked->heldBytes -= this->held;
    }

    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    // False if the body must not grow to this size.
    bool grow(std::size_t size)
    {
        const auto locked = this->pool.lock();
        if (!locked)
            return true;
        if (!locked->mayHold(size, this->held))
            return false;
        locked->heldBytes += size - this->held;
        this->held = size;
        return true;
    }

private:
    std::weak_ptr<Pool> pool;
    std::size_t held { 0 };
};

HttpCall::HttpCall(std::weak_ptr<Pool> pool, std::unique_ptr<Connection> connection)
    : pool(std::move(pool))
    , connection(std::move(connection))
{
}

HttpCall::HttpCall(HttpCall&&) noexcept = default;

HttpCall::~HttpCall()
{
    // Bytes after a complete response do not belong to any request, so the next response on the connection could not be
    // matched to its request. Such a connection is closed.
    if (!this->connection || !this->connection->isReusable())
        return;
    if (const auto pool = this->pool.lock())
        pool->put(std::move(this->connection));
}

void HttpCall::discard()
{
    this->connection->stream.close();
    this->connection->parser.reset();
}

const HttpResponseHeader& HttpCall::header() const
{
    return this->connection->header;
}

asio::awaitable<HttpResult<std::string>> HttpCall::readSome(Duration timeout)
{
    auto& parser = *this->connection->parser;
    auto& body = parser.get().body();
    this->connection->stream.expires_after(timeout);
    while (!parser.is_done() && body.empty()) {
        const auto failure = co_await readMessagePart(this->connection->stream, this->connection->buffer, parser);
        Pool::report(this->pool, this->connection->address, failure);
        if (failure == beast::error::timeout)
            co_return HttpError::Timeout;
        if (failure)
            co_return responseError(failure) == HttpError::Malformed ? HttpError::Malformed : HttpError::Truncated;
    }
    this->connection->stream.expires_never();
    if (parser.is_done() && body.empty() && this->connection->hasEndedEarly()) {
        this->connection->stream.close();
        co_return HttpError::Truncated;
    }
    this->connection->parseBuffered();
    co_return std::exchange(body, std::string {});
}

asio::awaitable<HttpResult<std::string>> HttpCall::readAll(Duration timeout)
{
    return this->readAll(timeout, timeout);
}

asio::awaitable<HttpResult<std::string>> HttpCall::readAll(Duration pieceTimeout, Duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    HeldBytes held { this->pool };
    std::string whole;
    while (true) {
        const auto left = end - std::chrono::steady_clock::now();
        if (left <= Duration::zero()) {
            this->connection->stream.close();
            co_return HttpError::Timeout;
        }
        auto piece = co_await this->readSome(std::min(pieceTimeout, left));
        if (!piece)
            co_return piece.error();
        if (piece.value().empty())
            co_return whole;
        if (!held.grow(whole.size() + piece.value().size())) {
            this->connection->stream.close();
            co_return HttpError::Malformed;
        }
        whole += piece.value();
    }
}

HttpClient::HttpClient(asio::any_io_executor executor, HttpClientLimits limits, ConnectionObserver* observer)
    : executor(std::move(executor))
    , limits(limits)
    , pool(std::make_shared<Pool>(limits, observer))
{
}

HttpClient::~HttpClient() = default;

asio::awaitable<HttpResult<HttpCall>> HttpClient::start(
    std::string address, HttpRequest request, Duration timeout, ConnectionReuse reuse, WriteGate* gate)
{
    // The client may be destroyed while this coroutine is suspended.
    const std::weak_ptr<Pool> pool = this->pool;
    const auto limits = this->limits;
    auto connection = reuse == ConnectionReuse::Allowed ? this->pool->take(address) : nullptr;
    if (!connection) {
        auto connected = co_await HttpClient::connect(this->executor, limits, pool, address);
        if (!connected)
            co_return connected.error();
        connection = std::move(connected).value();
    }
    if (gate && !gate->mayWrite())
        co_return HttpError::ConnectFailed;
    if (request[http::field::host].empty())
        request.set(http::field::host, address);
    request.keep_alive(true);
    connection->stream.expires_after(timeout);
    error_code failure;
    co_await http::async_write(connection->stream, request, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        Pool::report(pool, address, failure);
        co_return HttpError::SendFailed;
    }
    connection->parser.emplace();
    connection->parser->body_limit(limits.maximumResponseBytes);
    connection->parser->setHeaderLimit(limits.maximumHeaderBytes);
    while (!failure && !connection->parser->is_header_done())
        failure = co_await readMessagePart(connection->stream, connection->buffer, *connection->parser);
    Pool::report(pool, address, failure);
    if (failure)
        co_return responseError(failure);
    // No request asks for an interim response, so it is none of the answers that a server may give. HTTP defines no
    // status above 599.
    const auto status = connection->parser->get().result_int();
    if (status < FirstFinalStatus || status > LastStatus)
        co_return HttpError::Malformed;
    connection->stream.expires_never();
    connection->header = HttpResponseHeader { connection->parser->get().base() };
    connection->reusableUntil
        = std::chrono::steady_clock::now() + keepAliveLifetime(connection->header, limits.idleLifetime);
    co_return HttpCall { pool, std::move(connection) };
}

asio::awaitable<HttpResult<HttpResponse>> HttpClient::call(
    std::string address, HttpRequest request, Duration timeout, ConnectionReuse reuse)
{
    auto started = co_await this->start(std::move(address), std::move(request), timeout, reuse);
    if (!started)
        co_return started.error();
    auto body = co_await started.value().readAll(timeout, WholeBodyTimeouts * timeout);
    if (!body)
        co_return body.error();
    HttpResponse response { started.value().header().base() };
    response.body() = std::move(body).value();
    co_return response;
}

asio::awaitable<HttpResult<std::unique_ptr<HttpCall::Connection>>> HttpClient::connect(
    asio::any_io_executor executor, HttpClientLimits limits, std::weak_ptr<Pool> pool, std::string address)
{
    auto connection = std::make_unique<Connection>(executor, address);
    const auto [host, port] = splitAddress(address);
    error_code failure;
    const auto parsed = asio::ip::make_address(host, failure);
    if (failure)
        co_return HttpError::ConnectFailed;
    connection->stream.expires_after(limits.connectTimeout);
    co_await connection->stream.async_connect(
        tcp::endpoint { parsed, port }, asio::redirect_error(asio::use_awaitable, failure));
    Pool::reportConnect(pool, address, failure);
    if (failure)
        co_return HttpError::ConnectFailed;
    auto& socket = connection->stream.socket();
    socket.set_option(tcp::no_delay(true), failure);
    if (limits.resetsOnClose)
        socket.set_option(asio::socket_base::linger(true, 0), failure);
    if (limits.unacknowledgedTimeout > Duration::zero()) {
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.unacknowledgedTimeout);
        socket.set_option(UserTimeout { static_cast<int>(timeout.count()) }, failure);
    }
    if (limits.probeAfter > std::chrono::seconds { 0 })
        enableProbes(socket, limits.probeAfter);
    co_return connection;
}

void HttpClient::closeIdleConnections(std::string_view address)
{
    this->pool->closeIdleConnections(address);
}

void HttpClient::closeStaleConnections()
{
    this->pool->closeStaleConnections();
}

}
