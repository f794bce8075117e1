#include "request/RequestMachine.h"

namespace marigoldpaddle {

std::string_view name(RequestState state)
{
    switch (state) {
    case RequestState::Received:
        return "received";
    case RequestState::Admitted:
        return "admitted";
    case RequestState::Queued:
        return "queued";
    case RequestState::Granted:
        return "granted";
    case RequestState::Sent:
        return "sent";
    case RequestState::Streaming:
        return "streaming";
    case RequestState::Resuming:
        return "resuming";
    case RequestState::Finished:
        return "finished";
    case RequestState::Failed:
        return "failed";
    }
    return "invalid";
}

class RequestLifecycle::Machine : public boost::msm::back::state_machine<internal::RequestMachine> {
public:
    using boost::msm::back::state_machine<internal::RequestMachine>::state_machine;

    RequestCommands takeCommands()
    {
        return std::exchange(this->commands, {});
    }

    void endAfterDeadline()
    {
        if (this->now >= this->traits.deadline)
            this->process_event(internal::RequestEnded { RefusalReason::DeadlineExceeded });
    }

    void process(const CallerDisconnected&)
    {
        this->process_event(internal::RequestEnded { RefusalReason::CallerDisconnected });
    }

    void process(const PlacementGranted& event)
    {
        if (event.attempt == this->attempt && this->isAwaitingPlacement() && !event.parts.empty())
            this->process_event(event);
        else
            this->releaseLateGrant(event);
    }

    void process(const ChunkArrived& event)
    {
        if (!this->isNextChunk(event)) {
            this->commands.push_back(CountDroppedChunk {});
            if (event.isFinal && this->isForCurrentAttempt(event))
                this->process_event(StreamBroken { event.attempt, true });
            return;
        }
        this->delivered += event.tokens;
        this->recordProgress(event.tokens);
        this->commands.push_back(DeliverChunk {});
        if (event.isFinal)
            this->process_event(internal::FinalChunkAccepted {});
        else if (this->currentState != RequestState::Streaming)
            this->process_event(internal::ChunkAccepted {});
    }

    template <typename Event> void process(const Event& event)
    {
        if constexpr (requires { event.attempt; }) {
            if (event.attempt != this->attempt)
                return;
        }
        this->process_event(event);
    }

private:
    bool isForCurrentAttempt(const ChunkArrived& event) const
    {
        return this->isAwaitingTokens() && event.id == this->traits.id && event.attempt == this->attempt;
    }

    bool isNextChunk(const ChunkArrived& event) const
    {
        return this->isForCurrentAttempt(event) && event.offset == this->delivered;
    }

    void recordProgress(std::uint64_t tokens)
    {
        if (tokens == 0)
            return;
        this->attemptsSinceProgress = 1;
        this->didResumeWithoutProgress = false;
    }

    // Releases a grant that arrived too late to be used. Ignores a duplicate of the grant that is in use.
    void releaseLateGrant(const PlacementGranted& event)
    {
        const bool isInUse = !this->placement.empty() && event.attempt == this->placementAttempt;
        if (isInUse)
            return;
        this->commands.push_back(ReleasePlacement { event.attempt });
        if (event.parts.empty())
            this->process(OwnerUnavailable { event.attempt });
    }
};

RequestLifecycle::RequestLifecycle(RequestTraits traits, RetryPolicy& retries)
    : machine(std::make_unique<Machine>(std::move(traits), boost::ref(retries)))
{
    this->machine->start();
}

RequestLifecycle::~RequestLifecycle() = default;

RequestCommands RequestLifecycle::handle(const RequestEvent& event, TimePoint now)
{
    this->machine->now = now;
    this->machine->endAfterDeadline();
    std::visit([&](const auto& each) { this->machine->process(each); }, event);
    return this->machine->takeCommands();
}

RequestState RequestLifecycle::state() const
{
    return this->machine->currentState;
}

bool RequestLifecycle::isOver() const
{
    return this->machine->isOver();
}

unsigned RequestLifecycle::attempt() const
{
    return this->machine->attempt;
}

std::uint64_t RequestLifecycle::deliveredTokens() const
{
    return this->machine->delivered;
}

const std::vector<std::string>& RequestLifecycle::excludedTargets() const
{
    return this->machine->excluded;
}

const std::vector<GrantPart>& RequestLifecycle::placement() const
{
    return this->machine->placement;
}

TimePoint RequestLifecycle::nextTick() const
{
    if (this->isOver())
        return TimePoint::max();
    const auto deadline = this->machine->traits.deadline;
    return this->state() == RequestState::Granted ? std::min(deadline, this->machine->expiry) : deadline;
}

}
