#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace marigoldpaddle::testing {

// A server in trouble: reads the first bytes of an upload, answers, and ends its side of the connection, which it
// resets when it is destroyed. The rest of an upload of some hundred kilobytes waits in the kernel of the client, whose
// write ends, so that it sees the end of the answer before the reset.
class EarlyAnswerServer {
public:
    static constexpr std::size_t ReadBytes = 3000;

    // `respond` returns the answer to a request that begins with the given bytes.
    using Respond = std::function<std::string(const std::string&)>;

    EarlyAnswerServer(boost::asio::io_context& context, Respond respond)
        : state(std::make_shared<State>(context, std::move(respond)))
    {
        boost::asio::co_spawn(context, EarlyAnswerServer::accept(this->state), boost::asio::detached);
    }

    ~EarlyAnswerServer()
    {
        boost::system::error_code ignored;
        this->state->acceptor.close(ignored);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->state->acceptor.local_endpoint().port());
    }

    std::size_t requests() const
    {
        return this->state->sockets.size();
    }

private:
    using tcp = boost::asio::ip::tcp;

    // Shared with the coroutines, which end with the io_context.
    struct State {
        State(boost::asio::io_context& context, Respond respond)
            : acceptor(context)
            , respond(std::move(respond))
        {
            this->acceptor.open(tcp::v4());
            this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(8 * 1024));
            this->acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 });
            this->acceptor.listen();
        }

        tcp::acceptor acceptor;
        Respond respond;
        std::vector<std::shared_ptr<tcp::socket>> sockets; // Kept open.
    };

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state)
    {
        boost::system::error_code failure;
        while (true) {
            auto socket = co_await state->acceptor.async_accept(
                boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
                co_return;
            auto kept = std::make_shared<tcp::socket>(std::move(socket));
            state->sockets.push_back(kept);
            boost::asio::co_spawn(state->acceptor.get_executor(), EarlyAnswerServer::serve(state, std::move(kept)),
                boost::asio::detached);
        }
    }

    static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, std::shared_ptr<tcp::socket> socket)
    {
        std::string received(ReadBytes, '\0');
        boost::system::error_code failure;
        co_await boost::asio::async_read(
            *socket, boost::asio::buffer(received), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (failure)
            co_return;
        const auto answer = state->respond(received);
        co_await boost::asio::async_write(
            *socket, boost::asio::buffer(answer), boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        socket->shutdown(tcp::socket::shutdown_send, failure);
    }

    std::shared_ptr<State> state;
};

}
