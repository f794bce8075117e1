#include "standins/PlatformEngineStandin.h"

#include <algorithm>
#include <numeric>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

#include "platform/HeaderFormat.h"
#include "platform/Names.h"

namespace marigoldpaddle::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace platform;

namespace {

constexpr Duration PartTimeout = std::chrono::seconds { 10 };

// A helper engine as listed in the request header: "IP:port" or "IP:port/ticket".
struct Helper {
    std::string address;
    std::string ticket;
};

std::vector<Helper> helpersOf(const HttpRequest& request)
{
    std::vector<Helper> helpers;
    const std::string value { request[HelpersHeader] };
    if (value.empty())
        return helpers;
    std::vector<std::string> names;
    boost::algorithm::split(names, value, boost::algorithm::is_any_of(","));
    for (const auto& name : names) {
        const auto slash = name.find('/');
        helpers.push_back(
            { name.substr(0, slash), slash == std::string::npos ? std::string {} : name.substr(slash + 1) });
    }
    return helpers;
}

}

PlatformEngineStandin::PlatformEngineStandin(asio::io_context& context, PlatformEngineSettings settings)
    : context(context)
    , settings(std::move(settings))
    , model(this->settings.model)
    , helperClient(context.get_executor())
    , wakeTimer(context, TimePoint::max())
{
    this->recordReport();
}

const EngineModel& PlatformEngineStandin::engine() const
{
    return this->model;
}

std::uint64_t PlatformEngineStandin::runCount() const
{
    return std::accumulate(this->runsByAttempt.begin(), this->runsByAttempt.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const auto& each) { return sum + each.second; });
}

std::uint64_t PlatformEngineStandin::partCount() const
{
    return this->prefilledParts;
}

std::uint64_t PlatformEngineStandin::receivedCount() const
{
    return this->received;
}

