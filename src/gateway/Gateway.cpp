#include "gateway/Gateway.h"

#include <marigoldpaddle/OrphanReclaimer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include "gateway/AdmissionFilters.h"
#include "gateway/PlacementFilters.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
constexpr std::string_view CallerPathPrefixes[] = { "/v1/completions", "/v1/chat/completions", "/services/" };

bool isCallerPath(std::string_view target)
{
    return std::ranges::any_of(CallerPathPrefixes, [&](std::string_view prefix) { return target.starts_with(prefix); });
}

RefusalReason refusalReasonFor(HttpFault fault)
{
    switch (fault) {
    case HttpFault::BodyTooLarge:
    case HttpFault::HeaderTooLarge:
        return RefusalReason::RequestTooLarge;
    case HttpFault::TooSlow:
        return RefusalReason::RequestTimeout;
    case HttpFault::NoMemory:
    case HttpFault::TooManyConnections:
        return RefusalReason::Overloaded;
    case HttpFault::Malformed:
        break;
    }
    return RefusalReason::MalformedRequest;
}

}

Gateway::Gateway(asio::io_context& context, const Clock& clock, GatewaySettings settings, ClusterView& view,
    RpcClient& rpc, HttpClient& client, MetricsRegistry& metrics)
    : context(context)
    , clock(clock)
    , settings(std::move(settings))
    , view(view)
    , registry(metrics)
    , metrics(metrics)
    , random(this->settings.randomSeed)
    , retryPolicy(RetryLimits {}, this->random)
    , tasks(context)
    , heldPlacements(clock, this->settings.instance, view, rpc, this->metrics, this->tasks)
    , cellSelector(this->settings.availabilityZone, this->random)
    , cellPlacer(this->settings.instance, view, rpc, this->cellSelector, this->heldPlacements)
    , engineForwarder(client, this->tasks)
    , servicePlacer(this->settings.availabilityZone, view, this->random)
    , serviceForwarder(client)
    , claimFilter(this->settings.instance, view, rpc, this->tasks)
{
    this->admissionFilters.push_back(std::make_unique<ParseFilter>());
    this->admissionFilters.push_back(std::make_unique<AuthenticateFilter>(view));
    this->admissionFilters.push_back(std::make_unique<EstimateFilter>());
    this->admissionFilters.push_back(std::make_unique<AdmitFilter>());
    this->forwardingFilters.push_back(std::make_unique<AcquireFilter>(view));
    this->forwardingFilters.push_back(std::make_unique<RelayFilter>());
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    asio::co_spawn(this->context, this->heldPlacements.announce(), asio::detached);
}

void Gateway::beginGracefulShutdown()
{
    LOG(INFO) << "graceful shutdown started";
    this->isStopping = true;
}

asio::awaitable<void> Gateway::finishBackgroundTasks()
{
    return this->tasks.waitUntilIdle();
}

