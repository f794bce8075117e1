#pragma once

#include <memory>
#include <optional>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "rpc/Codec.h"

namespace marigoldpaddle {

class RpcHandler {
public:
    virtual ~RpcHandler() = default;

    // Answers one message. The answer to a one-way message is discarded.
    virtual boost::asio::awaitable<std::optional<wire::Payload>> handle(wire::Payload request) = 0;
};

// Serves envelopes over TCP. Calls on one connection are handled side by side and answered as they finish.
class RpcServer {
public:
    // `handler` must outlive the server and every call that it has begun.
    RpcServer(boost::asio::io_context& context, RpcHandler& handler);
    ~RpcServer();

    // Binds and starts to accept. Returns the bound port; throws boost::system::system_error when it cannot bind.
    std::uint16_t listen(std::string_view address);

    // Stops accepting and closes every connection.
    void close();

private:
    class Session;
    struct State;
    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);

    std::shared_ptr<State> state;
};

}
