#include "dispatch/TargetProber.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds ProbeTimeout { 500 };
constexpr std::chrono::seconds CancelTimeout { 1 };
constexpr std::chrono::seconds OrderTimeout { 10 };
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;

LoadReport reportFromJson(const json::value& value)
{
    LoadReport report;
    report.memoryTokens = json::value_to<std::uint64_t>(value.at("memory_tokens"));
    report.usedTokens = json::value_to<std::uint64_t>(value.at("used_tokens"));
    report.running = json::value_to<std::uint32_t>(value.at("running"));
    report.waiting = json::value_to<std::uint32_t>(value.at("waiting"));
    report.prefillTokensPerSecond = json::value_to<double>(value.at("prefill_tokens_per_second"));
    if (const auto* version = value.as_object().if_contains("version"))
        report.version = json::value_to<std::string>(*version);
    const auto* allocations = value.as_object().if_contains("allocations");
    if (!allocations)
        return report;
    report.allocations.emplace();
    for (const auto& allocation : allocations->as_array())
        report.allocations->push_back({ { json::value_to<std::string>(allocation.at("request_id")) },
            json::value_to<std::uint64_t>(allocation.at("tokens")),
            std::chrono::milliseconds { json::value_to<std::int64_t>(allocation.at("age_ms")) } });
    return report;
}

}

std::optional<LoadReport> parseLoadReport(std::string_view target, std::string_view body, TimePoint now)
{
    try {
        auto report = reportFromJson(json::parse({ body.data(), body.size() }));
        report.target = target;
        report.measuredAt = now;
        return report;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

TargetProber::TargetProber(asio::io_context& context, const Clock& clock, HttpClient& client, MetricsRegistry& metrics,
    const OwnedCells& cells, Duration period)
    : context(context)
    , clock(clock)
    , client(client)
    , metrics(metrics)
    , cells(cells)
    , period(period)
{
}

void TargetProber::start()
{
    asio::co_spawn(this->context, this->run(), asio::detached);
}

void TargetProber::probeNow(const std::shared_ptr<OwnedCell>& cell)
{
    for (const auto& [name, target] : cell->targets()) {
        auto probing = this->probe(target, cell);
        asio::co_spawn(this->context, std::move(probing), asio::detached);
    }
}

asio::awaitable<void> TargetProber::run()
{
    asio::steady_timer timer { this->context };
    while (true) {
        for (const auto& [id, cell] : this->cells) {
            this->probeNow(cell);
            for (const auto& allocation : cell->takeCancels()) {
                const auto target = cell->targets().find(allocation.target);
                if (target == cell->targets().end())
                    continue;
                auto cancelling = this->cancel(allocation, target->second.address, cell);
                asio::co_spawn(this->context, std::move(cancelling), asio::detached);
            }
        }
        this->sendOrders();
        timer.expires_after(this->period);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void TargetProber::sendOrders()
{
    for (const auto& [id, cell] : this->cells) {
        for (const auto& order : cell->takeOrders()) {
            const auto target = cell->targets().find(order.target);
            if (target == cell->targets().end())
                continue;
            auto sending = this->sendOrder(order, target->second.address, cell);
            asio::co_spawn(this->context, std::move(sending), asio::detached);
        }
    }
}

asio::awaitable<void> TargetProber::sendOrder(EngineOrder order, std::string address, std::shared_ptr<OwnedCell> cell)
{
    auto body = json::serialize(json::object { { "fence", order.fence }, { "version", order.version } });
    auto request = makeRequest(http::verb::post, "/v1/orders", std::move(body));
    auto answer = co_await this->client.call(std::move(address), std::move(request), OrderTimeout);
    auto outcome = OrderOutcome::Unknown;
    if (answer && answer.value().result_int() == StatusOk)
        outcome = OrderOutcome::CarriedOut;
    else if (answer && answer.value().result_int() == StatusConflict)
        outcome = OrderOutcome::Fenced;
    constexpr std::string_view Labels[] { "outcome=\"carried_out\"", "outcome=\"fenced\"", "outcome=\"unknown\"" };
    this->metrics.counter("marigold_engine_orders_total", Labels[static_cast<std::size_t>(outcome)]).increment();
    cell->noteOrderOutcome(order, outcome);
}

asio::awaitable<void> TargetProber::probe(TargetDescription target, std::shared_ptr<OwnedCell> cell)
{
    auto request = makeRequest(http::verb::get, "/v1/load", {});
    const auto askedAt = this->clock.now();
    auto answer = co_await this->client.call(target.address, std::move(request), ProbeTimeout);
    const auto report = answer ? parseLoadReport(target.name, answer.value().body(), askedAt) : std::nullopt;
    if (report) {
        cell->noteReport(*report);
        co_return;
    }
    this->metrics.counter("marigold_target_probe_failures_total").increment();
    cell->noteUnanswered(target.name);
}

asio::awaitable<void> TargetProber::cancel(
    CancelAllocation allocation, std::string address, std::shared_ptr<OwnedCell> cell)
{
    auto body = json::serialize(json::object { { "request_id", allocation.id.value } });
    auto request = makeRequest(http::verb::post, "/v1/cancel", std::move(body));
    auto answer = co_await this->client.call(std::move(address), std::move(request), CancelTimeout);
    if (answer && answer.value().result_int() == StatusOk)
        cell->noteCancelled(allocation);
    else
        this->metrics.counter("marigold_steward_cancel_failures_total").increment();
}

}
