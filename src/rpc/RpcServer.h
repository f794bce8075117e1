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

    // Handles one message and returns its answer; no answer is sent if it is empty. The answer to a one-way message is
    // discarded. What the handler stores in `untilWritten` is destroyed once the answer has been written to the
    // connection, or dropped with it.
    virtual boost::asio::awaitable<std::optional<wire::Payload>> handle(
        wire::Payload request, std::shared_ptr<void>& untilWritten)
        = 0;
};

// Serves framed envelopes over TCP. Calls on the same connection are handled concurrently, and each answer is sent when
// its call finishes.
class RpcServer {
public:
    // `handler` must outlive the server and every call in progress.
    RpcServer(boost::asio::io_context& context, RpcHandler& handler);
    ~RpcServer();

    // Binds to "IP:port" and starts to accept connections. Returns the bound port; throws boost::system::system_error
    // if it cannot bind.
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
