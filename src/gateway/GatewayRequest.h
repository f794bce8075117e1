#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <marigoldpaddle/Preset.h>
#include <marigoldpaddle/RequestLifecycle.h>

#include "base/HttpServer.h"
#include "gateway/CallerAnswer.h"
#include "gateway/CompletionRequest.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/Problem.h"

namespace marigoldpaddle {

class GatewayRequest;

// Where an attempt asked for a placement.
struct Ticket {
    CellId cell;
    InstanceId owner;
};

// The placement in use, as its owner granted it.
struct Placement {
    unsigned attempt { 0 }; // The attempt that asked for it; its name is the request's name at the targets.
    int priority { 0 };
    std::uint64_t baseOffset { 0 }; // Tokens of the answer that were appended to the prompt.
};

// A call of a plain service, as it is passed on.
struct ServiceCall {
    std::string service;
    std::string path; // As the service sees it, with its query.
    std::string idempotencyKey; // Empty without one.
    bool isSafe { false }; // By its method: it changes nothing and may be repeated.
};

// Finds targets for one kind of request and keeps its owner informed.
class Placer {
public:
    virtual ~Placer() = default;

    // Asks for a placement and returns PlacementGranted, PlacementRefused or OwnerLost.
    virtual boost::asio::awaitable<RequestEvent> ask(GatewayRequest& request, unsigned attempt) = 0;

    // Nobody waits for the answer any more.
    virtual void withdraw(GatewayRequest& request, unsigned attempt) = 0;

    // The placement that `attempt` was granted is no longer used.
    virtual void release(GatewayRequest& request, unsigned attempt) = 0;

    // The first token has arrived.
    virtual void noteFirstToken(GatewayRequest& request) = 0;

    // The request is over: gives back whatever it was granted and never used.
    virtual void forget(GatewayRequest& request) = 0;
};

// Sends one kind of request to a target and brings back its answer, event by event.
class Carrier {
public:
    virtual ~Carrier() = default;

    // Reserves every part of a span but the first. Returns PartsReserved, TargetDeclined or TargetUnreachable.
    virtual boost::asio::awaitable<RequestEvent> reserve(GatewayRequest& request, unsigned attempt) = 0;

    // Connects, writes once the lifecycle permits it, and handles the answer until the attempt has ended.
    virtual boost::asio::awaitable<void> send(GatewayRequest& request, unsigned attempt) = 0;

    // Continues a broken stream and handles the rest of the answer until the attempt has ended.
    virtual boost::asio::awaitable<void> resume(GatewayRequest& request, ResumeStream command) = 0;

    // Cancels in the background whatever the parts may still hold.
    virtual void cancel(GatewayRequest& request, const CancelAttempt& command) = 0;
};

// One request on its way through the filters. Carries out the commands of its lifecycle that need no waiting, and keeps
// the next one that does for the filter whose work it is.
class GatewayRequest {
public:
    using Step = std::variant<std::monostate, AskPlacement, ReserveParts, ConnectTarget, WriteRequest, ResumeStream>;

    GatewayRequest(HttpExchange& exchange, RequestId id, const Clock& clock, GatewayMetrics& metrics);

    // Starts the lifecycle of a request that has a placer, a carrier and a deadline; from here on it ends with exactly
    // one final answer.
    void start(RetryPolicy& retries);

    bool isOver() const;
    const RequestLifecycle& lifecycle() const;

    // Takes an event and carries out what follows from it.
    void handle(const RequestEvent& event);

    // The command that waits to be carried out; taking it forgets it.
    const Step& nextStep() const;
    Step takeStep();

    // Whether the last event commanded to deliver its chunk.
    bool isToDeliver() const;

    // Whether the answer is whole.
    bool isComplete() const;

    // The name of one attempt towards dispatchers and engines. Each attempt has its own, so that a late grant or cancel
    // can never meet a later attempt.
    RequestId attemptId(unsigned attempt) const;

    HttpExchange& exchange;
    const RequestId id;
    const Clock& clock;
    GatewayMetrics& metrics;
    const TimePoint receivedAt;

    // Filled in by the filters.
    std::shared_ptr<const Preset> preset;
    std::optional<CompletionRequest> completion;
    std::optional<ServiceCall> call;
    WorkspaceSettings workspace;
    std::string promptClass;
    std::vector<std::uint64_t> prefixBlocks;
    TimePoint deadline {};
    bool didClaim { false }; // Holds the claim of its idempotency key.
    bool mayClaimLand { false }; // Its claim did not win, or nobody knows, and may still appear in the log.
    std::optional<HttpResponse> storedAnswer; // Of the service, or of an earlier call with the same key.
    std::optional<Problem> problem; // The final answer, when it is a refusal.
    std::unique_ptr<CallerAnswer> answer; // Of a prompt.
    std::string deliveredText; // Of the answer to a prompt, to be continued on another target.
    std::map<unsigned, Ticket> tickets; // By attempt.
    std::map<std::string, std::string, std::less<>> addresses; // Of all targets that were granted, by name.
    Placement placement;
    Placer* placer { nullptr };
    Carrier* carrier { nullptr };

private:
    void carryOut(const AskPlacement& command);
    void carryOut(const WithdrawPlacement& command);
    void carryOut(const ReserveParts& command);
    void carryOut(const ConnectTarget& command);
    void carryOut(const WriteRequest& command);
    void carryOut(const ResumeStream& command);
    void carryOut(const DeliverChunk& command);
    void carryOut(const CancelAttempt& command);
    void carryOut(const ReleasePlacement& command);
    void carryOut(const CompleteAnswer& command);
    void carryOut(const RefuseRequest& command);
    void carryOut(const CountRetry& command);
    void carryOut(const CountDroppedChunk& command);

    std::optional<RequestLifecycle> life;
    Step step;
    bool deliversChunk { false };
    bool isWhole { false };
};

}
