#include "gateway/Gateway.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/algorithm/hex.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <openssl/sha.h>

#include "gateway/CompletionRelay.h"
#include "membership/Ownership.h"
#include "rpc/Conversions.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
constexpr std::chrono::seconds RetryAfter { 1 };
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(hex));
    return hex;
}

std::string fieldOf(const HttpRequest& request, std::string_view field)
{
    const auto found = request.find({ field.data(), field.size() });
    return found == request.end() ? std::string {} : std::string { found->value() };
}

std::string serviceOf(std::string_view target)
{
    target.remove_prefix(ServicesPrefix.size());
    return std::string { target.substr(0, target.find_first_of("/?")) };
}

}

struct Gateway::Admission {
    std::shared_ptr<const Preset> preset;
    WorkspaceSettings workspace;
    TimePoint deadline {};
};

Gateway::Gateway(asio::io_context& context, const Clock& clock, GatewaySettings settings, GatewayView& view,
    RpcClient& rpc, HttpClient& client, MetricsRegistry& metrics)
    : context(context)
    , clock(clock)
    , settings(std::move(settings))
    , view(view)
    , rpc(rpc)
    , client(client)
    , metrics(metrics)
{
}

void Gateway::beginPlannedStop()
{
    this->isStopping = true;
}

asio::awaitable<void> Gateway::handle(HttpExchange& exchange)
{
    const std::string_view target { exchange.request().target().data(), exchange.request().target().size() };
    if (target == "/v1/completions") {
        co_await this->handleCompletion(exchange, false);
    } else if (target == "/v1/chat/completions") {
        co_await this->handleCompletion(exchange, true);
    } else if (target.starts_with(ServicesPrefix)) {
        co_await this->handleService(exchange);
    } else {
        auto response = this->healthAnswer(target);
        co_await exchange.respond(std::move(response));
    }
}

HttpResponse Gateway::describeFault(HttpFault fault)
{
    Problem problem;
    if (fault == HttpFault::BodyTooLarge || fault == HttpFault::HeaderTooLarge)
        problem.reason = RefusalReason::RequestTooLarge;
    if (fault == HttpFault::TooSlow)
        problem.reason = RefusalReason::RequestTimeout;
    const auto label = "reason=\"" + std::string { name(problem.reason) } + "\"";
    this->metrics.counter("marigold_gateway_refusals_total", label).increment();
    return problemResponse(problem);
}

std::optional<Problem> Gateway::admit(const HttpRequest& request, Admission& admission) const
{
    admission.preset = this->view.preset();
    if (!admission.preset)
        return Problem { RefusalReason::NotReady, Ran::No, RetryAfter, "no preset is in force yet" };
    const auto authorization = fieldOf(request, "Authorization");
    if (!authorization.starts_with(BearerPrefix))
        return Problem { RefusalReason::Unauthenticated, Ran::No, {}, "a bearer key is required" };
    const auto workspace
        = admission.preset->workspacesByKeyDigest.find(sha256Hex(authorization.substr(BearerPrefix.size())));
    if (workspace == admission.preset->workspacesByKeyDigest.end())
        return Problem { RefusalReason::Unauthenticated, Ran::No, {}, "the bearer key belongs to no workspace" };
    admission.workspace = workspace->second;
    auto allowed = admission.preset->defaultAllowedTime;
    const auto field = fieldOf(request, "X-Allowed-Time-Ms");
    if (!field.empty()) {
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), milliseconds);
        if (error != std::errc {} || end != field.data() + field.size() || milliseconds < 1)
            return Problem { RefusalReason::InvalidAllowedTime, Ran::No, {},
                "X-Allowed-Time-Ms must be a positive whole number" };
        allowed = std::min<Duration>(std::chrono::milliseconds { std::min<std::int64_t>(milliseconds, 86'400'000) },
            admission.preset->maximumAllowedTime);
    }
    admission.deadline = this->clock.now() + allowed;
    return std::nullopt;
}

