#include "standins/PlatformStandin.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

namespace marigoldpaddle::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusCreated = 201;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusUnavailable = 503;
constexpr std::uint64_t DefaultPageRecords = 1000;

HttpResponse unavailable()
{
    return jsonResponse(StatusUnavailable, json::object { { "error", "unavailable" } });
}

}

PlatformStandin::PlatformStandin(asio::io_context& context, std::size_t keptRecords)
    : context(context)
    , keptRecords(keptRecords)
    , appended(context, TimePoint::max())
{
}

asio::awaitable<void> PlatformStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const auto path = splitTarget({ request.target().data(), request.target().size() });
    const auto root = path.segments.empty() ? std::string {} : path.segments.front();
    if (root == "streams" && path.segments.size() == 2) {
        co_await this->handleStream(exchange, path);
    } else if (root == "faults") {
        auto response = this->setFaults(request.body());
        co_await exchange.respond(std::move(response));
    } else if (root == "instances" || root == "targets") {
        auto response = path.segments.size() == 2 ? this->changeListing(request, path) : this->listing();
        co_await exchange.respond(std::move(response));
    } else {
        auto response = jsonResponse(StatusNotFound, json::object { { "error", "no such path" } });
        co_await exchange.respond(std::move(response));
    }
}

HttpResponse PlatformStandin::describeFault(HttpFault fault)
{
    return faultResponse(fault);
}

asio::awaitable<void> PlatformStandin::handleStream(HttpExchange& exchange, const RequestPath& path)
{
    if (this->faults.logDelayMs > 0)
        co_await pause(std::chrono::milliseconds { this->faults.logDelayMs });
    if (this->faults.isLogDown) {
        auto response = unavailable();
        co_await exchange.respond(std::move(response));
    } else if (exchange.request().method() == http::verb::post) {
        co_await this->append(exchange, path.segments.at(1));
    } else {
        co_await this->read(exchange, path);
    }
}

asio::awaitable<void> PlatformStandin::append(HttpExchange& exchange, std::string name)
{
    auto& stream = this->streams[name];
    const auto offset = stream.next();
    stream.records.push_back(exchange.request().body());
    while (stream.records.size() > this->keptRecords) {
        stream.records.pop_front();
        ++stream.first;
    }
    this->appended.cancel();
    if (this->faults.dropAppendAnswers > 0) {
        --this->faults.dropAppendAnswers;
        co_return;
    }
    auto response = jsonResponse(StatusCreated, json::object { { "offset", offset } });
    co_await exchange.respond(std::move(response));
}

asio::awaitable<void> PlatformStandin::read(HttpExchange& exchange, const RequestPath& path)
{
    const auto name = path.segments.at(1);
    const auto from = path.number("from", 0);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds { path.number("wait_ms", 0) };
    boost::system::error_code ignored;
    while (this->streams[name].next() <= from && std::chrono::steady_clock::now() < until && !this->faults.isLogDown) {
        asio::steady_timer deadline { this->context, until };
        deadline.async_wait([this](const boost::system::error_code& failure) {
            if (!failure)
                this->appended.cancel();
        });
        co_await this->appended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    auto response = this->faults.isLogDown
        ? unavailable()
        : this->page(this->streams[name], from, path.number("limit", DefaultPageRecords));
    co_await exchange.respond(std::move(response));
}

HttpResponse PlatformStandin::page(const Stream& stream, std::uint64_t from, std::uint64_t limit) const
{
    json::object body { { "first", stream.first }, { "next", stream.next() } };
    if (from < stream.first)
        return jsonResponse(StatusGone, body);
    json::array records;
    const auto end = std::min(stream.next(), from + std::min(limit, DefaultPageRecords));
    for (auto offset = from; offset < end; ++offset)
        records.push_back(json::object { { "offset", offset }, { "data", stream.records.at(offset - stream.first) } });
    body["records"] = std::move(records);
    return jsonResponse(StatusOk, body);
}

HttpResponse PlatformStandin::changeListing(const HttpRequest& request, const RequestPath& path)
{
    auto& kind = this->entries[path.segments.at(0)];
    const auto& name = path.segments.at(1);
    if (request.method() == http::verb::delete_) {
        kind.erase(name);
    } else {
        auto entry = parseObject(request.body());
        entry["name"] = name;
        entry.emplace("incarnation", 1);
        entry.emplace("leaving", false);
        entry.emplace("memory_tokens", 0);
        kind[name] = std::move(entry);
    }
    this->publishListing();
    return jsonResponse(StatusOk, json::object { { "name", name } });
}

void PlatformStandin::publishListing()
{
    auto snapshot = this->entries;
    if (this->faults.listLagMs == 0) {
        this->visibleEntries = std::move(snapshot);
        return;
    }
    auto timer
        = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds { this->faults.listLagMs });
    timer->async_wait([this, timer, snapshot = std::move(snapshot)](
                          const boost::system::error_code&) mutable { this->visibleEntries = std::move(snapshot); });
}

HttpResponse PlatformStandin::listing() const
{
    if (this->faults.isListDown)
        return unavailable();
    json::object body;
    for (const auto* kind : { "instances", "targets" }) {
        json::array array;
        const auto found = this->visibleEntries.find(kind);
        if (found != this->visibleEntries.end()) {
            for (const auto& [name, entry] : found->second)
                array.push_back(entry);
        }
        body[kind] = std::move(array);
    }
    return jsonResponse(StatusOk, body);
}

HttpResponse PlatformStandin::setFaults(std::string_view body)
{
    const auto wanted = parseObject(body);
    takeField(wanted, "log_down", this->faults.isLogDown);
    takeField(wanted, "list_down", this->faults.isListDown);
    takeField(wanted, "log_delay_ms", this->faults.logDelayMs);
    takeField(wanted, "drop_append_answers", this->faults.dropAppendAnswers);
    takeField(wanted, "list_lag_ms", this->faults.listLagMs);
    this->appended.cancel();
    return jsonResponse(StatusOk, json::object {});
}

}
