#include "serving/MemoryLease.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marigoldpaddle {

namespace asio = boost::asio;

namespace {

constexpr int RenewalsPerHold = 3;

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
    struct Held {
        TargetEntry engine;
        MemoryTicket ticket;
    };

    Parts parts;
    std::string requestId;
    std::vector<Held> held;
    bool isOver { false };

    void log(std::string_view event, const Held& one, MemoryOutcome outcome) const
    {
        this->parts.log.write(event,
            { { "id", this->requestId }, { "target", one.engine.id }, { "ticket", one.ticket.id },
                { "tokens", one.ticket.tokens }, { "outcome", outcomeName(outcome) } });
    }
};

MemoryLease::MemoryLease(const Parts& parts, std::string requestId)
    : state(std::make_shared<State>(State { parts, std::move(requestId), {} }))
{
}

MemoryLease::~MemoryLease()
{
    this->state->isOver = true;
    if (!this->state->held.empty())
        asio::co_spawn(this->state->parts.context, releaseAll(this->state), asio::detached);
}

asio::awaitable<MemoryOutcome> MemoryLease::add(TargetEntry engine, MemoryTicket ticket)
{
    auto state = this->state;
    const bool isFirst = state->held.empty();
    // Noted before the order is sent: one without an answer may have been carried out and is given back as well.
    state->held.push_back({ engine, ticket });
    const auto outcome = co_await state->parts.memory.reserve(std::move(engine), std::move(ticket), state->parts.hold);
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
        timer.expires_after(state->parts.hold / RenewalsPerHold);
        co_await timer.async_wait(asio::use_awaitable);
        if (state->isOver)
            co_return;
        const auto held = state->held;
        for (const auto& one : held) {
            if (state->isOver)
                co_return;
            const auto outcome = co_await state->parts.memory.reserve(one.engine, one.ticket, state->parts.hold);
            if (outcome != MemoryOutcome::Done)
                state->log("memory_renewed", one, outcome);
        }
    }
}

asio::awaitable<void> MemoryLease::releaseAll(std::shared_ptr<State> state)
{
    for (const auto& one : state->held) {
        const auto outcome = co_await state->parts.memory.release(one.engine, one.ticket);
        state->log("memory_released", one, outcome);
    }
}

}
