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
    std::string id; // As registered; a request that expects another target is declined.
    EngineModelSettings model;
    Duration reportLag { std::chrono::milliseconds { 200 } };
};

// What the engine can be made to do wrong, set by `POST /standin/faults`. Counts say how often a fault strikes.
struct PlatformEngineFaults {
    bool isSilent { false }; // Takes connections and answers nothing.
    bool isDeclining { false }; // Answers prompts with 503 and says that they have not run; its health check passes.
    std::uint64_t failures { 0 }; // Answers so many prompts with 500 after they ran.
    std::uint64_t cutAfterEvents { 0 }; // Breaks the next stream off in the middle of the event after so many; 0: off.
    std::uint64_t lateOrders { 0 }; // Leaves so many orders unanswered and carries them out late.
    std::uint64_t orderDelayMs { 2000 };
    double slowness { 1 };
};

// Stands in for a model engine of the users' platform: batches, prompts read with helpers, memory set aside by tickets,
// streams that can be resumed, late reports. An engine reads parts for others on `POST /standin/part`, a connection
// that stays open as long as the prompt needs the part; that call is between stand-ins only.
class PlatformEngineStandin final : public HttpHandler {
public:
    PlatformEngineStandin(boost::asio::io_context& context, PlatformEngineSettings settings);

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

    const EngineModel& engine() const;

    // How many prompts began to run here, and how many parts were read for other engines.
    std::uint64_t runCount() const;
    std::uint64_t partCount() const;

    PlatformEngineFaults faults;

private:
    // A prompt or a part that the model works on. Its events are taken by the exchange that brought it.
    struct Work {
        explicit Work(boost::asio::io_context& context)
            : progressed(context, TimePoint::max())
        {
        }

        std::uint64_t id { 0 };
        std::deque<EngineEvent> events;
        bool isEnded { false }; // The caller is gone, a helper is lost, or the memory was taken away.
        boost::asio::steady_timer progressed; // Cancelled whenever something above changes.
    };

    struct Answer {
        std::string attemptId;
        std::uint64_t nextEvent { 1 };
    };

    struct Report {
        TimePoint at {};
        std::string body;
    };

    boost::asio::awaitable<void> complete(HttpExchange& exchange);
    boost::asio::awaitable<void> deliver(HttpExchange& exchange, Work& work, Answer& answer);
    boost::asio::awaitable<void> readElsewhere(std::string address, std::string body, std::shared_ptr<Work> work);
    boost::asio::awaitable<void> readPart(HttpExchange& exchange);
    boost::asio::awaitable<void> lendPart(HttpExchange& exchange, Work& work);
    boost::asio::awaitable<void> takeOrder(HttpExchange& exchange);
    HttpResponse carryOut(const boost::json::object& order);
    HttpResponse health() const;
    HttpResponse report();
    void noteReport();
    HttpResponse counts() const;
    HttpResponse setFaults(std::string_view body);
    HttpResponse declined(unsigned status) const;
    std::shared_ptr<Work> startWork();
    void end(Work& work);
    boost::asio::awaitable<void> awaitEvent(Work& work);
    boost::asio::awaitable<void> awaitEnd(Work& work);
    void schedule();
    TimePoint now() const;

    boost::asio::io_context& context;
    PlatformEngineSettings settings;
    EngineModel model;
    HttpClient helpers;
    std::map<std::uint64_t, std::shared_ptr<Work>> works;
    std::map<std::string, std::uint64_t> runs; // How often each attempt id was begun.
    std::uint64_t partsRead { 0 };
    std::uint64_t lastWork { 0 };
    std::deque<Report> reports; // Oldest first.
    boost::asio::steady_timer wake;
};

}
