#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
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
#include "serving/DenialPolicy.h"
#include "serving/EventStream.h"
#include "serving/LoadLedger.h"
#include "serving/MemoryLease.h"
#include "serving/PromptQuarantine.h"
#include "serving/RelayFormat.h"
#include "serving/RelayPeers.h"
#include "serving/RetryBudget.h"
#include "serving/ServingView.h"
#include "serving/TargetAdvice.h"
#include "serving/TargetChooser.h"
#include "serving/TargetHealth.h"
#include "serving/TargetLinks.h"
#include "serving/WaitingPrompts.h"

namespace marigoldpaddle {

// Receives callers' requests and forwards them to targets, byte for byte. Every request gets exactly one final answer:
// the target's, or a refusal that states correctly whether the request may have been executed.
class ServingGateway final : public HttpHandler {
public:
    // What serves callers while this instance reaches no target.
    struct RelayParts {
        TargetLinks& links;
        RelayPeers& peers;
        HttpClient& client; // For requests to peers.
    };

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
        PromptQuarantine& quarantine;
        EventLog& log;
        MetricsRegistry& metrics;
        std::string instance; // Prefix of the ids of memory reservations.
        Duration memoryLeaseDuration {}; // How long an engine keeps a reservation that is not renewed.
        std::optional<RelayParts> relay {}; // Empty: nothing is sent through peers.
        Duration configurationBound { std::chrono::seconds { 2 } }; // See setConfigurationBound().
    };

    // Everything that the parts refer to must outlive the gateway.
    ServingGateway(const Parts& parts, TargetChooser chooser);
    ~ServingGateway() override;
    ServingGateway(const ServingGateway&) = delete;
    ServingGateway& operator=(const ServingGateway&) = delete;

    // `notify` is called when a prompt was placed or starts to wait, so that peers learn of it before they place their
    // own.
    void onPromptPlaced(std::function<void()> notify);

    // `notify` is called when a target ended while it began to answer a prompt, or when targets are found to answer no
    // requests or to answer again, so that peers learn of it before they send a similar prompt or to such a target.
    void onTargetCrash(std::function<void()> notify);

    // `notify` is called when a target has a limit that is new or lower, or no longer has one, so that peers learn of
    // it before they send to the target.
    void onTargetLimitChanged(std::function<void()> notify);

    // Records that a registration says that its target is cold.
    void recordColdTarget(const TargetEntry& target, Duration remaining);

    // Time within which a change of the configuration must take effect.
    void setConfigurationBound(Duration bound);

    // Graceful shutdown: from `intakeUntil` on, requests whose deadline is after `endsAt` are refused.
    void beginShutdown(TimePoint intakeUntil, TimePoint endsAt);

    // Ends every request in progress with its final answer now, as at its deadline.
    void finishRequests();

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override;
    HttpResponse makeFaultResponse(HttpFault fault) override;

    // Serves the callers of instances that reach no target.
    HttpHandler& relayHandler();

    // Number of requests of other instances in progress.
    unsigned relayedRequests() const;

private:
    class RelayHandler;
    class RelayedEntry;
    struct Call; // See ServingCall.h.
    struct Attempt; // See ServingCall.h.

    // Maximum number of targets tried for one call, including those that did not execute it and without those that
    // accepted no connection.
    static constexpr unsigned MaximumTries = 4;

    // Why the configuration does not allow a request.
    struct Denial {
        unsigned status { 404 };
        std::string_view reason;
    };

    // Outcome of one attempt at a target.
    enum class AttemptResult {
        Done, // The caller has its whole answer, or has disconnected.
        NotSent, // Nothing was sent to a target.
        NotRun, // The target states that it did not execute the request.
        MayHaveRun, // Any other outcome.
        Answering, // The target has begun to answer; the attempt has not ended.
    };

