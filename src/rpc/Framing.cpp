#include "rpc/Framing.h"

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace marigoldpaddle::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t PieceBytes = std::size_t { 64 } * 1024;

RpcResult<wire::Envelope> decodeEnvelope(std::string_view bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<RpcResult<wire::Envelope>> {
            BOOST_LEAF_AUTO(envelope, decode<wire::Envelope>(bytes));
            return RpcResult<wire::Envelope> { std::move(envelope) };
        },
        [](RpcError error) { return RpcResult<wire::Envelope> { error }; },
        [] { return RpcResult<wire::Envelope> { RpcError::Malformed }; });
}

}

std::string encodeFrame(const wire::Envelope& envelope)
{
    const auto body = encode(envelope);
    std::string frame(LengthBytes, '\0');
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(frame.data()), static_cast<std::uint32_t>(body.size()));
    return frame += body;
}

asio::awaitable<RpcResult<wire::Envelope>> readEnvelope(asio::ip::tcp::socket& socket)
{
    std::array<unsigned char, LengthBytes> length {};
    error_code failure;
    co_await asio::async_read(socket, asio::buffer(length), asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return RpcError::NoAnswer;
    const auto size = boost::endian::load_big_u32(length.data());
    if (size > MaximumMessageBytes)
        co_return RpcError::Malformed;
    // The memory grows with the bytes that have arrived: a peer may state a size and send nothing.
    std::string body;
    while (body.size() < size) {
        const auto received = body.size();
        body.resize(received + std::min<std::size_t>(size - received, PieceBytes));
        const auto piece = asio::buffer(body.data() + received, body.size() - received);
        co_await asio::async_read(socket, piece, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return RpcError::NoAnswer;
    }
    co_return decodeEnvelope(body);
}

FrameWriter::FrameWriter(std::shared_ptr<asio::ip::tcp::socket> socket)
    : socket(std::move(socket))
{
}

void FrameWriter::send(std::string frame, std::shared_ptr<void> untilWritten)
{
    this->bytes += frame.size();
    this->frames.push_back({ std::move(frame), std::move(untilWritten) });
    if (this->isWriting)
        return;
    this->isWriting = true;
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->socket->get_executor(), [self]() -> asio::awaitable<void> { co_await self->writeQueuedFrames(); },
        asio::detached);
}

std::size_t FrameWriter::queuedBytes() const
{
    return this->bytes;
}

asio::awaitable<void> FrameWriter::writeQueuedFrames()
{
    while (!this->frames.empty()) {
        const auto frame = std::move(this->frames.front());
        this->frames.pop_front();
        error_code failure;
        co_await asio::async_write(
            *this->socket, asio::buffer(frame.bytes), asio::redirect_error(asio::use_awaitable, failure));
        this->bytes -= frame.bytes.size();
        if (!failure)
            continue;
        this->frames.clear();
        this->bytes = 0;
        this->socket->close(failure);
    }
    this->isWriting = false;
}

}
