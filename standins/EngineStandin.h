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
    bool canListAllocations { true };
    bool checksFencing { true };
};

// What the engine can be made to do wrong, set by `POST /faults`.
struct EngineFaults {
    bool isFrozen { false }; // Accepts connections and answers nothing.
    std::uint64_t cutAfterTokens { 0 }; // Closes the next stream after so many tokens; 0 is never.
    std::uint64_t delayMs { 0 };
    bool dropsCancelAnswers { false };
};

// Stands in for a model engine: streams the tokens of AnswerGenerator at a steady rate after a prefill time in
// proportion to the prompt. An allocation lives until its request is finished or cancelled; a connection that closes
// frees nothing.
class EngineStandin final : public HttpHandler {
public:
    EngineStandin(boost::asio::io_context& context, EngineSettings settings);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

    std::uint64_t usedTokens() const;

private:
    // One request that the engine runs or holds memory for.
    struct Stream {
        explicit Stream(boost::asio::io_context& context)
            : progressed(context, TimePoint::max())
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
        boost::asio::steady_timer progressed; // Cancelled whenever a token is added or the stream ends.

        bool isFinished() const
        {
            return this->isCancelled || this->tokens.size() >= this->maximumTokens;
        }
    };

    boost::asio::awaitable<void> complete(HttpExchange& exchange);
    boost::asio::awaitable<void> generate(std::shared_ptr<Stream> stream, std::string prompt, std::uint64_t parts);
    boost::asio::awaitable<void> deliver(
        HttpExchange& exchange, std::shared_ptr<Stream> stream, std::uint64_t from, std::int64_t attempt);
    HttpResponse reserve(std::string_view body);
    HttpResponse cancel(std::string_view body);
    HttpResponse load() const;
    HttpResponse order(std::string_view body);
    HttpResponse records() const;
    HttpResponse setFaults(std::string_view body);
    std::shared_ptr<Stream> startStream(const std::string& id, std::uint64_t memoryTokens);
    void release(const std::string& id);

    boost::asio::io_context& context;
    EngineSettings settings;
    EngineFaults faults;
    std::map<std::string, std::shared_ptr<Stream>> streams;
    std::map<std::string, std::uint64_t> executions; // How often each request id was started, for tests.
    std::uint64_t fence { 0 };
    std::string version { "1" };
};

}