    void createRelayHandler();
    boost::asio::awaitable<void> handleRelayed(HttpExchange& exchange);
    boost::asio::awaitable<void> waitForConfiguration(std::uint64_t version);
    std::string_view relayedRefusal(const RelayRequest& relayed) const;
    boost::asio::awaitable<void> process(Call& call);
    std::optional<Denial> lookUp(Call& call) const;
    bool admit(Call& call) const;
    ConfigurationKnowledge configurationKnowledge() const;
    boost::asio::awaitable<std::optional<Denial>> lookUpWhenCurrent(Call& call, Denial denial);
    boost::asio::awaitable<void> waitWhileDenied(Call& call, std::optional<Denial>& denial, TimePoint since);
    boost::asio::awaitable<void> waitUntil(TimePoint end);
    boost::asio::awaitable<void> deny(Call& call, Denial denial);
    HttpResponse makeMemoryRefusal();
    HttpResponse makeSizeDenial(unsigned status, std::string_view reason);
    boost::asio::awaitable<void> forward(Call& call);
    boost::asio::awaitable<std::optional<TargetChoice>> waitForPlacement(Call& call);
    bool hasUsableTarget(const Call& call) const;
    void recordTry(Call& call, const TargetChoice& choice);
    bool isCutOff(const Call& call) const;
    bool mayRelay(const Call& call) const;
    std::optional<TargetChoice> chooseRelay(const Call& call);
    void recordCutOff(Call& call);
    boost::asio::awaitable<AttemptResult> openRelay(Call& call, Attempt& attempt);
    boost::asio::awaitable<HttpResult<HttpCall>> startUnlessPeerLost(
        Call& call, const std::string& peer, boost::asio::awaitable<HttpResult<HttpCall>> start);
    boost::asio::awaitable<void> waitForPeerLoss(Call& call, const std::string& peer);
    AttemptResult recordPeerRefusal(Call& call, Attempt& attempt);
    void applyRelayedAdvice(const Call& call, const HttpCall& answer, TimePoint sentAt);
    HttpResponseHeader forwardedHeader(const Call& call, const HttpCall& answer, const TargetEntry& target);
    boost::asio::awaitable<AttemptResult> send(Call& call, const TargetChoice& choice);
    boost::asio::awaitable<AttemptResult> openOrReplace(Call& call, std::unique_ptr<Attempt>& attempt);
    boost::asio::awaitable<AttemptResult> openBesideSuccessor(Call& call, Attempt& attempt);
    boost::asio::awaitable<AttemptResult> openForAnswer(Call& call, Attempt& attempt);
    boost::asio::awaitable<AttemptResult> open(Call& call, Attempt& attempt);
    boost::asio::awaitable<void> replaceWhenLate(Call& call, Attempt& attempt, std::unique_ptr<Attempt>& successor);
    boost::asio::awaitable<void> waitForRetry(Call& call, const Attempt& attempt, TimePoint due);
    void recordLate(const Call& call, Attempt& attempt);
    void recordGivenUp(Call& call, Attempt& attempt);
    AttemptResult checkAnswer(Call& call, Attempt& attempt, TimePoint sentAt);
    boost::asio::awaitable<bool> reserveMemory(
        Call& call, const TargetChoice& choice, MemoryLease& lease, ForwardingMetadata& forwarding);
    boost::asio::awaitable<AttemptResult> relayWhole(Call& call, Attempt& attempt);
    boost::asio::awaitable<AttemptResult> relayStream(Call& call, std::unique_ptr<Attempt>& attempt);
    boost::asio::awaitable<AttemptResult> relayEvents(Call& call, Attempt& attempt);
    boost::asio::awaitable<AttemptResult> leaveToSuccessor(Attempt& attempt);
    boost::asio::awaitable<void> replaceWhenSilent(Call& call, Attempt& attempt, std::unique_ptr<Attempt>& successor);
    boost::asio::awaitable<void> waitForProgress(Attempt& attempt, std::uint64_t seen);
    bool isStreamAnswer(const Call& call, const HttpResponseHeader& header) const;
    boost::asio::awaitable<bool> readFirstEvents(Call& call, Attempt& attempt);
    void endSilence(Attempt& attempt, TimePoint now);
    boost::asio::awaitable<void> openSuccessor(Call& call, Attempt& attempt, std::unique_ptr<Attempt>& successor);
    void beginEvents(Call& call, Attempt& attempt);
    void recordProgress(Call& call, Attempt& attempt, TimePoint now);
    void recordFirstEvents(Call& call, Attempt& attempt);
    boost::asio::awaitable<void> finishWithoutAnswer(Call& call);
    boost::asio::awaitable<void> refuse(Call& call, unsigned status, std::string_view reason);
    boost::asio::awaitable<void> waitUntilDeadline(Call& call);
    boost::asio::awaitable<void> waitForCallerDisconnect(Call& call);
    bool hasCallerLeft(Call& call) const;
    std::optional<TimePoint> nextRequestAt(const TargetEntry& target, TimePoint now) const;
    std::vector<TimePoint> nextRequestTimes(const Call& call, TimePoint now) const;
    bool mayAwaitTarget(const Call& call, TimePoint now) const;
    std::string_view recordThrottledTargets(Call& call);
    void recordNotPlaced(Call& call, const TargetChoice& best);
    bool isQuarantined(Call& call) const;
    std::vector<RelayedEnd> knownEnds(const Call& call) const;
    void learnEnds(const Call& call, std::span<const RelayedEnd> ends, std::string_view source);
    std::set<std::string> triedOrEnded(const Call& call, TimePoint now) const;
    std::optional<TargetChoice> chooseTarget(const Call& call, TimePoint now);
    bool isIntakeClosedFor(const Call& call) const;
    bool isEvacuated(Call& call);
    bool callerMayRetry(const Call& call) const;
    Duration jitteredRetryAfter(const Call& call);
    bool mayRetry(Call& call, AttemptResult last);
    std::string_view retryObstacle(Call& call, AttemptResult last);
    Duration remaining(const Call& call) const;
    Duration firstByteLimit(const Call& call, const TargetChoice& choice) const;
    Duration gapLimit(const Call& call, const TargetChoice& choice) const;
    // Whether another target may execute the request after `runs` attempts that may have been executed.
    bool mayRunElsewhere(const Call& call, unsigned runs) const;
    std::vector<LedgerEntry> recordWork(const TargetChoice& choice);
    void recordOutcome(Call& call, const TargetEntry& target, SendOutcome outcome, std::string_view detail);
    void recordEnd(Call& call, const TargetEntry& target, SendOutcome outcome, std::string_view detail);
    bool acceptsRequests(const TargetEntry& target) const;
    const TargetEntry* findUnavailableHelper(const TargetChoice& choice) const;
    AttemptResult recordHeldBack(Call& call, const TargetEntry& target);
    AttemptResult recordHeldBackByHelper(Call& call, const TargetEntry& target, const TargetEntry& helper);
    AttemptResult recordDeclined(
        Call& call, const TargetChoice& choice, const ResponseMetadata& response, TimePoint sentAt);
    void recordSilence(const Call& call, const Attempt& attempt);
    void recordEndWithoutAnswer(Call& call, const TargetEntry& target, TimePoint sentAt);
    void recordCutAnswer(const Call& call, const Attempt& attempt);
    bool excuseTargets(TimePoint now);
    void recordCrash(const Call& call, const TargetEntry& target, TimePoint sentAt);
    void recordAnswering(const TargetEntry& target);
    TargetAnswers::ProbeCost probeCost(const Call& call) const;
    std::optional<TargetAnswers::ProbeCost> allowedProbe(const Call& call);
    void recordSound(const Call& call, const Attempt& attempt);
    void recordInterruptedAttempts(Call& call, std::string_view detail);
    void finish(Call& call, std::string_view outcome, unsigned status);

    Parts parts;
    TargetAdvice advice;
    TargetChooser chooser;
    std::function<void()> notifyPlaced;
    std::function<void()> notifyCrash;
    std::unique_ptr<HttpHandler> relays;
    unsigned relayedInProgress { 0 };
    DenialPolicy denials;
    boost::asio::steady_timer configurationUpdated; // Never expires; cancelled at each update of the view.
    std::size_t awaitingConfiguration { 0 }; // Requests that wait for a current configuration.
    std::set<boost::asio::steady_timer*> deadlines; // Deadline timers of the requests in progress.
    TimePoint intakeUntil { TimePoint::max() };
    TimePoint endsAt { TimePoint::max() };
    std::mt19937_64 random;
    std::string reservationPrefix; // Unique for each start of an instance.
    std::uint64_t lastReservation { 0 };
};

}