asio::awaitable<void> Gateway::handleCompletion(HttpExchange& exchange, bool isChat)
{
    using namespace asio::experimental::awaitable_operators;
    Admission admission;
    auto problem = this->admit(exchange.request(), admission);
    if (problem) {
        co_await this->refuse(exchange, std::move(*problem));
        co_return;
    }
    RequestProblem fault;
    auto parsed = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<CompletionRequest>> {
            BOOST_LEAF_AUTO(completion, parseCompletion(exchange.request().body(), isChat));
            return std::optional { std::move(completion) };
        },
        [&](const RequestProblem& found) {
            fault = found;
            return std::optional<CompletionRequest> {};
        },
        [] { return std::optional<CompletionRequest> {}; });
    if (parsed && !admission.preset->models.contains(parsed->model)) {
        fault = { RefusalReason::UnknownModel, "there is no model " + parsed->model };
        parsed.reset();
    }
    if (!parsed) {
        Problem refused { fault.reason, Ran::No, {}, fault.detail };
        co_await this->refuse(exchange, std::move(refused));
        co_return;
    }
    CompletionRelay::Dependencies dependencies { this->clock, this->view, this->rpc, this->client, this->metrics,
        this->settings };
    CompletionRelay relay { dependencies, exchange, std::move(*parsed), this->nextRequestId(), admission.workspace,
        admission.deadline };
    asio::steady_timer timer { this->context, admission.deadline };
    auto outcome = co_await (relay.run() || timer.async_wait(asio::use_awaitable) || exchange.waitUntilCallerIsGone());
    if (outcome.index() == 0)
        problem = std::get<0>(outcome);
    else if (outcome.index() == 1)
        problem = Problem { RefusalReason::DeadlineExceeded, Ran::Unknown, RetryAfter, "the allowed time is over" };
    else
        problem = Problem { RefusalReason::CallerGone, Ran::Unknown, {}, {} };
    if (problem && relay.didStart()) {
        const auto event = "data: {\"error\":" + problemJson(*problem) + "}\n\n";
        if (co_await exchange.write(event))
            co_await exchange.endStream();
    } else if (problem) {
        co_await this->refuse(exchange, std::move(*problem));
    }
    co_await relay.cleanUp();
}

