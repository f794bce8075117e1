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

// A request target split into path segments and query parameters.
struct RequestPath {
    std::vector<std::string> segments;
    std::map<std::string, std::string, std::less<>> query;

    // Returns a query parameter as a number, or `fallback` if it is missing or not numeric.
    std::uint64_t number(std::string_view key, std::uint64_t fallback) const;
};

RequestPath parseRequestTarget(std::string_view target);

// Makes an application/json response.
HttpResponse jsonResponse(unsigned status, const boost::json::value& body);

// Parses a body as a JSON object. Returns an empty object if the body is anything else.
boost::json::object parseObject(std::string_view body);

// Sets `field` to the value of `key` if the object has the key.
template <typename Field> void readField(const boost::json::object& object, std::string_view key, Field& field)
{
    if (const auto* value = object.if_contains(key))
        field = boost::json::value_to<Field>(*value);
}

// Decrements the counter of an injected fault. Returns whether the fault applies, i.e. the counter was above 0.
bool consumeFault(std::uint64_t& remaining);

// Makes the response to a request that could not be read.
HttpResponse faultResponse(HttpFault fault);

// Waits for `time` on the executor of the calling coroutine.
boost::asio::awaitable<void> pause(Duration time);

// Serves `handler` at the address of setting [listen] http until SIGTERM or SIGINT. Writes the bound port under the
// name `http` to the file of setting [listen] ports. Returns the exit status of the program.
int serveUntilStopped(boost::asio::io_context& context, HttpHandler& handler, const Settings& settings);

// Settings common to all stand-in programs.
inline constexpr SettingSpecification ListenSettings[] = {
    { "listen", "http", SettingKind::Address, 0, 0, "127.0.0.1:0", "address to listen on; port 0 selects a free port" },
    { "listen", "ports", SettingKind::Text, 0, 0, "-", "file to write the bound port to; - is standard output" },
};

}