asio::awaitable<void> PlatformEngineStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const std::string target { request.target() };
    const auto path = target.substr(0, target.find('?'));
    if (path == "/standin/faults" || path == "/standin/counts") {
        auto response = path == "/standin/faults" ? this->setFaults(request.body()) : this->counts();
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (this->faults.isSilent)
        co_return co_await exchange.waitForCallerDisconnect();
    if (path == "/standin/part") {
        co_await this->handlePart(exchange);
        co_return;
    }
    const auto expected = request[ExpectInstanceHeader];
    if (!expected.empty() && expected != this->settings.id) {
        auto response = this->notExecutedResponse(421, std::string { request[AttemptIdHeader] });
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (path == OrderPath) {
        co_await this->handleOrder(exchange);
    } else if (path == "/health" || path == "/api/report") {
        auto response = path == "/health" ? this->health() : this->report();
        co_await exchange.respond(std::move(response));
    } else {
        co_await this->handleCompletion(exchange);
    }
}

HttpResponse PlatformEngineStandin::makeFaultResponse(HttpFault fault)
{
    return faultResponse(fault);
}

// Splits the prompt into even parts. This engine prefills the first part and holds the memory of all parts for which
// the helper has no reservation.
asio::awaitable<void> PlatformEngineStandin::handleCompletion(HttpExchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    ++this->received;
    const auto metadata = HeaderFormat {}.callerMetadata(exchange.request());
    const auto requestedHelpers = helpersOf(exchange.request());
    if (!metadata.prompt || metadata.attemptId.empty()) {
        auto response = this->notExecutedResponse(400);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto part = metadata.prompt->promptTokens / static_cast<std::int64_t>(requestedHelpers.size() + 1);
    const auto helpersWithTicket
        = std::ranges::count_if(requestedHelpers, [](const Helper& each) { return !each.ticket.empty(); });
    EnginePrompt prompt;
    prompt.localTokens = metadata.prompt->promptTokens - part * static_cast<std::int64_t>(requestedHelpers.size());
    prompt.localMemoryTokens = metadata.prompt->promptTokens - part * helpersWithTicket;
    prompt.remoteParts = requestedHelpers.size();
    Answer answer;
    answer.attemptId = metadata.attemptId;
    answer.nextEventId = metadata.lastEventId.value_or(0) + 1;
    const auto written = static_cast<std::int64_t>(answer.nextEventId - 1) * this->settings.model.profile.stepsPerPass;
    prompt.outputTokens = std::max<std::int64_t>(1, metadata.prompt->maximumOutputTokens - written);
    const auto job = this->startJob();
    if (this->faults.isDeclining
        || this->model.admit(job->id, prompt, this->now()) != EngineModel::Admission::Accepted) {
        this->endJob(*job);
        auto response = this->notExecutedResponse(503, metadata.attemptId);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    auto precedingTokens = prompt.localTokens;
    for (const auto& helper : requestedHelpers) {
        auto body = json::serialize(
            json::object { { "tokens", part }, { "before", precedingTokens }, { "ticket", helper.ticket } });
        asio::co_spawn(this->context, this->requestRemotePart(helper.address, std::move(body), job), asio::detached);
        precedingTokens += part;
    }
    this->schedule();
    co_await (this->streamAnswer(exchange, *job, answer) || exchange.waitForCallerDisconnect());
    this->endJob(*job);
}

asio::awaitable<bool> PlatformEngineStandin::beginAnswer(HttpExchange& exchange, HttpResponseHeader header)
{
    if (this->faults.endsWithConnection)
        co_return co_await exchange.beginStreamWithoutLength(std::move(header));
    co_return co_await exchange.beginStream(std::move(header));
}

asio::awaitable<void> PlatformEngineStandin::streamAnswer(HttpExchange& exchange, Job& job, Answer& answer)
{
    co_await this->waitForEvent(job);
    if (job.events.empty()) {
        auto response = this->notExecutedResponse(503, answer.attemptId);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++this->runsByAttempt[answer.attemptId];
    if (consumeFault(this->faults.failures)) {
        auto response = jsonResponse(500, json::object { { "error", "internal" } });
        response.set(AttemptIdHeader, answer.attemptId);
        response.set(SealHeader, this->settings.id);
        this->addAdvice(response);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    HttpResponseHeader header { http::status::ok, 11 };
    header.set(http::field::content_type, "text/event-stream");
    header.set(AttemptIdHeader, answer.attemptId);
    header.set(SealHeader, this->settings.id);
    this->addAdvice(header);
    if (!co_await this->beginAnswer(exchange, std::move(header)))
        co_return;
    while (!job.events.empty()) {
        const auto event = job.events.front();
        job.events.pop_front();
        if (event.kind == EngineEvent::Kind::Finished) {
            co_await exchange.endStream();
            co_return;
        }
        const auto text
            = "id: " + std::to_string(answer.nextEventId) + "\ndata: " + std::to_string(event.tokens) + " tokens\n\n";
        if (this->faults.cutAfterEvents > 0 && answer.nextEventId > this->faults.cutAfterEvents) {
            this->faults.cutAfterEvents = 0;
            co_await exchange.write(std::string_view { text }.substr(0, text.size() / 2));
            // Without chunks the orderly end of the connection is the break; with chunks the missing last one is.
            if (this->faults.endsWithConnection)
                co_await exchange.endStream();
            co_return;
        }
        if (!co_await exchange.write(text))
            co_return;
        ++answer.nextEventId;
        co_await this->waitForEvent(job);
    }
}

// The helper holds the memory of its part until the connection to it closes.
asio::awaitable<void> PlatformEngineStandin::requestRemotePart(
    std::string address, std::string body, std::shared_ptr<Job> job)
{
    using namespace asio::experimental::awaitable_operators;
    auto request = makeRequest(http::verb::post, "/standin/part", std::move(body));
    auto call = co_await this->helperClient.start(std::move(address), std::move(request), PartTimeout);
    if (!call || call.value().header().result_int() != 200) {
        this->endJob(*job);
        co_return;
    }
    this->model.remotePartCompleted(job->id, this->now());
    this->schedule();
    co_await (call.value().readAll(PartTimeout) || this->waitForEnd(*job));
    this->endJob(*job);
}

asio::awaitable<void> PlatformEngineStandin::handlePart(HttpExchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    const auto body = parseObject(exchange.request().body());
    std::int64_t tokens = 0;
    std::int64_t precedingTokens = 0;
    std::string ticket;
    readField(body, "tokens", tokens);
    readField(body, "before", precedingTokens);
    readField(body, "ticket", ticket);
    const auto job = this->startJob();
    if (this->model.prefillPart(job->id, tokens, precedingTokens, ticket, this->now())) {
        ++this->prefilledParts;
        this->schedule();
        co_await (this->servePart(exchange, *job) || exchange.waitForCallerDisconnect());
    } else {
        auto response = this->notExecutedResponse(503);
        co_await exchange.respond(std::move(response));
    }
    this->endJob(*job);
}

asio::awaitable<void> PlatformEngineStandin::servePart(HttpExchange& exchange, Job& job)
{
    co_await this->waitForEvent(job);
    HttpResponseHeader header { http::status::ok, 11 };
    if (job.isEnded || !co_await exchange.beginStream(std::move(header)))
        co_return;
    co_await this->waitForEnd(job);
}

asio::awaitable<void> PlatformEngineStandin::handleOrder(HttpExchange& exchange)
{
    auto order = parseObject(exchange.request().body());
    if (consumeFault(this->faults.lateOrders)) {
        co_await pause(std::chrono::milliseconds { this->faults.orderDelayMs });
        this->executeOrder(order);
        co_return;
    }
    auto response = this->executeOrder(order);
    co_await exchange.respond(std::move(response));
}

HttpResponse PlatformEngineStandin::executeOrder(const json::object& order)
{
    std::string operation;
    std::string ticket;
    std::int64_t tokens = 0;
    std::int64_t holdMs = 0;
    readField(order, "op", operation);
    readField(order, "id", ticket);
    readField(order, "tokens", tokens);
    readField(order, "holdMs", holdMs);
    auto status = 200U;
    if (operation == "release") {
        this->model.release(ticket);
    } else if (this->faults.isRefusingOrders) {
        ++this->received;
        status = 503;
    } else if (operation != "reserve" || ticket.empty() || tokens <= 0 || holdMs <= 0) {
        status = 400;
    } else {
        ++this->received;
        const auto outcome = this->model.reserve(ticket, tokens, std::chrono::milliseconds { holdMs }, this->now());
        status = outcome == EngineModel::ReservationResult::Held ? 200
            : outcome == EngineModel::ReservationResult::Refused ? 409
                                                                 : 400;
    }
    this->schedule();
    auto response
        = jsonResponse(status, json::object { { "free", this->model.memoryTotal() - this->model.memoryUsed() } });
    this->addAdvice(response);
    return response;
}

template <typename Header> void PlatformEngineStandin::addAdvice(Header& header) const
{
    if (this->faults.isLeaving)
        header.set(LeavingHeader, "1");
    if (header.result() == http::status::service_unavailable && !this->faults.retryAfter.empty())
        header.set(http::field::retry_after, this->faults.retryAfter);
    if (!this->faults.requestLimit.empty())
        header.set(LimitHeader, this->faults.requestLimit);
}

HttpResponse PlatformEngineStandin::health() const
{
    auto response = jsonResponse(200, json::object {});
    response.set(InstanceIdHeader, this->settings.id);
    return response;
}

// Returns the newest report that is at least `reportLag` old, or the oldest one if there is none.
HttpResponse PlatformEngineStandin::report()
{
    this->recordReport();
    return makeResponse(200, "application/json", this->reports.front().body);
}

void PlatformEngineStandin::recordReport()
{
    const auto now = this->now();
    json::array tickets;
    for (const auto& [ticket, reservation] : this->model.reservations())
        tickets.push_back(json::object { { "id", ticket }, { "tokens", reservation.tokens },
            { "state", reservation.usedByJob == 0 ? "held" : "used" } });
    this->reports.push_back({ now,
        json::serialize(json::object { { "queued", this->model.queued() }, { "active", this->model.active() },
            { "kvUsed", this->model.memoryUsed() }, { "kvTotal", this->model.memoryTotal() },
            { "pace", this->faults.slowness }, { "tickets", std::move(tickets) } }) });
    while (this->reports.size() > 1 && this->reports[1].createdAt <= now - this->settings.reportLag)
        this->reports.pop_front();
}

HttpResponse PlatformEngineStandin::counts() const
{
    json::object runs;
    for (const auto& [attempt, count] : this->runsByAttempt)
        runs.emplace(attempt, count);
    return jsonResponse(200,
        json::object {
            { "runs", std::move(runs) }, { "parts", this->prefilledParts }, { "memory", this->model.memoryUsed() } });
}

HttpResponse PlatformEngineStandin::setFaults(std::string_view body)
{
    const auto object = parseObject(body);
    readField(object, "silent", this->faults.isSilent);
    readField(object, "declining", this->faults.isDeclining);
    readField(object, "refusing_orders", this->faults.isRefusingOrders);
    readField(object, "leaving", this->faults.isLeaving);
    readField(object, "retry_after", this->faults.retryAfter);
    readField(object, "limit", this->faults.requestLimit);
    readField(object, "failures", this->faults.failures);
    readField(object, "cut_after_events", this->faults.cutAfterEvents);
    readField(object, "late_orders", this->faults.lateOrders);
    readField(object, "order_delay_ms", this->faults.orderDelayMs);
    readField(object, "ends_with_connection", this->faults.endsWithConnection);
    readField(object, "slowness", this->faults.slowness);
    this->model.setSlowness(this->faults.slowness);
    return jsonResponse(200, json::object {});
}

HttpResponse PlatformEngineStandin::notExecutedResponse(unsigned status, std::string_view attemptId) const
{
    auto response = jsonResponse(status, json::object {});
    if (!attemptId.empty())
        response.set(AttemptIdHeader, attemptId);
    this->addAdvice(response);
    response.set(NotExecutedHeader, "1");
    response.set(InstanceIdHeader, this->settings.id);
    return response;
}

std::shared_ptr<PlatformEngineStandin::Job> PlatformEngineStandin::startJob()
{
    auto job = std::make_shared<Job>(this->context);
    job->id = ++this->lastJobId;
    this->jobs.emplace(job->id, job);
    return job;
}

void PlatformEngineStandin::endJob(Job& job)
{
    job.isEnded = true;
    job.changeSignal.cancel();
    this->model.cancel(job.id, this->now());
    this->jobs.erase(job.id);
    this->schedule();
}

// Returns when an event is available or the job has ended.
asio::awaitable<void> PlatformEngineStandin::waitForEvent(Job& job)
{
    boost::system::error_code ignored;
    while (job.events.empty() && !job.isEnded)
        co_await job.changeSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> PlatformEngineStandin::waitForEnd(Job& job)
{
    boost::system::error_code ignored;
    while (!job.isEnded)
        co_await job.changeSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// Passes the progress of the model on to its jobs and schedules the next call at the model's next deadline.
void PlatformEngineStandin::schedule()
{
    for (const auto& event : this->model.advance(this->now())) {
        const auto job = this->jobs.find(event.jobId);
        if (job == this->jobs.end())
            continue;
        job->second->events.push_back(event);
        job->second->changeSignal.cancel();
    }
    for (const auto id : this->model.takeExpiredJobs()) {
        const auto job = this->jobs.find(id);
        if (job == this->jobs.end())
            continue;
        job->second->isEnded = true;
        job->second->changeSignal.cancel();
    }
    this->recordReport();
    const auto next = this->model.nextDeadline();
    if (!next)
        return;
    this->wakeTimer.expires_at(*next);
    this->wakeTimer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure)
            this->schedule();
    });
}

TimePoint PlatformEngineStandin::now() const
{
    return std::chrono::steady_clock::now();
}

}
