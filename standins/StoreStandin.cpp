#include "standins/StoreStandin.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

#include "platform/LogFormat.h"
#include "platform/Names.h"

namespace marigoldpaddle::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace platform;

namespace {

constexpr std::string_view KeyedTopicPrefix = "keyed.";
constexpr std::size_t MaximumItemsPerPage = 500;
constexpr std::uint64_t DefaultReadKb = 1024;
constexpr std::size_t MaximumRecordBytes = 262'144;
constexpr std::size_t MaximumPageBytes = 1 << 20;

// Topics written only by operators and targets; the system's own appends are refused.
bool isReadOnlyTopic(std::string_view topic)
{
    return topic == ConfigurationTopic || topic == TargetsTopic;
}

std::string queryParameter(const RequestPath& path, std::string_view key)
{
    const auto found = path.query.find(key);
    return found == path.query.end() ? std::string {} : found->second;
}

}

StoreStandin::StoreStandin(asio::io_context& context, std::size_t keptRecords)
    : context(context)
    , keptRecords(keptRecords)
    , appendSignal(context, TimePoint::max())
{
}

asio::awaitable<void> StoreStandin::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    const std::string target { request.target() };
    const auto path = parseRequestTarget(target);
    const auto resource = target.substr(0, target.find('?'));
    if (resource.starts_with("/standin/")) {
        auto response = this->handleControl(request, resource, path);
        co_await this->respond(exchange, std::move(response));
        co_return;
    }
    if (this->faults.delayMs > 0)
        co_await pause(std::chrono::milliseconds { this->faults.delayMs });
    const auto isDown = resource == LogNewestPath ? this->faults.areNewestReadsDown : this->faults.isLogDown;
    if (isDown && this->faults.isSilent)
        co_return co_await exchange.waitForCallerDisconnect();
    if (isDown) {
        auto response = jsonResponse(503, json::object {});
        co_await this->respond(exchange, std::move(response));
    } else if (resource == LogAppendPath) {
        co_await this->handleAppend(exchange, queryParameter(path, "topic"));
    } else if (resource == LogReadPath) {
        co_await this->handleRead(exchange, path);
    } else {
        auto response = resource == LogNewestPath ? this->listNewest(path)
                                                  : jsonResponse(404, json::object { { "error", "path" } });
        this->listedBytes += resource == LogNewestPath ? response.body().size() : 0;
        co_await this->respond(exchange, std::move(response));
    }
}

asio::awaitable<void> StoreStandin::respond(HttpExchange& exchange, HttpResponse response) const
{
    response.set(StoreEraHeader, std::to_string(this->era));
    co_await exchange.respond(std::move(response));
}

HttpResponse StoreStandin::handleControl(const HttpRequest& request, std::string_view resource, const RequestPath& path)
{
    if (resource == "/standin/faults")
        return this->setFaults(request.body());
    if (resource == "/standin/records")
        return this->handleWrite(request, path);
    if (resource == "/standin/copy")
        this->keepCopy();
    else if (resource == "/standin/restore")
        this->restoreCopy();
    else
        return jsonResponse(404, json::object { { "error", "path" } });
    return jsonResponse(200, json::object {});
}

void StoreStandin::keepCopy()
{
    this->copy = this->topics;
}

void StoreStandin::restoreCopy()
{
    const auto lost = std::exchange(this->topics, this->copy);
    for (const auto& [name, topic] : lost)
        this->topics[name].lostUntil = std::max(topic.endOffset(), topic.lostUntil);
    ++this->era;
    this->appendSignal.cancel();
}

HttpResponse StoreStandin::makeFaultResponse(HttpFault fault)
{
    return faultResponse(fault);
}

void StoreStandin::put(const std::string& topic, const std::string& key, const std::string& value)
{
    this->appendRecord(topic, encodeKeyed(key, value));
}

void StoreStandin::registerInstance(const InstanceDescription& instance)
{
    const json::object entry { { "zone", instance.availabilityZone }, { "dispatcher", instance.dispatcherAddress },
        { "membership", instance.membershipAddress }, { "born", instance.incarnation } };
    this->put(std::string { InstancesTopic }, instance.name, json::serialize(entry));
}

void StoreStandin::registerEngine(const TargetDescription& engine)
{
    const json::object entry { { "service", engine.serves }, { "address", engine.address },
        { "zone", engine.availabilityZone }, { "state", engine.isLeaving ? DrainingState : ReadyState },
        { "slots", 16 }, { "born", engine.incarnation } };
    this->put(std::string { TargetsTopic }, engine.name, json::serialize(entry));
}

std::size_t StoreStandin::newestResponseBytes() const
{
    return this->listedBytes;
}

void StoreStandin::trim(const std::string& topic, std::uint64_t offset)
{
    auto& kept = this->topics[topic];
    while (kept.firstOffset < offset && !kept.records.empty()) {
        kept.records.pop_front();
        ++kept.firstOffset;
    }
}

