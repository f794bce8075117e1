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
#include "gateway/CompletionRequest.h"
#include "gateway/CompletionWriter.h"
#include "gateway/GatewayMetrics.h"
#include "gateway/Problem.h"

namespace marigoldpaddle {

class GatewayRequest;

// The cell, and the instance that owned it, that an attempt asked for a placement.
struct AcquireDestination {
    CellId cell;
    InstanceId owner;
};

// The placement in use, as granted by the owner of the cell.
struct Placement {
    unsigned attempt { 0 }; // Requested the placement; its attempt id is the request id at the targets.
    int priority { 0 };
    std::uint64_t baseOffset { 0 }; // Output tokens of earlier placements, appended to the prompt.
};

// A call to a plain service, as it is forwarded.
struct ServiceCall {
    std::string service;
    std::string path; // Without the /services/<name> prefix; includes the query.
    std::string idempotencyKey; // Empty if the caller sent none.
    bool isSafe { false }; // Safe HTTP method: has no side effects and may be repeated.
};

// Obtains placements on targets for one kind of request (prompts or service calls), and reports their progress to the
// owner that granted them.
class Placer {
public:
    virtual ~Placer() = default;

    // Requests a placement for `attempt`. Returns PlacementGranted, PlacementRefused or OwnerUnavailable.
    virtual boost::asio::awaitable<RequestEvent> requestPlacement(GatewayRequest& request, unsigned attempt) = 0;

    // Cancels the placement request of `attempt`, whose answer is no longer awaited.
    virtual void withdraw(GatewayRequest& request, unsigned attempt) = 0;

    // Releases the placement that was granted to `attempt`.
    virtual void release(GatewayRequest& request, unsigned attempt) = 0;

    // Reports to the owner that the first token has arrived.
    virtual void reportFirstToken(GatewayRequest& request) = 0;

    // Releases every placement that the request still holds. Called once the request is over.
    virtual void releaseAll(GatewayRequest& request) = 0;
};

// Forwards one kind of request (prompts or service calls) to its target, and reports the progress of the response to
// the lifecycle of the request as events.
class RequestForwarder {
public:
    virtual ~RequestForwarder() = default;

    // Reserves memory for every part of a span except the first. Returns PartsReserved, TargetDeclined or
    // TargetUnreachable.
    virtual boost::asio::awaitable<RequestEvent> reserve(GatewayRequest& request, unsigned attempt) = 0;

    // Connects to the target, writes the request if the lifecycle still commands it, and processes the response until
    // the attempt has ended.
    virtual boost::asio::awaitable<void> send(GatewayRequest& request, unsigned attempt) = 0;

    // Resumes an interrupted stream on the same target, and processes the remaining response until the attempt has
    // ended.
    virtual boost::asio::awaitable<void> resume(GatewayRequest& request, ResumeStream command) = 0;

    // Cancels the request in the background on all targets of `command` that may still hold memory for it.
    virtual void cancel(GatewayRequest& request, const CancelAttempt& command) = 0;
};

// A request while the filters process it. Executes the commands of its lifecycle that complete immediately, and stores
// the next asynchronous one as the pending command, which a filter takes and executes.
class GatewayRequest {
public:
    using PendingCommand
        = std::variant<std::monostate, RequestPlacement, ReserveParts, ConnectTarget, WriteRequest, ResumeStream>;

    GatewayRequest(HttpExchange& exchange, RequestId id, const Clock& clock, GatewayMetrics& metrics);

    // Starts the lifecycle. `placer`, `forwarder` and `deadline` must be set. A started request ends with exactly one
    // final response.
    void start(RetryPolicy& retries);

    bool isOver() const;
    const RequestLifecycle& lifecycle() const;

    // Passes an event to the lifecycle and executes the resulting commands.
    void handle(const RequestEvent& event);

    // The command that is still to be executed; std::monostate if there is none. `takePendingCommand` clears it.
    const PendingCommand& pendingCommand() const;
    PendingCommand takePendingCommand();

    // Whether the chunk of the last event is to be delivered to the caller.
    bool shouldDeliverChunk() const;

    // Whether the response of the target has been received completely.
    bool isComplete() const;

    // Returns the id of an attempt, by which dispatchers and engines identify it. It is unique to the attempt, so that
    // a late grant or cancellation never affects a later attempt.
    RequestId attemptId(unsigned attempt) const;

    HttpExchange& exchange;
    const RequestId id;
    const Clock& clock;
    GatewayMetrics& metrics;
    const TimePoint receivedAt;

    // Set by the filters.
    std::shared_ptr<const Preset> preset;
    std::optional<CompletionRequest> completion;
    std::optional<ServiceCall> call;
    WorkspaceSettings workspace;
    std::string promptClass;
    std::vector<std::uint64_t> prefixBlocks;
    TimePoint deadline {};
    bool holdsClaim { false }; // The claim of its idempotency key was won.
    bool mayClaimCommitLater { false }; // The claim was not known to be won, but may still be appended to the log.
    std::optional<HttpResponse> storedResponse; // From the service, or from an earlier call with the same key.
    std::optional<Problem> problem; // Set if the final response is a refusal.
    std::unique_ptr<CompletionWriter> completionWriter; // Only for prompts.
    std::string deliveredText; // Output of a prompt so far; appended to the prompt when it moves to another target.
    std::map<unsigned, AcquireDestination> acquireDestinations; // By attempt number.
    std::map<std::string, std::string, std::less<>> targetAddresses; // By target name, for all granted targets.
    Placement placement;
    Placer* placer { nullptr };
    RequestForwarder* forwarder { nullptr };

private:
    void execute(const RequestPlacement& command);
    void execute(const WithdrawPlacement& command);
    void execute(const ReserveParts& command);
    void execute(const ConnectTarget& command);
    void execute(const WriteRequest& command);
    void execute(const ResumeStream& command);
    void execute(const DeliverChunk& command);
    void execute(const CancelAttempt& command);
    void execute(const ReleasePlacement& command);
    void execute(const CompleteAnswer& command);
    void execute(const RefuseRequest& command);
    void execute(const CountRetry& command);
    void execute(const CountDroppedChunk& command);

    std::optional<RequestLifecycle> requestLifecycle;
    PendingCommand pending;
    bool mustDeliverChunk { false };
    bool isAnswerComplete { false };
};

}
