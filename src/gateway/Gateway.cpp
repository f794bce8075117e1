#include "gateway/Gateway.h"

#include <marigoldpaddle/Steward.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include "gateway/IntakeFilters.h"
#include "gateway/PlacementFilters.h"

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
constexpr std::string_view CallerPrefixes[] = { "/v1/completions", "/v1/chat/completions", "/services/" };

bool isFromCaller(std::string_view target)
{
    return std::ranges::any_of(CallerPrefixes, [&](std::string_view prefix) { return target.starts_with(prefix); });
}

RefusalReason reasonOf(HttpFault fault)
{
    switch (fault) {
    case HttpFault::BodyTooLarge:
    case HttpFault::HeaderTooLarge:
        return RefusalReason::RequestTooLarge;
    case HttpFault::TooSlow:
        return RefusalReason::RequestTimeout;
    case HttpFault::TooManyConnections:
        return RefusalReason::Overloaded;
    case HttpFault::Malformed:
        break;
    }
    return RefusalReason::MalformedRequest;
}

}

Gateway::Gateway(asio::io_context& context, const Clock& clock, GatewaySettings settings, GatewayView& view,
    RpcClient& rpc, HttpClient& client, MetricsRegistry& metrics)
    : context(context)
    , clock(clock)
    , settings(std::move(settings))
    , view(view)
    , registry(metrics)
    , metrics(metrics)
    , random(this->settings.randomSeed)
    , retries(RetryLimits {}, this->random)
    , tasks(context)
    , holdings(clock, this->settings.instance, view, rpc, this->metrics, this->tasks)
    , chooser(this->settings.availabilityZone, this->random)
    , cellPlacer(this->settings.instance, view, rpc, this->chooser, this->holdings)
    , engineCarrier(client, this->tasks)
    , servicePlacer(this->settings.availabilityZone, view, this->random)
    , serviceCarrier(client)
    , claims(this->settings.instance, view, rpc, this->tasks)
{
    this->intake.push_back(std::make_unique<ParseFilter>());
    this->intake.push_back(std::make_unique<AuthenticateFilter>(view));
    this->intake.push_back(std::make_unique<EstimateFilter>());
    this->intake.push_back(std::make_unique<AdmitFilter>());
    this->passage.push_back(std::make_unique<AcquireFilter>(view));
    this->passage.push_back(std::make_unique<RelayFilter>());
}

Gateway::~Gateway() = default;

void Gateway::start()
{
    asio::co_spawn(this->context, this->holdings.announce(), asio::detached);
}

void Gateway::beginPlannedStop()
{
    LOG(INFO) << "planned stop begins";
    this->isStopping = true;
}

asio::awaitable<void> Gateway::finishBackgroundTasks()
{
    return this->tasks.wait();
}

asio::awaitable<void> Gateway::handle(HttpExchange& exchange)
{
    const std::string target { exchange.request().target() };
    if (!isFromCaller(target)) {
        auto response = this->operatorAnswer(target);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    GatewayRequest request { exchange, this->nextRequestId(), this->clock, this->metrics };
    co_await this->serve(request);
}

HttpResponse Gateway::describeFault(HttpFault fault)
{
    Problem problem;
    problem.reason = reasonOf(fault);
    this->metrics.countRefusal(problem.reason);
    return problemResponse(problem);
}

asio::awaitable<void> Gateway::serve(GatewayRequest& request)
{
    request.problem = co_await this->takeIn(request);
    if (!request.problem && !request.storedAnswer) {
        request.start(this->retries);
        co_await this->carryThrough(request);
    }
    this->claims.settle(request);
    co_await this->settle(request);
}

asio::awaitable<std::optional<Problem>> Gateway::takeIn(GatewayRequest& request)
{
    for (const auto& filter : this->intake) {
        auto problem = co_await filter->apply(request);
        if (problem)
            co_return problem;
    }
    if (request.completion) {
        request.placer = &this->cellPlacer;
        request.carrier = &this->engineCarrier;
        request.answer = std::make_unique<CallerAnswer>(request.exchange, *request.completion, request.id);
    } else {
        request.placer = &this->servicePlacer;
        request.carrier = &this->serviceCarrier;
    }
    co_return co_await this->claims.apply(request);
}

// Whichever comes first: the end of the request, of its allowed time, or of its caller. Both watches end the lifecycle
// before the run is cancelled, so that what the run does on its way out has no effect any more.
asio::awaitable<void> Gateway::carryThrough(GatewayRequest& request)
{
    using namespace asio::experimental::awaitable_operators;
    co_await (this->run(request) || this->watchDeadline(request) || this->watchCaller(request));
    request.placer->forget(request);
}

asio::awaitable<void> Gateway::run(GatewayRequest& request)
{
    while (!request.isOver())
        for (const auto& filter : this->passage)
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
        request.handle(TimePassed {});
    }
}

asio::awaitable<void> Gateway::watchCaller(GatewayRequest& request)
{
    co_await request.exchange.waitUntilCallerIsGone();
    request.handle(CallerLeft {});
}

asio::awaitable<void> Gateway::settle(GatewayRequest& request)
{
    if (request.problem) {
        co_await this->refuse(request);
        co_return;
    }
    bool didReach = false;
    if (request.storedAnswer) {
        request.storedAnswer->set("X-Request-Id", request.id.value);
        didReach = co_await request.exchange.respond(std::move(*request.storedAnswer));
    } else {
        didReach = co_await request.answer->finish(request.lifecycle().deliveredTokens());
    }
    if (didReach)
        this->metrics.completed.increment();
    else
        this->metrics.countRefusal(RefusalReason::CallerGone);
}

asio::awaitable<void> Gateway::refuse(GatewayRequest& request)
{
    this->metrics.countRefusal(request.problem->reason);
    if (request.problem->reason == RefusalReason::CallerGone)
        co_return;
    if (request.answer) {
        co_await request.answer->refuse(*request.problem);
        co_return;
    }
    auto response = problemResponse(*request.problem);
    response.set("X-Request-Id", request.id.value);
    co_await request.exchange.respond(std::move(response));
}

HttpResponse Gateway::operatorAnswer(std::string_view target)
{
    if (target == "/healthz") {
        const auto preset = this->view.preset();
        const json::object body { { "instance", this->settings.instance.name },
            { "preset", preset ? preset->name : std::string {} },
            { "configuration_offset", this->view.configurationOffset() }, { "holdings", this->holdings.size() } };
        return makeResponse(StatusOk, "application/json", json::serialize(body) + "\n");
    }
    if (target == "/readyz")
        return this->isReady() ? makeResponse(StatusOk, "text/plain", "ready\n")
                               : makeResponse(StatusUnavailable, "text/plain", "not ready\n");
    if (target == "/metrics")
        return makeResponse(StatusOk, "text/plain; version=0.0.4", this->registry.exposition());
    return makeResponse(StatusNotFound, "text/plain", "no such path\n");
}

bool Gateway::isReady() const
{
    return !this->isStopping && this->view.preset() && !this->view.cells().empty();
}

RequestId Gateway::nextRequestId()
{
    return makeRequestId(this->settings.instance, ++this->lastRequest);
}

}
