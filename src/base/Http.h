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

// Errors of an HTTP call.
enum class HttpError {
    ConnectFailed, // No part of the request was written.
    SendFailed, // Part of the request may have been written.
    NoAnswer, // The request was written and the connection ended without a response.
    Truncated, // The connection ended in the middle of the response.
    Malformed, // The response is not valid HTTP, or is larger than allowed.
    Timeout, // The request was written and no response arrived before the timeout.
};

std::string_view name(HttpError error);

// The result of an asynchronous call. LEAF keeps error objects in thread-local contexts, which do not survive the
// suspension of a coroutine; coroutines therefore return Boost.Outcome results.
template <typename Value>
using HttpResult = boost::outcome_v2::result<Value, HttpError, boost::outcome_v2::policy::all_narrow>;

// Returns a response with a body and its Content-Length.
HttpResponse makeResponse(unsigned status, std::string_view contentType, std::string body);

// Returns a request with a body and its Content-Length. `target` is the path and query. The content type is set only if
// there is a body.
HttpRequest makeRequest(boost::beast::http::verb method, std::string_view target, std::string body,
    std::string_view contentType = "application/json");

// Splits "IP:port". The host is not validated. An address without a colon or with an invalid port gives an empty host
// and port 0.
struct HostAndPort {
    std::string host;
    std::uint16_t port { 0 };
};
HostAndPort splitAddress(std::string_view address);

}
