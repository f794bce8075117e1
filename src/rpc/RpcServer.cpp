#include "rpc/RpcServer.h"

#include <unordered_set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include "base/Acceptor.h"
#include "rpc/Framing.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct RpcServer::State {
    State(asio::io_context& context, RpcHandler& handler)
        : context(context)
        , handler(handler)
        , acceptor(context)
    {
    }

    asio::io_context& context;
    RpcHandler& handler;
    tcp::acceptor acceptor;
    std::unordered_set<Session*> sessions;
};

class RpcServer::Session : public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, std::shared_ptr<State> state)
        : socket(std::make_shared<tcp::socket>(std::move(socket)))
        , writer(std::make_shared<internal::FrameWriter>(this->socket))
        , state(std::move(state))
    {
        this->state->sessions.insert(this);
    }

    ~Session()
    {
        this->state->sessions.erase(this);
    }

    asio::awaitable<void> run()
    {
        while (true) {
            auto envelope = co_await internal::readEnvelope(*this->socket);
            if (!envelope)
                break;
            auto self = this->shared_from_this();
            auto message = std::make_shared<wire::Envelope>(std::move(envelope).value());
            asio::co_spawn(
                this->state->context,
                [self, message]() -> asio::awaitable<void> { co_await self->handleMessage(message); }, asio::detached);
        }
        this->close();
    }

    void close()
    {
        error_code ignored;
        this->socket->close(ignored);
    }

private:
    asio::awaitable<void> handleMessage(std::shared_ptr<wire::Envelope> message)
    {
        std::optional<wire::Payload> payload;
        std::shared_ptr<void> untilWritten;
        try {
            payload = co_await this->state->handler.handle(std::move(message->payload), untilWritten);
        } catch (const std::exception& failure) {
            LOG(ERROR) << "RPC message handler failed: " << failure.what();
        }
        if (message->callId == 0 || !payload)
            co_return;
        wire::Envelope reply;
        reply.callId = message->callId;
        reply.payload = std::move(*payload);
        this->writer->send(internal::encodeFrame(reply), std::move(untilWritten));
    }

    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<internal::FrameWriter> writer;
    std::shared_ptr<State> state;
};

RpcServer::RpcServer(asio::io_context& context, RpcHandler& handler)
    : state(std::make_shared<State>(context, handler))
{
}

RpcServer::~RpcServer()
{
    this->close();
}

std::uint16_t RpcServer::listen(std::string_view address)
{
    const auto port = openAcceptor(this->state->acceptor, address);
    asio::co_spawn(this->state->context, RpcServer::accept(this->state), asio::detached);
    return port;
}

void RpcServer::close()
{
    error_code ignored;
    this->state->acceptor.close(ignored);
    for (auto* session : this->state->sessions)
        session->close();
}

asio::awaitable<void> RpcServer::accept(std::shared_ptr<State> state)
{
    while (true) {
        auto socket = co_await acceptNext(state->acceptor);
        if (!socket)
            co_return;
        auto session = std::make_shared<Session>(std::move(*socket), state);
        asio::co_spawn(
            state->context, [session]() -> asio::awaitable<void> { co_await session->run(); }, asio::detached);
    }
}

}
