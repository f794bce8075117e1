#include <marigoldpaddle/EngineOrders.h>

#include <algorithm>

namespace marigoldpaddle {

namespace {

// Upper bound of the time to load a version. An engine whose reports do not show the version by then is ordered again.
constexpr std::chrono::minutes LoadTimeout { 2 };
constexpr std::chrono::seconds OrderRetryDelay { 5 };
// After a fenced order: the later intent needs time to reach this process.
constexpr std::chrono::seconds FencedRetryDelay { 10 };

}

EngineOrders::EngineOrders(std::size_t maximumConcurrent)
    : maximumConcurrent(std::max<std::size_t>(maximumConcurrent, 1))
{
}

void EngineOrders::setIntent(const EngineIntent& wanted)
{
    if (wanted.fence < this->intent.fence || wanted == this->intent)
        return;
    this->intent = wanted;
    for (auto& [name, engine] : this->engines)
        engine.isOrderPending = false;
}

void EngineOrders::noteReport(std::string_view target, std::string_view version)
{
    auto& engine = this->engines.try_emplace(std::string { target }).first->second;
    engine.version = version;
    if (engine.version == this->intent.version)
        engine.isOrderPending = false;
}

void EngineOrders::noteOutcome(const EngineOrder& order, OrderOutcome outcome, TimePoint now)
{
    const auto found = this->engines.find(order.target);
    if (found == this->engines.end() || order.fence != this->intent.fence || outcome == OrderOutcome::CarriedOut)
        return;
    found->second.isOrderPending = false;
    found->second.notBefore
        = now + (outcome == OrderOutcome::Fenced ? Duration { FencedRetryDelay } : Duration { OrderRetryDelay });
}

void EngineOrders::removeTarget(std::string_view target)
{
    const auto found = this->engines.find(target);
    if (found != this->engines.end())
        this->engines.erase(found);
}

std::vector<EngineOrder> EngineOrders::decide(TimePoint now)
{
    std::vector<EngineOrder> orders;
    if (this->intent.version.empty())
        return orders;
    auto running = this->pendingOrders(now);
    for (auto& [name, engine] : this->engines) {
        if (running >= this->maximumConcurrent)
            break;
        if (!this->isDue(engine, now))
            continue;
        engine.isOrderPending = true;
        engine.orderedAt = now;
        orders.push_back({ name, this->intent.version, this->intent.fence });
        ++running;
    }
    return orders;
}

bool EngineOrders::isDue(const Engine& engine, TimePoint now) const
{
    if (engine.version.empty() || engine.version == this->intent.version || now < engine.notBefore)
        return false;
    return !engine.isOrderPending || engine.orderedAt + LoadTimeout <= now;
}

std::size_t EngineOrders::pendingOrders(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->engines,
        [&](const auto& each) { return each.second.isOrderPending && each.second.orderedAt + LoadTimeout > now; }));
}

}