void StoreStandin::appendRecord(const std::string& name, std::string content)
{
    auto& topic = this->topics[name];
    if (name.starts_with(KeyedTopicPrefix)) {
        const auto keyed = decodeKeyed(content);
        if (keyed && keyed->value)
            topic.newestByKey[std::string { keyed->key }] = { std::string { *keyed->value }, topic.endOffset() };
        else if (keyed)
            topic.newestByKey.erase(std::string { keyed->key });
    }
    topic.records.push_back(std::move(content));
    if (topic.records.size() > this->keptRecords)
        this->trim(name, topic.firstOffset + 1);
    this->appendSignal.cancel();
}

asio::awaitable<void> StoreStandin::handleAppend(HttpExchange& exchange, std::string name)
{
    const auto records = decodeRecords(exchange.request().body());
    const auto isTooLarge
        = records && std::ranges::any_of(*records, [](const auto& each) { return each.size() > MaximumRecordBytes; });
    if (!records || isTooLarge || name.empty() || isReadOnlyTopic(name)) {
        auto response = jsonResponse(isReadOnlyTopic(name) ? 403 : 400, json::object {});
        co_await this->respond(exchange, std::move(response));
        co_return;
    }
    const auto offset = this->topics[name].endOffset();
    for (const auto record : *records)
        this->appendRecord(name, std::string { record });
    if (this->faults.dropAppendAnswers > 0) {
        --this->faults.dropAppendAnswers;
        co_return;
    }
    auto response = jsonResponse(200, json::object { { "offset", offset }, { "endOffset", offset + records->size() } });
    co_await this->respond(exchange, std::move(response));
}

asio::awaitable<void> StoreStandin::handleRead(HttpExchange& exchange, const RequestPath& path)
{
    const auto name = queryParameter(path, "topic");
    const auto from = path.number("from", 0);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds { path.number("waitMs", 0) };
    boost::system::error_code ignored;
    while (
        this->topics[name].endOffset() <= from && std::chrono::steady_clock::now() < until && !this->faults.isLogDown) {
        asio::steady_timer deadline { this->context, until };
        deadline.async_wait([this](const boost::system::error_code& failure) {
            if (!failure)
                this->appendSignal.cancel();
        });
        co_await this->appendSignal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    const auto maximumBytes = path.number("maxKb", DefaultReadKb) * 1024;
    auto response = this->faults.isLogDown ? jsonResponse(503, json::object {})
                                           : this->page(this->topics[name], from, maximumBytes);
    co_await this->respond(exchange, std::move(response));
}

// Returns one record at least, and the further ones that fit.
HttpResponse StoreStandin::page(const Topic& topic, std::uint64_t from, std::size_t maximumBytes) const
{
    if (from < topic.firstOffset || (from > topic.endOffset() && from <= topic.lostUntil))
        return jsonResponse(410, json::object { { "firstOffset", topic.firstOffset } });
    auto body = encodeOffsets(topic.endOffset(), topic.firstOffset);
    for (auto offset = from; offset < topic.endOffset(); ++offset) {
        const auto record = encodeRecord(topic.records.at(offset - topic.firstOffset));
        if (offset > from && body.size() + record.size() > maximumBytes)
            break;
        body += record;
    }
    return makeResponse(200, "application/octet-stream", std::move(body));
}

HttpResponse StoreStandin::listNewest(const RequestPath& path) const
{
    json::array items;
    const auto topic = this->topics.find(queryParameter(path, "topic"));
    if (topic == this->topics.end())
        return jsonResponse(200, json::object { { "items", items }, { "hasMore", false }, { "endOffset", 0 } });
    const auto& newest = topic->second.newestByKey;
    auto next = newest.upper_bound(queryParameter(path, "after"));
    std::size_t bytes = 0;
    for (; next != newest.end() && items.size() < MaximumItemsPerPage; ++next) {
        auto value = encodeBase64(next->second.value);
        bytes += value.size();
        if (!items.empty() && bytes > MaximumPageBytes)
            break;
        items.push_back(
            json::object { { "key", next->first }, { "value", std::move(value) }, { "offset", next->second.offset } });
    }
    return jsonResponse(200,
        json::object { { "items", std::move(items) }, { "hasMore", next != newest.end() },
            { "endOffset", topic->second.endOffset() } });
}

HttpResponse StoreStandin::handleWrite(const HttpRequest& request, const RequestPath& path)
{
    const auto topic = queryParameter(path, "topic");
    const auto key = queryParameter(path, "key");
    if (!topic.starts_with(KeyedTopicPrefix) || key.empty())
        return jsonResponse(400, json::object { { "error", "topic and key are required" } });
    this->put(topic, key, request.method() == http::verb::delete_ ? std::string {} : request.body());
    return jsonResponse(200, json::object { { "endOffset", this->topics[topic].endOffset() } });
}

HttpResponse StoreStandin::setFaults(std::string_view body)
{
    const auto object = parseObject(body);
    readField(object, "log_down", this->faults.isLogDown);
    readField(object, "tables_down", this->faults.areNewestReadsDown);
    readField(object, "silent", this->faults.isSilent);
    readField(object, "delay_ms", this->faults.delayMs);
    readField(object, "drop_append_answers", this->faults.dropAppendAnswers);
    this->appendSignal.cancel();
    return jsonResponse(200, json::object {});
}

}
