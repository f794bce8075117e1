#include "base/Http.h"

#include <charconv>

#include <boost/beast/http/field.hpp>

namespace marigoldpaddle {

namespace http = boost::beast::http;

std::string_view name(HttpError error)
{
    switch (error) {
    case HttpError::ConnectFailed:
        return "connect_failed";
    case HttpError::SendFailed:
        return "send_failed";
    case HttpError::NoAnswer:
        return "no_answer";
    case HttpError::Truncated:
        return "truncated";
    case HttpError::Malformed:
        return "malformed";
    case HttpError::Timeout:
        return "timeout";
    }
    return "invalid";
}

HttpResponse makeResponse(unsigned status, std::string_view contentType, std::string body)
{
    HttpResponse response { static_cast<http::status>(status), 11 };
    response.set(http::field::content_type, { contentType.data(), contentType.size() });
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

HttpRequest makeRequest(http::verb method, std::string_view target, std::string body, std::string_view contentType)
{
    HttpRequest request { method, { target.data(), target.size() }, 11 };
    if (!body.empty())
        request.set(http::field::content_type, { contentType.data(), contentType.size() });
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

HostAndPort splitAddress(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    HostAndPort split { std::string { address.substr(0, colon) }, 0 };
    const auto port = address.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), split.port);
    if (error != std::errc {} || end != port.data() + port.size())
        return {};
    return split;
}

}
