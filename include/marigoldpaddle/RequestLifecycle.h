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
    Received, // Not yet admitted by the filters.
    Admitted, // A placement is about to be requested.
    Queued, // The owner of the cell has the request in its queue.
    Granted, // Has a placement. No byte has been written to the target.
    Sent, // Bytes may have been written. No part of the answer has arrived.
    Streaming,
    Resuming, // The stream was interrupted and is being resumed on the same target.
    Finished, // The complete answer was delivered. Final.
    Failed, // A refusal was delivered. Final.
};

std::string_view name(RequestState state);

// The properties of a request that never change.
struct RequestTraits {
    RequestId id;
    // Whether the request may be sent again although a target may have executed an earlier attempt; true for prompts.
    bool isIdempotent { true };
    bool isResumable { true }; // The answer is a stream of tokens that can be resumed at a token offset.
    TimePoint deadline {};
};

// Events. An event that belongs to an attempt carries the attempt's number. Events of other attempts are out of date
// and have no effect.
struct RequestAdmitted { };
struct RequestRefused { // Rejected by a filter, before a dispatcher or target was contacted.
    RefusalReason reason { RefusalReason::MalformedRequest };
    Duration retryAfter {};
};
struct PlacementRequested { // A cell was chosen and its owner is being asked for a placement.
    unsigned attempt { 0 };
};
struct PlacementGranted {
    unsigned attempt { 0 };
    std::vector<GrantPart> parts;
    TimePoint expiry {}; // The request must have been written by this time.
};
struct PlacementRefused {
    unsigned attempt { 0 };
    RefusalReason reason { RefusalReason::Overloaded };
    Duration retryAfter {};
};
struct OwnerUnavailable { // The owner of the cell left, was replaced or could not be reached.
    unsigned attempt { 0 };
};
struct PartsReserved { // All parts of a span but the first have been reserved.
    unsigned attempt { 0 };
};
struct TargetConnected {
    unsigned attempt { 0 };
};
struct TargetUnreachable { // No byte was written to the target.
    unsigned attempt { 0 };
    std::string target;
};
struct TargetDeclined { // The target rejected the request without executing it.
    unsigned attempt { 0 };
    std::string target;
};
struct ChunkArrived {
    RequestId id;
    unsigned attempt { 0 };
    std::uint64_t offset { 0 }; // Number of tokens of the answer before this chunk.
    std::uint64_t tokens { 0 };
    bool isFinal { false };
};
struct AnswerArrived { // The complete answer to a request that does not stream.
    unsigned attempt { 0 };
};
struct StreamBroken { // The connection ended before the final marker of the answer.
    unsigned attempt { 0 };
    bool isHeldByTarget { true }; // False if the target answered that it has no such stream.
};
struct TargetLeaving {
    std::string target;
};
struct CallerDisconnected { }; // The caller has disconnected.
struct ShutdownStarted { }; // A graceful shutdown of the instance has begun: it accepts no new requests.
struct TimerExpired { }; // The time returned by nextTick() was reached.

using RequestEvent = std::variant<RequestAdmitted, RequestRefused, PlacementRequested, PlacementGranted,
    PlacementRefused, OwnerUnavailable, PartsReserved, TargetConnected, TargetUnreachable, TargetDeclined, ChunkArrived,
    AnswerArrived, StreamBroken, TargetLeaving, CallerDisconnected, ShutdownStarted, TimerExpired>;

// Commands, to be executed in order.
struct RequestPlacement { // Request a placement from the owner of a cell, without the `excludedTargets()`.
    unsigned attempt { 0 };
    Duration delay {}; // Back-off before the request is sent.
};
struct WithdrawPlacement { // Withdraw the placement request: its answer is no longer needed.
    unsigned attempt { 0 };
};
struct ReserveParts { // Reserve all parts but the first, in order, all or none.
    unsigned attempt { 0 };
};
struct ConnectTarget { // Connect to the target of the first part. Nothing is written before WriteRequest.
    unsigned attempt { 0 };
};
struct WriteRequest {
    unsigned attempt { 0 };
    std::uint64_t offset { 0 }; // Number of tokens already delivered to the caller. They are appended to the prompt.
};
struct ResumeStream { // Resume the interrupted stream on the same target.
    unsigned attempt { 0 };
    std::string target;
    std::uint64_t offset { 0 }; // Number of tokens already delivered to the caller.
    Duration delay {}; // Back-off before the target is contacted.
};
struct DeliverChunk { }; // Deliver the chunk of the event to the caller.
struct CancelAttempt { // Cancel any allocation that the request may have on these targets.
    unsigned attempt { 0 };
    std::vector<GrantPart> parts;
};
struct ReleasePlacement { // Notify the owner of the cell that the placement is no longer used.
    unsigned attempt { 0 };
};
struct CompleteAnswer { }; // The answer is complete: end the response to the caller.
struct RefuseRequest { // Send this refusal to the caller as the final answer, without delay.
    RefusalReason reason { RefusalReason::TargetFailed };
    ExecutionStatus ran { ExecutionStatus::Unknown };
    Duration retryAfter {};
};
struct CountRetry { // Increment the retry counter of this reason.
    RetryReason reason { RetryReason::ConnectFailed };
};
struct CountDroppedChunk { }; // Increment the counter of dropped chunks.

using RequestCommand
    = std::variant<RequestPlacement, WithdrawPlacement, ReserveParts, ConnectTarget, WriteRequest, ResumeStream,
        DeliverChunk, CancelAttempt, ReleasePlacement, CompleteAnswer, RefuseRequest, CountRetry, CountDroppedChunk>;
using RequestCommands = std::vector<RequestCommand>;

// State machine for one request: placement, sending, retries, resumption, cancellation and the final answer. Pure:
// takes events and the current time and returns commands, without I/O. The deadline is checked before every event, so a
// process that was paused past the deadline sends nothing afterwards. Exactly one CompleteAnswer or RefuseRequest is
// returned for each request. Not thread-safe.
class RequestLifecycle {
public:
    // `retries` must outlive the lifecycle.
    RequestLifecycle(RequestTraits traits, RetryPolicy& retries);
    ~RequestLifecycle();

    RequestCommands handle(const RequestEvent& event, TimePoint now);

    RequestState state() const;

    // Returns whether CompleteAnswer or RefuseRequest has been returned.
    bool isOver() const;

    // Returns the number of the current attempt; 0 before the first.
    unsigned attempt() const;

    // Returns the number of tokens delivered to the caller so far.
    std::uint64_t deliveredTokens() const;

    // Returns the targets that failed an attempt of this request. They should not be granted again.
    const std::vector<std::string>& excludedTargets() const;

    // Returns the current placement; empty if there is none. The target of the first part streams the answer.
    const std::vector<GrantPart>& placement() const;

    // Returns the earliest time at which TimerExpired has an effect; TimePoint::max() once the request is over.
    TimePoint nextTick() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine;
};

}
