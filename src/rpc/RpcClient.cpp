#include "rpc/RpcClient.h"

#include <optional>
#include <unordered_map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/Http.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds ConnectTimeout { 500 };

struct PendingCall {
    explicit PendingCall(const asio::any_io_executor& executor)
        : done(executor)
    {
    }

    asio::steady_timer done; // Expires at the timeout; cancelled when the answer arrives or the connection closes.
    std::optional<wire::Payload> answer;
    bool didFail { false };
};

}

class RpcClient::Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(const asio::any_io_executor& executor)
        : socket(std::make_shared<tcp::socket>(executor))
        , writer(std::make_shared<internal::FrameWriter>(this->socket))
        , connected(executor, TimePoint::max())
    {
    }

    bool isOpen() const
    {
        return this->didConnect && this->socket->is_open();
    }

    // Starts to connect on the first call; later calls wait for the same attempt. Returns whether the connection is
    // open.
    asio::awaitable<bool> connect(std::string address)
    {
        error_code failure;
        if (this->didConnect)
            co_return this->socket->is_open();
        if (this->isConnecting) {
            co_await this->connected.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            co_return this->isOpen();
        }
        this->isConnecting = true;
        // Several callers wait for this attempt, so it runs in a coroutine of its own, which the cancellation of the
        // first caller does not end.
        asio::co_spawn(
            this->socket->get_executor(),
            [self = this->shared_from_this(), address = std::move(address)]() -> asio::awaitable<void> {
                co_await self->openSocket(address);
            },
            asio::detached);
        co_await this->connected.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        co_return this->isOpen();
    }

    void send(const wire::Envelope& envelope)
    {
        this->writer->send(internal::encodeFrame(envelope));
    }

    void close()
    {
        error_code ignored;
        this->socket->close(ignored);
        for (auto& [id, pending] : this->pending) {
            pending->didFail = true;
            pending->done.cancel();
        }
        this->pending.clear();
    }

    std::unordered_map<std::int64_t, std::shared_ptr<PendingCall>> pending;

private:
    asio::awaitable<void> openSocket(const std::string& address)
    {
        using namespace asio::experimental::awaitable_operators;
        const auto [host, port] = splitAddress(address);
        error_code failure;
        const auto parsed = asio::ip::make_address(host, failure);
        if (!failure) {
            asio::steady_timer timer { this->socket->get_executor(), ConnectTimeout };
            const auto outcome = co_await (
                this->socket->async_connect({ parsed, port }, asio::redirect_error(asio::use_awaitable, failure))
                || timer.async_wait(asio::use_awaitable));
            if (outcome.index() == 1)
                failure = asio::error::timed_out;
        }
        error_code ignored;
        if (failure)
            this->socket->close(ignored);
        else
            this->socket->set_option(tcp::no_delay(true), ignored);
        this->didConnect = true;
        this->connected.cancel();
        if (!failure)
            co_await this->receive();
    }

    asio::awaitable<void> receive()
    {
        while (true) {
            auto envelope = co_await internal::readEnvelope(*this->socket);
            if (!envelope)
                break;
            const auto found = this->pending.find(envelope.value().callId);
            if (found == this->pending.end())
                continue;
            found->second->answer = std::move(envelope.value().payload);
            found->second->done.cancel();
            this->pending.erase(found);
        }
        this->close();
    }

    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<internal::FrameWriter> writer;
    asio::steady_timer connected;
    bool isConnecting { false };
    bool didConnect { false };
};

RpcClient::RpcClient(asio::any_io_executor executor)
    : executor(std::move(executor))
{
}

RpcClient::~RpcClient()
{
    for (auto& [address, connection] : this->connections)
        connection->close();
}

asio::awaitable<RpcResult<std::shared_ptr<RpcClient::Connection>>> RpcClient::connectTo(std::string address)
{
    auto connection = this->connections[address];
    if (!connection) {
        connection = std::make_shared<Connection>(this->executor);
        this->connections[address] = connection;
    }
    if (co_await connection->connect(address) && connection->isOpen())
        co_return connection;
    const auto current = this->connections.find(address);
    if (current != this->connections.end() && current->second == connection)
        this->connections.erase(current);
    co_return RpcError::Unreachable;
}

asio::awaitable<RpcResult<wire::Payload>> RpcClient::call(std::string address, wire::Payload request, Duration timeout)
{
    auto opened = co_await this->connectTo(std::move(address));
    if (!opened)
        co_return opened.error();
    auto connection = opened.value();
    wire::Envelope envelope;
    envelope.callId = ++this->lastCallId;
    envelope.payload = std::move(request);
    auto pending = std::make_shared<PendingCall>(this->executor);
    pending->done.expires_after(timeout);
    connection->pending.emplace(envelope.callId, pending);
    connection->send(envelope);
    error_code failure;
    co_await pending->done.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    connection->pending.erase(envelope.callId);
    if (pending->answer)
        co_return std::move(*pending->answer);
    co_return pending->didFail ? RpcError::NoAnswer : RpcError::Timeout;
}

asio::awaitable<RpcResult<void>> RpcClient::notify(std::string address, wire::Payload message)
{
    auto opened = co_await this->connectTo(std::move(address));
    if (!opened)
        co_return opened.error();
    wire::Envelope envelope;
    envelope.callId = 0;
    envelope.payload = std::move(message);
    opened.value()->send(envelope);
    co_return boost::outcome_v2::success();
}

void RpcClient::disconnect(std::string_view address)
{
    const auto found = this->connections.find(address);
    if (found == this->connections.end())
        return;
    found->second->close();
    this->connections.erase(found);
}

}
