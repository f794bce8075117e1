#pragma once

#include <cstddef>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

namespace marigoldpaddle {

// Parses one HTTP message. Use setHeaderLimit() in place of header_limit().
//
// Fields of a trailer are checked like those of a header and then dropped: the header of a message was already acted on
// when they arrive, and a field such as Authorization or Connection must not change afterwards. Parsing fails with
// http::error::header_limit if the header, or the trailer, exceeds the limit in sum or in a single field.
template <bool IsRequest>
class HttpMessageParser final : public boost::beast::http::parser<IsRequest, boost::beast::http::string_body> {
public:
    void setHeaderLimit(std::size_t bytes);

private:
    void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
        boost::beast::string_view value, boost::system::error_code& failure) override;

    std::size_t limit { 8 * 1024 };
    std::size_t trailerBytes { 0 };
};

// Parses the bytes in `buffer` and removes them. Returns http::error::need_more if they complete no further part of the
// message, or another error of the parser. An exception, which an operation of the library would throw out of the event
// loop, is logged with the peer of `stream` and returned as http::error::bad_field.
template <bool IsRequest>
boost::system::error_code parseMessagePart(
    const boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, HttpMessageParser<IsRequest>& parser);

// Parses the bytes in `buffer`. If they complete no further part of the message, receives more, for the next call to
// parse. Repeat until the parser has what is needed. Fails with the error of the connection or the parser, with
// http::error::end_of_stream if the connection ended before the message began, and with http::error::buffer_overflow if
// `buffer` is full.
template <bool IsRequest>
boost::asio::awaitable<boost::system::error_code> readMessagePart(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, HttpMessageParser<IsRequest>& parser);

}
