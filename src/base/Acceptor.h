#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace marigoldpaddle {

// Binds an acceptor to "IP:port" and listens. Returns the bound port; throws boost::system::system_error when it
// cannot.
std::uint16_t openAcceptor(boost::asio::ip::tcp::acceptor& acceptor, std::string_view address);

// Accepts the next connection and sets TCP_NODELAY on it. Failed accepts are retried. Empty once the acceptor is
// closed.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>> acceptNext(
    boost::asio::ip::tcp::acceptor& acceptor);

}
