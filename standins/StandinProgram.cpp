#include "standins/StandinProgram.h"

#include <charconv>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace marigoldpaddle::standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (end != 0)
            parts.emplace_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
    }
    return parts;
}

}

std::uint64_t RequestPath::number(std::string_view key, std::uint64_t fallback) const
{
    const auto found = this->query.find(key);
    if (found == this->query.end())
        return fallback;
    std::uint64_t value = fallback;
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    return value;
}

RequestPath parseRequestTarget(std::string_view target)
{
    RequestPath path;
    const auto question = target.find('?');
    path.segments = split(target.substr(0, question), '/');
    if (question == std::string_view::npos)
        return path;
    for (const auto& parameter : split(target.substr(question + 1), '&')) {
        const auto equals = parameter.find('=');
        path.query[parameter.substr(0, equals)] = equals == std::string::npos ? "" : parameter.substr(equals + 1);
    }
    return path;
}

HttpResponse jsonResponse(unsigned status, const json::value& body)
{
    return makeResponse(status, "application/json", json::serialize(body));
}

json::object parseObject(std::string_view body)
{
    boost::system::error_code failure;
    auto value = json::parse({ body.data(), body.size() }, failure);
    return !failure && value.is_object() ? value.as_object() : json::object {};
}

bool consumeFault(std::uint64_t& remaining)
{
    if (remaining == 0)
        return false;
    --remaining;
    return true;
}

HttpResponse faultResponse(HttpFault fault)
{
    const unsigned status = fault == HttpFault::BodyTooLarge ? 413 : 400;
    return jsonResponse(status, json::object { { "error", "unreadable request" } });
}

asio::awaitable<void> pause(Duration time)
{
    asio::steady_timer timer { co_await asio::this_coro::executor, time };
    co_await timer.async_wait(asio::use_awaitable);
}

int serveUntilStopped(asio::io_context& context, HttpHandler& handler, const Settings& settings)
{
    HttpServer server { context, handler };
    const std::pair<std::string, std::uint16_t> ports[] { { "http", server.listen(settings.text("listen", "http")) } };
    writePorts(settings.text("listen", "ports"), ports);
    asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return static_cast<int>(ExitCode::Success);
}

}
