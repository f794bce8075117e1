#pragma once

#include <deque>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/outcome/result.hpp>

#include "rpc/Codec.h"

namespace marigoldpaddle {

// The result of an asynchronous call between processes of the system; see HttpResult for the choice of the type.
template <typename Value>
using RpcResult = boost::outcome_v2::result<Value, RpcError, boost::outcome_v2::policy::all_narrow>;

namespace internal {

// Returns an encoded envelope preceded by its length, 4 bytes in big-endian order.
std::string encodeFrame(const wire::Envelope& envelope);

// Reads one frame and decodes it. Fails with NoAnswer if the connection ends, and with Malformed.
boost::asio::awaitable<RpcResult<wire::Envelope>> readEnvelope(boost::asio::ip::tcp::socket& socket);

// Writes frames to a socket in the order in which they were queued, one at a time.
class FrameWriter : public std::enable_shared_from_this<FrameWriter> {
public:
    explicit FrameWriter(std::shared_ptr<boost::asio::ip::tcp::socket> socket);

    // Queues a frame. A write error closes the socket and drops the queued frames; frames queued later are dropped too.
    // `untilWritten` is destroyed once the frame has been written or dropped.
    void send(std::string frame, std::shared_ptr<void> untilWritten = nullptr);

    // Returns the size of the frames that are queued or being written, in bytes.
    std::size_t queuedBytes() const;

private:
    struct Frame {
        std::string bytes;
        std::shared_ptr<void> untilWritten;
    };

    boost::asio::awaitable<void> writeQueuedFrames();

    std::shared_ptr<boost::asio::ip::tcp::socket> socket;
    std::deque<Frame> frames;
    std::size_t bytes { 0 };
    bool isWriting { false };
};

}

}
