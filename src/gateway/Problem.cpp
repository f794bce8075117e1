#include "gateway/Problem.h"

#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>

namespace marigoldpaddle {

namespace json = boost::json;

namespace {

std::int64_t wholeSeconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

}

std::string problemJson(const Problem& problem)
{
    const auto reason = name(problem.reason);
    json::object body { { "type", "about:blank" }, { "title", reason }, { "status", httpStatus(problem.reason) },
        { "reason", reason }, { "ran", name(problem.ran) } };
    if (!problem.detail.empty())
        body["detail"] = problem.detail;
    if (problem.retryAfter > Duration::zero())
        body["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(problem.retryAfter).count();
    return json::serialize(body);
}

HttpResponse problemResponse(const Problem& problem)
{
    auto response = makeResponse(httpStatus(problem.reason), "application/problem+json", problemJson(problem));
    if (problem.retryAfter > Duration::zero())
        response.set(boost::beast::http::field::retry_after, std::to_string(wholeSeconds(problem.retryAfter)));
    return response;
}

}
