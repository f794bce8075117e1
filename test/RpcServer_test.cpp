#include "rpc/RpcServer.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include "rpc/Framing.h"
#include "rpc/RpcClient.h"

namespace marigoldpaddle {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

// Answers with a list of a given size and keeps track of the answers that are not written yet.
class ListHandler final : public RpcHandler {
public:
    asio::awaitable<std::optional<wire::Payload>> handle(
        wire::Payload /*request*/, std::shared_ptr<void>& untilWritten) override
    {
        auto hold = std::make_shared<int>();
        this->hold = hold;
        untilWritten = hold;
        wire::KeyValueRecord record;
        record.value.assign(this->bytes, 'x');
        wire::PlatformRecordsAnswer answer;
        answer.__set_targets({ record });
        wire::Payload payload;
        payload.__set_platformRecordsAnswer(answer);
        co_return payload;
    }

    std::size_t bytes { 100 };
    std::weak_ptr<int> hold; // Of the last answer.
};

class RpcServerTest : public testing::Test {
protected:
    static wire::Payload request()
    {
        wire::Payload payload;
        payload.__set_platformRecords({});
        return payload;
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->context.restart();
            this->context.run_one_for(100ms);
        }
        return condition();
    }

    asio::io_context context { 1 };
    ListHandler handler;
    RpcServer server { this->context, this->handler };
    std::uint16_t port { this->server.listen("127.0.0.1:0") };
};

TEST_F(RpcServerTest, HoldOfAnAnswerEndsWhenItIsWritten)
{
    RpcClient client { this->context.get_executor() };
    bool isAnswered = false;
    asio::co_spawn(
        this->context,
        [&]() -> asio::awaitable<void> {
            const auto address = "127.0.0.1:" + std::to_string(this->port);
            const auto answer = co_await client.call(address, request(), 10s);
            isAnswered = static_cast<bool>(answer);
        },
        asio::detached);
    ASSERT_TRUE(this->runUntil([&] { return isAnswered; }));
    EXPECT_TRUE(this->runUntil([&] { return this->handler.hold.expired(); }));
}

// A receiver that does not read keeps the answer in the queue until its connection ends.
TEST_F(RpcServerTest, HoldOfAnAnswerLastsWhileItsReceiverDoesNotReadAndEndsWithTheConnection)
{
    this->handler.bytes = 32 * 1024 * 1024;
    tcp::socket socket { this->context };
    socket.connect({ asio::ip::make_address("127.0.0.1"), this->port });
    wire::Envelope envelope;
    envelope.callId = 1;
    envelope.payload = request();
    asio::write(socket, asio::buffer(internal::encodeFrame(envelope)));
    ASSERT_TRUE(this->runUntil([&] { return !this->handler.hold.expired(); }));
    this->context.restart();
    this->context.run_for(100ms);
    EXPECT_FALSE(this->handler.hold.expired());
    socket.close();
    EXPECT_TRUE(this->runUntil([&] { return this->handler.hold.expired(); }));
}

}
}
