#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <marigoldpaddle/CellScheduler.h>
#include <marigoldpaddle/Clock.h>
#include <marigoldpaddle/Identifiers.h>
#include <marigoldpaddle/Reasons.h>
#include <marigoldpaddle/RetryPolicy.h>

namespace marigoldpaddle {

enum class RequestState {
    Received, // Not admitted yet.
    Admitted, // About to ask for a placement.
    Queued, // Waits for the owner of the cell.
    Granted, // Has a placement; not a byte was written to its target.
    Sent, // Bytes may have been written; no part of the answer has arrived.
    Streaming,
    Resuming, // The stream broke and is being continued on the same target.
    Finished, // The whole answer was delivered.
    Failed, // A refusal was delivered.
};

std::string_view name(RequestState state);

// What is fixed about a request when it is received.
struct RequestTraits {
    RequestId id;
    bool isIdempotent { true }; // May be repeated although an earlier attempt may have run. Prompts are.
    bool isResumable { true }; // Its answer is a stream of tokens that can be continued at an offset.
    TimePoint deadline {};
};

// Events. Those that belong to an attempt carry its number; events of earlier attempts are late and change nothing.
struct RequestAdmitted { };
struct RequestRefused { // By a filter, before anything was asked of a dispatcher or sent to a target.
    RefusalReason reason { RefusalReason::MalformedRequest };
    Duration retryAfter {};
};
struct PlacementAsked {
    unsigned attempt { 0 };
};
struct PlacementGranted {
    unsigned attempt { 0 };
    std::vector<GrantPart> parts;
    TimePoint expiry {}; // The request must have been written by then.
};
struct PlacementRefused {
    unsigned attempt { 0 };
    RefusalReason reason { RefusalReason::Overloaded };
    Duration retryAfter {};
};
struct OwnerLost { // The owner left, was replaced, or could not be reached.
    unsigned attempt { 0 };
};
struct PartsReserved { // Every part of a span but the first holds its reservation.
    unsigned attempt { 0 };
};
struct TargetConnected {
    unsigned attempt { 0 };
};
struct TargetUnreachable { // Not a byte was written to it.
    unsigned attempt { 0 };
    std::string target;
};
struct TargetDeclined { // The target answered that it did not execute the request.
    unsigned attempt { 0 };
    std::string target;
};
struct ChunkArrived {
    RequestId id;
    unsigned attempt { 0 };
    std::uint64_t offset { 0 }; // Tokens of the answer before this chunk.
    std::uint64_t tokens { 0 };
    bool isFinal { false };
};
struct AnswerArrived { // The whole answer of a request that does not stream.
    unsigned attempt { 0 };
};
struct StreamBroken { // The answer ended without its final marker, or never began.
    unsigned attempt { 0 };
    bool isKnownToTarget { true }; // False once the target has answered that it does not hold the stream.
};
struct TargetLeaving {
    std::string target;
};
struct CallerLeft { };
struct StopBegun { }; // The instance takes no new requests.
struct TimePassed { };

using RequestEvent = std::variant<RequestAdmitted, RequestRefused, PlacementAsked, PlacementGranted, PlacementRefused,
    OwnerLost, PartsReserved, TargetConnected, TargetUnreachable, TargetDeclined, ChunkArrived, AnswerArrived,
    StreamBroken, TargetLeaving, CallerLeft, StopBegun, TimePassed>;

// Commands, to be carried out in order.
struct AskPlacement { // Ask the owner of a cell, outside `excludedTargets()`.
    unsigned attempt { 0 };
    Duration delay {};
};
struct WithdrawPlacement { // Take the question back: nobody waits for its answer.
    unsigned attempt { 0 };
};
struct ReserveParts { // Reserve every part but the first, in order, all or none.
    unsigned attempt { 0 };
};
struct ConnectTarget { // Connect to the first part, and write nothing before WriteRequest.
    unsigned attempt { 0 };
};
struct WriteRequest {
    unsigned attempt { 0 };
    std::uint64_t offset { 0 }; // Tokens that the caller already has; they are appended to the prompt.
};
struct ResumeStream {
    unsigned attempt { 0 };
    std::string target;
    std::uint64_t offset { 0 };
    Duration delay {};
};
struct DeliverChunk { }; // Hand the chunk of this event to the caller.
struct CancelAttempt { // Cancel at each of these targets whatever of the request it may still hold.
    unsigned attempt { 0 };
    std::vector<GrantPart> parts;
};
struct ReleasePlacement { // Tell the owner that the granted placement is no longer used.
    unsigned attempt { 0 };
};
struct CompleteAnswer { }; // The answer is whole; end it towards the caller.
struct RefuseRequest { // The final answer is a refusal; it goes out at once.
    RefusalReason reason { RefusalReason::TargetFailed };
    Ran ran { Ran::Unknown };
    Duration retryAfter {};
};
struct CountRetry {
    RetryReason reason { RetryReason::ConnectFailed };
};
struct CountDroppedChunk { };

using RequestCommand
    = std::variant<AskPlacement, WithdrawPlacement, ReserveParts, ConnectTarget, WriteRequest, ResumeStream,
        DeliverChunk, CancelAttempt, ReleasePlacement, CompleteAnswer, RefuseRequest, CountRetry, CountDroppedChunk>;
using RequestCommands = std::vector<RequestCommand>;

// Decides the life of one request: what is asked, sent, repeated, resumed and cancelled, and its one final answer.
// Pure: events and `now` in, commands out. The deadline is judged before every event, so that a process that was paused
// past it sends nothing any more. Exactly one CompleteAnswer or RefuseRequest is returned over its whole life.
class RequestLifecycle {
public:
    // `retries` must outlive the lifecycle.
    RequestLifecycle(RequestTraits traits, RetryPolicy& retries);
    ~RequestLifecycle();

    RequestCommands handle(const RequestEvent& event, TimePoint now);

    RequestState state() const;

    // True once the final answer was commanded.
    bool isOver() const;

    // The number of the current attempt; 0 before the first.
    unsigned attempt() const;

    // Tokens delivered to the caller so far.
    std::uint64_t deliveredTokens() const;

    // Targets that have failed this request and are not to be granted again.
    const std::vector<std::string>& excludedTargets() const;

    // The placement in use, its first part streaming the answer. Empty when there is none.
    const std::vector<GrantPart>& placement() const;

    // Returns the earliest time at which TimePassed changes anything; TimePoint::max() once the request is over.
    TimePoint nextTick() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine;
};

}
