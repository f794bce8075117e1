#include "base/HttpServer.h"

#include <algorithm>
#include <optional>

#include <poll.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include "base/Acceptor.h"
#include "base/HttpReader.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A pipelined request and a piece of a body fit into it.
constexpr std::size_t MinimumBufferBytes = 128 * 1024;
// What is read at once of a request that was rejected.
constexpr std::size_t DiscardedBytes = 4 * 1024;
// Memory of a header field beside its name and value.
constexpr std::size_t FieldOverheadBytes = 64;

// The clock of the timers.
TimePoint timerNow()
{
    return asio::steady_timer::clock_type::now();
}

}

struct HttpServer::State {
    State(
        asio::io_context& context, HttpHandler& handler, HttpServerLimits limits, std::shared_ptr<MemoryBudget> budget)
        : context(context)
        , handler(handler)
        , limits(limits)
        , budget(budget ? std::move(budget) : std::make_shared<MemoryBudget>())
        , acceptor(context)
        , exchangeEnded(context, TimePoint::max())
    {
    }

    bool closeLongestIdle();

    asio::io_context& context;
    HttpHandler& handler;
    HttpServerLimits limits;
    std::shared_ptr<MemoryBudget> budget;
    tcp::acceptor acceptor;
    asio::steady_timer exchangeEnded; // Never expires; cancelled whenever an exchange ends.
    std::unordered_set<Session*> sessions;
    std::size_t exchanges { 0 };
    bool isDraining { false };
    bool announcesClose { false };
};

class HttpServer::Session final : public HttpExchange, public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, std::shared_ptr<State> state)
        : stream(std::move(socket))
        , state(std::move(state))
        , held(*this->state->budget, [this] { this->reclaim(); })
    {
        this->state->sessions.insert(this);
    }

    ~Session() override
    {
        this->state->sessions.erase(this);
    }

    asio::awaitable<void> run()
    {
        while (!this->state->isDraining && co_await this->receive()) {
            this->beginExchange();
            co_await this->runHandler();
            this->endExchange();
            if (!this->isReusable)
                break;
        }
        error_code ignored;
        if (this->isStreamChunked || this->isResponseComplete)
            this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        this->stream.close();
    }

    void close()
    {
        this->stream.close();
    }

    // Since when the connection waits for the first byte of a request; empty while it does not.
    std::optional<TimePoint> idleSince() const
    {
        return this->waitingSince;
    }

    // Closes the connection, which is no longer idle then.
    void closeIdle()
    {
        this->waitingSince.reset();
        this->stream.close();
    }

    void closeIfIdle()
    {
        if (!this->isHandling)
            this->stream.close();
    }

    const HttpRequest& request() const override
    {
        return this->parser->get();
    }

    asio::awaitable<bool> respond(HttpResponse response) override
    {
        response.keep_alive(this->keepsAlive());
        this->stream.expires_after(this->state->limits.sendTimeout);
        error_code failure;
        co_await http::async_write(this->stream, response, asio::redirect_error(asio::use_awaitable, failure));
        this->isResponseComplete = true;
        co_return this->recordSendResult(failure);
    }

    asio::awaitable<bool> beginStream(HttpResponseHeader header) override
    {
        header.chunked(true);
        co_return co_await this->writeHeader(std::move(header));
    }

    asio::awaitable<bool> beginStreamWithoutLength(HttpResponseHeader header) override
    {
        this->isStreamChunked = false;
        this->isReusable = false;
        this->setResetOnClose(true);
        co_return co_await this->writeHeader(std::move(header));
    }

    asio::awaitable<bool> write(std::string_view piece) override
    {
        if (piece.empty())
            co_return this->isReusable;
        this->stream.expires_after(this->state->limits.sendTimeout);
        error_code failure;
        const auto bytes = asio::buffer(piece.data(), piece.size());
        if (this->isStreamChunked)
            co_await asio::async_write(
                this->stream, http::make_chunk(bytes), asio::redirect_error(asio::use_awaitable, failure));
        else
            co_await asio::async_write(this->stream, bytes, asio::redirect_error(asio::use_awaitable, failure));
        co_return this->recordSendResult(failure);
    }

    asio::awaitable<bool> endStream() override
    {
        if (!this->isStreamChunked) {
            this->setResetOnClose(false);
            this->isResponseComplete = true;
            co_return this->stream.socket().is_open();
        }
        this->stream.expires_after(this->state->limits.sendTimeout);
        error_code failure;
        co_await asio::async_write(
            this->stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, failure));
        this->isResponseComplete = true;
        co_return this->recordSendResult(failure);
    }

    bool hasCallerLeft() override
    {
        auto& socket = this->stream.socket();
        if (!socket.is_open())
            return true;
        ::pollfd state { socket.native_handle(), POLLRDHUP, 0 };
        return ::poll(&state, 1, 0) > 0;
    }

    asio::awaitable<void> waitForCallerDisconnect() override
    {
        error_code failure;
        auto& socket = this->stream.socket();
        co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        if (this->hasCallerLeft())
            co_return;
        // The caller has pipelined its next request, so it is still connected. Its disconnect is not detected any more.
        asio::steady_timer untilCancelled { this->state->context, TimePoint::max() };
        co_await untilCancelled.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }

