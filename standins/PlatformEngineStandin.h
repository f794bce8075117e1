#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/HttpClient.h"
#include "standins/EngineModel.h"
#include "standins/StandinProgram.h"

namespace marigoldpaddle::standins {

struct PlatformEngineSettings {
    std::string id; // Registered target id. Requests that expect another target are rejected.
    EngineModelSettings model;
    Duration reportLag { std::chrono::milliseconds { 200 } }; // Minimum age of the load reports served.
};

// Injected faults, set by `POST /standin/faults`. A counter is the number of times that the fault still applies.
struct PlatformEngineFaults {
    bool isSilent { false }; // Accepts connections and responds only to /standin/faults and /standin/counts.
    bool isDeclining { false }; // Rejects prompts with 503 and the not-executed header; health checks pass.
    bool isRefusingOrders { false }; // Rejects reservations with 503.
    bool isLeaving { false }; // States so in every answer to a prompt or an order; health checks pass.
    std::string retryAfter; // Retry-After of every 503; empty for none.
    std::string requestLimit; // Requests a second, stated in every answer to a prompt or an order; empty for none.
    std::uint64_t failures { 0 }; // Counter of prompts that fail with 500 after their execution has started.
    std::uint64_t cutAfterEvents { 0 }; // Breaks the next stream in the event after this event id, once; 0 is off.
    std::uint64_t lateOrders { 0 }; // Counter of orders that get no response and are executed after orderDelayMs.
    std::uint64_t orderDelayMs { 2000 };
    bool endsWithConnection { false }; // Answers to prompts have neither a length nor chunks.
    double slowness { 1 }; // Factor on the duration of every pass.
};

// Stand-in for a model engine of the users' platform: continuous batching, prompts whose prefill is shared with helper
// engines, memory reservations, resumable streams, delayed load reports. A helper prefills a part of a prompt on
// `POST /standin/part`; the connection stays open as long as the prompt needs the part. Only stand-ins use that call.
class PlatformEngineStandin final : public HttpHandler {
public:
    PlatformEngineStandin(boost::asio::io_context& context, PlatformEngineSettings settings);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse makeFaultResponse(HttpFault fault) override;

    const EngineModel& engine() const;

    // Number of prompts that this engine started to execute, and of parts that it prefilled for other engines.
    std::uint64_t runCount() const;
    std::uint64_t partCount() const;

    // Number of prompts and reservations that arrived for this engine, whether or not it accepted them.
    std::uint64_t receivedCount() const;

    PlatformEngineFaults faults;

private:
    // A prompt or a part in the engine model. The HTTP exchange that submitted it consumes its events.
    struct Job {
        explicit Job(boost::asio::io_context& context)
            : changeSignal(context, TimePoint::max())
        {
        }

        std::uint64_t id { 0 };
        std::deque<EngineEvent> events;
        bool isEnded { false }; // The caller disconnected, a helper failed, or the reservation expired.
        boost::asio::steady_timer changeSignal; // Cancelled to wake waiters when `events` or `isEnded` changes.
    };

    struct Answer {
        std::string attemptId;
        std::uint64_t nextEventId { 1 };
    };

    struct Report {
        TimePoint createdAt {};
        std::string body;
    };

    boost::asio::awaitable<void> handleCompletion(HttpExchange& exchange);
    boost::asio::awaitable<bool> beginAnswer(HttpExchange& exchange, HttpResponseHeader header);
    boost::asio::awaitable<void> streamAnswer(HttpExchange& exchange, Job& job, Answer& answer);
    boost::asio::awaitable<void> requestRemotePart(std::string address, std::string body, std::shared_ptr<Job> job);
    boost::asio::awaitable<void> handlePart(HttpExchange& exchange);
    boost::asio::awaitable<void> servePart(HttpExchange& exchange, Job& job);
    boost::asio::awaitable<void> handleOrder(HttpExchange& exchange);
    HttpResponse executeOrder(const boost::json::object& order);
    template <typename Header> void addAdvice(Header& header) const;
    HttpResponse health() const;
    HttpResponse report();
    void recordReport();
    HttpResponse counts() const;
    HttpResponse setFaults(std::string_view body);
    HttpResponse notExecutedResponse(unsigned status, std::string_view attemptId = {}) const;
    std::shared_ptr<Job> startJob();
    void endJob(Job& job);
    boost::asio::awaitable<void> waitForEvent(Job& job);
    boost::asio::awaitable<void> waitForEnd(Job& job);
    void schedule();
    TimePoint now() const;

    boost::asio::io_context& context;
    PlatformEngineSettings settings;
    EngineModel model;
    HttpClient helperClient;
    std::map<std::uint64_t, std::shared_ptr<Job>> jobs;
    std::map<std::string, std::uint64_t> runsByAttempt; // Executions started for each attempt id.
    std::uint64_t prefilledParts { 0 };
    std::uint64_t received { 0 };
    std::uint64_t lastJobId { 0 };
    std::deque<Report> reports; // Oldest first.
    boost::asio::steady_timer wakeTimer;
};

}
