#include "base/HttpReader.h"

#include <cstring>
#include <stdexcept>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/error.hpp>
#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

class HttpReaderTest : public ::testing::Test {
protected:
    void receive(std::string_view bytes)
    {
        const auto space = this->buffer.prepare(bytes.size());
        std::memcpy(space.data(), bytes.data(), bytes.size());
        this->buffer.commit(bytes.size());
    }

    boost::asio::io_context context { 1 };
    beast::tcp_stream stream { this->context };
    beast::flat_buffer buffer;
    HttpMessageParser<true> parser;
};

TEST_F(HttpReaderTest, PartsOfAMessageAreParsedOneByOne)
{
    this->receive("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n");
    EXPECT_FALSE(parseMessagePart(this->stream, this->buffer, this->parser));
    EXPECT_TRUE(this->parser.is_header_done());
    EXPECT_FALSE(parseMessagePart(this->stream, this->buffer, this->parser));
    EXPECT_EQ(this->buffer.size(), 0U);
    this->receive("xx\r\n0\r\nA: b\r\n");
    EXPECT_FALSE(parseMessagePart(this->stream, this->buffer, this->parser));
    EXPECT_EQ(parseMessagePart(this->stream, this->buffer, this->parser), http::error::need_more);
    this->receive("\r\n");
    EXPECT_FALSE(parseMessagePart(this->stream, this->buffer, this->parser));
    EXPECT_TRUE(this->parser.is_done());
    EXPECT_EQ(this->parser.get().body(), "xx");
    EXPECT_EQ(this->parser.get().count("A"), 0U);
}

// Beast reports what is wrong with a message by errors, but some of its functions throw. Out of its own operations such
// an exception leaves the event loop.
TEST_F(HttpReaderTest, ExceptionOfTheParserIsLoggedAndReturnedAsAnError)
{
    auto fail = [](std::uint64_t, beast::string_view, boost::system::error_code&) -> std::size_t {
        throw std::length_error { "field value too large" };
    };
    this->parser.on_chunk_body(fail);
    this->receive("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n");
    EXPECT_FALSE(parseMessagePart(this->stream, this->buffer, this->parser));
    EXPECT_FALSE(parseMessagePart(this->stream, this->buffer, this->parser));
    ::testing::internal::CaptureStderr();
    EXPECT_EQ(parseMessagePart(this->stream, this->buffer, this->parser), http::error::bad_field);
    const auto log = ::testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("field value too large"), std::string::npos) << log;
}

}
}