private:
    asio::awaitable<bool> writeHeader(HttpResponseHeader header)
    {
        header.keep_alive(this->keepsAlive());
        http::response_serializer<http::empty_body> serializer { header };
        this->stream.expires_after(this->state->limits.sendTimeout);
        error_code failure;
        co_await http::async_write_header(this->stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
        co_return this->recordSendResult(failure);
    }

    // Makes the connection be reset when it is closed, which the caller sees as the break of a response without length.
    void setResetOnClose(bool isReset)
    {
        error_code ignored;
        this->stream.socket().set_option(asio::socket_base::linger(isReset, 0), ignored);
    }

    bool keepsAlive() const
    {
        return this->isReusable && !this->state->isDraining && !this->state->announcesClose && this->parser
            && this->parser->get().keep_alive();
    }

    bool recordSendResult(const error_code& failure)
    {
        if (failure || !this->keepsAlive())
            this->isReusable = false;
        return !failure;
    }

    void beginExchange()
    {
        ++this->state->exchanges;
        this->isHandling = true;
        this->isResponseComplete = false;
        this->isStreamChunked = true;
    }

    void endExchange()
    {
        this->isHandling = false;
        --this->state->exchanges;
        this->state->exchangeEnded.cancel();
    }

    // Reads the next request. False if the connection was closed or the request was rejected.
    asio::awaitable<bool> receive()
    {
        this->parser.emplace();
        this->headerBytes = 0;
        this->held.force(0);
        const auto failure = co_await this->read();
        this->held.setReclaimable(false, timerNow());
        if (!failure)
            co_return true;
        const auto fault = this->faultOf(failure);
        if (!fault)
            co_return false;
        this->isReusable = false;
        // What was read of the request is not needed for the response.
        this->parser.emplace();
        this->buffer.clear();
        this->buffer.shrink_to_fit();
        this->held.force(0);
        this->stream.expires_never();
        if (co_await this->respond(this->state->handler.makeFaultResponse(*fault)))
            co_await this->discardRest();
        co_return false;
    }

    // Reads and drops what the caller still sends of a rejected request, for as long as a request may take, and twice
    // as many bytes. To close a connection with unread bytes resets it, and the reset can reach the caller before the
    // response.
    asio::awaitable<void> discardRest()
    {
        error_code failure;
        this->stream.socket().shutdown(tcp::socket::shutdown_send, failure);
        this->stream.expires_after(this->state->limits.receiveTimeout);
        this->waitingSince = timerNow(); // A new connection may take its place.
        std::string dropped(DiscardedBytes, '\0');
        for (std::size_t bytes = 0; !failure && bytes < 2 * this->state->limits.bodyBytes;)
            bytes += co_await this->stream.async_read_some(
                asio::buffer(dropped), asio::redirect_error(asio::use_awaitable, failure));
        this->waitingSince.reset();
    }

    void applyLimits()
    {
        // A chunk extension or a trailer is buffered until its end, which may never come.
        this->buffer.max_size(std::max(MinimumBufferBytes, 2 * this->state->limits.headerBytes));
        this->parser->setHeaderLimit(this->state->limits.headerBytes);
        this->parser->body_limit(this->state->limits.bodyBytes);
    }

    // Uses a separate timer because the timeout of a tcp_stream closes the socket, and a caller that sends its request
    // too slowly gets a response that says so.
    asio::awaitable<error_code> read()
    {
        using namespace asio::experimental::awaitable_operators;
        this->stream.expires_never();
        error_code failure;
        if (this->buffer.size() == 0 && !co_await this->waitForRequest())
            co_return beast::error::timeout;
        this->applyLimits();
        asio::steady_timer timer { this->state->context, this->state->limits.receiveTimeout };
        this->held.setReclaimable(true, timerNow());
        const auto first = co_await (this->readMessage(failure) || timer.async_wait(asio::use_awaitable));
        if (this->isReclaimed)
            co_return asio::error::no_memory;
        co_return first.index() == 1 ? beast::error::timeout : failure;
    }

    // Waits for the first byte of the next request. False if the idle timeout expired first.
    asio::awaitable<bool> waitForRequest()
    {
        using namespace asio::experimental::awaitable_operators;
        this->waitingSince = timerNow();
        asio::steady_timer timer { this->state->context, this->state->limits.idleTimeout };
        const auto first
            = co_await (this->stream.socket().async_wait(tcp::socket::wait_read, asio::as_tuple(asio::use_awaitable))
                || timer.async_wait(asio::use_awaitable));
        this->waitingSince.reset();
        co_return first.index() == 0;
    }

    asio::awaitable<void> readMessage(error_code& failure)
    {
        while (!failure && !this->parser->is_header_done())
            failure = co_await this->readPart();
        if (!failure && this->hasUnsupportedTransferCoding())
            failure = http::error::bad_transfer_encoding;
        if (!failure && this->parser->get()[http::field::expect] == "100-continue")
            co_await this->sendContinue(failure);
        while (!failure && !this->parser->is_done())
            failure = co_await this->readPart();
    }

    // Receives and parses a part of the request, and counts its memory.
    asio::awaitable<error_code> readPart()
    {
        auto failure = co_await readMessagePart(this->stream, this->buffer, *this->parser);
        if (!failure && !this->chargeMessage())
            failure = asio::error::no_memory;
        co_return failure;
    }

    // Counts the memory of what was read. A short field takes several times its bytes. Returns false if the budget does
    // not allow it.
    bool chargeMessage()
    {
        if (this->isReclaimed)
            return false;
        if (!this->parser->is_header_done())
            return this->held.resize(this->buffer.capacity(), timerNow());
        const auto& message = this->parser->get();
        if (this->headerBytes == 0) {
            for (const auto& field : message)
                this->headerBytes += FieldOverheadBytes + field.name_string().size() + field.value().size();
        }
        // A body with a stated length is reserved as a whole, which takes memory only as it is filled.
        const auto body = message.has_content_length() ? message.body().size() : message.body().capacity();
        return this->held.resize(this->headerBytes + body + this->buffer.capacity(), timerNow());
    }

    // Ends the read of the request, whose memory others need.
    void reclaim()
    {
        this->isReclaimed = true;
        this->stream.cancel();
    }

    // The end of a body with a transfer coding other than chunked cannot be determined, so bytes of the body could be
    // parsed as the next request (request smuggling).
    bool hasUnsupportedTransferCoding() const
    {
        const auto codings = this->parser->get().equal_range(http::field::transfer_encoding);
        return std::any_of(
            codings.first, codings.second, [](const auto& field) { return !beast::iequals(field.value(), "chunked"); });
    }

    // Sends "100 Continue" to a caller that waits for it before it sends the body.
    asio::awaitable<void> sendContinue(error_code& failure)
    {
        http::response<http::empty_body> interim { http::status::continue_, 11 };
        co_await http::async_write(this->stream, interim, asio::redirect_error(asio::use_awaitable, failure));
    }

    std::optional<HttpFault> faultOf(const error_code& failure) const
    {
        if (failure == http::error::header_limit)
            return HttpFault::HeaderTooLarge;
        if (failure == http::error::body_limit)
            return HttpFault::BodyTooLarge;
        if (failure == asio::error::no_memory)
            return HttpFault::NoMemory;
        if (failure == beast::error::timeout)
            return this->parser->got_some() ? std::optional { HttpFault::TooSlow } : std::nullopt;
        if (failure == http::error::end_of_stream || failure.category() == asio::error::get_system_category()
            || failure == http::error::partial_message)
            return std::nullopt;
        return HttpFault::Malformed;
    }

    asio::awaitable<void> runHandler()
    {
        this->stream.expires_never();
        try {
            co_await this->state->handler.handle(*this);
        } catch (const std::exception& failure) {
            LOG(ERROR) << "HTTP request handler failed: " << failure.what();
        }
        if (!this->isResponseComplete)
            this->isReusable = false;
    }

    beast::tcp_stream stream;
    std::shared_ptr<State> state;
    beast::flat_buffer buffer;
    std::optional<HttpMessageParser<true>> parser;
    MemoryBudget::Holding held;
    std::size_t headerBytes { 0 }; // Memory of the request's header.
    bool isReclaimed { false };
    std::optional<TimePoint> waitingSince;
    bool isReusable { true };
    bool isHandling { false };
    bool isResponseComplete { false };
    bool isStreamChunked { true }; // Otherwise the stream ends with the connection.
};

