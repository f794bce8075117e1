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

// Writes the response to a prompt to its caller: as server-sent events while the tokens arrive, or as one JSON body
// once it is complete.
class CompletionWriter {
public:
    // Everything passed by reference must outlive the writer.
    CompletionWriter(HttpExchange& exchange, const CompletionRequest& request, const RequestId& id);

    // Buffers the text of the next token until `flush`.
    void append(std::string_view text);

    // Sends the buffered events; does nothing for a response that is not streamed. This and the functions below return
    // false if the caller has disconnected or its send timeout has elapsed.
    boost::asio::awaitable<bool> flush();

    // Ends a complete response. `tokens` is the number of output tokens.
    boost::asio::awaitable<bool> finish(std::uint64_t tokens);

    // Ends a response that cannot be completed: with a problem response if nothing was sent yet, otherwise with an
    // error event.
    boost::asio::awaitable<bool> refuse(Problem problem);

private:
    boost::asio::awaitable<bool> beginStream();

    HttpExchange& exchange;
    const CompletionRequest& request;
    const RequestId& id;
    CompletionEventWriter eventWriter;
    std::string pending;
    bool didBegin { false };
};

}
