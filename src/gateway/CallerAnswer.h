#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include <marigoldpaddle/Identifiers.h>

#include "base/HttpServer.h"
#include "gateway/CompletionRequest.h"
#include "gateway/Problem.h"

namespace marigoldpaddle {

// The answer to a prompt on its way to the caller: as events while it is generated, or whole at its end.
class CallerAnswer {
public:
    // Everything passed by reference must outlive the answer.
    CallerAnswer(HttpExchange& exchange, const CompletionRequest& request, const RequestId& id);

    // Takes the text of the next token. Nothing is sent before `flush`.
    void append(std::string_view text);

    // Sends what was appended. Every call that sends is false when the caller is gone or does not read.
    boost::asio::awaitable<bool> flush();

    // Ends an answer that is whole.
    boost::asio::awaitable<bool> finish(std::uint64_t tokens);

    // Ends an answer that cannot be completed: as a problem when nothing was sent yet, else as an error event.
    boost::asio::awaitable<bool> refuse(Problem problem);

private:
    boost::asio::awaitable<bool> begin();

    HttpExchange& exchange;
    const CompletionRequest& request;
    const RequestId& id;
    CompletionEvents events;
    std::string pending;
    bool didBegin { false };
};

}