// Makes room for a new connection, whose client is likely to send a request. Returns false if no connection is idle.
bool HttpServer::State::closeLongestIdle()
{
    const auto idleSince = [](const Session* session) {
        return session->idleSince().value_or(TimePoint::max());
    };
    const auto longest = std::ranges::min_element(this->sessions, {}, idleSince);
    if (longest == this->sessions.end() || !(*longest)->idleSince())
        return false;
    (*longest)->closeIdle();
    return true;
}

HttpServer::HttpServer(
    asio::io_context& context, HttpHandler& handler, HttpServerLimits limits, std::shared_ptr<MemoryBudget> budget)
    : state(std::make_shared<State>(context, handler, limits, std::move(budget)))
{
}

HttpServer::~HttpServer()
{
    error_code ignored;
    this->state->acceptor.close(ignored);
    this->state->isDraining = true;
    for (auto* session : this->state->sessions)
        session->closeIfIdle();
}

std::uint16_t HttpServer::listen(std::string_view address)
{
    const auto port = openAcceptor(this->state->acceptor, address);
    asio::co_spawn(this->state->context, HttpServer::accept(this->state), asio::detached);
    return port;
}

asio::awaitable<void> HttpServer::accept(std::shared_ptr<State> state)
{
    while (true) {
        auto socket = co_await acceptNext(state->acceptor);
        if (!socket)
            co_return;
        if (state->sessions.size() >= state->limits.connections && !state->closeLongestIdle())
            continue;
        error_code ignored;
        socket->set_option(
            asio::socket_base::send_buffer_size(static_cast<int>(state->limits.sendBufferBytes)), ignored);
        auto session = std::make_shared<Session>(std::move(*socket), state);
        asio::co_spawn(
            state->context, [session]() -> asio::awaitable<void> { co_await session->run(); }, asio::detached);
    }
}

void HttpServer::setLimits(const HttpServerLimits& limits)
{
    this->state->limits = limits;
}

void HttpServer::announceClose()
{
    this->state->announcesClose = true;
}

void HttpServer::closeConnections()
{
    for (auto* session : this->state->sessions)
        session->close();
}

asio::awaitable<void> HttpServer::drain()
{
    auto state = this->state;
    error_code ignored;
    state->acceptor.close(ignored);
    state->isDraining = true;
    for (auto* session : state->sessions)
        session->closeIfIdle();
    while (state->exchanges > 0)
        co_await state->exchangeEnded.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::size_t HttpServer::activeExchanges() const
{
    return this->state->exchanges;
}

}
