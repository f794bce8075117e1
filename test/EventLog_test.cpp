#include "base/EventLog.h"

#include <algorithm>
#include <array>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;

class EventLogTest : public testing::Test {
protected:
    // Returns the standard output of `write`, up to and including the closing of the log.
    template <typename Write> std::string captureOutput(unsigned linesPerSecond, Write write)
    {
        testing::internal::CaptureStdout();
        EventLog log { this->clock, { "node-1", linesPerSecond, 1024 } };
        write(log);
        log.close();
        return testing::internal::GetCapturedStdout();
    }

    ManualClock clock;
};

TEST_F(EventLogTest, LineContainsInstanceEventAndFields)
{
    const auto text = this->captureOutput(10, [](EventLog& log) {
        log.write("sent",
            { { "id", "9c41" }, { "try", std::uint64_t { 1 } }, { "left_ms", Duration { 1500ms } },
                { "ready", true } });
    });
    EXPECT_NE(text.find("instance=node-1 event=sent id=9c41 try=1 left_ms=1500.0 ready=true\n"), std::string::npos)
        << text;
}

TEST_F(EventLogTest, TextWithControlCharactersAndQuotesAddsNoLineOrField)
{
    const auto text
        = this->captureOutput(10, [](EventLog& log) { log.write("sent", { { "id", "a\nevent=forged b=\"c" } }); });
    EXPECT_EQ(std::ranges::count(text, '\n'), 1) << text;
    EXPECT_NE(text.find("id=\"a?event=forged b=\\\"c\""), std::string::npos) << text;
}

TEST_F(EventLogTest, LinesOverTheRateLimitAreCountedInTheNextLine)
{
    const auto text = this->captureOutput(3, [this](EventLog& log) {
        for (int line = 0; line < 10; ++line)
            log.write("flood", {});
        EXPECT_EQ(log.dropped(), 7U);
        this->clock.advance(1s);
        log.write("after", {});
    });
    EXPECT_NE(text.find("event=after dropped_lines=7"), std::string::npos) << text;
}

// The standard output is a pipe whose reader has stopped reading, so the background thread blocks once the pipe is
// full. write() must drop lines instead of waiting for it.
TEST_F(EventLogTest, WriteDoesNotBlockWhenTheOutputIsNotRead)
{
    std::array<int, 2> pipe {};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    std::fflush(stdout);
    const auto saved = ::dup(STDOUT_FILENO);
    ::dup2(pipe[1], STDOUT_FILENO);
    {
        EventLog log { this->clock, { "node-1", 100'000, 64 } };
        const std::string filler(1000, 'x');
        for (int line = 0; line < 5000; ++line)
            log.write("flood", { { "text", filler } });
        EXPECT_GT(log.dropped(), 0U);
        // Unblocks the background thread so that it can end: later output goes to /dev/null, and the pipe is emptied.
        const auto devNull = ::open("/dev/null", O_WRONLY);
        ::dup2(devNull, STDOUT_FILENO);
        ::close(devNull);
        ::close(pipe[1]);
        std::array<char, 65536> drained {};
        while (::read(pipe[0], drained.data(), drained.size()) > 0) { }
    }
    ::dup2(saved, STDOUT_FILENO);
    ::close(saved);
    ::close(pipe[0]);
}

}
}
