#include "gateway/PlacementFilters.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

AcquireFilter::AcquireFilter(const ClusterView& view)
    : view(view)
{
}

asio::awaitable<std::optional<Problem>> AcquireFilter::apply(GatewayRequest& request)
{
    while (true) {
        const auto pending = request.pendingCommand();
        if (const auto* ask = std::get_if<RequestPlacement>(&pending)) {
            request.takePendingCommand();
            co_await this->requestPlacement(request, *ask);
        } else if (const auto* reservation = std::get_if<ReserveParts>(&pending)) {
            request.takePendingCommand();
            auto event = co_await request.forwarder->reserve(request, reservation->attempt);
            request.handle(event);
        } else {
            co_return std::nullopt;
        }
    }
}

asio::awaitable<void> AcquireFilter::requestPlacement(GatewayRequest& request, RequestPlacement command)
{
    if (command.delay > Duration::zero()) {
        asio::steady_timer timer { co_await asio::this_coro::executor, command.delay };
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto requestedAt = request.clock.now();
    auto event = co_await request.placer->requestPlacement(request, command.attempt);
    if (std::holds_alternative<PlacementGranted>(event))
        request.metrics.queueTime.record(request.clock.now() - requestedAt);
    request.handle(event);
    this->releaseIfTargetIsLeaving(request);
}

// Releases a placement on a leaving target: the leaving mark may have arrived while the grant was in transit.
void AcquireFilter::releaseIfTargetIsLeaving(GatewayRequest& request) const
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
        const auto pending = request.pendingCommand();
        if (const auto* connect = std::get_if<ConnectTarget>(&pending)) {
            request.takePendingCommand();
            co_await request.forwarder->send(request, connect->attempt);
        } else if (const auto* resume = std::get_if<ResumeStream>(&pending)) {
            request.takePendingCommand();
            co_await request.forwarder->resume(request, *resume);
        } else {
            co_return std::nullopt;
        }
    }
}

}
