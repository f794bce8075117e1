#include "serving/ServingCall.h"

#include <algorithm>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

// Part of ServingGateway: serves callers through a peer while this instance reaches no target, and serves the callers
// of such a peer. There is one hop: a request that a peer has relayed is not relayed again.
namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

// Peers through which one request is tried.
constexpr std::size_t MaximumRelays = 3;
// Requests of other instances that are served at the same time. The weakest instances in use serve some 60 short
// prompts a second, which take 1.5 s each.
constexpr unsigned MaximumRelayedRequests = 96;
// Time for which a relayed request waits for the configuration that its sender has.
constexpr Duration ConfigurationWait = std::chrono::milliseconds { 300 };
constexpr Duration ConfigurationCheckPeriod = std::chrono::milliseconds { 10 };

}

// Serves requests of other instances' callers.
class ServingGateway::RelayHandler final : public HttpHandler {
public:
    explicit RelayHandler(ServingGateway& gateway)
        : gateway(gateway)
    {
    }

    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        co_await this->gateway.handleRelayed(exchange);
    }

    HttpResponse makeFaultResponse(HttpFault fault) override
    {
        auto response = this->gateway.makeFaultResponse(fault);
        addRelayRefusal(response, { relay_refusals::Fault, 0, this->gateway.parts.view.version(), {} });
        return response;
    }

private:
    ServingGateway& gateway;
};

// Counts a relayed request for as long as the object exists.
class ServingGateway::RelayedEntry {
public:
    explicit RelayedEntry(unsigned& count)
        : count(count)
    {
        ++this->count;
    }

    ~RelayedEntry()
    {
        --this->count;
    }

    RelayedEntry(const RelayedEntry&) = delete;
    RelayedEntry& operator=(const RelayedEntry&) = delete;

private:
    unsigned& count;
};

void ServingGateway::createRelayHandler()
{
    this->relays = std::make_unique<RelayHandler>(*this);
}

HttpHandler& ServingGateway::relayHandler()
{
    return *this->relays;
}

unsigned ServingGateway::relayedRequests() const
{
    return this->relayedInProgress;
}

asio::awaitable<void> ServingGateway::handleRelayed(HttpExchange& exchange)
{
    const RelayedEntry entry { this->relayedInProgress };
    Call call { exchange, this->parts.clock.now() };
    call.metadata = this->parts.format.callerMetadata(exchange.request());
    call.relayed = relayRequestFrom(exchange.request());
    if (!call.relayed) {
        call.relayed.emplace();
        co_return co_await this->refuse(call, 400, "malformed_relay");
    }
    call.receivedAt -= call.relayed->elapsed;
    this->parts.view.recordKnownVersion(call.relayed->newestKnownVersion, this->parts.clock.bootTime());
    co_await this->waitForConfiguration(call.relayed->configurationVersion);
    const auto refusal = this->relayedRefusal(*call.relayed);
    if (!refusal.empty())
        co_return co_await this->refuse(call, 503, refusal);
    co_await this->process(call);
}