asio::awaitable<void> Gateway::handle(HttpExchange& exchange)
{
    const std::string target { exchange.request().target() };
    if (!isCallerPath(target)) {
        auto response = this->operatorResponse(target);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    GatewayRequest request { exchange, this->nextRequestId(), this->clock, this->metrics };
    co_await this->serve(request);
}

HttpResponse Gateway::makeFaultResponse(HttpFault fault)
{
    Problem problem;
    problem.reason = refusalReasonFor(fault);
    this->metrics.countRefusal(problem.reason);
    return problemResponse(problem);
}

asio::awaitable<void> Gateway::serve(GatewayRequest& request)
{
    request.problem = co_await this->admit(request);
    if (!request.problem && !request.storedResponse) {
        request.start(this->retryPolicy);
        co_await this->forward(request);
    }
    this->claimFilter.settle(request);
    co_await this->respond(request);
}

asio::awaitable<std::optional<Problem>> Gateway::admit(GatewayRequest& request)
{
    for (const auto& filter : this->admissionFilters) {
        auto problem = co_await filter->apply(request);
        if (problem)
            co_return problem;
    }
    if (request.completion) {
        request.placer = &this->cellPlacer;
        request.forwarder = &this->engineForwarder;
        request.completionWriter
            = std::make_unique<CompletionWriter>(request.exchange, *request.completion, request.id);
    } else {
        request.placer = &this->servicePlacer;
        request.forwarder = &this->serviceForwarder;
    }
    co_return co_await this->claimFilter.apply(request);
}

// Runs the filters until the request ends, its deadline passes or its caller disconnects, whichever comes first. The
// two watches end the lifecycle before the filters are cancelled, so that events from the cancelled filters have no
// effect.
asio::awaitable<void> Gateway::forward(GatewayRequest& request)
{
    using namespace asio::experimental::awaitable_operators;
    co_await (this->runFilters(request) || this->watchDeadline(request) || this->watchCallerConnection(request));
    request.placer->releaseAll(request);
}

asio::awaitable<void> Gateway::runFilters(GatewayRequest& request)
{
    while (!request.isOver())
        for (const auto& filter : this->forwardingFilters)
            co_await filter->apply(request);
}

asio::awaitable<void> Gateway::watchDeadline(GatewayRequest& request)
{
    boost::system::error_code failure;
    while (!request.isOver()) {
        asio::steady_timer timer { this->context, request.deadline };
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        request.handle(TimerExpired {});
    }
}

asio::awaitable<void> Gateway::watchCallerConnection(GatewayRequest& request)
{
    co_await request.exchange.waitForCallerDisconnect();
    request.handle(CallerDisconnected {});
}

asio::awaitable<void> Gateway::respond(GatewayRequest& request)
{
    if (request.problem) {
        co_await this->sendProblem(request);
        co_return;
    }
    bool wasDelivered = false;
    if (request.storedResponse) {
        request.storedResponse->set("X-Request-Id", request.id.value);
        wasDelivered = co_await request.exchange.respond(std::move(*request.storedResponse));
    } else {
        wasDelivered = co_await request.completionWriter->finish(request.lifecycle().deliveredTokens());
    }
    if (wasDelivered)
        this->metrics.completed.increment();
    else
        this->metrics.countRefusal(RefusalReason::CallerDisconnected);
}

asio::awaitable<void> Gateway::sendProblem(GatewayRequest& request)
{
    this->metrics.countRefusal(request.problem->reason);
    if (request.problem->reason == RefusalReason::CallerDisconnected)
        co_return;
    if (request.completionWriter) {
        co_await request.completionWriter->refuse(*request.problem);
        co_return;
    }
    auto response = problemResponse(*request.problem);
    response.set("X-Request-Id", request.id.value);
    co_await request.exchange.respond(std::move(response));
}

HttpResponse Gateway::operatorResponse(std::string_view target)
{
    if (target == "/healthz") {
        const auto preset = this->view.preset();
        const json::object body { { "instance", this->settings.instance.name },
            { "preset", preset ? preset->name : std::string {} },
            { "configuration_offset", this->view.configurationOffset() }, { "holdings", this->heldPlacements.size() } };
        return makeResponse(StatusOk, "application/json", json::serialize(body) + "\n");
    }
    if (target == "/readyz")
        return this->isReady() ? makeResponse(StatusOk, "text/plain", "ready\n")
                               : makeResponse(StatusUnavailable, "text/plain", "not ready\n");
    if (target == "/metrics")
        return makeResponse(StatusOk, "text/plain; version=0.0.4", this->registry.exposition());
    return makeResponse(StatusNotFound, "text/plain", "unknown path\n");
}

bool Gateway::isReady() const
{
    return !this->isStopping && this->view.preset() && !this->view.cells().empty();
}

RequestId Gateway::nextRequestId()
{
    return makeRequestId(this->settings.instance, ++this->lastRequestSequence);
}

}
