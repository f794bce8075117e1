#include "base/Acceptor.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/Http.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

std::uint16_t openAcceptor(tcp::acceptor& acceptor, std::string_view address)
{
    const auto [host, port] = splitAddress(address);
    const tcp::endpoint endpoint { asio::ip::make_address(host), port };
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    return acceptor.local_endpoint().port();
}

asio::awaitable<std::optional<tcp::socket>> acceptNext(tcp::acceptor& acceptor)
{
    while (acceptor.is_open()) {
        error_code failure;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted || !acceptor.is_open())
            break;
        if (failure)
            continue;
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        co_return std::move(socket);
    }
    co_return std::nullopt;
}

}
