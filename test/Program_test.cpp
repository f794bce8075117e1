#include "base/Program.h"

#include <stdexcept>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace marigoldpaddle {
namespace {

class EventLoopTest : public ::testing::Test {
protected:
    boost::asio::io_context context { 1 };
};

// An exception of one operation ended the process, and with it the requests of all other connections.
TEST_F(EventLoopTest, HandlersBehindOneThatThrowsAreRun)
{
    std::vector<int> done;
    boost::asio::post(this->context, [&] { done.push_back(1); });
    boost::asio::post(this->context, [] { throw std::length_error { "field value too large" }; });
    boost::asio::post(this->context, [&] { done.push_back(2); });
    ::testing::internal::CaptureStderr();
    runEventLoop(this->context);
    const auto log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(done, (std::vector<int> { 1, 2 }));
    EXPECT_NE(log.find("std::length_error: field value too large"), std::string::npos) << log;
}

}
}
