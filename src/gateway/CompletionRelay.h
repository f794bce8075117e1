#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/Preset.h>

#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "base/Metrics.h"
#include "gateway/CompletionRequest.h"
#include "gateway/EngineStream.h"
#include "gateway/GatewayView.h"
#include "gateway/Problem.h"

namespace marigoldpaddle {

// Carries one prompt from its admission to its end: acquires a place, sends the prompt to the target, relays the
// tokens.
class CompletionRelay {
public:
    struct Dependencies {
        const Clock& clock;
        GatewayView& view;
        RpcClient& rpc;
        HttpClient& client;
        MetricsRegistry& metrics;
        const GatewaySettings& settings;
    };

    CompletionRelay(Dependencies dependencies, HttpExchange& exchange, CompletionRequest request, RequestId id,
        const WorkspaceSettings& workspace, TimePoint deadline);

    // Runs until the answer is sent. Returns the problem that ended it, if one did and the caller has not been told.
    boost::asio::awaitable<std::optional<Problem>> run();

    // Frees whatever the request still holds, after `run` has ended or was cancelled.
    boost::asio::awaitable<void> cleanUp();

    // Whether part of an answer has been sent to the caller.
    bool didStart() const;

private:
    boost::asio::awaitable<std::optional<Problem>> acquire();
    boost::asio::awaitable<std::optional<Problem>> reserveSpan();
    boost::asio::awaitable<std::optional<Problem>> relay();
    boost::asio::awaitable<bool> deliver(const EngineChunk& chunk);
    boost::asio::awaitable<bool> finish();
    boost::asio::awaitable<void> waitForNewView();
    const CellView* chooseCell() const;
    std::string engineBody() const;
    Duration remaining() const;
    wire::AcquireRequest acquireRequest(const CellView& cell) const;
    boost::asio::awaitable<void> notifyOwner(bool firstToken, bool finished, bool withdrawn);

    Dependencies dependencies;
    HttpExchange& exchange;
    CompletionRequest request;
    RequestId id;
    WorkspaceSettings workspace;
    TimePoint deadline;
    TimePoint startedAt;
    std::optional<CellView> cell;
    std::optional<wire::GrantRecord> grant;
    bool isAcquiring { false };
    bool didSend { false };
    bool isComplete { false };
    bool isStreaming { false };
    std::uint64_t delivered { 0 }; // Tokens.
    std::string text; // Collected for an answer that is not streamed.
};

}
