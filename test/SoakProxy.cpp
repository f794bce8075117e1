#include "SoakProxy.h"

#include <array>
#include <list>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/Acceptor.h"
#include "base/Http.h"

namespace marigoldpaddle::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// A closed socket with this option sends a reset in place of its unsent bytes.
void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}

struct SoakProxy::State {
    explicit State(asio::io_context& context)
        : acceptor(context)
        , changeSignal(context, TimePoint::max())
    {
    }

    struct Pair {
        tcp::socket client;
        tcp::socket server;
    };

    bool isBlocked(LinkFault direction) const
    {
        return this->fault == direction || this->fault == LinkFault::Silence;
    }

    asio::awaitable<void> waitWhileBlocked(LinkFault direction)
    {
        error_code ignored;
        while (this->isBlocked(direction))
            co_await this->changeSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> pump(tcp::socket& from, tcp::socket& to, LinkFault direction)
    {
        std::array<char, 16384> piece {};
        error_code failure;
        while (true) {
            const auto size = co_await from.async_read_some(
                asio::buffer(piece), asio::redirect_error(asio::use_awaitable, failure));
            if (this->fault == LinkFault::Delay) {
                asio::steady_timer timer { from.get_executor(), this->delay };
                co_await timer.async_wait(asio::use_awaitable);
            }
            co_await this->waitWhileBlocked(direction);
            if (failure)
                break;
            co_await asio::async_write(
                to, asio::buffer(piece.data(), size), asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                break;
        }
        if (failure == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, failure);
            co_return;
        }
        reset(from);
        reset(to);
    }

    static asio::awaitable<void> serve(std::shared_ptr<State> state, tcp::socket client)
    {
        using namespace asio::experimental::awaitable_operators;
        if (state->fault == LinkFault::Reset) {
            reset(client);
            co_return;
        }
        const auto [host, port] = splitAddress(state->server);
        const tcp::endpoint endpoint { asio::ip::make_address(host), port };
        auto executor = client.get_executor();
        const auto pair = state->pairs.insert(state->pairs.end(), { std::move(client), tcp::socket { executor } });
        error_code failure;
        co_await pair->server.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            reset(pair->client);
        } else {
            pair->server.set_option(tcp::no_delay(true), failure);
            co_await (state->pump(pair->client, pair->server, LinkFault::CutToServer)
                && state->pump(pair->server, pair->client, LinkFault::CutToClient));
        }
        state->pairs.erase(pair);
    }

    static asio::awaitable<void> accept(std::shared_ptr<State> state)
    {
        while (true) {
            auto socket = co_await acceptNext(state->acceptor);
            if (!socket)
                co_return;
            asio::co_spawn(state->acceptor.get_executor(), serve(state, std::move(*socket)), asio::detached);
        }
    }

    tcp::acceptor acceptor;
    asio::steady_timer changeSignal; // Cancelled to wake the waiters when the fault changes.
    std::string address;
    std::string server;
    LinkFault fault { LinkFault::None };
    Duration delay {};
    std::list<Pair> pairs;
};

SoakProxy::SoakProxy(asio::io_context& context)
    : state(std::make_shared<State>(context))
{
    this->state->address = "127.0.0.1:" + std::to_string(openAcceptor(this->state->acceptor, "127.0.0.1:0"));
    asio::co_spawn(context, State::accept(this->state), asio::detached);
}

SoakProxy::~SoakProxy()
{
    error_code ignored;
    this->state->acceptor.close(ignored);
}

const std::string& SoakProxy::address() const
{
    return this->state->address;
}

void SoakProxy::setServer(const std::string& address)
{
    this->state->server = address;
}

void SoakProxy::setFault(LinkFault fault, Duration delay)
{
    this->state->fault = fault;
    this->state->delay = delay;
    this->state->changeSignal.cancel();
    if (fault != LinkFault::Reset)
        return;
    for (auto& pair : this->state->pairs) {
        reset(pair.client);
        reset(pair.server);
    }
}

}
