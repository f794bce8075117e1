#include "logservice/HttpPlatformLog.h"

#include <boost/beast/http/verb.hpp>
#include <boost/json.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusCreated = 201;
constexpr unsigned StatusGone = 410;

LogPage pageFromJson(const json::object& object)
{
    LogPage page;
    page.firstKept = json::value_to<std::uint64_t>(object.at("first"));
    page.next = json::value_to<std::uint64_t>(object.at("next"));
    for (const auto& record : object.at("records").as_array())
        page.records.push_back(
            { json::value_to<std::uint64_t>(record.at("offset")), json::value_to<std::string>(record.at("data")) });
    return page;
}

InstanceDescription instanceFromJson(const json::value& value)
{
    InstanceDescription instance;
    instance.name = json::value_to<std::string>(value.at("name"));
    instance.availabilityZone = json::value_to<std::string>(value.at("zone"));
    instance.dispatcherAddress = json::value_to<std::string>(value.at("dispatcher"));
    instance.membershipAddress = json::value_to<std::string>(value.at("membership"));
    instance.incarnation = json::value_to<std::uint64_t>(value.at("incarnation"));
    instance.isLeaving = value.at("leaving").as_bool();
    return instance;
}

TargetDescription targetFromJson(const json::value& value)
{
    TargetDescription target;
    target.name = json::value_to<std::string>(value.at("name"));
    target.kind = value.at("kind").as_string() == "engine" ? TargetKind::Engine : TargetKind::Service;
    target.address = json::value_to<std::string>(value.at("address"));
    target.availabilityZone = json::value_to<std::string>(value.at("zone"));
    target.serves = json::value_to<std::string>(value.at("serves"));
    target.incarnation = json::value_to<std::uint64_t>(value.at("incarnation"));
    target.isLeaving = value.at("leaving").as_bool();
    target.memoryTokens = json::value_to<std::uint64_t>(value.at("memory_tokens"));
    return target;
}

// Runs `parse` over the JSON of a body; anything that it cannot read is PlatformError::Malformed.
template <typename Value, typename Parse> PlatformResult<Value> parseBody(const std::string& body, Parse parse)
{
    try {
        const auto value = json::parse(body);
        return parse(value);
    } catch (const std::exception&) {
        return PlatformError::Malformed;
    }
}

}

PlatformError platformErrorFrom(HttpError error)
{
    switch (error) {
    case HttpError::ConnectFailed:
        return PlatformError::Unreachable;
    case HttpError::SendFailed:
    case HttpError::NoAnswer:
    case HttpError::Truncated:
    case HttpError::Timeout:
        return PlatformError::NoAnswer;
    case HttpError::Malformed:
        return PlatformError::Malformed;
    }
    return PlatformError::NoAnswer;
}

std::string_view name(PlatformError error)
{
    switch (error) {
    case PlatformError::Unreachable:
        return "unreachable";
    case PlatformError::NoAnswer:
        return "no_answer";
    case PlatformError::Rejected:
        return "rejected";
    case PlatformError::Trimmed:
        return "trimmed";
    case PlatformError::Malformed:
        return "malformed";
    }
    return "invalid";
}

HttpPlatformLog::HttpPlatformLog(HttpClient& client, std::string address, std::string stream, Duration timeout)
    : client(client)
    , address(std::move(address))
    , stream(std::move(stream))
    , timeout(timeout)
{
}

asio::awaitable<PlatformResult<std::uint64_t>> HttpPlatformLog::append(std::string record)
{
    auto request = makeRequest(http::verb::post, "/streams/" + this->stream, std::move(record));
    auto answer
        = co_await this->client.call(this->address, std::move(request), this->timeout, ConnectionReuse::Forbidden);
    if (!answer)
        co_return platformErrorFrom(answer.error());
    if (answer.value().result_int() != StatusCreated)
        co_return PlatformError::Rejected;
    co_return parseBody<std::uint64_t>(answer.value().body(),
        [](const json::value& value) { return json::value_to<std::uint64_t>(value.at("offset")); });
}

asio::awaitable<PlatformResult<LogPage>> HttpPlatformLog::read(std::uint64_t offset, std::size_t limit, Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const auto target = "/streams/" + this->stream + "?from=" + std::to_string(offset)
        + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(waitMs);
    auto request = makeRequest(http::verb::get, target, {});
    auto answer = co_await this->client.call(this->address, std::move(request), wait + this->timeout);
    if (!answer)
        co_return platformErrorFrom(answer.error());
    if (answer.value().result_int() == StatusGone)
        co_return PlatformError::Trimmed;
    if (answer.value().result_int() != StatusOk)
        co_return PlatformError::Rejected;
    co_return parseBody<LogPage>(
        answer.value().body(), [](const json::value& value) { return pageFromJson(value.as_object()); });
}

HttpInstanceList::HttpInstanceList(HttpClient& client, std::string address, Duration timeout)
    : client(client)
    , address(std::move(address))
    , timeout(timeout)
{
}

asio::awaitable<PlatformResult<InstanceListing>> HttpInstanceList::list()
{
    auto request = makeRequest(http::verb::get, "/instances", {});
    auto answer = co_await this->client.call(this->address, std::move(request), this->timeout);
    if (!answer)
        co_return platformErrorFrom(answer.error());
    if (answer.value().result_int() != StatusOk)
        co_return PlatformError::Rejected;
    co_return parseBody<InstanceListing>(answer.value().body(), [](const json::value& value) {
        InstanceListing listing;
        for (const auto& instance : value.at("instances").as_array())
            listing.instances.push_back(instanceFromJson(instance));
        for (const auto& target : value.at("targets").as_array())
            listing.targets.push_back(targetFromJson(target));
        return listing;
    });
}

}