asio::awaitable<void> Gateway::handleService(HttpExchange& exchange)
{
    Admission admission;
    auto problem = this->admit(exchange.request(), admission);
    const std::string_view target { exchange.request().target().data(), exchange.request().target().size() };
    const auto service = serviceOf(target);
    if (!problem && !admission.preset->services.contains(service))
        problem = Problem { RefusalReason::UnknownService, Ran::No, {}, "there is no service " + service };
    const auto& services = this->view.services();
    const auto found = std::ranges::find(services, service, &ServiceTarget::service);
    if (!problem && found == services.end())
        problem = Problem { RefusalReason::NoTarget, Ran::No, RetryAfter, "no live target of this service" };
    if (problem) {
        co_await this->refuse(exchange, std::move(*problem));
        co_return;
    }
    const auto address = found->address;
    const auto id = this->nextRequestId();
    const auto key = fieldOf(exchange.request(), "Idempotency-Key");
    const auto* owner = key.empty()
        ? nullptr
        : rendezvousOwner(admission.workspace.name + "/" + service + "/" + key, this->view.members());
    const auto ownerAddress = owner ? owner->dispatcherAddress : std::string {};
    if (!key.empty()) {
        wire::ClaimRequest claim;
        claim.workspace = admission.workspace.name;
        claim.serviceName = service;
        claim.key = key;
        claim.bodyDigest = sha256Hex(exchange.request().body());
        claim.requestId = id.value;
        claim.holder = toWire(this->settings.instance);
        claim.remainingMs = remainingMs(admission.deadline, this->clock.now());
        wire::Payload payload;
        payload.__set_claim(claim);
        auto answer = co_await this->rpc.call(ownerAddress, std::move(payload), admission.deadline - this->clock.now());
        const auto verdict = answer ? answer.value().claimAnswer.verdict : wire::ClaimVerdict::Unavailable;
        if (verdict == wire::ClaimVerdict::Repeated) {
            const auto& stored = answer.value().claimAnswer.outcome;
            auto response = makeResponse(static_cast<unsigned>(stored.status), stored.contentType, stored.body);
            co_await exchange.respond(std::move(response));
            co_return;
        }
        if (verdict == wire::ClaimVerdict::Mismatch)
            problem = Problem { RefusalReason::KeyReused, Ran::No, {}, "the key was used with another body" };
        else if (verdict == wire::ClaimVerdict::InProgress)
            problem = Problem { RefusalReason::KeyInProgress, Ran::Unknown, RetryAfter, {} };
        else if (verdict == wire::ClaimVerdict::Unknown)
            problem = Problem { RefusalReason::OutcomeUnknown, Ran::Unknown, {}, {} };
        else if (verdict == wire::ClaimVerdict::Unavailable)
            problem = Problem { RefusalReason::ClaimsUnavailable, Ran::No, RetryAfter, {} };
        if (problem) {
            co_await this->refuse(exchange, std::move(*problem));
            co_return;
        }
    }
    auto forwarded = exchange.request();
    forwarded.target(target.substr(ServicesPrefix.size() + service.size() - 1));
    forwarded.set("X-Request-Id", id.value);
    forwarded.erase(http::field::authorization);
    auto answer = co_await this->client.call(
        address, std::move(forwarded), admission.deadline - this->clock.now(), ConnectionReuse::Forbidden);
    if (!answer) {
        const auto ran = answer.error() == HttpError::ConnectFailed ? Ran::No : Ran::Unknown;
        Problem failed { RefusalReason::TargetFailed, ran, RetryAfter, {} };
        co_await this->refuse(exchange, std::move(failed));
        co_return;
    }
    if (!key.empty()) {
        wire::ClaimSettlement settlement;
        settlement.workspace = admission.workspace.name;
        settlement.serviceName = service;
        settlement.key = key;
        settlement.requestId = id.value;
        wire::CallOutcome outcome;
        outcome.status = static_cast<std::int32_t>(answer.value().result_int());
        outcome.contentType = std::string { answer.value()[http::field::content_type] };
        outcome.body = answer.value().body();
        settlement.__set_outcome(outcome);
        wire::Payload payload;
        payload.__set_settle(settlement);
        const auto sent = co_await this->rpc.notify(ownerAddress, std::move(payload));
        if (!sent)
            this->metrics.counter("marigold_gateway_notices_lost_total").increment();
    }
    auto response = makeResponse(answer.value().result_int(), std::string { answer.value()[http::field::content_type] },
        std::move(answer.value().body()));
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> Gateway::refuse(HttpExchange& exchange, Problem problem)
{
    const auto label = "reason=\"" + std::string { name(problem.reason) } + "\"";
    this->metrics.counter("marigold_gateway_refusals_total", label).increment();
    auto response = problemResponse(problem);
    co_await exchange.respond(std::move(response));
}

HttpResponse Gateway::healthAnswer(std::string_view target)
{
    if (target == "/healthz") {
        const auto preset = this->view.preset();
        const auto body = json::serialize(json::object { { "instance", this->settings.instance.name },
            { "preset", preset ? preset->name : std::string {} },
            { "configuration_offset", this->view.configurationOffset() } });
        return makeResponse(StatusOk, "application/json", body + "\n");
    }
    if (target == "/readyz") {
        const auto isReady = !this->isStopping && this->view.preset() && !this->view.cells().empty();
        return isReady ? makeResponse(StatusOk, "text/plain", "ready\n")
                       : makeResponse(StatusUnavailable, "text/plain", "not ready\n");
    }
    if (target == "/metrics")
        return makeResponse(StatusOk, "text/plain; version=0.0.4", this->metrics.exposition());
    return makeResponse(StatusNotFound, "text/plain", "no such path\n");
}

RequestId Gateway::nextRequestId()
{
    return { this->settings.instance.name + "-" + std::to_string(this->settings.instance.incarnation) + "-"
        + std::to_string(++this->lastRequest) };
}

}
