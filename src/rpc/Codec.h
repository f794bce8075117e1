#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "marigold_types.h"

namespace marigoldpaddle {

// Errors of a call between processes of the system.
enum class RpcError {
    Unreachable, // No part of the request was written.
    NoAnswer, // The connection broke after the request was written.
    Timeout, // The request was written and no answer arrived before the timeout.
    Malformed, // The bytes are not a valid message, or are more than allowed.
};

std::string_view name(RpcError error);

// Limits on the memory that a message of a peer can make this process allocate.
inline constexpr std::size_t MaximumMessageBytes = 64 * 1024 * 1024;
inline constexpr int MaximumContainerElements = 1'000'000;

// Returns the compact encoding of a message.
template <typename Message> std::string encode(const Message& message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol { buffer };
    message.write(&protocol);
    return buffer->getBufferAsString();
}

// Decodes a message. Fails with RpcError::Malformed if the bytes are not a complete message within the limits above.
template <typename Message> boost::leaf::result<Message> decode(std::string_view bytes)
{
    using Buffer = apache::thrift::transport::TMemoryBuffer;
    if (bytes.size() > MaximumMessageBytes)
        return boost::leaf::new_error(RpcError::Malformed);
    try {
        // TMemoryBuffer does not write in OBSERVE mode, although it takes a pointer to non-const.
        auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        auto buffer = std::make_shared<Buffer>(data, static_cast<std::uint32_t>(bytes.size()), Buffer::OBSERVE);
        // Limits each string and container to the size of the message, so that a forged length cannot cause a large
        // allocation.
        const auto size = static_cast<int>(bytes.size());
        apache::thrift::protocol::TCompactProtocolT<Buffer> protocol { buffer, size,
            std::min(size, MaximumContainerElements) };
        Message message;
        message.read(&protocol);
        return message;
    } catch (const std::exception&) {
        return boost::leaf::new_error(RpcError::Malformed);
    }
}

}
