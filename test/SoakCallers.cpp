#include "SoakCallers.h"

#include <array>
#include <ranges>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform/Names.h"

namespace marigoldpaddle::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr std::array Paths { "/ask/question", "/long/question", "/once/question", "/order/restock", "/stock/list" };
// Timeouts of the routes of SoakCluster.
constexpr std::array RouteTimeouts { 8000U, 8000U, 8000U, 4000U, 4000U };
constexpr std::uint64_t TokensPerEvent = 46;

SoakOutcome outcomeOf(HttpError error, bool hasHeader)
{
    switch (error) {
    case HttpError::ConnectFailed:
        return SoakOutcome::NotConnected;
    case HttpError::Malformed:
        return SoakOutcome::Malformed;
    case HttpError::Timeout:
        return SoakOutcome::TimedOut;
    default:
        return hasHeader ? SoakOutcome::Broken : SoakOutcome::Closed;
    }
}

}

SoakCaller::SoakCaller(
    asio::io_context& context, SoakCluster& cluster, SoakChecks& checks, std::uint64_t seed, std::size_t index)
    : context(context)
    , cluster(cluster)
    , checks(checks)
    , random(seed * 1000 + index)
    , name("caller-" + std::to_string(index))
    , client(context.get_executor())
{
}

asio::awaitable<void> SoakCaller::run(const bool& isStopping)
{
    asio::steady_timer timer { this->context };
    while (!isStopping) {
        auto attempt = this->nextAttempt();
        co_await this->send(attempt);
        timer.expires_after(std::chrono::milliseconds { this->number(5, 250) });
        co_await timer.async_wait(asio::use_awaitable);
    }
}

SoakAttempt SoakCaller::nextAttempt()
{
    if (this->needsNode || this->number(1, 20) == 1)
        this->node = this->chooseNode();
    SoakAttempt attempt;
    attempt.id = this->name + "-" + std::to_string(++this->attempts);
    const auto choice = this->number(1, 100);
    attempt.route = choice <= 40 ? SoakRoute::ResumableStream
        : choice <= 50           ? SoakRoute::LongPrompt
        : choice <= 65           ? SoakRoute::UniqueStream
        : choice <= 87           ? SoakRoute::Order
                                 : SoakRoute::Stock;
    attempt.node = this->node;
    return attempt;
}

// A request of the model asks for 1 + 46 n tokens: the prefill yields the first event, each pass another.
HttpRequest SoakCaller::requestOf(SoakAttempt& attempt)
{
    const auto route = static_cast<std::size_t>(attempt.route);
    const auto isStock = attempt.route == SoakRoute::Stock;
    const auto isLong = attempt.route == SoakRoute::LongPrompt;
    // Some answers take longer than a stopping node keeps its listener open.
    const auto passes = this->number(1, 8) == 1 ? this->number(60, 100) : this->number(2, 20);
    // Others have too little time, so that their deadline ends them.
    const auto isShort = passes <= 20 && !isLong && this->number(1, 6) == 1;
    const auto remaining = isShort ? this->number(200, 1000)
        : passes <= 20 && !isLong  ? this->number(1500, 6000)
                                   : this->number(6000, 9000);
    attempt.allowed = std::chrono::milliseconds { std::min<std::uint64_t>(remaining, RouteTimeouts.at(route)) };
    auto request = isStock ? makeRequest(http::verb::get, Paths.at(route), {})
                           : makeRequest(http::verb::post, Paths.at(route), R"({"cream_litres":40})");
    request.set(http::field::host, SoakCluster::Host);
    request.set(http::field::authorization, SoakCluster::Authorization);
    request.set(platform::AttemptIdHeader, attempt.id);
    request.set(platform::RemainingHeader, std::to_string(remaining));
    if (attempt.route == SoakRoute::Order || isStock)
        return request;
    const auto promptTokens = isLong ? this->number(40'000, 110'000) : this->number(500, 12'000);
    attempt.expectedEvents = passes + 1;
    request.set("Marigoldpaddle-Model", "m");
    request.set(
        platform::TokenUsageHeader, std::to_string(promptTokens) + "," + std::to_string(1 + TokensPerEvent * passes));
    request.set("Marigoldpaddle-Prompt-Prefix", "1:" + std::to_string(promptTokens));
    return request;
}

asio::awaitable<void> SoakCaller::send(SoakAttempt& attempt)
{
    using namespace asio::experimental::awaitable_operators;
    auto request = this->requestOf(attempt);
    const auto leavesEarly = this->number(1, 12) == 1;
    const auto patience = std::chrono::milliseconds { this->number(20, 900) };
    attempt.sentAt = std::chrono::steady_clock::now();
    this->checks.attemptStarted(attempt);
    asio::steady_timer timer { this->context, leavesEarly ? patience : attempt.allowed + 4s };
    const auto first = co_await (this->exchange(std::move(request), attempt) || timer.async_wait(asio::use_awaitable));
    attempt.endedAt = std::chrono::steady_clock::now();
    if (first.index() == 1) {
        attempt.outcome = leavesEarly ? SoakOutcome::GaveUp : SoakOutcome::TimedOut;
        this->needsNode = true;
    }
    this->checks.attemptEnded(attempt);
}

asio::awaitable<void> SoakCaller::exchange(HttpRequest request, SoakAttempt& attempt)
{
    const auto timeout = attempt.allowed + SoakChecks::Margin + 1s;
    const auto& target = this->cluster.nodes[attempt.node];
    auto address = target.process->address("callers", target.host);
    this->needsNode = true;
    auto call = co_await this->client.start(std::move(address), std::move(request), timeout);
    if (!call) {
        attempt.outcome = outcomeOf(call.error(), false);
        co_return;
    }
    const auto& header = call.value().header();
    attempt.status = header.result_int();
    attempt.isSealed = !header[platform::SealHeader].empty() && header[platform::AttemptIdHeader] == attempt.id;
    while (true) {
        auto piece = co_await call.value().readSome(timeout);
        if (!piece) {
            attempt.outcome = outcomeOf(piece.error(), true);
            co_return;
        }
        if (piece.value().empty())
            break;
        attempt.body += piece.value();
    }
    attempt.outcome = attempt.status / 100 == 2 ? SoakOutcome::Complete : SoakOutcome::Refused;
    this->needsNode = !header.keep_alive();
}

// Without a ready node the load balancer uses all of them.
std::size_t SoakCaller::chooseNode()
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < this->cluster.nodes.size(); ++i) {
        if (this->cluster.nodes[i].isReady)
            ready.push_back(i);
    }
    return ready.empty() ? this->number(0, this->cluster.nodes.size() - 1) : ready[this->number(0, ready.size() - 1)];
}

std::uint64_t SoakCaller::number(std::uint64_t first, std::uint64_t last)
{
    return std::uniform_int_distribution<std::uint64_t> { first, last }(this->random);
}

}
