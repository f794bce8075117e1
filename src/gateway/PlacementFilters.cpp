#include "gateway/PlacementFilters.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

AcquireFilter::AcquireFilter(const GatewayView& view)
    : view(view)
{
}

asio::awaitable<std::optional<Problem>> AcquireFilter::apply(GatewayRequest& request)
{
    while (true) {
        const auto step = request.nextStep();
        if (const auto* question = std::get_if<AskPlacement>(&step)) {
            request.takeStep();
            co_await this->ask(request, *question);
        } else if (const auto* reservation = std::get_if<ReserveParts>(&step)) {
            request.takeStep();
            auto event = co_await request.carrier->reserve(request, reservation->attempt);
            request.handle(event);
        } else {
            co_return std::nullopt;
        }
    }
}

asio::awaitable<void> AcquireFilter::ask(GatewayRequest& request, AskPlacement command)
{
    if (command.delay > Duration::zero()) {
        asio::steady_timer timer { co_await asio::this_coro::executor, command.delay };
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto askedAt = request.clock.now();
    auto event = co_await request.placer->ask(request, command.attempt);
    if (std::holds_alternative<PlacementGranted>(event))
        request.metrics.queueTime.record(request.clock.now() - askedAt);
    request.handle(event);
    this->giveBackIfLeaving(request);
}

// A grant may have been on its way while the mark of its target arrived.
void AcquireFilter::giveBackIfLeaving(GatewayRequest& request) const
{
    const auto parts = request.lifecycle().placement();
    const auto isLeaving = [&](const GrantPart& part) {
        return this->view.isLeaving(part.target);
    };
    const auto leaving = std::ranges::find_if(parts, isLeaving);
    if (leaving != parts.end())
        request.handle(TargetLeaving { leaving->target });
}

asio::awaitable<std::optional<Problem>> RelayFilter::apply(GatewayRequest& request)
{
    while (true) {
        const auto step = request.nextStep();
        if (const auto* connect = std::get_if<ConnectTarget>(&step)) {
            request.takeStep();
            co_await request.carrier->send(request, connect->attempt);
        } else if (const auto* resume = std::get_if<ResumeStream>(&step)) {
            request.takeStep();
            co_await request.carrier->resume(request, *resume);
        } else {
            co_return std::nullopt;
        }
    }
}

}
