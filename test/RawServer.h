#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include "base/Http.h"

namespace marigoldpaddle::testing {

// How a RawServer ends the connection after its bytes.
enum class RawEnding {
    None, // The connection stays open for the next request.
    Close, // Orderly: no more is sent, and the connection is open until the client closes it.
    Reset,
};

struct RawAnswer {
    std::string bytes;
    RawEnding ending { RawEnding::None };
};

// Answers each request with raw bytes, so that tests decide about the framing and the end of an answer.
class RawServer {
public:
    using Respond = std::function<RawAnswer(const HttpRequest&)>;

    RawServer(boost::asio::io_context& context, Respond respond)
        : state(std::make_shared<State>(context, std::move(respond)))
    {
        boost::asio::co_spawn(context, RawServer::accept(this->state), boost::asio::detached);
    }

    ~RawServer()
    {
        boost::system::error_code ignored;
        this->state->acceptor.close(ignored);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->state->acceptor.local_endpoint().port());
    }

    // Connections accepted so far, and those of them that the client has not closed and the server has not reset.
    std::size_t connections() const
    {
        return this->state->connections;
    }

    std::size_t openConnections() const
    {
        return this->state->openConnections;
    }

    const std::vector<HttpRequest>& requests() const
    {
        return this->state->requests;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    // Shared with the coroutines, which end with the io_context.
    struct State {
        State(boost::asio::io_context& context, Respond respond)
            : acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
            , respond(std::move(respond))
        {
        }

        boost::asio::ip::tcp::acceptor acceptor;
        Respond respond;
        std::vector<HttpRequest> requests;
        std::size_t connections { 0 };
        std::size_t openConnections { 0 };
    };

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state)
    {
        boost::system::error_code failure;
        while (true) {
            auto socket = co_await state->acceptor.async_accept(
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
                co_return;
            ++state->connections;
            ++state->openConnections;
            boost::asio::co_spawn(
                state->acceptor.get_executor(), RawServer::serve(state, std::move(socket)), boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, Socket socket)
    {
        boost::beast::flat_buffer buffer;
        boost::system::error_code failure;
        while (true) {
            HttpRequest request;
            co_await boost::beast::http::async_read(
                socket, buffer, request, boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
                break;
            const auto answer = state->respond(request);
            state->requests.push_back(std::move(request));
            co_await boost::asio::async_write(socket, boost::asio::buffer(answer.bytes),
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (answer.ending == RawEnding::Reset) {
                socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
                break;
            }
            if (answer.ending == RawEnding::Close)
                socket.shutdown(Socket::shutdown_send, failure);
        }
        socket.close(failure);
        --state->openConnections;
    }

    std::shared_ptr<State> state;
};

}
