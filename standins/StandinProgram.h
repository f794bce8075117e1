#pragma once

#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include "base/HttpServer.h"
#include "base/Program.h"

namespace marigoldpaddle::standins {

// A request path split at '/' and '?', with its query parameters.
struct RequestPath {
    std::vector<std::string> segments;
    std::map<std::string, std::string, std::less<>> query;

    std::uint64_t number(std::string_view key, std::uint64_t fallback) const;
};

RequestPath splitTarget(std::string_view target);

// Makes a JSON answer.
HttpResponse jsonResponse(unsigned status, const boost::json::value& body);

// Reads a JSON object out of a body; empty when it is none.
boost::json::object parseObject(std::string_view body);

// Sets a field to the value under a key of a JSON object, if the object has the key.
template <typename Field> void takeField(const boost::json::object& object, std::string_view key, Field& field)
{
    if (const auto* value = object.if_contains(key))
        field = boost::json::value_to<Field>(*value);
}

// Uses up one of a limited number of faults.
bool strikes(std::uint64_t& remaining);

// Answers requests that could not be read.
HttpResponse faultResponse(HttpFault fault);

// Waits on the running thread's executor.
boost::asio::awaitable<void> pause(Duration time);

// Serves `handler` at [listen] http until SIGTERM or SIGINT, after writing the bound port as `http` to [listen] ports.
int serveUntilStopped(boost::asio::io_context& context, HttpHandler& handler, const Settings& settings);

// The settings that every stand-in takes.
inline constexpr SettingSpecification ListenSettings[] = {
    { "listen", "http", SettingKind::Address, 0, 0, "127.0.0.1:0", "address to listen on; port 0 takes a free one" },
    { "listen", "ports", SettingKind::Text, 0, 0, "-", "file for the bound port; - for the standard output" },
};

}
