#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <marigoldpaddle/Clock.h>

#include "base/EventLog.h"
#include "base/HttpClient.h"
#include "base/HttpServer.h"
#include "base/Metrics.h"
#include "serving/CallFormat.h"
#include "serving/EventStream.h"
#include "serving/LoadLedger.h"
#include "serving/MemoryLease.h"
#include "serving/RetryBudget.h"
#include "serving/ServingView.h"
#include "serving/TargetChooser.h"
#include "serving/TargetHealth.h"
#include "serving/WaitingPrompts.h"

namespace marigoldpaddle {

// Takes callers' requests and passes them on to targets, byte for byte. Every request gets exactly one final answer:
// the target's, or a refusal that says truthfully whether the request may have run.
class ServingGateway final : public HttpHandler {
public:
    struct Parts {
        boost::asio::io_context& context;
        const Clock& clock;
        const CallFormat& format;
        ServingView& view;
        LoadLedger& ledger;
        WaitingPrompts& waiting;
        TargetHealth& health;
        RetryBudget& budget;
        HttpClient& client;
        EngineMemory& memory;
        EventLog& log;
        MetricsRegistry& metrics;
        std::string instance; // Begins the names of memory tickets.
        Duration memoryHold {}; // For engines to keep memory that nobody renews.
    };

    // Everything that the parts refer to must outlive the gateway.
    ServingGateway(const Parts& parts, TargetChooser chooser);

    // `notify` is called when a prompt was placed, so that peers hear of it before they place their own.
    void onPromptPlaced(std::function<void()> notify);

    // A planned stop: from `intakeUntil` on, requests whose time is not over before `endsAt` are turned away.
    void beginStop(TimePoint intakeUntil, TimePoint endsAt);

    // Gives every request in progress its final answer now, as at its deadline.
    void endRequests();

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse describeFault(HttpFault fault) override;

private:
    struct Call; // See ServingCall.h.

    // Targets that may be tried for one call, counting those that did not run it.
    static constexpr unsigned MaximumTries = 4;

    // How one attempt at a target ended.
    enum class Attempt {
        Done, // The caller has its whole answer, or is gone.
        NotSent, // Not a byte reached a target.
        NotRun, // The target states that it did not run the request.
        MayHaveRun, // Anything else.
    };

    bool admit(Call& call);
    boost::asio::awaitable<void> forward(Call& call);
    boost::asio::awaitable<std::optional<TargetChoice>> chooseInTime(Call& call);
    boost::asio::awaitable<Attempt> send(Call& call, const TargetChoice& choice);
    boost::asio::awaitable<bool> reserveMemory(
        Call& call, const TargetChoice& choice, MemoryLease& lease, SendTerms& terms);
    boost::asio::awaitable<Attempt> relayWhole(Call& call, HttpCall& answer, const std::string& target);
    boost::asio::awaitable<Attempt> relayStream(
        Call& call, HttpCall& answer, const TargetChoice& choice, std::vector<LedgerEntry>& work);
    void noteFirstEvents(Call& call, const TargetChoice& choice, std::vector<LedgerEntry>& work);
    boost::asio::awaitable<void> finishUnserved(Call& call);
    boost::asio::awaitable<void> refuse(Call& call, unsigned status, std::string_view reason);
    boost::asio::awaitable<void> waitUntilDeadline(Call& call);
    boost::asio::awaitable<void> waitUntilCallerIsGone(Call& call);
    void noteNotPlaced(Call& call, const TargetChoice& best);
    bool isPastIntake(const Call& call) const;
    bool mayComeBack(const Call& call) const;
    Duration spreadRetryAfter(const Call& call);
    bool maySendAgain(Call& call, Attempt last);
    Duration remaining(const Call& call) const;
    Duration firstByteTimeout(const Call& call, const TargetChoice& choice) const;
    Duration gapTimeout(const Call& call, const std::string& target) const;
    bool mayLeave(const Call& call) const; // Whether another target may take over from the present one.
    std::vector<LedgerEntry> noteWork(const TargetChoice& choice);
    void noteOutcome(Call& call, const TargetChoice& choice, SendOutcome outcome, std::string_view detail);
    void finish(Call& call, std::string_view outcome, unsigned status);

    Parts parts;
    TargetChooser chooser;
    std::function<void()> notifyPlaced;
    std::set<boost::asio::steady_timer*> deadlines; // Of the requests in progress.
    TimePoint intakeUntil { TimePoint::max() };
    TimePoint endsAt { TimePoint::max() };
    std::mt19937_64 random;
    std::string ticketPrefix; // Differs between starts of an instance.
    std::uint64_t lastTicket { 0 };
};

}
