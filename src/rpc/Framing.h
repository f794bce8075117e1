#pragma once

#include <deque>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/outcome/result.hpp>

#include "rpc/Codec.h"

namespace marigoldpaddle {

// The result of an asynchronous call between the system's processes.
template <typename Value>
using RpcResult = boost::outcome_v2::result<Value, RpcError, boost::outcome_v2::policy::all_narrow>;

namespace internal {

// Puts a 4-byte big-endian length before an encoded envelope.
std::string frameOf(const wire::Envelope& envelope);

// Reads one frame and decodes it.
boost::asio::awaitable<RpcResult<wire::Envelope>> readEnvelope(boost::asio::ip::tcp::socket& socket);

// Writes frames one after the other; a frame that is queued while another is written waits its turn.
class FrameWriter : public std::enable_shared_from_this<FrameWriter> {
public:
    explicit FrameWriter(std::shared_ptr<boost::asio::ip::tcp::socket> socket);

    // Queues a frame. Frames queued after the socket has failed are dropped.
    void send(std::string frame);

    std::size_t queuedBytes() const;

private:
    boost::asio::awaitable<void> drain();

    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    std::deque<std::string> frames;
    std::size_t bytes { 0 };
    bool isWriting { false };
};

}

}
