#include "serving/MemoryLease.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr int RenewalsPerLeaseDuration = 3;

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

struct MemoryLease::State {
    struct HeldReservation {
        TargetEntry engine;
        MemoryReservation reservation;
    };

    Parts parts;
    std::string requestId;
    std::vector<HeldReservation> held;
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
    if (!this->state->held.empty())
        asio::co_spawn(this->state->parts.context, releaseAll(this->state), asio::detached);
}

asio::awaitable<MemoryOutcome> MemoryLease::add(TargetEntry engine, MemoryReservation reservation)
{
    auto state = this->state;
    const bool isFirst = state->held.empty();
    // Recorded before the order is sent: an order without an answer may have been carried out and has to be released
    // too.
    state->held.push_back({ engine, reservation });
    const auto outcome
        = co_await state->parts.memory.reserve(std::move(engine), std::move(reservation), state->parts.leaseDuration);
    state->log("memory_reserved", state->held.back(), outcome);
    if (outcome == MemoryOutcome::Refused)
        state->held.pop_back();
    if (isFirst && outcome == MemoryOutcome::Done)
        asio::co_spawn(state->parts.context, renew(state), asio::detached);
    co_return outcome;
}

asio::awaitable<void> MemoryLease::renew(std::shared_ptr<State> state)
{
    asio::steady_timer timer { state->parts.context };
    while (true) {
        timer.expires_after(state->parts.leaseDuration / RenewalsPerLeaseDuration);
        co_await timer.async_wait(asio::use_awaitable);
        if (state->hasEnded)
            co_return;
        const auto held = state->held;
        for (const auto& item : held) {
            if (state->hasEnded)
                co_return;
            const auto outcome
                = co_await state->parts.memory.reserve(item.engine, item.reservation, state->parts.leaseDuration);
            if (outcome != MemoryOutcome::Done)
                state->log("memory_renewed", item, outcome);
        }
    }
}

asio::awaitable<void> MemoryLease::releaseAll(std::shared_ptr<State> state)
{
    for (const auto& item : state->held) {
        const auto outcome = co_await state->parts.memory.release(item.engine, item.reservation);
        state->log("memory_released", item, outcome);
    }
}

}