// A new configuration reaches the instances within some round trips of each other.
asio::awaitable<void> ServingGateway::waitForConfiguration(std::uint64_t version)
{
    asio::steady_timer timer { this->parts.context };
    const auto giveUpAt = this->parts.clock.now() + ConfigurationWait;
    while (this->parts.view.version() < version && this->parts.clock.now() < giveUpAt) {
        timer.expires_after(ConfigurationCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

// Why this instance does not serve a request of another one; empty if it does.
std::string_view ServingGateway::relayedRefusal(const RelayRequest& relayed) const
{
    if (this->relayedInProgress > MaximumRelayedRequests)
        return relay_refusals::Busy;
    if (this->parts.view.version() < relayed.configurationVersion)
        return relay_refusals::Outdated;
    return {};
}

// Whether this instance reaches no target of the call's service.
bool ServingGateway::isCutOff(const Call& call) const
{
    return this->parts.relay && this->parts.relay->links.isCutOff(call.service->name);
}

// Whether the request may be sent through a peer that it has not been sent through.
bool ServingGateway::mayRelay(const Call& call) const
{
    return this->isCutOff(call) && !call.relayed && call.triedPeers.size() < MaximumRelays;
}

// Empty if no peer serves the request.
std::optional<TargetChoice> ServingGateway::chooseRelay(const Call& call)
{
    if (!this->mayRelay(call))
        return std::nullopt;
    const auto peer = this->parts.relay->peers.choose(call.service->name, call.triedPeers, this->parts.clock.now());
    if (!peer)
        return std::nullopt;
    TargetChoice choice;
    choice.isRelay = true;
    choice.target.id = *peer;
    choice.target.address = *peer;
    choice.expected = call.route->objective;
    return choice;
}

// Records why a request without a path to any target is refused. Its caller retries at another instance, which may be
// cut off as well, so that the retries are spread.
void ServingGateway::recordCutOff(Call& call)
{
    call.isCutOff = true;
    if (this->callerMayRetry(call))
        call.retryAfter = this->jitteredRetryAfter(call);
    const auto now = this->parts.clock.now();
    this->parts.log.write("not_relayed",
        { { "id", call.metadata.attemptId },
            { "sound_peers", std::uint64_t { this->parts.relay->peers.soundPeers(call.service->name, now) } },
            { "tried_peers", std::uint64_t { call.triedPeers.size() } }, { "relayed", call.relayed.has_value() },
            { "retry_after_ms", call.retryAfter.value_or(Duration::zero()) } });
}

// Sends the request through a peer and waits for the header of the answer.
asio::awaitable<ServingGateway::AttemptResult> ServingGateway::openRelay(Call& call, Attempt& attempt)
{
    auto& relay = *this->parts.relay;
    const auto& peer = attempt.choice.target;
    attempt.relay.emplace(relay.peers, peer.address);
    attempt.begin(call);
    const auto sentAt = this->parts.clock.now();
    const RelayRequest metadata { this->parts.view.version(), sentAt - call.receivedAt, call.runs,
        call.tries > 0 || call.runs > 0, this->parts.view.newestKnownVersion(), this->knownEnds(call) };
    this->parts.log.write("relayed",
        { { "id", call.metadata.attemptId }, { "peer", peer.address },
            { "tried_peers", std::uint64_t { call.triedPeers.size() } }, { "runs", std::uint64_t { call.runs } },
            { "left_ms", this->remaining(call) }, { "version", metadata.configurationVersion } });
    const auto lastEventId = call.stream ? call.stream->lastId() : std::nullopt;
    auto request = this->parts.format.makeRelayRequest(call.exchange.request(), this->remaining(call), lastEventId);
    addRelayRequest(request, metadata);
    const auto isOpen = [&] {
        return !attempt.isSuperseded && !this->hasCallerLeft(call)
            && !this->parts.quarantine.isQuarantined(call.traits);
    };
    TargetWriteGate gate { isOpen, call.runs };
    const auto reuse = call.route->mayRunAgain() ? ConnectionReuse::Allowed : ConnectionReuse::Forbidden;
    auto start = relay.client.start(peer.address, std::move(request), this->remaining(call), reuse, &gate);
    auto answer = co_await this->startUnlessPeerLost(call, peer.address, std::move(start));
    if (attempt.isSuperseded)
        co_return AttemptResult::MayHaveRun;
    if (!answer && !gate.isWritten && (call.hasCallerLeft || this->isQuarantined(call)))
        co_return AttemptResult::NotSent;
    if (!answer) {
        relay.peers.avoid(peer.address, this->parts.clock.now(), RelayPeers::FailureAvoidance);
        this->recordOutcome(call, peer, SendOutcome::Unreachable, name(answer.error()));
        co_return gate.isWritten ? AttemptResult::MayHaveRun : AttemptResult::NotSent;
    }
    attempt.answer.emplace(std::move(answer).value());
    if (!relayRefusalFrom(attempt.answer->header()).empty())
        co_return this->recordPeerRefusal(call, attempt);
    this->applyRelayedAdvice(call, *attempt.answer, sentAt);
    co_return this->checkAnswer(call, attempt, sentAt);
}

// Waits for the header of the answer. If the request may be executed again, the wait ends once the peer is of no use.
asio::awaitable<HttpResult<HttpCall>> ServingGateway::startUnlessPeerLost(
    Call& call, const std::string& peer, asio::awaitable<HttpResult<HttpCall>> start)
{
    using namespace asio::experimental::awaitable_operators;
    if (!call.route->mayRunAgain() || call.runs + 1 >= call.route->maximumAttempts)
        co_return co_await std::move(start);
    auto first = co_await (std::move(start) || this->waitForPeerLoss(call, peer));
    if (first.index() == 0)
        co_return std::get<0>(std::move(first));
    co_return HttpError::Timeout;
}

// Returns once the peer is known to be of no use, a retry has been spent, and the request can go elsewhere.
asio::awaitable<void> ServingGateway::waitForPeerLoss(Call& call, const std::string& peer)
{
    asio::steady_timer timer { this->parts.context };
    while (true) {
        timer.expires_after(RetryCheckPeriod);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = this->parts.clock.now();
        const bool hasOtherWay = !this->isCutOff(call) || this->chooseRelay(call);
        if (this->parts.relay->peers.isSound(peer, call.service->name, now) || !hasOtherWay
            || this->isQuarantined(call))
            continue;
        call.hasSpentRetry = call.hasSpentRetry || this->parts.budget.trySpend(call.service->name, now);
        if (call.hasSpentRetry)
            co_return;
    }
}

ServingGateway::AttemptResult ServingGateway::recordPeerRefusal(Call& call, Attempt& attempt)
{
    const auto& header = attempt.answer->header();
    const auto status = header.result_int();
    const auto refusal = relayRefusalFrom(header);
    const auto response = this->parts.format.responseMetadata(header);
    const std::string reason { refusal.reason };
    const auto& view = this->parts.view;
    const bool isOutdated = isOutdatedDenial(status, refusal, std::max(view.version(), view.newestKnownVersion()));
    this->parts.view.recordKnownVersion(refusal.configurationVersion, this->parts.clock.bootTime());
    this->learnEnds(call, refusal.ends, attempt.choice.target.address);
    attempt.answer->discard();
    call.currentTargets.erase(attempt.choice.target.id);
    this->parts.log.write("relay_refused",
        { { "id", call.metadata.attemptId }, { "peer", attempt.choice.target.address }, { "reason", reason },
            { "status", std::uint64_t { status } }, { "runs", std::uint64_t { refusal.runs } },
            { "peer_version", refusal.configurationVersion }, { "version", this->parts.view.version() },
            { "retry_after_ms", response.retryAfter.value_or(Duration::zero()) } });
    const bool mayHaveRun = status == 502 || status == 504;
    if (mayHaveRun) {
        // The attempt itself counts already.
        call.runs += std::max(1U, refusal.runs) - 1;
        return AttemptResult::MayHaveRun;
    }
    --call.runs;
    if (isOutdated || mayRelayElsewhere(reason)) {
        const bool isTransient = isOutdated || reason == relay_refusals::Busy || reason == relay_refusals::Outdated
            || reason == relay_refusals::Fault;
        this->parts.relay->peers.avoid(attempt.choice.target.address, this->parts.clock.now(),
            isTransient ? RelayPeers::BusyAvoidance : RelayPeers::FailureAvoidance);
        return AttemptResult::NotSent;
    }
    call.peerRefusal = { status, reason };
    if (response.retryAfter)
        call.retryAfter = response.retryAfter;
    return AttemptResult::NotRun;
}

// Applies what the target says of itself in an answer that came through a peer.
void ServingGateway::applyRelayedAdvice(const Call& call, const HttpCall& answer, TimePoint sentAt)
{
    const auto* found = this->parts.view.targets.find(relayTargetFrom(answer.header()));
    if (!found)
        return;
    const auto target = *found;
    this->advice.targetAnswered(
        target, this->parts.format.responseMetadata(answer.header()), call.metadata.attemptId, sentAt);
}

// The header of the target's answer, as the caller or the instance that relayed the request gets it.
HttpResponseHeader ServingGateway::forwardedHeader(const Call& call, const HttpCall& answer, const TargetEntry& target)
{
    auto header = this->parts.format.makeCallerHeader(answer.header());
    eraseRelayHeaders(header);
    if (call.relayed)
        addRelayTarget(header, target.id);
    return header;
}

}
