#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <marigoldpaddle/Clock.h>

#include "rpc/Framing.h"

namespace marigoldpaddle {

// Calls other processes of the system, over one connection for each address. Not thread-safe.
class RpcClient {
public:
    explicit RpcClient(boost::asio::any_io_executor executor);
    ~RpcClient();

    // Sends a request and waits up to `timeout` for its answer. Cancelling the call leaves the connection open and
    // drops the answer when it comes.
    boost::asio::awaitable<RpcResult<wire::Payload>> call(std::string address, wire::Payload request, Duration timeout);

    // Sends a one-way message. Unreachable when it could not be handed to a connection.
    boost::asio::awaitable<RpcResult<void>> notify(std::string address, wire::Payload message);

    // Closes the connection to an address, if there is one, and fails the calls that wait on it.
    void disconnect(std::string_view address);

private:
    class Link;
    boost::asio::awaitable<RpcResult<std::shared_ptr<Link>>> link(std::string address);

    boost::asio::any_io_executor executor;
    std::map<std::string, std::shared_ptr<Link>, std::less<>> links;
    std::int64_t lastCallId { 0 };
};

}
