#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/outcome/result.hpp>

#include <marigoldpaddle/Clock.h>

namespace marigoldpaddle {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
using HttpResponseHeader = boost::beast::http::response<boost::beast::http::empty_body>;

// Errors of the HTTP layer.
enum class HttpError {
    ConnectFailed, // Not a byte of the request was written.
    SendFailed, // Part of the request may have been written.
    NoAnswer, // The request was written and no answer came.
    Truncated, // The answer broke off.
    Malformed, // The answer is not HTTP, or larger than allowed.
    Timeout, // The request was written and the answer did not come in time.
};

std::string_view name(HttpError error);

// The result of an asynchronous call. LEAF keeps error objects in thread-local contexts, which a suspended coroutine
// cannot hold; coroutines therefore return Boost.Outcome results.
template <typename Value>
using HttpResult = boost::outcome_v2::result<Value, HttpError, boost::outcome_v2::policy::all_narrow>;

// Makes a response with a body and its length.
HttpResponse makeResponse(unsigned status, std::string_view contentType, std::string body);

// Makes a request with a body and its length. `target` is the path and query.
HttpRequest makeRequest(boost::beast::http::verb method, std::string_view target, std::string body,
    std::string_view contentType = "application/json");

// Splits "IP:port". The address must have passed SettingKind::Address or come from the platform; anything else gives an
// empty host.
struct HostAndPort {
    std::string host;
    std::uint16_t port { 0 };
};
HostAndPort splitAddress(std::string_view address);

}
