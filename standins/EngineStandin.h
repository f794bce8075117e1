#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

struct EngineSettings {
    std::string model;
    std::uint64_t memoryTokens { 0 };
    double prefillTokensPerSecond { 0 };
    Duration tokenInterval {};
    bool canListAllocations { true }; // Load reports list the allocations.
    bool checksFencing { true }; // Orders with a lower fencing number than an earlier order are refused.
};

// Injected faults, set by `POST /faults`.
struct EngineFaults {
    bool isFrozen { false }; // Accepts connections but does not respond until it is cleared.
    std::uint64_t cutAfterTokens { 0 }; // Closes the next stream that reaches this number of tokens, once; 0 is off.
    std::uint64_t delayMs { 0 }; // Delay before each request is processed.
    bool dropsCancelAnswers { false }; // Cancel requests take effect but get no response.
};

// Stand-in for a model engine: after a prefill time proportional to the prompt length, streams the tokens of
// AnswerGenerator at a fixed interval. An allocation lives until its request is finished or cancelled; closing the
// connection does not free it.
class EngineStandin final : public HttpHandler {
public:
    EngineStandin(boost::asio::io_context& context, EngineSettings settings);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse makeFaultResponse(HttpFault fault) override;

    std::uint64_t usedTokens() const;

private:
    // A request that the engine executes, or a memory reservation.
    struct Stream {
        explicit Stream(boost::asio::io_context& context)
            : changeSignal(context, TimePoint::max())
        {
        }

        std::string id;
        std::uint64_t memoryTokens { 0 };
        std::uint64_t promptTokens { 0 };
        std::uint64_t maximumTokens { 0 };
        TimePoint startedAt {};
        std::vector<std::string> tokens; // Generated so far.
        bool isReservation { false };
        bool isCancelled { false };
        boost::asio::steady_timer changeSignal; // Cancelled whenever a token is added or the stream ends.

        bool isFinished() const
        {
            return this->isCancelled || this->tokens.size() >= this->maximumTokens;
        }
    };

    boost::asio::awaitable<void> handleCompletion(HttpExchange& exchange);
    boost::asio::awaitable<void> generate(std::shared_ptr<Stream> stream, std::string prompt, std::uint64_t parts);
    boost::asio::awaitable<void> streamTokens(
        HttpExchange& exchange, std::shared_ptr<Stream> stream, std::uint64_t from, std::int64_t attempt);
    HttpResponse reserve(std::string_view body);
    HttpResponse cancel(std::string_view body);
    HttpResponse load() const;
    HttpResponse handleOrder(std::string_view body);
    HttpResponse executionCounts() const;
    HttpResponse setFaults(std::string_view body);
    std::shared_ptr<Stream> startStream(const std::string& id, std::uint64_t memoryTokens);
    void release(const std::string& id);

    boost::asio::io_context& context;
    EngineSettings settings;
    EngineFaults faults;
    std::map<std::string, std::shared_ptr<Stream>> streams;
    std::map<std::string, std::uint64_t> executionsById; // Number of executions started for each request id; for tests.
    std::uint64_t highestFence { 0 };
    std::string version { "1" };
};

}
