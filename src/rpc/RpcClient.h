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

// Calls other processes of the system, over one connection to each address. Not thread-safe.
class RpcClient {
public:
    explicit RpcClient(boost::asio::any_io_executor executor);
    ~RpcClient();

    // Sends a request and waits up to `timeout` for its answer. Connecting has its own limit. Cancelling the call keeps
    // the connection open; the answer is discarded when it arrives.
    boost::asio::awaitable<RpcResult<wire::Payload>> call(std::string address, wire::Payload request, Duration timeout);

    // Queues a one-way message and does not wait for its delivery. Fails with Unreachable if there is no connection.
    boost::asio::awaitable<RpcResult<void>> notify(std::string address, wire::Payload message);

    // Closes the connection to an address, if there is one. Calls that wait for an answer on it fail with NoAnswer.
    void disconnect(std::string_view address);

private:
    class Connection;
    boost::asio::awaitable<RpcResult<std::shared_ptr<Connection>>> connectTo(std::string address);

    boost::asio::any_io_executor executor;
    std::map<std::string, std::shared_ptr<Connection>, std::less<>> connections;
    std::int64_t lastCallId { 0 };
};

}
