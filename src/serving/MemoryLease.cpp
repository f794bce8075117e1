#include "serving/MemoryLease.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr int RenewalsPerLeaseDuration = 3;
// A release without an answer is repeated this often; after that the reservation has expired by itself.
constexpr int ReleaseAttempts = 8;

std::string_view outcomeName(MemoryOutcome outcome)
{
    switch (outcome) {
    case MemoryOutcome::Done:
        return "done";
    case MemoryOutcome::Refused:
        return "refused";
    case MemoryOutcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

}

// One reservation, from the first order to the confirmed release.
struct MemoryLease::HeldReservation {
    HeldReservation(asio::io_context& context, TargetEntry engine, MemoryReservation reservation)
        : engine(std::move(engine))
        , reservation(std::move(reservation))
        , timer(context)
    {
    }

    TargetEntry engine;
    MemoryReservation reservation;
    asio::steady_timer timer; // Until the next order; cancelled when the lease ends.
    bool isRefused { false };
};

struct MemoryLease::State {
    Parts parts;
    std::string requestId;
    std::vector<std::shared_ptr<HeldReservation>> held;
    bool hasEnded { false };

    void log(std::string_view event, const HeldReservation& item, MemoryOutcome outcome) const
    {
        this->parts.log.write(event,
            { { "id", this->requestId }, { "target", item.engine.id }, { "ticket", item.reservation.id },
                { "tokens", item.reservation.tokens }, { "outcome", outcomeName(outcome) } });
    }
};

MemoryLease::MemoryLease(const Parts& parts, std::string requestId)
    : state(std::make_shared<State>(State { parts, std::move(requestId), {} }))
{
}

MemoryLease::~MemoryLease()
{
    this->state->hasEnded = true;
    for (const auto& item : this->state->held)
        item->timer.cancel();
}

asio::awaitable<MemoryOutcome> MemoryLease::add(TargetEntry engine, MemoryReservation reservation)
{
    auto state = this->state;
    auto item = std::make_shared<HeldReservation>(state->parts.context, engine, reservation);
    // Recorded before the order is sent: an order without an answer may have been carried out and has to be released
    // too.
    state->held.push_back(item);
    asio::co_spawn(state->parts.context, maintain(state, item), asio::detached);
    const auto outcome
        = co_await state->parts.memory.reserve(std::move(engine), std::move(reservation), state->parts.leaseDuration);
    state->log("memory_reserved", *item, outcome);
    if (outcome == MemoryOutcome::Refused) {
        item->isRefused = true;
        item->timer.cancel();
    }
    co_return outcome;
}

// Sends the orders of one reservation one after the other: a renewal that overtook the release would reserve the memory
// again. Each reservation has a task of its own, so that an engine that does not answer delays no other.
asio::awaitable<void> MemoryLease::maintain(std::shared_ptr<State> state, std::shared_ptr<HeldReservation> item)
{
    const auto wait = [&](Duration duration) -> asio::awaitable<void> {
        boost::system::error_code cancelled;
        item->timer.expires_after(duration);
        co_await item->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    };
    const auto& parts = state->parts;
    while (!state->hasEnded && !item->isRefused) {
        co_await wait(parts.leaseDuration / RenewalsPerLeaseDuration);
        if (state->hasEnded || item->isRefused)
            break;
        const auto outcome = co_await parts.memory.reserve(item->engine, item->reservation, parts.leaseDuration);
        if (outcome != MemoryOutcome::Done)
            state->log("memory_renewed", *item, outcome);
    }
    for (int attempt = 0; attempt < ReleaseAttempts && !item->isRefused; ++attempt) {
        const auto outcome = co_await parts.memory.release(item->engine, item->reservation);
        state->log("memory_released", *item, outcome);
        if (outcome != MemoryOutcome::Unknown)
            co_return;
        co_await wait(parts.leaseDuration / ReleaseAttempts);
    }
}

}
