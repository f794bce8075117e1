#pragma once

#include <algorithm>
#include <array>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include "base/Http.h"

namespace marigoldpaddle::testing {

// How a path is cut.
enum class Cut {
    None,
    Hang, // Nothing passes: open connections are silent, new ones are not established.
    Reset, // Open connections are reset, new ones are refused.
    RefuseNew, // Open connections live on, new ones are refused.
};

// The path from one instance to a server: forwards connections on loopback, and can be cut. Bytes that a hanging path
// holds up are delivered when it is restored, unless their sender has reset the connection.
class PartitionedLink {
public:
    // Listens on a free port of `host`.
    PartitionedLink(boost::asio::io_context& context, std::string server, const std::string& host = "127.0.0.1")
        : state(std::make_shared<State>(context, std::move(server)))
    {
        this->state->reserve({ boost::asio::ip::make_address(host), 0 });
        this->state->listen();
        boost::asio::co_spawn(
            context, PartitionedLink::accept(this->state, this->state->acceptances), boost::asio::detached);
    }

    ~PartitionedLink()
    {
        this->state->close();
    }

    PartitionedLink(const PartitionedLink&) = delete;
    PartitionedLink& operator=(const PartitionedLink&) = delete;

    std::string address() const
    {
        return this->state->local.address().to_string() + ':' + std::to_string(this->state->local.port());
    }

    std::uint16_t port() const
    {
        return this->state->local.port();
    }

    void setCut(Cut cut)
    {
        auto& state = *this->state;
        const auto previous = std::exchange(state.cut, cut);
        if (previous == cut)
            return;
        if (cut == Cut::Reset)
            state.resetPairs();
        const bool accepts = cut == Cut::None;
        if (accepts) {
            state.fillers.clear();
            if (previous != Cut::Hang)
                state.listen();
            else
                ::listen(state.acceptor.native_handle(), SOMAXCONN);
            boost::asio::co_spawn(
                state.context, PartitionedLink::accept(this->state, ++state.acceptances), boost::asio::detached);
        } else if (cut == Cut::Hang) {
            ++state.acceptances;
            state.acceptor.cancel();
            state.fillBacklog();
        } else {
            ++state.acceptances;
            state.fillers.clear();
            state.acceptor.close();
        }
        state.changed.cancel();
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using ErrorCode = boost::system::error_code;
    using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    struct Pair {
        Socket client;
        Socket server;
    };

    struct State {
        State(boost::asio::io_context& context, std::string server)
            : context(context)
            , server(std::move(server))
            , reservation(context)
            , acceptor(context)
            , changed(context, TimePoint::max())
        {
        }

        // Keeps the port while nothing listens on it. Another process could take it otherwise.
        void reserve(const boost::asio::ip::tcp::endpoint& endpoint)
        {
            this->reservation.open(endpoint.protocol());
            this->reservation.set_option(ReusePort { true });
            this->reservation.bind(endpoint);
            this->local = this->reservation.local_endpoint();
        }

        void listen()
        {
            this->acceptor.open(this->local.protocol());
            this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
            this->acceptor.set_option(ReusePort { true });
            this->acceptor.bind(this->local);
            this->acceptor.listen();
        }

        // With a full backlog the kernel drops the first packet of further connections, as a broken path does.
        void fillBacklog()
        {
            ::listen(this->acceptor.native_handle(), 0);
            constexpr int Fillers = 4;
            for (int index = 0; index < Fillers; ++index) {
                auto& filler = this->fillers.emplace_back(this->context);
                filler.open(this->local.protocol());
                filler.async_connect(this->local, [](const ErrorCode&) { });
            }
        }

        void resetPairs()
        {
            for (auto& pair : this->pairs) {
                PartitionedLink::reset(pair.client);
                PartitionedLink::reset(pair.server);
            }
        }

        void close()
        {
            ++this->acceptances;
            this->resetPairs();
            this->fillers.clear();
            ErrorCode ignored;
            this->acceptor.close(ignored);
            this->cut = Cut::None;
            this->changed.cancel();
        }

        boost::asio::io_context& context;
        std::string server;
        Socket reservation;
        boost::asio::ip::tcp::acceptor acceptor;
        boost::asio::ip::tcp::endpoint local;
        boost::asio::steady_timer changed; // Cancelled when `cut` changes.
        Cut cut { Cut::None };
        unsigned acceptances { 0 }; // Number of the accept loop that is in force.
        std::list<Pair> pairs;
        std::list<Socket> fillers;
    };

    static void reset(Socket& socket)
    {
        ErrorCode ignored;
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state, unsigned number)
    {
        ErrorCode failure;
        while (number == state->acceptances) {
            auto socket = co_await state->acceptor.async_accept(
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure || number != state->acceptances)
                co_return;
            boost::asio::co_spawn(
                state->context, PartitionedLink::serve(state, std::move(socket)), boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, Socket client)
    {
        using namespace boost::asio::experimental::awaitable_operators;
        const auto [host, port] = splitAddress(state->server);
        const auto pair = state->pairs.insert(state->pairs.end(), { std::move(client), Socket { state->context } });
        ErrorCode failure;
        co_await pair->server.async_connect({ boost::asio::ip::make_address(host), port },
            boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (!failure)
            co_await (PartitionedLink::pump(*state, pair->client, pair->server)
                && PartitionedLink::pump(*state, pair->server, pair->client));
        PartitionedLink::reset(pair->client);
        PartitionedLink::reset(pair->server);
        state->pairs.erase(pair);
    }

    static boost::asio::awaitable<void> pump(State& state, Socket& from, Socket& to)
    {
        std::array<char, 16384> piece {};
        ErrorCode failure;
        while (true) {
            const auto size = co_await from.async_read_some(
                boost::asio::buffer(piece), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            ErrorCode ignored;
            // A reset does not wait for the bytes before it.
            const bool isReset = failure && failure != boost::asio::error::eof;
            while (state.cut == Cut::Hang)
                co_await state.changed.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
            if (isReset)
                break;
            if (failure) {
                to.shutdown(Socket::shutdown_send, ignored);
                co_return;
            }
            if (PartitionedLink::wasReset(from))
                break;
            co_await boost::asio::async_write(to, boost::asio::buffer(piece.data(), size),
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
                break;
        }
        PartitionedLink::reset(from);
        PartitionedLink::reset(to);
    }

    static bool wasReset(Socket& socket)
    {
        ErrorCode failure;
        char probe = 0;
        socket.non_blocking(true, failure);
        socket.receive(boost::asio::buffer(&probe, 1), Socket::message_peek, failure);
        return failure == boost::asio::error::connection_reset;
    }

    std::shared_ptr<State> state;
};

}
