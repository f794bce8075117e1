#include "base/HttpReader.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <limits>
#include <string_view>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <glog/logging.h>

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Most bytes that are received at once.
constexpr std::size_t MaximumReceivedBytes = 64 * 1024;
// Beast stores the lengths of a field in 16 bits, with two bytes for a separator, and throws if they do not fit.
constexpr std::size_t MaximumFieldBytes = std::numeric_limits<std::uint16_t>::max() - 2;
// A colon, a space and the end of the line.
constexpr std::size_t FieldSeparatorBytes = 4;

void logEscaped(const beast::tcp_stream& stream, std::string_view what)
{
    error_code failure;
    const auto peer = stream.socket().remote_endpoint(failure);
    LOG(ERROR) << "exception while parsing bytes from " << peer << ", whose message is rejected: " << what;
}

}

template <bool IsRequest> void HttpMessageParser<IsRequest>::setHeaderLimit(std::size_t bytes)
{
    this->limit = bytes;
    this->header_limit(static_cast<std::uint32_t>(bytes));
}

template <bool IsRequest>
void HttpMessageParser<IsRequest>::on_field_impl(
    http::field name, beast::string_view nameText, beast::string_view value, error_code& failure)
{
    if (std::max(nameText.size(), value.size()) > MaximumFieldBytes) {
        failure = http::error::header_limit;
        return;
    }
    if (!this->is_header_done()) {
        this->get().insert(name, nameText, value);
        return;
    }
    this->trailerBytes += nameText.size() + value.size() + FieldSeparatorBytes;
    if (this->trailerBytes > this->limit)
        failure = http::error::header_limit;
}

template <bool IsRequest>
error_code parseMessagePart(
    const beast::tcp_stream& stream, beast::flat_buffer& buffer, HttpMessageParser<IsRequest>& parser)
{
    error_code failure;
    try {
        buffer.consume(parser.put(buffer.data(), failure));
    } catch (const std::exception& escaped) {
        logEscaped(stream, escaped.what());
        failure = http::error::bad_field;
    }
    return failure;
}

template <bool IsRequest>
asio::awaitable<error_code> readMessagePart(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, HttpMessageParser<IsRequest>& parser)
{
    if (buffer.size() > 0) {
        const auto parsed = parseMessagePart(stream, buffer, parser);
        if (parsed != http::error::need_more)
            co_return parsed;
    }
    const auto size = beast::read_size(buffer, MaximumReceivedBytes);
    if (size == 0)
        co_return http::error::buffer_overflow;
    error_code failure;
    const auto received
        = co_await stream.async_read_some(buffer.prepare(size), asio::redirect_error(asio::use_awaitable, failure));
    buffer.commit(received);
    if (failure != asio::error::eof)
        co_return failure;
    if (!parser.got_some())
        co_return http::error::end_of_stream;
    parser.put_eof(failure);
    co_return failure;
}

template class HttpMessageParser<true>;
template class HttpMessageParser<false>;
template error_code parseMessagePart(const beast::tcp_stream&, beast::flat_buffer&, HttpMessageParser<true>&);
template error_code parseMessagePart(const beast::tcp_stream&, beast::flat_buffer&, HttpMessageParser<false>&);
template asio::awaitable<error_code> readMessagePart(beast::tcp_stream&, beast::flat_buffer&, HttpMessageParser<true>&);
template asio::awaitable<error_code> readMessagePart(
    beast::tcp_stream&, beast::flat_buffer&, HttpMessageParser<false>&);

}
