#pragma once

#include "serving/ServingGateway.h"

namespace marigoldpaddle {

// Refusal of a peer that served a request of this instance's caller.
struct PeerRefusal {
    unsigned status { 503 };
    std::string reason;
};

// Allows the write unless the caller has left, the target began to leave, asked for a pause or stated a limit, or the
// prompt was found to end targets, while the connection or memory was awaited. Counts the attempts that may be
// executed: those that were written.
class TargetWriteGate final : public WriteGate {
public:
    TargetWriteGate(std::function<bool()> isOpen, unsigned& runs)
        : isOpen(std::move(isOpen))
        , runs(runs)
    {
    }

    bool mayWrite() override
    {
        this->isWritten = this->isOpen();
        this->isHeldBack = !this->isWritten;
        if (this->isWritten)
            ++this->runs;
        return this->isWritten;
    }

    bool isWritten { false };
    bool isHeldBack { false };

private:
    std::function<bool()> isOpen;
    unsigned& runs;
};

// Interval between attempts to find another target for a request whose target is late or silent.
inline constexpr Duration RetryCheckPeriod = std::chrono::milliseconds { 250 };

// Retry-After without a better estimate: by then, a full engine has finished an answer.
inline constexpr Duration DefaultRetryAfter = std::chrono::milliseconds { 300 };

inline bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

// Whether the answer is a failure of the target, which the caller gets only if no other target serves the request.
inline bool isTargetFailure(unsigned status)
{
    return status >= 500;
}

// Otherwise the answer ends with its connection, which may also end because the target does.
inline bool isFramed(const HttpResponseHeader& header)
{
    return header.chunked() || header.has_content_length();
}

// Whether the answer continues a stream that has begun. Its events are checked as they arrive.
inline bool mayContinueStream(const HttpResponseHeader& header)
{
    constexpr std::string_view EventType = "text/event-stream";
    const auto type = header[boost::beast::http::field::content_type];
    return isSuccess(header.result_int())
        && (type.empty() || boost::beast::iequals(type.substr(0, EventType.size()), EventType));
}

// State of one caller's request in the gateway.
struct ServingGateway::Call {
    Call(HttpExchange& exchange, TimePoint now)
        : exchange(exchange)
        , receivedAt(now)
        , arrivedAt(now)
    {
    }

    // Attempts that may have been executed, over all instances.
    unsigned allRuns() const
    {
        return this->runs + (this->relayed ? this->relayed->runs : 0);
    }

    // Tries that count towards the limit.
    unsigned countedTries() const
    {
        return this->tries - this->failedConnects;
    }

    HttpExchange& exchange;
    TimePoint receivedAt; // By the instance that the caller is connected to.
    TimePoint arrivedAt; // At this instance.
    TimePoint deadline { TimePoint::max() };
    CallerMetadata metadata;
    std::shared_ptr<const ActiveConfiguration> configuration;
    std::vector<std::uint64_t> sharedParts; // Hashes of the metadata's, and of the request without its query.
    std::vector<std::uint64_t> traits; // By which the quarantine finds the request: `sharedParts` and `fingerprint`.
    std::uint64_t fingerprint { 0 }; // Of the request; equal if it comes again.
    const Route* route { nullptr };
    const ServiceProfile* service { nullptr };
    std::string workspace;
    std::set<std::string> tried;
    std::set<std::string> declinedBy; // Targets that have answered that they did not execute the request.
    std::set<std::string> currentTargets; // Ids of the targets that have the request now.
    unsigned tries { 0 };
    unsigned failedConnects { 0 }; // Tries whose targets accepted no connection. They reached nobody.
    unsigned runs { 0 }; // Attempts that may have been executed, including those in progress.
    bool hasSpentRetry { false }; // A retry was spent before the attempt that it replaces ended.
    std::optional<Duration> retryAfter; // Retry-After of a refusal, if it differs from the default.
    std::optional<HttpResponse> targetFailure; // Forwarded if no other attempt succeeds.
    std::optional<EventStream> stream; // Set once events may reach the caller.
    TimePoint lastEventAt {};
    Duration longestGap {}; // Between two chunks of the answer.
    std::optional<RelayRequest> relayed; // Set if another instance received the request from its caller.
    std::set<std::string> triedPeers; // Through which this instance has relayed the request.
    std::optional<PeerRefusal> peerRefusal; // A peer's refusal that no other peer would change.
    bool isCutOff { false }; // No target can be reached, and no peer serves the request.
    bool hasResponseStarted { false }; // The caller has received bytes of the answer, or is about to.
    bool hasNoCapacity { false }; // Targets exist, but none could take the request in time.
    bool isQuarantined { false }; // Targets end under a part of the prompt.
    bool isRefusedByShutdown { false }; // The instance shuts down before the request could be placed.
    bool hasCallerLeft { false }; // Found before a send, so that the request was not sent.
    bool isAbandoned { false }; // The caller is gone or its deadline has passed: outcomes no longer count.
    bool isFinished { false };
};

// One attempt at a target, from its placement to the end of the answer.
struct ServingGateway::Attempt {
    Attempt(boost::asio::io_context& context, TargetChoice choice)
        : choice(std::move(choice))
        , changed(context, TimePoint::max())
    {
    }

    // The targets of a call that was cut off are kept for its log.
    ~Attempt()
    {
        if (this->call && !this->call->isAbandoned)
            this->call->currentTargets.erase(this->choice.target.id);
    }

    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    // The target has the request from now on.
    void begin(Call& call)
    {
        this->call = &call;
        call.currentTargets.insert(this->choice.target.id);
    }

    // Another attempt answers. The attempts that are being opened in place of this one have no effect any more.
    void supersedeSuccessors() const
    {
        for (const auto* late = this; late->successor && *late->successor; late = late->successor->get())
            (*late->successor)->isSuperseded = true;
    }

    TargetChoice choice;
    Call* call { nullptr }; // Set once the attempt is being opened.
    std::vector<LedgerEntry> work;
    std::optional<MemoryLease> lease;
    std::optional<RequestPermit> permit; // Set once the attempt is being opened.
    std::optional<RelayPeers::Permit> relay; // Set for an attempt through a peer.
    std::optional<HttpCall> answer; // Set once the target answers.
    std::optional<std::string> unread; // Read ahead of its relay.
    std::optional<std::uint64_t> lastIdBefore; // Of the last event before this attempt's.
    TimePoint sentAt {}; // From then on the answer is awaited, also while the connection is established.
    TimePoint progressAt {}; // Time of the last whole events.
    TimePoint nextEventBy {}; // The target counts as silent from then on.
    std::uint64_t progress { 0 }; // Incremented when the answer begins, and with `progressAt`.
    bool isWritten { false }; // The target may execute the request.
    bool isLate { false }; // Its target counts as unreachable.
    bool isStream { false }; // Its events are relayed.
    bool isSuccessor { false }; // It is opened in place of another one. A stream counts with its first event.
    bool continuesStream { false }; // The same, in place of one whose events are relayed.
    bool hasEvents { false };
    bool hasFailed { false }; // Its outcome is recorded.
    bool isSuperseded { false }; // Another attempt answers; this one has no effect any more.
    bool isSeekingSuccessor { false }; // It is late or silent, and another target may answer in its place.
    std::unique_ptr<Attempt>* successor { nullptr }; // The attempt that is being opened meanwhile.
    boost::asio::steady_timer changed; // Cancelled when `sentAt`, `progress` or `isSeekingSuccessor` changes.
};

}
