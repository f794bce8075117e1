#include "standins/ServiceStandin.h"

#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

namespace marigoldpaddle::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusCreated = 201;

}

asio::awaitable<void> ServiceStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = splitTarget({ request.target().data(), request.target().size() });
    const auto root = path.segments.empty() ? std::string {} : path.segments.back();
    if (root == "faults") {
        auto response = this->setFaults(request.body());
        co_await exchange.respond(std::move(response));
        co_return;
    }
    if (this->faults.delayMs > 0)
        co_await pause(std::chrono::milliseconds { this->faults.delayMs });
    if (request.method() == http::verb::post) {
        auto response = this->takeOrder(request);
        if (this->faults.dropAnswers > 0) {
            --this->faults.dropAnswers;
            co_return;
        }
        co_await exchange.respond(std::move(response));
        co_return;
    }
    auto response = this->counts();
    co_await exchange.respond(std::move(response));
}

HttpResponse ServiceStandin::describeFault(HttpFault fault)
{
    return faultResponse(fault);
}

HttpResponse ServiceStandin::takeOrder(const HttpRequest& request)
{
    const auto field = request.find("Idempotency-Key");
    const auto key = field == request.end() ? std::string {} : std::string { field->value() };
    ++this->executions[key];
    this->orders.push_back(request.body());
    return jsonResponse(StatusCreated, json::object { { "order", this->orders.size() }, { "state", "booked" } });
}

HttpResponse ServiceStandin::counts() const
{
    json::object byKey;
    for (const auto& [key, count] : this->executions)
        byKey.emplace(key, count);
    return jsonResponse(StatusOk, json::object { { "orders", this->orders.size() }, { "by_key", std::move(byKey) } });
}

HttpResponse ServiceStandin::setFaults(std::string_view body)
{
    const auto object = parseObject(body);
    if (const auto* value = object.if_contains("delay_ms"))
        this->faults.delayMs = json::value_to<std::uint64_t>(*value);
    if (const auto* value = object.if_contains("drop_answers"))
        this->faults.dropAnswers = json::value_to<std::uint64_t>(*value);
    return jsonResponse(StatusOk, json::object {});
}

}
