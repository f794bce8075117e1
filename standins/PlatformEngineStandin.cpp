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

// A helper as the request names it: "IP:port" or "IP:port/ticket".
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
    , helpers(context.get_executor())
    , wake(context, TimePoint::max())
{
    this->noteReport();
}

const EngineModel& PlatformEngineStandin::engine() const
{
    return this->model;
}

std::uint64_t PlatformEngineStandin::runCount() const
{
    return std::accumulate(this->runs.begin(), this->runs.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const auto& each) { return sum + each.second; });
}

std::uint64_t PlatformEngineStandin::partCount() const
{
    return this->partsRead;
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
        co_return co_await exchange.waitUntilCallerIsGone();
    if (path == "/standin/part") {
        co_await this->readPart(exchange);
        co_return;
    }
    const auto expected = request[ExpectInstanceHeader];
    if (!expected.empty() && expected != this->settings.id) {
        auto response = this->declined(421);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (path == OrderPath) {
        co_await this->takeOrder(exchange);
    } else if (path == "/health" || path == "/api/report") {
        auto response = path == "/health" ? this->health() : this->report();
        co_await exchange.respond(std::move(response));
    } else {
        co_await this->complete(exchange);
    }
}

HttpResponse PlatformEngineStandin::describeFault(HttpFault fault)
{
    return faultResponse(fault);
}

// Even parts: this engine reads the first and keeps the memory that no ticket keeps.
asio::awaitable<void> PlatformEngineStandin::complete(HttpExchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    const auto terms = HeaderFormat {}.callerTerms(exchange.request());
    const auto named = helpersOf(exchange.request());
    if (!terms.prompt || terms.attemptId.empty()) {
        auto response = this->declined(400);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    const auto part = terms.prompt->promptTokens / static_cast<std::int64_t>(named.size() + 1);
    const auto ticketed = std::ranges::count_if(named, [](const Helper& each) { return !each.ticket.empty(); });
    EnginePrompt prompt;
    prompt.tokensHere = terms.prompt->promptTokens - part * static_cast<std::int64_t>(named.size());
    prompt.memoryHere = terms.prompt->promptTokens - part * ticketed;
    prompt.partsElsewhere = named.size();
    Answer answer;
    answer.attemptId = terms.attemptId;
    answer.nextEvent = terms.lastEventId.value_or(0) + 1;
    const auto written = static_cast<std::int64_t>(answer.nextEvent - 1) * this->settings.model.profile.stepsPerPass;
    prompt.outputTokens = std::max<std::int64_t>(1, terms.prompt->maximumOutputTokens - written);
    const auto work = this->startWork();
    if (this->faults.isDeclining
        || this->model.admit(work->id, prompt, this->now()) != EngineModel::Admission::Accepted) {
        this->end(*work);
        auto response = this->declined(503);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    auto before = prompt.tokensHere;
    for (const auto& helper : named) {
        auto body
            = json::serialize(json::object { { "tokens", part }, { "before", before }, { "ticket", helper.ticket } });
        asio::co_spawn(this->context, this->readElsewhere(helper.address, std::move(body), work), asio::detached);
        before += part;
    }
    this->schedule();
    co_await (this->deliver(exchange, *work, answer) || exchange.waitUntilCallerIsGone());
    this->end(*work);
}

asio::awaitable<void> PlatformEngineStandin::deliver(HttpExchange& exchange, Work& work, Answer& answer)
{
    co_await this->awaitEvent(work);
    if (work.events.empty()) {
        auto response = this->declined(503);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    ++this->runs[answer.attemptId];
    if (strikes(this->faults.failures)) {
        auto response = jsonResponse(500, json::object { { "error", "internal" } });
        response.set(AttemptIdHeader, answer.attemptId);
        response.set(SealHeader, this->settings.id);
        co_await exchange.respond(std::move(response));
        co_return;
    }
    HttpResponseHeader header { http::status::ok, 11 };
    header.set(http::field::content_type, "text/event-stream");
    header.set(AttemptIdHeader, answer.attemptId);
    header.set(SealHeader, this->settings.id);
    if (!co_await exchange.beginStream(std::move(header)))
        co_return;
    while (!work.events.empty()) {
        const auto event = work.events.front();
        work.events.pop_front();
        if (event.kind == EngineEvent::Kind::Finished) {
            co_await exchange.endStream();
            co_return;
        }
        const auto text
            = "id: " + std::to_string(answer.nextEvent) + "\ndata: " + std::to_string(event.tokens) + " tokens\n\n";
        if (this->faults.cutAfterEvents > 0 && answer.nextEvent > this->faults.cutAfterEvents) {
            this->faults.cutAfterEvents = 0;
            co_await exchange.write(std::string_view { text }.substr(0, text.size() / 2));
            co_return; // Without its end: the connection breaks.
        }
        if (!co_await exchange.write(text))
            co_return;
        ++answer.nextEvent;
        co_await this->awaitEvent(work);
    }
}

// The helper keeps the part until this connection closes.
asio::awaitable<void> PlatformEngineStandin::readElsewhere(
    std::string address, std::string body, std::shared_ptr<Work> work)
{
    using namespace asio::experimental::awaitable_operators;
    auto request = makeRequest(http::verb::post, "/standin/part", std::move(body));
    auto call = co_await this->helpers.start(std::move(address), std::move(request), PartTimeout);
    if (!call || call.value().header().result_int() != 200) {
        this->end(*work);
        co_return;
    }
    this->model.partArrived(work->id, this->now());
    this->schedule();
    co_await (call.value().readAll(PartTimeout) || this->awaitEnd(*work));
    this->end(*work);
}

asio::awaitable<void> PlatformEngineStandin::readPart(HttpExchange& exchange)
{
    using namespace asio::experimental::awaitable_operators;
    const auto body = parseObject(exchange.request().body());
    std::int64_t tokens = 0;
    std::int64_t before = 0;
    std::string ticket;
    takeField(body, "tokens", tokens);
    takeField(body, "before", before);
    takeField(body, "ticket", ticket);
    const auto work = this->startWork();
    if (this->model.readPart(work->id, tokens, before, ticket, this->now())) {
        ++this->partsRead;
        this->schedule();
        co_await (this->lendPart(exchange, *work) || exchange.waitUntilCallerIsGone());
    } else {
        auto response = this->declined(503);
        co_await exchange.respond(std::move(response));
    }
    this->end(*work);
}

asio::awaitable<void> PlatformEngineStandin::lendPart(HttpExchange& exchange, Work& work)
{
    co_await this->awaitEvent(work);
    HttpResponseHeader header { http::status::ok, 11 };
    if (work.isEnded || !co_await exchange.beginStream(std::move(header)))
        co_return;
    co_await this->awaitEnd(work);
}

asio::awaitable<void> PlatformEngineStandin::takeOrder(HttpExchange& exchange)
{
    auto order = parseObject(exchange.request().body());
    if (strikes(this->faults.lateOrders)) {
        co_await pause(std::chrono::milliseconds { this->faults.orderDelayMs });
        this->carryOut(order);
        co_return;
    }
    auto response = this->carryOut(order);
    co_await exchange.respond(std::move(response));
}

HttpResponse PlatformEngineStandin::carryOut(const json::object& order)
{
    std::string operation;
    std::string ticket;
    std::int64_t tokens = 0;
    std::int64_t holdMs = 0;
    takeField(order, "op", operation);
    takeField(order, "id", ticket);
    takeField(order, "tokens", tokens);
    takeField(order, "holdMs", holdMs);
    auto status = 200U;
    if (operation == "release") {
        this->model.release(ticket);
    } else if (operation != "reserve" || ticket.empty() || tokens <= 0 || holdMs <= 0) {
        status = 400;
    } else {
        const auto outcome = this->model.reserve(ticket, tokens, std::chrono::milliseconds { holdMs }, this->now());
        status = outcome == EngineModel::Reservation::Held ? 200
            : outcome == EngineModel::Reservation::Refused ? 409
                                                           : 400;
    }
    this->schedule();
    return jsonResponse(status, json::object { { "free", this->model.memoryTotal() - this->model.memoryUsed() } });
}

HttpResponse PlatformEngineStandin::health() const
{
    auto response = jsonResponse(200, json::object {});
    response.set(InstanceIdHeader, this->settings.id);
    return response;
}

// The newest report that is as old as the lag.
HttpResponse PlatformEngineStandin::report()
{
    this->noteReport();
    return makeResponse(200, "application/json", this->reports.front().body);
}

void PlatformEngineStandin::noteReport()
{
    const auto now = this->now();
    json::array tickets;
    for (const auto& [id, ticket] : this->model.tickets())
        tickets.push_back(json::object {
            { "id", id }, { "tokens", ticket.tokens }, { "state", ticket.user == 0 ? "held" : "used" } });
    this->reports.push_back({ now,
        json::serialize(json::object { { "queued", this->model.queued() }, { "active", this->model.active() },
            { "kvUsed", this->model.memoryUsed() }, { "kvTotal", this->model.memoryTotal() },
            { "pace", this->faults.slowness }, { "tickets", std::move(tickets) } }) });
    while (this->reports.size() > 1 && this->reports[1].at <= now - this->settings.reportLag)
        this->reports.pop_front();
}

HttpResponse PlatformEngineStandin::counts() const
{
    json::object byAttempt;
    for (const auto& [attempt, count] : this->runs)
        byAttempt.emplace(attempt, count);
    return jsonResponse(200,
        json::object {
            { "runs", std::move(byAttempt) }, { "parts", this->partsRead }, { "memory", this->model.memoryUsed() } });
}

HttpResponse PlatformEngineStandin::setFaults(std::string_view body)
{
    const auto wanted = parseObject(body);
    takeField(wanted, "silent", this->faults.isSilent);
    takeField(wanted, "declining", this->faults.isDeclining);
    takeField(wanted, "failures", this->faults.failures);
    takeField(wanted, "cut_after_events", this->faults.cutAfterEvents);
    takeField(wanted, "late_orders", this->faults.lateOrders);
    takeField(wanted, "order_delay_ms", this->faults.orderDelayMs);
    takeField(wanted, "slowness", this->faults.slowness);
    this->model.setSlowness(this->faults.slowness);
    return jsonResponse(200, json::object {});
}

HttpResponse PlatformEngineStandin::declined(unsigned status) const
{
    auto response = jsonResponse(status, json::object {});
    response.set(NotExecutedHeader, "1");
    response.set(InstanceIdHeader, this->settings.id);
    return response;
}

std::shared_ptr<PlatformEngineStandin::Work> PlatformEngineStandin::startWork()
{
    auto work = std::make_shared<Work>(this->context);
    work->id = ++this->lastWork;
    this->works.emplace(work->id, work);
    return work;
}

void PlatformEngineStandin::end(Work& work)
{
    work.isEnded = true;
    work.progressed.cancel();
    this->model.cancel(work.id, this->now());
    this->works.erase(work.id);
    this->schedule();
}

// Returns with an event, or without one when the work has ended.
asio::awaitable<void> PlatformEngineStandin::awaitEvent(Work& work)
{
    boost::system::error_code woken;
    while (work.events.empty() && !work.isEnded)
        co_await work.progressed.async_wait(asio::redirect_error(asio::use_awaitable, woken));
}

asio::awaitable<void> PlatformEngineStandin::awaitEnd(Work& work)
{
    boost::system::error_code woken;
    while (!work.isEnded)
        co_await work.progressed.async_wait(asio::redirect_error(asio::use_awaitable, woken));
}

// Hands out what the model has done, and comes back when it has done more.
void PlatformEngineStandin::schedule()
{
    for (const auto& event : this->model.advance(this->now())) {
        const auto work = this->works.find(event.work);
        if (work == this->works.end())
            continue;
        work->second->events.push_back(event);
        work->second->progressed.cancel();
    }
    for (const auto id : this->model.takeCutOff()) {
        const auto work = this->works.find(id);
        if (work == this->works.end())
            continue;
        work->second->isEnded = true;
        work->second->progressed.cancel();
    }
    this->noteReport();
    const auto next = this->model.nextDeadline();
    if (!next)
        return;
    this->wake.expires_at(*next);
    this->wake.async_wait([this](const boost::system::error_code& failure) {
        if (!failure)
            this->schedule();
    });
}

TimePoint PlatformEngineStandin::now() const
{
    return std::chrono::steady_clock::now();
}

}
